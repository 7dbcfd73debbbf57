package placement_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedhoist/shedhoist/internal/core/placement"
	"github.com/shedhoist/shedhoist/internal/core/policy"
)

// TestAsksRest guards against a request to a target that asks for rest, as a last resort too.
func TestAsksRest(t *testing.T) {
	query := placement.Query{Zone: "a", RolloutTimeout: 10 * time.Second, ConcurrencyPenaltyMS: 20, Rand: func() float64 { return 0.5 }, Policy: policy.Default(), NeededTokens: 10}
	base := placement.Target{ID: "x", Zone: "a", FirstResponseMS: 50, CapacityTokens: 100}
	cases := []struct {
		name   string
		change func(x, y *placement.Target, q *placement.Query) // x asks for rest
		action placement.Action
		index  int
		asking int
	}{
		{"another is there", func(x, y *placement.Target, q *placement.Query) { y.InFlight = 90 }, placement.Send, 1, 1},
		{"the other one rests since it failed", func(x, y *placement.Target, q *placement.Query) { y.Ejected = true }, placement.Send, 1, 1},
		{"the other one was tried", func(x, y *placement.Target, q *placement.Query) { y.Excluded = true }, placement.NoTarget, -1, 1},
		{"the other one was tried, and an answer has begun", func(x, y *placement.Target, q *placement.Query) { y.Excluded, q.Started = true, true }, placement.NoTarget, -1, 1},
		{"the other one is full", func(x, y *placement.Target, q *placement.Query) { y.UsedTokens = 95 }, placement.Refuse, -1, 1},
		{"both ask", func(x, y *placement.Target, q *placement.Query) { y.InBackoff = true }, placement.NoTarget, -1, 2},
		{"both ask, and it was tried", func(x, y *placement.Target, q *placement.Query) { y.InBackoff, x.Excluded = true, true }, placement.NoTarget, -1, 2},
		{"it lacks the model", func(x, y *placement.Target, q *placement.Query) { x.LacksModel, y.Excluded = true, true }, placement.NoTarget, -1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			x, y, q := base, base, query
			x.InBackoff, y.ID = true, "y"
			c.change(&x, &y, &q)
			d := placement.Select([]placement.Target{x, y}, q)
			is.Equal(d.Action, c.action)
			is.Equal(d.Index, c.index)
			is.Equal(d.InBackoff, c.asking)
		})
	}
}

// TestAsksRestWhateverElse: no state of the targets and no query sends a request to one that
// asks for rest, and the choice is as if these were not there.
func TestAsksRestWhateverElse(t *testing.T) {
	zone := rapid.SampledFrom([]string{"a", "b"})
	rapid.Check(t, func(t *rapid.T) {
		var all, others []placement.Target
		for i := range rapid.IntRange(1, 8).Draw(t, "targets") {
			x := placement.Target{ID: string(rune('p' + i)), Zone: zone.Draw(t, "zone"), InFlight: rapid.IntRange(0, 9).Draw(t, "runs"), FirstResponseMS: rapid.Float64Range(1, 500).Draw(t, "first"),
				Excluded: rapid.Bool().Draw(t, "excluded"), Ejected: rapid.Bool().Draw(t, "resting"), ZoneUnreachable: rapid.Bool().Draw(t, "dark"), WarmupLimited: rapid.Bool().Draw(t, "closed"),
				CapacityTokens: 100, UsedTokens: rapid.IntRange(0, 100).Draw(t, "memory"), InBackoff: rapid.Bool().Draw(t, "asks")}
			all = append(all, x)
			if !x.InBackoff {
				others = append(others, x)
			}
		}
		q := placement.Query{Zone: "a", RolloutTimeout: 10 * time.Second, ConcurrencyPenaltyMS: 20, Rand: func() float64 { return 0.5 }, Policy: policy.Default(), NeededTokens: 10,
			Started: rapid.Bool().Draw(t, "begun"), PrefixKey: rapid.SampledFrom([]string{"", "s"}).Draw(t, "subject"), StoreZone: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "kept in"), SharedPrefillMS: 100}
		got, want := placement.Select(all, q), placement.Select(others, q)
		if got.Action != want.Action {
			t.Fatalf("action %v, without them %v", got.Action, want.Action)
		}
		if got.Index >= 0 && all[got.Index].ID != others[want.Index].ID {
			t.Fatalf("sent to %s, without them to %s", all[got.Index].ID, others[want.Index].ID)
		}
	})
}

// TestAsksRestHome guards against a prompt without a home since the one that it would have asks
// for rest, alone or with all in the zone of the store that keeps its parts.
func TestAsksRestHome(t *testing.T) {
	for name, asks := range map[string]string{"one": "r", "all in the store's zone": "rs"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for i := range 100 {
				var all, others []placement.Target
				for j, id := range []string{"p", "q", "r", "s"} {
					x := placement.Target{ID: id, Zone: string("aabb"[j]), FirstResponseMS: 50, InBackoff: strings.Contains(asks, id)}
					all = append(all, x)
					if !x.InBackoff {
						others = append(others, x)
					}
				}
				q := placement.Query{Zone: "c", RolloutTimeout: 10 * time.Second, Rand: func() float64 { return 0.5 }, Policy: policy.Default(), PrefixKey: fmt.Sprint("s", i), StoreZone: "b", SharedPrefillMS: 1000}
				is.Equal(all[placement.Select(all, q).Index].ID, others[placement.Select(others, q).Index].ID)
			}
		})
	}
}
