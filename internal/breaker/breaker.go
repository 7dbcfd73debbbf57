// Package breaker is a set of circuit breakers. It keeps calls away from targets and stores that
// fail or that have requested a backoff.
package breaker

import (
	"sync"
	"time"
)

// Set holds a circuit breaker for each name. A name that fails is ejected for a time that doubles
// with each further failure. Use New.
type Set struct {
	mu       sync.Mutex
	now      func() time.Time
	breakers map[string]*breaker

	failing int // names with failures

	backoffs map[string]backoff // see RequestBackoff
}

type breaker struct {
	failures     int
	openUntil    time.Time
	ejectionEnd  time.Time // end of the ejection; openUntil is later while a probe is under way
	afterBackoff bool      // the last ejection was a backoff that the name had requested
}

// Bounds of an ejection.
const (
	minEjection = 500 * time.Millisecond
	maxEjection = 30 * time.Second
	// maxUnprobed is how long after the end of an ejection its probes go to any caller, though that
	// caller may select another name. A name that fails under load needs more than its ejection to
	// recover; but where there are many names, few callers select this one, so that it would stay
	// unprobed without a bound.
	maxUnprobed = 2 * time.Second
)

// probesOnSelection reports whether the probe goes only to a caller that has selected the name.
func (e *breaker) probesOnSelection(now time.Time) bool {
	return e.afterBackoff || !now.Before(e.ejectionEnd.Add(maxUnprobed))
}

// ejectUntil opens the breaker until the given time.
func (e *breaker) ejectUntil(until time.Time) { e.openUntil, e.ejectionEnd = until, until }

// New returns a set in which all breakers are closed.
func New(now func() time.Time) *Set { return &Set{now: now, breakers: map[string]*breaker{}} }

// Allow reports whether name may be called. At the end of an ejection it allows one call at a time
// as a probe, so that waiting calls don't all reach the name at once.
func (b *Set) Allow(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.breakers[name]
	if e == nil || e.failures == 0 {
		return true
	}
	now := b.now()
	if now.Before(e.openUntil) {
		return false
	}
	e.openUntil = now.Add(minEjection)
	return true
}

// Ejected returns the names that may not be called now because of failures; usually there are none.
// The caller has to probe the names whose ejection has ended: for others they stay ejected
// meanwhile. A name in backoff is not probed before the backoff ends, see Backoffs.
func (b *Set) Ejected() []string {
	return b.ejected(func(*breaker, time.Time) bool { return true })
}

// EjectedForSelection is Ejected for a caller that selects one of several names. It doesn't give
// this caller the probe of a name whose backoff has ended, or that went unprobed for maxUnprobed:
// such a probe must be claimed with AllowProbe once the name is selected.
func (b *Set) EjectedForSelection() []string {
	return b.ejected(func(e *breaker, now time.Time) bool { return !e.probesOnSelection(now) })
}

// ejected returns the names that are ejected because of failures. The caller gets the probes for
// which claimsProbe returns true.
func (b *Set) ejected(claimsProbe func(e *breaker, now time.Time) bool) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireBackoffs()
	if b.failing == 0 {
		return nil
	}
	var names []string
	now := b.now()
	for name, e := range b.breakers {
		_, inBackoff := b.backoffs[name]
		switch {
		case inBackoff || e.failures < ejectAfter:
		case now.Before(e.openUntil):
			names = append(names, name)
		case claimsProbe(e, now):
			e.openUntil = now.Add(minEjection)
		}
	}
	return names
}

// AllowProbe reports whether name may be called now by a caller that has selected it from those
// that EjectedForSelection didn't return. Where the probe goes only to a caller that has selected
// the name, it allows one call at a time.
func (b *Set) AllowProbe(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	e := b.breakers[name]
	if e == nil || e.failures < ejectAfter || !e.probesOnSelection(now) {
		return true
	}
	if now.Before(e.openUntil) {
		return false
	}
	e.openUntil = now.Add(minEjection)
	return true
}

// ejectAfter is the number of consecutive failures that eject a name: a single one can be the
// request's own fault.
const ejectAfter = 2

// RecordResult records how a call ended.
func (b *Set) RecordResult(name string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.breakers[name]
	if e == nil {
		e = &breaker{}
		b.breakers[name] = e
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
	e.afterBackoff = false
	e.ejectUntil(b.now().Add(min(minEjection<<min(e.failures-1, 8), maxEjection)))
}

// Eject keeps calls away from name for at least d, whether or not a call to it failed.
func (b *Set) Eject(name string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.markFailing(name)
	until := b.now().Add(d)
	if until.Before(e.openUntil) {
		until = e.openUntil
	}
	e.ejectUntil(until)
}

// Forgive ends the ejection of a name whose failures were not its own. What follows a backoff that the name
// requested stays.
func (b *Set) Forgive(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.breakers[name]; e != nil && e.failures > 0 && !e.afterBackoff {
		b.failing--
		e.failures = 0
	}
}

// markFailing counts name as failing, and returns its breaker; b.mu is held.
func (b *Set) markFailing(name string) *breaker {
	e := b.breakers[name]
	if e == nil {
		e = &breaker{}
		b.breakers[name] = e
	}
	if e.failures == 0 {
		b.failing++
	}
	e.failures, e.afterBackoff = max(e.failures, ejectAfter), false
	return e
}

// Retain forgets the breakers of all names for which keep returns false. Backoffs stay until they
// end: a name may disappear for a while and come back.
func (b *Set) Retain(keep func(name string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, e := range b.breakers {
		if keep(name) {
			continue
		}
		if e.failures > 0 {
			b.failing--
		}
		delete(b.breakers, name)
	}
}
