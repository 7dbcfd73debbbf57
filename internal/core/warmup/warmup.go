// Package warmup limits the requests that all instances together send to a target that is
// warming up, without messages between the instances. Each instance computes from the
// instances that it knows which of them are senders for the target. Each sender uses a fixed
// quota of the target's limit. The package does no I/O and reads no clock.
//
// Invariant: at most Allocation.Quota requests of one instance reach a target in any second.
// The quotas of the senders add up to at most allocatedFraction of the limit. The rest is a
// reserve for instances that wrongly compute that they are senders, because they do not know
// all other instances.
package warmup

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/rendezvous"
)

const (
	// allocatedFraction is the part of the limit that is divided among the senders.
	allocatedFraction = 0.6
	// maxQuota bounds the quota of an instance that knows too few others, or none.
	maxQuota = 4
	// slotHold is the time for which a request occupies its slot after it was written: the
	// second over which requests are counted, and a margin for bytes that wait for the link.
	slotHold = time.Second + 20*time.Millisecond
)

// Allocation divides a target's limit among instances.
type Allocation struct {
	Senders int // number of instances that may send to the target
	Quota   int // requests per second of each sender
}

// Allocate divides a limit, in requests per second, among a number of instances. It makes as
// many of them senders as possible: then each quota is small, which bounds the excess of an
// instance that is wrongly a sender, and most callers can reach the target.
func Allocate(limit float64, instances int) Allocation {
	budget := int(math.Floor(limit * allocatedFraction))
	a := Allocation{Senders: min(budget, max(instances, 1))}
	if a.Senders > 0 {
		a.Quota = min(budget/a.Senders, maxQuota)
	}
	return a
}

// Weight returns the factor by which a sender must raise its share of requests to the target,
// so that the target gets as many requests as if all instances were sending to it.
func (a Allocation) Weight(instances int) float64 {
	return float64(max(instances, 1)) / float64(max(a.Senders, 1))
}

// IsSender reports whether an instance is a sender for a target: one of the first of the known
// instances by rendezvous hashing. Instances with different views compute nearly the same
// senders.
func (a Allocation) IsSender(target, self string, known []string) bool {
	return rendezvous.Rank(known, self, target) < a.Senders
}

// Limiter counts the requests that one instance sends to targets in warm-up. The zero value is
// ready for use. It is safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	byTarget map[string]*slots
}

// slots are the occupied slots of a target. A request occupies one until slotHold after it was
// written. A request that gets the slot afterwards cannot be sent and arrive within the same
// second as the previous one.
type slots struct {
	inFlight  int         // requests that are not yet written
	releaseAt []time.Time // ends of the holds of written requests
}

// taken frees the slots whose hold has ended and returns the number of occupied ones.
func (s *slots) taken(now time.Time) int {
	s.releaseAt = slices.DeleteFunc(s.releaseAt, func(at time.Time) bool { return !now.Before(at) })
	return s.inFlight + len(s.releaseAt)
}

// Available reports whether one more request may be sent to a target.
func (l *Limiter) Available(target string, quota int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.byTarget[target]
	return quota > 0 && (s == nil || s.taken(now) < quota)
}

// Acquire takes a slot for a request that is sent now, and reports whether one was free. If it
// returns true, Release must follow.
func (l *Limiter) Acquire(target string, quota int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byTarget == nil {
		l.byTarget = map[string]*slots{}
	}
	s := l.byTarget[target]
	if s == nil {
		s = &slots{}
		l.byTarget[target] = s
	}
	if s.taken(now) >= quota {
		return false
	}
	s.inFlight++
	return true
}

// Release is called once the request has been written, or will not be written. The slot is
// free after slotHold.
func (l *Limiter) Release(target string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.byTarget[target]
	s.inFlight--
	s.releaseAt = append(s.releaseAt, now.Add(slotHold))
}

// Retain drops all targets that are not known and have no requests in flight.
func (l *Limiter) Retain(known func(target string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, s := range l.byTarget {
		if s.inFlight == 0 && !known(name) {
			delete(l.byTarget, name)
		}
	}
}
