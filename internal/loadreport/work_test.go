package loadreport_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/loadreport"
)

const age = 400 * time.Millisecond

// TestPeerWork checks that the peers' reports add up and decay, and that a late older one replaces
// nothing.
func TestPeerWork(t *testing.T) {
	is := is.New(t)
	h := loadreport.NewPeerWork(age)
	now := time.Unix(0, 0)
	key := loadreport.KeyOf("t")
	apply := func(from string, seq uint64, tokens int, at time.Time) {
		h.Apply(from, seq, []loadreport.TargetWork{{Target: key, Tokens: tokens, Memory: 2 * tokens}}, at)
	}
	at := func(now time.Time) loadreport.Work {
		sum := loadreport.WorkByTarget{}
		for _, w := range h.Reports(now) {
			sum.AddAll(w)
		}
		got := h.At([]loadreport.Key{loadreport.KeyOf("other"), key}, now)
		is.Equal(got[0], loadreport.Work{})
		is.Equal(got[1], sum[key])
		return got[1]
	}
	apply("a", 2, 1000, now)
	apply("a", 1, 9000, now) // arrives late
	apply("b", 1, 500, now)
	is.Equal(at(now), loadreport.Work{Tokens: 1500, Memory: 3000})
	half := now.Add(age / 2)
	is.Equal(at(half), loadreport.Work{Tokens: 750, Memory: 3000}) // occupied memory does not decay
	h.Apply("a", 3, nil, half)
	is.Equal(at(half), loadreport.Work{Tokens: 250, Memory: 1000})
	is.Equal(at(now.Add(2*age)), loadreport.Work{})
	apply("b", 1, 500, now.Add(2*age)) // a new process begins at 1
	is.Equal(at(now.Add(2*age)), loadreport.Work{Tokens: 500, Memory: 1000})
}

// TestWorkReport checks that entries with enough work are reported, with both amounts.
func TestWorkReport(t *testing.T) {
	is := is.New(t)
	s := loadreport.WorkByTarget{}
	s.Add(1, loadreport.Work{Tokens: 255, Memory: 255})
	s.Add(2, loadreport.Work{Memory: 256})
	is.Equal(s.Report(), []loadreport.TargetWork{{Target: 2, Memory: 256}})
}

// BenchmarkAt measures what one request costs: up to 64 candidates among 60, 256 or 600 busy
// targets, 16 peers.
// peers.
func BenchmarkAt(b *testing.B) {
	for _, targets := range []int{60, 256, 600} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			h, now := loadreport.NewPeerWork(age), time.Unix(0, 0)
			var reported []loadreport.TargetWork
			var keys []loadreport.Key
			for i := range targets {
				k := loadreport.KeyOf(fmt.Sprintf("i-%d", i))
				reported = append(reported, loadreport.TargetWork{Target: k, Tokens: 1000, Memory: 9000})
				if i%(targets/60) == 0 && len(keys) < 64 {
					keys = append(keys, k)
				}
			}
			for i := range 16 {
				h.Apply(fmt.Sprint(i), 1, reported, now)
			}
			for b.Loop() {
				h.At(keys, now)
			}
		})
	}
}
