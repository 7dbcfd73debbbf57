package placement

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// homeIndex returns the index of a prompt's home among the targets that serve its model, or
// -1 if there is none. It uses rendezvous hashing (Thaler and Ravishankar, 1998), so that
// instances agree without messages. If a cache store holds the prompt's parts, the home is in
// the store's zone, provided that a healthy target is there: a fetch from another zone takes
// twice as long and occupies the store's link, the scarce resource of a large fleet.
func homeIndex(targets []Target, prefixKey, storeZone string) int {
	healthyInZone := func(t Target) bool {
		return t.Zone == storeZone && !t.LacksModel && !t.Incompatible && !t.unavailable() && !t.lastResort()
	}
	anyZone := storeZone == "" || !slices.ContainsFunc(targets, healthyInZone)
	best, highestRank := -1, 0.0
	key := NewHomeKey(prefixKey)
	for i := range targets {
		if targets[i].LacksModel || targets[i].unavailable() || targets[i].ZoneUnreachable || !(anyZone || targets[i].Zone == storeZone) {
			continue
		}
		if rank := key.Rank(targets[i].ID, targets[i].Weight); best < 0 || rank > highestRank {
			best, highestRank = i, rank
		}
	}
	return best
}

// HomeKey selects the home of the prompts that share a prefix: the target with the highest rank.
type HomeKey uint64

// NewHomeKey returns the key of the prompts whose last shared part has this ID.
func NewHomeKey(prefixKey string) HomeKey { return HomeKey(xxhash.Sum64String(prefixKey)) }

// Rank returns the rank of a target, by its ID and its weight in the choice of homes.
func (k HomeKey) Rank(targetID string, weight float64) float64 {
	return weightedRank(splitMix64(uint64(k)^xxhash.Sum64String(targetID)), weight)
}

// weightedRank turns a uniform hash into a target's rank for a prompt, by weighted rendezvous
// hashing (Schindelhauer and Schomaker, 2005): a change of one target's weight does not change
// the order of the others.
func weightedRank(hash uint64, weight float64) float64 {
	u := (float64(hash>>11) + 0.5) / (1 << 53)
	return -max(weight, 1) / math.Log(u)
}

// splitMix64 is the finalizer of SplitMix64 (Steele, Lea and Flood, 2014). Without it, XOR with
// the prefix's hash would leave the targets in nearly the same order for all prefixes.
func splitMix64(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
