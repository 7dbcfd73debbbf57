// Package place decides what becomes of one request now: to which of a service's targets
// it is sent, or that it is refused. It goes by what this instance observed of each, and
// by what its peers told: requests under way, what these keep in the target's memory, and
// how long it took to answer lately. It is pure.
package place

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedhoist/shedhoist/internal/core/policy"
)

// Target is one target as seen by the decision.
type Target struct {
	ID       string
	Zone     string
	Runs     int     // own requests under way
	FirstMS  float64 // predicted time to the first answer, without the network
	LinkMS   float64 // time that the request's fetch keeps a link from others
	Excluded bool    // tried before by this request
	Resting  bool    // failed lately
	Unfit    bool    // does not serve the request's model
	Dark     bool    // its zone is silent: a last resort, as if it were resting
	Closed   bool    // cold, and bears nothing from this instance now
	AsksRest bool    // wants no requests from this instance now, and gets none
	// Pull is how many times more prompts than usual have their home here: a cold target takes
	// them from few instances. 0 is once.
	Pull float64
	// BehindFor is how long newer weights than the target's have been named; 0:
	// it has the newest, or the request names no model.
	BehindFor time.Duration
	// Capacity is the target's memory, in tokens; 0: not known, or not a model server.
	Capacity int
	// InMemory is what all instances' runs there keep of it, in tokens.
	InMemory int
}

// Query is the request to place.
type Query struct {
	Zone    string
	Rollout time.Duration // time that a rollout may take
	CrowdMS float64       // how much each own run at a target delays another, ms
	Bytes   int           // of the request
	Rand    func() float64
	Policy  policy.Policy

	// Subject names the prompt's last shared part, which selects its home; "": none.
	Subject string
	// KeptIn is the zone of the store that keeps this part; "": none does.
	KeptIn string
	// SharedMS is the time to read the prompt's shared parts.
	SharedMS float64
	// Tokens is what the request will keep of a target's memory.
	Tokens int
	// Begun says that some target worked on the request, or that its caller has a part of
	// the answer: it is not refused any more.
	Begun bool
}

// Action is what becomes of a request.
type Action uint8

// Actions.
const (
	Send   Action = iota
	Refuse        // at once: every target that could take it is full
	None          // no target may be used
)

// Decision is what becomes of a request, with what decided it.
type Decision struct {
	Action Action
	Index  int // of the target, if it is sent; -1 else
	Full   int // targets that could take it but for their memory
	Closed int // targets left out since they are cold
	// AskRest is how many targets that could take it are left out since they ask for rest.
	AskRest int
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

// Decide chooses the best target.
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
func Decide(targets []Target, q Query) Decision {
	d := Decision{Action: None, Index: -1}
	home := -1
	if q.Policy.Homes && q.Subject != "" {
		home = homeOf(targets, q.Subject, q.KeptIn)
	}
	low, rests := math.Inf(1), false
	for i := range targets {
		t := &targets[i]
		if t.Closed {
			d.Closed++
		}
		if t.AsksRest {
			if usable(t, q) {
				d.AskRest++
			}
			continue
		}
		if t.Excluded || t.Closed || !usable(t, q) {
			continue
		}
		full := q.Policy.Admission && t.full(q)
		if full && !t.lastResort() {
			d.Full++
			d.FreeTokens = max(d.FreeTokens, t.Capacity-t.InMemory)
		}
		if full && !q.Begun {
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
	if d.Full > 0 && !q.Begun && (d.Index < 0 || rests) {
		d.Action, d.Index = Refuse, -1
	}
	return d
}

// lastResort says whether the target is used only if there is no other.
func (t *Target) lastResort() bool { return t.Resting || t.Dark }

// barred says whether the target gets nothing now, whatever the request.
func (t *Target) barred() bool { return t.Closed || t.AsksRest }

// full says whether the request would need more of the target's memory than is left.
func (t *Target) full(q Query) bool {
	return t.Capacity > 0 && t.InMemory > 0 && t.InMemory+q.Tokens > t.Capacity
}

// usable rules out a target without the model, and at the end of a rollout's
// time those with old weights.
func usable(t *Target, q Query) bool {
	return !t.Unfit && (t.BehindFor == 0 || t.BehindFor < q.Rollout-rolloutMargin)
}

// homeOf is the index of a prompt's home among the targets that serve its model: by
// rendezvous hashing (Thaler and Ravishankar, 1998), so that instances agree without a
// message. Where a store keeps the prompt's parts, the home is in the zone of that store, if
// a target there is well: a fetch between zones takes twice as long and keeps the store's
// link from others meanwhile, which is what is short in a large fleet. Returns -1 if there
// is none.
func homeOf(targets []Target, subject, zone string) int {
	near := func(t Target) bool { return t.Zone == zone && !t.Unfit && !t.barred() && !t.lastResort() }
	anywhere := zone == "" || !slices.ContainsFunc(targets, near)
	best, top := -1, 0.0
	seed := xxhash.Sum64String(subject)
	for i := range targets {
		if targets[i].Unfit || targets[i].barred() || targets[i].Dark || !(anywhere || targets[i].Zone == zone) {
			continue
		}
		if h := pulled(mix(seed^xxhash.Sum64String(targets[i].ID)), targets[i].Pull); best < 0 || h > top {
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
	s := math.Max(t.FirstMS, 1) + q.CrowdMS*float64(t.Runs)
	if q.Policy.LinkWeight {
		s += linkWeight * t.LinkMS
	}
	if away {
		s += awayWeight * q.SharedMS
	}
	if t.Zone != q.Zone {
		s += otherZoneMS + otherZoneKBMS*float64(q.Bytes)/1024
	}
	if q.Policy.OldWeightsPenalty && t.BehindFor >= oldGrace {
		s *= oldWeights
	}
	if !q.Policy.ScoreJitter {
		return s
	}
	return s * (1 + spread*q.Rand())
}
