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

// What place.Decide is asked for each attempt, and what becomes of a request that it
// refuses.

// minFitCandidates is how many of the candidates must be fit for the request; if fewer are, more
// are looked for among all targets of the service.
const minFitCandidates = 8

// chooseTarget decides on the next attempt: its target, or nil if there is to be none.
func (x *exchange) chooseTarget() (*catalog.Target, placement.Decision) {
	resting := x.g.breaker.EjectedForSelection()
	candidates, serving := x.view.Candidates[x.service], x.view.Serving[x.service]
	x.unreachableZones, x.backoffUntil = x.g.unreachableZones(serving), x.g.breaker.Backoffs()
	if len(candidates) < len(serving) && x.countFit(candidates, resting) < minFitCandidates {
		candidates = x.widenCandidates(serving, resting)
	}
	options, works := x.placementTargets(candidates, resting)
	query := x.placementQuery()
	for {
		d := placement.Select(options, query)
		if d.Action != placement.Send {
			return nil, d
		}
		t := candidates[d.Index]
		if x.g.breaker.InBackoff(t.ID) {
			x.backoffUntil = x.g.breaker.Backoffs()
			options[d.Index].InBackoff = true // another request was told meanwhile
			continue
		}
		if !options[d.Index].Ejected && !x.g.breaker.AllowProbe(t.ID) {
			options[d.Index].Ejected = true // another request tries it
			continue
		}
		if x.takeWarmupSlot(t, x.g.now()) {
			x.promptWork, x.predictedMS = works[d.Index], options[d.Index].FirstResponseMS
			return t, d
		}
		options[d.Index].WarmupLimited = true // another request was faster
	}
}

// placementQuery is the request as place sees it.
func (x *exchange) placementQuery() placement.Query {
	set := x.g.settings()
	q := placement.Query{Zone: set.Zone, RolloutTimeout: set.RolloutWithin, ConcurrencyPenaltyMS: x.concurrencyPenaltyMS(), RequestBytes: len(x.body), Rand: rand.Float64, Policy: set.Policy,
		NeededTokens: x.call.memoryTokens(), Started: x.headerSent || x.possibleRuns > 0}
	p := x.call.Prompt
	if p == nil || len(p.Parts) < 2 {
		return q
	}
	shared := p.Parts[:len(p.Parts)-1]
	q.PrefixKey = shared[len(shared)-1].ID
	if src := x.partSourcesFor(max(x.view.NamedVersions[p.Model].Newest, 1))[len(shared)-1]; src.store != nil && set.Policy.StoreZoneHomes {
		q.StoreZone = src.store.Zone
	}
	tokens := 0
	for _, part := range shared {
		tokens += part.Tokens
	}
	x.g.predictorMu.Lock()
	defer x.g.predictorMu.Unlock()
	q.SharedPrefillMS = x.g.predictor.PrefillTime(tokens)
	return q
}

// isFit says whether a target serves the request's model with the newest weights, was not
// tried, does not rest, and bears a request of this instance.
func (x *exchange) isFit(t *catalog.Target, resting []string) bool {
	if x.isExcluded(t) || x.inBackoff(t) || slices.Contains(resting, t.ID) || x.unreachableZones[t.Zone] {
		return false
	}
	if closed, _ := x.warmupBlocked(t, x.g.now()); closed {
		return false
	}
	p := x.call.Prompt
	return p == nil || t.WeightVersion(p.Model) >= max(x.view.NamedVersions[p.Model].Newest, 1)
}

// inBackoff says whether a target wants no requests, as of this attempt.
func (x *exchange) inBackoff(t *catalog.Target) bool {
	_, asks := x.backoffUntil[t.ID]
	return asks
}

func (x *exchange) countFit(targets []*catalog.Target, resting []string) int {
	n := 0
	for _, t := range targets {
		if x.isFit(t, resting) {
			n++
		}
	}
	return n
}

// widenCandidates takes as many as are considered at a time from all targets of a service, the fit
// ones first, and those that ask for rest last, from a random one on.
func (x *exchange) widenCandidates(serving []*catalog.Target, resting []string) []*catalog.Target {
	var good, rest, asking []*catalog.Target
	start := rand.IntN(len(serving))
	for i := range serving {
		t := serving[(start+i)%len(serving)]
		switch {
		case x.isFit(t, resting):
			good = append(good, t)
		case x.inBackoff(t):
			asking = append(asking, t)
		case len(rest) < maxCandidates:
			rest = append(rest, t)
		}
		if len(good) == maxCandidates {
			return good
		}
	}
	all := slices.Concat(good, rest, asking)
	return all[:min(len(all), maxCandidates)]
}

