package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/shedhoist/shedhoist/internal/core/admission"
	"github.com/shedhoist/shedhoist/internal/core/placement"
	"github.com/shedhoist/shedhoist/internal/metric"
)

// Limits on the load of the targets that a prompt may be sent to, and the Retry-After of those that are
// refused. Prompts are limited by the priority of their route only: headroom protects short prompts
// from long ones, and the routes of one customer still differ in that. A customer's own priority comes
// first in the order at the target, see effectiveRank.

// admissionState holds the limits of a request, as of the latest attempt. It is the zero value
// where requests do not differ in priority.
type admissionState struct {
	admission.Limits
	maxQueuedTokens int
	overloadAge     time.Duration // set if the request was refused
}

// minLevels is the least number of levels at which headroom is left. With two, the order of the
// targets by rank protects the urgent prompts, and headroom would cost the others more.
const minLevels = 3

// admissionLevels returns the levels of the request's service, or nil if these are fewer than minLevels
// or the policy ignores it.
func (x *exchange) admissionLevels() admission.Levels {
	if x.call.Prompt == nil || !x.g.settings().Policy.RankAdmission {
		return nil
	}
	if l := x.view.Config.PromptLevels(x.service); len(l) >= minLevels {
		return l
	}
	return nil
}

// setAdmissionLimits sets the limits of the request's level.
func (x *exchange) setAdmissionLimits(q *placement.Query) {
	x.admission = admissionState{}
	levels := x.admissionLevels()
	if levels == nil {
		return
	}
	x.admission.Limits = x.g.admissions.Limits(x.service, levels, admission.Request{Rank: x.route.Priority, Waited: x.callerHasWaited(), AboveFairShare: x.g.overFairShare(x.service, x.customerName())}, x.g.now())
	if x.admission.QueueTime > 0 {
		x.g.predictorMu.Lock()
		x.admission.maxQueuedTokens = max(x.g.predictor.PrefillTokens(x.admission.QueueTime), 1)
		x.g.predictorMu.Unlock()
	}
	q.MemoryShare, q.RequestShare, q.MaxQueuedTokens = x.admission.MemoryShare, x.admission.RequestShare, x.admission.maxQueuedTokens
}

// recordAdmitted records that a target was found for the request's first attempt.
func (x *exchange) recordAdmitted() {
	if x.admission.MemoryShare > 0 && len(x.triedTargets) == 0 {
		x.g.admissions.Admitted(x.service, x.admission.Level, x.g.now())
	}
}

// callerHasWaited reports whether the caller returns after a refusal.
func (x *exchange) callerHasWaited() bool {
	return admission.HasWaited(x.call.Timeout, x.route.Timeout)
}

// retryAfterMemoryFull is the mean Retry-After when all targets' memory is full and prompts do not
// differ in priority: a target's memory turns over in one to four seconds. It is spread over 0.5
// to 1.5 times that, so that callers do not return together.
const retryAfterMemoryFull = time.Second

// recordFullRefusal records the refusal of a prompt at full targets, and returns its Retry-After.
func (x *exchange) recordFullRefusal() time.Duration {
	levels := x.admissionLevels()
	if levels == nil {
		return retryAfterMemoryFull/2 + rand.N(retryAfterMemoryFull)
	}
	now, level := x.g.now(), x.admission.Level
	metric.LevelRefusals(level).Inc()
	x.admission.overloadAge = x.g.admissions.Refused(x.service, levels, level, now)
	return admission.RetryAfter(level, x.admission.overloadAge, x.deadline.Sub(now), rand.Float64())
}

// withAdmissionFields adds the limits that refused the request to its log line.
func (x *exchange) withAdmissionFields(e *log.Entry) *log.Entry {
	a := &x.admission
	if a.MemoryShare == 0 {
		return e
	}
	return e.WithField("level", a.Level).WithField("memory_share", a.MemoryShare).WithField("request_share", a.RequestShare).WithField("max_queued_tokens", a.maxQueuedTokens).
		WithField("long_queues", x.decision.LongQueues).WithField("limits_relaxed", a.Relaxed).WithField("waited", x.callerHasWaited()).WithField("overload_ms", a.overloadAge.Milliseconds())
}
