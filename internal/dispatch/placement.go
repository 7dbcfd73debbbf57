package dispatch

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/prefix"
	"github.com/shedhoist/shedhoist/internal/core/route"
	"github.com/shedhoist/shedhoist/internal/explain"
	"github.com/shedhoist/shedhoist/internal/problem"
	"github.com/shedhoist/shedhoist/internal/target"
)

// pinVersion chooses the weight version of the run, and with it the cache keys.
func (r *Run) pinVersion() {
	m := r.req.Model
	root := prefix.RootHash(r.req.Customer.Secret, r.req.Canonical)
	r.setVersion(route.ChooseVersion(r.view.Targets, m.Name, m.Version, m.Versions, root))
}

func (r *Run) setVersion(version string) {
	r.version, r.rec.Version = version, version
	seed := prefix.NewSeed(r.req.Customer.Secret, r.req.Model.Name, version, r.req.Adapter)
	r.keys = seed.Chain(r.req.Canonical, r.keys[:0])
	r.keyNames = hexKeys(r.keys)
	r.salt = seed.Salt()
}

// switchVersion moves a run that has delivered nothing to another allowed version that
// the fleet serves, and reports whether there is one. Each version is used at most once.
// The run's own version may have left the fleet while the run waited, and the targets
// that refused it may be those that now serve the other version.
func (r *Run) switchVersion() bool {
	if r.req.Canonical == "" {
		return false
	}
	r.triedVersions = append(r.triedVersions, r.version)
	r.view = r.d.View.Load()
	for _, v := range append([]string{r.req.Model.Version}, r.req.Model.Versions...) {
		if !slices.Contains(r.triedVersions, v) && r.view.Targets.Serves(r.req.Model.Name, v) {
			r.setVersion(v)
			r.triedTargets = nil
			return true
		}
	}
	return false
}

// placeAttempt picks a target for the next attempt and records the reasons. The last
// result is false if there is no target.
func (r *Run) placeAttempt() (*explain.Attempt, target.Extension, bool) {
	q := route.Query{Model: r.req.Model.Name, Version: r.version, Adapter: r.req.Adapter, Keys: r.keys, PromptTokens: r.promptTokens,
		Seed: rand.Uint64(), Sequence: r.d.routeSequence.Add(1)}
	dec, answer := r.pickTarget(q)
	att := explain.Attempt{StartMS: r.elapsedMS(), Filtered: dec.Filtered, Action: dec.Action.String(), PredictedMS: dec.FirstTokenMS,
		Candidates: append([]route.Candidate(nil), dec.Candidates[:dec.NumCandidates]...)}
	if dec.Target != nil {
		r.target, att.Target = dec.Target, dec.Target.Name
		r.triedTargets = append(r.triedTargets, dec.Target.Name)
	}
	ext := r.extension(&dec, answer, &att)
	r.rec.Attempts = append(r.rec.Attempts, att)
	return &r.rec.Attempts[len(r.rec.Attempts)-1], ext, dec.Target != nil
}

// pickTarget picks a target, and returns what a store holds for the run.
func (r *Run) pickTarget(q route.Query) (dec route.Decision, answer lookupAnswer) {
	ejected := r.d.targetBreakers.EjectedForSelection()
	for {
		dec, answer = r.pickWithStores(q, ejected)
		if dec.Target == nil || slices.Contains(ejected, dec.Target.Name) || r.d.targetBreakers.AllowProbe(dec.Target.Name) {
			return dec, answer
		}
		ejected = append(ejected, dec.Target.Name) // another run probes it
	}
}

// pickWithStores picks a target, and once more if the stores hold part of the prompt or
// the target requested a backoff during the lookup. It avoids ejected targets if it can.
func (r *Run) pickWithStores(q route.Query, ejected []string) (dec route.Decision, answer lookupAnswer) {
	r.pickWithinBounds(&q, &dec, ejected)
	if dec.Target == nil || !r.shouldLookup(&dec) {
		return dec, answer
	}
	if answer = r.d.lookupStores(r.ctx, r.view.Config, r.keys, r.keyNames, dec.FirstTokenMS); answer.result.Covered > 0 {
		q.StoredChunks, q.RestoreMS = answer.result.Covered, answer.restoreMS
	}
	if answer.result.Covered > 0 || r.d.targetBreakers.InBackoff(dec.Target.Name) {
		r.repick(&q, &dec, ejected)
	}
	return dec, answer
}

