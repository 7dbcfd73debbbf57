// Package fairshare decides which customers use more than their max-min fair share of a service's
// capacity while that is scarce. It does no I/O and has no clock.
package fairshare

import (
	"math"
	"slices"
	"time"
)

// Use is a customer's use of a service's capacity, in tokens of its targets' memory.
type Use struct {
	Held  int // by requests in progress
	Unmet int // asked for in addition and refused
}

// Plus returns the sum of two uses.
func (u Use) Plus(other Use) Use { return Use{Held: u.Held + other.Held, Unmet: u.Unmet + other.Unmet} }

// Demand returns what the customer asks for.
func (u Use) Demand() int { return u.Held + u.Unmet }

// tolerance is the factor by which a customer may exceed its share. Sums vary by single requests; without
// a margin, about half of the customers that ask for equally much would be above their share at any moment.
const tolerance = 1.1

// MaxMinShare returns the max-min fair share of a capacity: the largest amount such that the parts of the
// demands up to this amount fit into the capacity. It is +Inf if all demands fit.
func MaxMinShare(capacity int, demands []int) float64 {
	left := float64(capacity)
	for i, d := range slices.Sorted(slices.Values(demands)) {
		equal := left / float64(len(demands)-i)
		if float64(d) > equal {
			return equal
		}
		left -= float64(d)
	}
	return math.Inf(1)
}

// Above returns the customers that hold more than their fair share. The capacity that is divided is what
// all of them hold: it is scarce, so that no more is to be had. A customer that asks for at most an equal
// part of it is never above its share, and nobody is if no other customer was refused anything.
func Above[K comparable](uses map[K]Use) map[K]bool {
	capacity, demands := 0, make([]int, 0, len(uses))
	for _, u := range uses {
		capacity += u.Held
		demands = append(demands, u.Demand())
	}
	limit := tolerance * MaxMinShare(capacity, demands)
	var above map[K]bool
	for k, u := range uses {
		if float64(u.Held) > limit {
			if above == nil {
				above = map[K]bool{}
			}
			above[k] = true
		}
	}
	return above
}

// holdTime is how long a refused request is assumed to have held its memory otherwise: a target's memory
// turns over in one to four seconds.
const holdTime = 2 * time.Second

// Unmet estimates how much more a customer would hold if nothing were refused: the refused tokens, which
// decay exponentially with holdTime. At a constant rate of refusals it is this rate times holdTime. The
// zero value is ready for use.
type Unmet struct {
	tokens float64
	at     time.Time
}

// Add adds the tokens of a refused request.
func (u *Unmet) Add(tokens int, now time.Time) {
	u.tokens, u.at = u.decayed(now)+float64(tokens), now
}

// At returns the estimate.
func (u *Unmet) At(now time.Time) int { return int(u.decayed(now)) }

func (u *Unmet) decayed(now time.Time) float64 {
	return u.tokens * math.Exp(-max(now.Sub(u.at), 0).Seconds()/holdTime.Seconds())
}

const (
	// ScarceTime is how long capacity counts as scarce after a refusal.
	ScarceTime = 5 * time.Second
	// settleTime is how long capacity must have been scarce until customers are compared. By then the
	// reports of 1,000 instances have arrived over seven hops of 50 or 100 ms. Sums of a few instances
	// vary so much that they would put customers above their share that use little.
	settleTime = time.Second
)

// Scarcity tracks since when a service's capacity has been scarce. The zero value is ready for use.
type Scarcity struct{ since, until time.Time }

// Refused records that a request was refused for lack of capacity some time before now.
func (s *Scarcity) Refused(age time.Duration, now time.Time) {
	until := now.Add(ScarceTime - age)
	if !until.After(now) {
		return
	}
	if !s.Active(now) {
		s.since = now
	}
	if until.After(s.until) {
		s.until = until
	}
}

// Restart records that the known sums are incomplete again from now on.
func (s *Scarcity) Restart(now time.Time) { s.since = now }

// Active reports whether capacity is scarce.
func (s *Scarcity) Active(now time.Time) bool { return now.Before(s.until) }

// Settled reports whether capacity is scarce and has been for long enough to compare customers.
func (s *Scarcity) Settled(now time.Time) bool {
	return s.Active(now) && now.Sub(s.since) >= settleTime
}

// Until returns when capacity stops to count as scarce.
func (s *Scarcity) Until() time.Time { return s.until }
