package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/attempt"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/quarantine"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// A request that crashes targets ends each target incarnation in which it runs; so does each request with
// a part in its prompt that crashes them. What is known of it must therefore outlive targets and instances,
// and reach all instances before the request is sent again. Which of the requests that ran at a crashed
// target is to blame, and whether it is one of its parts, shows by what gets answers elsewhere. Each crash is reported to all instances. Requests with more than one crash are also
// written to the object store, for instances that start when no other is left
// (quarantine_store.go).

// handleCrash records the requests that were running at a target when it crashed. If the target had
// announced that it leaves, or is no longer listed, no request is blamed for its end.
func (g *Gateway) handleCrash(t *catalog.Target, interrupted []interruptedRequest) {
	listed := g.view.Load().Targets[t.ID]
	if listed == nil || listed.IsLeaving() {
		g.log.WithField("target", t.ID).WithField("requests", len(interrupted)).Info("target ended as announced")
		return
	}
	now := g.now()
	incarnation := quarantine.Incarnation(xxhash.Sum64String(t.ID))
	var reports []quarantine.Report
	persist := false
	recorded := map[quarantine.Key]bool{}
	for _, r := range interrupted {
		for _, suspect := range r.suspects {
			if recorded[suspect.key] {
				continue // a part that several of the requests share
			}
			recorded[suspect.key] = true
			report, counted := g.quarantine.RecordCrash(suspect.key, suspect.label, incarnation, now)
			if counted {
				reports = append(reports, report)
			}
			s, _ := g.quarantine.Lookup(suspect.key, now)
			persist = persist || s.Reportable()
			if suspect.label.Part == "" || counted {
				suspect.log(g.log).WithField("request", r.id).WithField("target", t.ID).WithField("crashes", s.Crashes).
					WithField("answered_lately", s.Crashes == 0).Info("target crashed under a request")
			}
		}
	}
	g.spreadSuspects(reports, "")
	g.suspectsDue.Raise()
	if persist {
		g.scheduleSuspectsWrite()
	}
}

// suspect is what may be to blame if a target crashes under a request: the request itself, or a part of its
// prompt.
type suspect struct {
	key   quarantine.Key
	label quarantine.Label
	// shared marks a part of all customers. It follows the same part of the request's own customer, and counts
	// against the request only if that has crashed a target too: no customer can have another one refused.
	shared bool
}

func (s suspect) log(l log.Interface) *log.Entry {
	e := l.WithField("key", s.key.String()).WithField("customer", s.label.Customer).WithField("route", s.label.Route)
	if s.label.Part != "" {
		e = e.WithField("part", s.label.Part)
	}
	return e
}

// maxSuspectParts bounds the parts of a prompt that are suspected, the first ones.
const maxSuspectParts = 32

// suspects returns what may be to blame if a target crashes under the request. The last part of a prompt is in
// no other request.
func (x *exchange) suspects() []suspect {
	if x.suspectsCache != nil {
		return x.suspectsCache
	}
	label := quarantine.Label{Customer: x.customerName(), Route: x.routeName()}
	whole := quarantine.KeyOf(quarantine.Request{Customer: label.Customer, Method: x.r.Method, Host: x.r.Host, URI: x.r.URL.RequestURI(), Body: x.body.Pieces()})
	out := []suspect{{key: whole, label: label}}
	if p := x.call.Prompt; p != nil && len(p.Parts) > 1 {
		shared := p.Parts[:len(p.Parts)-1]
		for _, part := range shared[:min(len(shared), maxSuspectParts)] {
			key := quarantine.Part{Customer: label.Customer, Model: p.Model, ID: part.ID}
			label.Part = part.ID
			out = append(out, suspect{key: quarantine.KeyOfPart(key), label: label})
			if x.customer != nil && !x.view.Config.Isolates(x.customer) {
				key.Customer = quarantine.AllCustomers
				out = append(out, suspect{key: quarantine.KeyOfPart(key), label: quarantine.Label{Route: label.Route, Part: part.ID}, shared: true})
			}
		}
	}
	x.suspectsCache = out
	return out
}

