package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/dispatch"
	"github.com/shedhoist/shedhoist/internal/view"
)

// callAny sends one request to a service of some targets.
func (f *restingFleet) callAny(ctx context.Context, targets ...*restingTarget) error {
	f.seq++
	s := &config.Service{Name: "s", EchoesID: true, Routes: []config.Route{{Path: "/", Idempotent: true}}}
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
