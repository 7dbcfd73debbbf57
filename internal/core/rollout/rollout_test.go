package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/rollout"
)

var params = rollout.DefaultLeaseParams

// TestLease is one instance's course: take, act, renew, lose.
func TestLease(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	at := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	l := rollout.NewLease(params, "a")
	step, _ := l.NextStep(at(0))
	is.Equal(step, rollout.StepRead)
	l.Observe("", 0, at(0))
	step, want := l.NextStep(at(0))
	is.Equal(step, rollout.StepWrite)
	is.Equal(want, uint64(0))
	l.WriteSucceeded(7, at(0))
	is.True(l.TakeAcquired())
	is.True(!l.TakeAcquired())
	token, ok := l.Held(at(7.9))
	is.True(ok)
	is.Equal(token, uint64(7))
	_, ok = l.Held(at(8)) // the margin
	is.True(!ok)
	step, want = l.NextStep(at(3))
	is.Equal(step, rollout.StepWrite) // renew
	is.Equal(want, uint64(7))
	l.WriteSucceeded(9, at(3))
	is.True(!l.TakeAcquired())
	l.Observe("b", 12, at(4)) // taken by another
	_, ok = l.Held(at(4))
	is.True(!ok)
	step, _ = l.NextStep(at(15.9))
	is.Equal(step, rollout.StepRead)
	step, _ = l.NextStep(at(16))
	is.Equal(step, rollout.StepWrite) // it was silent for term and margin
}

// contender is an instance with a clock and pauses of its own.
type contender struct {
	l      *rollout.Lease
	name   string
	paused int
	saved  *saved // an order decided on before a pause, sent after it
}

type saved struct{ token uint64 }

// TestOneActs: contenders that are paused, whose writes are lost or answered
// late, never act at once: tokens at the moment of sending only rise, as long
// as a sender checks right before; a paused one that does not is found out by
// its token.
func TestOneActs(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(0, 0)
	version, holder := uint64(0), ""
	var all []*contender
	for i := range 4 {
		all = append(all, &contender{l: rollout.NewLease(params, fmt.Sprint(i)), name: fmt.Sprint(i)})
	}
	last, acts, stale := uint64(0), 0, 0
	for range 200_000 {
		now = now.Add(time.Duration(r.IntN(50)) * time.Millisecond)
		c := all[r.IntN(len(all))]
		if c.paused > 0 {
			c.paused--
			continue
		}
		if c.saved != nil { // wakes up and sends without looking again
			if c.saved.token < last {
				stale++ // a target that checks refuses this one
			}
			c.saved = nil
		}
		if token, ok := c.l.Held(now); ok {
			if token < last {
				t.Fatalf("%s acts with token %d behind %d", c.name, token, last)
			}
			last = token
			acts++
			if r.IntN(50) == 0 {
				c.saved, c.paused = &saved{token}, r.IntN(2000)
				continue
			}
		}
		switch step, want := c.l.NextStep(now); step {
		case rollout.StepRead:
			c.l.Observe(holder, version, now)
		case rollout.StepWrite:
			start := now
			fate := r.IntN(10)
			took := want == version && fate != 0
			if took {
				version += 1 + uint64(r.IntN(3))
				holder = c.name
			}
			now = now.Add(time.Duration(r.IntN(200)) * time.Millisecond)
			if took && fate != 1 { // else its answer is lost
				c.l.WriteSucceeded(version, start)
			} else {
				c.l.WriteFailed()
			}
		}
	}
	is := is.New(t)
	is.True(acts > 1000)
	is.True(stale > 10) // the planted danger was there
	t.Logf("%d acts, %d old orders after a pause", acts, stale)
}

func fleet(n int, version string) []rollout.Target {
	var out []rollout.Target
	for i := range n {
		out = append(out, rollout.Target{Name: fmt.Sprint("t", i), Model: "m", Version: version, Ready: true})
	}
	return out
}

