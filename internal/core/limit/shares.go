package limit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Demand is the rate at which one instance receives requests of one customer, refused ones
// included, in requests per second.
type Demand struct {
	Customer string  `cbor:"1,keyasint"`
	Rate     float64 `cbor:"2,keyasint"`
}

// Shares divides every customer's limits among the instances in proportion to their demand,
// without a coordinator. Each instance reports its own demand in the messages that it sends to
// random peers anyway, and takes the share own / (own + demand of all others). The demand of
// all others is extrapolated from the recent peer reports, which are a fair sample of the
// fleet. The shares add up to one if the estimates agree.
type Shares struct {
	own   map[string]*meter      // by customer
	peers map[string]*peerDemand // by instance
}

// peerDemand is the last report of a peer.
type peerDemand struct {
	receivedAt time.Time
	rates      map[string]float64 // by customer
}

// NewShares returns Shares without any demand.
func NewShares() *Shares {
	return &Shares{own: map[string]*meter{}, peers: map[string]*peerDemand{}}
}

// meter is an exponentially weighted rate of events, per second.
type meter struct {
	rate      float64
	updatedAt time.Time
}

// Constants of the estimates.
const (
	meterWindow   = 3 * time.Second  // time in which the weight of an event falls to 1/e
	peerDemandTTL = 30 * time.Second // age above which a peer's report is ignored
	minRate       = 0.05             // a lower demand, in requests per second, counts as none
)

// add counts n events.
func (m *meter) add(n float64, now time.Time) {
	m.decay(now)
	m.rate += n / meterWindow.Seconds()
}

// decay updates the rate to a point in time and returns it.
func (m *meter) decay(now time.Time) float64 {
	if d := now.Sub(m.updatedAt); d > 0 && !m.updatedAt.IsZero() {
		m.rate *= math.Exp(-d.Seconds() / meterWindow.Seconds())
	}
	m.updatedAt = now
	return m.rate
}

// RecordRequest counts a request of a customer, admitted or not.
func (s *Shares) RecordRequest(customer string, now time.Time) {
	m := s.own[customer]
	if m == nil {
		m = &meter{}
		s.own[customer] = m
	}
	m.add(1, now)
}

// TopDemands returns the n largest demands at this instance, the largest first.
func (s *Shares) TopDemands(n int, now time.Time) []Demand {
	var demands []Demand
	for c, m := range s.own {
		if r := m.decay(now); r >= minRate {
			demands = append(demands, Demand{Customer: c, Rate: r})
		} else {
			delete(s.own, c)
		}
	}
	slices.SortFunc(demands, func(a, b Demand) int { return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Customer, b.Customer)) })
	return demands[:min(len(demands), n)]
}

// SetPeerDemands replaces the demands of a peer. Customers that it does not list have no demand
// there.
func (s *Shares) SetPeerDemands(instance string, demands []Demand, now time.Time) {
	p := &peerDemand{receivedAt: now, rates: map[string]float64{}}
	for _, d := range demands {
		if d.Rate >= 0 && !math.IsInf(d.Rate, 0) {
			p.rates[d.Customer] = d.Rate
		}
	}
	s.peers[instance] = p
	for name, peer := range s.peers {
		if now.Sub(peer.receivedAt) > peerDemandTTL {
			delete(s.peers, name)
		}
	}
}

// Share returns this instance's part of a customer's limits in a fleet of a given size. It is at
// least a quarter of an equal part, so that a customer whose requests move to this instance is
// not refused until the peers' reports have caught up.
func (s *Shares) Share(customer string, instances int, now time.Time) float64 {
	n := float64(max(instances, 1))
	own := 0.0
	if m := s.own[customer]; m != nil {
		own = m.decay(now)
	}
	reported, reporting := 0.0, 0.0
	for _, p := range s.peers {
		if now.Sub(p.receivedAt) <= peerDemandTTL {
			reporting++
			reported += p.rates[customer]
		}
	}
	if reporting == 0 || own+reported < minRate {
		return 1 / n
	}
	others := reported * math.Max(n-1, reporting) / reporting
	return math.Min(1, math.Max(own/(own+others), 1/(minShareDivisor*n)))
}

// minShareDivisor is the divisor of an equal part that gives the smallest share.
const minShareDivisor = 4
