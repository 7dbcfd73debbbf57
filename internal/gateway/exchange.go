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

	call     Call
	route    *catalog.Route
	customer *catalog.Customer // nil: the route is public
	body     []byte
	service  string

	ctx      context.Context
	deadline time.Time
	machine  *attempt.Request
	ran      int // attempts that may have run
	dials    int // attempts of which nothing was sent
	refusals int // attempts that the target refused without running

	begun     bool   // the caller has the header of an answer
	lastEvent string // id of the last event that the caller has
	firstMS   float64
	targets   []string                // ids of those tried
	word      Word                    // of the last one
	freshTo   string                  // of these, one that may be tried again by a new connection
	lastZone  string                  // zone of the last one
	sources   map[uint64][]partSource // where the prompt's parts are, by weight version, as of this attempt
	asks      cacheWork               // what the attempt asks of its target
	plan      cachePlan

	key         *quarantine.Key      // see alike
	dark        map[string]bool      // zones that are silent, as of this attempt
	restEnds    map[string]time.Time // ends of the rests that targets ask for, as of this attempt
	entered     bool                 // it holds a place at a cold target, see cold.go
	trial       bool                 // it is let through to try whether its quarantine is right
	suspect     *quarantine.State    // what it was rejected for
	decision    placement.Decision   // the one that refused the request
	predictedMS float64
	spare       *spareAnswer // a failure of a target's own, delivered if nothing better comes
	ended       bool
}

// Bounds of one request's attempts beyond those that may have run, which its
// route bounds.
const (
	maxDials    = 3
	maxRefusals = 2
	// leastLeft is the time below which another attempt is not worth a target's work.
	leastLeft = 30 * time.Millisecond
)

// run sends the request to targets until it has its final answer.
func (x *exchange) run() {
	x.service = pickBackend(x.route.Backends, rand.IntN)
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	x.ctx = ctx
	x.machine = attempt.New(x.route.Repeatable(), x.route.Resumable, maxDials+maxRefusals+x.route.MaxAttempts+1)
	x.g.budgets.request(x.service)
	for {
		if s, yes := x.rejected(); yes {
			x.reject(s)
			return
		}
		x.view = x.g.view.Load() // time has passed since it came, or since the last attempt
		t, d := x.pick()
		switch d.Action {
		case placement.Refuse:
			x.refuseFull(d)
			return
		case placement.NoTarget:
			x.refuseNoTarget(d)
			return
		}
		end := x.try(t)
		if end.delivered {
			x.machine.Step(attempt.Done, nil)
			if isSuccess(end.status) {
				x.g.answered(x)
			}
			x.finish(end.status, outcomeDone, "")
			return
		}
		if !x.again(end) {
			return
		}
		x.sources = nil // what the stores hold may have changed since
	}
}

// defaultTimeout bounds a request where neither route nor caller does.
const defaultTimeout = 30 * time.Second

