package gateway

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/attempt"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/quarantine"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// A request that crashes its targets ends every life of a target in which it runs: what is
// known of it must outlive targets and instances, and reach all instances before it comes
// again. Each crash is told to all instances; what concerns more than one crash is written to
// the object store too, for instances that start when no other is left (quarantine_store.go).

// crashed takes what was under way at a target when it crashed. An end that was announced is
// no request's doing.
func (g *Gateway) crashed(t *catalog.Target, broken []brokenRequest) {
	listed := g.view.Load().Targets[t.ID]
	if listed == nil || listed.IsLeaving() {
		g.log.WithField("target", t.ID).WithField("requests", len(broken)).Info("target ended as announced")
		return
	}
	now := g.now()
	life := quarantine.Incarnation(xxhash.Sum64String(t.ID))
	var words []quarantine.Report
	keep := false
	for _, r := range broken {
		w, against := g.quarantine.RecordCrash(r.key, quarantine.Label{Customer: r.customer, Route: r.route}, life, now)
		if against {
			words = append(words, w)
		}
		s, _ := g.quarantine.Lookup(r.key, now)
		keep = keep || s.Reportable()
		g.log.WithField("request", r.id).WithField("key", r.key.String()).WithField("customer", r.customer).WithField("route", r.route).
			WithField("target", t.ID).WithField("crashes", s.Crashes).WithField("answered_lately", s.Crashes == 0).Info("target crashed under a request")
	}
	g.spreadSuspects(words, "")
	g.suspectsDue.Raise()
	if keep {
		g.keepSuspects()
	}
}

// answered takes that a request was answered whole, which speaks for all that are alike.
func (g *Gateway) answered(x *exchange) {
	w, suspected := g.quarantine.RecordAnswer(x.alike(), g.now())
	if !suspected {
		return
	}
	g.log.WithField("request", x.call.ID).WithField("key", x.alike().String()).WithField("targets", x.targets).WithField("crashes", len(w.Crashes)).
		Info("request answered whole, those like it are no longer suspected")
	g.spreadSuspects([]quarantine.Report{w}, "")
	if w.Reportable() {
		g.keepSuspects()
	}
}

// Suspects is an instance's word on requests under which targets crashed.
type Suspects struct {
	From  string              `cbor:"1,keyasint"`
	Words []quarantine.Report `cbor:"2,keyasint,omitempty"`
	All   bool                `cbor:"3,keyasint,omitempty"` // answer with all words of the receiver
}

// SuspectsHeard is the answer to Suspects.
type SuspectsHeard struct {
	From  string              `cbor:"1,keyasint"`
	Words []quarantine.Report `cbor:"2,keyasint,omitempty"`
}

// Suspects takes a peer's word.
func (h *peerHandler) Suspects(req *Suspects, out *SuspectsHeard) error {
	h.g.takeSuspects(req.Words, req.From)
	out.From = h.g.settings().Name
	if req.All {
		out.Words = h.g.quarantine.Reports(h.g.now())
	}
	return nil
}

// takeSuspects merges the words of a peer, and passes on what is new.
func (g *Gateway) takeSuspects(words []quarantine.Report, from string) {
	if len(words) == 0 {
		return
	}
	news, objections := g.quarantine.Merge(words, g.now())
	g.spreadSuspects(news, from)
	g.spreadSuspects(objections, "")
	if len(news)+len(objections) > 0 {
		g.suspectsDue.Raise()
	}
}

// spreadSuspects has words told to the neighbours: to all, or to those to whom the words of
// one of them are passed on.
func (g *Gateway) spreadSuspects(words []quarantine.Report, from string) {
	if len(words) == 0 {
		return
	}
	g.suspectsOut.add(words, from)
	g.tellDue.Raise()
}

