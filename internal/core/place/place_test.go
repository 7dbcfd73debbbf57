package place_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/place"
	"github.com/shedhoist/shedhoist/internal/core/policy"
)

// TestDecide is a table of two targets, the second of which is changed.
func TestDecide(t *testing.T) {
	query := place.Query{Zone: "a", Rollout: 10 * time.Second, CrowdMS: 20, Rand: func() float64 { return 0.5 }, Policy: policy.Default()}
	base := place.Target{ID: "x", Zone: "a", FirstMS: 50}
	cases := []struct {
		name   string
		change func(x, y *place.Target)
		want   int
	}{
		{"fewer own requests", func(x, _ *place.Target) { x.Runs = 1 }, 1},
		{"faster", func(x, _ *place.Target) { x.FirstMS = 100 }, 1},
		{"the nearer store", func(x, _ *place.Target) { x.LinkMS = 50 }, 1},
		{"own zone", func(x, _ *place.Target) { x.Zone = "b" }, 1},
		{"another zone rather than a queue", func(x, y *place.Target) { x.Runs, y.Zone = 1, "b" }, 1},
		{"new weights", func(x, _ *place.Target) { x.BehindFor = 2 * time.Second }, 1},
		{"old weights rather than a long queue", func(x, y *place.Target) { x.Runs, y.BehindFor = 5, 2*time.Second }, 1},
		{"old weights are as good at first", func(x, y *place.Target) { x.Runs, y.BehindFor = 1, 1 }, 1},
		{"no old weights at the end of a rollout", func(x, y *place.Target) { x.Runs, y.BehindFor = 50, 9*time.Second }, 0},
		{"nothing left", func(x, y *place.Target) { x.BehindFor, y.BehindFor = time.Minute, time.Minute }, -1},
		{"no model", func(x, _ *place.Target) { x.Unfit = true }, 1},
		{"not tried", func(x, _ *place.Target) { x.Excluded = true }, 1},
		{"resting is the last resort", func(x, y *place.Target) { x.Resting, y.Runs = true, 90 }, 1},
		{"but better than none", func(x, y *place.Target) { x.Resting, y.Excluded = true, true }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x, y := base, base
			y.ID = "y"
			c.change(&x, &y)
			is.New(t).Equal(place.Decide([]place.Target{x, y}, query).Index, c.want)
		})
	}
}

// TestFull: a target whose memory is full gets nothing new. A request that all would have
// to squeeze in is refused, unless some target has worked on it before, and never for the
// sake of targets that rest, behind or elsewhere.
func TestFull(t *testing.T) {
	query := place.Query{Zone: "a", Rollout: 10 * time.Second, Tokens: 3000, Rand: func() float64 { return 0.5 }, Policy: policy.Default()}
	base := place.Target{Zone: "a", FirstMS: 50, Capacity: 10_000, InMemory: 8000}
	cases := []struct {
		name   string
		change func(x, y *place.Target, q *place.Query)
		want   place.Action
		index  int
	}{
		{"all are full", func(x, y *place.Target, q *place.Query) {}, place.Refuse, -1},
		{"one has room, though it is slower", func(x, y *place.Target, q *place.Query) { y.InMemory, y.FirstMS = 7000, 900 }, place.Send, 1},
		{"a small request finds room", func(x, y *place.Target, q *place.Query) { q.Tokens = 2000 }, place.Send, 0},
		{"some target worked on it", func(x, y *place.Target, q *place.Query) { q.Begun, x.FirstMS = true, 60 }, place.Send, 1},
		{"one that has room goes before a full one", func(x, y *place.Target, q *place.Query) { q.Begun, y.InMemory, y.FirstMS = true, 0, 900 }, place.Send, 1},
		{"larger than a whole memory", func(x, y *place.Target, q *place.Query) { x.InMemory, q.Tokens = 0, 11_000 }, place.Send, 0},
		{"memory not known", func(x, y *place.Target, q *place.Query) { x.Capacity = 0 }, place.Send, 0},
		{"the one with room rests", func(x, y *place.Target, q *place.Query) { y.InMemory, y.Resting = 0, true }, place.Refuse, -1},
		{"all rest", func(x, y *place.Target, q *place.Query) { x.Resting, y.Resting, y.InMemory = true, true, 0 }, place.Send, 1},
		{"the other serves no such model", func(x, y *place.Target, q *place.Query) { y.Unfit = true }, place.Refuse, -1},
		{"the full one was tried", func(x, y *place.Target, q *place.Query) { x.Excluded, y.Unfit = true, true }, place.None, -1},
		{"switched off", func(x, y *place.Target, q *place.Query) { q.Policy.Admission = false }, place.Send, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			x, y, q := base, base, query
			x.ID, y.ID = "x", "y"
			c.change(&x, &y, &q)
			d := place.Decide([]place.Target{x, y}, q)
			is.Equal(d.Action, c.want)
			is.Equal(d.Index, c.index)
			if d.Action == place.Refuse {
				is.True(d.Full > 0)
				is.Equal(d.FreeTokens, 2000)
			}
		})
	}
}

// TestHomes: each subject has one home, which follows from the names alone whatever the
// order; homes are spread over the targets; the loss of one moves only its own subjects;
// a home that is much busier than another target passes work on.
func TestHomes(t *testing.T) {
	is := is.New(t)
	query := place.Query{Zone: "a", Rollout: 10 * time.Second, SharedMS: 100, Rand: func() float64 { return 0 }, Policy: policy.Default()}
	var all []place.Target
	for i := range 10 {
		all = append(all, place.Target{ID: fmt.Sprint("t", i), Zone: "a", FirstMS: 50})
	}
	home := func(targets []place.Target, subject int) string {
		q := query
		q.Subject = fmt.Sprint("s", subject)
		return targets[place.Decide(targets, q).Index].ID
	}
	count := map[string]int{}
	moved := 0
	for s := range 1000 {
		at := home(all, s)
		count[at]++
		reversed := slices.Clone(all)
		slices.Reverse(reversed)
		is.Equal(home(reversed, s), at)
		if left := home(all[1:], s); at != all[0].ID && left != at {
			moved++
		}
	}
	is.Equal(moved, 0)
	for _, n := range count {
		is.True(n > 60 && n < 140) // 100 of 1000 each, binomial deviation 10
	}
	busy := slices.Clone(all)
	for i := range busy {
		if busy[i].ID == home(all, 1) {
			busy[i].FirstMS = 250
		}
	}
	is.True(home(busy, 1) != home(all, 1))
}

// TestHomeZone: a prompt that a store keeps has its home in that store's zone, whatever the
// zone of the instance, as long as a target there is well.
func TestHomeZone(t *testing.T) {
	is := is.New(t)
	query := place.Query{Zone: "a", KeptIn: "b", Rollout: 10 * time.Second, SharedMS: 100, Rand: func() float64 { return 0 }, Policy: policy.Default()}
	var all []place.Target
	for i := range 10 {
		all = append(all, place.Target{ID: fmt.Sprint("t", i), Zone: []string{"a", "b"}[i%2], FirstMS: 50})
	}
	homes := func() map[string]int {
		out := map[string]int{}
		for s := range 100 {
			query.Subject = fmt.Sprint("s", s)
			out[all[place.Decide(all, query).Index].Zone]++
		}
		return out
	}
	is.Equal(homes(), map[string]int{"b": 100})
	for i := range all {
		all[i].Resting = all[i].Zone == "b"
	}
	is.Equal(homes(), map[string]int{"a": 100})
	query.KeptIn = ""
	for i := range all {
		all[i].Resting = false
	}
	is.Equal(len(homes()), 2)
}
