package gateway

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// TestAwaitStartup checks that a request to a new process waits until the process is
// initialized, but no longer than startupWait, startupWaitShare of the caller's timeout, or
// until the caller disconnects.
func TestAwaitStartup(t *testing.T) {
	initialized := &View{Config: catalog.NewConfig(catalog.ConfigSpec{}), TargetsListed: true}
	never := time.Hour
	cases := []struct {
		name            string
		startedAgo      time.Duration
		initializedIn   time.Duration
		callerTimeout   time.Duration
		disconnectIn    time.Duration
		wantWait        time.Duration
		wantInitialized bool
	}{
		{"initialized before the request", 0, 0, 0, never, 0, true},
		{"initialized in time", 0, 20 * time.Millisecond, 4 * time.Second, never, 20 * time.Millisecond, true},
		{"not initialized in time", 0, 2 * time.Second, 12 * time.Second, never, startupWait, false},
		{"short caller timeout", 0, 2 * time.Second, 600 * time.Millisecond, never, 200 * time.Millisecond, false},
		{"startup ends soon", startupTime - 100*time.Millisecond, 2 * time.Second, 0, never, 100 * time.Millisecond, false},
		{"startup has taken too long", 2 * startupTime, 2 * time.Second, 0, never, 0, false},
		{"caller disconnects", 0, 2 * time.Second, 0, 50 * time.Millisecond, 50 * time.Millisecond, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := &Gateway{startup: newStartupLatches(), now: time.Now, startedAt: time.Now().Add(-c.startedAgo)}
				initialize := func() { g.view.Store(initialized); g.startup.open(initialized) }
				if c.initializedIn == 0 {
					initialize()
				} else {
					time.AfterFunc(c.initializedIn, initialize)
				}
				ctx, disconnect := context.WithCancel(t.Context())
				time.AfterFunc(c.disconnectIn, disconnect)
				r := (&http.Request{}).WithContext(ctx)
				x := &exchange{g: g, r: r, arrived: time.Now(), view: g.view.Load(), call: CallerRequest{Timeout: c.callerTimeout}}
				start := time.Now()
				x.awaitStartup()
				is.Equal(time.Since(start), c.wantWait)
				is.Equal(x.view.initialized(), c.wantInitialized)
				wait.For(t.Context(), 2*never)
			})
		})
	}
}
