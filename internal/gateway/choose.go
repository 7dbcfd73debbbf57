package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/placement"
	"github.com/shedhoist/shedhoist/internal/loadreport"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/problem"
)

// Choice of a target for each attempt with placement.Select, and refusal of requests for
// which there is none.

// minFitCandidates is the least number of fit candidates; if there are fewer, more are
// taken from all targets of the service.
const minFitCandidates = 8

// pickBackend returns a random service, each with a probability in proportion to its weight.
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

// chooseTarget returns the target of the next attempt, or nil if the decision is not to send.
func (x *exchange) chooseTarget() (*catalog.Target, placement.Decision) {
	t, d := x.chooseAmongCandidates()
	if t == nil && d.LateTargets > 0 && len(x.view.Candidates[x.service]) < len(x.view.Serving[x.service]) {
		x.considerAll = true // some other target may have a free slot
		return x.chooseAmongCandidates()
	}
	if t == nil && d.RateLimited > 0 && len(x.view.Candidates[x.service]) < len(x.view.Serving[x.service]) {
		return x.chooseAmongCandidates() // now without those for which there is no permit
	}
	return t, d
}

// chooseAmongCandidates is chooseTarget with the candidates that are fit as far as is known.
func (x *exchange) chooseAmongCandidates() (*catalog.Target, placement.Decision) {
	ejected := x.g.breaker.EjectedForSelection()
	x.ejected = ejected
	candidates, serving := x.view.Candidates[x.service], x.view.Serving[x.service]
	x.unreachableZones, x.backoffUntil = x.g.unreachableZones(x.service, serving), x.g.breaker.Backoffs()
	x.permitWaits = x.g.limits.waits(x.g.now())
	if x.considerAll {
		candidates = serving
	}
	if len(candidates) < len(serving) && x.countFit(candidates, ejected) < minFitCandidates {
		candidates = x.widenCandidates(serving, ejected)
	}
	options, works := x.placementTargets(candidates, ejected)
	query := x.placementQuery()
	for permitCalls := 0; ; {
		d := placement.Select(options, query)
		if d.Action != placement.Send {
			return nil, d
		}
		t := candidates[d.Index]
		if x.g.breaker.InBackoff(t.ID) {
			x.backoffUntil = x.g.breaker.Backoffs()
			options[d.Index].InBackoff = true // it requested backoff of another request meanwhile
			continue
		}
		if _, limited := x.g.limits.limitOf(t.ID); limited {
			permitCalls++
			if permitCalls > maxPermitCalls || !x.g.limits.acquire(x.ctx, t) {
				x.permitsDenied++
				options[d.Index].RateLimited = true
				continue
			}
		}
		if !options[d.Index].Ejected && !x.g.breaker.AllowProbe(t.ID) {
			options[d.Index].Ejected = true // another request is its half-open probe
			continue
		}
		if x.takeWarmupSlot(t, x.g.now()) {
			x.promptWork, x.predictedMS = works[d.Index], options[d.Index].FirstResponseMS
			x.mayQueue = !x.requestsKnown || !options[d.Index].HasFreeSlot()
			return t, d
		}
		options[d.Index].WarmupLimited = true // another request took the last warmup slot
	}
}

// placementQuery returns what placement needs to know of the request.
func (x *exchange) placementQuery() placement.Query {
	set := x.g.settings()
	zone := set.Zone
	if x.relayed {
		zone = x.g.relays.homeZone()
	}
	q := placement.Query{Zone: zone, RolloutTimeout: set.RolloutWithin, ConcurrencyPenaltyMS: x.concurrencyPenaltyMS(), RequestBytes: x.body.Len(), Rand: rand.Float64, Policy: set.Policy,
		NeededTokens: x.call.memoryTokens(), Started: x.binding != nil || x.headerSent || x.possibleRuns > 0, LostIfCutOff: x.lostIfCutOff(), RunTime: x.runTime()}
	x.setAdmissionLimits(&q)
	x.addSlotQuery(&q)
	p := x.call.Prompt
	if p == nil || len(p.Parts) < 2 {
		return q
	}
	shared := p.Parts[:len(p.Parts)-1]
	q.PrefixKey = shared[len(shared)-1].ID
	q.StoreZone = x.homeZone(max(x.view.NamedVersions[p.Model].Newest, 1), len(shared)-1)
	tokens := 0
	for _, part := range shared {
		tokens += part.Tokens
	}
	x.g.predictorMu.Lock()
	defer x.g.predictorMu.Unlock()
	q.SharedPrefillMS = x.g.predictor.PrefillTime(tokens)
	return q
}

