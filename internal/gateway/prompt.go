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

// cacheWork is what a prompt asks of one target.
type cacheWork struct {
	placement.PrefillWork
	fetch []bool // the parts to fetch
}

// cachePlan is where the parts of a prompt come from and where they are kept.
type cachePlan struct {
	version uint64 // weight version that the plan is for
	parts   []PartPlan
	fetches int
	saved   []cachestore.Key
	save    *cachestore.Save // notes when what is saved is over; nil: nothing is saved
	// silentMS is how long the target had been silent if that kept saves back, else 0.
	silentMS int64
}

// lowestPriority is the least urgent value that model servers know.
const lowestPriority = 9

// salt is the text under which the prompt's parts are cached with weights of a version.
func (x *exchange) salt(version uint64) string {
	return cachestore.Salt{CacheScope: x.view.Config.CacheScope(x.customer), Model: x.call.Prompt.Model, Version: version}.String()
}

// sourcesOf finds the prompt's parts in the stores, once for each version and attempt.
func (x *exchange) sourcesOf(version uint64) []partSource {
	if found, ok := x.sources[version]; ok {
		return found
	}
	if x.sources == nil {
		x.sources = map[uint64][]partSource{}
	}
	found := x.g.cache.sources(x.view.Config.Stores, x.salt(version), x.call.Prompt.Parts)
	x.sources[version] = found
	return found
}

// Bounds of fetching, as shares of the route's latency objective. A fetch that is given
// up costs most: the time that it took, and a prompt that is read again. So it is begun
// only where it can be expected to leave much time, and then left to come, even late
// (docs/ROUTING.md has what other bounds gave).
const (
	// fetchShare is how long a fetch may be predicted to take.
	fetchShare = 0.5
	// untilShare is how long one that was begun may take before it is given up and the
	// prompt is read. Callers wait for a first answer for 4 objectives at least.
	untilShare = 3.0
	// longestFetch bounds that for any objective: the cache stores' parts are freed, and
	// written anew after a start, only when no fetch of them can still be under way.
	longestFetch = 2 * time.Second
)

// worthFetching says whether a fetch that is predicted to take ms leaves enough time for
// the rest of the answer.
func (x *exchange) worthFetching(ms float64) bool {
	return ms <= fetchShare*float64(x.route.LatencyObjective)/float64(time.Millisecond)-x.sinceMS()
}

// fetchUntil is how much longer a fetch that is begun now may take.
func (x *exchange) fetchUntil() time.Duration {
	return min(max(time.Duration(untilShare*float64(x.route.LatencyObjective))-x.g.now().Sub(x.arrived), 0), longestFetch)
}

// workAt says what the prompt asks of a target: a part is fetched if its store
// can be expected to deliver it in time. The first part is shared by so many
// that targets have it: to fetch it takes no time worth counting, unless the target was
// emptied and the link is slow. x.g.predictorMu
// is held.
func (x *exchange) workAt(t *catalog.Target, version uint64, now time.Time) cacheWork {
	p := x.call.Prompt
	w := cacheWork{PrefillWork: placement.PrefillWork{PrefillTokens: p.Tokens}, fetch: make([]bool, len(p.Parts))}
	largest := 0.0
	for i, src := range x.sourcesOf(version) {
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

// zoneFactor is how much longer a transfer takes between zones.
const zoneFactor = 2.0

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
		ms *= zoneFactor
	}
	return ms + float64(src.store.TransferLatency)/float64(time.Millisecond)
}

// modelAttempt says what a model server is told. The salt names the weights that
// the target is believed to serve, and the target refuses if it serves others:
// so cache of other weights can't be read, whatever this instance believes.
func (x *exchange) modelAttempt(t *catalog.Target) *ModelAttempt {
	version := t.WeightVersion(x.call.Prompt.Model)
	salt := x.salt(version)
	now := x.g.now()
	silent := x.g.upstream.work.Get(t.ID).Responses.UnresponsiveForWithPeers(x.g.silences.Since(loadreport.KeyOf(t.ID), now), now)
	x.plan = x.g.cache.plan(x.view.Config.Stores, salt, version, x.call.Prompt.Parts, x.sourcesOf(version), x.asks.fetch, t.Zone, silent < answerDue && !x.view.Draining)
	if silent >= answerDue {
		x.plan.silentMS = silent.Milliseconds()
	}
	x.plan.save = x.g.cache.beginSave(t.ID, x.plan.saved)
	x.logSaves(t, salt)
	return &ModelAttempt{Priority: x.urgency(), Version: version, Salt: salt, Cache: x.plan.parts,
		FetchUntilMS: x.g.cache.clockMS(x.fetchUntil())}
}

// logSaves writes a line on what the target shall keep in which store: a save that comes
// late can then be traced to its request.
func (x *exchange) logSaves(t *catalog.Target, salt string) {
	if len(x.plan.saved) == 0 {
		return
	}
	ok, leftOut := x.g.saves.allow(x.g.now())
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
	// hopelessShare of the time left for the first answer, if it is predicted to take
	// longer, makes a request wait behind those that can be in time: read first, it
	// would make them late too. The rest is for what predictions leave out where they
	// know little of other instances' work: 340 ms of 500 for one answer in 20.
	hopelessShare = 0.6
	// hopelessRanks is by how much: more than the ranks that operators declare, 0 to 3.
	hopelessRanks = 4
)

// urgency is the rank at the target, 0 being the most urgent. In a small fleet, where
// every instance knows what waits at the targets, requests are placed well enough, and
// those put behind would only lose their memory to others (docs/ROUTING.md).
func (x *exchange) urgency() int {
	rank := x.priority()
	if len(x.view.Alive) <= smallFleet || !x.g.settings().Policy.DeprioritizeLate {
		return min(rank, lowestPriority)
	}
	left := float64(x.route.LatencyObjective)/float64(time.Millisecond) - x.sinceMS()
	if x.predictedMS > hopelessShare*left {
		rank += hopelessRanks
	}
	return min(rank, lowestPriority)
}

// priority is the customer's if it has one, else the route's.
func (x *exchange) priority() int {
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
