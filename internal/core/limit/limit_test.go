package limit_test

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedhoist/shedhoist/internal/core/limit"
)

// TestReasons: each limit refuses with its own reason and a time to come back.
func TestReasons(t *testing.T) {
	cases := []struct {
		rates limit.Rates
		use   int // requests that pass first
		want  limit.Reason
	}{
		{limit.Rates{Requests: 1}, 2, limit.RequestRate},
		{limit.Rates{PromptTokens: 100}, 1, limit.PromptTokenRate},
		{limit.Rates{GeneratedTokens: 10}, 1, limit.GeneratedTokenRate},
		{limit.Rates{Concurrency: 3}, 3, limit.Concurrency},
	}
	for _, c := range cases {
		t.Run(string(c.want), func(t *testing.T) {
			is := is.New(t)
			cust, now := limit.NewCustomer("c"), time.Unix(0, 0)
			for range c.use {
				is.NoErr(cust.Admit(c.rates, 1000, 1, now))
				cust.ChargeGenerated(100)
			}
			var refused *limit.RefusedError
			is.True(errors.As(cust.Admit(c.rates, 1000, 1, now), &refused))
			is.Equal(refused.Reason, c.want)
			is.True(refused.RetryAfter >= time.Second)
			if c.want == limit.Concurrency {
				cust.Release()
			}
			is.NoErr(cust.Admit(c.rates, 1000, 1, now.Add(time.Minute)))
		})
	}
}

// TestNeverBeyond: over any span no more requests pass than rate times span
// plus the burst.
func TestNeverBeyond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.5, 50).Draw(t, "rate")
		cust, now, start := limit.NewCustomer("c"), time.Unix(0, 0), time.Unix(0, 0)
		passed := 0
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if cust.Admit(limit.Rates{Requests: rate}, 1, 1, now) == nil {
				passed++
			}
		}
		if most := rate*now.Sub(start).Seconds() + max(2*rate, 1) + 1e-6; float64(passed) > most {
			t.Fatalf("%d passed, at most %.1f may", passed, most)
		}
	})
}

// TestBudget: retries stay a share of the requests, however many fail.
func TestBudget(t *testing.T) {
	is := is.New(t)
	b := limit.NewBudget(0.1)
	retries := 0
	for range 10_000 {
		b.Deposit()
		for b.TryWithdraw() {
			retries++
		}
	}
	is.True(retries <= 1000+10) // a tenth, and the first ten
	is.True(retries >= 999)
}

// fleetOf plays instances that each admit a customer's requests by the shares
// that they reckon with, and tell two random others of their demand twice a
// second. rates are the requests a second that the balancer sends to each.
func fleetOf(rates []float64, rate float64, seconds int, seed uint64, equal bool) (admitted []int) {
	r := rand.New(rand.NewPCG(seed, 5))
	n := len(rates)
	shares, customers := make([]*limit.Shares, n), make([]*limit.Customer, n)
	for i := range n {
		shares[i], customers[i] = limit.NewShares(), limit.NewCustomer("c")
	}
	admitted = make([]int, n)
	now := time.Unix(0, 0)
	const step = 10 * time.Millisecond
	for tick := range seconds * 100 {
		now = now.Add(step)
		for i, offered := range rates {
			if r.Float64() < offered*step.Seconds() {
				shares[i].RecordRequest("c", now)
				share := shares[i].Share("c", n, now)
				if equal { // the baseline: every instance gives out the same part
					share = 1 / float64(n)
				}
				if customers[i].Admit(limit.Rates{Requests: rate}, 1, share, now) == nil {
					customers[i].Release()
					if tick > 10*100 { // after ten seconds
						admitted[i]++
					}
				}
			}
			if tick%50 == i%50 {
				for range 2 {
					j := (i + 1 + r.IntN(n-1)) % n
					shares[j].SetPeerDemands(fmt.Sprint(i), shares[i].TopDemands(8, now), now)
				}
			}
		}
	}
	return admitted
}

// TestSharesFollowDemand: however the balancer spreads a customer's requests,
// the fleet lets through about its limit; equal parts would let through 1/n of
// it if all came to one instance.
func TestSharesFollowDemand(t *testing.T) {
	even := make([]float64, 8)
	one := make([]float64, 8)
	skewed := make([]float64, 8)
	for i := range even {
		even[i], skewed[i] = 10, 80/math.Pow(2, float64(i+1))
	}
	one[3] = 80
	const limitRate, seconds = 20.0, 70 // 80 a second are offered
	for name, rates := range map[string][]float64{"even": even, "skewed": skewed, "one": one} {
		t.Run(name, func(t *testing.T) {
			through := func(equal bool) float64 {
				total := 0
				for _, n := range fleetOf(rates, limitRate, seconds, 1, equal) {
					total += n
				}
				return float64(total) / (seconds - 10) / limitRate
			}
			got := through(false)
			t.Logf("%.0f%% of the limit let through; by equal parts %.0f%%", 100*got, 100*through(true))
			if got < 0.9 || got > 1.2 {
				t.Fatalf("%.2f of the limit", got)
			}
		})
	}
}
