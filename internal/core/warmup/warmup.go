// Package cold keeps the requests that reach a cold target within what it bears, summed over
// all instances, without a message among them: of the instances that it knows, each works
// out which may send to the target, and each of these uses a part of what is allowed. It is
// pure.
//
// Invariant: no more than Share.Quota requests of one instance reach a target in any second.
// Those of the chosen ones add up to usedShare of the limit. The rest is for instances that
// take themselves to be chosen as well, since they do not know all others.
package warmup

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/rendezvous"
)

const (
	// usedShare is the part of the limit that the chosen instances may use together.
	usedShare = 0.6
	// mostQuota bounds what one instance sends: it may wrongly know of no other.
	mostQuota = 4
	// window is the time in which requests are counted, and a little more: what was written may
	// wait for the link.
	window = time.Second + 20*time.Millisecond
)

// Allocation is how what a target bears is divided.
type Allocation struct {
	Senders int // instances that may send to it
	Quota   int // requests that each may send in a second
}

// Allocate divides a limit, in requests a second, among so many instances: to as many as
// possible, so that what one takes wrongly is little, and callers of most can use the target.
func Allocate(limit float64, instances int) Allocation {
	used := int(math.Floor(limit * usedShare))
	s := Allocation{Senders: min(used, max(instances, 1))}
	if s.Senders > 0 {
		s.Quota = min(used/s.Senders, mostQuota)
	}
	return s
}

// Weight is how many times more than an instance that is not chosen a chosen one must send to the
// target, for it to get as much as others do.
func (s Allocation) Weight(instances int) float64 {
	return float64(max(instances, 1)) / float64(max(s.Senders, 1))
}

// IsSender says whether an instance is among those that may send to a target while it is cold:
// the first of all that are known by rendezvous hashing. Instances that know more, or fewer,
// choose nearly the same ones.
func (s Allocation) IsSender(target, self string, known []string) bool {
	return rendezvous.Rank(known, self, target) < s.Senders
}

// Limiter counts what one instance sends to cold targets. The zero value is ready. It is safe
// for use by several goroutines.
type Limiter struct {
	mu sync.Mutex
	m  map[string]*slots // by target
}

// slots are the places of a target: one is taken by a request until a second after it was
// written. Another one that is written later is in no second that both were sent and came in.
type slots struct {
	underWay int
	freeAt   []time.Time
}

func (s *slots) taken(now time.Time) int {
	s.freeAt = slices.DeleteFunc(s.freeAt, func(at time.Time) bool { return !now.Before(at) })
	return s.underWay + len(s.freeAt)
}

// Available says whether one more request may be sent to a target.
func (g *Limiter) Available(target string, quota int, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.m[target]
	return quota > 0 && (s == nil || s.taken(now) < quota)
}

// Acquire takes a place for a request that is sent now; false if there is none. Done must
// follow.
func (g *Limiter) Acquire(target string, quota int, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.m == nil {
		g.m = map[string]*slots{}
	}
	s := g.m[target]
	if s == nil {
		s = &slots{}
		g.m[target] = s
	}
	if s.taken(now) >= quota {
		return false
	}
	s.underWay++
	return true
}

// Release says that the request was written, or never will be.
func (g *Limiter) Release(target string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.m[target]
	s.underWay--
	s.freeAt = append(s.freeAt, now.Add(window))
}

// Retain forgets all targets but those that keep names, and those with requests under way.
func (g *Limiter) Retain(keep func(target string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, s := range g.m {
		if s.underWay == 0 && !keep(name) {
			delete(g.m, name)
		}
	}
}
