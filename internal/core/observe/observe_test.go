package observe_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/observe"
	"github.com/shedhoist/shedhoist/internal/core/route"
)

// TestState is the table of what is heard and what it makes of a target.
func TestState(t *testing.T) {
	start := time.Unix(100, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	good := observe.Report{Version: "v1"}
	cases := []struct {
		name string
		do   func(*observe.Tracker)
		at   time.Duration
		want route.State
	}{
		{"nothing heard", func(*observe.Tracker) {}, 0, route.Unknown},
		{"a report", func(tr *observe.Tracker) { tr.Heard("t", good, start) }, time.Second, route.Ready},
		{"an old report", func(tr *observe.Tracker) { tr.Heard("t", good, start) }, 4 * time.Second, route.Suspect},
		{"two failures", func(tr *observe.Tracker) { tr.Heard("t", good, start); tr.Failed("t"); tr.Failed("t") }, 0, route.Ready},
		{"three failures", func(tr *observe.Tracker) { tr.Heard("t", good, start); tr.Failed("t"); tr.Failed("t"); tr.Failed("t") }, 0, route.Suspect},
		{"back", func(tr *observe.Tracker) {
			tr.Failed("t")
			tr.Failed("t")
			tr.Failed("t")
			tr.Heard("t", good, start)
		}, 0, route.Ready},
		{"one failure and never a report", func(tr *observe.Tracker) { tr.Failed("t") }, 0, route.Suspect},
		{"its own word", func(tr *observe.Tracker) { tr.Heard("t", observe.Report{Leaving: true}, start) }, 0, route.Leaving},
		{"the list", func(tr *observe.Tracker) { tr.Heard("t", good, start); tr.Listed(map[string]bool{"t": true}) }, 0, route.Leaving},
		{"loading", func(tr *observe.Tracker) { tr.Heard("t", observe.Report{Loading: true}, start) }, 0, route.Unknown},
		{"ejected", func(tr *observe.Tracker) { tr.Heard("t", good, start); tr.Eject("t", at(time.Second)) }, 0, route.Suspect},
		{"no longer ejected", func(tr *observe.Tracker) { tr.Heard("t", good, start); tr.Eject("t", at(time.Second)) }, time.Second, route.Ready},
		{"drained goes before all", func(tr *observe.Tracker) {
			tr.Declare([]observe.Spec{{Name: "t", Drained: true}})
			tr.Heard("t", observe.Report{Leaving: true}, start)
		}, 0, route.Draining},
		{"a new address is a new machine", func(tr *observe.Tracker) {
			tr.Heard("t", good, start)
			tr.Declare([]observe.Spec{{Name: "t", Address: "other"}})
		}, 0, route.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tr := observe.New(observe.DefaultParams)
			tr.Declare([]observe.Spec{{Name: "t"}})
			c.do(tr)
			got := tr.Targets(at(c.at))
			is.Equal(len(got), 1)
			is.Equal(got[0].State.String(), c.want.String())
		})
	}
}
