package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/place"
)

// TestPick is a table of two targets, the second of which is changed.
func TestPick(t *testing.T) {
	query := place.Query{Zone: "a", Rollout: 10 * time.Second, CrowdMS: 20, Rand: func() float64 { return 0.5 }}
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
			is.New(t).Equal(place.Pick([]place.Target{x, y}, query), c.want)
		})
	}
}
