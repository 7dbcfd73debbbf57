package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/placement"
	"github.com/shedhoist/shedhoist/internal/core/policy"
)

// TestSelect compares two targets that differ in the properties that each case sets.
func TestSelect(t *testing.T) {
	query := placement.Query{Zone: "a", RolloutTimeout: 10 * time.Second, ConcurrencyPenaltyMS: 20, Rand: func() float64 { return 0.5 }, Policy: policy.Default()}
	base := placement.Target{ID: "x", Zone: "a", FirstResponseMS: 50}
	cases := []struct {
		name   string
		change func(x, y *placement.Target)
		want   int
	}{
		{"fewer requests in flight", func(x, _ *placement.Target) { x.InFlight = 1 }, 1},
		{"faster first response", func(x, _ *placement.Target) { x.FirstResponseMS = 100 }, 1},
		{"shorter link occupancy", func(x, _ *placement.Target) { x.LinkOccupancyMS = 50 }, 1},
		{"same zone", func(x, _ *placement.Target) { x.Zone = "b" }, 1},
		{"another zone is better than a queue", func(x, y *placement.Target) { x.InFlight, y.Zone = 1, "b" }, 1},
		{"newest weights", func(x, _ *placement.Target) { x.OutdatedFor = 2 * time.Second }, 1},
		{"outdated weights are better than a long queue", func(x, y *placement.Target) { x.InFlight, y.OutdatedFor = 5, 2*time.Second }, 1},
		{"outdated weights are not penalized at first", func(x, y *placement.Target) { x.InFlight, y.OutdatedFor = 1, 1 }, 1},
		{"outdated weights are not eligible at the end of a rollout", func(x, y *placement.Target) { x.InFlight, y.OutdatedFor = 50, 9*time.Second }, 0},
		{"outdated weights are not eligible for a request that would begin after the rollout", func(x, y *placement.Target) {
			x.InFlight, y.OutdatedFor, y.FirstResponseMS = 500, 7*time.Second, 2000
		}, 0},
		{"no eligible target", func(x, y *placement.Target) { x.OutdatedFor, y.OutdatedFor = time.Minute, time.Minute }, -1},
		{"lacks the model", func(x, _ *placement.Target) { x.LacksModel = true }, 1},
		{"already tried", func(x, _ *placement.Target) { x.Excluded = true }, 1},
		{"an ejected target is the last resort", func(x, y *placement.Target) { x.Ejected, y.InFlight = true, 90 }, 1},
		{"an ejected target is better than none", func(x, y *placement.Target) { x.Ejected, y.Excluded = true, true }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x, y := base, base
			y.ID = "y"
			c.change(&x, &y)
			is.New(t).Equal(placement.Select([]placement.Target{x, y}, query).Index, c.want)
		})
	}
}