// isFit reports whether a target serves the request's model with the newest weights, may
// still be tried, can go on with the request's stream if that has begun, is neither ejected nor in backoff nor in an unreachable zone, may get a permit
// if it names a limit, is not closing if the request must not run twice, and, while warming up, has a slot left for this instance.
func (x *exchange) isFit(t *catalog.Target, ejected []string) bool {
	if x.isExcluded(t) || x.isIncompatible(t) || x.inBackoff(t) || x.lacksPermit(t) || slices.Contains(ejected, t.ID) || x.unreachableZones[t.Zone] || x.view.Closing[t.ID] && x.lostIfCutOff() {
		return false
	}
	if blocked, _ := x.warmupBlocked(t, x.g.now()); blocked {
		return false
	}
	p := x.call.Prompt
	return p == nil || t.WeightVersion(p.Model) >= max(x.view.NamedVersions[p.Model].Newest, 1)
}

// isAtMostOncePrompt reports whether the request is a prompt that runs at most once: it is lost if its
// target loads weights while it runs.
func (x *exchange) isAtMostOncePrompt() bool { return x.call.Prompt != nil && !x.route.Repeatable() }

// lostIfCutOff reports whether the request is lost if its target loads weights while it runs: it runs
// at most once, or this is its last attempt. Without the latter, streams that one load has cut off
// are sent to targets that load next.
func (x *exchange) lostIfCutOff() bool {
	return x.isAtMostOncePrompt() || x.call.Prompt != nil && x.possibleRuns > 0 && x.possibleRuns+1 >= x.route.MaxAttempts
}

// inBackoff reports whether a target has requested backoff, as of this attempt.
func (x *exchange) inBackoff(t *catalog.Target) bool {
	_, found := x.backoffUntil[t.ID]
	return found
}

// lacksPermit reports whether a target names a limit, and there is no permit to send it a request, as of this
// attempt.
func (x *exchange) lacksPermit(t *catalog.Target) bool {
	_, found := x.permitWaits[t.ID]
	return found
}

func (x *exchange) countFit(targets []*catalog.Target, ejected []string) int {
	n := 0
	for _, t := range targets {
		if x.isFit(t, ejected) {
			n++
		}
	}
	return n
}

// widenCandidates returns up to maxCandidates of all targets of a service: first the fit
// ones, last those in backoff. It starts at a random target.
func (x *exchange) widenCandidates(serving []*catalog.Target, ejected []string) []*catalog.Target {
	var fit, unfit, inBackoff []*catalog.Target
	start := rand.IntN(len(serving))
	for i := range serving {
		t := serving[(start+i)%len(serving)]
		switch {
		case x.isFit(t, ejected):
			fit = append(fit, t)
		case x.inBackoff(t):
			inBackoff = append(inBackoff, t)
		case len(unfit) < maxCandidates:
			unfit = append(unfit, t)
		}
		if len(fit) == maxCandidates {
			return fit
		}
	}
	all := slices.Concat(fit, unfit, inBackoff)
	return all[:min(len(all), maxCandidates)]
}

// placementTargets returns what placement needs to know of the targets, and the request's
// prompt work at each.
func (x *exchange) placementTargets(targets []*catalog.Target, ejected []string) ([]placement.Target, []promptWork) {
	now := x.g.now()
	options, works := make([]placement.Target, len(targets)), make([]promptWork, len(targets))
	set := x.g.settings()
	peerLoads := x.peerLoadsAt(targets, now)
	x.g.predictorMu.Lock()
	defer x.g.predictorMu.Unlock()
	for i, t := range targets {
		load := x.g.upstream.inflight.Get(t.ID)
		o := placement.Target{ID: t.Name, Zone: t.Zone, InFlight: int(load.Requests.Load()), Excluded: x.isExcluded(t), Ejected: slices.Contains(ejected, t.ID), ZoneUnreachable: x.unreachableZones[t.Zone], InBackoff: x.inBackoff(t), Closing: x.view.Closing[t.ID]}
		o.RateLimited, o.Incompatible = x.lacksPermit(t), x.isIncompatible(t)
		o.WarmupLimited, o.Weight = x.warmupBlocked(t, now)
		if p := x.call.Prompt; p != nil {
			version := t.WeightVersion(p.Model)
			o.LacksModel = version == 0
			o.OutdatedFor = x.view.NamedVersions[p.Model].OutdatedFor(version, now)
			works[i] = x.promptWorkAt(t, version, now)
			o.CapacityTokens = x.view.Config.TargetMemory(t.Service)
			o.UsedTokens = int(load.MemoryTokens.Load()) + peerLoads[i].Memory
		}
		works[i].QueuedTokens = int(load.PrefillTokens.Load()) + peerLoads[i].Tokens
		o.QueuedTokens = works[i].QueuedTokens
		o.FirstResponseMS = x.g.predictor.NominalTime(works[i].PrefillWork)
		if set.Policy.LearnedLatency {
			o.FirstResponseMS = x.g.predictor.FirstResponseTime(t.ID, works[i].PrefillWork, now)
		}
		o.LinkOccupancyMS = works[i].FetchMS
		options[i] = o
	}
	x.addSlots(targets, options, now)
	return options, works
}

