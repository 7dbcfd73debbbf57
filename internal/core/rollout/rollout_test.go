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

// process returns the identity of a process of an instance.
func process(name string, id uint64) rollout.Holder {
	return rollout.Holder{Name: name, Machine: name + ":1", Process: id}
}

// write writes the lease at once.
func write(l *rollout.Lease, version uint64, now time.Time) {
	l.BeginWrite(now, 0)
	l.WriteSucceeded(version)
}

// TestLease runs one instance through acquiring, using, renewing and losing the lease.
func TestLease(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	at := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	lease := rollout.NewLease(params, process("a", 1))
	step, _ := lease.NextStep(at(0))
	is.Equal(step, rollout.StepRead)
	lease.Observe(rollout.LeaseValue{}, 0, at(0))
	step, version := lease.NextStep(at(0))
	is.Equal(step, rollout.StepWrite)
	is.Equal(version, uint64(0))
	write(lease, 7, at(0))
	a, acquired := lease.TakeAcquired()
	is.True(acquired)
	is.Equal(a.Token, uint64(7))
	_, acquired = lease.TakeAcquired()
	is.True(!acquired)
	token, ok := lease.Held(at(7.9))
	is.True(ok)
	is.Equal(token, uint64(7))
	_, ok = lease.Held(at(8)) // Term - Margin after the write
	is.True(!ok)
	step, version = lease.NextStep(at(3))
	is.Equal(step, rollout.StepWrite) // renew
	is.Equal(version, uint64(7))
	write(lease, 9, at(3))
	_, acquired = lease.TakeAcquired()
	is.True(!acquired)
	lease.Observe(rollout.LeaseValue{Holder: process("b", 1), Writes: 1}, 12, at(4)) // acquired by another instance
	_, ok = lease.Held(at(4))
	is.True(!ok)
	step, _ = lease.NextStep(at(15.9))
	is.Equal(step, rollout.StepRead)
	step, _ = lease.NextStep(at(16))
	is.Equal(step, rollout.StepWrite) // b has not renewed for Term + Margin
}

// contender is an instance that may pause independently of the others.
type contender struct {
	lease   *rollout.Lease
	name    string
	paused  int           // turns left to pause
	delayed *delayedOrder // decided on before a pause, sent after it without another check
}

type delayedOrder struct{ token uint64 }

// TestSingleActiveHolder: no two contenders give orders at once, although they pause and their
// writes are lost or answered late. The tokens of orders never decrease if the sender checks the
// lease right before sending; an order sent after a pause without a check has a stale token.
func TestSingleActiveHolder(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(0, 0)
	version, value := uint64(0), rollout.LeaseValue{}
	var all []*contender
	for i := range 4 {
		all = append(all, &contender{lease: rollout.NewLease(params, process(fmt.Sprint(i), uint64(i))), name: fmt.Sprint(i)})
	}
	lastToken, sends, stale := uint64(0), 0, 0
	for range 200_000 {
		now = now.Add(time.Duration(r.IntN(50)) * time.Millisecond)
		c := all[r.IntN(len(all))]
		if c.paused > 0 {
			c.paused--
			continue
		}
		if c.delayed != nil { // resumes and sends without checking the lease again
			if c.delayed.token < lastToken {
				stale++ // a target that checks tokens refuses this one
			}
			c.delayed = nil
		}
		if token, ok := c.lease.Held(now); ok {
			if token < lastToken {
				t.Fatalf("%s sends an order with token %d after one with token %d", c.name, token, lastToken)
			}
			lastToken = token
			sends++
			if r.IntN(50) == 0 {
				c.delayed, c.paused = &delayedOrder{token}, r.IntN(2000)
				continue
			}
		}
		switch step, expected := c.lease.NextStep(now); step {
		case rollout.StepRead:
			c.lease.Observe(value, version, now)
		case rollout.StepWrite:
			written := c.lease.BeginWrite(now, 0)
			outcome := r.IntN(10)
			applied := expected == version && outcome != 0
			if applied {
				version += 1 + uint64(r.IntN(3))
				value = written
			}
			now = now.Add(time.Duration(r.IntN(200)) * time.Millisecond)
			if applied && outcome != 1 { // else the answer is lost
				c.lease.WriteSucceeded(version)
			} else {
				c.lease.WriteFailed()
			}
		}
	}
	is := is.New(t)
	is.True(sends > 1000)
	is.True(stale > 10) // the test did produce stale orders
	t.Logf("%d orders, %d stale ones after a pause", sends, stale)
}

