// Package route picks the target of one request. It is pure: a snapshot of
// the targets and a query go in, a decision with its reasons comes out.
//
// Candidates are found by function, not by message: rendezvous hashing of the
// prompt's root key over the targets that may serve it. Any instance that sees
// the same targets finds the same candidates. Among them the lowest predicted
// cost wins, in milliseconds to the first token.
package route

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/shedhoist/shedhoist/internal/core/prefix"
)

// State is what may be sent to a target.
type State uint8

// Target states. Only Ready takes new work.
const (
	Ready    State = iota
	Unknown        // not observed yet
	Suspect        // does not answer its observers
	Draining       // taken out by an operator
	Leaving        // leaves by the list or by its own word
)

// String names the state for operators.
func (s State) String() string {
	return [...]string{"ready", "unknown", "suspect", "draining", "leaving"}[s]
}

// Target is one target as routing sees it.
type Target struct {
	Name     string
	Address  string
	Zone     string
	Model    string
	Version  string   // weight version that it says it serves
	Adapters []string // adapters that it says it has
	State    State
	Slots    int
	Running  int     // from the last load report
	Queued   int     // prompt tokens waiting, from the last load report
	ReportMS float64 // age of that report
	RTT      float64 // network round trip from this instance, ms
}

// Hints tells what is believed to be where. Hints may be wrong: they move
// cost, never content.
type Hints interface {
	// Resident is how many leading keys the target is believed to hold.
	Resident(target string, keys []prefix.Key) int
	// Inflight is this instance's own work at the target since its last load
	// report: runs, and prompt tokens not yet computed.
	Inflight(target string) (runs, tokens int)
}

// Query is one request to place.
type Query struct {
	Model, Version, Adapter string
	Keys                    []prefix.Key
	Tokens                  int      // prompt tokens
	Stored                  int      // leading keys that a store is believed to hold
	StoreMS                 float64  // predicted time to restore them, ms
	Exclude                 []string // targets already tried
	AvoidZone               string   // zone of a target that just failed; "" is none
	Rand                    uint64   // for the two random candidates
	Turn                    uint64   // counts requests, for RoundRobin
}

// Params are the dials, from the policy and the model.
type Params struct {
	Policy          Policy
	Candidates      int
	RecomputeWeight float64 // ms per recomputed token
	PrefillMS       float64 // ms to compute one prompt token
	DecodeMS        float64 // ms a running request adds to a first token
}

// Action says how the prompt's cache is obtained.
type Action uint8

// Actions.
const (
	Recompute Action = iota // compute what is not resident
	Reuse                   // the whole chain is believed resident
	Restore                 // import from a store what is not resident
)

// String names the action for operators.
func (a Action) String() string { return [...]string{"recompute", "reuse", "restore"}[a] }

// Candidate is one target considered, with its predicted cost.
type Candidate struct {
	Target    string  `json:"target"`
	Home      bool    `json:"home"` // found by hashing, not at random
	WaitMS    float64 `json:"wait_ms"`
	RTTMS     float64 `json:"rtt_ms"`
	PrefillMS float64 `json:"prefill_ms"`
	Resident  int     `json:"resident_chunks"`
	Recompute int     `json:"recompute_tokens"`
	CostMS    float64 `json:"cost_ms"`
	Action    string  `json:"action"`
}

// MaxCandidates bounds the candidates of one decision.
const MaxCandidates = 16

// Decision is the outcome with its reasons.
type Decision struct {
	Target     *Target // nil: no target may serve the query
	Action     Action
	Candidates [MaxCandidates]Candidate
	N          int
	FirstMS    float64 // predicted time to first token of the choice
	Filtered   Filtered
}

// Filtered counts the targets that were passed over, by reason.
type Filtered struct {
	State   int `json:"state"`
	Version int `json:"version"`
	Adapter int `json:"adapter"`
	Tried   int `json:"tried"`
}

// randomCandidates is the "two choices" beside the homes: they let a prompt
// leave a home that is slow or busy.
const randomCandidates = 2

// Pick decides one query.
func Pick(s *Snapshot, q *Query, p Params, h Hints, d *Decision) {
	*d = Decision{}
	best := math.Inf(1)
	pl := s.pools[poolKey{q.Model, q.Version}]
	d.Filtered = s.passedOver(q.Model, pl)
	if pl == nil {
		return
	}
	if p.Policy != Cost {
		pickBaseline(s, pl, q, p, h, d)
		return
	}
	var chosen [MaxCandidates]int32
	n := gather(s, pl, q, p, &chosen, &d.Filtered)
	first := firstHome(s, q, chosen[:n])
	for _, i := range chosen[:n] {
		t := &s.Targets[i&^randomMark]
		c, action, firstMS := predict(t, q, p, h)
		c.Home = i&randomMark == 0
		if i != first && c.Resident == 0 {
			c.CostMS += stray(c.Home) * float64(q.Tokens) * p.PrefillMS
		}
		d.Candidates[d.N] = c
		d.N++
		if c.CostMS < best {
			best, d.Target, d.Action, d.FirstMS = c.CostMS, t, action, firstMS
		}
	}
}

// strayShare is the share of a prompt's prefill that the first home is trusted
// to save where nothing is known of residency. So a prompt that returns through
// another instance finds its cache, as long as the first home's queue is not
// longer than that.
const strayShare = 0.3