// peerLoadsAt returns the work that the other instances have in progress at the targets,
// or zero values if the policy ignores it.
func (x *exchange) peerLoadsAt(targets []*catalog.Target, now time.Time) []loadreport.Work {
	if !x.g.settings().Policy.PeerLoads {
		return make([]loadreport.Work, len(targets))
	}
	keys := make([]loadreport.Key, len(targets))
	for i, t := range targets {
		keys[i] = loadreport.KeyOf(t.ID)
	}
	return x.g.peerLoads.At(keys, now)
}

// Delay that each of this instance's requests at a target is assumed to cause another.
const (
	engineConcurrencyPenaltyMS = 2.0 // one more request in the batch slows each step a little
	// plainConcurrencyPenalty applies to targets without a model engine, as a share of the
	// route's latency objective: such targets have few concurrent slots.
	plainConcurrencyPenalty = 0.05
)

func (x *exchange) concurrencyPenaltyMS() float64 {
	if x.call.Prompt != nil {
		return engineConcurrencyPenaltyMS
	}
	return plainConcurrencyPenalty * float64(x.route.LatencyObjective) / float64(time.Millisecond)
}

// refuseNoTarget ends a request for which there is no usable target.
func (x *exchange) refuseNoTarget(d placement.Decision) {
	v := x.machine.NoTarget()
	x.decision = d
	switch {
	case v.Execution != problem.NotRun:
		x.fail(v, attemptResult{})
	case x.lacksCompatible():
		x.refuse(retryLater(problem.NoTarget, "the stream can't go on: no target has the version of the software that began it", retryAfterShort))
	case x.view.allEvacuated(x.service):
		metric.EvacuatedRefusals.Inc()
		x.refuse(retryLater(problem.NoTarget, "all zones with targets of the service are evacuated", retryAfterEvacuation/2+rand.N(retryAfterEvacuation)))
	case d.InBackoff > 0:
		x.refuseInBackoff()
	case d.RateLimited > 0:
		x.refuseLimited()
	case d.WarmupLimited > 0:
		metric.WarmupRefusals.Inc()
		x.refuse(retryLater(problem.Overloaded, "the targets are cold and bear no more now", retryAfterWarmup/2+rand.N(retryAfterWarmup)))
	default:
		x.fail(v, attemptResult{})
	}
}

// maxRetryAfter bounds the Retry-After of targets that refused the request or requested
// backoff. They told this instance only, and the retry may reach another one.
const maxRetryAfter = time.Second

// refuseInBackoff refuses a request that has not run because all targets that could take it
// have requested backoff. Retry-After is 1 to 1.5 times the time until the first backoff
// ends, so that callers return neither together nor too early.
func (x *exchange) refuseInBackoff() {
	metric.BackoffRefusals.Inc()
	wait := min(max(x.backoffLeft(), retryAfterShort), maxRetryAfter)
	x.refuse(retryLater(problem.Overloaded, "the targets have asked for rest", wait+rand.N(wait/2)))
}

// backoffLeft returns the time until the first backoff of the service's targets ends.
func (x *exchange) backoffLeft() time.Duration {
	left, now := time.Duration(0), x.g.now()
	for _, t := range x.view.Serving[x.service] {
		until, found := x.backoffUntil[t.ID]
		if d := until.Sub(now); found && (left == 0 || d < left) {
			left = d
		}
	}
	return left
}

// retryAfterWarmup is the mean Retry-After when all warmup slots are taken, spread over 0.5
// to 1.5 times that: targets warm up for some seconds.
const retryAfterWarmup = time.Second

// retryAfterEvacuation is the mean Retry-After when operators have evacuated all targets,
// spread over 0.5 to 1.5 times that: they need seconds to release a zone.
const retryAfterEvacuation = 2 * time.Second

// refuseOverloaded refuses a request that has not run because no target has room for it.
func (x *exchange) refuseOverloaded(d placement.Decision) {
	if d.FullTargets > 0 {
		x.refuseMemoryFull(d)
		return
	}
	x.refuseTooLate(d)
}

// refuseMemoryFull refuses a request that has not run because every target that could take it
// is full, or has no room for a request of its priority.
func (x *exchange) refuseMemoryFull(d placement.Decision) {
	x.machine.NoTarget()
	x.decision = d
	metric.MemoryFullRefusals.Inc()
	if x.overFairShare = x.g.overFairShare(x.service, x.customerName()); x.overFairShare {
		metric.OverFairShareRefusals.Inc()
	}
	x.g.customerShares.refused(x.service, x.customerName(), x.call.memoryTokens())
	x.refuse(retryLater(problem.Overloaded, "the targets' memory is full", x.recordFullRefusal()))
}
