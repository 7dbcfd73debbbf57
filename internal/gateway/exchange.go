package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/attempt"
	"github.com/shedhoist/shedhoist/internal/core/placement"
	"github.com/shedhoist/shedhoist/internal/core/quarantine"
	"github.com/shedhoist/shedhoist/internal/core/staleness"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/problem"
)

// exchange is one request from its arrival to its final answer. It belongs to
// one goroutine.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	view    *View

	call     CallerRequest
	route    *catalog.Route
	customer *catalog.Customer // nil: the route is public
	body     []byte
	service  string

	ctx          context.Context
	deadline     time.Time
	machine      *attempt.Request
	possibleRuns int // attempts that may have run
	failedDials  int // attempts of which nothing was sent
	refusals     int // attempts that the target refused without running

	headerSent    bool   // the caller has the header of an answer
	lastEventID   string // id of the last event that the caller has
	firstByteMS   float64
	triedTargets  []string                // ids of those tried
	notice        Notice                  // of the last one
	newConnTarget string                  // of these, one that may be tried again by a new connection
	lastZone      string                  // zone of the last one
	partSources   map[uint64][]partSource // where the prompt's parts are, by weight version, as of this attempt
	promptWork    promptWork              // what the attempt asks of its target
	plan          cachePlan

	keyCache         *quarantine.Key      // see quarantineKey
	unreachableZones map[string]bool      // zones that are silent, as of this attempt
	backoffUntil     map[string]time.Time // ends of the rests that targets ask for, as of this attempt
	warmupSlotHeld   bool                 // it holds a place at a cold target, see warmup.go
	isTrial          bool                 // it is let through to try whether its quarantine is right
	quarantineState  *quarantine.State    // what it was rejected for
	decision         placement.Decision   // the one that refused the request
	predictedMS      float64
	fallback         *bufferedResponse // a failure of a target's own, delivered if nothing better comes
	finished         bool
}

// Bounds of one request's attempts beyond those that may have run, which its
// route bounds.
const (
	maxFailedDials = 3
	maxRefusals    = 2
	// minTimeLeft is the time below which another attempt is not worth a target's work.
	minTimeLeft = 30 * time.Millisecond
)

// run sends the request to targets until it has its final answer.
func (x *exchange) run() {
	x.service = pickBackend(x.route.Backends, rand.IntN)
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	x.ctx = ctx
	x.machine = attempt.New(x.route.Repeatable(), x.route.Resumable, maxFailedDials+maxRefusals+x.route.MaxAttempts+1)
	x.g.retryBudgets.creditRequest(x.service)
	for {
		if s, yes := x.checkQuarantine(); yes {
			x.refuseQuarantined(s)
			return
		}
		x.view = x.g.view.Load() // time has passed since it came, or since the last attempt
		t, d := x.chooseTarget()
		switch d.Action {
		case placement.Refuse:
			x.refuseMemoryFull(d)
			return
		case placement.NoTarget:
			x.refuseNoTarget(d)
			return
		}
		end := x.tryTarget(t)
		if end.delivered {
			x.machine.Step(attempt.Done, nil)
			if isSuccess(end.status) {
				x.g.recordSuccess(x)
			}
			x.finish(end.status, outcomeDone, "")
			return
		}
		if !x.retryOrFail(end) {
			return
		}
		x.partSources = nil // what the stores hold may have changed since
	}
}

// defaultTimeout bounds a request where neither route nor caller does.
const defaultTimeout = 30 * time.Second

// timeout is the longest time from the request's arrival to the end of its answer.
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

// pickBackend draws a service by weight.
func pickBackend(backends []catalog.Backend, intN func(int) int) string {
	sum := 0
	for _, b := range backends {
		sum += max(b.Weight, 0)
	}
	if sum == 0 {
		return backends[0].Service
	}
	n := intN(sum)
	for _, b := range backends {
		if n -= max(b.Weight, 0); n < 0 {
			return b.Service
		}
	}
	return backends[len(backends)-1].Service
}

// attemptResult is how one attempt ended.
type attemptResult struct {
	delivered  bool // the caller has the whole answer
	status     int
	event      attempt.Event // if it was not delivered
	cause      error
	retryAfter time.Duration
	retryPaid  bool // another attempt is paid for already
	connBroken bool // the connection to the target broke
}

// retryOrFail decides what follows an attempt that delivered nothing whole. It returns
// false if the request has ended.
func (x *exchange) retryOrFail(end attemptResult) bool {
	switch end.event {
	case attempt.NotSent:
		x.failedDials++
	case attempt.Refused:
		x.refusals++
	default:
		x.possibleRuns++
	}
	if errors.Is(x.r.Context().Err(), context.Canceled) {
		end.event = attempt.CallerGone // whatever the attempt met since
	}
	v := x.machine.Step(end.event, func() bool { return x.mayRetry(end) })
	if v.Action != attempt.Fail {
		metric.Retries.Inc()
		x.logFailedAttempt(end, v.Action.String())
		return true
	}
	x.logFailedAttempt(end, "end")
	x.fail(v, end)
	return false
}

