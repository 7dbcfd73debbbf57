package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/shedhoist/shedhoist/internal/body"
	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/connlimit"
	"github.com/shedhoist/shedhoist/internal/core/attempt"
	"github.com/shedhoist/shedhoist/internal/core/placement"
	"github.com/shedhoist/shedhoist/internal/core/quarantine"
	"github.com/shedhoist/shedhoist/internal/core/streamversion"
	"github.com/shedhoist/shedhoist/internal/drain"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/netx"
	"github.com/shedhoist/shedhoist/internal/problem"
)

// exchange holds the state of one request from its arrival to its final response.
// It is used by one goroutine only.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	view    *View

	call     CallerRequest
	route    *catalog.Route
	customer *catalog.Customer // nil if the route is public
	body     *body.Body
	conn     *connlimit.Conn // counts what the request holds; nil: the caller's listener has no limits
	service  string
	out      *callerWriter // set by run

	ctx          context.Context
	deadline     time.Time
	machine      *attempt.Request
	possibleRuns int // attempts that a target may have executed
	failedDials  int // attempts that failed before anything was sent
	refusals     int // attempts that a target refused without executing them

	headerSent    bool   // the response header has been sent to the caller
	lastEventID   string // id of the last event sent to the caller
	firstByteMS   float64
	triedTargets  []string                // ids, in the order of the attempts
	software      string                  // version of the software of the last tried target
	binding       *streamversion.Binding  // where the request's stream may go on; nil: it has not begun
	triedBefore   int                     // how many of them were tried before the last change of relayed
	relayed       bool                    // attempts go through peers
	relay         atomic.Pointer[string]  // name of the peer that carried the last relayed attempt
	notice        Notice                  // from the last attempt's response
	newConnTarget string                  // id of a tried target that may be retried over a new connection
	lastZone      string                  // zone of the last tried target
	partSources   map[uint64][]partSource // stores that hold the prompt's parts, by weight version, as of this attempt
	promptWork    promptWork              // prefill and fetch work of the attempt
	startBound    placement.StartBound    // of the attempt
	outdatedFor   time.Duration           // for how long the weights of the attempt's target had been replaced
	plan          cachePlan

	ejected          []string                 // ids of the targets ejected as of this attempt
	suspectsCache    []suspect                // see suspects
	trialKeys        []quarantine.Key         // that the request is a trial of
	unreachableZones map[string]bool          // as of this attempt
	backoffUntil     map[string]time.Time     // end of the backoff that each target requested, as of this attempt
	permitWaits      map[string]time.Duration // time until there may be a permit for each target without one, as of this attempt
	warmupSlotHeld   bool                     // it holds a slot at a target that is warming up, see warmup.go
	requestsKnown    bool                     // the other instances' requests at targets with slots are known, as of this attempt
	mayQueue         bool                     // the attempt's target was not known to have a free slot
	considerAll      bool                     // all targets of the service are candidates, also in a large service
	permitsDenied    int                      // targets that got no request for want of a permit
	isTrial          bool                     // a quarantined request, let through to see whether it still crashes its target
	quarantineState  *quarantine.State        // set if the request was refused as quarantined
	decision         placement.Decision       // the decision that refused the request
	admission        admissionState           // see admission.go
	overFairShare    bool                     // it was refused for full memory while its customer was above its fair share
	predictedMS      float64                  // predicted time to the first byte
	fallback         *bufferedResponse        // a target's error response, delivered if no attempt succeeds
	budgetUse        budgetUse                // what the end of the last attempt meant for the retry budget
	mostReadAhead    int64                    // most bytes that were read ahead for the caller
	finished         bool
}

// Limits on attempts that were not executed. The route limits those that may have been.
const (
	maxFailedDials = 3
	maxRefusals    = 2
	// minTimeLeft is the time before the deadline below which no further attempt is made:
	// it would use a target for a response that comes too late.
	minTimeLeft = 30 * time.Millisecond
)

// run makes attempts until the request has its final response.
func (x *exchange) run() {
	x.service = pickBackend(x.route.Backends, rand.IntN)
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	x.ctx = ctx
	x.out = newCallerWriter(x.w, callerPatience(x.route), x.g.now, func() (int, bool) { return drain.UnackedBytes(x.r) })
	defer x.out.close()
	_ = drain.SetUnackedTimeout(x.r, max(netx.UnackedTimeout, x.out.patience+unackedMargin)) // fails only if the connection is closed
	if p := x.bindStream(); p != nil {
		x.refuse(p)
		return
	}
	x.machine = attempt.New(x.route.Repeatable(), x.route.Resumable, 2*(maxFailedDials+1)+maxRefusals+x.route.MaxAttempts) // dials on both paths
	x.g.retryBudgets.creditRequest(x.service)
	for {
		if s, rejected := x.checkQuarantine(); rejected {
			x.refuseQuarantined(s)
			return
		}
		if p := x.checkStop(); p != nil && x.possibleRuns == 0 {
			x.refuse(p) // it has waited, or been refused, until late in a stop
			return
		}
		x.view = x.g.view.Load() // may have changed since arrival or the last attempt
		x.updatePath()
		t, d := x.chooseTarget()
		switch d.Action {
		case placement.Refuse:
			x.refuseOverloaded(d)
			return
		case placement.NoTarget:
			x.refuseNoTarget(d)
			return
		}
		x.recordAdmitted()
		result := x.tryTarget(t)
		if result.delivered {
			x.machine.Step(attempt.Done, nil)
			if isSuccess(result.status) {
				x.g.recordSuccess(x)
			}
			x.finish(result.status, outcomeDone, "")
			return
		}
		if !x.retryOrFail(result) {
			return
		}
		if result.event == attempt.NotSent && !x.relayed {
			x.g.targetLinks.to(x.service).awaitProbe(x.ctx)
		}
		x.partSources = nil // the stores' contents may have changed
	}
}

