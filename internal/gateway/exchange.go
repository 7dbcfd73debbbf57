package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/attempt"
	"github.com/shedhoist/shedhoist/internal/core/placement"
	"github.com/shedhoist/shedhoist/internal/core/quarantine"
	"github.com/shedhoist/shedhoist/internal/core/staleness"
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
	body     []byte
	heldBody int64 // bytes of the instance's budget that the body uses
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

// logFailedAttempt logs an attempt that did not deliver, and what follows it.
func (x *exchange) logFailedAttempt(result attemptResult, next string) {
	e := x.g.log.WithField("request", x.call.ID).WithField("target", x.triedTargets[len(x.triedTargets)-1]).WithField("ended", result.event.String()).
		WithField("next", next).WithField("age_ms", x.elapsedMS()).WithField("key", x.quarantineKey().String()).
		WithField("service", x.service).WithField("attempt", len(x.triedTargets)).WithField("budget", string(x.budgetUse))
	if x.budgetUse == budgetCharged || x.budgetUse == budgetExhausted {
		balance, instances := x.g.retryBudgets.state(x.service)
		e = e.WithField("budget_balance", balance).WithField("budget_instances", instances).WithField("up_ms", x.g.now().Sub(x.g.startedAt).Milliseconds())
	}
	if result.cause != nil {
		e = e.WithError(result.cause)
	}
	if x.notice.Backoff > 0 {
		e = e.WithField("rest_ms", x.notice.Backoff.Milliseconds())
	}
	e = x.withSlowCallerFields(x.withStreamFields(e))
	if x.notice.Leaving {
		e = e.WithField("target_leaves", true)
	}
	if x.notice.Brittle > 0 {
		e = e.WithField("refusing_targets", x.g.brittle.refusing(x.view.Serving[x.service], x.g.now()))
	}
	if x.relayed {
		e = e.WithField("relayed_by", x.relayName())
	}
	e.Info("attempt failed")
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

// outcomeDone is the outcome of a request whose response was delivered.
const outcomeDone = "done"

// finish counts the request and logs its end, once. Of successes only a sample is logged.
func (x *exchange) finish(status int, outcome, detail string) {
	if x.finished {
		return
	}
	x.finished = true
	kind := "unrouted"
	if x.route != nil {
		kind = x.route.Kind.String()
	}
	metric.Requests(kind, outcome).Inc()
	leftOut := int64(0)
	if outcome == outcomeDone {
		var ok bool
		if ok, leftOut = x.g.successSampler.allow(x.g.now()); !ok {
			return
		}
	}
	e := x.g.log.WithField("request", x.call.ID).WithField("route", x.routeName()).WithField("service", x.service).WithField("targets", x.triedTargets).
		WithField("outcome", outcome).WithField("status", status).WithField("ms", x.elapsedMS()).WithField("config", x.configVersion())
	if age, known := x.g.staleness.Age(staleness.Config, x.g.now()); known {
		e = e.WithField("config_age_ms", age.Milliseconds())
	}
	e = x.withSlowCallerFields(x.withStreamFields(e))
	if x.firstByteMS > 0 {
		e = e.WithField("first_ms", x.firstByteMS).WithField("predicted_ms", x.predictedMS)
	}
	if x.plan.weightVersion > 0 {
		e = e.WithField("weights", x.plan.weightVersion).WithField("fetch_ms", x.promptWork.FetchMS).WithField("target_zone", x.lastZone).WithField("fetched_parts", x.plan.fetchCount).WithField("home_parts", x.plan.homeParts).WithField("saved_parts", len(x.plan.savedKeys)).WithField("link", x.promptWork.Link).
			WithField("read_tokens", x.promptWork.PrefillTokens)
		if x.plan.targetSilentMS > 0 {
			e = e.WithField("not_saved_target_silent_ms", x.plan.targetSilentMS)
		}
	}
	if x.notice.Leaving {
		e = e.WithField("target_leaves", true)
	}
	if x.relayed {
		e = e.WithField("relayed_by", x.relayName())
	}
	if leftOut > 0 {
		e = e.WithField("lines_left_out", leftOut)
	}
	if detail != "" {
		e = e.WithField("detail", detail)
	}
	if n := x.decision.InBackoff; n > 0 {
		e = e.WithField("resting_targets", n).WithField("rest_left_ms", x.backoffLeft().Milliseconds())
	}
	if x.permitsDenied > 0 || x.decision.RateLimited > 0 {
		e = e.WithField("limited_targets", x.decision.RateLimited).WithField("permits_denied", x.permitsDenied)
	}
	if n := x.decision.LateTargets; n > 0 {
		e = e.WithField("late_targets", n).WithField("slots", x.decision.LateSlots).WithField("slot_requests", x.decision.LateRequests).
			WithField("slot_wait_ms", x.decision.LateWaitMS).WithField("late_by_ms", x.decision.ExcessMS)
	}
	if x.decision.Action == placement.Refuse && x.decision.FullTargets > 0 {
		e = e.WithField("full_targets", x.decision.FullTargets).WithField("free_tokens", x.decision.FreeTokens).WithField("needed_tokens", x.call.memoryTokens())
		e = x.withAdmissionFields(e)
		if x.customer != nil {
			e = e.WithField("customer", x.customer.Name).WithField("over_fair_share", x.overFairShare)
		}
	}
	if s := x.quarantineState; s != nil {
		if s.Label.Part != "" {
			e = e.WithField("part", s.Label.Part).WithField("part_key", s.Key.String())
		}
		e = e.WithField("crashes", s.Crashes).WithField("quarantined_ms", s.Age.Milliseconds()).WithField("trial_in_ms", s.TrialIn.Milliseconds())
	}
	if outcome != outcomeDone {
		e = e.WithField("key", x.quarantineKey().String()).WithField("targets_revision", uint64(x.view.TargetsRevision)).WithField("store_age_ms", x.g.sinceStoreContact().Milliseconds())
	}
	e.Info("request")
}

func (x *exchange) configVersion() uint64 {
	if x.view.Config == nil {
		return 0
	}
	return x.view.Config.Version
}