// TestMemoryShare checks when a target is full for a request that may not fill its memory, or may
// not wait behind much prefill work: less urgent requests must leave headroom to urgent ones, large
// ones among them must not starve, and a request that a target has worked on is never refused.
func TestMemoryShare(t *testing.T) {
	query := placement.Query{Zone: "a", RolloutTimeout: 10 * time.Second, NeededTokens: 1000, Rand: func() float64 { return 0.5 }, Policy: policy.Default(), MemoryShare: 0.8}
	base := placement.Target{ID: "x", Zone: "a", FirstResponseMS: 50, CapacityTokens: 10_000, UsedTokens: 7000}
	cases := []struct {
		name   string
		change func(x *placement.Target, q *placement.Query)
		want   placement.Action
		queues int
	}{
		{"fits into the share", func(x *placement.Target, q *placement.Query) {}, placement.Send, 0},
		{"exceeds the share", func(x *placement.Target, q *placement.Query) { x.UsedTokens = 7001 }, placement.Refuse, 0},
		{"no share set", func(x *placement.Target, q *placement.Query) { x.UsedTokens, q.MemoryShare = 9000, 0 }, placement.Send, 0},
		{"the whole memory", func(x *placement.Target, q *placement.Query) { x.UsedTokens, q.MemoryShare = 9000, 1 }, placement.Send, 0},
		{"counts as more than its size", func(x *placement.Target, q *placement.Query) { q.RequestShare = 0.2 }, placement.Refuse, 0},
		{"counts as less than its size", func(x *placement.Target, q *placement.Query) {
			x.UsedTokens, q.NeededTokens, q.RequestShare = 6000, 3000, 0.2
		}, placement.Send, 0},
		{"counts as less than its size and exceeds the memory", func(x *placement.Target, q *placement.Query) {
			x.UsedTokens, q.NeededTokens, q.RequestShare = 6000, 4001, 0.2
		}, placement.Refuse, 0},
		{"larger than the share, nearly idle target", func(x *placement.Target, q *placement.Query) { x.UsedTokens, q.NeededTokens = 1000, 9000 }, placement.Send, 0},
		{"larger than the share, busier target", func(x *placement.Target, q *placement.Query) { x.UsedTokens, q.NeededTokens = 3000, 6000 }, placement.Refuse, 0},
		{"larger than the free memory of a nearly idle target", func(x *placement.Target, q *placement.Query) { x.UsedTokens, q.NeededTokens = 1000, 9001 }, placement.Refuse, 0},
		{"idle target", func(x *placement.Target, q *placement.Query) { x.UsedTokens, q.NeededTokens = 0, 20_000 }, placement.Send, 0},
		{"queue at its limit", func(x *placement.Target, q *placement.Query) { x.QueuedTokens, q.MaxQueuedTokens = 500, 500 }, placement.Send, 0},
		{"queue beyond its limit", func(x *placement.Target, q *placement.Query) { x.QueuedTokens, q.MaxQueuedTokens = 501, 500 }, placement.Refuse, 1},
		{"queue beyond its limit, memory not known", func(x *placement.Target, q *placement.Query) {
			x.CapacityTokens, x.QueuedTokens, q.MaxQueuedTokens = 0, 501, 500
		}, placement.Refuse, 1},
		{"no limit on queues", func(x *placement.Target, q *placement.Query) { x.QueuedTokens = 1 << 40 }, placement.Send, 0},
		{"a target has worked on the request", func(x *placement.Target, q *placement.Query) {
			x.UsedTokens, x.QueuedTokens, q.MaxQueuedTokens, q.Started = 9000, 501, 500, true
		}, placement.Send, 0},
		{"admission is switched off", func(x *placement.Target, q *placement.Query) { x.UsedTokens, q.Policy.Admission = 9000, false }, placement.Send, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			x, q := base, query
			c.change(&x, &q)
			d := placement.Select([]placement.Target{x}, q)
			is.Equal(d.Action, c.want)
			is.Equal(d.LongQueues, c.queues)
		})
	}
}

