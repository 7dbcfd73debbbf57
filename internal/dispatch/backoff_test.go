package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/core/cache"
	"github.com/shedhoist/shedhoist/internal/core/route"
	"github.com/shedhoist/shedhoist/internal/dispatch"
	"github.com/shedhoist/shedhoist/internal/explain"
	"github.com/shedhoist/shedhoist/internal/problem"
	"github.com/shedhoist/shedhoist/internal/target"
	"github.com/shedhoist/shedhoist/internal/view"
)

// fakeTarget is a server that acts as an engine and as a service instance. It serves
// or refuses all requests.
type fakeTarget struct {
	*httptest.Server
	retryAfter atomic.Pointer[string] // Retry-After of its refusals, "" for none; nil: it serves
	requests   atomic.Int32

	mu       sync.Mutex
	received []string // the first requests: method, path, id, sender and user agent
}

// maxReceived bounds the requests that a target remembers.
const maxReceived = 8

// newFakeTarget starts a target. If the test fails, it logs what each target received: a request that is not
// the test's own would come from another process, to a port that had been its target's.
func newFakeTarget(t *testing.T) *fakeTarget {
	srv := &fakeTarget{}
	srv.Server = httptest.NewServer(srv)
	t.Cleanup(srv.Close)
	t.Cleanup(func() {
		if t.Failed() {
			srv.mu.Lock()
			defer srv.mu.Unlock()
			t.Logf("target %s received %d requests: %q", srv.address(), srv.requests.Load(), srv.received)
		}
	})
	return srv
}

// remember records a request, if there are few.
func (srv *fakeTarget) remember(r *http.Request) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if len(srv.received) < maxReceived {
		srv.received = append(srv.received, strings.Join([]string{r.Method, r.URL.Path, r.Header.Get(target.HeaderRequestID), r.RemoteAddr, r.UserAgent()}, " "))
	}
}

// refuse makes the target refuse all requests. With "" it requests no backoff.
func (srv *fakeTarget) refuse(retryAfter string) { srv.retryAfter.Store(&retryAfter) }
func (srv *fakeTarget) serve()                   { srv.retryAfter.Store(nil) }

