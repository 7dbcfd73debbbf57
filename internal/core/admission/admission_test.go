package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/admission"
)

const ms = time.Millisecond

// TestLevels checks that the ranks of a service's routes give its levels with their tightest
// objectives, and that each rank belongs to the level of the nearest rank that is as urgent or
// less: a customer with a priority of its own that no route has must not become the most urgent.
func TestLevels(t *testing.T) {
	is := is.New(t)
	l := admission.NewLevels([]admission.Level{{Rank: 3, Objective: time.Second}, {Rank: 1}, {Rank: 3, Objective: 900 * ms}, {Rank: 1, Objective: 400 * ms}, {Rank: 3, Objective: 2 * time.Second}, {Rank: 5}})
	is.Equal(l, admission.Levels{{Rank: 1, Objective: 400 * ms}, {Rank: 3, Objective: 900 * ms}, {Rank: 5}})
	for rank, level := range []int{0, 0, 1, 1, 2, 2, 2} {
		is.Equal(l.Of(rank), level)
	}
	is.Equal(admission.Levels(nil).Of(1), 0)
}

// TestOneLevel checks that services whose routes all have one rank get no limits, whatever
// priority a customer has: deployments without priorities must be served as before.
func TestOneLevel(t *testing.T) {
	for _, l := range []admission.Levels{nil, admission.NewLevels([]admission.Level{{Rank: 2, Objective: time.Second}, {Rank: 2}})} {
		for _, r := range []admission.Request{{Rank: 0}, {Rank: 9, Waited: true}, {Rank: 9, AboveFairShare: true}} {
			is.New(t).Equal(l.Limits(r), admission.Limits{})
		}
	}
}

// TestLimits checks the order of the memory shares, which differences within a level must not
// reverse between levels, and that queues follow from the tightest objective of the more urgent
// levels.
func TestLimits(t *testing.T) {
	is := is.New(t)
	l := admission.NewLevels([]admission.Level{{Rank: 0, Objective: 600 * ms}, {Rank: 1, Objective: 400 * ms}, {Rank: 2, Objective: 100 * ms}, {Rank: 3}})
	queues := []time.Duration{0, 600 * ms, 400 * ms, 50 * ms} // the whole objective, and half of it for the last level
	lowestAbove := 2.0                                        // the least share of any request of the level above
	for rank := range l {
		plain := l.Limits(admission.Request{Rank: rank})
		waited := l.Limits(admission.Request{Rank: rank, Waited: true})
		above := l.Limits(admission.Request{Rank: rank, AboveFairShare: true})
		is.Equal(plain.Level, rank)
		is.Equal(plain.QueueTime, queues[rank])
		is.Equal(plain.RequestShare > 0, rank > 0)
		is.True(waited.MemoryShare >= plain.MemoryShare && plain.MemoryShare > above.MemoryShare)
		is.True(waited.MemoryShare <= 1)
		if rank <= 2 { // all levels from 2 on have one share
			is.True(waited.MemoryShare < lowestAbove)
		}
		lowestAbove = above.MemoryShare
	}
	is.Equal(l.Limits(admission.Request{}).MemoryShare, 1.0)
	noObjective := admission.NewLevels([]admission.Level{{Rank: 0}, {Rank: 1, Objective: time.Second}})
	is.Equal(noObjective.Limits(admission.Request{Rank: 1}).QueueTime, time.Duration(0))
}

// TestSentRank checks that a late request falls behind those of its own rank that are in time, and
// never behind a less urgent one, for ranks that targets accept and for larger ones.
func TestSentRank(t *testing.T) {
	for _, ranks := range [][]int{{0, 1}, {0, 1, 2, 3, 4}, {1, 3}, {0, 5}, {2, 7, 20}} {
		var routes []admission.Level
		for _, r := range ranks {
			routes = append(routes, admission.Level{Rank: r})
		}
		l, before := admission.NewLevels(routes), -1
		for _, r := range ranks {
			is := is.New(t)
			inTime, late := l.SentRank(r, false), l.SentRank(r, true)
			is.True(before < inTime && inTime < late && late <= 9)
			before = late
		}
		is.New(t).True(l.SentRank(30, true) <= 9)
	}
}

// TestHasWaited checks that the shortest Retry-After shows in the time that a caller has left, and
// that the time a first request takes to arrive does not.
func TestHasWaited(t *testing.T) {
	is := is.New(t)
	for _, timeout := range []time.Duration{600 * ms, 3 * time.Second, 12 * time.Second} {
		is.True(!admission.HasWaited(timeout, timeout))
		is.True(!admission.HasWaited(timeout-timeout/20, timeout) || timeout/20 >= 400*ms)
		is.True(!admission.HasWaited(timeout-50*ms, timeout))
		for level := range 3 {
			wait := admission.RetryAfter(level, 0, timeout, 0)
			is.True(admission.HasWaited(timeout-wait, timeout))
		}
	}
	is.True(!admission.HasWaited(0, time.Second)) // the caller names no time
	is.True(!admission.HasWaited(time.Second, 0)) // the route has no timeout
}