// timeout is the longest time from the request's arrival to the end of its answer.
func (x *exchange) timeout() time.Duration {
	timeout := x.route.Timeout
	if x.call.Patience > 0 && (timeout <= 0 || x.call.Patience < timeout) {
		timeout = x.call.Patience
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

// ending is how one attempt ended.
type ending struct {
	delivered  bool // the caller has the whole answer
	status     int
	event      attempt.Event // if it was not delivered
	cause      error
	retryAfter time.Duration
	paid       bool // another attempt is paid for already
	broken     bool // the connection to the target broke
}

// again decides what follows an attempt that delivered nothing whole. It returns
// false if the request has ended.
func (x *exchange) again(end ending) bool {
	switch end.event {
	case attempt.NotSent:
		x.dials++
	case attempt.Refused:
		x.refusals++
	default:
		x.ran++
	}
	if errors.Is(x.r.Context().Err(), context.Canceled) {
		end.event = attempt.CallerGone // whatever the attempt met since
	}
	v := x.machine.Step(end.event, func() bool { return x.allowed(end) })
	if v.Action != attempt.Fail {
		metric.Retries.Inc()
		x.logAttempt(end, v.Action.String())
		return true
	}
	x.logAttempt(end, "end")
	x.failAfter(v, end)
	return false
}

// allowed says whether the route, the time and the budget leave another attempt.
func (x *exchange) allowed(end ending) bool {
	if x.deadline.Sub(x.g.now()) < leastLeft || x.trial && end.event != attempt.NotSent {
		return false
	}
	switch end.event {
	case attempt.NotSent:
		return x.dials <= maxDials // it reached no target, and so costs no budget
	case attempt.Refused:
		return x.refusals <= maxRefusals && x.g.budgets.retry(x.service)
	}
	return x.ran < x.route.MaxAttempts && (end.paid || x.g.budgets.retry(x.service))
}

// failAfter ends the request: with a target's own failure if there is one, else
// with an answer of our own, or with a cut if an answer has begun.
func (x *exchange) failAfter(v attempt.Verdict, end ending) {
	x.endTrial()
	if errors.Is(x.r.Context().Err(), context.Canceled) {
		x.finish(0, string(problem.CallerGone), "")
		panic(http.ErrAbortHandler)
	}
	if x.begun {
		x.finish(0, "cut", string(v.Kind))
		panic(http.ErrAbortHandler) // the answer can't be completed: it must not look whole
	}
	if x.spare != nil {
		x.spare.deliver(x)
		x.finish(x.spare.status, "target-failure", "")
		return
	}
	p := &problem.Problem{Kind: v.Kind, Execution: v.Execution, Detail: problem.Detail(v.Kind)}
	if v.Execution == problem.NotRun {
		p.RetryAfter = max(end.retryAfter, comeBackSoon)
	}
	x.refuse(p)
}

// logAttempt writes one line for an attempt that did not deliver.
func (x *exchange) logAttempt(end ending, next string) {
	e := x.g.log.WithField("request", x.call.ID).WithField("target", x.targets[len(x.targets)-1]).WithField("ended", end.event.String()).
		WithField("next", next).WithField("age_ms", x.sinceMS()).WithField("key", x.alike().String())
	if end.cause != nil {
		e = e.WithError(end.cause)
	}
	if x.word.Rest > 0 {
		e = e.WithField("rest_ms", x.word.Rest.Milliseconds())
	}
	if x.word.Leaving {
		e = e.WithField("target_leaves", true)
	}
	e.Info("attempt failed")
}

// alike is the key that the request shares with those that do the same to a target.
func (x *exchange) alike() quarantine.Key {
	if x.key == nil {
		k := quarantine.KeyOf(quarantine.Request{Customer: x.customerName(), Method: x.r.Method, Host: x.r.Host, URI: x.r.URL.RequestURI(), Body: x.body})
		x.key = &k
	}
	return *x.key
}

// customerName is empty where the route is public.
func (x *exchange) customerName() string {
	if x.customer == nil {
		return ""
	}
	return x.customer.Name
}

func (x *exchange) sinceMS() float64 {
	return float64(x.g.now().Sub(x.arrived)) / float64(time.Millisecond)
}

// outcomeDone is the outcome of a request whose answer was delivered.
const outcomeDone = "done"

// finish writes the one line of a request's end and counts it.
func (x *exchange) finish(status int, outcome, detail string) {
	if x.ended {
		return
	}
	x.ended = true
	kind, route := "unrouted", ""
	if x.route != nil {
		kind, route = x.route.Kind.String(), x.route.Name
	}
	metric.Requests(kind, outcome).Inc()
	leftOut := int64(0)
	if outcome == outcomeDone {
		var ok bool
		if ok, leftOut = x.g.successes.allow(x.g.now()); !ok {
			return
		}
	}
	e := x.g.log.WithField("request", x.call.ID).WithField("route", route).WithField("service", x.service).WithField("targets", x.targets).
		WithField("outcome", outcome).WithField("status", status).WithField("ms", x.sinceMS()).WithField("config", x.configVersion())
	if age, known := x.g.fresh.Age(staleness.Config, x.g.now()); known {
		e = e.WithField("config_age_ms", age.Milliseconds())
	}
	if x.firstMS > 0 {
		e = e.WithField("first_ms", x.firstMS).WithField("predicted_ms", x.predictedMS)
	}
	if x.plan.version > 0 {
		e = e.WithField("weights", x.plan.version).WithField("fetch_ms", x.asks.FetchMS).WithField("target_zone", x.lastZone).WithField("fetched_parts", x.plan.fetches).WithField("saved_parts", len(x.plan.saved)).WithField("link", x.asks.Link).
			WithField("read_tokens", x.asks.PrefillTokens)
		if x.plan.silentMS > 0 {
			e = e.WithField("not_saved_target_silent_ms", x.plan.silentMS)
		}
	}
	if x.word.Leaving {
		e = e.WithField("target_leaves", true)
	}
	if leftOut > 0 {
		e = e.WithField("lines_left_out", leftOut)
	}
	if detail != "" {
		e = e.WithField("detail", detail)
	}
	if n := x.decision.InBackoff; n > 0 {
		e = e.WithField("resting_targets", n).WithField("rest_left_ms", x.restLeft().Milliseconds())
	}
	if x.decision.Action == placement.Refuse {
		e = e.WithField("full_targets", x.decision.FullTargets).WithField("free_tokens", x.decision.FreeTokens).WithField("needed_tokens", x.call.keeps())
	}
	if s := x.suspect; s != nil {
		e = e.WithField("crashes", s.Crashes).WithField("quarantined_ms", s.Age.Milliseconds()).WithField("trial_in_ms", s.TrialIn.Milliseconds())
	}
	if outcome != outcomeDone {
		e = e.WithField("key", x.alike().String()).WithField("targets_revision", uint64(x.view.Revision)).WithField("store_age_ms", x.g.storeAge().Milliseconds())
	}
	e.Info("request")
}

func (x *exchange) configVersion() uint64 {
	if x.view.Config == nil {
		return 0
	}
	return x.view.Config.Version
}
