package gateway

import (
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/admission"
	"github.com/shedhoist/shedhoist/internal/core/cachestore"
	"github.com/shedhoist/shedhoist/internal/core/placement"
	"github.com/shedhoist/shedhoist/internal/loadreport"
)

// partSource is the store that holds one part of a prompt; the zero value means none does.
type partSource struct {
	store  *catalog.CacheStore
	tokens int
}

// promptWork is the work that a prompt causes at one target.
type promptWork struct {
	placement.PrefillWork
	fetch []bool // the parts to fetch
}

// cachePlan tells where the parts of a prompt are fetched from and where they are saved.
type cachePlan struct {
	weightVersion uint64 // version of the weights that the plan is for
	parts         []PartPlan
	fetchCount    int
	savedKeys     []cachestore.Key
	homeParts     int              // parts that are fetched from the prompt's home target
	pendingSave   *cachestore.Save // tracks when the save ends; nil if nothing is saved
	// targetSilentMS is how long the target had been silent if nothing is saved for that
	// reason, else 0.
	targetSilentMS int64
}

// lowestPriority is the least urgent rank that model servers accept.
const lowestPriority = 9

// cacheSalt returns the salt of the cache keys of the prompt's parts for a weight version.
func (x *exchange) cacheSalt(version uint64) string {
	return cachestore.Salt{CacheScope: x.view.Config.CacheScope(x.customer), Model: x.call.Prompt.Model, Version: version}.String()
}

// partSourcesFor looks up the prompt's parts in the stores, once for each weight version
// and attempt.
func (x *exchange) partSourcesFor(version uint64) []partSource {
	if found, ok := x.partSources[version]; ok {
		return found
	}
	if x.partSources == nil {
		x.partSources = map[uint64][]partSource{}
	}
	found := x.g.cache.findParts(x.view.Config.Stores, x.cacheSalt(version), x.call.Prompt.Parts)
	x.partSources[version] = found
	return found
}

// Limits on fetches, as shares of the route's latency objective. An abandoned fetch costs
// most: the time that it took, and the prefill of the prompt. So a fetch is started only
// if it is predicted to leave much time, and may then finish even if it is late
// (docs/ROUTING.md compares other limits).
const (
	// maxFetchShare bounds the predicted time of a fetch.
	maxFetchShare = 0.5
	// fetchTimeoutShare bounds the time of a started fetch, after which the target reads
	// the prompt instead. Callers wait at least 4 objectives for the first byte.
	fetchTimeoutShare = 3.0
	// maxFetchTime bounds a fetch for any objective: the cache stores free their parts, and
	// overwrite them after a restart, only when no fetch of them can still be in progress.
	maxFetchTime = 2 * time.Second
)

// worthFetching reports whether a fetch that is predicted to take ms leaves enough time for
// the rest of the response.
func (x *exchange) worthFetching(ms float64) bool {
	return ms <= maxFetchShare*float64(x.route.LatencyObjective)/float64(time.Millisecond)-x.elapsedMS()
}

// fetchTimeout returns how long a fetch that starts now may take.
func (x *exchange) fetchTimeout() time.Duration {
	return min(max(time.Duration(fetchTimeoutShare*float64(x.route.LatencyObjective))-x.g.now().Sub(x.arrived), 0), maxFetchTime)
}

// promptWorkAt returns the work that the prompt causes at a target. A part is fetched if
// its store is predicted to deliver it in time. The fetch of the first part counts as taking
// no time: so many requests share it that targets have it already, except where a target's
// cache was emptied and its link is slow. x.g.predictorMu is held.
func (x *exchange) promptWorkAt(t *catalog.Target, version uint64, now time.Time) promptWork {
	p := x.call.Prompt
	work := promptWork{PrefillWork: placement.PrefillWork{PrefillTokens: p.Tokens}, fetch: make([]bool, len(p.Parts))}
	longestMS := 0.0
	for i, src := range x.partSourcesFor(version) {
		if src.store == nil {
			continue
		}
		ms := x.transferMS(src, t)
		if !x.worthFetching(x.g.predictor.FetchTime(placement.PrefillWork{FetchMS: ms, Link: src.store.Address}, now)) {
			continue
		}
		work.fetch[i] = true
		work.PrefillTokens -= p.Parts[i].Tokens
		if i == 0 {
			continue
		}
		work.FetchMS += ms
		if ms > longestMS {
			longestMS, work.Link = ms, src.store.Address
		}
	}
	work.PrefillTokens = max(work.PrefillTokens, 0)
	return work
}

// crossZoneFactor multiplies the time of a transfer between zones.
const crossZoneFactor = 2.0

// transferMS returns the time of a transfer by the speed and latency of its links, without
// queueing.
func (x *exchange) transferMS(src partSource, t *catalog.Target) float64 {
	svc := x.view.Config.Services[t.Service]
	if svc == nil || svc.Engine == nil || src.store.LinkMbps <= 0 {
		return 0 // the configuration no longer declares the service, or no link speed
	}
	e := svc.Engine
	mbps := src.store.LinkMbps
	if e.LinkMbps > 0 {
		mbps = min(mbps, e.LinkMbps)
	}
	ms := float64(src.tokens) * float64(e.TokenBytes) * 8 / (mbps * 1000)
	if src.store.Zone != t.Zone {
		ms *= crossZoneFactor
	}
	return ms + float64(src.store.TransferLatency)/float64(time.Millisecond)
}