// updatePath decides whether attempts go through peers from now on. What failed on the other path
// says nothing about the targets on this one.
func (x *exchange) updatePath() {
	relayed := x.g.targetLinks.partitionedFrom(x.service)
	if relayed == x.relayed {
		return
	}
	x.relayed, x.triedBefore, x.failedDials = relayed, len(x.triedTargets), 0
}

// defaultTimeout applies where neither the route nor the caller sets a timeout.
const defaultTimeout = 30 * time.Second

// timeout returns the longest time from the request's arrival to the end of its
// response: the shorter of the route's and the caller's.
func (x *exchange) timeout() time.Duration {
	timeout := x.route.Timeout
	if x.call.Timeout > 0 && (timeout <= 0 || x.call.Timeout < timeout) {
		timeout = x.call.Timeout
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return timeout
}

// attemptResult describes how one attempt ended.
type attemptResult struct {
	delivered  bool // the caller has the complete response
	status     int
	event      attempt.Event // set if it was not delivered
	cause      error
	retryAfter time.Duration
	retryPaid  bool // the next attempt has been charged to the retry budget
	connBroken bool // the connection to the target broke
}

// retryOrFail decides what follows an attempt that did not deliver a complete response.
// It returns false if the request has ended.
func (x *exchange) retryOrFail(result attemptResult) bool {
	switch result.event {
	case attempt.NotSent:
		x.failedDials++
	case attempt.Refused:
		x.refusals++
	default:
		x.possibleRuns++
	}
	if errors.Is(x.r.Context().Err(), context.Canceled) {
		result.event = attempt.CallerGone // takes precedence over the attempt's own error
	}
	x.budgetUse = budgetNotAsked
	v := x.machine.Step(result.event, func() bool { return x.mayRetry(result) })
	metric.ServiceRetries(x.service, result.event.String(), string(x.budgetUse)).Inc()
	if v.Action != attempt.Fail {
		metric.Retries.Inc()
		x.logFailedAttempt(result, v.Action.String())
		return true
	}
	x.logFailedAttempt(result, "end")
	x.fail(v, result)
	return false
}

// mayRetry reports whether the route, the deadline and the retry budget allow another attempt.
func (x *exchange) mayRetry(result attemptResult) bool {
	if x.deadline.Sub(x.g.now()) < minTimeLeft || x.isTrial && result.event != attempt.NotSent {
		return false
	}
	switch result.event {
	case attempt.NotSent:
		if x.failedDials > maxFailedDials {
			return false
		}
		x.budgetUse = budgetFree // no target was reached
		return true
	case attempt.Refused:
		return x.refusals <= maxRefusals && !x.brittleTargetsAreFull() && x.chargeRetry()
	}
	if x.possibleRuns >= x.route.MaxAttempts {
		return false
	}
	if result.retryPaid {
		x.budgetUse = budgetCharged
		return true
	}
	return x.chargeRetry()
}

// chargeRetry charges another attempt to the retry budget and reports whether it allows one.
func (x *exchange) chargeRetry() bool {
	ok := x.g.retryBudgets.spendRetry(x.service)
	x.budgetUse = budgetExhausted
	if ok {
		x.budgetUse = budgetCharged
	}
	return ok
}

// fail ends the request: with the fallback response if there is one, otherwise with a
// problem response, or by closing the connection if a response has begun.
func (x *exchange) fail(v attempt.Verdict, result attemptResult) {
	x.endTrial()
	if errors.Is(x.r.Context().Err(), context.Canceled) {
		x.finish(0, string(problem.CallerGone), "")
		panic(http.ErrAbortHandler)
	}
	if x.headerSent {
		x.finish(0, "cut", string(v.Kind))
		panic(http.ErrAbortHandler) // a truncated response must not look complete
	}
	if x.fallback != nil {
		if x.fallback.deliver(x) != nil {
			x.finish(0, string(problem.CallerGone), "")
			panic(http.ErrAbortHandler)
		}
		x.finish(x.fallback.status, "target-failure", "")
		return
	}
	p := &problem.Problem{Kind: v.Kind, Execution: v.Execution, Detail: problem.Detail(v.Kind)}
	if v.Execution == problem.NotRun {
		p.RetryAfter = max(result.retryAfter, retryAfterShort)
	}
	x.refuse(p)
}

// relayName returns the name of the peer that carried the last relayed attempt, or "" if none did.
func (x *exchange) relayName() string {
	if name := x.relay.Load(); name != nil {
		return *name
	}
	return ""
}

// customerName returns the customer's name, or "" if the route is public.
func (x *exchange) customerName() string {
	if x.customer == nil {
		return ""
	}
	return x.customer.Name
}

// routeName returns the route's name, or "" if the request has none.
func (x *exchange) routeName() string {
	if x.route == nil {
		return ""
	}
	return x.route.Name
}

func (x *exchange) elapsedMS() float64 {
	return float64(x.g.now().Sub(x.arrived)) / float64(time.Millisecond)
}

func (x *exchange) configVersion() uint64 {
	if x.view.Config == nil {
		return 0
	}
	return x.view.Config.Version
}