// TestFull checks that a target with full memory gets no new requests, and that a request is
// refused if all eligible targets are full, unless a target has already worked on it. Ejected
// targets neither cause nor prevent a refusal.
func TestFull(t *testing.T) {
	query := placement.Query{Zone: "a", RolloutTimeout: 10 * time.Second, NeededTokens: 3000, Rand: func() float64 { return 0.5 }, Policy: policy.Default()}
	base := placement.Target{Zone: "a", FirstResponseMS: 50, CapacityTokens: 10_000, UsedTokens: 8000}
	cases := []struct {
		name   string
		change func(x, y *placement.Target, q *placement.Query)
		want   placement.Action
		index  int
	}{
		{"all are full", func(x, y *placement.Target, q *placement.Query) {}, placement.Refuse, -1},
		{"one has free memory, though it is slower", func(x, y *placement.Target, q *placement.Query) { y.UsedTokens, y.FirstResponseMS = 7000, 900 }, placement.Send, 1},
		{"a small request fits", func(x, y *placement.Target, q *placement.Query) { q.NeededTokens = 2000 }, placement.Send, 0},
		{"a target has worked on the request", func(x, y *placement.Target, q *placement.Query) { q.Started, x.FirstResponseMS = true, 60 }, placement.Send, 1},
		{"free memory goes before a full target", func(x, y *placement.Target, q *placement.Query) {
			q.Started, y.UsedTokens, y.FirstResponseMS = true, 0, 900
		}, placement.Send, 1},
		{"larger than the whole memory", func(x, y *placement.Target, q *placement.Query) { x.UsedTokens, q.NeededTokens = 0, 11_000 }, placement.Send, 0},
		{"memory size not known", func(x, y *placement.Target, q *placement.Query) { x.CapacityTokens = 0 }, placement.Send, 0},
		{"the target with free memory is ejected", func(x, y *placement.Target, q *placement.Query) { y.UsedTokens, y.Ejected = 0, true }, placement.Refuse, -1},
		{"all are ejected", func(x, y *placement.Target, q *placement.Query) { x.Ejected, y.Ejected, y.UsedTokens = true, true, 0 }, placement.Send, 1},
		{"the other target lacks the model", func(x, y *placement.Target, q *placement.Query) { y.LacksModel = true }, placement.Refuse, -1},
		{"the full target was tried", func(x, y *placement.Target, q *placement.Query) { x.Excluded, y.LacksModel = true, true }, placement.NoTarget, -1},
		{"admission is switched off", func(x, y *placement.Target, q *placement.Query) { q.Policy.Admission = false }, placement.Send, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			x, y, q := base, base, query
			x.ID, y.ID = "x", "y"
			c.change(&x, &y, &q)
			d := placement.Select([]placement.Target{x, y}, q)
			is.Equal(d.Action, c.want)
			is.Equal(d.Index, c.index)
			if d.Action == placement.Refuse {
				is.True(d.FullTargets > 0)
				is.Equal(d.FreeTokens, 2000)
			}
		})
	}
}

// TestHomes checks that a prompt's home does not depend on the order of the targets, that homes
// are spread evenly, that the loss of a target moves only its own prompts, and that a prompt
// goes elsewhere if its home is much busier than another target.
func TestHomes(t *testing.T) {
	is := is.New(t)
	query := placement.Query{Zone: "a", RolloutTimeout: 10 * time.Second, SharedPrefillMS: 100, Rand: func() float64 { return 0 }, Policy: policy.Default()}
	var all []placement.Target
	for i := range 10 {
		all = append(all, placement.Target{ID: fmt.Sprint("t", i), Zone: "a", FirstResponseMS: 50})
	}
	home := func(targets []placement.Target, prefix int) string {
		q := query
		q.PrefixKey = fmt.Sprint("s", prefix)
		return targets[placement.Select(targets, q).Index].ID
	}
	count := map[string]int{}
	moved := 0
	for s := range 1000 {
		homeID := home(all, s)
		count[homeID]++
		reversed := slices.Clone(all)
		slices.Reverse(reversed)
		is.Equal(home(reversed, s), homeID)
		if homeNow := home(all[1:], s); homeID != all[0].ID && homeNow != homeID {
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
			busy[i].FirstResponseMS = 250
		}
	}
	is.True(home(busy, 1) != home(all, 1))
}

// TestHomeInStoreZone checks that the home of a prompt whose parts are in a cache store is in
// that store's zone, whatever the instance's zone, as long as a healthy target is there.
func TestHomeInStoreZone(t *testing.T) {
	is := is.New(t)
	query := placement.Query{Zone: "a", StoreZone: "b", RolloutTimeout: 10 * time.Second, SharedPrefillMS: 100, Rand: func() float64 { return 0 }, Policy: policy.Default()}
	var all []placement.Target
	for i := range 10 {
		all = append(all, placement.Target{ID: fmt.Sprint("t", i), Zone: []string{"a", "b"}[i%2], FirstResponseMS: 50})
	}
	homes := func() map[string]int {
		out := map[string]int{}
		for s := range 100 {
			query.PrefixKey = fmt.Sprint("s", s)
			out[all[placement.Select(all, query).Index].Zone]++
		}
		return out
	}
	is.Equal(homes(), map[string]int{"b": 100})
	for i := range all {
		all[i].Ejected = all[i].Zone == "b"
	}
	is.Equal(homes(), map[string]int{"a": 100})
	query.StoreZone = ""
	for i := range all {
		all[i].Ejected = false
	}
	is.Equal(len(homes()), 2)
}
