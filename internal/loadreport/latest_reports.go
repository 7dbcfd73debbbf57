package loadreport

import (
	"sync"
	"time"
)

// latestReports keeps the latest report of each peer until it expires after maxAge. It is safe for
// use by several goroutines. Use newLatestReports.
type latestReports[T any] struct {
	maxAge time.Duration

	mu     sync.Mutex
	byPeer map[string]report[T] // by instance name
}

type report[T any] struct {
	seq      uint64
	received time.Time
	content  T
}

func newLatestReports[T any](maxAge time.Duration) *latestReports[T] {
	return &latestReports[T]{maxAge: maxAge, byPeer: map[string]report[T]{}}
}

// apply keeps a peer's report, unless a newer one is known that has not expired: a restarted peer
// numbers its reports from 1 again. A report is not changed after this call.
func (b *latestReports[T]) apply(from string, seq uint64, content T, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old, ok := b.byPeer[from]; ok && seq <= old.seq && now.Sub(old.received) < b.maxAge {
		return
	}
	b.byPeer[from] = report[T]{seq: seq, received: now, content: content}
}

// each calls f for each report that has not expired, and forgets the others. f must not call
// methods of b, whose lock is held.
func (b *latestReports[T]) each(now time.Time, f func(from string, content T, age time.Duration)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for from, r := range b.byPeer {
		age := now.Sub(r.received)
		if age >= b.maxAge {
			delete(b.byPeer, from)
			continue
		}
		f(from, r.content, age)
	}
}
