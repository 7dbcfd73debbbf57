package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/prefix"
)

// loads counts this instance's own work at each target.
type loads struct {
	mu      sync.RWMutex
	targets map[string]*load
}

// load is one target's own work: runs, and prompt tokens not yet computed.
type load struct {
	runs   atomic.Int64
	tokens atomic.Int64
}

func (l *loads) init() { l.targets = map[string]*load{} }

func (l *loads) of(target string) *load {
	l.mu.RLock()
	e := l.targets[target]
	l.mu.RUnlock()
	if e != nil {
		return e
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if e = l.targets[target]; e == nil {
		e = &load{}
		l.targets[target] = e
	}
	return e
}

// hints joins the residency hints and the own load for core/route.
type hints struct{ d *Dispatcher }

// Resident implements route.Hints.
func (h hints) Resident(target string, keys []prefix.Key) int {
	return h.d.Hints.Resident(target, keys)
}

// Inflight implements route.Hints.
func (h hints) Inflight(target string) (runs, tokens int) {
	e := h.d.load.of(target)
	return int(e.runs.Load()), int(e.tokens.Load())
}

// breakers keep calls away from stores that failed, for a while that doubles.
type breakers struct {
	mu  sync.Mutex
	now func() time.Time
	m   map[string]*breaker

	failing int // entries with failures
}

type breaker struct {
	failures int
	until    time.Time
}

// Bounds of a store's rest.
const (
	restBase = 500 * time.Millisecond
	restMax  = 30 * time.Second
)

func (b *breakers) init(now func() time.Time) { b.now, b.m = now, map[string]*breaker{} }

// open says whether the store may be called. When its rest ends one call at a
// time tries it, so that its return is no storm.
func (b *breakers) open(store string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.m[store]
	if e == nil || e.failures == 0 {
		return true
	}
	now := b.now()
	if now.Before(e.until) {
		return false
	}
	e.until = now.Add(restBase)
	return true
}

// resting returns the names that may not be called now; the common answer is none.
func (b *breakers) resting() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failing == 0 {
		return nil
	}
	var out []string
	now := b.now()
	for name, e := range b.m {
		if e.failures < sickAfter {
			continue
		}
		if now.Before(e.until) {
			out = append(out, name)
			continue
		}
		e.until = now.Add(restBase) // one request tries it
	}
	return out
}

// sickAfter is how many failures in a row make a target sick: one can be the
// request's own.
const sickAfter = 2

// result notes a call's end.
func (b *breakers) result(store string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.m[store]
	if e == nil {
		e = &breaker{}
		b.m[store] = e
	}
	if ok {
		if e.failures > 0 {
			b.failing--
		}
		e.failures = 0
		return
	}
	if e.failures == 0 {
		b.failing++
	}
	e.failures++
	e.until = b.now().Add(min(restBase<<min(e.failures-1, 8), restMax))
}
