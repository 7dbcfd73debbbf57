package loadreport

import "time"

// KeySets holds the peers' latest reports of sets of keys. It is safe for use by several goroutines.
// Use NewKeySets.
type KeySets struct{ reports *latestReports[map[Key]bool] }

// NewKeySets returns an empty table. A report expires after maxAge.
func NewKeySets(maxAge time.Duration) *KeySets {
	return &KeySets{reports: newLatestReports[map[Key]bool](maxAge)}
}

// Apply keeps a peer's report, unless a newer one is known.
func (l *KeySets) Apply(from string, seq uint64, reported []Key, now time.Time) {
	keys := make(map[Key]bool, len(reported))
	for _, k := range reported {
		keys[k] = true
	}
	l.reports.apply(from, seq, keys, now)
}

// Has reports whether a peer has reported a key.
func (l *KeySets) Has(k Key, now time.Time) bool {
	has := false
	l.reports.each(now, func(_ string, keys map[Key]bool, _ time.Duration) { has = has || keys[k] })
	return has
}

// Reports returns each peer's report that has not expired.
func (l *KeySets) Reports(now time.Time) map[string][]Key {
	out := map[string][]Key{}
	l.reports.each(now, func(from string, keys map[Key]bool, _ time.Duration) {
		for k := range keys {
			out[from] = append(out[from], k)
		}
	})
	return out
}
