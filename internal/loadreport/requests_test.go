package loadreport_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/loadreport"
)

// TestPeerRequests checks that the peers' reports add up until they expire, that a late older one
// replaces nothing, and that nothing is left of a peer that reports no requests any more.
func TestPeerRequests(t *testing.T) {
	is := is.New(t)
	p, now := loadreport.NewPeerRequests(age), time.Unix(0, 0)
	key := loadreport.KeyOf("t")
	apply := func(from string, seq uint64, units int, at time.Time) {
		p.Apply(from, seq, []loadreport.TargetRequests{{Target: key, Units: units}}, at)
	}
	at := func(now time.Time) float64 {
		got := p.At([]loadreport.Key{loadreport.KeyOf("other"), key}, now)
		is.Equal(got[0], 0.0)
		return got[1]
	}
	apply("a", 2, 32, now)
	apply("a", 1, 160, now) // arrives late
	apply("b", 1, 8, now)
	is.Equal(at(now), 2.5)
	is.Equal(at(now.Add(age-1)), 2.5) // counts in full until it expires
	p.Apply("a", 3, nil, now)
	is.Equal(at(now), 0.5)
	is.Equal(len(p.Reports(now)), 2)
	is.Equal(at(now.Add(age)), 0.0)
}

// TestPeerRequestsComplete guards against taking targets for empty whose load is not known since
// reports are lost, and against waiting for the reports of idle or stopped peers.
func TestPeerRequestsComplete(t *testing.T) {
	is := is.New(t)
	p, now := loadreport.NewPeerRequests(age), time.Unix(0, 0)
	is.True(p.Complete(now))
	requests := []loadreport.TargetRequests{{Target: 1, Units: 3}}
	p.Apply("a", 1, requests, now)
	p.Apply("b", 1, requests, now)
	is.True(p.Complete(now.Add(age - 1)))
	p.Apply("b", 2, nil, now.Add(age-1)) // the last report of an idle peer is empty
	is.True(!p.Complete(now.Add(age)))
	p.Apply("a", 2, requests, now.Add(2*age))
	is.True(p.Complete(now.Add(3*age - 1)))
	is.True(!p.Complete(now.Add(3 * age)))
	is.True(p.Complete(now.Add(2*age + 10*time.Second))) // it has stopped
}

// TestRequestsReport checks that small means are right on average over many instances, that targets
// without requests are left out, and that a report contains the targets with the most requests.
func TestRequestsReport(t *testing.T) {
	is := is.New(t)
	rnd, sum := rand.New(rand.NewPCG(1, 2)), loadreport.RequestsByTarget{}
	const instances = 10_000
	for range instances {
		own := loadreport.RequestsByTarget{}
		own.AddMean(1, 0.02, rnd.Float64())
		own.AddMean(2, 0, rnd.Float64())
		sum.AddAll(own)
	}
	is.True(math.Abs(float64(sum[1])*loadreport.RequestUnit-0.02*instances) < 0.05*0.02*instances)
	is.Equal(len(sum.Report()), 1)
	for k := range loadreport.Key(2 * loadreport.MaxTargetRequests) {
		sum[10+k] = int(k)
	}
	for _, r := range sum.Report() {
		is.True(r.Units >= loadreport.MaxTargetRequests)
	}
	is.Equal(len(sum.Report()), loadreport.MaxTargetRequests)
}
