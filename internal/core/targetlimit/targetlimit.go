// Package targetlimit keeps the requests that all instances together send to a target within the limit that
// the target names. Every instance knows the limits that it has heard of (Limits). For each target one
// instance, the keeper, gives out permits at the rate of the limit (Permits); nobody sends without one. The
// package does no I/O and reads no clock.
package targetlimit

import (
	"maps"
	"math"
	"sync"
	"time"
)

// Report is what an instance knows of a target's limit.
type Report struct {
	Named     bool    // false: the target has ceased to name one
	PerSecond float64 // requests that it takes from all instances together
	// At is when it was last known to hold: when the response that names the limit arrived, or when the
	// request was sent whose response names none. Of two reports the later one holds, so that a response
	// that was under way while a limit was named doesn't end it.
	At time.Time
}

// Limits holds the last report on each target, by its id. The zero value is ready for use. It is safe for
// concurrent use.
type Limits struct {
	mu      sync.Mutex
	reports map[string]Report
}

// endMemory is how long an end is remembered: older reports may still be on their way meanwhile.
const endMemory = time.Minute

// Learn takes note of a report and reports whether it changes the limit.
func (l *Limits) Learn(target string, r Report) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, known := l.reports[target]
	if known && !r.At.After(last.At) || !known && !r.Named {
		return false
	}
	if l.reports == nil {
		l.reports = map[string]Report{}
	}
	l.reports[target] = r
	return r.Named != last.Named || r.PerSecond != last.PerSecond
}

// Of returns the last report on a target, and whether there is one.
func (l *Limits) Of(target string) (r Report, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, known = l.reports[target]
	return r, known
}

// All returns the last reports on all targets, by id. It is usually empty.
func (l *Limits) All() map[string]Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.reports)
}

// Count returns the number of targets that name a limit.
func (l *Limits) Count() int {
	n := 0
	for _, r := range l.All() {
		if r.Named {
			n++
		}
	}
	return n
}

// Retain forgets targets that are not kept, and ends that are past.
func (l *Limits) Retain(keep func(target string) bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.reports, func(target string, r Report) bool {
		return !keep(target) || !r.Named && now.Sub(r.At) > endMemory
	})
}

// Permits gives out the permits to send requests to targets, by id. The zero value is ready for use. It is
// safe for concurrent use.
//
// Invariant: in any time t, a target's permits are at most perSecond*t + the burst.
type Permits struct {
	mu      sync.Mutex
	buckets map[string]bucket
}

// bucket is a token bucket, see Permits.
type bucket struct {
	level float64
	at    time.Time
}

const (
	// burstTime is the time for whose permits a target's bucket has room, besides one permit.
	burstTime = 250 * time.Millisecond
	// maxPermitWait bounds the time until a permit is due that is told.
	maxPermitWait = 10 * time.Second
)

// Take takes a permit for one request to a target whose limit is perSecond, as far as this keeper may use it.
// If there is none, it returns the time until there may be one. A target's first permit is due only after
// the time that one takes: another keeper may just have given one.
func (p *Permits) Take(target string, perSecond float64, now time.Time) (ok bool, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.buckets == nil {
		p.buckets = map[string]bucket{}
	}
	b, exists := p.buckets[target]
	if exists {
		b.level = math.Min(1+perSecond*burstTime.Seconds(), b.level+perSecond*now.Sub(b.at).Seconds())
	}
	b.at = now
	if ok = b.level >= 1; ok {
		b.level--
	}
	p.buckets[target] = b
	return ok, permitWait(1-b.level, perSecond)
}

// permitWait returns the time in which a rate gives a part of a permit.
func permitWait(missing, perSecond float64) time.Duration {
	if missing <= 0 {
		return 0
	}
	if missing >= perSecond*maxPermitWait.Seconds() {
		return maxPermitWait
	}
	return time.Duration(math.Ceil(missing / perSecond * float64(time.Second)))
}

// Retain forgets targets that are not kept.
func (p *Permits) Retain(keep func(target string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.buckets, func(target string, _ bucket) bool { return !keep(target) })
}