// fleet returns n ready targets that serve one version of model m.
func fleet(n int, version string) []rollout.Target {
	var out []rollout.Target
	for i := range n {
		out = append(out, rollout.Target{Name: fmt.Sprint("t", i), Model: "m", Version: version, Ready: true})
	}
	return out
}

// TestPlanWholeFleet rolls out a version to twenty targets: there are never more than three
// loads at once nor fewer ready targets than MinReady, and the rollout completes.
func TestPlanWholeFleet(t *testing.T) {
	is := is.New(t)
	targets, now := fleet(20, "v1"), time.Unix(0, 0)
	planner := rollout.NewPlanner(15 * time.Second)
	desired := map[string]rollout.DesiredVersion{"m": {Version: "v2", Allowed: []string{"v1", "v2"}, MinReady: 0.75}}
	loading := map[int]time.Time{}
	for steps := 0; ; steps++ {
		is.True(steps < 1000)
		for _, l := range planner.Plan(targets, desired, now) {
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
		if ready == 20 && targets[0].Version == "v2" && len(planner.Plan(targets, desired, now)) == 0 {
			break
		}
		now = now.Add(250 * time.Millisecond)
		for i, at := range loading {
			if now.Sub(at) >= time.Second {
				targets[i].Ready, targets[i].Loading, targets[i].Version = true, false, "v2"
				delete(loading, i)
				planner.LoadEnded(rollout.Load{Target: targets[i].Name, Model: "m", Version: "v2"}, false)
			}
		}
	}
	for _, x := range targets {
		is.Equal(x.Version, "v2")
	}
}

// TestPlanner checks the loads planned for four targets in various states.
func TestPlanner(t *testing.T) {
	start := time.Unix(100, 0)
	desired := rollout.DesiredVersion{Version: "v2", Allowed: []string{"v1", "v2"}, MinReady: 0.5}
	cases := []struct {
		name   string
		change func(p *rollout.Planner, targets []rollout.Target, want *rollout.DesiredVersion)
		want   int
		to     string
	}{
		{"at most three of four, half stay ready", func(*rollout.Planner, []rollout.Target, *rollout.DesiredVersion) {}, 2, "v2"},
		{"all but one may load", func(_ *rollout.Planner, _ []rollout.Target, want *rollout.DesiredVersion) { want.MinReady = 0.25 }, 3, "v2"},
		{"loads under way count", func(_ *rollout.Planner, targets []rollout.Target, want *rollout.DesiredVersion) {
			want.MinReady = 0.1
			targets[0].Loading, targets[0].Ready, targets[1].Loading, targets[1].Ready = true, false, true, false
		}, 1, "v2"},
		{"a new holder waits", func(p *rollout.Planner, _ []rollout.Target, _ *rollout.DesiredVersion) {
			p.LeaseAcquired(start.Add(-time.Second))
		}, 0, ""},
		{"all serve the version", func(_ *rollout.Planner, targets []rollout.Target, _ *rollout.DesiredVersion) {
			for i := range targets {
				targets[i].Version = "v2"
			}
		}, 0, ""},
		{"a target with another version is loaded", func(_ *rollout.Planner, targets []rollout.Target, _ *rollout.DesiredVersion) {
			for i := range targets {
				targets[i].Version = "v2"
			}
			targets[3].Version = "v0"
		}, 1, "v2"},
		{"a bad version is rolled back", func(p *rollout.Planner, targets []rollout.Target, _ *rollout.DesiredVersion) {
			p.LoadEnded(rollout.Load{Target: "t0", Model: "m", Version: "v2"}, true)
			targets[1].Version = "v2"
		}, 1, "v1"},
		{"all versions are bad", func(p *rollout.Planner, _ []rollout.Target, _ *rollout.DesiredVersion) {
			p.SetBadVersions(map[string][]string{"m": {"v1", "v2"}})
		}, 0, ""},
		{"MinReady does not protect a withdrawn version", func(_ *rollout.Planner, _ []rollout.Target, want *rollout.DesiredVersion) {
			want.Allowed, want.MinReady = []string{"v2"}, 1
		}, 3, "v2"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p, targets, want := rollout.NewPlanner(15*time.Second), fleet(4, "v1"), desired
			c.change(p, targets, &want)
			got := p.Plan(targets, map[string]rollout.DesiredVersion{"m": want}, start)
			is.Equal(len(got), c.want)
			for _, l := range got {
				is.Equal(l.Version, c.to)
			}
			is.Equal(len(p.Plan(targets, map[string]rollout.DesiredVersion{"m": want}, start)) <= max(0, rollout.DefaultMaxLoads-c.want), true) // no load is planned twice
		})
	}
}