// pickWithinBounds picks a target within bounds that it relaxes step by step. At first
// it excludes the zone of the target that failed last, since a zone fails as a whole,
// all ejected targets and all targets tried before. A bound is dropped only if it leaves
// no target; in the end all but the last target may be tried again. Targets in backoff
// are always excluded.
func (r *Run) pickWithinBounds(q *route.Query, dec *route.Decision, ejected []string) {
	inBackoff := backoffTargets(r.d.targetBreakers)
	r.inBackoff = false
	unwanted := slices.Concat(ejected, r.triedTargets)
	lastTried := r.triedTargets[max(len(r.triedTargets)-1, 0):]
	bounds := [...]struct {
		zone    string
		exclude []string
	}{{r.failedZone, unwanted}, {"", unwanted}, {"", r.triedTargets}, {"", lastTried}}
	for i, b := range bounds {
		q.ExcludeZone, q.ExcludeTargets = b.zone, slices.Concat(inBackoff, b.exclude)
		route.Pick(r.view.Targets, q, r.routeParams(), r.d.routeHints(), dec)
		if dec.Target == nil {
			continue
		}
		if i == len(bounds)-1 {
			r.triedTargets = lastTried // start a new round over the targets
		}
		return
	}
	r.inBackoff = r.backoffTargetFits(*q, inBackoff)
}

// repick picks again within the bounds of the previous pick, without the targets that
// requested a backoff since. If none is left, it starts anew from the strictest bounds.
func (r *Run) repick(q *route.Query, dec *route.Decision, ejected []string) {
	q.ExcludeTargets = append(backoffTargets(r.d.targetBreakers), q.ExcludeTargets...)
	route.Pick(r.view.Targets, q, r.routeParams(), r.d.routeHints(), dec)
	if dec.Target == nil {
		r.pickWithinBounds(q, dec, ejected)
	}
}

// backoffTargetFits reports whether a target in backoff could serve the run.
func (r *Run) backoffTargetFits(q route.Query, inBackoff []string) bool {
	if len(inBackoff) == 0 {
		return false
	}
	q.ExcludeZone, q.ExcludeTargets = "", nil
	var dec route.Decision
	route.Pick(r.view.Targets, &q, r.routeParams(), r.d.routeHints(), &dec)
	return dec.Target != nil && slices.Contains(inBackoff, dec.Target.Name)
}

// extension returns the parameters of the attempt that are sent to the engine.
func (r *Run) extension(dec *route.Decision, answer lookupAnswer, att *explain.Attempt) target.Extension {
	ext := target.Extension{Version: r.version, Adapter: r.req.Adapter, Priority: r.req.Customer.Priority, Salt: r.salt,
		Keys: r.keyNames, Resume: r.deliveredText.String()}
	switch {
	case dec.Action == route.Restore:
		att.Store = answer.store.Name
		ext.Import = &target.Import{Stores: []string{answer.store.Address}, Manifest: answer.result.Manifest, CoveredKeys: answer.result.Covered}
	case dec.Action == route.Reuse && r.shouldSave():
		// The residency hint may be stale. With the stores' addresses the engine, which
		// knows what it holds, can fetch missing chunks instead of computing them.
		var names, addresses []string
		for _, s := range r.d.homeStores(r.view.Config, r.keys[0]) {
			names, addresses = append(names, s.Name), append(addresses, s.Address)
		}
		if len(names) > 0 {
			att.Store = strings.Join(names, " ")
			ext.Import = &target.Import{Stores: addresses}
		}
	}
	return ext
}

// shouldLookup reports whether a store could save enough work to be worth a lookup.
func (r *Run) shouldLookup(dec *route.Decision) bool {
	if len(r.keys) == 0 || dec.Action == route.Reuse || r.view.Policy.NoStores {
		return false
	}
	for i := range dec.NumCandidates {
		if dec.Candidates[i].Target == dec.Target.Name {
			return dec.Candidates[i].RecomputeTokens >= r.view.Policy.MinSaveTokens/2
		}
	}
	return false
}

func (r *Run) routeParams() route.Params {
	return route.Params{Policy: route.Policy(r.view.Policy.Router), HomeCandidates: r.view.Policy.Candidates, RecomputeWeightMS: r.view.Policy.RecomputeWeight,
		PrefillMSPerToken: r.req.Model.PrefillUSPerToken / 1000, DecodeMSPerRequest: decodeMSPerRequest}
}

// decodeMSPerRequest is the delay that each running request adds to another request's
// first token, ms.
const decodeMSPerRequest = 0.5

// priorityBoundShare is the share of the first-token bound by which each step of
// priority lowers it.
const priorityBoundShare = 0.05

// shedIfLate refuses a request whose first token is predicted to exceed the model's
// bound, before anything is sent. The Retry-After is the excess over the bound.
func (r *Run) shedIfLate(att *explain.Attempt) error {
	maxFirstTokenMS := r.req.Model.MaxFirstTokenMS * (1 - priorityBoundShare*float64(r.req.Customer.Priority))
	if maxFirstTokenMS <= 0 || r.retries > 0 || r.elapsedMS()+att.PredictedMS <= maxFirstTokenMS {
		return nil
	}
	att.Result = "shed"
	r.ended = true
	r.closeRecord(string(problem.Overloaded), problem.NotRun)
	excess := time.Duration((r.elapsedMS() + att.PredictedMS - maxFirstTokenMS) * float64(time.Millisecond))
	return &problem.Problem{Kind: problem.Overloaded, Execution: problem.NotRun, RequestID: r.req.ID, RetryAfter: max(excess, time.Second),
		Detail: "the first token would come later than the model's bound"}
}
