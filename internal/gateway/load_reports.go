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
	loadEvery = 120 * time.Millisecond
	// loadEveryStep is the same in a large fleet, where a word takes three to five steps. At
	// 50 ms a step the heaviest day of 82 instances is worth 0.15 more than at 120, as users
	// value their answers, and no less than at 30; it costs an instance 0.3% of a core.
	loadEveryStep = 50 * time.Millisecond
	// otherZonesStep is how many steps pass from one word to another zone to the next: those
	// bytes are dear, and at 295 instances before 256 targets these words are some half of
	// them (estimated: ten instances, nine others, 3 kB, 20 a second). Half as often costs
	// the heaviest day of 82 instances nothing (worth 0.562 against 0.545 and 0.547); a
	// quarter as often costs it 0.03.
	otherZonesStep = 2
	// loadAge is how long a peer's word counts; it fades until then, since targets
	// work on what waits.
	loadAge = 360 * time.Millisecond
)

// Loads is what an instance has under way at all targets. In a large fleet it includes
// what the others have from whom the receiver does not hear but by way of this one.
type Loads struct {
	From    string                  `cbor:"1,keyasint"`
	Seq     uint64                  `cbor:"2,keyasint"` // rises with each word of a process
	Targets []loadreport.TargetWork `cbor:"3,keyasint,omitempty"`
	// Silent are targets that answer nothing, by what is told in the same way.
	Silent []loadreport.TargetAge `cbor:"4,keyasint,omitempty"`
	// Heard are targets that others told to be silent and that have answered, MS ago.
	Heard []loadreport.TargetAge `cbor:"6,keyasint,omitempty"`
	// Seen is up to where the teller of a small fleet knows the cache stores: what it asked for
	// before it knew as much, and is not over, is in Late.
	Seen []StoreSeen `cbor:"7,keyasint,omitempty"`
	// Late are parts whose saves are late, by what is told in the same way.
	Late []loadreport.Key `cbor:"5,keyasint,omitempty"`
}

// Heard is the answer to Loads.
type Heard struct{}

// Loads takes a peer's word.
func (h *peerHandler) Loads(req *Loads, _ *Heard) error {
	h.g.others.Apply(req.From, req.Seq, req.Targets, h.g.now())
	h.g.silences.Apply(req.From, req.Seq, req.Silent, h.g.now())
	h.g.silences.ApplyResponses(req.From, req.Seq, req.Heard, h.g.now())
	h.g.lateSaves.Apply(req.From, req.Seq, req.Late, h.g.now())
	h.g.seen.take(req.From, req.Seq, req.Seen, h.g.now()) // after Late
	return nil
}

// ownLoads is what this instance has under way.
func (g *Gateway) ownLoads() loadreport.WorkByTarget {
	out := loadreport.WorkByTarget{}
	g.upstream.work.Each(func(target string, load *inflight.Load) {
		out.Add(loadreport.KeyOf(target), loadreport.Work{Tokens: int(load.PrefillTokens.Load()), Memory: int(load.MemoryTokens.Load())})
	})
	return out
}

// ownSilences are the targets that have answered this instance nothing for as long as an
// answer may take.
func (g *Gateway) ownSilences() []loadreport.TargetAge {
	var out []loadreport.TargetAge
	now := g.now()
	g.upstream.work.Each(func(target string, load *inflight.Load) {
		if silent := load.Responses.UnresponsiveFor(now); silent >= answerDue && len(out) < loadreport.MaxUnresponsive {
			out = append(out, loadreport.TargetAge{Target: loadreport.KeyOf(target), AgeMS: silent.Milliseconds()})
		}
	})
	return out
}

// ownHeard are the targets that others tell to be silent and that have answered this instance
// since.
func (g *Gateway) ownHeard(silences map[string][]loadreport.TargetAge) []loadreport.TargetAge {
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
	g.upstream.work.Each(func(target string, load *inflight.Load) {
		k := loadreport.KeyOf(target)
		ms, told := since[k]
		ago := now.Sub(load.Responses.LastActivity()).Milliseconds()
		if told && ago < ms && len(out) < loadreport.MaxUnresponsive {
			out = append(out, loadreport.TargetAge{Target: k, AgeMS: ago})
		}
	})
	return out
}

// loadPace is the time between two words.
func (g *Gateway) loadPace() time.Duration {
	if g.view.Load().Tree.small {
		return loadEvery
	}
	return loadEveryStep
}

// tellLoads tells the neighbours what is under way, which targets are silent and which saves
// are late, as long as there is any.
func (g *Gateway) tellLoads(ctx context.Context) {
	told := map[string]bool{} // neighbours whose last word was not empty
	for seq := uint64(1); wait.For(ctx, g.loadPace()); seq++ {
		own, others := g.ownLoads(), g.others.Reports(g.now())
		silent, silences := g.ownSilences(), g.silences.Reports(g.now())
		heard, hearers := g.ownHeard(silences), g.silences.ResponseReports(g.now())
		seen := g.cache.ownSeen() // before the saves
		late, lates := g.cache.ownLate(), g.lateSaves.Reports(g.now())
		tree := g.view.Load().Tree
		for _, n := range tree.neighbours() {
			if tree.far(n.Member) && seq%otherZonesStep != 0 {
				continue
			}
			l := &Loads{From: g.settings().Name, Seq: seq, Targets: n.share(own, others).Report(), Silent: n.shareSilences(silent, silences), Heard: n.shareHeard(heard, hearers), Late: n.shareLate(late, lates), Seen: seen}
			news := len(l.Targets)+len(l.Silent)+len(l.Heard)+len(l.Late)+len(l.Seen) > 0
			if !news && !told[n.Name] {
				continue
			}
			told[n.Name] = news
			g.start(func() { g.tellLoad(n.Member, l) })
		}
	}
}

// share is what a neighbour is told: all that this instance knows of but what the neighbour
// told it, and what the neighbour hears for itself.
func (n neighbour) share(own loadreport.WorkByTarget, others map[string]loadreport.WorkByTarget) loadreport.WorkByTarget {
	out := maps.Clone(own)
	for from, sums := range others {
		if n.relayed[from] {
			out.AddAll(sums)
		}
	}
	return out
}

// shareSilences is share for silent targets: the longest silence counts.
func (n neighbour) shareSilences(own []loadreport.TargetAge, others map[string][]loadreport.TargetAge) []loadreport.TargetAge {
	return n.shareTimes(own, others, func(a, b int64) int64 { return max(a, b) })
}

// shareHeard is share for targets that answer: the latest answer counts.
func (n neighbour) shareHeard(own []loadreport.TargetAge, others map[string][]loadreport.TargetAge) []loadreport.TargetAge {
	return n.shareTimes(own, others, func(a, b int64) int64 { return min(a, b) })
}

// shareTimes is share for what is told with a time; which says which of two counts.
func (n neighbour) shareTimes(own []loadreport.TargetAge, others map[string][]loadreport.TargetAge, which func(a, b int64) int64) []loadreport.TargetAge {
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
		if n.relayed[from] {
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

// tellLoad sends one word. A lost one is replaced by the next; silence is the
// business of probes.
func (g *Gateway) tellLoad(m member.Member, l *Loads) {
	ctx, cancel := context.WithTimeout(g.ctx, loadAge)
	defer cancel()
	_ = g.pool.Call(ctx, m.Address, peerService+".Loads", l, &Heard{})
}
