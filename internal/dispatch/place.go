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

// pin fixes the weight version, and with it the cache keys, of the whole run.
func (l *Live) pin() {
	m := l.req.Model
	root := prefix.RootHash(l.req.Customer.Secret, l.req.Canonical)
	l.pinTo(route.ChooseVersion(l.view.Targets, m.Name, m.Version, m.Versions, root))
}

func (l *Live) pinTo(version string) {
	l.version, l.rec.Version = version, version
	seed := prefix.NewSeed(l.req.Customer.Secret, l.req.Model.Name, version, l.req.Adapter)
	l.keys = seed.Chain(l.req.Canonical, l.keys[:0])
	l.names = hexKeys(l.keys)
	l.salt = seed.Salt()
}

// repin moves a run of which nothing was delivered to another allowed version,
// each at most once: its own may have left the fleet while it waited, and the
// targets that refused it may be the ones that now serve the other.
func (l *Live) repin() bool {
	if l.req.Canonical == "" {
		return false
	}
	l.pinned = append(l.pinned, l.version)
	l.view = l.d.View.Load()
	for _, v := range append([]string{l.req.Model.Version}, l.req.Model.Versions...) {
		if !slices.Contains(l.pinned, v) && l.view.Targets.Serves(l.req.Model.Name, v) {
			l.pinTo(v)
			l.tried = nil
			return true
		}
	}
	return false
}

// place asks for a target and writes down why it is the one.
func (l *Live) place() (*explain.Attempt, target.Extension, bool) {
	q := route.Query{Model: l.req.Model.Name, Version: l.version, Adapter: l.req.Adapter, Keys: l.keys, PromptTokens: l.tokens,
		Seed: rand.Uint64(), Sequence: l.d.turn.Add(1)}
	dec, k := l.decide(q)
	att := explain.Attempt{StartMS: l.sinceMS(), Filtered: dec.Filtered, Action: dec.Action.String(), PredictedMS: dec.FirstTokenMS,
		Candidates: append([]route.Candidate(nil), dec.Candidates[:dec.NumCandidates]...)}
	if dec.Target != nil {
		l.target, att.Target = dec.Target, dec.Target.Name
		l.tried = append(l.tried, dec.Target.Name)
	}
	ext := l.extension(&dec, k, &att)
	l.rec.Attempts = append(l.rec.Attempts, att)
	return &l.rec.Attempts[len(l.rec.Attempts)-1], ext, dec.Target != nil
}

// decide finds the target, and what a store keeps for the run there.
func (l *Live) decide(q route.Query) (dec route.Decision, k kept) {
	sick := l.d.ejected.EjectedForSelection()
	for {
		dec, k = l.pick(q, sick)
		if dec.Target == nil || slices.Contains(sick, dec.Target.Name) || l.d.ejected.AllowProbe(dec.Target.Name) {
			return dec, k
		}
		sick = append(sick, dec.Target.Name) // another run tries it
	}
}

// pick decides once. It passes over the sick if it can.
func (l *Live) pick(q route.Query, sick []string) (dec route.Decision, k kept) {
	l.choose(&q, &dec, sick)
	if dec.Target == nil || !l.worthLookup(&dec) {
		return dec, k
	}
	if k = l.d.lookup(l.ctx, l.view.Config, l.keys, l.names, dec.FirstTokenMS); k.found.Covered > 0 {
		q.StoredChunks, q.RestoreMS = k.found.Covered, k.ms
	}
	if k.found.Covered > 0 || l.d.ejected.InBackoff(dec.Target.Name) {
		l.chooseAgain(&q, &dec, sick)
	}
	return dec, k
}

// choose picks within ever fewer bounds, strictest first: a retry leaves the
// zone that failed, since a zone fails as a whole; nothing goes to the sick, or
// to a target twice. Each bound is given up only if no target is left within it;
// in the end all but the last tried may be tried again. What asks for rest gets
// nothing within any bound.
func (l *Live) choose(q *route.Query, dec *route.Decision, sick []string) {
	resting := asking(l.d.ejected)
	l.asking = false
	well := slices.Concat(sick, l.tried)
	last := l.tried[max(len(l.tried)-1, 0):]
	bounds := [...]struct {
		zone    string
		exclude []string
	}{{l.failedZone, well}, {"", well}, {"", l.tried}, {"", last}}
	for i, b := range bounds {
		q.ExcludeZone, q.ExcludeTargets = b.zone, slices.Concat(resting, b.exclude)
		route.Pick(l.view.Targets, q, l.params(), l.d.beliefs(), dec)
		if dec.Target == nil {
			continue
		}
		if i == len(bounds)-1 {
			l.tried = last // a new round
		}
		return
	}
	l.asking = l.wouldServe(*q, resting)
}

