// Package dispatch carries one request from admission to its whole answer: it
// asks core/route where, core/attempt what next, and moves the bytes. It never
// decides about retries or execution itself.
package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/shedhoist/shedhoist/internal/breaker"
	"github.com/shedhoist/shedhoist/internal/core/atmostonce"
	"github.com/shedhoist/shedhoist/internal/core/attempt"
	"github.com/shedhoist/shedhoist/internal/core/cache"
	"github.com/shedhoist/shedhoist/internal/core/limit"
	"github.com/shedhoist/shedhoist/internal/core/route"
	"github.com/shedhoist/shedhoist/internal/explain"
	"github.com/shedhoist/shedhoist/internal/inflight"
	"github.com/shedhoist/shedhoist/internal/kvstore"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/problem"
	"github.com/shedhoist/shedhoist/internal/target"
	"github.com/shedhoist/shedhoist/internal/view"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Dispatcher serves requests on one instance.
type Dispatcher struct {
	Instance string
	Zone     string
	View     *view.Holder
	Targets  *target.Client
	Stores   *kvstore.Client
	Hints    *cache.Hints
	Why      *explain.Log
	Log      log.Interface
	Now      func() time.Time
	Stall    time.Duration // longest silence within a stream
	Answer   int64         // largest service answer, bytes
	Ledger   Ledger

	// Truth replaces this instance's beliefs, for the oracle of experiments.
	Truth route.Hints

	load    *inflight.Loads
	stores  *breaker.Set
	ejected *breaker.Set // targets whose runs fail
	callees *breaker.Set // instances of services, by their names
	turn    atomic.Uint64

	mu     sync.Mutex
	budget *limit.Budget

	keeps    chan struct{} // bounds exports under way
	keepsWG  sync.WaitGroup
	keepsCtx context.Context
}

// Ledger makes claims durable before their requests are dispatched.
type Ledger interface {
	// Claim returns an error if it is not known whether the claim is durable:
	// its request must not be dispatched.
	Claim(ctx context.Context, e atmostonce.Entry) (atmostonce.Result, error)
	// Settle brings the outcome, or frees a claim whose request was not sent.
	Settle(id atmostonce.ID, nonce atmostonce.Nonce, o atmostonce.Outcome)
}

// maxKeeps bounds the exports that one instance has under way.
const maxKeeps = 8

// Init completes a Dispatcher whose exported fields are set. Exports end with ctx.
func (d *Dispatcher) Init(ctx context.Context) {
	d.load = inflight.New()
	d.stores = breaker.New(d.Now)
	d.ejected = breaker.New(d.Now)
	d.callees = breaker.New(d.Now)
	d.budget = limit.NewBudget(0)
	d.keeps = make(chan struct{}, maxKeeps)
	d.keepsCtx = ctx
}

// Wait returns when no export is under way.
func (d *Dispatcher) Wait() { d.keepsWG.Wait() }

// earn credits the retry budget with one request.
func (d *Dispatcher) earn(share float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.SetRatio(share)
	d.budget.Deposit()
}

// spend takes one retry from the budget, if there is one.
func (d *Dispatcher) spend() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	ok := d.budget.TryWithdraw()
	if !ok {
		metric.RetryBudgetRefusals.Inc()
	}
	return ok
}

// beliefs are what routing goes by.
func (d *Dispatcher) beliefs() route.Hints {
	if d.Truth != nil {
		return d.Truth
	}
	return hints{d}
}

// judgeTarget counts an attempt for or against its target. A refusal is no sign of
// ill health, nor is anything that the caller did.
func (d *Dispatcher) judgeTarget(name string, ev attempt.Event) {
	switch ev {
	case attempt.NotSent, attempt.FailedBeforeResponse, attempt.FailedMidResponse, attempt.Mismatched:
		d.ejected.RecordResult(name, false)
	case attempt.Done:
		d.ejected.RecordResult(name, true)
	}
}

// eventOf translates an edge's error into the attempt machine's event. An end
// of the request's own context goes before what the edge reports of it.
func eventOf(ctx context.Context, err error) attempt.Event {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return attempt.CallerGone
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return attempt.TimedOut
	}
	var notSent *target.NotSentError
	var refused *target.RefusedError
	var mismatch *target.MismatchError
	var broken *target.IncompleteError
	switch {
	case errors.As(err, &notSent):
		return attempt.NotSent
	case errors.As(err, &refused):
		return attempt.Refused
	case errors.As(err, &mismatch):
		return attempt.Mismatched
	case errors.As(err, &broken) && broken.ResponseStarted:
		return attempt.FailedMidResponse
	}
	return attempt.FailedBeforeResponse
}

// failure builds the caller's problem from a verdict.
func failure(id string, v attempt.Verdict, cause error) *problem.Problem {
	p := &problem.Problem{Kind: v.Kind, Execution: v.Execution, RequestID: id, Detail: problem.Detail(v.Kind)}
	var refused *target.RefusedError
	if errors.As(cause, &refused) && refused.RetryAfter > 0 {
		p.RetryAfter = refused.RetryAfter
	} else if v.Execution == problem.NotRun {
		p.RetryAfter = time.Second
	}
	return p
}

// backoff waits a jittered moment before a second or later retry.
func backoff(ctx context.Context, retries int) {
	if retries <= 1 {
		return
	}
	base := min(backoffBase<<retries, backoffMax)
	wait.For(ctx, time.Duration(rand.Int64N(int64(base))))
}

// Bounds of the backoff between retries.
const (
	backoffBase = 10 * time.Millisecond
	backoffMax  = 500 * time.Millisecond
)