// quarantineKey returns the key that the request shares with equivalent ones.
func (x *exchange) quarantineKey() quarantine.Key { return x.suspects()[0].key }

// recordSuccess records a complete response to a request, which clears it and the parts of its prompt of
// suspicion.
func (g *Gateway) recordSuccess(x *exchange) {
	for _, suspect := range x.suspects() {
		report, suspected := g.quarantine.RecordAnswer(suspect.key, g.now())
		if !suspected {
			continue
		}
		suspect.log(g.log).WithField("request", x.call.ID).WithField("targets", x.triedTargets).WithField("crashes", len(report.Crashes)).
			Info("request got a complete response, requests with its key are no longer suspected")
		g.spreadSuspects([]quarantine.Report{report}, "")
		if report.Reportable() {
			g.scheduleSuspectsWrite()
		}
	}
}

// SuspectsRequest sends an instance's reports on requests under which targets crashed.
type SuspectsRequest struct {
	From    string              `cbor:"1,keyasint"`
	Reports []quarantine.Report `cbor:"2,keyasint,omitempty"`
	WantAll bool                `cbor:"3,keyasint,omitempty"` // reply with all reports of the receiver
}

// SuspectsReply is the reply to a SuspectsRequest.
type SuspectsReply struct {
	From    string              `cbor:"1,keyasint"`
	Reports []quarantine.Report `cbor:"2,keyasint,omitempty"`
}

// Suspects handles a peer's SuspectsRequest.
func (h *peerHandler) Suspects(req *SuspectsRequest, out *SuspectsReply) error {
	h.g.mergeSuspects(req.Reports, req.From)
	out.From = h.g.settings().Name
	if req.WantAll {
		out.Reports = h.g.quarantine.Reports(h.g.now())
	}
	return nil
}

// mergeSuspects merges the reports of a peer, forwards those that bring something new, and sends
// this instance's objections to all.
func (g *Gateway) mergeSuspects(reports []quarantine.Report, from string) {
	if len(reports) == 0 {
		return
	}
	updates, objections := g.quarantine.Merge(reports, g.now())
	g.spreadSuspects(updates, from)
	g.spreadSuspects(objections, "")
	if len(updates)+len(objections) > 0 {
		g.suspectsDue.Raise()
	}
}

// spreadSuspects queues reports for the neighbours: for all if from is "", else for those to which
// the reports of neighbour from are relayed.
func (g *Gateway) spreadSuspects(reports []quarantine.Report, from string) {
	for _, report := range reports {
		g.suspectsOutbox.add(from, report.Key, report)
	}
}

// suspectsDelay is how long crash reports wait to be batched, on each hop through the fleet:
// when the targets of a zone fail, hundreds arrive at once, which a neighbour gets in one
// message.
const suspectsDelay = 25 * time.Millisecond

// reportSuspects sends the contents of the outbox to the neighbours whenever there are any, until
// ctx ends.
func (g *Gateway) reportSuspects(ctx context.Context) {
	g.suspectsOutbox.run(ctx, g, func(n neighbour, reports []quarantine.Report) {
		req := &SuspectsRequest{From: g.settings().Name, Reports: quarantine.TopReports(reports)}
		g.spawn(func() { g.sendSuspects(n.Member, req) })
	})
}

// sendSuspects sends reports to one peer and merges those of its reply. compareSuspects makes up for
// messages that do not arrive.
func (g *Gateway) sendSuspects(m member.Member, req *SuspectsRequest) {
	ctx, cancel := context.WithTimeout(g.ctx, peerTimeout)
	defer cancel()
	var reply SuspectsReply
	if err := g.pool.Call(ctx, m.Address, peerService+".Suspects", req, &reply); err != nil {
		g.log.WithError(err).WithField("peer", m.Name).WithField("words", len(req.Reports)).Info("suspected requests not told")
		return
	}
	g.mergeSuspects(reply.Reports, reply.From)
}