// chooseAgain picks within the bounds of the choice before, without what has asked for rest
// since, or else chooses anew.
func (l *Live) chooseAgain(q *route.Query, dec *route.Decision, sick []string) {
	q.ExcludeTargets = append(asking(l.d.ejected), q.ExcludeTargets...)
	route.Pick(l.view.Targets, q, l.params(), l.d.beliefs(), dec)
	if dec.Target == nil {
		l.choose(q, dec, sick)
	}
}

// wouldServe says whether one of the targets that ask for rest could take the run.
func (l *Live) wouldServe(q route.Query, resting []string) bool {
	if len(resting) == 0 {
		return false
	}
	q.ExcludeZone, q.ExcludeTargets = "", nil
	var dec route.Decision
	route.Pick(l.view.Targets, &q, l.params(), l.d.beliefs(), &dec)
	return dec.Target != nil && slices.Contains(resting, dec.Target.Name)
}

// extension is what the engine must know of this attempt.
func (l *Live) extension(dec *route.Decision, k kept, att *explain.Attempt) target.Extension {
	ext := target.Extension{Version: l.version, Adapter: l.req.Adapter, Priority: l.req.Customer.Priority, Salt: l.salt,
		Keys: l.names, Resume: l.text.String()}
	switch {
	case dec.Action == route.Restore:
		att.Store = k.store.Name
		ext.Import = &target.Import{Stores: []string{k.store.Address}, Manifest: k.found.Manifest, CoveredKeys: k.found.Covered}
	case dec.Action == route.Reuse && l.worthKeeping():
		// The belief may be stale: name the stores, so that the engine, which
		// knows what it holds, can fetch what it lacks instead of computing it.
		var names, addresses []string
		for _, s := range l.d.homeStores(l.view.Config, l.keys[0]) {
			names, addresses = append(names, s.Name), append(addresses, s.Address)
		}
		if len(names) > 0 {
			att.Store = strings.Join(names, " ")
			ext.Import = &target.Import{Stores: addresses}
		}
	}
	return ext
}

// worthLookup says whether a store could spare enough work to be asked.
func (l *Live) worthLookup(dec *route.Decision) bool {
	if len(l.keys) == 0 || dec.Action == route.Reuse || l.view.Policy.NoStores {
		return false
	}
	for i := range dec.NumCandidates {
		if dec.Candidates[i].Target == dec.Target.Name {
			return dec.Candidates[i].RecomputeTokens >= l.view.Policy.MinSaveTokens/2
		}
	}
	return false
}

func (l *Live) params() route.Params {
	return route.Params{Policy: route.Policy(l.view.Policy.Router), HomeCandidates: l.view.Policy.Candidates, RecomputeWeightMS: l.view.Policy.RecomputeWeight,
		PrefillMSPerToken: l.req.Model.PrefillUSPerToken / 1000, DecodeMSPerRequest: decodeMS}
}

// decodeMS is what one running request adds to another's first token, in ms.
const decodeMS = 0.5

// priorityStep is the part of the first-token bound that each step of priority
// gives up.
const priorityStep = 0.05

// shed refuses, at once and before anything is sent, a request whose first
// token would come too late. It tells when the queue will have shrunk.
func (l *Live) shed(att *explain.Attempt) error {
	bound := l.req.Model.MaxFirstTokenMS * (1 - priorityStep*float64(l.req.Customer.Priority))
	if bound <= 0 || l.retries > 0 || l.sinceMS()+att.PredictedMS <= bound {
		return nil
	}
	att.Result = "shed"
	l.ending = true
	l.close(string(problem.Overloaded), problem.NotRun)
	late := time.Duration((l.sinceMS() + att.PredictedMS - bound) * float64(time.Millisecond))
	return &problem.Problem{Kind: problem.Overloaded, Execution: problem.NotRun, RequestID: l.req.ID, RetryAfter: max(late, time.Second),
		Detail: "the first token would come later than the model's bound"}
}
