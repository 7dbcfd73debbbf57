package gateway

import (
	"slices"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/placement"
	"github.com/shedhoist/shedhoist/internal/metric"
)

// A prompt that is not sent to its home, because that is full or busy, has its target fetch shared parts
// from the home's memory if no cache store delivers them. A part that is not there costs the target about a
// millisecond, and one that is there saves its prefill, which takes ten times as long as the fetch.

// minHomeFetchTokens is the size of the smallest part that is fetched from the home: the prefill of a
// smaller one takes no longer than the setup of a transfer.
const minHomeFetchTokens = 256

// fetchFromHome adds the home as the source of the shared parts that the plan fetches from no store.
func (x *exchange) fetchFromHome(t *catalog.Target, version uint64) {
	if !x.g.settings().Policy.HomeSources || !x.view.Config.FetchesFromTargets(t.Service) || len(x.call.Prompt.Parts) < 2 {
		return
	}
	home := x.promptHome(t, version)
	if home == nil || home.ID == t.ID {
		return
	}
	parts := x.call.Prompt.Parts
	if x.plan.parts == nil {
		x.plan.parts = make([]PartPlan, len(parts))
	}
	for i, p := range parts[:len(parts)-1] {
		if plan := &x.plan.parts[i]; plan.FetchFrom == "" && p.Tokens >= minHomeFetchTokens {
			plan.FetchFrom, plan.FetchTokens = home.Address, p.Tokens
			x.plan.homeParts++
		}
	}
	metric.HomePartFetches.Add(x.plan.homeParts)
}

// promptHome returns the home of the prompt among all targets that serve a weight version, or nil if there
// is none. Targets that may not respond don't count: a fetch from a dead one takes some hundred ms to fail.
// Unlike the home that placement prefers, it is the same for instances with different candidates: it ignores
// warmup and permits, which differ between instances. current is the target of the attempt.
func (x *exchange) promptHome(current *catalog.Target, version uint64) *catalog.Target {
	shared := x.call.Prompt.Parts[:len(x.call.Prompt.Parts)-1]
	key := placement.NewHomeKey(shared[len(shared)-1].ID)
	storeZone := x.homeZone(version, len(shared)-1)
	var home *catalog.Target
	inStoreZone, highestRank := false, 0.0
	for _, t := range x.view.Serving[x.service] {
		if t.WeightVersion(x.call.Prompt.Model) != version || slices.Contains(x.ejected, t.ID) || x.unreachableZones[t.Zone] || t.ID != current.ID && x.isExcluded(t) {
			continue
		}
		preferred, rank := t.Zone == storeZone, key.Rank(t.Name, 1)
		if home == nil || preferred && !inStoreZone || preferred == inStoreZone && rank > highestRank {
			home, inStoreZone, highestRank = t, preferred, rank
		}
	}
	return home
}

// homeZone returns the zone of the store that holds a shared part, where its home is; "" if none does.
func (x *exchange) homeZone(version uint64, part int) string {
	if src := x.partSourcesFor(version)[part]; src.store != nil && x.g.settings().Policy.StoreZoneHomes {
		return src.store.Zone
	}
	return ""
}
