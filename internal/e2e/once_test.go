package e2e_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/problem"
	"github.com/shedhoist/shedhoist/internal/standin/fleet"
	"github.com/shedhoist/shedhoist/internal/standin/platform"
	"github.com/shedhoist/shedhoist/internal/standin/service"
)

func runs(f *fleet.Fleet, op string) int {
	n := 0
	for _, s := range f.Services {
		n += s.Counts().Operations[op]
	}
	return n
}

// atOnce sends the same call n times at once, in turn through all instances.
func (c call) atOnce(t *testing.T, f *fleet.Fleet, n int) []reply {
	t.Helper()
	got := make([]reply, n)
	var wg sync.WaitGroup
	for i := range got {
		wg.Add(1)
		go func() {
			defer wg.Done()
			got[i] = c.send(t, f.URL(i), f.Keys[0])
		}()
	}
	wg.Wait()
	return got
}

// TestKeyedRepeats: a caller repeats one keyed request through three instances
// at once and again later; it runs once, and the repeats are answered truly.
func TestKeyedRepeats(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{Instances: 3, Engines: 1})
	for i := range 8 {
		c := call{method: "POST", path: "/swaps", key: fmt.Sprint("swap-", i), body: `{"swap":1}`, op: fmt.Sprint("op-", i)}
		got := c.atOnce(t, f, 6)
		is.Equal(runs(f, c.op), 1)
		answered := 0
		for _, r := range got {
			switch r.status {
			case http.StatusOK:
				answered++
				checkAnswer(t, r, "/swaps")
			case http.StatusConflict:
				is.Equal(r.problem.Execution, problem.MayHaveRun)
			default:
				t.Fatalf("status %d: %s", r.status, r.raw)
			}
		}
		is.True(answered >= 1)
		eventually(t, "a repeat gets the outcome", func() bool {
			r := c.send(t, f.URL(i), f.Keys[0])
			return r.status == http.StatusOK && r.header.Get("Idempotent-Replayed") == "true"
		})
		other := c
		other.body = `{"swap":2}`
		is.Equal(other.send(t, f.URL(i), f.Keys[0]).status, http.StatusUnprocessableEntity)
		is.Equal(runs(f, c.op), 1)
		// Another customer's key of the same name is another key.
		other.op = "of another customer " + c.op
		is.Equal(other.send(t, f.URL(i), f.Keys[1]).status, http.StatusOK)
	}
}

// TestKeyedUnknownOutcome: the service dies behind a request that it has read;
// the repeat is told that it may have run, and it does not run again.
func TestKeyedUnknownOutcome(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{Instances: 2, Engines: 1, Services: 1})
	c := call{method: "POST", path: "/swaps", key: "k", op: "unknown"}
	f.Services[0].SetFaults(service.Faults{CloseAfterRead: 1})
	is.Equal(c.send(t, f.URL(0), f.Keys[0]).problem.Execution, problem.MayHaveRun)
	for i := range 4 {
		r := c.send(t, f.URL(i), f.Keys[0])
		is.Equal(r.status, http.StatusConflict)
		is.Equal(r.problem.Execution, problem.MayHaveRun)
	}
	is.Equal(runs(f, "unknown"), 1)
}

// TestKeyedWithoutPlatform: while the platform is down a keyed request is
// refused, truly not run; when it is back the same key runs, once.
func TestKeyedWithoutPlatform(t *testing.T) {
	for name, fault := range map[string]platform.Faults{"outage": {Outage: true}, "lost answers": {LoseWrites: 1 << 20}, "dropped writes": {DropWrites: 1 << 20}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, fleet.Options{Instances: 2, Engines: 1})
			c := call{method: "POST", path: "/swaps", key: "k", op: "down"}
			f.Platform.SetFaults(fault)
			r := c.send(t, f.URL(0), f.Keys[0])
			if name == "lost answers" { // the write took effect: the chain shows it
				is.Equal(r.status, http.StatusOK)
			} else {
				is.Equal(r.status, http.StatusServiceUnavailable)
				is.Equal(r.problem.Execution, problem.NotRun)
				is.Equal(runs(f, "down"), 0)
			}
			f.Platform.SetFaults(platform.Faults{})
			eventually(t, "the key is served again", func() bool { return c.send(t, f.URL(1), f.Keys[0]).status == http.StatusOK })
			is.Equal(runs(f, "down"), 1)
		})
	}
}

// TestKeeperDies: the instance where claims meet ends without a word; claims
// go on through the others, and what was claimed stays claimed.
func TestKeeperDies(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{Instances: 3, Engines: 1})
	var calls []call
	for i := range 24 { // over all partitions and keepers
		c := call{method: "POST", path: "/swaps", key: fmt.Sprint("k", i), op: fmt.Sprint("o", i)}
		is.Equal(c.send(t, f.URL(i), f.Keys[0]).status, http.StatusOK)
		calls = append(calls, c)
	}
	f.Kill(1)
	for i, c := range calls {
		eventually(t, "a repeat is answered from the ledger", func() bool {
			s := c.send(t, f.URL(i), f.Keys[0]).status
			is.True(s == http.StatusOK || s == http.StatusConflict)
			return true
		})
		is.Equal(runs(f, c.op), 1)
	}
	c := call{method: "POST", path: "/swaps", key: "new", op: "new"}
	is.Equal(c.send(t, f.URL(0), f.Keys[0]).status, http.StatusOK)
	is.Equal(runs(f, "new"), 1)
}