// mayRetry says whether the route, the time and the budget leave another attempt.
func (x *exchange) mayRetry(end attemptResult) bool {
	if x.deadline.Sub(x.g.now()) < minTimeLeft || x.isTrial && end.event != attempt.NotSent {
		return false
	}
	switch end.event {
	case attempt.NotSent:
		return x.failedDials <= maxFailedDials // it reached no target, and so costs no budget
	case attempt.Refused:
		return x.refusals <= maxRefusals && x.g.retryBudgets.spendRetry(x.service)
	}
	return x.possibleRuns < x.route.MaxAttempts && (end.retryPaid || x.g.retryBudgets.spendRetry(x.service))
}

// fail ends the request: with a target's own failure if there is one, else
// with an answer of our own, or with a cut if an answer has begun.
func (x *exchange) fail(v attempt.Verdict, end attemptResult) {
	x.endTrial()
	if errors.Is(x.r.Context().Err(), context.Canceled) {
		x.finish(0, string(problem.CallerGone), "")
		panic(http.ErrAbortHandler)
	}
	if x.headerSent {
		x.finish(0, "cut", string(v.Kind))
		panic(http.ErrAbortHandler) // the answer can't be completed: it must not look whole
	}
	if x.fallback != nil {
		x.fallback.deliver(x)
		x.finish(x.fallback.status, "target-failure", "")
		return
	}
	p := &problem.Problem{Kind: v.Kind, Execution: v.Execution, Detail: problem.Detail(v.Kind)}
	if v.Execution == problem.NotRun {
		p.RetryAfter = max(end.retryAfter, retryAfterShort)
	}
	x.refuse(p)
}

// logFailedAttempt writes one line for an attempt that did not deliver.
func (x *exchange) logFailedAttempt(end attemptResult, next string) {
	e := x.g.log.WithField("request", x.call.ID).WithField("target", x.triedTargets[len(x.triedTargets)-1]).WithField("ended", end.event.String()).
		WithField("next", next).WithField("age_ms", x.elapsedMS()).WithField("key", x.quarantineKey().String())
	if end.cause != nil {
		e = e.WithError(end.cause)
	}
	if x.notice.Backoff > 0 {
		e = e.WithField("rest_ms", x.notice.Backoff.Milliseconds())
	}
	if x.notice.Leaving {
		e = e.WithField("target_leaves", true)
	}
	e.Info("attempt failed")
}

// quarantineKey is the key that the request shares with those that do the same to a target.
func (x *exchange) quarantineKey() quarantine.Key {
	if x.keyCache == nil {
		k := quarantine.KeyOf(quarantine.Request{Customer: x.customerName(), Method: x.r.Method, Host: x.r.Host, URI: x.r.URL.RequestURI(), Body: x.body})
		x.keyCache = &k
	}
	return *x.keyCache
}

// customerName is empty where the route is public.
func (x *exchange) customerName() string {
	if x.customer == nil {
		return ""
	}
	return x.customer.Name
}

func (x *exchange) elapsedMS() float64 {
	return float64(x.g.now().Sub(x.arrived)) / float64(time.Millisecond)
}

// outcomeDone is the outcome of a request whose answer was delivered.
const outcomeDone = "done"

// finish writes the one line of a request's end and counts it.
func (x *exchange) finish(status int, outcome, detail string) {
	if x.finished {
		return
	}
	x.finished = true
	kind, route := "unrouted", ""
	if x.route != nil {
		kind, route = x.route.Kind.String(), x.route.Name
	}
	metric.Requests(kind, outcome).Inc()
	leftOut := int64(0)
	if outcome == outcomeDone {
		var ok bool
		if ok, leftOut = x.g.successSampler.allow(x.g.now()); !ok {
			return
		}
	}
	e := x.g.log.WithField("request", x.call.ID).WithField("route", route).WithField("service", x.service).WithField("targets", x.triedTargets).
		WithField("outcome", outcome).WithField("status", status).WithField("ms", x.elapsedMS()).WithField("config", x.configVersion())
	if age, known := x.g.staleness.Age(staleness.Config, x.g.now()); known {
		e = e.WithField("config_age_ms", age.Milliseconds())
	}
	if x.firstByteMS > 0 {
		e = e.WithField("first_ms", x.firstByteMS).WithField("predicted_ms", x.predictedMS)
	}
	if x.plan.weightVersion > 0 {
		e = e.WithField("weights", x.plan.weightVersion).WithField("fetch_ms", x.promptWork.FetchMS).WithField("target_zone", x.lastZone).WithField("fetched_parts", x.plan.fetchCount).WithField("saved_parts", len(x.plan.savedKeys)).WithField("link", x.promptWork.Link).
			WithField("read_tokens", x.promptWork.PrefillTokens)
		if x.plan.targetSilentMS > 0 {
			e = e.WithField("not_saved_target_silent_ms", x.plan.targetSilentMS)
		}
	}
	if x.notice.Leaving {
		e = e.WithField("target_leaves", true)
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
	if x.decision.Action == placement.Refuse {
		e = e.WithField("full_targets", x.decision.FullTargets).WithField("free_tokens", x.decision.FreeTokens).WithField("needed_tokens", x.call.memoryTokens())
	}
	if s := x.quarantineState; s != nil {
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
