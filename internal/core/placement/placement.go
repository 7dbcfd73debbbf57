// Package place decides what becomes of one request now: to which of a service's targets
// it is sent, or that it is refused. It goes by what this instance observed of each, and
// by what its peers told: requests under way, what these keep in the target's memory, and
// how long it took to answer lately. It is pure.
package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedhoist/shedhoist/internal/core/policy"
)

// Target is one target as seen by the decision.
type Target struct {
	ID              string
	Zone            string
	InFlight        int     // own requests under way
	FirstResponseMS float64 // predicted time to the first answer, without the network
	LinkOccupancyMS float64 // time that the request's fetch keeps a link from others
	Excluded        bool    // tried before by this request
	Ejected         bool    // failed lately
	LacksModel      bool    // does not serve the request's model
	ZoneUnreachable bool    // its zone is silent: a last resort, as if it were resting
	WarmupLimited   bool    // cold, and bears nothing from this instance now
	InBackoff       bool    // wants no requests from this instance now, and gets none
	// Weight is how many times more prompts than usual have their home here: a cold target takes
	// them from few instances. 0 is once.
	Weight float64
	// OutdatedFor is how long newer weights than the target's have been named; 0:
	// it has the newest, or the request names no model.
	OutdatedFor time.Duration
	// CapacityTokens is the target's memory, in tokens; 0: not known, or not a model server.
	CapacityTokens int
	// UsedTokens is what all instances' runs there keep of it, in tokens.
	UsedTokens int
}

// Query is the request to place.
type Query struct {
	Zone                 string
	RolloutTimeout       time.Duration // time that a rollout may take
	ConcurrencyPenaltyMS float64       // how much each own run at a target delays another, ms
	RequestBytes         int           // of the request
	Rand                 func() float64
	Policy               policy.Policy

	// PrefixKey names the prompt's last shared part, which selects its home; "": none.
	PrefixKey string
	// StoreZone is the zone of the store that keeps this part; "": none does.
	StoreZone string
	// SharedPrefillMS is the time to read the prompt's shared parts.
	SharedPrefillMS float64
	// NeededTokens is what the request will keep of a target's memory.
	NeededTokens int
	// Started says that some target worked on the request, or that its caller has a part of
	// the answer: it is not refused any more.
	Started bool
}

// Action is what becomes of a request.
type Action uint8

// Actions.
const (
	Send     Action = iota
	Refuse          // at once: every target that could take it is full
	NoTarget        // no target may be used
)

// Decision is what becomes of a request, with what decided it.
type Decision struct {
	Action        Action
	Index         int // of the target, if it is sent; -1 else
	FullTargets   int // targets that could take it but for their memory
	WarmupLimited int // targets left out since they are cold
	// InBackoff is how many targets that could take it are left out since they ask for rest.
	InBackoff int
	// FreeTokens is the most that a full target has left.
	FreeTokens int
}

// Weights of the choice, in ms or as factors of the predicted time.
const (
	// otherZoneMS and otherZoneKBMS are what a target in another zone costs: two
	// more milliseconds on the way, and bytes between zones, which are paid for.
	otherZoneMS   = 4.0
	otherZoneKBMS = 1.0
	// linkWeight is what a millisecond of a shared link costs the others.
	linkWeight = 1.5
	// awayWeight times the time to read a prompt's shared parts is what it costs to send
	// it elsewhere than to its home, where they are most likely in memory.
	awayWeight = 1.5
	// oldWeights is how much worse a target counts that serves an older version
	// than the newest one named, once the rollout is under way.
	oldWeights = 1.5
	// fullWeight makes a full target the last resort but for resting ones.
	fullWeight = 100.0
	// spread shakes scores by up to this share, so that instances which see the
	// same do not all pick the same target.
	spread = 0.25
	// oldGrace is how long after a version was named an older one is as good.
	oldGrace = time.Second
	// rolloutMargin is how long before the end of a rollout's time the last
	// request goes to an older version.
	rolloutMargin = time.Second
)

