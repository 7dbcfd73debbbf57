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
		got, _ := p.At([]loadreport.Key{loadreport.KeyOf("other"), key}, now)
		is.Equal(got[0], 0.0)
		return got[1]
	}
	_, reported := p.At([]loadreport.Key{key}, now)
	is.True(!reported)
	apply("a", 2, 32, now)
	apply("a", 1, 160, now) // arrives late
	apply("b", 1, 8, now)
	is.Equal(at(now), 2.5)
	is.Equal(at(now.Add(age-1)), 2.5) // counts in full until it expires
	_, reported = p.At([]loadreport.Key{key}, now)
	is.True(reported)
	p.Apply("a", 3, nil, now)
	is.Equal(at(now), 0.5)
	is.Equal(len(p.Reports(now)), 2)
	is.Equal(at(now.Add(age)), 0.0)
	_, reported = p.At([]loadreport.Key{key}, now.Add(age))
	is.True(!reported)
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
