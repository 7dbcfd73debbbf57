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
type PendingSaves struct{ KeySets }

// NewPendingSaves returns an empty table. A report expires after maxAge, and replaces one with a
// higher number that is older than maxDisorder. maxAge is long: a save that was pending remains so
// until its instance reports its end, and a report that does not arrive says nothing about it.
func NewPendingSaves(maxAge, maxDisorder time.Duration) *PendingSaves {
	l := &PendingSaves{*NewKeySets(maxAge)}
	l.reports.maxDisorder = maxDisorder
	return l
}
