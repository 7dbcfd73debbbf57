package place_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedhoist/shedhoist/internal/core/place"
	"github.com/shedhoist/shedhoist/internal/core/policy"
)

// TestAsksRest guards against a request to a target that asks for rest, as a last resort too.
func TestAsksRest(t *testing.T) {
	query := place.Query{Zone: "a", Rollout: 10 * time.Second, CrowdMS: 20, Rand: func() float64 { return 0.5 }, Policy: policy.Default(), Tokens: 10}
	base := place.Target{ID: "x", Zone: "a", FirstMS: 50, Capacity: 100}
	cases := []struct {
		name   string
		change func(x, y *place.Target, q *place.Query) // x asks for rest
		action place.Action
		index  int
		asking int
	}{
		{"another is there", func(x, y *place.Target, q *place.Query) { y.Runs = 90 }, place.Send, 1, 1},
		{"the other one rests since it failed", func(x, y *place.Target, q *place.Query) { y.Resting = true }, place.Send, 1, 1},
		{"the other one was tried", func(x, y *place.Target, q *place.Query) { y.Excluded = true }, place.None, -1, 1},
		{"the other one was tried, and an answer has begun", func(x, y *place.Target, q *place.Query) { y.Excluded, q.Begun = true, true }, place.None, -1, 1},
		{"the other one is full", func(x, y *place.Target, q *place.Query) { y.InMemory = 95 }, place.Refuse, -1, 1},
		{"both ask", func(x, y *place.Target, q *place.Query) { y.AsksRest = true }, place.None, -1, 2},
		{"both ask, and it was tried", func(x, y *place.Target, q *place.Query) { y.AsksRest, x.Excluded = true, true }, place.None, -1, 2},
		{"it lacks the model", func(x, y *place.Target, q *place.Query) { x.Unfit, y.Excluded = true, true }, place.None, -1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			x, y, q := base, base, query
			x.AsksRest, y.ID = true, "y"
			c.change(&x, &y, &q)
			d := place.Decide([]place.Target{x, y}, q)
			is.Equal(d.Action, c.action)
			is.Equal(d.Index, c.index)
			is.Equal(d.AskRest, c.asking)
		})
	}
}

// TestAsksRestWhateverElse: no state of the targets and no query sends a request to one that
// asks for rest, and the choice is as if these were not there.
func TestAsksRestWhateverElse(t *testing.T) {
	zone := rapid.SampledFrom([]string{"a", "b"})
	rapid.Check(t, func(t *rapid.T) {
		var all, others []place.Target
		for i := range rapid.IntRange(1, 8).Draw(t, "targets") {
			x := place.Target{ID: string(rune('p' + i)), Zone: zone.Draw(t, "zone"), Runs: rapid.IntRange(0, 9).Draw(t, "runs"), FirstMS: rapid.Float64Range(1, 500).Draw(t, "first"),
				Excluded: rapid.Bool().Draw(t, "excluded"), Resting: rapid.Bool().Draw(t, "resting"), Dark: rapid.Bool().Draw(t, "dark"), Closed: rapid.Bool().Draw(t, "closed"),
				Capacity: 100, InMemory: rapid.IntRange(0, 100).Draw(t, "memory"), AsksRest: rapid.Bool().Draw(t, "asks")}
			all = append(all, x)
			if !x.AsksRest {
				others = append(others, x)
			}
		}
		q := place.Query{Zone: "a", Rollout: 10 * time.Second, CrowdMS: 20, Rand: func() float64 { return 0.5 }, Policy: policy.Default(), Tokens: 10,
			Begun: rapid.Bool().Draw(t, "begun"), Subject: rapid.SampledFrom([]string{"", "s"}).Draw(t, "subject"), KeptIn: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "kept in"), SharedMS: 100}
		got, want := place.Decide(all, q), place.Decide(others, q)
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
				var all, others []place.Target
				for j, id := range []string{"p", "q", "r", "s"} {
					x := place.Target{ID: id, Zone: string("aabb"[j]), FirstMS: 50, AsksRest: strings.Contains(asks, id)}
					all = append(all, x)
					if !x.AsksRest {
						others = append(others, x)
					}
				}
				q := place.Query{Zone: "c", Rollout: 10 * time.Second, Rand: func() float64 { return 0.5 }, Policy: policy.Default(), Subject: fmt.Sprint("s", i), KeptIn: "b", SharedMS: 1000}
				is.Equal(all[place.Decide(all, q).Index].ID, others[place.Decide(others, q).Index].ID)
			}
		})
	}
}
