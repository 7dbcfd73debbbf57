package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/placement"
	"github.com/shedhoist/shedhoist/internal/core/slots"
	"github.com/shedhoist/shedhoist/internal/inflight"
	"github.com/shedhoist/shedhoist/internal/loadreport"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/problem"
)

// Waits for the slots of targets without a model, see package slots and
// docs/design/few-slots.md.

// serviceTimes holds the learned service time of each service. It is safe for concurrent use. The
// zero value has no observations.
type serviceTimes struct {
	mu        sync.Mutex
	byService map[string]*slots.ServiceTime
}

// observe records the time that a request took at a target of a service.
func (s *serviceTimes) observe(service string, elapsed time.Duration, queued bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byService == nil {
		s.byService = map[string]*slots.ServiceTime{}
	}
	if s.byService[service] == nil {
		s.byService[service] = &slots.ServiceTime{}
	}
	s.byService[service].Observe(elapsed, queued)
}

// estimate returns the service time in ms; 0: not known.
func (s *serviceTimes) estimate(service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.byService[service]; t != nil {
		return t.Estimate()
	}
	return 0
}

// retain removes the services for which known returns false.
func (s *serviceTimes) retain(known func(service string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service := range s.byService {
		if !known(service) {
			delete(s.byService, service)
		}
	}
}

// firstReportsTime is the time after the start of the process by which the peers' load reports have
// arrived.
const firstReportsTime = time.Second

// countsSlots reports whether the request competes for slots: its service has no model.
func (x *exchange) countsSlots() bool {
	return x.g.settings().Policy.Slots && x.call.Prompt == nil && x.view.Config.IsPlain(x.service)
}

// countSlot counts the request at a target with slots for the load reports. It returns a function
// that ends this.
func (x *exchange) countSlot(t *catalog.Target, load *inflight.Load) func() {
	if t.Slots <= 0 || !x.countsSlots() {
		return func() {}
	}
	load.MeanRequests.Add(1, x.g.now())
	return func() { load.MeanRequests.Add(-1, x.g.now()) }
}

// addSlots adds what is known of the targets' slots to the input of placement.
func (x *exchange) addSlots(targets []*catalog.Target, options []placement.Target, now time.Time) {
	if !x.countsSlots() {
		return
	}
	keys := make([]loadreport.Key, len(targets))
	for i, t := range targets {
		keys[i] = loadreport.KeyOf(t.ID)
	}
	peers := x.g.peerRequests.At(keys, now)
	x.requestsKnown = now.Sub(x.g.startedAt) >= firstReportsTime && x.g.peerRequests.Complete(now)
	for i, t := range targets {
		options[i].Slots, options[i].Requests = t.Slots, float64(options[i].InFlight)+peers[i]
	}
}

// addSlotQuery adds what placement needs to know of a request that competes for slots.
func (x *exchange) addSlotQuery(q *placement.Query) {
	if !x.countsSlots() {
		return
	}
	q.ServiceMS = x.g.serviceTimes.estimate(x.service)
	q.TimeLeftMS = float64(x.deadline.Sub(x.g.now())) / float64(time.Millisecond)
}

// learnServiceTime learns from a complete successful response.
func (x *exchange) learnServiceTime(at *attemptState) {
	if at.target.Slots <= 0 || x.relayed || !x.countsSlots() {
		return
	}
	x.g.serviceTimes.observe(x.service, x.g.now().Sub(at.startedAt), x.mayQueue)
}

// refuseTooLate refuses a request that has not run because every target's queue for its slots is so
// long that the response would come after the deadline.
func (x *exchange) refuseTooLate(d placement.Decision) {
	x.machine.NoTarget()
	x.decision = d
	metric.SlotRefusals.Inc()
	left := float64(x.deadline.Sub(x.g.now())) / float64(time.Millisecond)
	x.refuse(retryLater(problem.Overloaded, "the targets' queues are longer than the request's deadline allows", slots.RetryAfter(d.ExcessMS, left, rand.Float64())))
}

// ownRequests returns the mean number of this instance's requests at targets with few slots.
func (g *Gateway) ownRequests() loadreport.RequestsByTarget {
	out, now := loadreport.RequestsByTarget{}, g.now()
	if !g.settings().Policy.Slots {
		return out
	}
	g.upstream.inflight.Each(func(target string, load *inflight.Load) {
		out.AddMean(loadreport.KeyOf(target), load.MeanRequests.Mean(now), rand.Float64())
	})
	return out
}

// requestsToReport returns the requests for a neighbour: all that this instance knows, except what
// the neighbour reported itself or receives directly.
func (n neighbour) requestsToReport(own loadreport.RequestsByTarget, others map[string]loadreport.RequestsByTarget) loadreport.RequestsByTarget {
	out := loadreport.RequestsByTarget{}
	out.AddAll(own)
	for from, requests := range others {
		if n.relayedFrom[from] {
			out.AddAll(requests)
		}
	}
	return out
}
