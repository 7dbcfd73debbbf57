// Package fresh says how long ago an instance's copy of each kind of object was known to be
// complete, whether it asked the object store itself or goes by what others tell. It is pure.
//
// Invariant: a Book calls a copy complete as of a moment only if the object store was asked
// at that moment or later, by this instance or another, and had no change that the copy lacks.
package staleness

import (
	"sync"
	"time"
)

// Kind is a kind of object that every instance keeps a copy of.
type Kind int

// Kinds of objects.
const (
	Config Kind = iota
	Targets
	Versions
	Evacuations
	kinds // their number
)

// String names the kind for logs.
func (k Kind) String() string {
	return [...]string{"configuration", "targets", "weight versions", "evacuated zones"}[k]
}

// Report is what an instance tells of one kind.
type Report struct {
	_ struct{} `cbor:",toarray"`
	// NewestRevision numbers the last change that the object store had.
	NewestRevision uint64
	// AgeMS is how long ago it was asked, by the teller's clock.
	AgeMS int64
}

// Tracker keeps the ages. The zero value knows nothing. It is safe for use by several
// goroutines.
type Tracker struct {
	mu    sync.Mutex
	pages [kinds]page
}

type page struct {
	newest   uint64    // last change that the object store is known to have had
	asked    time.Time // when it had no newer one; zero: nobody told
	have     uint64    // the copy is complete up to this change
	complete time.Time // as of when the copy was complete; zero: never known
}

// settle works out the page's age after a change.
func (p *page) settle() {
	if p.have >= p.newest && p.asked.After(p.complete) {
		p.complete = p.asked
	}
}

// Confirm notes that the object store, asked at that time, had no change after newest.
func (b *Tracker) Confirm(k Kind, newest uint64, asked time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := &b.pages[k]
	if newest > p.newest || newest == p.newest && asked.After(p.asked) {
		p.newest, p.asked = newest, asked
		p.settle()
	}
}

// SetCopyRevision notes up to which change the copy is complete.
func (b *Tracker) SetCopyRevision(k Kind, have uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := &b.pages[k]
	if have > p.have {
		p.have = have
		p.settle()
	}
}

// Age is how long ago the copy was known to be complete; known is false if it never was.
func (b *Tracker) Age(k Kind, now time.Time) (age time.Duration, known bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := &b.pages[k]
	return now.Sub(p.complete), !p.complete.IsZero()
}

// Reports is what is told to others, in the order of kinds; nil before anything is known.
func (b *Tracker) Reports(now time.Time) []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Report, kinds)
	some := false
	for i, p := range b.pages {
		out[i] = Report{NewestRevision: p.newest, AgeMS: unknownAge}
		if !p.asked.IsZero() {
			out[i].AgeMS = now.Sub(p.asked).Milliseconds() + 1 // rounded up
			some = true
		}
	}
	if !some {
		return nil
	}
	return out
}

// unknownAge stands for an age that the teller does not know.
const unknownAge = -1

// Merge takes the words of another that was asked for them at that time. The time at which
// the answer came would not do: words go round, and each round would make them younger by
// what they were under way. Words of further kinds, from a newer program, are left out.
func (b *Tracker) Merge(words []Report, asked time.Time) {
	for i, w := range words {
		if i < int(kinds) && w.AgeMS >= 0 {
			b.Confirm(Kind(i), w.NewestRevision, asked.Add(-time.Duration(w.AgeMS)*time.Millisecond))
		}
	}
}