// TestPlan rolls a version over a fleet of twenty: never more than three
// loads, never fewer ready than the share asked for, and an end.
func TestPlan(t *testing.T) {
	is := is.New(t)
	targets, now := fleet(20, "v1"), time.Unix(0, 0)
	p := rollout.NewPlanner(15 * time.Second)
	wish := map[string]rollout.DesiredVersion{"m": {Version: "v2", Allowed: []string{"v1", "v2"}, MinReady: 0.75}}
	loading := map[int]time.Time{}
	for steps := 0; ; steps++ {
		is.True(steps < 1000)
		for _, l := range p.Plan(targets, wish, now) {
			for i := range targets {
				if targets[i].Name == l.Target {
					targets[i].Ready, targets[i].Loading, targets[i].Version = false, true, ""
					loading[i] = now
				}
			}
		}
		ready := 0
		for _, x := range targets {
			if x.Ready {
				ready++
			}
		}
		is.True(len(loading) <= rollout.DefaultMaxLoads)
		is.True(ready >= 15)
		if ready == 20 && targets[0].Version == "v2" && len(p.Plan(targets, wish, now)) == 0 {
			break
		}
		now = now.Add(250 * time.Millisecond)
		for i, at := range loading {
			if now.Sub(at) >= time.Second {
				targets[i].Ready, targets[i].Loading, targets[i].Version = true, false, "v2"
				delete(loading, i)
				p.LoadEnded(rollout.Load{Target: targets[i].Name, Model: "m", Version: "v2"}, false)
			}
		}
	}
	for _, x := range targets {
		is.Equal(x.Version, "v2")
	}
}

// TestPlanner is a table of what is ordered of one target among four.
func TestPlanner(t *testing.T) {
	start := time.Unix(100, 0)
	wish := rollout.DesiredVersion{Version: "v2", Allowed: []string{"v1", "v2"}, MinReady: 0.5}
	cases := []struct {
		name   string
		change func(p *rollout.Planner, ts []rollout.Target, w *rollout.DesiredVersion)
		want   int
		to     string
	}{
		{"three of four at most, half stay", func(*rollout.Planner, []rollout.Target, *rollout.DesiredVersion) {}, 2, "v2"},
		{"all but one may go", func(_ *rollout.Planner, _ []rollout.Target, w *rollout.DesiredVersion) { w.MinReady = 0.25 }, 3, "v2"},
		{"loads of others count", func(_ *rollout.Planner, ts []rollout.Target, w *rollout.DesiredVersion) {
			w.MinReady = 0.1
			ts[0].Loading, ts[0].Ready, ts[1].Loading, ts[1].Ready = true, false, true, false
		}, 1, "v2"},
		{"a new holder waits", func(p *rollout.Planner, _ []rollout.Target, _ *rollout.DesiredVersion) {
			p.LeaseAcquired(start.Add(-time.Second))
		}, 0, ""},
		{"all are there", func(_ *rollout.Planner, ts []rollout.Target, _ *rollout.DesiredVersion) {
			for i := range ts {
				ts[i].Version = "v2"
			}
		}, 0, ""},
		{"a stray is repaired", func(_ *rollout.Planner, ts []rollout.Target, _ *rollout.DesiredVersion) {
			for i := range ts {
				ts[i].Version = "v2"
			}
			ts[3].Version = "v0"
		}, 1, "v2"},
		{"a bad version goes back", func(p *rollout.Planner, ts []rollout.Target, _ *rollout.DesiredVersion) {
			p.LoadEnded(rollout.Load{Target: "t0", Model: "m", Version: "v2"}, true)
			ts[1].Version = "v2"
		}, 1, "v1"},
		{"nothing good is left", func(p *rollout.Planner, _ []rollout.Target, _ *rollout.DesiredVersion) {
			p.SetBadVersions(map[string][]string{"m": {"v1", "v2"}})
		}, 0, ""},
		{"a withdrawn version needs no floor", func(_ *rollout.Planner, _ []rollout.Target, w *rollout.DesiredVersion) {
			w.Allowed, w.MinReady = []string{"v2"}, 1
		}, 3, "v2"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p, ts, w := rollout.NewPlanner(15*time.Second), fleet(4, "v1"), wish
			c.change(p, ts, &w)
			got := p.Plan(ts, map[string]rollout.DesiredVersion{"m": w}, start)
			is.Equal(len(got), c.want)
			for _, l := range got {
				is.Equal(l.Version, c.to)
			}
			is.Equal(len(p.Plan(ts, map[string]rollout.DesiredVersion{"m": w}, start)) <= max(0, rollout.DefaultMaxLoads-c.want), true) // not ordered twice
		})
	}
}