// ServeHTTP implements http.Handler.
func (srv *fakeTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	srv.requests.Add(1)
	srv.remember(r)
	w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
	if after := srv.retryAfter.Load(); after != nil {
		w.Header().Set(target.HeaderExecution, target.ExecutionNotRun)
		if *after != "" {
			w.Header().Set("Retry-After", *after)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	fmt.Fprint(w, `data: {"choices":[{"text":"a","finish_reason":"stop"}]}`+"\n\ndata: [DONE]\n\n")
}

// fakeFleet is a dispatcher with two fake targets and a clock of its own.
type fakeFleet struct {
	d       *dispatch.Dispatcher
	now     time.Time
	targets []*fakeTarget
	view    *view.View
	seq     int
}

func newFakeFleet(t *testing.T) *fakeFleet {
	f := &fakeFleet{now: time.Now()}
	var routeTargets []route.Target
	for i := range 2 {
		srv := newFakeTarget(t)
		f.targets = append(f.targets, srv)
		routeTargets = append(routeTargets, route.Target{Name: fmt.Sprint("t", i), Address: srv.address(), Zone: "z", Model: "m", Version: "v", Slots: 8})
	}
	f.view = &view.View{Config: &view.Config{Bundle: &config.Bundle{}, Policy: config.Policy{MaxAttempts: 4, RetryShare: 1, NoStores: true, Candidates: 2}},
		Targets: route.NewSnapshot(routeTargets, nil)}
	f.d = &dispatch.Dispatcher{View: &view.Holder{}, Targets: target.NewClient(time.Second), Hints: cache.NewHints(1), Explain: explain.NewLog(8), Log: &log.Logger{Handler: discard.Default},
		Now: func() time.Time { return f.now }, StreamIdleTimeout: time.Minute, MaxResponseBytes: 1 << 20}
	f.d.View.Store(f.view)
	f.d.Init(t.Context())
	t.Cleanup(f.d.Targets.Close)
	return f
}

func (srv *fakeTarget) address() string { return strings.TrimPrefix(srv.URL, "http://") }

// advanceClock moves the dispatcher's clock forward.
func (f *fakeFleet) advanceClock(d time.Duration) { f.now = f.now.Add(d) }

// run sends one model run to the fleet.
func (f *fakeFleet) run(ctx context.Context) error {
	f.seq++
	run, err := f.d.Start(ctx, &dispatch.Request{ID: fmt.Sprint("r", f.seq), Customer: &view.Customer{}, View: f.view, Model: &config.Model{Name: "m", Version: "v", DeadlineMS: 1 << 30},
		Path: "/v1/completions", Canonical: fmt.Sprint("prompt ", f.seq), Arrived: f.d.Now(), Body: func(target.Extension) target.Body { return target.Body{"{}"} }})
	if err == nil {
		run.Close()
	}
	return err
}

// call sends one request to a service that all targets of the fleet serve.
func (f *fakeFleet) call(ctx context.Context) error {
	f.seq++
	s := &config.Service{Name: "s", EchoesRequestID: true, Routes: []config.Route{{Path: "/", Idempotent: true}}}
	for i, srv := range f.targets {
		s.Instances = append(s.Instances, config.ServiceInstance{Name: fmt.Sprint("s", i), Address: srv.address(), Zone: "z"})
	}
	_, err := f.d.Call(ctx, &dispatch.ServiceRequest{ID: fmt.Sprint("c", f.seq), Customer: &view.Customer{}, View: f.view, Service: s, Method: http.MethodGet, Path: "/x", Header: http.Header{}, Arrived: f.d.Now()})
	return err
}

// TestRetryAfterIsObeyed guards against sending runs and calls to a target before the
// end of the backoff that it requested when it refused one.
func TestRetryAfterIsObeyed(t *testing.T) {
	const requests = 30
	for name, send := range map[string]func(f *fakeFleet, ctx context.Context) error{"runs": (*fakeFleet).run, "calls": (*fakeFleet).call} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeFleet(t)
			refusing, other := f.targets[0], f.targets[1]
			sendAll := func() {
				for range requests {
					is.NoErr(send(f, t.Context()))
				}
			}
			refusing.refuse("3")
			sendAll()
			is.Equal(refusing.requests.Load(), int32(1)) // the one that it refused
			f.advanceClock(2900 * time.Millisecond)
			sendAll()
			is.Equal(refusing.requests.Load(), int32(1))

			other.refuse("5")
			for range requests { // both are in backoff: refused at once, and nothing is sent after the first
				var p *problem.Problem
				is.True(errors.As(send(f, t.Context()), &p))
				is.Equal(p.Kind, problem.Overloaded)
				is.Equal(p.Execution, problem.NotRun)
				is.True(p.RetryAfter > 0)
			}
			is.Equal(refusing.requests.Load(), int32(1))
			is.Equal(other.requests.Load(), int32(2*requests+1))

			refusing.serve()
			f.advanceClock(100 * time.Millisecond)
			sendAll()
			is.Equal(refusing.requests.Load(), int32(requests+1)) // its backoff has ended
			is.Equal(other.requests.Load(), int32(2*requests+1))
		})
	}
}

// TestRefusalWithoutRetryAfter guards against a backoff that no target requested.
func TestRefusalWithoutRetryAfter(t *testing.T) {
	for name, send := range map[string]func(f *fakeFleet, ctx context.Context) error{"runs": (*fakeFleet).run, "calls": (*fakeFleet).call} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeFleet(t)
			f.targets[0].refuse("")
			for range 30 {
				is.NoErr(send(f, t.Context()))
			}
			is.True(f.targets[0].requests.Load() > 1)
		})
	}
}
