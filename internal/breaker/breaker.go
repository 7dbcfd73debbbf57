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
	ends     time.Time // the rest's end; until is later while a call tries the name
	asked    bool      // the rest that ended last was asked for
}

// Bounds of a rest.
const (
	restBase = 500 * time.Millisecond
	restMax  = 30 * time.Second
	// untriedMost is how long after a rest its trials go to callers that may want another name: one
	// that fails under load needs more than its rest, and where names are many few want this one.
	untriedMost = 2 * time.Second
)

// byChoice says whether only a caller that has chosen the name tries it.
func (e *breaker) byChoice(now time.Time) bool {
	return e.asked || !now.Before(e.ends.Add(untriedMost))
}

// rest keeps calls away until then.
func (e *breaker) rest(until time.Time) { e.until, e.ends = until, until }

// New returns breakers that are all closed.
func New(now func() time.Time) *Set { return &Set{now: now, m: map[string]*breaker{}} }

// Allow says whether name may be called. When its rest ends one call at a
// time tries it, so that its return is no storm.
func (b *Set) Allow(name string) bool {
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

// Ejected returns the names that may not be called now since they failed; the common answer is
// none. The caller is to try those whose rest has ended: others rest on meanwhile. A name that
// asked for rest is not tried before its end, see Asked.
func (b *Set) Ejected() []string {
	return b.look(func(*breaker, time.Time) bool { return true })
}

// EjectedForSelection is Resting for a caller that chooses one of several names: the trial of a name that had
// asked for its rest, or went untried for long since, is not its own before it has taken it
// with Try.
func (b *Set) EjectedForSelection() []string {
	return b.look(func(e *breaker, now time.Time) bool { return !e.byChoice(now) })
}

// look returns the names that rest since they failed. The caller gets the trials that it takes.
func (b *Set) look(takes func(e *breaker, now time.Time) bool) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endAsked()
	if b.failing == 0 {
		return nil
	}
	var resting []string
	now := b.now()
	for name, e := range b.m {
		_, asks := b.asked[name]
		switch {
		case asks || e.failures < sickAfter:
		case now.Before(e.until):
			resting = append(resting, name)
		case takes(e, now):
			e.until = now.Add(restBase)
		}
	}
	return resting
}

// AllowProbe says whether name may be called now by a caller that Sick did not tell it rests: one call
// at a time where the trial is not that of the look.
func (b *Set) AllowProbe(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	e := b.m[name]
	if e == nil || e.failures < sickAfter || !e.byChoice(now) {
		return true
	}
	if now.Before(e.until) {
		return false
	}
	e.until = now.Add(restBase)
	return true
}

// sickAfter is how many failures in a row make one sick: one can be the
// request's own.
const sickAfter = 2

// RecordResult notes a call's end.
func (b *Set) RecordResult(name string, ok bool) {
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
	e.rest(b.now().Add(min(restBase<<min(e.failures-1, 8), restMax)))
}

// Eject keeps calls away from name for at least d, whether or not it failed.
func (b *Set) Eject(name string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.sicken(name)
	until := b.now().Add(d)
	if until.Before(e.until) {
		until = e.until
	}
	e.rest(until)
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

// Retain forgets all names but those that keep names. A rest that was asked for holds until its
// end: a name may be unknown for a while and come back.
func (b *Set) Retain(keep func(name string) bool) {
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
