package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/place"
	"github.com/shedhoist/shedhoist/internal/loads"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/problem"
)

// What place.Decide is asked for each attempt, and what becomes of a request that it
// refuses.

// minFitCandidates is how many of the candidates must be fit for the request; if fewer are, more
// are looked for among all targets of the service.
const minFitCandidates = 8

// chooseTarget decides on the next attempt: its target, or nil if there is to be none.
func (x *exchange) chooseTarget() (*catalog.Target, place.Decision) {
	resting := x.g.breaker.Sick()
	candidates, serving := x.view.Candidates[x.service], x.view.Serving[x.service]
	x.unreachableZones, x.backoffUntil = x.g.unreachableZones(serving), x.g.breaker.Asked()
	if len(candidates) < len(serving) && x.countFit(candidates, resting) < minFitCandidates {
		candidates = x.widenCandidates(serving, resting)
	}
	options, works := x.placementTargets(candidates, resting)
	query := x.placementQuery()
	for {
		d := place.Decide(options, query)
		if d.Action != place.Send {
			return nil, d
		}
		t := candidates[d.Index]
		if x.g.breaker.Asks(t.ID) {
			x.backoffUntil = x.g.breaker.Asked()
			options[d.Index].AsksRest = true // another request was told meanwhile
			continue
		}
		if !options[d.Index].Resting && !x.g.breaker.Try(t.ID) {
			options[d.Index].Resting = true // another request tries it
			continue
		}
		if x.takeWarmupSlot(t, x.g.now()) {
			x.promptWork, x.predictedMS = works[d.Index], options[d.Index].FirstMS
			return t, d
		}
		options[d.Index].Closed = true // another request was faster
	}
}

// placementQuery is the request as place sees it.
func (x *exchange) placementQuery() place.Query {
	set := x.g.settings()
	q := place.Query{Zone: set.Zone, Rollout: set.RolloutWithin, CrowdMS: x.concurrencyPenaltyMS(), Bytes: len(x.body), Rand: rand.Float64, Policy: set.Policy,
		Tokens: x.call.memoryTokens(), Begun: x.headerSent || x.possibleRuns > 0}
	p := x.call.Prompt
	if p == nil || len(p.Parts) < 2 {
		return q
	}
	shared := p.Parts[:len(p.Parts)-1]
	q.Subject = shared[len(shared)-1].ID
	if src := x.partSourcesFor(max(x.view.NamedVersions[p.Model].Newest, 1))[len(shared)-1]; src.store != nil && set.Policy.StoreZones {
		q.KeptIn = src.store.Zone
	}
	tokens := 0
	for _, part := range shared {
		tokens += part.Tokens
	}
	x.g.predictorMu.Lock()
	defer x.g.predictorMu.Unlock()
	q.SharedMS = x.g.predictor.Read(tokens)
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
	return p == nil || t.VersionOf(p.Model) >= max(x.view.NamedVersions[p.Model].Newest, 1)
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
func (x *exchange) placementTargets(targets []*catalog.Target, resting []string) ([]place.Target, []promptWork) {
	now := x.g.now()
	options, works := make([]place.Target, len(targets)), make([]promptWork, len(targets))
	set := x.g.settings()
	others := x.peerLoadsAt(targets, now)
	x.g.predictorMu.Lock()
	defer x.g.predictorMu.Unlock()
	for i, t := range targets {
		load := x.g.upstream.inflight.Of(t.ID)
		o := place.Target{ID: t.Name, Zone: t.Zone, Runs: int(load.Runs.Load()), Excluded: x.isExcluded(t), Resting: slices.Contains(resting, t.ID), Dark: x.unreachableZones[t.Zone], AsksRest: x.inBackoff(t)}
		o.Closed, o.Pull = x.warmupBlocked(t, now)
		if p := x.call.Prompt; p != nil {
			version := t.VersionOf(p.Model)
			o.Unfit = version == 0
			o.BehindFor = x.view.NamedVersions[p.Model].outdatedFor(version, now)
			works[i] = x.promptWorkAt(t, version, now)
			o.Capacity = x.view.Config.MemoryOf(t.Service)
			o.InMemory = int(load.Memory.Load()) + others[i].Memory
		}
		works[i].AheadTokens = int(load.Tokens.Load()) + others[i].Tokens
		o.FirstMS = x.g.predictor.Nominal(works[i].Work)
		if set.Policy.Overdue {
			o.FirstMS = x.g.predictor.First(t.ID, works[i].Work, now)
		}
		o.LinkMS = works[i].FetchMS
		options[i] = o
	}
	return options, works
}

// peerLoadsAt is what the other instances have under way at the targets.
func (x *exchange) peerLoadsAt(targets []*catalog.Target, now time.Time) []loads.Amount {
	if !x.g.settings().Policy.PeerLoads {
		return make([]loads.Amount, len(targets))
	}
	keys := make([]loads.Key, len(targets))
	for i, t := range targets {
		keys[i] = loads.KeyOf(t.ID)
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
	return plainConcurrencyPenalty * float64(x.route.Objective) / float64(time.Millisecond)
}

// retryAfterMemoryFull is when to come back to targets whose memory was full, from half of it to one
// and a half times as long, so that callers do not return together: a target's memory turns
// over in one to four seconds.
const retryAfterMemoryFull = time.Second

// refuseNoTarget ends a request for which no target may be used.
func (x *exchange) refuseNoTarget(d place.Decision) {
	v := x.machine.NoTarget()
	x.decision = d
	switch {
	case v.Execution != problem.NotRun:
		x.fail(v, attemptResult{})
	case x.view.allEvacuated(x.service):
		metric.EvacuatedRefusals.Inc()
		x.refuse(retryLater(problem.NoTarget, "all zones with targets of the service are evacuated", retryAfterEvacuation/2+rand.N(retryAfterEvacuation)))
	case d.AskRest > 0:
		x.refuseInBackoff()
	case d.Closed > 0:
		metric.ColdRefusals.Inc()
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
	metric.RestRefusals.Inc()
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
func (x *exchange) refuseMemoryFull(d place.Decision) {
	x.machine.NoTarget()
	x.decision = d
	metric.FullRefusals.Inc()
	x.refuse(retryLater(problem.Overloaded, "the targets' memory is full", retryAfterMemoryFull/2+rand.N(retryAfterMemoryFull)))
}
