package loadreport

import (
	"time"
)

// MaxPendingSaves is how many pending saves an instance may have and still request more: all of
// them are reported.
const MaxPendingSaves = 64

// PendingSaves holds the peers' latest reports of cache parts whose saves are pending: requested
// some time ago, and perhaps not finished. It is safe for use by several goroutines. Use
// NewPendingSaves.
type PendingSaves struct{ reports *latestReports[map[Key]bool] }

// NewPendingSaves returns an empty table. A report expires after maxAge, and replaces one with a
// higher number that is older than maxDisorder. maxAge is long: a save that was pending remains so
// until its instance reports its end, and a report that does not arrive says nothing about it.
func NewPendingSaves(maxAge, maxDisorder time.Duration) *PendingSaves {
	l := &PendingSaves{reports: newLatestReports[map[Key]bool](maxAge)}
	l.reports.maxDisorder = maxDisorder
	return l
}

// Apply keeps a peer's report, unless a newer one is known.
func (l *PendingSaves) Apply(from string, seq uint64, reported []Key, now time.Time) {
	parts := make(map[Key]bool, len(reported))
	for _, k := range reported {
		parts[k] = true
	}
	l.reports.apply(from, seq, parts, now)
}

// Has reports whether a peer has reported a pending save of a part.
func (l *PendingSaves) Has(k Key, now time.Time) bool {
	has := false
	l.reports.each(now, func(_ string, parts map[Key]bool, _ time.Duration) { has = has || parts[k] })
	return has
}

// Reports returns each peer's report that has not expired.
func (l *PendingSaves) Reports(now time.Time) map[string][]Key {
	out := map[string][]Key{}
	l.reports.each(now, func(from string, parts map[Key]bool, _ time.Duration) {
		for k := range parts {
			out[from] = append(out[from], k)
		}
	})
	return out
}
