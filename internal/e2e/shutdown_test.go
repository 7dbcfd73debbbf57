package e2e_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/daemon"
	"github.com/shedhoist/shedhoist/internal/standin/engine"
	"github.com/shedhoist/shedhoist/internal/standin/fleet"
)

// TestRollingReplacement: every instance is replaced one by one under
// hundreds of streams; not one answer is cut.
func TestRollingReplacement(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{Instances: 3, Engines: 3, Engine: engine.Options{DecodeMS: 2, TimeScale: 1, Slots: 256}})
	var mu sync.Mutex
	served, bad := 0, []string{}
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	const callers = 64
	for n := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ctx.Err() == nil; i++ {
				a := ask{prompt: fmt.Sprintf("question %d of caller %d", i, n), tokens: 40, stream: true}
				got := a.send(t, f.Balance(n+i), f.Keys[0])
				mu.Lock()
				served++
				if got.status != http.StatusOK || !got.done || got.text != a.want(fleet.Version) {
					bad = append(bad, fmt.Sprintf("status %d done %v", got.status, got.done))
				}
				mu.Unlock()
			}
		}()
	}
	for range 3 {
		added, err := f.AddInstance()
		is.NoErr(err)
		eventually(t, "the new instance is ready", func() bool { return added.Ready() && allReady(f) })
		is.NoErr(f.StopInstance(t.Context(), 0))
	}
	stop()
	wg.Wait()
	is.Equal(bad, []string{})
	is.True(served > 200) // hundreds of streams met the replacement
	t.Logf("%d streams over 3 replacements, %d cut", served, len(bad))
}

func allReady(f *fleet.Fleet) bool {
	for _, d := range f.Daemons {
		for _, t := range d.Targets() {
			if t.State != "ready" {
				return false
			}
		}
	}
	return true
}

// TestShutdownSaysWhatItCut: a shutdown whose deadline ends first cuts, and
// says how many requests.
func TestShutdownSaysWhatItCut(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{Instances: 1, Engines: 1, Engine: engine.Options{DecodeMS: 1000, TimeScale: 1}})
	a := ask{prompt: "long", tokens: 1000, stream: true}
	resp, err := http.DefaultClient.Do(a.request(t, t.Context(), f.URL(0), f.Keys[0]))
	is.NoErr(err)
	defer resp.Body.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // the second signal
	var cut *daemon.CutError
	is.True(errors.As(f.StopInstance(ctx, 0), &cut))
	is.Equal(cut.Requests, int64(1))
}
