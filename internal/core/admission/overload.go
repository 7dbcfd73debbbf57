package admission

import (
	"sync"
	"time"
)

// overloadGap is the time without refusals that ends an overload.
const overloadGap = time.Second

// Overloads tracks how long the requests of each service and level have been refused. The zero
// value is ready for use, from any goroutine.
type Overloads struct {
	mu   sync.Mutex
	runs map[overloadKey]overload
}

type overloadKey struct {
	service string
	level   int
}

// overload is a run of refusals.
type overload struct{ since, last time.Time }

// Refused records the refusal of a request, and returns how long requests of its level have been
// refused. The refusal of a more urgent request counts for all lower levels too: they have stricter
// limits, and one instance may refuse too few of their own requests to see that the overload lasts.
func (o *Overloads) Refused(service string, l Levels, level int, now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.runs == nil {
		o.runs = map[overloadKey]overload{}
	}
	for i := level; i < max(len(l), level+1); i++ {
		key := overloadKey{service, i}
		r, found := o.runs[key]
		if !found || now.Sub(r.last) > overloadGap {
			r.since = now
		}
		r.last = now
		o.runs[key] = r
	}
	return now.Sub(o.runs[overloadKey{service, level}].since)
}

// Retain forgets the services that are not known.
func (o *Overloads) Retain(known func(service string) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key := range o.runs {
		if !known(key.service) {
			delete(o.runs, key)
		}
	}
}

// Bounds of Retry-After.
const (
	// minRetryAfter and minRetrySpread are the range while an overload is young: a target's memory
	// turns over in one to four seconds.
	minRetryAfter  = 500 * time.Millisecond
	minRetrySpread = 1500 * time.Millisecond
	// levelDelay is added for each level, as a share of level 0's value, so that more urgent
	// callers return first. maxLevelDelay bounds the sum.
	levelDelay    = 0.5
	maxLevelDelay = 1.0
	// maxWaitShare bounds the value by the caller's time left: callers do not wait longer, and what
	// is left must suffice for the response.
	maxWaitShare = 1.0 / 3
)

// RetryAfter returns when a refused caller should return, for an overload of the given age. The
// overload is expected to last about as long as it already has, and callers return spread over the
// later half of that time. left is the time that the caller has left, and random is uniform in [0, 1).
func RetryAfter(level int, age, left time.Duration, random float64) time.Duration {
	factor := 1 + min(levelDelay*float64(level), maxLevelDelay)
	latest := factor * float64(max(age, minRetrySpread))
	earliest := factor * float64(max(age/2, minRetryAfter))
	latest = min(latest, maxWaitShare*float64(max(left, 0)))
	earliest = min(earliest, latest/2)
	return time.Duration(earliest + random*(latest-earliest))
}
