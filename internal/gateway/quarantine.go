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

// handleCrash takes what was under way at a target when it crashed. An end that was announced is
// no request's doing.
func (g *Gateway) handleCrash(t *catalog.Target, broken []interruptedRequest) {
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
		g.scheduleSuspectsWrite()
	}
}

// recordSuccess takes that a request was answered whole, which speaks for all that are alike.
func (g *Gateway) recordSuccess(x *exchange) {
	w, suspected := g.quarantine.RecordAnswer(x.quarantineKey(), g.now())
	if !suspected {
		return
	}
	g.log.WithField("request", x.call.ID).WithField("key", x.quarantineKey().String()).WithField("targets", x.triedTargets).WithField("crashes", len(w.Crashes)).
		Info("request answered whole, those like it are no longer suspected")
	g.spreadSuspects([]quarantine.Report{w}, "")
	if w.Reportable() {
		g.scheduleSuspectsWrite()
	}
}

// SuspectsRequest is an instance's word on requests under which targets crashed.
type SuspectsRequest struct {
	From    string              `cbor:"1,keyasint"`
	Reports []quarantine.Report `cbor:"2,keyasint,omitempty"`
	WantAll bool                `cbor:"3,keyasint,omitempty"` // answer with all words of the receiver
}

// SuspectsReply is the answer to Suspects.
type SuspectsReply struct {
	From    string              `cbor:"1,keyasint"`
	Reports []quarantine.Report `cbor:"2,keyasint,omitempty"`
}

// Suspects takes a peer's word.
func (h *peerHandler) Suspects(req *SuspectsRequest, out *SuspectsReply) error {
	h.g.mergeSuspects(req.Reports, req.From)
	out.From = h.g.settings().Name
	if req.WantAll {
		out.Reports = h.g.quarantine.Reports(h.g.now())
	}
	return nil
}

// mergeSuspects merges the words of a peer, and passes on what is new.
func (g *Gateway) mergeSuspects(words []quarantine.Report, from string) {
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
	g.suspectsOutbox.add(words, from)
	g.outboxDue.Raise()
}

// reportSuspects empties the outbox, whenever there is something in it.
func (g *Gateway) reportSuspects(ctx context.Context) {
	for ctx.Err() == nil {
		if !g.outboxDue.Wait(ctx, quarantine.Retention) || !wait.For(ctx, outboxDelay) {
			continue
		}
		near := g.view.Load().Tree.neighbours()
		told := g.suspectsOutbox.drain(near)
		for _, n := range near {
			if words := told[n.Name]; len(words) > 0 {
				g.spawn(func() { g.sendSuspects(n.Member, &SuspectsRequest{From: g.settings().Name, Reports: words}) })
			}
		}
	}
}

// sendSuspects tells one peer. What does not arrive is made up for by compareSuspects.
func (g *Gateway) sendSuspects(m member.Member, req *SuspectsRequest) {
	ctx, cancel := context.WithTimeout(g.ctx, peerTimeout)
	defer cancel()
	var out SuspectsReply
	if err := g.pool.Call(ctx, m.Address, peerService+".Suspects", req, &out); err != nil {
		g.log.WithError(err).WithField("peer", m.Name).WithField("words", len(req.Reports)).Info("suspected requests not told")
		return
	}
	g.mergeSuspects(out.Reports, out.From)
}

// compareInterval is the least time between two comparisons: a word takes no longer to spread.
const compareInterval = time.Second

// compareSuspects exchanges all words with a peer that believes otherwise: one of the two
// has started, or was cut off. digest is the peer's.
func (g *Gateway) compareSuspects(m member.Member, digest uint64) {
	if m.Address == "" || digest == g.quarantine.Digest(g.now()) {
		return
	}
	last, now := g.lastCompared.Load(), int64(g.now().Sub(g.startedAt))
	if last != 0 && now-last < int64(compareInterval) || !g.lastCompared.CompareAndSwap(last, max(now, 1)) {
		return
	}
	req := &SuspectsRequest{From: g.settings().Name, Reports: g.quarantine.Reports(g.now()), WantAll: true}
	g.spawn(func() { g.sendSuspects(m, req) })
}

// checkQuarantine says whether the request is to be kept from targets now, and by what belief. One
// request at a time is let through to try whether the belief is right.
func (x *exchange) checkQuarantine() (quarantine.State, bool) {
	if x.isTrial || x.g.quarantine.Empty() {
		return quarantine.State{}, false
	}
	s, known := x.g.quarantine.Lookup(x.quarantineKey(), x.g.now())
	if known && s.Pending > 0 {
		// Sent on it may cost one more target, rejected it may be an innocent's.
		wait.For(x.ctx, s.Pending)
		s, known = x.g.quarantine.Lookup(x.quarantineKey(), x.g.now())
	}
	if !known || !s.Rejected {
		return s, false
	}
	if x.possibleRuns > 0 || s.TrialIn > 0 || !x.g.claimTrial(x.ctx, s.Key) {
		return s, true
	}
	x.isTrial = true
	metric.QuarantineTrials.Inc()
	x.g.log.WithField("request", x.call.ID).WithField("key", s.Key.String()).WithField("crashes", s.Crashes).WithField("trials", s.Trials+1).
		WithField("quarantined_ms", s.Age.Milliseconds()).Info("quarantined request let through as a trial")
	return s, false
}

// endTrial notes what a trial that ends without an answer showed, if the request is one: if
// it reached no target, nothing.
func (x *exchange) endTrial() {
	if !x.isTrial {
		return
	}
	x.isTrial = false
	sent := x.possibleRuns+x.refusals > 0
	x.g.log.WithField("request", x.call.ID).WithField("key", x.quarantineKey().String()).WithField("targets", x.triedTargets).WithField("sent", sent).
		Info("trial of a quarantined request ended without an answer")
	if sent {
		return
	}
	if w, counted := x.g.quarantine.VoidTrial(x.quarantineKey(), x.g.now()); counted {
		x.g.spreadSuspects([]quarantine.Report{w}, "")
		x.g.scheduleSuspectsWrite()
	}
}

// refuseQuarantined ends a request that is kept from targets.
func (x *exchange) refuseQuarantined(s quarantine.State) {
	metric.QuarantineRejections.Inc()
	x.quarantineState = &s
	x.fail(x.machine.Quarantined(), attemptResult{event: attempt.NotSent, retryAfter: s.TrialIn})
}
