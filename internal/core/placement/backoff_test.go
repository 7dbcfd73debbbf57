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

// TestNoRequestDuringBackoff guards against requests to a target in backoff, even as a last
// resort.
func TestNoRequestDuringBackoff(t *testing.T) {
	query := placement.Query{Zone: "a", RolloutTimeout: 10 * time.Second, ConcurrencyPenaltyMS: 20, Rand: func() float64 { return 0.5 }, Policy: policy.Default(), NeededTokens: 10}
	base := placement.Target{ID: "x", Zone: "a", FirstResponseMS: 50, CapacityTokens: 100}
	cases := []struct {
		name      string
		change    func(x, y *placement.Target, q *placement.Query) // x is in backoff
		action    placement.Action
		index     int
		inBackoff int
	}{
		{"another target is available", func(x, y *placement.Target, q *placement.Query) { y.InFlight = 90 }, placement.Send, 1, 1},
		{"the other target is ejected", func(x, y *placement.Target, q *placement.Query) { y.Ejected = true }, placement.Send, 1, 1},
		{"the other target was tried", func(x, y *placement.Target, q *placement.Query) { y.Excluded = true }, placement.NoTarget, -1, 1},
		{"the other target was tried and the response has started", func(x, y *placement.Target, q *placement.Query) { y.Excluded, q.Started = true, true }, placement.NoTarget, -1, 1},
		{"the other target is full", func(x, y *placement.Target, q *placement.Query) { y.UsedTokens = 95 }, placement.Refuse, -1, 1},
		{"both are in backoff", func(x, y *placement.Target, q *placement.Query) { y.InBackoff = true }, placement.NoTarget, -1, 2},
		{"both are in backoff and x was tried", func(x, y *placement.Target, q *placement.Query) { y.InBackoff, x.Excluded = true, true }, placement.NoTarget, -1, 2},
		{"x lacks the model and the other target was tried", func(x, y *placement.Target, q *placement.Query) { x.LacksModel, y.Excluded = true, true }, placement.NoTarget, -1, 0},
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
			is.Equal(d.InBackoff, c.inBackoff)
		})
	}
}

// TestBackoffTargetsAreIgnored checks for arbitrary targets and queries that the outcome is the
// same as without the targets in backoff, and that none of these is selected.
func TestBackoffTargetsAreIgnored(t *testing.T) {
	zone := rapid.SampledFrom([]string{"a", "b"})
	rapid.Check(t, func(t *rapid.T) {
		var all, others []placement.Target
		for i := range rapid.IntRange(1, 8).Draw(t, "targets") {
			x := placement.Target{ID: string(rune('p' + i)), Zone: zone.Draw(t, "zone"), InFlight: rapid.IntRange(0, 9).Draw(t, "runs"), FirstResponseMS: rapid.Float64Range(1, 500).Draw(t, "first response ms"),
				Excluded: rapid.Bool().Draw(t, "excluded"), Ejected: rapid.Bool().Draw(t, "ejected"), ZoneUnreachable: rapid.Bool().Draw(t, "zone unreachable"), WarmupLimited: rapid.Bool().Draw(t, "warmup limited"),
				CapacityTokens: 100, UsedTokens: rapid.IntRange(0, 100).Draw(t, "memory"), InBackoff: rapid.Bool().Draw(t, "in backoff")}
			all = append(all, x)
			if !x.InBackoff {
				others = append(others, x)
			}
		}
		q := placement.Query{Zone: "a", RolloutTimeout: 10 * time.Second, ConcurrencyPenaltyMS: 20, Rand: func() float64 { return 0.5 }, Policy: policy.Default(), NeededTokens: 10,
			Started: rapid.Bool().Draw(t, "started"), PrefixKey: rapid.SampledFrom([]string{"", "s"}).Draw(t, "prefix key"), StoreZone: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "store zone"), SharedPrefillMS: 100}
		got, want := placement.Select(all, q), placement.Select(others, q)
		if got.Action != want.Action {
			t.Fatalf("action %v, without the targets in backoff %v", got.Action, want.Action)
		}
		if got.Index >= 0 && all[got.Index].ID != others[want.Index].ID {
			t.Fatalf("sent to %s, without the targets in backoff to %s", all[got.Index].ID, others[want.Index].ID)
		}
	})
}

// TestHomeDuringBackoff guards against a prompt without a home because its usual home, or every
// target in the zone of the store that holds its parts, is in backoff.
func TestHomeDuringBackoff(t *testing.T) {
	for name, inBackoff := range map[string]string{"one target": "r", "all targets in the store's zone": "rs"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for i := range 100 {
				var all, others []placement.Target
				for j, id := range []string{"p", "q", "r", "s"} {
					x := placement.Target{ID: id, Zone: string("aabb"[j]), FirstResponseMS: 50, InBackoff: strings.Contains(inBackoff, id)}
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