// Select chooses the best target.
//
// A target whose memory is full gets nothing new. What is sent there all the same takes
// the memory of runs and of cached parts, which are then read again: reading delays every
// run, runs that last longer keep more memory, and the state outlasts its cause by tens of
// seconds (docs/DECIDING.md). So once all targets that could take a request are full, it is
// refused at once, which costs one answer and saves the others. A request larger than a
// whole memory is for the target to refuse.
//
// A target that asks for rest gets nothing at all, also if there is no other: each request that
// it turns away takes of what it needs to recover.
func Select(targets []Target, q Query) Decision {
	d := Decision{Action: NoTarget, Index: -1}
	home := -1
	if q.Policy.Homes && q.PrefixKey != "" {
		home = homeOf(targets, q.PrefixKey, q.StoreZone)
	}
	low, rests := math.Inf(1), false
	for i := range targets {
		t := &targets[i]
		if t.WarmupLimited {
			d.WarmupLimited++
		}
		if t.InBackoff {
			if usable(t, q) {
				d.InBackoff++
			}
			continue
		}
		if t.Excluded || t.WarmupLimited || !usable(t, q) {
			continue
		}
		full := q.Policy.Admission && t.full(q)
		if full && !t.lastResort() {
			d.FullTargets++
			d.FreeTokens = max(d.FreeTokens, t.CapacityTokens-t.UsedTokens)
		}
		if full && !q.Started {
			continue
		}
		s := score(t, q, i != home && home >= 0)
		if full {
			s *= fullWeight
		}
		last := t.lastResort()
		if d.Index < 0 || rests && !last || rests == last && s < low {
			d.Action, d.Index, low, rests = Send, i, s, last
		}
	}
	if d.FullTargets > 0 && !q.Started && (d.Index < 0 || rests) {
		d.Action, d.Index = Refuse, -1
	}
	return d
}

// lastResort says whether the target is used only if there is no other.
func (t *Target) lastResort() bool { return t.Ejected || t.ZoneUnreachable }

// barred says whether the target gets nothing now, whatever the request.
func (t *Target) barred() bool { return t.WarmupLimited || t.InBackoff }

// full says whether the request would need more of the target's memory than is left.
func (t *Target) full(q Query) bool {
	return t.CapacityTokens > 0 && t.UsedTokens > 0 && t.UsedTokens+q.NeededTokens > t.CapacityTokens
}

// usable rules out a target without the model, and at the end of a rollout's
// time those with old weights.
func usable(t *Target, q Query) bool {
	return !t.LacksModel && (t.OutdatedFor == 0 || t.OutdatedFor < q.RolloutTimeout-rolloutMargin)
}

// homeOf is the index of a prompt's home among the targets that serve its model: by
// rendezvous hashing (Thaler and Ravishankar, 1998), so that instances agree without a
// message. Where a store keeps the prompt's parts, the home is in the zone of that store, if
// a target there is well: a fetch between zones takes twice as long and keeps the store's
// link from others meanwhile, which is what is short in a large fleet. Returns -1 if there
// is none.
func homeOf(targets []Target, subject, zone string) int {
	near := func(t Target) bool { return t.Zone == zone && !t.LacksModel && !t.barred() && !t.lastResort() }
	anywhere := zone == "" || !slices.ContainsFunc(targets, near)
	best, top := -1, 0.0
	seed := xxhash.Sum64String(subject)
	for i := range targets {
		if targets[i].LacksModel || targets[i].barred() || targets[i].ZoneUnreachable || !(anywhere || targets[i].Zone == zone) {
			continue
		}
		if h := pulled(mix(seed^xxhash.Sum64String(targets[i].ID)), targets[i].Weight); best < 0 || h > top {
			best, top = i, h
		}
	}
	return best
}

// pulled is a target's rank for a prompt, by a hash that is even over all targets: the greatest
// of weighted ones (Schindelhauer and Schomaker, 2005) keeps the order of the others.
func pulled(hash uint64, pull float64) float64 {
	u := (float64(hash>>11) + 0.5) / (1 << 53)
	return -max(pull, 1) / math.Log(u)
}

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood, 2014): without it the order
// of two xored hashes would be much the same for all subjects.
func mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// score is the predicted time to an answer, in ms, weighted by what else the
// choice costs.
func score(t *Target, q Query, away bool) float64 {
	s := math.Max(t.FirstResponseMS, 1) + q.ConcurrencyPenaltyMS*float64(t.InFlight)
	if q.Policy.LinkWeight {
		s += linkWeight * t.LinkOccupancyMS
	}
	if away {
		s += awayWeight * q.SharedPrefillMS
	}
	if t.Zone != q.Zone {
		s += otherZoneMS + otherZoneKBMS*float64(q.RequestBytes)/1024
	}
	if q.Policy.OldWeightsPenalty && t.OutdatedFor >= oldGrace {
		s *= oldWeights
	}
	if !q.Policy.ScoreJitter {
		return s
	}
	return s * (1 + spread*q.Rand())
}
