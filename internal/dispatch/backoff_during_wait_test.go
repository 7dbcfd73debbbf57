package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/core/prefix"
	"github.com/shedhoist/shedhoist/internal/dispatch"
	"github.com/shedhoist/shedhoist/internal/kvstore"
	"github.com/shedhoist/shedhoist/internal/target"
	"github.com/shedhoist/shedhoist/internal/view"
)

// callTargets sends one request to a service that the given targets serve.
func (f *fakeFleet) callTargets(ctx context.Context, targets ...*fakeTarget) error {
	f.seq++
	s := &config.Service{Name: "s", EchoesRequestID: true, Routes: []config.Route{{Path: "/", Idempotent: true}}}
	for _, srv := range targets {
		s.Instances = append(s.Instances, config.ServiceInstance{Name: srv.address(), Address: srv.address(), Zone: "z"})
	}
	_, err := f.d.Call(ctx, &dispatch.ServiceRequest{ID: fmt.Sprint("c", f.seq), Customer: &view.Customer{}, View: f.view, Service: s, Method: http.MethodGet, Path: "/x", Header: http.Header{}, Arrived: f.now})
	return err
}

// TestCallSkipsTargetInBackoffSinceWait guards against sending a call to a target
// that requested a backoff, in response to another call, while this call waited
// before its next attempt.
func TestCallSkipsTargetInBackoffSinceWait(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t)
	targets := append(f.targets, newFakeTarget(t))
	for _, srv := range targets {
		srv.refuse("")
	}
	triggered := false
	f.d.Now = func() time.Time { // called after the wait, when two targets have refused the call
		var unreached []*fakeTarget
		for _, srv := range targets {
			if srv.requests.Load() == 0 {
				unreached = append(unreached, srv)
			}
		}
		if !triggered && len(unreached) == 1 {
			triggered = true
			unreached[0].refuse("3")
			is.True(f.callTargets(t.Context(), unreached[0]) != nil)
		}
		return f.now
	}
	is.True(f.callTargets(t.Context(), targets...) != nil)
	is.True(triggered)
	for _, srv := range targets {
		is.Equal(srv.requests.Load(), int32(1))
	}
}

// runLongPrompt sends one model run whose prompt is long enough for a lookup at the
// stores.
func (f *fakeFleet) runLongPrompt(ctx context.Context) error {
	run, err := f.d.Start(ctx, &dispatch.Request{ID: "long", Customer: &view.Customer{}, View: f.view, Model: &config.Model{Name: "m", Version: "v", DeadlineMS: 1 << 30, PrefillUSPerToken: 1000},
		Path: "/v1/completions", Canonical: strings.Repeat("x", 3*prefix.ChunkBytes), Arrived: f.d.Now(), Body: func(target.Extension) target.Body { return target.Body{"{}"} }})
	if err == nil {
		run.Close()
	}
	return err
}

// fakeStores answers every lookup at a store, after calling onLookup.
type fakeStores struct {
	onLookup func()
	covered  int // number of chunks reported as stored
}

// RoundTrip implements http.RoundTripper.
func (s fakeStores) RoundTrip(*http.Request) (*http.Response, error) {
	s.onLookup()
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(fmt.Sprintf(`{"covered":%d,"manifest":"m"}`, s.covered)))}, nil
}

// TestRunSkipsTargetInBackoffSinceLookup guards against sending a run to a target
// that requested a backoff, in response to another run, while this run looked up its
// prompt at the stores.
func TestRunSkipsTargetInBackoffSinceLookup(t *testing.T) {
	const fleets = 20 // a single run may pick the other target by chance
	for _, covered := range []int{0, 2} {
		t.Run(fmt.Sprint(covered, " chunks stored"), func(t *testing.T) {
			is := is.New(t)
			lookups := 0
			for range fleets {
				f := newFakeFleet(t)
				refusing := f.targets[0]
				f.view.Config.Policy.NoStores = false
				f.view.Config.Bundle.Stores = []config.Store{{Name: "store", Address: "store:1", MemoryMBps: 1000}}
				f.d.Stores = kvstore.NewClientWithHTTP(&http.Client{Transport: fakeStores{covered: covered, onLookup: func() {
					lookups++
					refusing.refuse("3")
					for range 100 { // until one has been sent to the refusing target
						is.NoErr(f.run(t.Context()))
					}
					refusing.serve()
				}}})
				is.NoErr(f.runLongPrompt(t.Context()))
				is.Equal(refusing.requests.Load(), int32(1))
			}
			is.Equal(lookups, fleets)
		})
	}
}