// placementTargets are the targets as place sees them, and what the request asks of each.
func (x *exchange) placementTargets(targets []*catalog.Target, resting []string) ([]placement.Target, []promptWork) {
	now := x.g.now()
	options, works := make([]placement.Target, len(targets)), make([]promptWork, len(targets))
	set := x.g.settings()
	others := x.peerLoadsAt(targets, now)
	x.g.predictorMu.Lock()
	defer x.g.predictorMu.Unlock()
	for i, t := range targets {
		load := x.g.upstream.inflight.Get(t.ID)
		o := placement.Target{ID: t.Name, Zone: t.Zone, InFlight: int(load.Requests.Load()), Excluded: x.isExcluded(t), Ejected: slices.Contains(resting, t.ID), ZoneUnreachable: x.unreachableZones[t.Zone], InBackoff: x.inBackoff(t)}
		o.WarmupLimited, o.Weight = x.warmupBlocked(t, now)
		if p := x.call.Prompt; p != nil {
			version := t.WeightVersion(p.Model)
			o.LacksModel = version == 0
			o.OutdatedFor = x.view.NamedVersions[p.Model].outdatedFor(version, now)
			works[i] = x.promptWorkAt(t, version, now)
			o.CapacityTokens = x.view.Config.TargetMemory(t.Service)
			o.UsedTokens = int(load.MemoryTokens.Load()) + others[i].Memory
		}
		works[i].QueuedTokens = int(load.PrefillTokens.Load()) + others[i].Tokens
		o.FirstResponseMS = x.g.predictor.NominalTime(works[i].PrefillWork)
		if set.Policy.LearnedLatency {
			o.FirstResponseMS = x.g.predictor.FirstResponseTime(t.ID, works[i].PrefillWork, now)
		}
		o.LinkOccupancyMS = works[i].FetchMS
		options[i] = o
	}
	return options, works
}

// peerLoadsAt is what the other instances have under way at the targets.
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

// What an own run at a target is assumed to delay another by.
const (
	engineConcurrencyPenaltyMS = 2.0 // one more in the batch slows each step a little
	// plainConcurrencyPenalty is the same at a plain service, as a share of the route's
	// objective: a few places serve all.
	plainConcurrencyPenalty = 0.05
)

func (x *exchange) concurrencyPenaltyMS() float64 {
	if x.call.Prompt != nil {
		return engineConcurrencyPenaltyMS
	}
	return plainConcurrencyPenalty * float64(x.route.LatencyObjective) / float64(time.Millisecond)
}

// retryAfterMemoryFull is when to come back to targets whose memory was full, from half of it to one
// and a half times as long, so that callers do not return together: a target's memory turns
// over in one to four seconds.
const retryAfterMemoryFull = time.Second

// refuseNoTarget ends a request for which no target may be used.
func (x *exchange) refuseNoTarget(d placement.Decision) {
	v := x.machine.NoTarget()
	x.decision = d
	switch {
	case v.Execution != problem.NotRun:
		x.fail(v, attemptResult{})
	case x.view.allEvacuated(x.service):
		metric.EvacuatedRefusals.Inc()
		x.refuse(retryLater(problem.NoTarget, "all zones with targets of the service are evacuated", retryAfterEvacuation/2+rand.N(retryAfterEvacuation)))
	case d.InBackoff > 0:
		x.refuseInBackoff()
	case d.WarmupLimited > 0:
		metric.WarmupRefusals.Inc()
		x.refuse(retryLater(problem.Overloaded, "the targets are cold and bear no more now", retryAfterWarmup/2+rand.N(retryAfterWarmup)))
	default:
		x.fail(v, attemptResult{})
	}
}

// maxRetryAfter bounds the advice on when to come back to targets that turned the request away or
// ask for rest: they told this instance, and the caller may meet another next time.
const maxRetryAfter = time.Second

// refuseInBackoff refuses a request, of which nothing has run, since all targets that could take
// it ask for rest. Its caller is told to come back when the first rest ends, or up to half as
// late again, so that callers do not return together, and none returns in vain.
func (x *exchange) refuseInBackoff() {
	metric.BackoffRefusals.Inc()
	wait := min(max(x.backoffLeft(), retryAfterShort), maxRetryAfter)
	x.refuse(retryLater(problem.Overloaded, "the targets have asked for rest", wait+rand.N(wait/2)))
}

// backoffLeft is the time until the first of the service's targets that ask for rest ends it.
func (x *exchange) backoffLeft() time.Duration {
	left, now := time.Duration(0), x.g.now()
	for _, t := range x.view.Serving[x.service] {
		until, asks := x.backoffUntil[t.ID]
		if d := until.Sub(now); asks && (left == 0 || d < left) {
			left = d
		}
	}
	return left
}

// retryAfterWarmup is when to come back once cold targets bear no more, from half of it to one
// and a half times as long: targets are cold for some seconds.
const retryAfterWarmup = time.Second

// retryAfterEvacuation is when to come back once operators have evacuated all targets, from
// half of it to one and a half times as long: they take seconds to take a zone back.
const retryAfterEvacuation = 2 * time.Second

// refuseMemoryFull refuses a request, of which nothing has run, since every target that could
// take it is full.
func (x *exchange) refuseMemoryFull(d placement.Decision) {
	x.machine.NoTarget()
	x.decision = d
	metric.MemoryFullRefusals.Inc()
	x.refuse(retryLater(problem.Overloaded, "the targets' memory is full", retryAfterMemoryFull/2+rand.N(retryAfterMemoryFull)))
}