// TestHoldersDoNotOverlap: the last order of one holder and the first one of the next are at least
// two margins apart, and the next holder knows an upper bound on the time of that last order.
func TestHoldersDoNotOverlap(t *testing.T) {
	is := is.New(t)
	params := rollout.LeaseParams{Term: time.Second, Margin: 400 * time.Millisecond, RenewInterval: 250 * time.Millisecond}
	old, next := rollout.NewLease(params, process("old", 1)), rollout.NewLease(params, process("next", 2))
	start := time.Unix(0, 0)
	old.Observe(rollout.LeaseValue{}, 0, start)
	write(old, 5, start)
	next.Observe(rollout.LeaseValue{Holder: process("old", 1), Writes: 1}, 5, start.Add(30*time.Millisecond))
	lastHeld := start
	for now := start; ; now = now.Add(time.Millisecond) {
		if _, held := old.Held(now); held {
			lastHeld = now
		}
		if step, _ := next.NextStep(now); step == rollout.StepWrite {
			is.True(now.Sub(lastHeld) >= 2*params.Margin)
			break
		}
	}
	write(next, 6, lastHeld.Add(time.Second))
	a, acquired := next.TakeAcquired()
	is.True(acquired)
	is.Equal(a.Previous, process("old", 1))
	is.True(!lastHeld.After(a.LastAct))
}

// TestRenewalKeepsToken: renewals keep the token; a new acquisition has a higher one.
func TestRenewalKeepsToken(t *testing.T) {
	is := is.New(t)
	lease := rollout.NewLease(params, process("a", 1))
	now := time.Unix(0, 0)
	lease.Observe(rollout.LeaseValue{}, 0, now)
	write(lease, 7, now)
	write(lease, 9, now)
	token, held := lease.Held(now)
	is.True(held)
	is.Equal(token, uint64(7))
	lease.Observe(rollout.LeaseValue{Holder: process("b", 1), Writes: 1}, 12, now)
	write(lease, 15, now)
	token, _ = lease.Held(now)
	is.Equal(token, uint64(15))
}

// TestStaleObservationIsIgnored: a holder keeps the lease when a watch delivers one of its earlier
// writes late.
func TestStaleObservationIsIgnored(t *testing.T) {
	is := is.New(t)
	lease := rollout.NewLease(params, process("a", 1))
	now := time.Unix(0, 0)
	lease.Observe(rollout.LeaseValue{}, 0, now)
	write(lease, 7, now)
	write(lease, 9, now)
	lease.Observe(rollout.LeaseValue{Holder: process("a", 1), Writes: 1}, 7, now)
	_, held := lease.Held(now)
	is.True(held)
}

// TestMaxConcurrentLoads: the limit does not overload the weight stores of the fleets whose
// bandwidth is known, no fleet needs more than six rounds, and Plan keeps to the limit.
func TestMaxConcurrentLoads(t *testing.T) {
	for _, c := range []struct{ targets, want int }{{0, 2}, {1, 2}, {9, 2}, {12, 2}, {18, 3}, {20, 4}, {24, 4}, {60, 12}, {600, 120}} {
		is := is.New(t)
		is.Equal(rollout.MaxConcurrentLoads(c.targets), c.want)
		planner := rollout.NewPlanner(time.Minute)
		planner.SetLimits(c.want, 2)
		var targets []rollout.Target
		for i := range c.targets {
			targets = append(targets, rollout.Target{Name: fmt.Sprint(i), Model: "m", Version: "1", Ready: true})
		}
		loads := planner.Plan(targets, map[string]rollout.DesiredVersion{"m": {Version: "2"}}, time.Unix(0, 0))
		is.Equal(len(loads), min(c.want+2, c.targets))
	}
	for targets := range 1000 {
		is.New(t).True(6*rollout.MaxConcurrentLoads(targets) >= targets)
	}
}
