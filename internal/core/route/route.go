// Package route picks the target of a request. It is pure: a decision depends only
// on a snapshot of the targets and a query.
//
// Candidates are computed without coordination, by rendezvous hashing of the
// prompt's root key over the targets that may serve it. Instances that see the
// same targets find the same candidates. The candidate with the lowest predicted
// cost, in milliseconds to the first token, wins.
package route

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/shedhoist/shedhoist/internal/core/prefix"
)

// State is the routing state of a target.
type State uint8

// Target states. Only a Ready target gets new requests.
const (
	Ready    State = iota
	Unknown        // not observed yet, or loading weights
	Suspect        // does not respond to its observers, or is ejected
	Draining       // drained by an operator
	Leaving        // leaving, by the target list or by its own report
)

// String returns the state's name, as operators see it.
func (s State) String() string {
	return [...]string{"ready", "unknown", "suspect", "draining", "leaving"}[s]
}

// Target is the state of one target that routing depends on.
type Target struct {
	Name         string
	Address      string
	Zone         string
	Model        string
	Version      string   // weight version that the target reports
	Adapters     []string // adapters that the target reports
	State        State
	Slots        int
	Running      int     // running requests, from the last load report
	QueuedTokens int     // prompt tokens waiting, from the last load report
	ReportAgeMS  float64 // age of the last load report, ms
	RTTMS        float64 // network round trip from this instance, ms
}

// Hints gives estimates of cache contents and load. They may be wrong: they change
// costs, never the content of a response.
type Hints interface {
	// Resident returns how many leading keys the target is assumed to hold.
	Resident(target string, keys []prefix.Key) int
	// Inflight returns this instance's own requests at the target since its last load
	// report: their number, and their prompt tokens not yet computed.
	Inflight(target string) (runs, tokens int)
}

// Query is a request to be placed.
type Query struct {
	Model, Version, Adapter string
	Keys                    []prefix.Key
	PromptTokens            int
	StoredChunks            int      // leading keys that a store is assumed to hold
	RestoreMS               float64  // predicted time to restore the stored chunks, ms
	ExcludeTargets          []string // targets already tried
	ExcludeZone             string   // zone of a target that has just failed; "": none
	Seed                    uint64   // random value for random candidates and ties
	Sequence                uint64   // request counter, for RoundRobin
}

// Params are the parameters of the cost model, from the policy and the model.
// HomeCandidates is the number of homes to consider.
type Params struct {
	Policy             Policy
	HomeCandidates     int
	RecomputeWeightMS  float64 // cost per recomputed token, ms
	PrefillMSPerToken  float64 // time to compute a prompt token, ms
	DecodeMSPerRequest float64 // delay that each running request adds to a first token, ms
}

// Action is how the prompt's cache is obtained.
type Action uint8

// Actions.
const (
	Recompute Action = iota // compute the chunks that are not resident
	Reuse                   // all chunks are assumed to be resident
	Restore                 // import the chunks that are not resident from a store
)

// String returns the action's name, as operators see it.
func (a Action) String() string { return [...]string{"recompute", "reuse", "restore"}[a] }

// Candidate is a considered target with its predicted cost.
type Candidate struct {
	Target          string  `json:"target"`
	Home            bool    `json:"home"` // a home of the prompt, found by hashing and not at random
	WaitMS          float64 `json:"wait_ms"`
	RTTMS           float64 `json:"rtt_ms"`
	PrefillMS       float64 `json:"prefill_ms"`
	ResidentChunks  int     `json:"resident_chunks"`
	RecomputeTokens int     `json:"recompute_tokens"`
	CostMS          float64 `json:"cost_ms"`
	Action          string  `json:"action"`
}

// MaxCandidates is the largest number of candidates of a decision.
const MaxCandidates = 16

// Decision is the picked target, with the candidates and costs that explain it.
type Decision struct {
	Target        *Target // nil: no target can serve the query
	Action        Action
	Candidates    [MaxCandidates]Candidate
	NumCandidates int
	FirstTokenMS  float64 // predicted time to first token at the picked target, ms
	Filtered      FilterCounts
}

// FilterCounts counts the targets that were not considered, by reason.
type FilterCounts struct {
	State   int `json:"state"`
	Version int `json:"version"`
	Adapter int `json:"adapter"`
	Tried   int `json:"tried"`
}

