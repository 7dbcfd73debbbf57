package e2e_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/problem"
	"github.com/shedhoist/shedhoist/internal/standin/engine"
	"github.com/shedhoist/shedhoist/internal/standin/fleet"
)

// TestShed: a request whose first token is predicted past the model's bound is
// refused at once, truly not run, and told when to come back; a lower priority
// is refused first.
func TestShed(t *testing.T) {
	is := is.New(t)
	prompt := fleet.Rulebook("gate", 16<<10) // 4096 tokens: 4.1 s of prefill at 1 ms a token, as the model is declared
	f := start(t, fleet.Options{Instances: 1, Engines: 1, Engine: engine.Options{PrefillUS: 10, TimeScale: 0.001}, Edit: func(b *config.Bundle) {
		b.Models[0].PrefillUSPerToken, b.Models[0].MaxFirstTokenMS = 1000, 5000
		b.Customers[0].Priority, b.Customers[1].Priority = 0, 9 // bounds of 5 and 2.75 s
		b.Policy.NoStores = true
	}})
	a := ask{prompt: prompt, tokens: tokens}
	got := a.send(t, f.URL(0), f.Keys[1])
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.problem.Execution, problem.NotRun)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(f.Engines[0].Counters().Runs, 0) // nothing was sent
	got = a.send(t, f.URL(0), f.Keys[0])
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.text, a.want(fleet.Version))
}

// TestZoneOfTargetsDies: the targets of one zone fail every run. Every answer
// is whole, and the attempts stay few: a retry leaves the zone that failed, and
// after two failures in a row a target rests.
func TestZoneOfTargetsDies(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{Instances: 1, Engines: 6, Policy: config.Policy{MaxAttempts: 2, RetryShare: 1}})
	for i, e := range f.Engines {
		if i%3 == 0 { // engine-1 and engine-4 are in the first zone
			e.SetFaults(engine.Faults{Die: "half", DieCount: 1 << 30})
		}
	}
	const requests = 60
	attempts := 0
	for i := range requests {
		a := ask{prompt: fmt.Sprint(i, fleet.Rulebook("gate", 5000)), tokens: tokens}
		got := a.send(t, f.URL(0), f.Keys[0])
		is.Equal(got.text, a.want(fleet.Version))
		attempts += len(f.Daemons[0].Explain(got.header.Get("X-Request-Id")).Attempts)
	}
	t.Logf("%d attempts for %d requests", attempts, requests)
	is.True(attempts <= requests*3/2)
}
