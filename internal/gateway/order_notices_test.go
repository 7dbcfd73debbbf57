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

// orderedEngines answer orders with a word.
type orderedEngines struct {
	Engines
	status int
	word   Word
}

// Load implements Engines.
func (e orderedEngines) Load(context.Context, LoadOrder) (Word, error) {
	if e.status != http.StatusAccepted {
		return e.word, &CallError{Call: "order", Status: e.status, Word: e.word}
	}
	return e.word, nil
}

// orderOne gives an order to a target, with the lease held.
func (f *trafficFleet) orderOne(is *is.I, target string, e orderedEngines) {
	g := f.gates[0]
	e.Engines = g.engines
	g.engines = e
	g.rollout.mu.Lock()
	g.rollout.lease.WriteSucceeded(1, g.now())
	g.rollout.mu.Unlock()
	for _, t := range g.view.Load().Targets {
		if t.Name == target {
			refusal := g.rollout.order(f.t.Context(), "m", 2, t, 0)
			is.Equal(refusal == "", e.status == http.StatusAccepted || e.status == http.StatusConflict)
		}
	}
	time.Sleep(time.Second)
}

// TestLeavesByItsAnswerToAnOrder guards against requests to a target that said in the answer to an
// order that it leaves.
func TestLeavesByItsAnswerToAnOrder(t *testing.T) {
	for _, status := range []int{http.StatusAccepted, http.StatusConflict, http.StatusServiceUnavailable} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLeavingFleet(t, 3, 3)
				defer f.end()
				f.orderOne(is, f.speakers[0].name, orderedEngines{status: status, word: Word{Leaving: true}})
				f.press(f.all(), pathSafe, 5*time.Millisecond, time.Second)
				is.Equal(f.speakers[0].arrived(""), 0)
				is.True(f.speakers[1].arrived("") > 0)
				is.Equal(f.failures(), 0)
			})
		})
	}
}

// TestRestByItsAnswerToAnOrder guards against requests to a target that refused an order and asked
// for rest then.
func TestRestByItsAnswerToAnOrder(t *testing.T) {
	const rest = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRestFleet(t, 1, served)
		defer f.end()
		f.orderOne(is, f.asking[0].name, orderedEngines{status: http.StatusServiceUnavailable, word: Word{Rest: rest}})
		is.True(f.send(0, pathSafe, "x").ours())
		time.Sleep(rest)
		is.Equal(f.send(0, pathSafe, "x").status, http.StatusOK)
	})
}

// TestOrderAnsweredByTheNextLife guards against a target being left out for what its life before
// answered to an order, and against a word being lost that the next life answered.
func TestOrderAnsweredByTheNextLife(t *testing.T) {
	for name, again := range map[string]time.Duration{"the life before answers": time.Second, "the next life answers": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLeavingFleet(t, 1, 2)
				defer f.end()
				s := f.speakers[0]
				f.silence(true)
				if again == 0 {
					s.end()
					s.begin()
				}
				f.orderOne(is, s.name, orderedEngines{status: http.StatusAccepted, word: Word{Leaving: true}})
				if again > 0 {
					s.end()
					time.Sleep(again)
					s.begin()
				}
				f.silence(false)
				time.Sleep(3 * time.Second)
				f.press(f.all(), pathSafe, 5*time.Millisecond, time.Second)
				is.Equal(s.arrived("") > 0, again > 0)
				is.True(f.gates[0].view.Load().Targets[catalog.Target{Name: s.name, Start: s.born}.WithID().ID] != nil)
			})
		})
	}
}
