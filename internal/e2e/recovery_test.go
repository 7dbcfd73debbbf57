package e2e_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/daemon"
	"github.com/shedhoist/shedhoist/internal/platform"
	"github.com/shedhoist/shedhoist/internal/standin/fleet"
	standin "github.com/shedhoist/shedhoist/internal/standin/platform"
	"github.com/shedhoist/shedhoist/internal/standin/store"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// load is a crowd of callers in the background.
type load struct {
	served, wrong, refused, broken atomic.Int64
	stop                           func()
}

// crowd sends prompts through ready instances until stop is called. A broken
// connection is a visible end; a wrong or torn text never is.
func crowd(t *testing.T, f *fleet.Fleet, callers int) *load {
	t.Helper()
	if err := f.WaitReady(t.Context()); err != nil { // callers are sent to instances that are ready, if any is
		t.Fatal(err)
	}
	l := &load{}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for n := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ctx.Err() == nil; i++ {
				a := ask{prompt: fmt.Sprint("caller ", n%4, fleet.Rulebook("gate", 9000), i%5), tokens: 6, stream: i%2 == 0}
				got, err := a.try(t, f.Balance(n+i), f.Keys[n%len(f.Keys)])
				switch {
				case err != nil || (got.status == http.StatusOK && !got.done && !got.streamErr):
					l.broken.Add(1)
				case got.status != http.StatusOK || got.streamErr:
					l.refused.Add(1)
				case got.text != a.want(fleet.Version):
					l.wrong.Add(1)
				default:
					l.served.Add(1)
				}
			}
		}()
	}
	l.stop = func() {
		cancel()
		wg.Wait()
	}
	return l
}

// more waits until so many further answers have been served.
func (l *load) more(t *testing.T, n int64) {
	t.Helper()
	from := l.served.Load()
	eventually(t, fmt.Sprint(n, " more answers"), func() bool { return l.served.Load() >= from+n })
}

// TestUnderLoad brings about failures, each twice and some in pairs, under a
// crowd of callers. No answer is ever wrong; afterwards all are served again.
func TestUnderLoad(t *testing.T) {
	type scenario struct {
		name    string
		do      func(t *testing.T, f *fleet.Fleet)
		undo    func(f *fleet.Fleet)
		refuses bool // some requests may be refused or broken meanwhile
	}
	outage := func(_ *testing.T, f *fleet.Fleet) { f.Platform.SetFaults(standin.Faults{Outage: true}) }
	back := func(f *fleet.Fleet) { f.Platform.SetFaults(standin.Faults{}) }
	storesDown := func(_ *testing.T, f *fleet.Fleet) { f.Stores[0].SetFaults(store.Faults{Down: true}) }
	storesUp := func(f *fleet.Fleet) { f.Stores[0].SetFaults(store.Faults{}) }
	killThird := func(t *testing.T, f *fleet.Fleet) {
		f.Kill(0)
		f.Kill(0)
		for range 2 {
			if _, err := f.AddInstance(); err != nil {
				t.Fatal(err)
			}
		}
	}
	both := func(fs ...func(*testing.T, *fleet.Fleet)) func(*testing.T, *fleet.Fleet) {
		return func(t *testing.T, f *fleet.Fleet) {
			for _, x := range fs {
				x(t, f)
			}
		}
	}
	scenarios := []scenario{
		{"platform out", outage, back, false},
		{"half of the stores gone", storesDown, storesUp, false},
		{"platform out and half of the stores gone", both(outage, storesDown), func(f *fleet.Fleet) { back(f); storesUp(f) }, false},
		{"a third of the instances killed", killThird, func(*fleet.Fleet) {}, true},
		{"a third killed while the platform is out", both(outage, killThird), back, true},
		{"caches lost", func(_ *testing.T, f *fleet.Fleet) {
			for _, e := range f.Engines {
				e.DropCache()
			}
		}, func(*fleet.Fleet) {}, false},
	}
	f := start(t, fleet.Options{Instances: 6, Engines: 4, Timing: quick})
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			is := is.New(t)
			l := crowd(t, f, 8)
			for range 2 {
				l.more(t, 50)
				s.do(t, f)
				l.more(t, 100)
				s.undo(f)
			}
			l.more(t, 50)
			l.stop()
			t.Logf("served %d, refused %d, broken %d, wrong %d", l.served.Load(), l.refused.Load(), l.broken.Load(), l.wrong.Load())
			is.Equal(l.wrong.Load(), int64(0))
			if !s.refuses {
				is.Equal(l.refused.Load()+l.broken.Load(), int64(0))
			}
			for _, e := range f.Engines {
				is.Equal(e.Counters().WrongBlocks, 0)
			}
		})
	}
}

