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

// TestReasons checks that each limit refuses with its own reason and a RetryAfter of a second or
// more, and that requests are admitted again a minute later.
func TestReasons(t *testing.T) {
	cases := []struct {
		rates    limit.Rates
		admitted int // requests until the limit is reached
		want     limit.Reason
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
			for range c.admitted {
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

// TestRateLimit checks that no more requests are admitted than the rate allows, plus one burst.
func TestRateLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.5, 50).Draw(t, "rate")
		cust, now, start := limit.NewCustomer("c"), time.Unix(0, 0), time.Unix(0, 0)
		admitted := 0
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if cust.Admit(limit.Rates{Requests: rate}, 1, 1, now) == nil {
				admitted++
			}
		}
		if allowed := rate*now.Sub(start).Seconds() + max(2*rate, 1) + 1e-6; float64(admitted) > allowed {
			t.Fatalf("%d requests admitted, at most %.1f allowed", admitted, allowed)
		}
	})
}

// TestBudget checks that the retries stay within the ratio of the requests if all of them fail.
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
	is.True(retries <= 1000+10) // a tenth, plus the initial balance
	is.True(retries >= 999)
}

// simulateFleet simulates instances that admit a customer's requests by their computed shares
// and report their demand to two random peers twice a second. rates are the requests per second
// that the load balancer sends to each. It returns the admitted requests by instance.
func simulateFleet(rates []float64, rate float64, seconds int, seed uint64, equalShares bool) (admitted []int) {
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
				if equalShares { // baseline: equal shares whatever the demand
					share = 1 / float64(n)
				}
				if customers[i].Admit(limit.Rates{Requests: rate}, 1, share, now) == nil {
					customers[i].Release()
					if tick > 10*100 { // skip the first ten seconds
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

// TestSharesFollowDemand checks that the fleet admits about a customer's limit however the load
// balancer distributes its requests. With equal shares it would admit 1/n of the limit if all
// requests went to one instance.
func TestSharesFollowDemand(t *testing.T) {
	even := make([]float64, 8)
	single := make([]float64, 8)
	skewed := make([]float64, 8)
	for i := range even {
		even[i], skewed[i] = 10, 80/math.Pow(2, float64(i+1))
	}
	single[3] = 80
	const limitRate, seconds = 20.0, 70 // 80 requests per second are offered
	for name, rates := range map[string][]float64{"even": even, "skewed": skewed, "single": single} {
		t.Run(name, func(t *testing.T) {
			admittedRatio := func(equalShares bool) float64 {
				total := 0
				for _, n := range simulateFleet(rates, limitRate, seconds, 1, equalShares) {
					total += n
				}
				return float64(total) / (seconds - 10) / limitRate
			}
			got := admittedRatio(false)
			t.Logf("admitted %.0f%% of the limit; with equal shares %.0f%%", 100*got, 100*admittedRatio(true))
			if got < 0.9 || got > 1.2 {
				t.Fatalf("admitted %.2f of the limit", got)
			}
		})
	}
}
