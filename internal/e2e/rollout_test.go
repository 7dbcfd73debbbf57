package e2e_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/rollout"
	"github.com/shedhoist/shedhoist/internal/settings"
	"github.com/shedhoist/shedhoist/internal/standin/engine"
	"github.com/shedhoist/shedhoist/internal/standin/fleet"
	"github.com/shedhoist/shedhoist/internal/target"
)

// loads counts weight loads at once.
type loads struct{ now, most atomic.Int64 }

func (l *loads) change(delta int) {
	n := l.now.Add(int64(delta))
	for {
		old := l.most.Load()
		if n <= old || l.most.CompareAndSwap(old, n) {
			return
		}
	}
}

var quick = settings.Timing{ProbeMS: 20, HeartbeatMS: 50, ConfigPollMS: 200, ConnectMS: 1000, DrainMS: 30_000}

// roll applies a configuration in which v2 is wanted and v1 still allowed.
func roll(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	b := f.Bundle()
	b.Models[0].Version, b.Models[0].Versions = "v2", []string{"v1", "v2"}
	if err := f.Apply(b, "roll v2"); err != nil {
		t.Fatal(err)
	}
}

func allAt(f *fleet.Fleet, version string) bool {
	for _, d := range f.Daemons {
		for _, x := range d.Targets() {
			if x.Version != version || x.State != "ready" {
				return false
			}
		}
	}
	return true
}

// TestRollout: a new version goes over the fleet with at most three loads at
// once, though the instance that gives the orders dies on the way; requests
// are answered all the time, each by one version whole.
func TestRollout(t *testing.T) {
	is := is.New(t)
	var l loads
	f := start(t, fleet.Options{Instances: 3, Engines: 8, Timing: quick, Engine: engine.Options{LoadMS: 200, TimeScale: 1, OnLoad: l.change, Fenced: true}})
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	var served, bad atomic.Int64
	for n := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ctx.Err() == nil; i++ {
				a := ask{prompt: fmt.Sprint("question ", n, i, fleet.Rulebook("gate", 5000)), tokens: 4}
				got, err := a.try(t, f.Balance(n), f.Keys[0])
				if err != nil {
					continue // its instance was killed: the connection broke, which is a visible end
				}
				served.Add(1)
				if got.status != http.StatusOK || (got.text != a.want("v1") && got.text != a.want("v2")) {
					bad.Add(1)
					t.Logf("status %d: %s; %+v", got.status, got.raw, got.problem)
				}
			}
		}()
	}
	roll(t, f)
	eventually(t, "the rollout has begun", func() bool { return l.most.Load() > 0 })
	f.Kill(holder(f))
	eventually(t, "all targets are at v2", func() bool { return allAt(f, "v2") })
	stop()
	wg.Wait()
	is.True(l.most.Load() <= rollout.DefaultMaxLoads)
	t.Logf("%d loads at once at most, %d requests, %d bad", l.most.Load(), served.Load(), bad.Load())
	is.Equal(bad.Load(), int64(0)) // but for the killed instance's own, which break visibly
	a := ask{prompt: "x", tokens: 4}
	is.Equal(a.send(t, f.URL(0), f.Keys[0]).text, a.want("v2"))
	for _, e := range f.Engines {
		is.Equal(e.Counters().WrongBlocks, 0)
	}
}

// holder finds the instance that orders fall to.
func holder(f *fleet.Fleet) int {
	for i, d := range f.Daemons {
		if d.IsRolloutLeader() {
			return i
		}
	}
	return 0
}

// TestBadVersion: a version that will not load stops the rollout; what was
// swapped goes back, and the fleet serves on.
func TestBadVersion(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{Instances: 2, Engines: 4, Timing: quick, Engine: engine.Options{LoadMS: 50, TimeScale: 1}})
	f.Engines[3].SetFaults(engine.Faults{BadVersion: "v2"})
	roll(t, f)
	eventually(t, "the bad version was tried", func() bool { return f.Engines[3].Counters().Loads > 0 })
	eventually(t, "all targets are back at v1", func() bool { return allAt(f, "v1") })
	a := ask{prompt: "x", tokens: 4}
	is.Equal(a.send(t, f.URL(0), f.Keys[0]).text, a.want("v1"))
}

// TestOldOrder: a paused holder wakes and sends its old order. A target that
// checks tokens refuses it; one that does not is seen and repaired.
func TestOldOrder(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprint("fenced=", fenced), func(t *testing.T) {
			is := is.New(t)
			f := start(t, fleet.Options{Instances: 2, Engines: 2, Timing: quick, Engine: engine.Options{LoadMS: 20, TimeScale: 1, Fenced: fenced}})
			roll(t, f)
			eventually(t, "all targets are at v2", func() bool { return allAt(f, "v2") })
			before := f.Engines[0].Counters()
			c := target.NewClient(1e9)
			defer c.Close()
			_, err := c.Order(t.Context(), f.EngineAddrs[0], target.Order{Kind: target.OrderLoad, Version: "v1", FencingToken: 1})
			is.Equal(err != nil, fenced)
			is.Equal(f.Engines[0].Counters().StaleOrders, before.StaleOrders+1)
			if !fenced {
				eventually(t, "the harm is seen", func() bool { return f.Engines[0].Counters().Loads >= before.Loads+2 })
			}
			eventually(t, "all targets are at v2 again", func() bool { return allAt(f, "v2") })
		})
	}
}
