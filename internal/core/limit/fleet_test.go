package limit_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/limit"
)

// TestFleetBudget: whatever the order of requests and retries over a fleet, in
// any window of events the retries stay within the fleet's bound.
func TestFleetBudget(t *testing.T) {
	const instances, share, slack = 7, 0.2, 54.0
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	var all []*limit.FleetBudget
	for range instances {
		all = append(all, limit.NewFleetBudget(share, slack, instances))
	}
	type event struct{ request, retry int }
	var events []event
	for range 20_000 {
		b := all[min(r.IntN(instances), r.IntN(instances))] // uneven
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
			is.True(float64(retries) <= share*float64(requests)+slack)
		}
	}

	small := limit.NewFleetBudget(share, slack, 1)
	small.Resize(1000)
	is.True(!small.TryWithdraw()) // a larger fleet leaves less than one retry to each
}
