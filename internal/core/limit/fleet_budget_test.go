package limit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/limit"
)

// budgetEvent is one request in a fleet and the retries made with it.
type budgetEvent struct{ request, retry int }

// TestFleetBudget checks that the retries of a whole fleet stay within its bound in any window,
// whatever the order of requests and retries at the instances, and whichever of them start again.
func TestFleetBudget(t *testing.T) {
	const (
		instances, ratio, slack = 7, 0.2, 54.0
		window                  = 1000 * step
	)
	for _, restartEvery := range []int{0, 1000, 100, 48} { // events; 48: each instance three times in a window
		t.Run(fmt.Sprint("a start every ", restartEvery, " events"), func(t *testing.T) {
			is := is.New(t)
			r := rand.New(rand.NewPCG(1, 2))
			config := limit.FleetBudgetConfig{Ratio: ratio, Slack: slack, Window: window}
			var budgets []*limit.FleetBudget
			for range instances {
				budgets = append(budgets, limit.NewFleetBudget(config, instances, time.Unix(0, 0)))
			}
			now := time.Unix(0, 0).Add(window)
			var events []budgetEvent
			for i := range 20_000 {
				now = now.Add(step)
				if restartEvery > 0 && i%restartEvery == 0 {
					budgets[i/restartEvery%instances] = limit.NewFleetBudget(config, instances, now)
				}
				b := budgets[min(r.IntN(instances), r.IntN(instances))] // uneven load
				b.Deposit(now)
				e := budgetEvent{request: 1}
				for range r.IntN(4) {
					if b.TryWithdraw(now, r.Float64()) {
						e.retry++
					}
				}
				events = append(events, e)
			}
			for _, size := range []int{10, 100, 1000} {
				is.True(worstExcess(events, size, ratio, slack) <= 0)
			}
		})
	}
}

// step is the time between two events.
const step = 10 * time.Millisecond

// worstExcess returns by how much the retries in a window of a number of events exceed its bound at most.
func worstExcess(events []budgetEvent, size int, ratio, slack float64) float64 {
	worst := -slack
	var requests, retries int
	for i, e := range events {
		requests, retries = requests+e.request, retries+e.retry
		if i >= size {
			requests, retries = requests-events[i-size].request, retries-events[i-size].retry
		}
		worst = max(worst, float64(retries)-ratio*float64(requests)-slack)
	}
	return worst
}

// TestFleetBudgetOfManyInstances guards against a large fleet in which each instance has less than one
// retry, so that none ever makes one, and against one that makes more than the whole budget.
func TestFleetBudgetOfManyInstances(t *testing.T) {
	const (
		instances, ratio, slack = 1000, 0.2, 54.0
		requests                = 2 // of each instance
	)
	is := is.New(t)
	r := rand.New(rand.NewPCG(3, 4))
	now := time.Unix(0, 0)
	retries := 0
	for range instances {
		b := limit.NewFleetBudget(limit.FleetBudgetConfig{Ratio: ratio, Slack: slack, Window: 10 * time.Second}, instances, now.Add(-time.Minute))
		for range requests {
			b.Deposit(now)
			if b.TryWithdraw(now, r.Float64()) {
				retries++
			}
		}
	}
	allowed := ratio*instances*requests + slack
	is.True(float64(retries) > allowed/2)
	is.True(float64(retries) <= allowed)
}

// TestFleetBudgetForgets guards against retries that were earned long ago, by requests that no window counts
// any more, and against a part of the slack that an instance has although it doesn't know its fleet.
func TestFleetBudgetForgets(t *testing.T) {
	is := is.New(t)
	config := limit.FleetBudgetConfig{Ratio: 0.2, Slack: 40, Window: 10 * time.Second}
	now := time.Unix(0, 0)
	b := limit.NewFleetBudget(config, 10, now.Add(-config.Window))
	start := b.Balance(now)
	for range 1000 {
		b.Deposit(now)
	}
	is.True(b.Balance(now) > 100)
	is.Equal(b.Balance(now.Add(config.Window)), start)

	b.Update(config, 20)
	is.Equal(b.Balance(now.Add(config.Window)), start/2)
	is.Equal(limit.NewFleetBudget(config, 0, now.Add(-config.Window)).Balance(now), 0.0)
}

// TestFleetBudgetFollowsSettings guards against a budget that stays as it was first set.
func TestFleetBudgetFollowsSettings(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	config := limit.FleetBudgetConfig{Ratio: 0.2, Slack: 40, Window: 10 * time.Second}
	b := limit.NewFleetBudget(config, 1, now.Add(-time.Minute))
	before := b.Balance(now)
	config.Slack /= 4
	b.Update(config, 1)
	is.Equal(b.Balance(now), before/4)
}

// TestFleetBudgetOfNewInstance guards against an instance that has its part of the slack in the window in which
// its predecessor may have spent the same part.
func TestFleetBudgetOfNewInstance(t *testing.T) {
	is := is.New(t)
	config := limit.FleetBudgetConfig{Ratio: 0.2, Slack: 40, Window: 10 * time.Second}
	started := time.Unix(0, 0)
	b := limit.NewFleetBudget(config, 1, started)
	is.True(b.Balance(started) >= 1) // alone, it may make the first retry at once
	is.True(3*b.Balance(started.Add(config.Window-1)) <= 0.45*config.Slack+1e-9)
	is.True(b.Balance(started.Add(config.Window)) >= 0.5*config.Slack)
}