// TestCrowdMeetsReadyInstances: what a step counts is its own. A crowd that comes when
// every instance has just been replaced, and none is ready yet, is not refused for it.
func TestCrowdMeetsReadyInstances(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{Instances: 2, Engines: 1, Timing: quick})
	f.Platform.SetFaults(standin.Faults{Outage: true})
	f.Kill(0)
	f.Kill(0)
	_, err := f.AddInstance() // nobody is left who could tell it the configuration
	is.NoErr(err)
	calls := f.Platform.Calls()["get"]
	back := make(chan struct{})
	go func() {
		defer close(back)
		for f.Platform.Calls()["get"] < calls+2 && wait.For(t.Context(), time.Millisecond) {
		}
		f.Platform.SetFaults(standin.Faults{})
	}()
	l := crowd(t, f, 4)
	<-back
	l.more(t, 20)
	l.stop()
	is.Equal(l.wrong.Load(), int64(0))
	is.Equal(l.refused.Load()+l.broken.Load(), int64(0))
}

// TestFreshInstanceInOutage: while the platform is down a fresh instance takes
// the generation from its peers; with none it stays not ready.
func TestFreshInstanceInOutage(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{Instances: 2, Engines: 2, Timing: quick})
	f.Platform.SetFaults(standin.Faults{Outage: true})
	d, err := f.AddInstance()
	is.NoErr(err)
	eventually(t, "it is ready", d.Ready)
	is.Equal(d.Status().Generation, uint64(1))
	a := ask{prompt: "x", tokens: 3}
	is.Equal(a.send(t, "http://"+d.CallerAddr(), f.Keys[0]).text, a.want(fleet.Version))
	f.Kill(0)
	f.Kill(0)
	f.Kill(0)
	alone, err := f.AddInstance()
	is.NoErr(err)
	calls := f.Platform.Calls()["get"]
	eventually(t, "it has asked the platform in vain", func() bool { return f.Platform.Calls()["get"] >= calls+2 })
	is.True(!alone.Ready())
	f.Platform.SetFaults(standin.Faults{})
	eventually(t, "it is ready", alone.Ready)
}

// TestGenerationOnlyRises: over applies with lost answers, an outage, and the
// replacement of every instance, no instance ever goes back a generation, and
// in the end all have the newest.
func TestGenerationOnlyRises(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{Instances: 3, Engines: 1, Timing: quick})
	ctx, stop := context.WithCancel(t.Context())
	var fell atomic.Int64
	var wg sync.WaitGroup
	watch := func(d *daemon.Daemon) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for last := uint64(0); ctx.Err() == nil; {
				g := d.Status().Generation
				if g < last {
					fell.Add(1)
				}
				last = g
			}
		}()
	}
	for _, d := range f.Daemons {
		watch(d)
	}
	for round := range 3 {
		b := f.Bundle()
		b.Customers[0].Priority = round
		f.Platform.SetFaults(standin.Faults{LoseWrites: round})
		is.NoErr(f.Apply(b, fmt.Sprint("round ", round)))
		f.Platform.SetFaults(standin.Faults{Outage: round == 1})
		d, err := f.AddInstance()
		is.NoErr(err)
		watch(d)
		eventually(t, "the new one is ready", d.Ready)
		f.Kill(0)
		f.Platform.SetFaults(standin.Faults{})
	}
	eventually(t, "all have the newest generation", func() bool {
		for _, d := range f.Daemons {
			if d.Status().Generation != 4 {
				return false
			}
		}
		return true
	})
	stop()
	wg.Wait()
	is.Equal(fell.Load(), int64(0))
}

