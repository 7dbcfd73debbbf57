// Package dispatch carries a request from admission to its complete response. It gets
// the target from core/route and the next action from core/attempt, and transfers the
// data. It makes no decision on retries or execution itself.
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

// Dispatcher dispatches the requests of one instance. Set the exported fields, then
// call Init.
type Dispatcher struct {
	Instance          string
	Zone              string
	View              *view.Holder
	Targets           *target.Client
	Stores            *kvstore.Client
	Hints             *cache.Hints
	Explain           *explain.Log
	Log               log.Interface
	Now               func() time.Time
	StreamIdleTimeout time.Duration // longest time between two events of a stream
	MaxResponseBytes  int64         // largest response of a service, bytes
	Ledger            Ledger

	// OracleHints, if set, replaces this instance's own estimates of cache contents and
	// load. It serves as the oracle in experiments.
	OracleHints route.Hints

	loads           *inflight.Loads
	storeBreakers   *breaker.Set
	targetBreakers  *breaker.Set // engines, by target name
	serviceBreakers *breaker.Set // instances of services, by name
	routeSequence   atomic.Uint64

	mu          sync.Mutex
	retryBudget *limit.Budget

	saveSlots chan struct{} // limits concurrent exports
	saves     wait.Group
	savesCtx  context.Context
}

// Ledger makes claims durable before their requests are dispatched.
type Ledger interface {
	// Claim returns an error if it is not known whether the claim is durable. Its
	// request must not be dispatched then.
	Claim(ctx context.Context, e atmostonce.Entry) (atmostonce.Result, error)
	// Settle records the outcome of a claim, or frees the claim of a request that was
	// not dispatched.
	Settle(id atmostonce.ID, nonce atmostonce.Nonce, o atmostonce.Outcome)
}

// maxConcurrentSaves is the maximum number of concurrent exports of an instance.
const maxConcurrentSaves = 8

// Init completes a Dispatcher whose exported fields are set. ctx ends its exports.
func (d *Dispatcher) Init(ctx context.Context) {
	d.loads = inflight.New()
	d.storeBreakers = breaker.New(d.Now)
	d.targetBreakers = breaker.New(d.Now)
	d.serviceBreakers = breaker.New(d.Now)
	d.retryBudget = limit.NewBudget(0)
	d.saveSlots = make(chan struct{}, maxConcurrentSaves)
	d.savesCtx = ctx
}

// Wait returns when no export is in progress.
func (d *Dispatcher) Wait() { d.saves.Wait() }

// creditRetryBudget credits the retry budget for one request. share is the number of
// retries per request.
func (d *Dispatcher) creditRetryBudget(share float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryBudget.SetRatio(share)
	d.retryBudget.Deposit()
}

// takeRetry takes one retry from the budget and reports whether there was one.
func (d *Dispatcher) takeRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	ok := d.retryBudget.TryWithdraw()
	if !ok {
		metric.RetryBudgetRefusals.Inc()
	}
	return ok
}

// routeHints returns the estimates that routing uses.
func (d *Dispatcher) routeHints() route.Hints {
	if d.OracleHints != nil {
		return d.OracleHints
	}
	return localHints{d}
}

// recordTargetResult records the end of an attempt in the target's circuit breaker. A
// refusal is no sign of ill health, nor is anything that the caller did, so neither counts
// as a failure.
func (d *Dispatcher) recordTargetResult(name string, ev attempt.Event) {
	switch ev {
	case attempt.NotSent, attempt.FailedBeforeResponse, attempt.FailedMidResponse, attempt.Mismatched:
		d.targetBreakers.RecordResult(name, false)
	case attempt.Done:
		d.targetBreakers.RecordResult(name, true)
	}
}

// attemptEvent returns the attempt event for an error of a target call. The end of the
// request's own context takes precedence over the reported error.
func attemptEvent(ctx context.Context, err error) attempt.Event {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return attempt.CallerGone
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return attempt.TimedOut
	}
	var notSent *target.NotSentError
	var refused *target.RefusedError
	var mismatch *target.MismatchError
	var incomplete *target.IncompleteError
	switch {
	case errors.As(err, &notSent):
		return attempt.NotSent
	case errors.As(err, &refused):
		return attempt.Refused
	case errors.As(err, &mismatch):
		return attempt.Mismatched
	case errors.As(err, &incomplete) && incomplete.ResponseStarted:
		return attempt.FailedMidResponse
	}
	return attempt.FailedBeforeResponse
}

// newProblem returns the problem for a verdict that fails the request.
func newProblem(id string, verdict attempt.Verdict, cause error) *problem.Problem {
	p := &problem.Problem{Kind: verdict.Kind, Execution: verdict.Execution, RequestID: id, Detail: problem.Detail(verdict.Kind)}
	var refused *target.RefusedError
	if errors.As(cause, &refused) && refused.RetryAfter > 0 {
		p.RetryAfter = refused.RetryAfter
	} else if verdict.Execution == problem.NotRun {
		p.RetryAfter = time.Second
	}
	return p
}

// waitBackoff waits a random time before the second and each later retry. Its bound
// doubles with each retry.
func waitBackoff(ctx context.Context, retries int) {
	if retries <= 1 {
		return
	}
	base := min(backoffBase<<retries, backoffMax)
	wait.For(ctx, time.Duration(rand.Int64N(int64(base))))
}

// Bounds of the wait before a retry.
const (
	backoffBase = 10 * time.Millisecond
	backoffMax  = 500 * time.Millisecond
)
