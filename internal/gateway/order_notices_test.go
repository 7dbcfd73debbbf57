package gateway

import (
	"context"
	"math"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/rollout"
)

// orderEngines answer orders with a status and a notice.
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

// sendOrder sends an order to a target while the first instance holds the lease.
func (f *trafficFleet) sendOrder(is *is.I, target string, e orderEngines) {
	g := f.gateways[0]
	e.Engines = g.engines
	g.engines = e
	g.rollout.mu.Lock()
	g.rollout.lease.BeginWrite(g.now(), math.MaxUint64)
	g.rollout.lease.WriteSucceeded(1)
	g.rollout.mu.Unlock()
	for _, t := range g.view.Load().Targets {
		if t.Name == target {
			refusal := g.rollout.sendOrder(f.t.Context(), &plannedLoad{Load: rollout.Load{Target: t.ID, Model: "m", Version: "2"}, version: 2, target: t}, 0)
			is.Equal(refusal == "", e.status == http.StatusAccepted || e.status == http.StatusConflict)
		}
	}
	time.Sleep(time.Second)
}

// TestLeavingByOrderResponse guards against requests to a target that announced in the response to
// an order that it is leaving.
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

// TestRequestedBackoffByOrderResponse guards against requests to a target that refused an order and
// requested backoff with the refusal.
func TestRequestedBackoffByOrderResponse(t *testing.T) {
	const backoff = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newBackoffFleet(t, 1, serve)
		defer f.end()
		f.sendOrder(is, f.backoffTargets[0].name, orderEngines{status: http.StatusServiceUnavailable, notice: Notice{Backoff: backoff}})
		is.True(f.send(0, pathSafe, "x").isBackoffRefusal())
		time.Sleep(backoff)
		is.Equal(f.send(0, pathSafe, "x").status, http.StatusOK)
	})
}

// TestOrderAnsweredByNextIncarnation guards against a target being excluded because of a notice of
// its previous incarnation in the response to an order, and against the loss of a notice of the next
// incarnation.
func TestOrderAnsweredByNextIncarnation(t *testing.T) {
	for name, restartDelay := range map[string]time.Duration{"previous incarnation answers": time.Second, "next incarnation answers": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLeavingFleet(t, 1, 2)
				defer f.end()
				target := f.leavingTargets[0]
				f.silenceStore(true)
				if restartDelay == 0 {
					target.stop()
					target.start()
				}
				f.sendOrder(is, target.name, orderEngines{status: http.StatusAccepted, notice: Notice{Leaving: true}})
				if restartDelay > 0 {
					target.stop()
					time.Sleep(restartDelay)
					target.start()
				}
				f.silenceStore(false)
				time.Sleep(3 * time.Second)
				f.sendLoad(f.allInstances(), pathSafe, 5*time.Millisecond, time.Second)
				is.Equal(target.requestsExceptFrom("") > 0, restartDelay > 0)
				is.True(f.gateways[0].view.Load().Targets[catalog.Target{Name: target.name, Start: target.startedAt}.WithID().ID] != nil)
			})
		})
	}
}
