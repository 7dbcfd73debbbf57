// Package loads is what instances know of one another's work under way at the targets: each
// tells its neighbours sums, which fade until the next word comes. It does no I/O.
package loadreport

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key names a target in words of load: a hash of its id that all instances work out. It
// takes 5 bytes where the id takes some 25, and an instance of a large fleet names up to
// 256 targets 20 times a second. Two of 600 targets share one with a probability of
// 1 in 24,000; each then seems to have the other's work too, no more.
type Key uint32

// KeyOf is the key of a target's id.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// Work is work under way.
type Work struct {
	Tokens int // of prompts that are not read yet
	Memory int // tokens of the target's memory that runs keep
}

func (a Work) plus(b Work) Work {
	return Work{Tokens: a.Tokens + b.Tokens, Memory: a.Memory + b.Memory}
}

// TargetWork is the work under way at one target, as it is told.
type TargetWork struct {
	_      struct{} `cbor:",toarray"`
	Target Key
	Tokens int
	Memory int
}

// leastTold is the smallest number of tokens worth telling.
const leastTold = 256

// WorkByTarget is work under way by target.
type WorkByTarget map[Key]Work

// Add adds work at one target.
func (s WorkByTarget) Add(k Key, a Work) { s[k] = s[k].plus(a) }

// AddAll adds others' work.
func (s WorkByTarget) AddAll(other WorkByTarget) {
	for k, a := range other {
		s.Add(k, a)
	}
}

// Report lists what is worth telling.
func (s WorkByTarget) Report() []TargetWork {
	var out []TargetWork
	for k, a := range s {
		if max(a.Tokens, a.Memory) >= leastTold {
			out = append(out, TargetWork{Target: k, Tokens: a.Tokens, Memory: a.Memory})
		}
	}
	return out
}

// PeerWork is what the neighbours told lately. It is safe for use by several goroutines. Use
// NewPeerWork.
type PeerWork struct{ book *book[WorkByTarget] }

// NewPeerWork returns one that knows of no work. A word counts for maxAge.
func NewPeerWork(maxAge time.Duration) *PeerWork {
	return &PeerWork{book: newBook[WorkByTarget](maxAge)}
}

// Apply keeps a neighbour's word, unless a newer one is known or it is a former
// process's.
func (h *PeerWork) Apply(from string, seq uint64, told []TargetWork, now time.Time) {
	sums := make(WorkByTarget, len(told))
	for _, l := range told {
		sums.Add(l.Target, Work{Tokens: l.Tokens, Memory: l.Memory})
	}
	h.book.take(from, seq, sums, now)
}

// faded is an amount that was told some time ago. What waits fades with the age of the
// word, since targets work on it; what runs keep does not, since runs last longer than
// a word counts.
func (h *PeerWork) faded(a Work, age time.Duration) Work {
	left := 1 - float64(age)/float64(h.book.maxAge)
	return Work{Tokens: int(float64(a.Tokens) * left), Memory: a.Memory}
}

// At is what the neighbours have under way at some targets, in the order of keys.
func (h *PeerWork) At(keys []Key, now time.Time) []Work {
	out := make([]Work, len(keys))
	h.book.each(now, func(_ string, sums WorkByTarget, age time.Duration) {
		for i, k := range keys {
			if a, ok := sums[k]; ok {
				out[i] = out[i].plus(h.faded(a, age))
			}
		}
	})
	return out
}

// Reports returns each neighbour's word that still counts, faded.
func (h *PeerWork) Reports(now time.Time) map[string]WorkByTarget {
	out := map[string]WorkByTarget{}
	h.book.each(now, func(from string, told WorkByTarget, age time.Duration) {
		sums := make(WorkByTarget, len(told))
		for k, a := range told {
			sums[k] = h.faded(a, age)
		}
		out[from] = sums
	})
	return out
}
