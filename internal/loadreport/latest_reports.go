package loadreport

import (
	"sync"
	"time"
)

// latestReports keeps the latest report of each peer until it expires after maxAge. It is safe for
// use by several goroutines. Use newLatestReports.
type latestReports[T any] struct {
	maxAge      time.Duration
	maxDisorder time.Duration // a report with a lower number is ignored for this long

	mu     sync.Mutex
	byPeer map[string]report[T] // by instance name
}

// report is the content of a peer's report, with its number and the time of receipt.
type report[T any] struct {
	seq      uint64 // increases with each report of a peer until the peer restarts
	received time.Time
	content  T
}

func newLatestReports[T any](maxAge time.Duration) *latestReports[T] {
	return &latestReports[T]{maxAge: maxAge, maxDisorder: maxAge, byPeer: map[string]report[T]{}}
}

// apply stores a peer's report, unless one with the same or a higher number was stored less than
// maxDisorder ago, and reports whether it did. An older one doesn't count: a restarted peer numbers its
// reports from 1 again. The content must not be modified after this call.
func (l *latestReports[T]) apply(from string, seq uint64, content T, now time.Time) (stored bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old, ok := l.byPeer[from]; ok && seq <= old.seq && now.Sub(old.received) < l.maxDisorder {
		return false
	}
	l.byPeer[from] = report[T]{seq: seq, received: now, content: content}
	return true
}

// each calls f for each report that has not expired, and removes the others. f must not call
// methods of l, whose lock is held.
func (l *latestReports[T]) each(now time.Time, f func(from string, content T, age time.Duration)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for from, r := range l.byPeer {
		age := now.Sub(r.received)
		if age >= l.maxAge {
			delete(l.byPeer, from)
			continue
		}
		f(from, r.content, age)
	}
}
