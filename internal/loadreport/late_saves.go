package loadreport

import (
	"time"
)

// MaxPendingSaves is how many late saves an instance may have and still ask for more: all of
// them are told.
const MaxPendingSaves = 64

// PendingSaves is what the neighbours told lately of parts whose saves are late. It is safe for
// use by several goroutines. Use NewPendingSaves.
type PendingSaves struct{ book *book[map[Key]bool] }

// NewPendingSaves returns one that knows of none. A word counts for maxAge.
func NewPendingSaves(maxAge time.Duration) *PendingSaves {
	return &PendingSaves{book: newBook[map[Key]bool](maxAge)}
}

// Apply keeps a neighbour's word, unless a newer one is known.
func (l *PendingSaves) Apply(from string, seq uint64, told []Key, now time.Time) {
	w := make(map[Key]bool, len(told))
	for _, k := range told {
		w[k] = true
	}
	l.book.take(from, seq, w, now)
}

// Has says whether a neighbour told of a part.
func (l *PendingSaves) Has(k Key, now time.Time) bool {
	has := false
	l.book.each(now, func(_ string, w map[Key]bool, _ time.Duration) { has = has || w[k] })
	return has
}

// Reports returns each neighbour's word that still counts.
func (l *PendingSaves) Reports(now time.Time) map[string][]Key {
	out := map[string][]Key{}
	l.book.each(now, func(from string, w map[Key]bool, _ time.Duration) {
		for k := range w {
			out[from] = append(out[from], k)
		}
	})
	return out
}
