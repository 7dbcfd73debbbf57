package gateway

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// orderEngines answer orders with a word.
type orderEngines struct {
	Engines
	status int
	notice Notice
}

// Load implements Engines.
func (e orderEngines) Load(context.Context, LoadOrder) (Notice, error) {
	if e.status != http.StatusAccepted {
		return e.notice, &CallError{Call: "order", Status: e.status, Notice: e.notice}
	}
	return e.notice, nil
}

// sendOrder gives an order to a target, with the lease held.
func (f *trafficFleet) sendOrder(is *is.I, target string, e orderEngines) {
	g := f.gateways[0]
	e.Engines = g.engines
	g.engines = e
	g.rollout.mu.Lock()
	g.rollout.lease.WriteSucceeded(1, g.now())
	g.rollout.mu.Unlock()
	for _, t := range g.view.Load().Targets {
		if t.Name == target {
			refusal := g.rollout.sendOrder(f.t.Context(), "m", 2, t, 0)
			is.Equal(refusal == "", e.status == http.StatusAccepted || e.status == http.StatusConflict)
		}
	}
	time.Sleep(time.Second)
}

// TestLeavingByOrderResponse guards against requests to a target that said in the answer to an
// order that it leaves.
func TestLeavingByOrderResponse(t *testing.T) {
	for _, status := range []int{http.StatusAccepted, http.StatusConflict, http.StatusServiceUnavailable} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLeavingFleet(t, 3, 3)
				defer f.end()
				f.sendOrder(is, f.leavingTargets[0].name, orderEngines{status: status, notice: Notice{Leaving: true}})
				f.sendLoad(f.allInstances(), pathSafe, 5*time.Millisecond, time.Second)
				is.Equal(f.leavingTargets[0].requestsExceptFrom(""), 0)
				is.True(f.leavingTargets[1].requestsExceptFrom("") > 0)
				is.Equal(f.failures(), 0)
			})
		})
	}
}

// TestRequestedBackoffByOrderResponse guards against requests to a target that refused an order and asked
// for rest then.
func TestRequestedBackoffByOrderResponse(t *testing.T) {
	const rest = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newBackoffFleet(t, 1, serve)
		defer f.end()
		f.sendOrder(is, f.backoffTargets[0].name, orderEngines{status: http.StatusServiceUnavailable, notice: Notice{Backoff: rest}})
		is.True(f.send(0, pathSafe, "x").isBackoffRefusal())
		time.Sleep(rest)
		is.Equal(f.send(0, pathSafe, "x").status, http.StatusOK)
	})
}

// TestOrderAnsweredByNextIncarnation guards against a target being left out for what its life before
// answered to an order, and against a word being lost that the next life answered.
func TestOrderAnsweredByNextIncarnation(t *testing.T) {
	for name, again := range map[string]time.Duration{"the life before answers": time.Second, "the next life answers": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLeavingFleet(t, 1, 2)
				defer f.end()
				s := f.leavingTargets[0]
				f.silenceStore(true)
				if again == 0 {
					s.stop()
					s.start()
				}
				f.sendOrder(is, s.name, orderEngines{status: http.StatusAccepted, notice: Notice{Leaving: true}})
				if again > 0 {
					s.stop()
					time.Sleep(again)
					s.start()
				}
				f.silenceStore(false)
				time.Sleep(3 * time.Second)
				f.sendLoad(f.allInstances(), pathSafe, 5*time.Millisecond, time.Second)
				is.Equal(s.requestsExceptFrom("") > 0, again > 0)
				is.True(f.gateways[0].view.Load().Targets[catalog.Target{Name: s.name, Start: s.startedAt}.WithID().ID] != nil)
			})
		})
	}
}
