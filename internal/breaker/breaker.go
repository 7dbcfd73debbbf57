// Package breaker keeps calls away from targets and stores that fail.
package breaker

import (
	"sync"
	"time"
)

// Set keeps calls away from what failed, for a while that doubles. Use New.
type Set struct {
	mu  sync.Mutex
	now func() time.Time
	m   map[string]*breaker

	failing int // entries with failures

	asked map[string]askedRest // see Ask
}

type breaker struct {
	failures int
	until    time.Time
	asked    bool // the rest that ended last was asked for
}

// Bounds of a rest.
const (
	restBase = 500 * time.Millisecond
	restMax  = 30 * time.Second
)

// New returns breakers that are all closed.
func New(now func() time.Time) *Set { return &Set{now: now, m: map[string]*breaker{}} }

// Open says whether name may be called. When its rest ends one call at a
// time tries it, so that its return is no storm.
func (b *Set) Open(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.m[name]
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

// Resting returns the names that may not be called now since they failed; the common answer is
// none. The caller is to try those whose rest has ended: others rest on meanwhile. A name that
// asked for rest is not tried before its end, see Asked.
func (b *Set) Resting() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	resting, due := b.sick()
	for _, name := range due {
		b.m[name].until = b.now().Add(restBase)
	}
	return resting
}

// Sick is Resting for a caller that chooses one of several names: the trial of a name that had
// asked for its rest is not its own before it has taken it with Try.
func (b *Set) Sick() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	resting, due := b.sick()
	for _, name := range due {
		if e := b.m[name]; !e.asked {
			e.until = b.now().Add(restBase)
		}
	}
	return resting
}

// Try says whether name may be called now by a caller that found it not resting; of one that had
// asked for rest, one call at a time.
func (b *Set) Try(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.m[name]
	if e == nil || e.failures < sickAfter || !e.asked {
		return true
	}
	now := b.now()
	if now.Before(e.until) {
		return false
	}
	e.until = now.Add(restBase)
	return true
}

// sick returns the names that rest since they failed, and those whose rest has ended; b.mu is
// held.
func (b *Set) sick() (resting, due []string) {
	b.endAsked()
	if b.failing == 0 {
		return nil, nil
	}
	now := b.now()
	for name, e := range b.m {
		_, asks := b.asked[name]
		switch {
		case asks || e.failures < sickAfter:
		case now.Before(e.until):
			resting = append(resting, name)
		default:
			due = append(due, name)
		}
	}
	return resting, due
}

// sickAfter is how many failures in a row make one sick: one can be the
// request's own.
const sickAfter = 2

// Result notes a call's end.
func (b *Set) Result(name string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.m[name]
	if e == nil {
		e = &breaker{}
		b.m[name] = e
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
	e.asked = false
	e.until = b.now().Add(min(restBase<<min(e.failures-1, 8), restMax))
}

// Rest keeps calls away from name for at least d, whether or not it failed.
func (b *Set) Rest(name string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.sicken(name)
	if until := b.now().Add(d); until.After(e.until) {
		e.until = until
	}
}

// sicken counts name as one that failed, and returns its entry; b.mu is held.
func (b *Set) sicken(name string) *breaker {
	e := b.m[name]
	if e == nil {
		e = &breaker{}
		b.m[name] = e
	}
	if e.failures == 0 {
		b.failing++
	}
	e.failures, e.asked = max(e.failures, sickAfter), false
	return e
}

// Keep forgets all names but those that keep names. A rest that was asked for holds until its
// end: a name may be unknown for a while and come back.
func (b *Set) Keep(keep func(name string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, e := range b.m {
		if keep(name) {
			continue
		}
		if e.failures > 0 {
			b.failing--
		}
		delete(b.m, name)
	}
}
