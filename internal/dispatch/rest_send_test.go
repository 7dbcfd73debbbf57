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

// callAny sends one request to a service of some targets.
func (f *restingFleet) callAny(ctx context.Context, targets ...*restingTarget) error {
	f.seq++
	s := &config.Service{Name: "s", EchoesRequestID: true, Routes: []config.Route{{Path: "/", Idempotent: true}}}
	for _, m := range targets {
		s.Instances = append(s.Instances, config.ServiceInstance{Name: m.address(), Address: m.address(), Zone: "z"})
	}
	_, err := f.d.Call(ctx, &dispatch.ServiceRequest{ID: fmt.Sprint("c", f.seq), Customer: &view.Customer{}, View: f.view, Service: s, Method: http.MethodGet, Path: "/x", Header: http.Header{}, Arrived: f.now})
	return err
}

// TestCallSeesRestAskedInBackoff guards against a call that is sent to a target which asked another call for rest while this one waited for its next attempt.
func TestCallSeesRestAskedInBackoff(t *testing.T) {
	is := is.New(t)
	f := newRestingFleet(t)
	all := append(f.targets, newRestingTarget(t))
	for _, m := range all {
		m.refuse("")
	}
	asked := false
	f.d.Now = func() time.Time { // it is read after the wait, when two have refused the call
		var left []*restingTarget
		for _, m := range all {
			if m.reached.Load() == 0 {
				left = append(left, m)
			}
		}
		if !asked && len(left) == 1 {
			asked = true
			left[0].refuse("3")
			is.True(f.callAny(t.Context(), left[0]) != nil)
		}
		return f.now
	}
	is.True(f.callAny(t.Context(), all...) != nil)
	is.True(asked)
	for _, m := range all {
		is.Equal(m.reached.Load(), int32(1))
	}
}

// runLong sends one model run for whose prompt stores are asked.
func (f *restingFleet) runLong(ctx context.Context) error {
	l, err := f.d.Start(ctx, &dispatch.Request{ID: "long", Customer: &view.Customer{}, View: f.view, Model: &config.Model{Name: "m", Version: "v", DeadlineMS: 1 << 30, PrefillUSPerToken: 1000},
		Path: "/v1/completions", Canonical: strings.Repeat("x", 3*prefix.ChunkBytes), Arrived: f.d.Now(), Body: func(target.Extension) target.Body { return target.Body{"{}"} }})
	if err == nil {
		l.Close()
	}
	return err
}

// slowStores are stores at which something happens while they are asked what they keep.
type slowStores struct {
	asked   func()
	covered int // the chunks that they say they keep
}

// RoundTrip implements http.RoundTripper.
func (s slowStores) RoundTrip(*http.Request) (*http.Response, error) {
	s.asked()
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(fmt.Sprintf(`{"covered":%d,"manifest":"m"}`, s.covered)))}, nil
}

// TestRunSeesRestAskedInLookup guards against a run that is sent to a target which asked another run for rest while stores were asked what they keep of its prompt.
func TestRunSeesRestAskedInLookup(t *testing.T) {
	const fleets = 20 // each run may choose the other target by itself
	for _, covered := range []int{0, 2} {
		t.Run(fmt.Sprint(covered, " chunks kept"), func(t *testing.T) {
			is := is.New(t)
			looked := 0
			for range fleets {
				f := newRestingFleet(t)
				bad := f.targets[0]
				f.view.Config.Policy.NoStores = false
				f.view.Config.Bundle.Stores = []config.Store{{Name: "store", Address: "store:1", MemoryMBps: 1000}}
				f.d.Stores = kvstore.NewClientWithHTTP(&http.Client{Transport: slowStores{covered: covered, asked: func() {
					looked++
					bad.refuse("3")
					for range 100 { // until one has met it
						is.NoErr(f.run(t.Context()))
					}
					bad.serve()
				}}})
				is.NoErr(f.runLong(t.Context()))
				is.Equal(bad.reached.Load(), int32(1))
			}
			is.Equal(looked, fleets)
		})
	}
}