// TestChangesBite: a revoked key, a drained target and a withdrawn version are
// refused by every instance once the tool says that they are in force.
func TestChangesBite(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{Instances: 3, Engines: 2, Timing: quick})
	a := ask{prompt: "x", tokens: 2}
	b := f.Bundle()
	key := f.Keys[1]
	b.Customers = b.Customers[:1]
	is.NoErr(f.Apply(b, "revoke"))
	for i := range f.Daemons {
		is.Equal(a.send(t, f.URL(i), key).status, http.StatusUnauthorized)
		is.Equal(a.send(t, f.URL(i), f.Keys[0]).status, http.StatusOK)
	}
	_, err := f.Tool("drain", "engine-1", "--wait")
	is.NoErr(err)
	before := f.Engines[0].Counters().Runs
	for i := range 12 {
		is.Equal(a.send(t, f.URL(i), f.Keys[0]).status, http.StatusOK)
	}
	is.Equal(f.Engines[0].Counters().Runs, before)
	b.Models[0].Version, b.Models[0].Versions = "v9", []string{"v9"}
	f.Platform.SetMachine(platform.Machine{Name: "engine-2", Kind: "target", State: platform.StateLeaving})
	is.NoErr(f.Apply(b, "withdraw v1"))
	for i := range f.Daemons {
		got := a.send(t, f.URL(i), f.Keys[0])
		is.True(got.status == http.StatusServiceUnavailable || got.text == a.want("v9")) // never v1
	}
}

// TestLeavingTarget: a target that leaves, by the lagging list or by its own
// word, gets no new work anywhere, and its running work goes on.
func TestLeavingTarget(t *testing.T) {
	for name, leave := range map[string]func(*fleet.Fleet){
		"by the list": func(f *fleet.Fleet) {
			f.Platform.SetFaults(standin.Faults{ListLagMS: 200})
			f.Platform.SetMachine(platform.Machine{Name: "engine-1", Kind: "target", State: platform.StateLeaving})
		},
		"by its own word": func(f *fleet.Fleet) { f.Engines[0].SetLeaving(true) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, fleet.Options{Instances: 4, Engines: 2, Timing: quick})
			leave(f)
			eventually(t, "every instance knows", func() bool {
				for _, d := range f.Daemons {
					if d.Targets()[0].State != "leaving" {
						return false
					}
				}
				return true
			})
			before := f.Engines[0].Counters().Runs
			for i := range 16 {
				is.Equal(ask{prompt: fmt.Sprint(i), tokens: 2}.send(t, f.URL(i), f.Keys[0]).status, http.StatusOK)
			}
			is.Equal(f.Engines[0].Counters().Runs, before)
		})
	}
}

// TestAllReplacedAtOnce: every instance is killed and new ones come; the
// configuration is in force again, and a claim of before still holds.
func TestAllReplacedAtOnce(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{Instances: 3, Engines: 1, Timing: quick})
	c := call{method: "POST", path: "/swaps", key: "k", op: "before"}
	is.Equal(c.send(t, f.URL(0), f.Keys[0]).status, http.StatusOK)
	for range 2 { // twice
		for range 3 {
			f.Kill(0)
		}
		for range 3 {
			_, err := f.AddInstance()
			is.NoErr(err)
		}
		is.NoErr(f.WaitReady(t.Context()))
		for i := range 3 {
			s := c.send(t, f.URL(i), f.Keys[0]).status
			is.True(s == http.StatusOK || s == http.StatusConflict)
		}
		is.Equal(runs(f, "before"), 1)
	}
}
