package route

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Policy names a routing policy. All but Cost are baselines, kept so that one run
// can compare the policies.
type Policy string

// The policies, by their names in a configuration.
const (
	Cost       Policy = ""            // lowest predicted cost among the homes and two random targets
	RoundRobin Policy = "round-robin" // each target in turn
	LeastLoad  Policy = "least-load"  // fewest running requests: the larger of the load report and this instance's own
	Affinity   Policy = "affinity"    // always the best target by rendezvous hash of the root key
	Oracle     Policy = "oracle"      // lowest predicted cost over all targets; meant for exact hints
)

// Policies lists all values that a configuration may use.
var Policies = [...]Policy{Cost, RoundRobin, LeastLoad, Affinity, Oracle}

// pickBaseline picks a target by one of the baseline policies. Its time grows with
// the number of targets in the pool.
func pickBaseline(s *Snapshot, pool *targetPool, q *Query, p Params, h Hints, d *Decision) {
	best := int32(-1)
	lowestScore := math.Inf(1)
	if p.Policy == RoundRobin {
		best = roundRobinTarget(s, pool, q)
	}
	for _, i := range pool.ready {
		t := &s.Targets[i]
		if p.Policy == RoundRobin || !eligible(t, q, &d.Filtered) {
			continue
		}
		score := 0.0
		switch p.Policy {
		case LeastLoad:
			inFlight, _ := h.Inflight(t.Name)
			score = math.Max(float64(t.Running), float64(inFlight))*16 + float64(splitMix64(q.Seed^uint64(i))%16) // equal loads: random order
		case Affinity:
			score = -float64(splitMix64(rootHash(q) ^ xxhash.Sum64String(t.Name)))
		case Oracle:
			c, _, _ := predictCost(t, q, p, h)
			score = c.CostMS
		}
		if score < lowestScore {
			lowestScore, best = score, i
		}
	}
	if best < 0 {
		return
	}
	t := &s.Targets[best]
	c, action, firstTokenMS := predictCost(t, q, p, h)
	d.Candidates[0], d.NumCandidates = c, 1
	d.Target, d.Action, d.FirstTokenMS = t, action, firstTokenMS
}

// roundRobinTarget returns the index of the first eligible target from the
// position that q.Sequence gives, or -1.
func roundRobinTarget(s *Snapshot, pool *targetPool, q *Query) int32 {
	for k := range pool.ready {
		i := pool.ready[(q.Sequence+uint64(k))%uint64(len(pool.ready))]
		if eligible(&s.Targets[i], q, nil) {
			return i
		}
	}
	return -1
}
