package gateway

import (
	"github.com/shedhoist/shedhoist/internal/core/placement"
	"github.com/shedhoist/shedhoist/internal/core/staleness"
	"github.com/shedhoist/shedhoist/internal/metric"
)

// The log lines of a request: one for each attempt that delivered nothing, and one for its end.

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
	e = x.withStartFields(x.withSlowCallerFields(x.withStreamFields(e)))
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

// Outcomes of requests that end without a problem.
const (
	outcomeDone  = "done"  // the response was delivered
	outcomePanic = "panic" // the handler panicked
)

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
	e = x.withStartFields(x.withSlowCallerFields(x.withStreamFields(e)))
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