// tellCrashes empties the outbox, whenever there is something in it.
func (g *Gateway) tellCrashes(ctx context.Context) {
	for ctx.Err() == nil {
		if !g.tellDue.Wait(ctx, quarantine.Retention) || !wait.For(ctx, outboxGap) {
			continue
		}
		near := g.view.Load().Tree.neighbours()
		told := g.suspectsOut.take(near)
		for _, n := range near {
			if words := told[n.Name]; len(words) > 0 {
				g.start(func() { g.tellSuspects(n.Member, &Suspects{From: g.settings().Name, Words: words}) })
			}
		}
	}
}

// tellSuspects tells one peer. What does not arrive is made up for by compareSuspects.
func (g *Gateway) tellSuspects(m member.Member, req *Suspects) {
	ctx, cancel := context.WithTimeout(g.ctx, peerTimeout)
	defer cancel()
	var out SuspectsHeard
	if err := g.pool.Call(ctx, m.Address, peerService+".Suspects", req, &out); err != nil {
		g.log.WithError(err).WithField("peer", m.Name).WithField("words", len(req.Words)).Info("suspected requests not told")
		return
	}
	g.takeSuspects(out.Words, out.From)
}

// compareGap is the least time between two comparisons: a word takes no longer to spread.
const compareGap = time.Second

// compareSuspects exchanges all words with a peer that believes otherwise: one of the two
// has started, or was cut off. digest is the peer's.
func (g *Gateway) compareSuspects(m member.Member, digest uint64) {
	if m.Address == "" || digest == g.quarantine.Digest(g.now()) {
		return
	}
	last, now := g.compared.Load(), int64(g.now().Sub(g.began))
	if last != 0 && now-last < int64(compareGap) || !g.compared.CompareAndSwap(last, max(now, 1)) {
		return
	}
	req := &Suspects{From: g.settings().Name, Words: g.quarantine.Reports(g.now()), All: true}
	g.start(func() { g.tellSuspects(m, req) })
}

// rejected says whether the request is to be kept from targets now, and by what belief. One
// request at a time is let through to try whether the belief is right.
func (x *exchange) rejected() (quarantine.State, bool) {
	if x.trial || x.g.quarantine.Empty() {
		return quarantine.State{}, false
	}
	s, known := x.g.quarantine.Lookup(x.alike(), x.g.now())
	if known && s.Pending > 0 {
		// Sent on it may cost one more target, rejected it may be an innocent's.
		wait.For(x.ctx, s.Pending)
		s, known = x.g.quarantine.Lookup(x.alike(), x.g.now())
	}
	if !known || !s.Rejected {
		return s, false
	}
	if x.ran > 0 || s.TrialIn > 0 || !x.g.claimTrial(x.ctx, s.Key) {
		return s, true
	}
	x.trial = true
	metric.QuarantineTrials.Inc()
	x.g.log.WithField("request", x.call.ID).WithField("key", s.Key.String()).WithField("crashes", s.Crashes).WithField("trials", s.Trials+1).
		WithField("quarantined_ms", s.Age.Milliseconds()).Info("quarantined request let through as a trial")
	return s, false
}

// endTrial notes what a trial that ends without an answer showed, if the request is one: if
// it reached no target, nothing.
func (x *exchange) endTrial() {
	if !x.trial {
		return
	}
	x.trial = false
	sent := x.ran+x.refusals > 0
	x.g.log.WithField("request", x.call.ID).WithField("key", x.alike().String()).WithField("targets", x.targets).WithField("sent", sent).
		Info("trial of a quarantined request ended without an answer")
	if sent {
		return
	}
	if w, counted := x.g.quarantine.VoidTrial(x.alike(), x.g.now()); counted {
		x.g.spreadSuspects([]quarantine.Report{w}, "")
		x.g.keepSuspects()
	}
}

// reject ends a request that is kept from targets.
func (x *exchange) reject(s quarantine.State) {
	metric.QuarantineRejections.Inc()
	x.suspect = &s
	x.failAfter(x.machine.Quarantined(), ending{event: attempt.NotSent, retryAfter: s.TrialIn})
}
