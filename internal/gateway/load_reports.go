package gateway

import (
	"context"
	"maps"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/inflight"
	"github.com/shedhoist/shedhoist/internal/loadreport"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Intervals of the load reports that instances exchange.
const (
	// loadReportInterval is the time between two reports in a small fleet.
	loadReportInterval = 120 * time.Millisecond
	// loadRelayInterval is the same in a large fleet, where a report takes three to five
	// hops. On the heaviest day of 82 instances, 50 ms per hop gains 0.15 in the value of
	// the responses to users over 120 ms, and loses nothing against 30 ms. It costs an
	// instance 0.3% of a core.
	loadRelayInterval = 50 * time.Millisecond
	// crossZoneEvery is the number of rounds per report to another zone. Traffic between
	// zones is expensive, and with 295 instances and 256 targets these reports are about
	// half of it (estimated: ten instances, nine peers each, 3 kB, 20 per second). Every
	// second round costs the heaviest day of 82 instances nothing (value 0.562 against 0.545
	// and 0.547); every fourth round costs it 0.03.
	crossZoneEvery = 2
	// loadReportTTL is how long a peer's report counts. Its weight decreases until then,
	// since targets meanwhile work off their queues.
	loadReportTTL = 360 * time.Millisecond
)

// LoadReport is the work in flight of an instance at all targets. In a large fleet it
// includes the work of the instances whose reports reach the receiver only through the
// sender.
type LoadReport struct {
	From    string                  `cbor:"1,keyasint"`
	Seq     uint64                  `cbor:"2,keyasint"` // increases with each report of a process
	Targets []loadreport.TargetWork `cbor:"3,keyasint,omitempty"`
	// Silent are targets that do not respond, including those that the sender relays.
	Silent []loadreport.TargetAge `cbor:"4,keyasint,omitempty"`
	// Answered are targets that others reported silent and that responded AgeMS ago.
	Answered []loadreport.TargetAge `cbor:"6,keyasint,omitempty"`
	// StorePositions is the position in each cache store up to which the sender, in a small
	// fleet, has read. Saves that it requested before it read that far, and that are still
	// unfinished, are in PendingSaves.
	StorePositions []StorePosition `cbor:"7,keyasint,omitempty"`
	// PendingSaves are parts whose saves are still pending, including those that the sender
	// relays.
	PendingSaves []loadreport.Key `cbor:"5,keyasint,omitempty"`
	// Requests are the mean numbers of requests at targets with few slots, including those that the
	// sender relays.
	Requests []loadreport.TargetRequests `cbor:"10,keyasint,omitempty"`
	// Customers are the customers' sums at services whose capacity is scarce, including those that the
	// sender relays. Most reports have none: they are sent once a second.
	Customers []loadreport.ServiceSums `cbor:"8,keyasint,omitempty"`
	// AtMostOncePrompts are cordoned targets at which prompts run that run at most once, including those
	// that the sender relays.
	AtMostOncePrompts []loadreport.Key `cbor:"12,keyasint,omitempty"`
}

// Ack is the empty reply to a LoadReport.
type Ack struct{}

// Loads applies a peer's load report.
func (h *peerHandler) Loads(req *LoadReport, _ *Ack) error {
	h.g.peerLoads.Apply(req.From, req.Seq, req.Targets, h.g.now())
	h.g.peerRequests.Apply(req.From, req.Seq, req.Requests, h.g.now())
	h.g.peerSilences.Apply(req.From, req.Seq, req.Silent, h.g.now())
	h.g.peerSilences.ApplyResponses(req.From, req.Seq, req.Answered, h.g.now())
	h.g.peerPendingSaves.Apply(req.From, req.Seq, req.PendingSaves, h.g.now())
	h.g.customerShares.peers.Apply(req.From, req.Seq, req.Customers, h.g.now())
	h.g.peerAtMostOncePrompts.Apply(req.From, req.Seq, req.AtMostOncePrompts, h.g.now())
	h.g.storePositions.record(req.From, req.Seq, req.StorePositions, h.g.now()) // after PendingSaves, see LoadReport.StorePositions
	return nil
}

// ownLoads returns the work in flight of this instance, by target.
func (g *Gateway) ownLoads() loadreport.WorkByTarget {
	out := loadreport.WorkByTarget{}
	g.upstream.inflight.Each(func(target string, load *inflight.Load) {
		out.Add(loadreport.KeyOf(target), loadreport.Work{Tokens: int(load.PrefillTokens.Load()), Memory: int(load.MemoryTokens.Load())})
	})
	return out
}

// ownSilentTargets returns the targets that have sent this instance no response for at least
// silenceThreshold.
func (g *Gateway) ownSilentTargets() []loadreport.TargetAge {
	var out []loadreport.TargetAge
	now := g.now()
	g.upstream.inflight.Each(func(target string, load *inflight.Load) {
		if silent := load.Responses.UnresponsiveFor(now); silent >= silenceThreshold && len(out) < loadreport.MaxUnresponsive {
			out = append(out, loadreport.TargetAge{Target: loadreport.KeyOf(target), AgeMS: silent.Milliseconds()})
		}
	})
	return out
}

// ownAnswered returns the targets that others report silent and that have responded to this
// instance since.
func (g *Gateway) ownAnswered(silences map[string][]loadreport.TargetAge) []loadreport.TargetAge {
	var out []loadreport.TargetAge
	now := g.now()
	reportedSilentMS := map[loadreport.Key]int64{} // longest reported silence
	for _, reported := range silences {
		for _, s := range reported {
			reportedSilentMS[s.Target] = max(reportedSilentMS[s.Target], s.AgeMS)
		}
	}
	if len(reportedSilentMS) == 0 {
		return nil
	}
	g.upstream.inflight.Each(func(target string, load *inflight.Load) {
		k := loadreport.KeyOf(target)
		silentMS, reported := reportedSilentMS[k]
		answeredMS := now.Sub(load.Responses.LastActivity()).Milliseconds()
		if reported && answeredMS < silentMS && len(out) < loadreport.MaxUnresponsive {
			out = append(out, loadreport.TargetAge{Target: k, AgeMS: answeredMS})
		}
	})
	return out
}

// loadReportPace returns the time between two reports.
func (g *Gateway) loadReportPace() time.Duration {
	if g.view.Load().Tree.small {
		return loadReportInterval
	}
	return loadRelayInterval
}

// reportLoads sends load reports to the neighbours, see reportState. A neighbour gets no report if
// it would be empty, unless the one before was not.
func (g *Gateway) reportLoads(ctx context.Context) {
	lastNonEmpty := map[string]bool{} // neighbours whose last report was not empty
	for seq := uint64(1); wait.For(ctx, g.loadReportPace()); seq++ {
		tree := g.view.Load().Tree
		state := g.collectReportState(tree)
		for _, n := range tree.neighbours() {
			if tree.isCrossZone(n.Member) && seq%crossZoneEvery != 0 {
				continue
			}
			report := state.reportTo(n)
			report.From, report.Seq = g.settings().Name, seq
			nonEmpty := !report.isEmpty()
			if !nonEmpty && !lastNonEmpty[n.Name] {
				continue
			}
			lastNonEmpty[n.Name] = nonEmpty
			g.spawn(func() { g.sendLoadReport(n.Member, report) })
		}
	}
}

// loadsToReport returns the loads for a neighbour: all that this instance knows, except what
// the neighbour reported itself or receives directly.
func (n neighbour) loadsToReport(own loadreport.WorkByTarget, others map[string]loadreport.WorkByTarget) loadreport.WorkByTarget {
	out := maps.Clone(own)
	for from, loads := range others {
		if n.relayedFrom[from] {
			out.AddAll(loads)
		}
	}
	return out
}

// silencesToReport returns the silent targets for a neighbour: the longest silence counts.
func (n neighbour) silencesToReport(own []loadreport.TargetAge, others map[string][]loadreport.TargetAge) []loadreport.TargetAge {
	return n.mergeTimes(own, others, func(a, b int64) int64 { return max(a, b) })
}

// answeredToReport returns the targets that responded for a neighbour: the latest response
// counts.
func (n neighbour) answeredToReport(own []loadreport.TargetAge, others map[string][]loadreport.TargetAge) []loadreport.TargetAge {
	return n.mergeTimes(own, others, func(a, b int64) int64 { return min(a, b) })
}

// mergeTimes merges own and relayed reports that carry a time. choose selects which of two
// times for the same target counts.
func (n neighbour) mergeTimes(own []loadreport.TargetAge, others map[string][]loadreport.TargetAge, choose func(a, b int64) int64) []loadreport.TargetAge {
	times := map[loadreport.Key]int64{}
	add := func(reported []loadreport.TargetAge) {
		for _, t := range reported {
			if ms, known := times[t.Target]; known {
				times[t.Target] = choose(ms, t.AgeMS)
				continue
			}
			times[t.Target] = t.AgeMS
		}
	}
	add(own)
	for from, reported := range others {
		if n.relayedFrom[from] {
			add(reported)
		}
	}
	var out []loadreport.TargetAge
	for target, ms := range times {
		if len(out) == loadreport.MaxUnresponsive {
			break
		}
		out = append(out, loadreport.TargetAge{Target: target, AgeMS: ms})
	}
	return out
}

// sendLoadReport sends one report and ignores errors: the next report replaces a lost one,
// and probes detect failed peers.
func (g *Gateway) sendLoadReport(m member.Member, report *LoadReport) {
	ctx, cancel := context.WithTimeout(g.ctx, loadReportTTL)
	defer cancel()
	_ = g.pool.Call(ctx, m.Address, peerService+".Loads", report, &Ack{})
}
