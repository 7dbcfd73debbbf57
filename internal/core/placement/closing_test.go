package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/placement"
	"github.com/shedhoist/shedhoist/internal/core/policy"
)

// TestClosingTargets guards against requests that run at most once at a target that is about to load
// weights although another can take them, against refusals while such a target can, and against
// closing targets that other requests avoid.
func TestClosingTargets(t *testing.T) {
	const slow = 500.0 // ms to the first response
	for name, c := range map[string]struct {
		first, second placement.Target
		repeatable    bool
		started       bool
		action        placement.Action
		index         int
	}{
		"the other one is slower":             {first: placement.Target{Closing: true}, second: placement.Target{FirstResponseMS: slow}, index: 1},
		"the other one has older weights":     {first: placement.Target{Closing: true}, second: placement.Target{OutdatedFor: 3 * time.Second}, index: 1},
		"the other one is full":               {first: placement.Target{Closing: true}, second: placement.Target{CapacityTokens: 10, UsedTokens: 10}, index: 0},
		"the other one is ejected":            {first: placement.Target{Closing: true}, second: placement.Target{Ejected: true}, index: 0},
		"the other one is in backoff":         {first: placement.Target{Closing: true}, second: placement.Target{InBackoff: true}, index: 0},
		"the other one is warming up":         {first: placement.Target{Closing: true}, second: placement.Target{WarmupLimited: true}, index: 0},
		"the other one is rate limited":       {first: placement.Target{Closing: true}, second: placement.Target{RateLimited: true}, index: 0},
		"the other one is tried already":      {first: placement.Target{Closing: true}, second: placement.Target{Excluded: true}, index: 0},
		"the other one has another model":     {first: placement.Target{Closing: true}, second: placement.Target{LacksModel: true}, index: 0},
		"the closing one is ejected too":      {first: placement.Target{Closing: true, Ejected: true}, second: placement.Target{FirstResponseMS: slow}, index: 1},
		"both are closing":                    {first: placement.Target{Closing: true, FirstResponseMS: slow}, second: placement.Target{Closing: true}, index: 1},
		"both are full":                       {first: placement.Target{Closing: true, CapacityTokens: 10, UsedTokens: 10}, second: placement.Target{CapacityTokens: 10, UsedTokens: 10}, action: placement.Refuse, index: -1},
		"a request that may be repeated":      {first: placement.Target{Closing: true}, second: placement.Target{FirstResponseMS: slow}, repeatable: true, index: 0},
		"a request that may have run already": {first: placement.Target{Closing: true}, second: placement.Target{FirstResponseMS: slow}, started: true, index: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c.first.ID, c.second.ID = "a", "b"
			q := placement.Query{RolloutTimeout: 12 * time.Second, Rand: func() float64 { return 0 }, Policy: policy.Default(), NeededTokens: 5, LostIfCutOff: !c.repeatable, Started: c.started}
			d := placement.Select([]placement.Target{c.first, c.second}, q)
			is.Equal(d.Action, c.action)
			is.Equal(d.Index, c.index)
			d = placement.Select([]placement.Target{c.second, c.first}, q) // the order of the targets does not matter
			is.Equal(d.Action, c.action)
			if c.index >= 0 {
				is.Equal(d.Index, 1-c.index)
			}
		})
	}
}
