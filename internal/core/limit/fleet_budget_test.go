package limit_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/limit"
)

// TestFleetBudget checks that the retries of a whole fleet stay within its bound in any window,
// whatever the order of requests and retries at the instances.
func TestFleetBudget(t *testing.T) {
	const instances, ratio, slack = 7, 0.2, 54.0
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	var budgets []*limit.FleetBudget
	for range instances {
		budgets = append(budgets, limit.NewFleetBudget(ratio, slack, instances))
	}
	type event struct{ request, retry int }
	var events []event
	for range 20_000 {
		b := budgets[min(r.IntN(instances), r.IntN(instances))] // uneven load
		b.Deposit()
		e := event{request: 1}
		for range r.IntN(4) {
			if b.TryWithdraw() {
				e.retry++
			}
		}
		events = append(events, e)
	}
	for _, size := range []int{10, 100, 1000} {
		var requests, retries int
		for i, e := range events {
			requests, retries = requests+e.request, retries+e.retry
			if i >= size {
				requests, retries = requests-events[i-size].request, retries-events[i-size].retry
			}
			is.True(float64(retries) <= ratio*float64(requests)+slack)
		}
	}

	small := limit.NewFleetBudget(ratio, slack, 1)
	small.Resize(1000)
	is.True(!small.TryWithdraw()) // each instance of a larger fleet has less than one retry
}
