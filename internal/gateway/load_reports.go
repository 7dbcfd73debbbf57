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

// Pace of telling one another what is under way at the targets.
const (
	loadReportInterval = 120 * time.Millisecond
	// loadRelayInterval is the same in a large fleet, where a word takes three to five steps. At
	// 50 ms a step the heaviest day of 82 instances is worth 0.15 more than at 120, as users
	// value their answers, and no less than at 30; it costs an instance 0.3% of a core.
	loadRelayInterval = 50 * time.Millisecond
	// crossZoneEvery is how many steps pass from one word to another zone to the next: those
	// bytes are dear, and at 295 instances before 256 targets these words are some half of
	// them (estimated: ten instances, nine others, 3 kB, 20 a second). Half as often costs
	// the heaviest day of 82 instances nothing (worth 0.562 against 0.545 and 0.547); a
	// quarter as often costs it 0.03.
	crossZoneEvery = 2
	// loadReportTTL is how long a peer's word counts; it fades until then, since targets
	// work on what waits.
	loadReportTTL = 360 * time.Millisecond
)

// LoadReport is what an instance has under way at all targets. In a large fleet it includes
// what the others have from whom the receiver does not hear but by way of this one.
type LoadReport struct {
	From    string                  `cbor:"1,keyasint"`
	Seq     uint64                  `cbor:"2,keyasint"` // rises with each word of a process
	Targets []loadreport.TargetWork `cbor:"3,keyasint,omitempty"`
	// Silent are targets that answer nothing, by what is told in the same way.
	Silent []loadreport.TargetAge `cbor:"4,keyasint,omitempty"`
	// Ack are targets that others told to be silent and that have answered, AgeMS ago.
	Answered []loadreport.TargetAge `cbor:"6,keyasint,omitempty"`
	// StorePositions is up to where the teller of a small fleet knows the cache stores: what it asked for
	// before it knew as much, and is not over, is in Late.
	StorePositions []StorePosition `cbor:"7,keyasint,omitempty"`
	// PendingSaves are parts whose saves are late, by what is told in the same way.
	PendingSaves []loadreport.Key `cbor:"5,keyasint,omitempty"`
}

// Ack is the answer to Loads.
type Ack struct{}

// Loads takes a peer's word.
func (h *peerHandler) Loads(req *LoadReport, _ *Ack) error {
	h.g.peerLoads.Apply(req.From, req.Seq, req.Targets, h.g.now())
	h.g.peerSilences.Apply(req.From, req.Seq, req.Silent, h.g.now())
	h.g.peerSilences.ApplyResponses(req.From, req.Seq, req.Answered, h.g.now())
	h.g.peerPendingSaves.Apply(req.From, req.Seq, req.PendingSaves, h.g.now())
	h.g.storePositions.record(req.From, req.Seq, req.StorePositions, h.g.now()) // after Late
	return nil
}

// ownLoads is what this instance has under way.
func (g *Gateway) ownLoads() loadreport.WorkByTarget {
	out := loadreport.WorkByTarget{}
	g.upstream.inflight.Each(func(target string, load *inflight.Load) {
		out.Add(loadreport.KeyOf(target), loadreport.Work{Tokens: int(load.PrefillTokens.Load()), Memory: int(load.MemoryTokens.Load())})
	})
	return out
}

// ownSilentTargets are the targets that have answered this instance nothing for as long as an
// answer may take.
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

// ownAnswered are the targets that others tell to be silent and that have answered this instance
// since.
func (g *Gateway) ownAnswered(silences map[string][]loadreport.TargetAge) []loadreport.TargetAge {
	var out []loadreport.TargetAge
	now := g.now()
	since := map[loadreport.Key]int64{} // for how many ms
	for _, told := range silences {
		for _, s := range told {
			since[s.Target] = max(since[s.Target], s.AgeMS)
		}
	}
	if len(since) == 0 {
		return nil
	}
	g.upstream.inflight.Each(func(target string, load *inflight.Load) {
		k := loadreport.KeyOf(target)
		ms, told := since[k]
		ago := now.Sub(load.Responses.LastActivity()).Milliseconds()
		if told && ago < ms && len(out) < loadreport.MaxUnresponsive {
			out = append(out, loadreport.TargetAge{Target: k, AgeMS: ago})
		}
	})
	return out
}