// stray is the share of the prefill that a candidate other than the first home
// is charged. Another home may hold the head that the root's prompts share; a
// random target holds nothing.
func stray(home bool) float64 {
	if home {
		return strayShare
	}
	return 2 * strayShare
}

// firstHome orders the homes by the prompt's longest key: all prompts of a
// root share its homes, each draft or session of them has its own first one.
func firstHome(s *Snapshot, q *Query, chosen []int32) int32 {
	if len(q.Keys) == 0 {
		return -1
	}
	last := binary.LittleEndian.Uint64(q.Keys[len(q.Keys)-1][:8])
	best, top := int32(-1), uint64(0)
	for _, i := range chosen {
		if i&randomMark != 0 {
			continue
		}
		if score := mix(last ^ xxhash.Sum64String(s.Targets[i].Name)); best < 0 || score > top {
			best, top = i, score
		}
	}
	return best
}

// randomMark tells a random candidate's index from a home's.
const randomMark = 1 << 30

// gather lists the candidates: the first homes of the prompt's root that pass
// the filter, then some at random. When no home passes, the whole pool is
// gone through, so that there is a candidate whenever any target passes.
func gather(s *Snapshot, pl *pool, q *Query, p Params, out *[MaxCandidates]int32, f *Filtered) int {
	want := min(max(p.Candidates, 1), MaxCandidates-randomCandidates)
	n := 0
	for _, i := range pl.homes(rootHash(q)) {
		if n < want && i >= 0 && admit(&s.Targets[i], q, f) {
			out[n] = i
			n++
		}
	}
	rnd := q.Rand
	for range randomCandidates {
		rnd = mix(rnd)
		i := pl.ready[rnd%uint64(len(pl.ready))]
		if !seen(out[:n], i) && admit(&s.Targets[i], q, nil) {
			out[n] = i | randomMark
			n++
		}
	}
	if n > 0 {
		return n
	}
	best := scored{index: -1}
	for _, i := range pl.ready {
		t := &s.Targets[i]
		if !admit(t, q, f) {
			continue
		}
		if score := mix(rootHash(q) ^ xxhash.Sum64String(t.Name)); best.index < 0 || score > best.score {
			best = scored{score, i}
		}
	}
	if best.index < 0 {
		return 0
	}
	out[0] = best.index
	return 1
}

func seen(list []int32, index int32) bool {
	for _, i := range list {
		if i&^randomMark == index {
			return true
		}
	}
	return false
}

// rootHash identifies the prompt's first chunk; a prompt shorter than a chunk
// has no cache worth a home and is spread at random.
func rootHash(q *Query) uint64 {
	if len(q.Keys) == 0 {
		return mix(q.Rand)
	}
	return binary.LittleEndian.Uint64(q.Keys[0][:8]) // a key is a hash already
}

// mix is the finalizer of SplitMix64: every input bit changes every output bit.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// admit is the part of the filter that depends on the query: adapter, and not
// yet tried. State, model and version are settled by the pool.
func admit(t *Target, q *Query, f *Filtered) bool {
	if f == nil {
		f = &Filtered{}
	}
	switch {
	case q.Adapter != "" && !has(t.Adapters, q.Adapter):
		f.Adapter++
	case has(q.Exclude, t.Name), q.AvoidZone != "" && t.Zone == q.AvoidZone:
		f.Tried++
	default:
		return true
	}
	return false
}

func has(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// predict is the one cost model:
// wait + rtt + min(recompute, restore) + weight * recomputed tokens.
func predict(t *Target, q *Query, p Params, h Hints) (Candidate, Action, float64) {
	resident := h.Resident(t.Name, q.Keys)
	covered := resident * prefix.ChunkBytes / prefix.BytesPerToken
	missing := max(q.Tokens-covered, 0)
	compute := float64(missing) * p.PrefillMS
	action := Recompute
	if resident > 0 && resident == len(q.Keys) {
		action = Reuse
	}
	recomputed := missing
	if q.Stored > resident {
		fetch := q.Stored - resident
		left := max(q.Tokens-q.Stored*prefix.ChunkBytes/prefix.BytesPerToken, 0)
		restore := q.StoreMS*float64(fetch)/float64(q.Stored) + float64(left)*p.PrefillMS
		if restore+p.RecomputeWeight*float64(left) < compute+p.RecomputeWeight*float64(missing) {
			compute, recomputed, action = restore, left, Restore
		}
	}
	wait := waitMS(t, p, h)
	first := wait + t.RTT + compute
	cost := first + p.RecomputeWeight*float64(recomputed)
	return Candidate{Target: t.Name, WaitMS: wait, RTTMS: t.RTT, PrefillMS: compute, Resident: resident,
		Recompute: recomputed, CostMS: cost, Action: action.String()}, action, first
}

// waitMS predicts the queue in front of a new prompt. A report is believed
// less as it ages; this instance's own work since then is added in full.
func waitMS(t *Target, p Params, h Hints) float64 {
	runs, tokens := h.Inflight(t.Name)
	trust := reportHalfLife / (reportHalfLife + t.ReportMS)
	queue := max(float64(t.Queued)*trust, float64(tokens))
	running := max(float64(t.Running)*trust, float64(runs))
	wait := queue*p.PrefillMS + running*p.DecodeMS
	if over := running - float64(t.Slots); over > 0 {
		wait += over * fullSlotMS
	}
	return wait
}

// Constants of the wait model.
const (
	reportHalfLife = 2000.0 // ms after which a report counts half
	fullSlotMS     = 50.0   // ms for each run beyond the batch
)