// modelAttempt returns the parameters of an attempt at a model server. The salt includes
// the weight version that the target is assumed to serve, and the target refuses the
// request if it serves another: so a wrong assumption can't make it read cache of other
// weights.
func (x *exchange) modelAttempt(t *catalog.Target) *ModelAttempt {
	version := t.WeightVersion(x.call.Prompt.Model)
	salt := x.cacheSalt(version)
	now := x.g.now()
	silentFor := x.g.upstream.inflight.Get(t.ID).Responses.UnresponsiveForWithPeers(x.g.peerSilences.Since(loadreport.KeyOf(t.ID), now), now)
	x.plan = x.g.cache.planParts(x.view.Config.Stores, salt, version, x.call.Prompt.Parts, x.partSourcesFor(version), x.promptWork.fetch, t.Zone, silentFor < silenceThreshold && !x.view.Draining)
	if silentFor >= silenceThreshold {
		x.plan.targetSilentMS = silentFor.Milliseconds()
	}
	x.plan.pendingSave = x.g.cache.beginSave(t.ID, x.plan.savedKeys)
	x.logSaves(t, salt)
	fetchUntilMS := x.g.cache.serverClockMS(x.fetchTimeout())
	if fetchUntilMS > 0 { // without the servers' clock a fetch from a slow home would have no end
		x.fetchFromHome(t, version)
	}
	return &ModelAttempt{Priority: x.effectiveRank(), Version: version, Salt: salt, Cache: x.plan.parts, FetchUntilMS: fetchUntilMS}
}

// logSaves logs which parts the target is to save in which stores, so that a late save can
// be traced to its request.
func (x *exchange) logSaves(t *catalog.Target, salt string) {
	if len(x.plan.savedKeys) == 0 {
		return
	}
	ok, leftOut := x.g.saveSampler.allow(x.g.now())
	if !ok {
		return
	}
	var parts, stores []string
	for i, p := range x.plan.parts {
		if p.SaveTo != "" {
			parts, stores = append(parts, x.call.Prompt.Parts[i].ID), append(stores, p.SaveTo)
		}
	}
	e := x.g.log.WithField("request", x.call.ID).WithField("target", t.ID).WithField("salt", salt).WithField("parts", parts).WithField("stores", stores)
	if leftOut > 0 {
		e = e.WithField("lines_left_out", leftOut)
	}
	e.Info("parts to be saved")
}

const (
	// lateShare is the share of the time left until the latency objective beyond which a
	// predicted first byte counts as late. A late request waits behind those that can meet
	// their objective, since they would become late too if it were read first. The
	// remaining share covers prediction errors due to unknown work of other instances: 340
	// ms of an objective of 500 ms for one response in 20.
	lateShare = 0.6
	// lateRankPenalty is added to the rank of a late request: more than the ranks that
	// operators declare, 0 to 3. It applies to services whose routes all have one rank, where
	// no less urgent request can overtake a late one; see admission.Levels.SentRank.
	lateRankPenalty = 4
)

// effectiveRank returns the request's rank at the target, 0 being the most urgent. In a
// small fleet late requests keep their rank: every instance knows what is queued at the
// targets and places requests well enough, and a lower rank would only make them lose
// their memory to others (docs/ROUTING.md).
func (x *exchange) effectiveRank() int {
	rank := x.baseRank()
	if len(x.view.Alive) <= maxSmallFleet || !x.g.settings().Policy.DeprioritizeLate {
		return min(rank, lowestPriority)
	}
	left := float64(x.route.LatencyObjective)/float64(time.Millisecond) - x.elapsedMS()
	late := x.predictedMS > lateShare*left
	if x.admissionLevels() != nil {
		return x.view.Config.PromptRanks(x.service).SentRank(admission.CombinedRank(rank, x.route.Priority), late)
	}
	if late {
		rank += lateRankPenalty
	}
	return min(rank, lowestPriority)
}

// baseRank returns the customer's priority if it has one, else the route's.
func (x *exchange) baseRank() int {
	if x.customer != nil && x.customer.HasPriority {
		return max(x.customer.Priority, 0)
	}
	return max(x.route.Priority, 0)
}

// addPending tells the latency predictor of a request that is being sent.
func (g *Gateway) addPending(target string, work placement.PrefillWork, now time.Time) *placement.PendingRequest {
	g.predictorMu.Lock()
	defer g.predictorMu.Unlock()
	return g.predictor.Start(target, work, now)
}

// removePending tells the latency predictor that a request has ended.
func (g *Gateway) removePending(pending *placement.PendingRequest) {
	g.predictorMu.Lock()
	defer g.predictorMu.Unlock()
	g.predictor.Remove(pending)
}