// compareInterval is the minimum time between two comparisons. A report spreads through the fleet
// within this time.
const compareInterval = time.Second

// compareSuspects exchanges all reports with a peer if its digest differs from this instance's: one
// of the two has just started or was isolated.
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

// quarantined returns the states of what the request is rejected for, and how long to wait for objections until
// it is clear what else it is rejected for.
func (x *exchange) quarantined() (rejected []quarantine.State, pending time.Duration) {
	now := x.g.now()
	var before quarantine.State // of the suspect before
	for _, suspect := range x.suspects() {
		s, _ := x.g.quarantine.Lookup(suspect.key, now)
		if suspect.shared && before.Crashes == 0 {
			continue
		}
		if s.Rejected {
			rejected = append(rejected, s)
		}
		pending = max(pending, s.Pending)
		before = s
	}
	return rejected, pending
}

// checkQuarantine reports whether the request is to be rejected now, and the state behind the
// decision. One request at a time is let through as a trial, to test whether it still crashes targets.
func (x *exchange) checkQuarantine() (quarantine.State, bool) {
	if x.isTrial || x.g.quarantine.Empty() {
		return quarantine.State{}, false
	}
	rejected, pending := x.quarantined()
	if pending > 0 {
		// Wait for objections: if sent now, the request may crash one more target; if rejected
		// now, it may be a harmless one.
		wait.For(x.ctx, pending)
		rejected, _ = x.quarantined()
	}
	if len(rejected) == 0 {
		return quarantine.State{}, false
	}
	last := slices.MaxFunc(rejected, func(a, b quarantine.State) int { return cmp.Compare(a.TrialIn, b.TrialIn) })
	if x.possibleRuns > 0 || last.TrialIn > 0 || !x.claimTrials(rejected) {
		return last, true
	}
	x.isTrial = true
	metric.QuarantineTrials.Inc()
	for _, s := range rejected {
		suspect{key: s.Key, label: s.Label}.log(x.g.log).WithField("request", x.call.ID).WithField("crashes", s.Crashes).WithField("trials", s.Trials+1).
			WithField("quarantined_ms", s.Age.Milliseconds()).Info("quarantined request let through as a trial")
	}
	return last, false
}

// claimTrials claims the right to let the request through as a trial of all that it is rejected for.
func (x *exchange) claimTrials(rejected []quarantine.State) bool {
	for _, s := range rejected {
		if !x.g.claimTrial(x.ctx, s.Key) {
			x.voidTrials()
			return false
		}
		x.trialKeys = append(x.trialKeys, s.Key)
	}
	return true
}

// voidTrials takes back the trials that the request has claimed: it has reached no target.
func (x *exchange) voidTrials() {
	for _, k := range x.trialKeys {
		if report, counted := x.g.quarantine.VoidTrial(k, x.g.now()); counted {
			x.g.spreadSuspects([]quarantine.Report{report}, "")
			x.g.scheduleSuspectsWrite()
		}
	}
	x.trialKeys = nil
}

// endTrial records that a trial ended without a response, if the request is one. A trial that
// reached no target proved nothing and is voided.
func (x *exchange) endTrial() {
	if !x.isTrial {
		return
	}
	x.isTrial = false
	sent := x.possibleRuns+x.refusals > 0
	x.g.log.WithField("request", x.call.ID).WithField("key", x.quarantineKey().String()).WithField("targets", x.triedTargets).WithField("sent", sent).
		Info("trial of a quarantined request ended without a response")
	if !sent {
		x.voidTrials()
	}
}

// refuseQuarantined rejects a quarantined request.
func (x *exchange) refuseQuarantined(s quarantine.State) {
	metric.QuarantineRejections.Inc()
	x.quarantineState = &s
	x.fail(x.machine.Quarantined(), attemptResult{event: attempt.NotSent, retryAfter: s.TrialIn})
}