// numRandomCandidates is the number of random targets that are considered beside
// the homes ("power of two choices"), so that a prompt can leave a home that is
// slow or busy.
const numRandomCandidates = 2

// Pick decides one query. It overwrites d.
func Pick(s *Snapshot, q *Query, p Params, h Hints, d *Decision) {
	*d = Decision{}
	best := math.Inf(1)
	pool := s.pools[poolKey{q.Model, q.Version}]
	d.Filtered = s.filteredByPool(q.Model, pool)
	if pool == nil {
		return
	}
	if p.Policy != Cost {
		pickBaseline(s, pool, q, p, h, d)
		return
	}
	var candidates [MaxCandidates]int32
	n := collectCandidates(s, pool, q, p, &candidates, &d.Filtered)
	firstIndex := firstHome(s, q, candidates[:n])
	for _, i := range candidates[:n] {
		t := &s.Targets[i&^randomFlag]
		c, action, firstTokenMS := predictCost(t, q, p, h)
		c.Home = i&randomFlag == 0
		if i != firstIndex && c.ResidentChunks == 0 {
			c.CostMS += affinityPenalty(c.Home) * float64(q.PromptTokens) * p.PrefillMSPerToken
		}
		d.Candidates[d.NumCandidates] = c
		d.NumCandidates++
		if c.CostMS < best {
			best, d.Target, d.Action, d.FirstTokenMS = c.CostMS, t, action, firstTokenMS
		}
	}
}

// affinityPenaltyShare is the share of a prompt's prefill time that the first home
// is assumed to save when no residency is known. So a prompt that returns through
// another instance goes to the target that holds its cache, unless waiting there
// takes longer than this share.
const affinityPenaltyShare = 0.3

// affinityPenalty returns the share of the prefill time that is added to the cost
// of a candidate other than the first home. Another home may hold the prefix that
// the root's prompts have in common; a random target is assumed to hold nothing,
// so it pays double.
func affinityPenalty(home bool) float64 {
	if home {
		return affinityPenaltyShare
	}
	return 2 * affinityPenaltyShare
}

// firstHome returns the home with the highest rendezvous score for the prompt's
// longest key, or -1 without keys. Prompts with the same root have the same homes,
// but each draft or session among them has its own first home.
func firstHome(s *Snapshot, q *Query, candidates []int32) int32 {
	if len(q.Keys) == 0 {
		return -1
	}
	longestKey := binary.LittleEndian.Uint64(q.Keys[len(q.Keys)-1][:8])
	best, topScore := int32(-1), uint64(0)
	for _, i := range candidates {
		if i&randomFlag != 0 {
			continue
		}
		if score := splitMix64(longestKey ^ xxhash.Sum64String(s.Targets[i].Name)); best < 0 || score > topScore {
			best, topScore = i, score
		}
	}
	return best
}

// randomFlag is set in the index of a random candidate, and not in a home's.
const randomFlag = 1 << 30

// collectCandidates lists the best eligible homes of the prompt's root, then
// eligible random targets. If there is none, it searches the whole pool, so that a
// candidate is found whenever any target is eligible.
func collectCandidates(s *Snapshot, pool *targetPool, q *Query, p Params, out *[MaxCandidates]int32, f *FilterCounts) int {
	maxHomes := min(max(p.HomeCandidates, 1), MaxCandidates-numRandomCandidates)
	n := 0
	for _, i := range pool.homesFor(rootHash(q)) {
		if n < maxHomes && i >= 0 && eligible(&s.Targets[i], q, f) {
			out[n] = i
			n++
		}
	}
	random := q.Seed
	for range numRandomCandidates {
		random = splitMix64(random)
		i := pool.ready[random%uint64(len(pool.ready))]
		if !containsIndex(out[:n], i) && eligible(&s.Targets[i], q, nil) {
			out[n] = i | randomFlag
			n++
		}
	}
	if n > 0 {
		return n
	}
	best := scoredTarget{index: -1}
	for _, i := range pool.ready {
		t := &s.Targets[i]
		if !eligible(t, q, f) {
			continue
		}
		if score := splitMix64(rootHash(q) ^ xxhash.Sum64String(t.Name)); best.index < 0 || score > best.score {
			best = scoredTarget{score, i}
		}
	}
	if best.index < 0 {
		return 0
	}
	out[0] = best.index
	return 1
}

