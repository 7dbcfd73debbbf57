package limit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Demand is what one instance is asked for on behalf of one customer, in
// requests a second, refused ones included.
type Demand struct {
	Customer string  `cbor:"1,keyasint"`
	Rate     float64 `cbor:"2,keyasint"`
}

// Shares divides every customer's limits among the instances by their demand,
// with no coordinator: each instance tells its own demand on messages that go to
// random others anyway, and takes the part own / (own + what all others are
// asked for). What all others are asked for is estimated from those lately heard
// of, who are a fair sample of all. While the estimates agree the parts add up
// to one.
type Shares struct {
	own   map[string]*meter
	known map[string]*peerDemand // by instance
}

// peerDemand is what another instance last told.
type peerDemand struct {
	at    time.Time
	rates map[string]float64
}

// NewShares knows of no demand.
func NewShares() *Shares {
	return &Shares{own: map[string]*meter{}, known: map[string]*peerDemand{}}
}

// meter is an exponentially weighted rate of events.
type meter struct {
	rate float64
	at   time.Time
}

// Times of the estimates.
const (
	meterWindow = 3 * time.Second  // weight of the past falls to 1/e
	knownFor    = 30 * time.Second // age at which another's word is dropped
	quietRate   = 0.05             // requests a second below which there is no demand
)

func (m *meter) add(n float64, now time.Time) {
	m.decay(now)
	m.rate += n / meterWindow.Seconds()
}

func (m *meter) decay(now time.Time) float64 {
	if d := now.Sub(m.at); d > 0 && !m.at.IsZero() {
		m.rate *= math.Exp(-d.Seconds() / meterWindow.Seconds())
	}
	m.at = now
	return m.rate
}

// RecordRequest notes one request of a customer, admitted or not.
func (s *Shares) RecordRequest(customer string, now time.Time) {
	m := s.own[customer]
	if m == nil {
		m = &meter{}
		s.own[customer] = m
	}
	m.add(1, now)
}

// TopDemands returns the greatest demands here, at most n.
func (s *Shares) TopDemands(n int, now time.Time) []Demand {
	var out []Demand
	for c, m := range s.own {
		if r := m.decay(now); r >= quietRate {
			out = append(out, Demand{Customer: c, Rate: r})
		} else {
			delete(s.own, c)
		}
	}
	slices.SortFunc(out, func(a, b Demand) int { return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Customer, b.Customer)) })
	return out[:min(len(out), n)]
}

// SetPeerDemands takes another instance's demands; what it leaves out is none.
func (s *Shares) SetPeerDemands(instance string, demands []Demand, now time.Time) {
	p := &peerDemand{at: now, rates: map[string]float64{}}
	for _, d := range demands {
		if d.Rate >= 0 && !math.IsInf(d.Rate, 0) {
			p.rates[d.Customer] = d.Rate
		}
	}
	s.known[instance] = p
	for name, old := range s.known {
		if now.Sub(old.at) > knownFor {
			delete(s.known, name)
		}
	}
}

// Share is this instance's part of a customer's limits, among so many
// instances. Never less than a quarter of an equal part, so that a customer who
// moves here is not shut out until the news has spread.
func (s *Shares) Share(customer string, instances int, now time.Time) float64 {
	n := float64(max(instances, 1))
	own := 0.0
	if m := s.own[customer]; m != nil {
		own = m.decay(now)
	}
	sum, heard := 0.0, 0.0
	for _, p := range s.known {
		if now.Sub(p.at) <= knownFor {
			heard++
			sum += p.rates[customer]
		}
	}
	if heard == 0 || own+sum < quietRate {
		return 1 / n
	}
	others := sum * math.Max(n-1, heard) / heard
	return math.Min(1, math.Max(own/(own+others), 1/(leastPart*n)))
}

// leastPart bounds a share from below: one over this, of an equal part.
const leastPart = 4