// TestApart: the last act of one holder and the first of the next are at least
// two margins apart, and the next one knows a bound on when that last act was.
func TestApart(t *testing.T) {
	is := is.New(t)
	p := rollout.LeaseParams{Term: time.Second, Margin: 400 * time.Millisecond, RenewInterval: 250 * time.Millisecond}
	old, next := rollout.NewLease(p, "old"), rollout.NewLease(p, "next")
	start := time.Unix(0, 0)
	old.Observe("", 0, start)
	old.WriteSucceeded(5, start)
	next.Observe("old", 5, start.Add(30*time.Millisecond))
	last := start
	for now := start; ; now = now.Add(time.Millisecond) {
		if _, held := old.Held(now); held {
			last = now
		}
		if step, _ := next.NextStep(now); step == rollout.StepWrite {
			is.True(now.Sub(last) >= 2*p.Margin)
			break
		}
	}
	name, since := next.Holder()
	is.Equal(name, "old")
	is.True(!last.After(since.Add(p.Term - p.Margin)))
}

// TestTokenStays: renewals keep the token; a new hold has a higher one.
func TestTokenStays(t *testing.T) {
	is := is.New(t)
	l := rollout.NewLease(params, "a")
	now := time.Unix(0, 0)
	l.Observe("", 0, now)
	l.WriteSucceeded(7, now)
	l.WriteSucceeded(9, now)
	token, held := l.Held(now)
	is.True(held)
	is.Equal(token, uint64(7))
	l.Observe("b", 12, now)
	l.WriteSucceeded(15, now)
	token, _ = l.Held(now)
	is.Equal(token, uint64(15))
}

// TestOldNews: a watch that tells an own earlier write late takes no lease away.
func TestOldNews(t *testing.T) {
	is := is.New(t)
	l := rollout.NewLease(params, "a")
	now := time.Unix(0, 0)
	l.Observe("", 0, now)
	l.WriteSucceeded(7, now)
	l.WriteSucceeded(9, now)
	l.Observe("a", 7, now)
	_, held := l.Held(now)
	is.True(held)
}

// TestLoadsAtOnce: the weight stores of fleets whose figures are known are not overloaded,
// no fleet needs more than six rounds, and never more loads than that are under way.
func TestLoadsAtOnce(t *testing.T) {
	for _, c := range []struct{ targets, want int }{{0, 2}, {1, 2}, {9, 2}, {12, 2}, {18, 3}, {20, 4}, {24, 4}, {60, 12}, {600, 120}} {
		is := is.New(t)
		is.Equal(rollout.MaxConcurrentLoads(c.targets), c.want)
		p := rollout.NewPlanner(time.Minute)
		p.SetLimits(c.want, 2)
		var ts []rollout.Target
		for i := range c.targets {
			ts = append(ts, rollout.Target{Name: fmt.Sprint(i), Model: "m", Version: "1", Ready: true})
		}
		loads := p.Plan(ts, map[string]rollout.DesiredVersion{"m": {Version: "2"}}, time.Unix(0, 0))
		is.Equal(len(loads), min(c.want+2, c.targets))
	}
	for targets := range 1000 {
		is.New(t).True(6*rollout.MaxConcurrentLoads(targets) >= targets)
	}
}
