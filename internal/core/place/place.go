// Package place picks the target of one request among a service's targets, by
// what this instance observed of each: own requests under way, and how long it
// took to answer lately. It is pure.
package place

import (
	"math"
	"time"
)

// Target is one target as seen by the pick.
type Target struct {
	ID       string
	Zone     string
	Runs     int     // own requests under way
	FirstMS  float64 // predicted time to the first answer, without the network
	LinkMS   float64 // time that the request's fetch keeps a link from others
	Excluded bool    // tried before by this request
	Resting  bool    // failed lately
	Unfit    bool    // does not serve the request's model
	// BehindFor is how long newer weights than the target's have been named; 0:
	// it has the newest, or the request names no model.
	BehindFor time.Duration
}

// Query is the request to place.
type Query struct {
	Zone    string
	Rollout time.Duration // time that a rollout may take
	CrowdMS float64       // how much each own run at a target delays another, ms
	Bytes   int           // of the request
	Rand    func() float64
}

// Weights of the pick, in ms or as factors of the predicted time.
const (
	// otherZoneMS and otherZoneKBMS are what a target in another zone costs: two
	// more milliseconds on the way, and bytes between zones, which are paid for.
	otherZoneMS   = 4.0
	otherZoneKBMS = 1.0
	// linkWeight is what a millisecond of a shared link costs the others.
	linkWeight = 1.5
	// oldWeights is how much worse a target counts that serves an older version
	// than the newest one named, once the rollout is under way.
	oldWeights = 1.5
	// restingWeight makes a resting target the last resort.
	restingWeight = 1000.0
	// spread shakes scores by up to this share, so that instances which see the
	// same do not all pick the same target.
	spread = 0.25
	// oldGrace is how long after a version was named an older one is as good.
	oldGrace = time.Second
	// rolloutMargin is how long before the end of a rollout's time the last
	// request goes to an older version.
	rolloutMargin = time.Second
)

// Pick returns the index of the best target, or -1 if none may be used.
func Pick(targets []Target, q Query) int {
	best, low := -1, math.Inf(1)
	for i := range targets {
		t := &targets[i]
		if t.Excluded || !usable(t, q) {
			continue
		}
		if s := score(t, q); s < low {
			best, low = i, s
		}
	}
	return best
}

// usable rules out a target without the model, and at the end of a rollout's
// time those with old weights.
func usable(t *Target, q Query) bool {
	return !t.Unfit && (t.BehindFor == 0 || t.BehindFor < q.Rollout-rolloutMargin)
}

// score is the predicted time to an answer, in ms, weighted by what else the
// choice costs.
func score(t *Target, q Query) float64 {
	s := math.Max(t.FirstMS, 1) + linkWeight*t.LinkMS + q.CrowdMS*float64(t.Runs)
	if t.Zone != q.Zone {
		s += otherZoneMS + otherZoneKBMS*float64(q.Bytes)/1024
	}
	if t.BehindFor >= oldGrace {
		s *= oldWeights
	}
	if t.Resting {
		s *= restingWeight
	}
	return s * (1 + spread*q.Rand())
}
