package limit_test

import (
	"errors"
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
		{limit.Rates{Requests: 1}, 2, limit.ByRequests},
		{limit.Rates{Prompt: 100}, 1, limit.ByPrompt},
		{limit.Rates{Generated: 10}, 1, limit.ByGenerated},
		{limit.Rates{Concurrency: 3}, 3, limit.ByConcurrency},
	}
	for _, c := range cases {
		t.Run(string(c.want), func(t *testing.T) {
			is := is.New(t)
			cust, now := limit.NewCustomer("c"), time.Unix(0, 0)
			for range c.use {
				is.NoErr(cust.Admit(c.rates, 1000, 1, now))
				cust.Generated(100)
			}
			var refused *limit.RefusedError
			is.True(errors.As(cust.Admit(c.rates, 1000, 1, now), &refused))
			is.Equal(refused.Reason, c.want)
			is.True(refused.Wait >= time.Second)
			if c.want == limit.ByConcurrency {
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
		b.Request()
		for b.Retry() {
			retries++
		}
	}
	is.True(retries <= 1000+10) // a tenth, and the first ten
	is.True(retries >= 999)
}
