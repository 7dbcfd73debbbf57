// Package loads is what instances know of one another's work under way at the targets: each
// tells its neighbours sums, which fade until the next word comes. It does no I/O.
package loads

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

// Amount is work under way.
type Amount struct {
	Tokens int // of prompts that are not read yet
	Memory int // tokens of the target's memory that runs keep
}

func (a Amount) plus(b Amount) Amount {
	return Amount{Tokens: a.Tokens + b.Tokens, Memory: a.Memory + b.Memory}
}

// Load is the work under way at one target, as it is told.
type Load struct {
	_      struct{} `cbor:",toarray"`
	Target Key
	Tokens int
	Memory int
}

// leastTold is the smallest number of tokens worth telling.
const leastTold = 256

// Sums is work under way by target.
type Sums map[Key]Amount

// Add adds work at one target.
func (s Sums) Add(k Key, a Amount) { s[k] = s[k].plus(a) }

// AddAll adds others' work.
func (s Sums) AddAll(other Sums) {
	for k, a := range other {
		s.Add(k, a)
	}
}

// Told lists what is worth telling.
func (s Sums) Told() []Load {
	var out []Load
	for k, a := range s {
		if max(a.Tokens, a.Memory) >= leastTold {
			out = append(out, Load{Target: k, Tokens: a.Tokens, Memory: a.Memory})
		}
	}
	return out
}

// Heard is what the neighbours told lately. It is safe for use by several goroutines. Use
// NewHeard.
type Heard struct{ book *book[Sums] }

// NewHeard returns one that knows of no work. A word counts for maxAge.
func NewHeard(maxAge time.Duration) *Heard { return &Heard{book: newBook[Sums](maxAge)} }

// Take keeps a neighbour's word, unless a newer one is known or it is a former
// process's.
func (h *Heard) Take(from string, seq uint64, told []Load, now time.Time) {
	sums := make(Sums, len(told))
	for _, l := range told {
		sums.Add(l.Target, Amount{Tokens: l.Tokens, Memory: l.Memory})
	}
	h.book.take(from, seq, sums, now)
}

// faded is an amount that was told some time ago. What waits fades with the age of the
// word, since targets work on it; what runs keep does not, since runs last longer than
// a word counts.
func (h *Heard) faded(a Amount, age time.Duration) Amount {
	left := 1 - float64(age)/float64(h.book.maxAge)
	return Amount{Tokens: int(float64(a.Tokens) * left), Memory: a.Memory}
}

// At is what the neighbours have under way at some targets, in the order of keys.
func (h *Heard) At(keys []Key, now time.Time) []Amount {
	out := make([]Amount, len(keys))
	h.book.each(now, func(_ string, sums Sums, age time.Duration) {
		for i, k := range keys {
			if a, ok := sums[k]; ok {
				out[i] = out[i].plus(h.faded(a, age))
			}
		}
	})
	return out
}

// Words returns each neighbour's word that still counts, faded.
func (h *Heard) Words(now time.Time) map[string]Sums {
	out := map[string]Sums{}
	h.book.each(now, func(from string, told Sums, age time.Duration) {
		sums := make(Sums, len(told))
		for k, a := range told {
			sums[k] = h.faded(a, age)
		}
		out[from] = sums
	})
	return out
}