func containsIndex(indices []int32, index int32) bool {
	for _, i := range indices {
		if i&^randomFlag == index {
			return true
		}
	}
	return false
}

// rootHash returns a hash of the prompt's first chunk. A prompt shorter than a
// chunk has no cache to reuse and gets a random hash.
func rootHash(q *Query) uint64 {
	if len(q.Keys) == 0 {
		return splitMix64(q.Seed)
	}
	return binary.LittleEndian.Uint64(q.Keys[0][:8]) // a key is a hash already
}

// splitMix64 is the finalizer of SplitMix64: each input bit affects every output
// bit.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// eligible applies the part of the filter that depends on the query: adapter,
// targets already tried, and zone. The pool covers state, model and version.
func eligible(t *Target, q *Query, f *FilterCounts) bool {
	if f == nil {
		f = &FilterCounts{}
	}
	switch {
	case q.Adapter != "" && !containsString(t.Adapters, q.Adapter):
		f.Adapter++
	case containsString(q.ExcludeTargets, t.Name), q.ExcludeZone != "" && t.Zone == q.ExcludeZone:
		f.Tried++
	default:
		return true
	}
	return false
}

func containsString(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// predictCost is the cost model of all policies: wait + RTT + min(recompute,
// restore) + RecomputeWeightMS * recomputed tokens. Its last result is the
// predicted time to first token, in ms.
func predictCost(t *Target, q *Query, p Params, h Hints) (Candidate, Action, float64) {
	resident := h.Resident(t.Name, q.Keys)
	residentTokens := resident * prefix.ChunkBytes / prefix.BytesPerToken
	missingTokens := max(q.PromptTokens-residentTokens, 0)
	computeMS := float64(missingTokens) * p.PrefillMSPerToken
	action := Recompute
	if resident > 0 && resident == len(q.Keys) {
		action = Reuse
	}
	recomputeTokens := missingTokens
	if q.StoredChunks > resident {
		fetchChunks := q.StoredChunks - resident
		remainingTokens := max(q.PromptTokens-q.StoredChunks*prefix.ChunkBytes/prefix.BytesPerToken, 0)
		restoreMS := q.RestoreMS*float64(fetchChunks)/float64(q.StoredChunks) + float64(remainingTokens)*p.PrefillMSPerToken
		if restoreMS+p.RecomputeWeightMS*float64(remainingTokens) < computeMS+p.RecomputeWeightMS*float64(missingTokens) {
			computeMS, recomputeTokens, action = restoreMS, remainingTokens, Restore
		}
	}
	waitMS := predictWaitMS(t, p, h)
	firstTokenMS := waitMS + t.RTTMS + computeMS
	cost := firstTokenMS + p.RecomputeWeightMS*float64(recomputeTokens)
	return Candidate{Target: t.Name, WaitMS: waitMS, RTTMS: t.RTTMS, PrefillMS: computeMS, ResidentChunks: resident,
		RecomputeTokens: recomputeTokens, CostMS: cost, Action: action.String()}, action, firstTokenMS
}

// predictWaitMS predicts the queueing time of a new prompt, in ms. The reported
// load counts less as the report ages; this instance's own requests since then
// count in full. The larger of the two is used.
func predictWaitMS(t *Target, p Params, h Hints) float64 {
	runs, tokens := h.Inflight(t.Name)
	reportWeight := reportHalfLifeMS / (reportHalfLifeMS + t.ReportAgeMS)
	queuedTokens := max(float64(t.QueuedTokens)*reportWeight, float64(tokens))
	running := max(float64(t.Running)*reportWeight, float64(runs))
	waitMS := queuedTokens*p.PrefillMSPerToken + running*p.DecodeMSPerRequest
	if excess := running - float64(t.Slots); excess > 0 {
		waitMS += excess * overCapacityMS
	}
	return waitMS
}

// Constants of the wait prediction.
const (
	reportHalfLifeMS = 2000.0 // age at which a load report has half its weight
	overCapacityMS   = 50.0   // wait for each running request beyond the target's slots
)
