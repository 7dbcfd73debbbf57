package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/place"
)

// TestPick is a table of two targets, the second of which is changed.
func TestPick(t *testing.T) {
	model := place.Query{Zone: "a", Named: 2, NamedFor: 2 * time.Second, Rollout: 10 * time.Second, TypicalMS: 50, Rand: func() float64 { return 0.5 }}
	late := model
	late.NamedFor = 9 * time.Second
	early := model
	early.NamedFor = 0
	plain := model
	plain.Named = 0
	base := place.Target{ID: "x", Zone: "a", LatencyMS: 50, Version: 2}
	cases := []struct {
		name   string
		query  place.Query
		change func(x, y *place.Target)
		want   int
	}{
		{"fewer own requests", model, func(x, _ *place.Target) { x.Runs = 1 }, 1},
		{"faster", model, func(x, _ *place.Target) { x.LatencyMS = 100 }, 1},
		{"own zone", model, func(x, _ *place.Target) { x.Zone = "b" }, 1},
		{"another zone rather than a queue", model, func(x, y *place.Target) { x.Runs, y.Zone = 1, "b" }, 1},
		{"new weights", model, func(x, _ *place.Target) { x.Version = 1 }, 1},
		{"old weights rather than a long queue", model, func(x, y *place.Target) { x.Runs, y.Version = 5, 1 }, 1},
		{"old weights are as good at first", early, func(x, y *place.Target) { x.Runs, y.Version = 1, 1 }, 1},
		{"no old weights at the end of a rollout", late, func(x, y *place.Target) { x.Runs, y.Version = 50, 1 }, 0},
		{"nothing left", late, func(x, y *place.Target) { x.Version, y.Version = 1, 1 }, -1},
		{"no model", model, func(x, _ *place.Target) { x.Version = 0 }, 1},
		{"plain services have no version", plain, func(x, y *place.Target) { x.Runs, y.Version = 1, 0 }, 1},
		{"not tried", model, func(x, _ *place.Target) { x.Excluded = true }, 1},
		{"resting is the last resort", model, func(x, y *place.Target) { x.Resting, y.Runs = true, 90 }, 1},
		{"but better than none", model, func(x, y *place.Target) { x.Resting, y.Excluded = true, true }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x, y := base, base
			y.ID = "y"
			c.change(&x, &y)
			is.New(t).Equal(place.Pick([]place.Target{x, y}, c.query), c.want)
		})
	}
}
