// Package slots predicts how long a request waits for a slot at a target that runs a fixed number
// of requests at once, decides whether waiting would exceed the request's deadline, and learns the
// time that a request occupies a slot. The package does no I/O and reads no clock.
package slots

import (
	"math"
	"time"
)

// Load is the load of one target, as an instance estimates it.
type Load struct {
	Slots int     // requests that the target runs at once; 0: not known
	Own   int     // requests of this instance at the target
	Peers float64 // mean number of the other instances' requests there, as they report it
}

// Requests returns the estimated number of requests at the target.
func (l Load) Requests() float64 { return float64(l.Own) + l.Peers }

// HasFree reports whether a slot is free by the estimate. It is true if the slots are not known.
func (l Load) HasFree() bool { return l.Slots <= 0 || l.Requests() < float64(l.Slots) }

// Wait returns how long a further request waits until it gets a slot, if the number of requests is
// exactly as estimated, in ms. It is 0 while a slot is free.
func (l Load) Wait(serviceMS float64) float64 {
	if l.HasFree() {
		return 0
	}
	return (l.Requests() + 1 - float64(l.Slots)) * serviceMS / float64(l.Slots)
}

// MeanWait returns the mean of Wait, in ms, if the number of the peers' requests varies around the
// reported mean as in a Poisson process. Reports are 50 to 250 ms old and requests end in less than
// that, so only the mean is known. In contrast to Wait it grows smoothly before the slots are full.
func (l Load) MeanWait(serviceMS float64) float64 {
	if l.Slots <= 0 {
		return 0
	}
	excess := l.Requests() + 1 - float64(l.Slots)
	deviation := math.Sqrt(math.Max(l.Peers, 0))
	if deviation == 0 {
		return math.Max(excess, 0) * serviceMS / float64(l.Slots)
	}
	// The normal approximation of the distribution takes the same time for any number of slots.
	z := excess / deviation
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	probability := math.Erfc(-z/math.Sqrt2) / 2
	return math.Max(excess*probability+deviation*density, 0) * serviceMS / float64(l.Slots)
}

// dampingMS is the service time at which half of a difference between reported loads counts. All
// instances act on the same reports, which are older than short requests last: counted in full,
// differences would make all instances send to the same target until the next report.
const dampingMS = 2000.0

// Damped returns the load with which targets are compared. Of the difference between the peers'
// requests at the target and their mean at all targets it counts a part, which is smaller the
// shorter the requests are compared with the age of the reports.
func (l Load) Damped(meanPeers, serviceMS float64) Load {
	l.Peers = meanPeers + serviceMS/(serviceMS+dampingMS)*(l.Peers-meanPeers)
	return l
}

// countedWait is the part of the predicted wait that counts against a request's deadline. The
// estimate is up to 250 ms old, and a request is refused only if it clearly can't be answered.
const countedWait = 0.75

// Excess returns by how much the answer of a further request is predicted to come later than the
// time that the request has left, in ms. It is 0 while a slot is free, while the service time is
// not known, or if the answer is predicted in time.
func (l Load) Excess(serviceMS, timeLeftMS float64) float64 {
	if serviceMS <= 0 || l.HasFree() {
		return 0
	}
	return math.Max(countedWait*l.Wait(serviceMS)+serviceMS-timeLeftMS, 0)
}

// Constants of Retry-After.
const (
	minRetryAfter = 50 * time.Millisecond
	// retrySpread is the upper end of the random factor that keeps callers from returning together.
	retrySpread = 1.5
	// maxRetryAfterShare is the part of the remaining time that callers wait at most.
	maxRetryAfterShare = 1.0 / 3
)

// RetryAfter returns when a refused caller should return: after the time in which the queue falls
// to what its deadline allows, which is the smallest excess of all targets, spread over 1 to
// retrySpread times that. random is uniform in [0, 1).
func RetryAfter(excessMS, timeLeftMS, random float64) time.Duration {
	ms := math.Min(excessMS, timeLeftMS*maxRetryAfterShare/retrySpread) * (1 + (retrySpread-1)*random)
	return max(time.Duration(ms*float64(time.Millisecond)), minRetryAfter)
}

// ServiceTime is the learned time that a request of a service occupies a slot. The zero value has
// no observations. It is not safe for concurrent use.
type ServiceTime struct {
	ms      float64
	samples int
}

// Constants of the estimate.
const (
	// minSamples is the number of observations without a queue from which on the estimate is used.
	minSamples = 10
	// gainDown and gainUp are the gains for observations below and above the estimate. gainDown is
	// larger, so that the estimate stays near the shortest observations: longer ones may include time
	// in the target's queue that the load reports don't show.
	gainDown = 0.1
	gainUp   = 0.01
	// maxRise bounds an observation to a multiple of the estimate: a target that stalls says nothing
	// about the service time.
	maxRise = 3.0
)

// Observe records the time from sending a request to its whole answer. mayHaveQueued tells that the
// target was not known to have a free slot: the time may then include a wait, and can only lower the
// estimate.
func (s *ServiceTime) Observe(elapsed time.Duration, mayHaveQueued bool) {
	ms := float64(elapsed) / float64(time.Millisecond)
	switch {
	case mayHaveQueued && (s.samples == 0 || ms >= s.ms):
		return
	case s.samples == 0:
		s.ms = ms
	case ms < s.ms:
		s.ms += gainDown * (ms - s.ms)
	default:
		s.ms += gainUp * (math.Min(ms, maxRise*s.ms) - s.ms)
	}
	if !mayHaveQueued {
		s.samples++
	}
}

// Estimate returns the estimate in ms, or 0 until there are enough observations.
func (s *ServiceTime) Estimate() float64 {
	if s.samples < minSamples {
		return 0
	}
	return s.ms
}
