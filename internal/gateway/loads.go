package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/inflight"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Pace of telling one another what is under way at the targets.
const (
	loadEvery = 120 * time.Millisecond
	// loadEveryStep is the same in a large fleet, where a word takes three to five steps. At
	// 50 ms a step the heaviest day of 82 instances is worth 0.15 more than at 120, as users
	// value their answers, and no less than at 30; it costs an instance 0.3% of a core.
	loadEveryStep = 50 * time.Millisecond
	// loadAge is how long a peer's word counts; it fades until then, since targets
	// work on what waits.
	loadAge = 360 * time.Millisecond
	// leastTold is the smallest number of tokens worth telling.
	leastTold = 256
)

// TargetLoad is what an instance has under way at one target.
type TargetLoad struct {
	Target string `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"` // of prompts that are not read yet
	Memory int    `cbor:"3,keyasint"` // tokens of the target's memory that runs keep
}

// Loads is what an instance has under way at all targets. In a large fleet it includes
// what the others have from whom the receiver does not hear but by way of this one.
type Loads struct {
	From    string       `cbor:"1,keyasint"`
	Seq     uint64       `cbor:"2,keyasint"` // rises with each word of a process
	Targets []TargetLoad `cbor:"3,keyasint,omitempty"`
}

// Heard is the answer to Loads.
type Heard struct{}

// Loads takes a peer's word.
func (f *peerFace) Loads(req *Loads, _ *Heard) error {
	f.g.others.take(*req, f.g.now())
	return nil
}

// othersLoads is what the peers told lately.
type othersLoads struct {
	mu sync.Mutex
	m  map[string]othersWord // by instance
}

type othersWord struct {
	seq     uint64
	at      time.Time
	targets []TargetLoad
}

// take keeps a peer's word, unless a newer one is known or it is a former
// process's.
func (o *othersLoads) take(l Loads, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if old, ok := o.m[l.From]; ok && l.Seq <= old.seq && now.Sub(old.at) < loadAge {
		return
	}
	if o.m == nil {
		o.m = map[string]othersWord{}
	}
	o.m[l.From] = othersWord{seq: l.Seq, at: now, targets: l.Targets}
}

// at is what the peers have under way by target, as told lately. What waits fades with
// the age of the word, since targets work on it; what runs keep does not, since runs last
// longer than a word counts.
func (o *othersLoads) at(now time.Time) targetLoads {
	out := targetLoads{}
	o.each(now, func(_ string, loads []TargetLoad) { out.add(loads) })
	return out
}

// each calls f with each peer's word that still counts.
func (o *othersLoads) each(now time.Time, f func(from string, loads []TargetLoad)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for from, w := range o.m {
		left := 1 - float64(now.Sub(w.at))/float64(loadAge)
		if left <= 0 {
			delete(o.m, from)
			continue
		}
		faded := make([]TargetLoad, len(w.targets))
		for i, t := range w.targets {
			faded[i] = TargetLoad{Target: t.Target, Tokens: int(float64(t.Tokens) * left), Memory: t.Memory}
		}
		f(from, faded)
	}
}

// targetLoads sums what is under way, by target.
type targetLoads map[string]TargetLoad

// add adds what one instance has under way.
func (l targetLoads) add(loads []TargetLoad) {
	for _, t := range loads {
		sum := l[t.Target]
		l[t.Target] = TargetLoad{Target: t.Target, Tokens: sum.Tokens + t.Tokens, Memory: sum.Memory + t.Memory}
	}
}

// told lists what is worth telling.
func (l targetLoads) told() []TargetLoad {
	var out []TargetLoad
	for _, t := range l {
		if max(t.Tokens, t.Memory) >= leastTold {
			out = append(out, t)
		}
	}
	return out
}

// ownLoads is what this instance has under way.
func (g *Gateway) ownLoads() targetLoads {
	out := targetLoads{}
	g.upstream.work.Each(func(target string, load *inflight.Load) {
		out[target] = TargetLoad{Target: target, Tokens: int(load.Tokens.Load()), Memory: int(load.Memory.Load())}
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

// tellLoads tells the neighbours what is under way, as long as it is anything.
func (g *Gateway) tellLoads(ctx context.Context) {
	told := map[string]bool{} // neighbours whose last word was not empty
	for seq := uint64(1); wait.For(ctx, g.loadPace()); seq++ {
		own, others := g.ownLoads(), map[string][]TargetLoad{}
		g.others.each(g.now(), func(from string, loads []TargetLoad) { others[from] = loads })
		for _, n := range g.view.Load().Tree.neighbours() {
			l := &Loads{From: g.settings().Name, Seq: seq, Targets: n.share(own, others).told()}
			if len(l.Targets) == 0 && !told[n.Name] {
				continue
			}
			told[n.Name] = len(l.Targets) > 0
			g.start(func() { g.tellLoad(n.Member, l) })
		}
	}
}

// share is what a neighbour is told: all that this instance knows of but what the neighbour
// told it, and what the neighbour hears for itself.
func (n neighbour) share(own targetLoads, others map[string][]TargetLoad) targetLoads {
	out := maps.Clone(own)
	for from, loads := range others {
		if n.relayed[from] {
			out.add(loads)
		}
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
