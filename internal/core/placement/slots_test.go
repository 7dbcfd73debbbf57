package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/placement"
	"github.com/shedhoist/shedhoist/internal/core/policy"
)

// TestSelectBySlots guards against refusals while some target can answer before the deadline, after a
// target may have worked on the request, or where nothing is known of slots, and checks that the
// shorter queue is preferred.
func TestSelectBySlots(t *testing.T) {
	query := placement.Query{Zone: "a", RolloutTimeout: 10 * time.Second, Rand: func() float64 { return 0.5 }, Policy: policy.Default(), ServiceMS: 100, TimeLeftMS: 500}
	// full has 46 requests for 4 slots: 43 leave before the next gets one, in 1,075 ms.
	full := placement.Target{ID: "x", Zone: "a", FirstResponseMS: 100, Slots: 4, Requests: 46, InFlight: 2}
	cases := []struct {
		name   string
		change func(x, y *placement.Target, q *placement.Query)
		want   int // -1: refused
		late   int
	}{
		{"all queues are too long", func(_, _ *placement.Target, _ *placement.Query) {}, -1, 2},
		{"enough time left", func(_, _ *placement.Target, q *placement.Query) { q.TimeLeftMS = 1000 }, 0, 0},
		{"a slot is free", func(_, y *placement.Target, q *placement.Query) { y.Requests, q.TimeLeftMS = 3, 1 }, 1, 1},
		{"a short queue", func(_, y *placement.Target, _ *placement.Query) { y.Requests = 10 }, 1, 1},
		{"the shorter of two queues", func(_, y *placement.Target, q *placement.Query) { y.Requests, q.TimeLeftMS = 30, 2000 }, 1, 0},
		{"an ejected target with a free slot", func(_, y *placement.Target, _ *placement.Query) { y.Requests, y.InFlight, y.Ejected = 3, 2, true }, 1, 1},
		{"a tried target with a free slot", func(_, y *placement.Target, _ *placement.Query) { y.Requests, y.Excluded = 3, true }, -1, 1},
		{"slots of one target not known", func(_, y *placement.Target, _ *placement.Query) { y.Slots = 0 }, 1, 1},
		{"service time not known", func(_, _ *placement.Target, q *placement.Query) { q.ServiceMS = 0 }, 0, 0},
		{"a target may have worked on it", func(_, _ *placement.Target, q *placement.Query) { q.Started = true }, 0, 2},
		{"policy off", func(_, _ *placement.Target, q *placement.Query) { q.Policy.Slots = false }, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			x, y, q := full, full, query
			y.ID = "y"
			c.change(&x, &y, &q)
			d := placement.Select([]placement.Target{x, y}, q)
			is.Equal(d.Index, c.want)
			is.Equal(d.LateTargets, c.late)
			is.Equal(d.Action == placement.Refuse, c.want < 0)
			if c.late == 2 {
				is.Equal(d.LateSlots, 4)
				is.Equal(d.LateRequests, 46.0)
				is.Equal(d.LateWaitMS, 1075.0)
				is.Equal(d.ExcessMS, 0.75*1075+100-500)
			}
		})
	}
}
