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

// TestAwaitStartup: a request that meets a new process waits until the process knows enough,
// for a bounded time and a part of its caller's patience, and no longer than its caller.
func TestAwaitStartup(t *testing.T) {
	known := &View{Config: catalog.NewConfig(catalog.ConfigSpec{}), TargetsListed: true}
	never := time.Hour
	cases := []struct {
		name     string
		known    time.Duration // when
		patience time.Duration
		leaves   time.Duration // when the caller does
		want     time.Duration
		informed bool
	}{
		{"known before", 0, 0, never, 0, true},
		{"known soon", 20 * time.Millisecond, 4 * time.Second, never, 20 * time.Millisecond, true},
		{"not in time", 2 * time.Second, 12 * time.Second, never, startupWait, false},
		{"little patience", 2 * time.Second, 600 * time.Millisecond, never, 200 * time.Millisecond, false},
		{"the caller leaves", 2 * time.Second, 0, 50 * time.Millisecond, 50 * time.Millisecond, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := &Gateway{initialized: make(chan struct{})}
				know := func() { g.view.Store(known); close(g.initialized) }
				if c.known == 0 {
					know()
				} else {
					time.AfterFunc(c.known, know)
				}
				ctx, leave := context.WithCancel(t.Context())
				time.AfterFunc(c.leaves, leave)
				r := (&http.Request{}).WithContext(ctx)
				x := &exchange{g: g, r: r, view: g.view.Load(), call: CallerRequest{Timeout: c.patience}}
				began := time.Now()
				x.awaitStartup()
				is.Equal(time.Since(began), c.want)
				is.Equal(x.view.initialized(), c.informed)
				wait.For(t.Context(), 2*never)
			})
		})
	}
}
