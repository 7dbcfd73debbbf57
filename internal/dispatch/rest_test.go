package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
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

// restingTarget is an engine, and a service, that refuses or serves.
type restingTarget struct {
	*httptest.Server
	retryAfter atomic.Pointer[string] // it refuses so; nil: it serves
	reached    atomic.Int32
}

func newRestingTarget(t *testing.T) *restingTarget {
	m := &restingTarget{}
	m.Server = httptest.NewServer(m)
	t.Cleanup(m.Close)
	return m
}

// refuse has it refuse all requests; "" asks for no rest.
func (m *restingTarget) refuse(retryAfter string) { m.retryAfter.Store(&retryAfter) }
func (m *restingTarget) serve()                   { m.retryAfter.Store(nil) }

// ServeHTTP implements http.Handler.
func (m *restingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.reached.Add(1)
	w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
	if after := m.retryAfter.Load(); after != nil {
		w.Header().Set(target.HeaderExecution, target.ExecutionNotRun)
		if *after != "" {
			w.Header().Set("Retry-After", *after)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	fmt.Fprint(w, `data: {"choices":[{"text":"a","finish_reason":"stop"}]}`+"\n\ndata: [DONE]\n\n")
}

// restingFleet is a dispatcher before two such targets.
type restingFleet struct {
	d       *dispatch.Dispatcher
	now     time.Time
	targets []*restingTarget
	view    *view.View
	seq     int
}

func newRestingFleet(t *testing.T) *restingFleet {
	f := &restingFleet{now: time.Now()}
	var engines []route.Target
	for i := range 2 {
		m := newRestingTarget(t)
		f.targets = append(f.targets, m)
		engines = append(engines, route.Target{Name: fmt.Sprint("t", i), Address: m.address(), Zone: "z", Model: "m", Version: "v", Slots: 8})
	}
	f.view = &view.View{Config: &view.Config{Bundle: &config.Bundle{}, Policy: config.Policy{MaxAttempts: 4, RetryShare: 1, NoStores: true, Candidates: 2}},
		Targets: route.NewSnapshot(engines, nil)}
	f.d = &dispatch.Dispatcher{View: &view.Holder{}, Targets: target.NewClient(time.Second), Hints: cache.NewHints(1), Why: explain.NewLog(8), Log: &log.Logger{Handler: discard.Default},
		Now: func() time.Time { return f.now }, Stall: time.Minute, Answer: 1 << 20}
	f.d.View.Store(f.view)
	f.d.Init(t.Context())
	t.Cleanup(f.d.Targets.Close)
	return f
}

func (m *restingTarget) address() string { return strings.TrimPrefix(m.URL, "http://") }

// pass moves the clock.
func (f *restingFleet) pass(d time.Duration) { f.now = f.now.Add(d) }

// run sends one model run.
func (f *restingFleet) run(ctx context.Context) error {
	f.seq++
	l, err := f.d.Start(ctx, &dispatch.Request{ID: fmt.Sprint("r", f.seq), Customer: &view.Customer{}, View: f.view, Model: &config.Model{Name: "m", Version: "v", DeadlineMS: 1 << 30},
		Path: "/v1/completions", Canonical: fmt.Sprint("prompt ", f.seq), Arrived: f.d.Now(), Body: func(target.Extension) target.Body { return target.Body{"{}"} }})
	if err == nil {
		l.Close()
	}
	return err
}

// call sends one request to a service.
func (f *restingFleet) call(ctx context.Context) error {
	f.seq++
	s := &config.Service{Name: "s", EchoesRequestID: true, Routes: []config.Route{{Path: "/", Idempotent: true}}}
	for i, m := range f.targets {
		s.Instances = append(s.Instances, config.ServiceInstance{Name: fmt.Sprint("s", i), Address: m.address(), Zone: "z"})
	}
	_, err := f.d.Call(ctx, &dispatch.ServiceRequest{ID: fmt.Sprint("c", f.seq), Customer: &view.Customer{}, View: f.view, Service: s, Method: http.MethodGet, Path: "/x", Header: http.Header{}, Arrived: f.d.Now()})
	return err
}

// TestRefusalsRest guards against runs and calls that are sent to a target which refused one
// and asked for rest, before this rest is over.
func TestRefusalsRest(t *testing.T) {
	const requests = 30
	for name, send := range map[string]func(f *restingFleet, ctx context.Context) error{"runs": (*restingFleet).run, "calls": (*restingFleet).call} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newRestingFleet(t)
			bad, good := f.targets[0], f.targets[1]
			press := func() {
				for range requests {
					is.NoErr(send(f, t.Context()))
				}
			}
			bad.refuse("3")
			press()
			is.Equal(bad.reached.Load(), int32(1)) // until it asked
			f.pass(2900 * time.Millisecond)
			press()
			is.Equal(bad.reached.Load(), int32(1))

			good.refuse("5")
			for range requests { // all ask: refused at once, and nothing is sent
				var p *problem.Problem
				is.True(errors.As(send(f, t.Context()), &p))
				is.Equal(p.Kind, problem.Overloaded)
				is.Equal(p.Execution, problem.NotRun)
				is.True(p.RetryAfter > 0)
			}
			is.Equal(bad.reached.Load(), int32(1))
			is.Equal(good.reached.Load(), int32(2*requests+1))

			bad.serve()
			f.pass(100 * time.Millisecond)
			press()
			is.Equal(bad.reached.Load(), int32(requests+1)) // its rest is over
			is.Equal(good.reached.Load(), int32(2*requests+1))
		})
	}
}

// TestRefusalsWithoutRest guards against a rest that no target asked for.
func TestRefusalsWithoutRest(t *testing.T) {
	for name, send := range map[string]func(f *restingFleet, ctx context.Context) error{"runs": (*restingFleet).run, "calls": (*restingFleet).call} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newRestingFleet(t)
			f.targets[0].refuse("")
			for range 30 {
				is.NoErr(send(f, t.Context()))
			}
			is.True(f.targets[0].reached.Load() > 1)
		})
	}
}
