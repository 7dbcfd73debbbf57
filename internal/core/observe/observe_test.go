package observe_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/observe"
	"github.com/shedhoist/shedhoist/internal/core/route"
)

// TestRoutingState checks the state that follows from reports, failed probes,
// digests, the target list and the configuration.
func TestRoutingState(t *testing.T) {
	start := time.Unix(100, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	good := observe.Report{Version: "v1"}
	cases := []struct {
		name string
		do   func(*observe.Tracker)
		at   time.Duration
		want route.State
	}{
		{"not observed", func(*observe.Tracker) {}, 0, route.Unknown},
		{"a report", func(tr *observe.Tracker) { tr.RecordReport("t", good, start) }, time.Second, route.Ready},
		{"a report past the timeout", func(tr *observe.Tracker) { tr.RecordReport("t", good, start) }, 11 * time.Second, route.Suspect},
		{"two failures", func(tr *observe.Tracker) {
			tr.RecordReport("t", good, start)
			tr.RecordFailure("t", start)
			tr.RecordFailure("t", start)
		}, 0, route.Ready},
		{"three failures", func(tr *observe.Tracker) {
			tr.RecordReport("t", good, start.Add(-1))
			tr.RecordFailure("t", start)
			tr.RecordFailure("t", start)
			tr.RecordFailure("t", start)
		}, 0, route.Suspect},
		{"a report after three failures", func(tr *observe.Tracker) {
			tr.RecordFailure("t", start)
			tr.RecordFailure("t", start)
			tr.RecordFailure("t", start)
			tr.RecordReport("t", good, at(time.Second))
		}, time.Second, route.Ready},
		{"newer digest: down", func(tr *observe.Tracker) {
			tr.RecordReport("t", good, start)
			tr.MergeDigests([]observe.Digest{{Name: "t", Down: true, ReportAgeMS: 100}}, at(time.Second))
		}, time.Second, route.Suspect},
		{"older digest: down", func(tr *observe.Tracker) {
			tr.RecordReport("t", good, start)
			tr.MergeDigests([]observe.Digest{{Name: "t", Down: true, ReportAgeMS: 2000}}, at(time.Second))
		}, time.Second, route.Ready},
		{"digest for another address", func(tr *observe.Tracker) {
			tr.RecordReport("t", good, start)
			tr.MergeDigests([]observe.Digest{{Name: "t", Address: "old", Down: true}}, at(time.Second))
		}, time.Second, route.Ready},
		{"one failure without any report", func(tr *observe.Tracker) { tr.RecordFailure("t", start) }, 0, route.Suspect},
		{"leaving by its own report", func(tr *observe.Tracker) { tr.RecordReport("t", observe.Report{Leaving: true}, start) }, 0, route.Leaving},
		{"leaving by the target list", func(tr *observe.Tracker) {
			tr.RecordReport("t", good, start)
			tr.SetLeaving(map[string]bool{"t": true})
		}, 0, route.Leaving},
		{"loading", func(tr *observe.Tracker) { tr.RecordReport("t", observe.Report{Loading: true}, start) }, 0, route.Unknown},
		{"while ejected", func(tr *observe.Tracker) { tr.RecordReport("t", good, start); tr.Eject("t", at(time.Second)) }, 0, route.Suspect},
		{"after the ejection", func(tr *observe.Tracker) { tr.RecordReport("t", good, start); tr.Eject("t", at(time.Second)) }, time.Second, route.Ready},
		{"drained takes precedence over leaving", func(tr *observe.Tracker) {
			tr.SetTargets([]observe.Spec{{Name: "t", Drained: true}})
			tr.RecordReport("t", observe.Report{Leaving: true}, start)
		}, 0, route.Draining},
		{"a new address resets the state", func(tr *observe.Tracker) {
			tr.RecordReport("t", good, start)
			tr.SetTargets([]observe.Spec{{Name: "t", Address: "other"}})
		}, 0, route.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tr := observe.New(observe.DefaultParams)
			tr.SetTargets([]observe.Spec{{Name: "t"}})
			c.do(tr)
			got := tr.Targets(at(c.at))
			is.Equal(len(got), 1)
			is.Equal(got[0].State.String(), c.want.String())
		})
	}
}

// TestObservers checks that each target has observers in at least two zones, that
// the load is even, and that the removal of an instance changes only the observers
// of its own targets.
func TestObservers(t *testing.T) {
	is := is.New(t)
	var all []observe.Observer
	for i := range 12 {
		all = append(all, observe.Observer{Name: fmt.Sprint("entry-", i), Zone: fmt.Sprint("z", i%3)})
	}
	load := map[string]int{}
	for i := range 600 {
		target := fmt.Sprint("t", i)
		before := observe.Observers(target, all)
		is.Equal(len(before), observe.ObserverCount)
		zone := map[string]bool{}
		for _, name := range before {
			load[name]++
			for _, o := range all {
				if o.Name == name {
					zone[o.Zone] = true
				}
			}
		}
		is.True(len(zone) >= 2)
		after := observe.Observers(target, all[1:])
		if !slices.Contains(before, "entry-0") {
			is.Equal(after, before)
		}
	}
	for _, n := range load {
		is.True(n > 100 && n < 200) // 600 targets * 3 observers / 12 instances = 150
	}
	is.Equal(observe.Observers("t", all[:1]), []string{"entry-0"})
}

// TestUpdateRateIsBounded checks that refreshes of many targets stay within the
// capacity of the messages, and that a target with recent reports stays ready.
func TestUpdateRateIsBounded(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{20, 200, 2000} {
		tr, now := observe.New(observe.DefaultParams), time.Unix(100, 0)
		var specs []observe.Spec
		for i := range n {
			specs = append(specs, observe.Spec{Name: fmt.Sprint("t", i)})
		}
		tr.SetTargets(specs)
		sent, seconds := 0, 120
		for range seconds * 4 { // four messages a second, with a new report of each target before each message
			now = now.Add(250 * time.Millisecond)
			for _, s := range specs {
				tr.RecordReport(s.Name, observe.Report{Version: "v1"}, now)
			}
			digests := tr.NextUpdates(now)
			is.True(len(digests) <= observe.DefaultParams.MaxDigests)
			sent += len(digests)
		}
		is.True(sent <= seconds*4*observe.DefaultParams.MaxDigests)
		is.Equal(tr.Targets(now)[0].State, route.Ready)
	}
}
