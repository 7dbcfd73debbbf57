package gateway

import (
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/cachestore"
	"github.com/shedhoist/shedhoist/internal/core/placement"
	"github.com/shedhoist/shedhoist/internal/loadreport"
)

// partSource is where one part of a prompt is held; the zero value is nowhere.
type partSource struct {
	store  *catalog.CacheStore
	tokens int
}

// promptWork is what a prompt asks of one target.
type promptWork struct {
	placement.PrefillWork
	fetch []bool // the parts to fetch
}

// cachePlan is where the parts of a prompt come from and where they are kept.
type cachePlan struct {
	weightVersion uint64 // weight version that the plan is for
	parts         []PartPlan
	fetchCount    int
	savedKeys     []cachestore.Key
	pendingSave   *cachestore.Save // notes when what is saved is over; nil: nothing is saved
	// targetSilentMS is how long the target had been silent if that kept saves back, else 0.
	targetSilentMS int64
}

// lowestPriority is the least urgent value that model servers know.
const lowestPriority = 9

// cacheSalt is the text under which the prompt's parts are cached with weights of a version.
func (x *exchange) cacheSalt(version uint64) string {
	return cachestore.Salt{CacheScope: x.view.Config.CacheScope(x.customer), Model: x.call.Prompt.Model, Version: version}.String()
}

// partSourcesFor finds the prompt's parts in the stores, once for each version and attempt.
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

// Bounds of fetching, as shares of the route's latency objective. A fetch that is given
// up costs most: the time that it took, and a prompt that is read again. So it is begun
// only where it can be expected to leave much time, and then left to come, even late
// (docs/ROUTING.md has what other bounds gave).
const (
	// maxFetchShare is how long a fetch may be predicted to take.
	maxFetchShare = 0.5
	// fetchTimeoutShare is how long one that was begun may take before it is given up and the
	// prompt is read. Callers wait for a first answer for 4 objectives at least.
	fetchTimeoutShare = 3.0
	// maxFetchTime bounds that for any objective: the cache stores' parts are freed, and
	// written anew after a start, only when no fetch of them can still be under way.
	maxFetchTime = 2 * time.Second
)

// worthFetching says whether a fetch that is predicted to take ms leaves enough time for
// the rest of the answer.
func (x *exchange) worthFetching(ms float64) bool {
	return ms <= maxFetchShare*float64(x.route.LatencyObjective)/float64(time.Millisecond)-x.elapsedMS()
}

// fetchTimeout is how much longer a fetch that is begun now may take.
func (x *exchange) fetchTimeout() time.Duration {
	return min(max(time.Duration(fetchTimeoutShare*float64(x.route.LatencyObjective))-x.g.now().Sub(x.arrived), 0), maxFetchTime)
}

// promptWorkAt says what the prompt asks of a target: a part is fetched if its store
// can be expected to deliver it in time. The first part is shared by so many
// that targets have it: to fetch it takes no time worth counting, unless the target was
// emptied and the link is slow. x.g.predictorMu
// is held.
func (x *exchange) promptWorkAt(t *catalog.Target, version uint64, now time.Time) promptWork {
	p := x.call.Prompt
	w := promptWork{PrefillWork: placement.PrefillWork{PrefillTokens: p.Tokens}, fetch: make([]bool, len(p.Parts))}
	largest := 0.0
	for i, src := range x.partSourcesFor(version) {
		if src.store == nil {
			continue
		}
		ms := x.transferMS(src, t)
		if !x.worthFetching(x.g.predictor.FetchTime(placement.PrefillWork{FetchMS: ms, Link: src.store.Address}, now)) {
			continue
		}
		w.fetch[i] = true
		w.PrefillTokens -= p.Parts[i].Tokens
		if i == 0 {
			continue
		}
		w.FetchMS += ms
		if ms > largest {
			largest, w.Link = ms, src.store.Address
		}
	}
	w.PrefillTokens = max(w.PrefillTokens, 0)
	return w
}

// crossZoneFactor is how much longer a transfer takes between zones.
const crossZoneFactor = 2.0

// transferMS is the time of a transfer by the speed of its links alone.
func (x *exchange) transferMS(src partSource, t *catalog.Target) float64 {
	svc := x.view.Config.Services[t.Service]
	if svc == nil || svc.Engine == nil || src.store.LinkMbps <= 0 {
		return 0 // the service is no longer declared, or its links are not
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

// modelAttempt says what a model server is told. The salt names the weights that
// the target is believed to serve, and the target refuses if it serves others:
// so cache of other weights can't be read, whatever this instance believes.
func (x *exchange) modelAttempt(t *catalog.Target) *ModelAttempt {
	version := t.WeightVersion(x.call.Prompt.Model)
	salt := x.cacheSalt(version)
	now := x.g.now()
	silent := x.g.upstream.inflight.Get(t.ID).Responses.UnresponsiveForWithPeers(x.g.peerSilences.Since(loadreport.KeyOf(t.ID), now), now)
	x.plan = x.g.cache.planParts(x.view.Config.Stores, salt, version, x.call.Prompt.Parts, x.partSourcesFor(version), x.promptWork.fetch, t.Zone, silent < silenceThreshold && !x.view.Draining)
	if silent >= silenceThreshold {
		x.plan.targetSilentMS = silent.Milliseconds()
	}
	x.plan.pendingSave = x.g.cache.beginSave(t.ID, x.plan.savedKeys)
	x.logSaves(t, salt)
	return &ModelAttempt{Priority: x.effectiveRank(), Version: version, Salt: salt, Cache: x.plan.parts,
		FetchUntilMS: x.g.cache.serverClockMS(x.fetchTimeout())}
}

// logSaves writes a line on what the target shall keep in which store: a save that comes
// late can then be traced to its request.
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
	// lateShare of the time left for the first answer, if it is predicted to take
	// longer, makes a request wait behind those that can be in time: read first, it
	// would make them late too. The rest is for what predictions leave out where they
	// know little of other instances' work: 340 ms of 500 for one answer in 20.
	lateShare = 0.6
	// lateRankPenalty is by how much: more than the ranks that operators declare, 0 to 3.
	lateRankPenalty = 4
)

// effectiveRank is the rank at the target, 0 being the most urgent. In a small fleet, where
// every instance knows what waits at the targets, requests are placed well enough, and
// those put behind would only lose their memory to others (docs/ROUTING.md).
func (x *exchange) effectiveRank() int {
	rank := x.baseRank()
	if len(x.view.Alive) <= maxSmallFleet || !x.g.settings().Policy.DeprioritizeLate {
		return min(rank, lowestPriority)
	}
	left := float64(x.route.LatencyObjective)/float64(time.Millisecond) - x.elapsedMS()
	if x.predictedMS > lateShare*left {
		rank += lateRankPenalty
	}
	return min(rank, lowestPriority)
}

// baseRank is the customer's if it has one, else the route's.
func (x *exchange) baseRank() int {
	if x.customer != nil && x.customer.HasPriority {
		return max(x.customer.Priority, 0)
	}
	return max(x.route.Priority, 0)
}

// beginTicket notes a request that is sent now.
func (g *Gateway) beginTicket(target string, w placement.PrefillWork, now time.Time) *placement.PendingRequest {
	g.predictorMu.Lock()
	defer g.predictorMu.Unlock()
	return g.predictor.Start(target, w, now)
}

// dropTicket forgets a request that has ended.
func (g *Gateway) dropTicket(t *placement.PendingRequest) {
	g.predictorMu.Lock()
	defer g.predictorMu.Unlock()
	g.predictor.Remove(t)
}