// loadReportPace is the time between two words.
func (g *Gateway) loadReportPace() time.Duration {
	if g.view.Load().Tree.small {
		return loadReportInterval
	}
	return loadRelayInterval
}

// reportLoads tells the neighbours what is under way, which targets are silent and which saves
// are late, as long as there is any.
func (g *Gateway) reportLoads(ctx context.Context) {
	told := map[string]bool{} // neighbours whose last word was not empty
	for seq := uint64(1); wait.For(ctx, g.loadReportPace()); seq++ {
		own, others := g.ownLoads(), g.peerLoads.Reports(g.now())
		silent, silences := g.ownSilentTargets(), g.peerSilences.Reports(g.now())
		heard, hearers := g.ownAnswered(silences), g.peerSilences.ResponseReports(g.now())
		seen := g.cache.ownPositions() // before the saves
		late, lates := g.cache.ownPendingSaves(), g.peerPendingSaves.Reports(g.now())
		tree := g.view.Load().Tree
		for _, n := range tree.neighbours() {
			if tree.isCrossZone(n.Member) && seq%crossZoneEvery != 0 {
				continue
			}
			l := &LoadReport{From: g.settings().Name, Seq: seq, Targets: n.loadsToReport(own, others).Report(), Silent: n.silencesToReport(silent, silences), Answered: n.answeredToReport(heard, hearers), PendingSaves: n.pendingSavesToReport(late, lates), StorePositions: seen}
			news := len(l.Targets)+len(l.Silent)+len(l.Answered)+len(l.PendingSaves)+len(l.StorePositions) > 0
			if !news && !told[n.Name] {
				continue
			}
			told[n.Name] = news
			g.spawn(func() { g.sendLoadReport(n.Member, l) })
		}
	}
}

// loadsToReport is what a neighbour is told: all that this instance knows of but what the neighbour
// told it, and what the neighbour hears for itself.
func (n neighbour) loadsToReport(own loadreport.WorkByTarget, others map[string]loadreport.WorkByTarget) loadreport.WorkByTarget {
	out := maps.Clone(own)
	for from, sums := range others {
		if n.relayedFrom[from] {
			out.AddAll(sums)
		}
	}
	return out
}

// silencesToReport is share for silent targets: the longest silence counts.
func (n neighbour) silencesToReport(own []loadreport.TargetAge, others map[string][]loadreport.TargetAge) []loadreport.TargetAge {
	return n.mergeTimes(own, others, func(a, b int64) int64 { return max(a, b) })
}

// answeredToReport is share for targets that answer: the latest answer counts.
func (n neighbour) answeredToReport(own []loadreport.TargetAge, others map[string][]loadreport.TargetAge) []loadreport.TargetAge {
	return n.mergeTimes(own, others, func(a, b int64) int64 { return min(a, b) })
}

// mergeTimes is share for what is told with a time; which says which of two counts.
func (n neighbour) mergeTimes(own []loadreport.TargetAge, others map[string][]loadreport.TargetAge, which func(a, b int64) int64) []loadreport.TargetAge {
	times := map[loadreport.Key]int64{}
	add := func(told []loadreport.TargetAge) {
		for _, t := range told {
			if ms, known := times[t.Target]; known {
				times[t.Target] = which(ms, t.AgeMS)
				continue
			}
			times[t.Target] = t.AgeMS
		}
	}
	add(own)
	for from, told := range others {
		if n.relayedFrom[from] {
			add(told)
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

// sendLoadReport sends one word. A lost one is replaced by the next; silence is the
// business of probes.
func (g *Gateway) sendLoadReport(m member.Member, l *LoadReport) {
	ctx, cancel := context.WithTimeout(g.ctx, loadReportTTL)
	defer cancel()
	_ = g.pool.Call(ctx, m.Address, peerService+".Loads", l, &Ack{})
}
