package loadreport

import (
	"sync"
	"time"
)

// book keeps the latest word of each neighbour while it counts. It is safe for use by several
// goroutines. Use newBook.
type book[W any] struct {
	maxAge time.Duration

	mu    sync.Mutex
	words map[string]word[W] // by instance
}

type word[W any] struct {
	seq  uint64
	at   time.Time
	said W
}

func newBook[W any](maxAge time.Duration) *book[W] {
	return &book[W]{maxAge: maxAge, words: map[string]word[W]{}}
}

// take keeps a neighbour's word, unless a newer one is known that still counts: a new process
// of the neighbour begins again at 1. Nobody changes a word once it was taken.
func (b *book[W]) take(from string, seq uint64, said W, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old, ok := b.words[from]; ok && seq <= old.seq && now.Sub(old.at) < b.maxAge {
		return
	}
	b.words[from] = word[W]{seq: seq, at: now, said: said}
}

// each calls f, which may not come back to the book, for each word that still counts; the
// others are forgotten.
func (b *book[W]) each(now time.Time, f func(from string, said W, age time.Duration)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for from, w := range b.words {
		age := now.Sub(w.at)
		if age >= b.maxAge {
			delete(b.words, from)
			continue
		}
		f(from, w.said, age)
	}
}
