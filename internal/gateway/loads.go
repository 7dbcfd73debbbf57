package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/inflight"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Pace of telling one another what is under way at the targets.
const (
	loadEvery = 120 * time.Millisecond
	// loadAge is how long a peer's word counts; it fades until then, since targets
	// work on what waits.
	loadAge = 360 * time.Millisecond
	// loadTo is how many peers are told each time: all of a small fleet, else some
	// of the own zone, whose targets are mostly the same.
	loadTo = 12
	// leastTold is the smallest number of tokens worth telling.
	leastTold = 256
)

// TargetLoad is what an instance has under way at one target.
type TargetLoad struct {
	Target string `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"` // of prompts that are not read yet
	Memory int    `cbor:"3,keyasint"` // tokens of the target's memory that runs keep
}

// Loads is what an instance has under way at all targets.
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
func (o *othersLoads) at(now time.Time) map[string]TargetLoad {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string]TargetLoad{}
	for from, w := range o.m {
		left := 1 - float64(now.Sub(w.at))/float64(loadAge)
		if left <= 0 {
			delete(o.m, from)
			continue
		}
		for _, t := range w.targets {
			sum := out[t.Target]
			sum.Tokens += int(float64(t.Tokens) * left)
			sum.Memory += t.Memory
			out[t.Target] = sum
		}
	}
	return out
}

// heardShare is the part of the peers whose words an instance has at a time: all of a
// small fleet; of a large one those of its zone that chose it in one of the last rounds.
// What is told of a target is about the same part of what there is.
func (v *View) heardShare() float64 {
	others, near := len(v.Peers)-1, len(v.Tree.near)-1
	if others <= loadTo || near <= 0 {
		return 1
	}
	rounds := float64(loadAge) / float64(loadEvery)
	missed := math.Pow(max(1-float64(loadTo)/float64(near), 0), rounds)
	return (1 - missed) * float64(near) / float64(others)
}

// tellLoads tells peers what this instance has under way, as long as it is anything.
func (g *Gateway) tellLoads(ctx context.Context) {
	told := false
	for seq := uint64(1); wait.For(ctx, loadEvery); seq++ {
		l := &Loads{From: g.settings().Name, Seq: seq}
		g.upstream.work.Each(func(target string, load *inflight.Load) {
			t := TargetLoad{Target: target, Tokens: int(load.Tokens.Load()), Memory: int(load.Memory.Load())}
			if max(t.Tokens, t.Memory) >= leastTold {
				l.Targets = append(l.Targets, t)
			}
		})
		if len(l.Targets) == 0 && !told {
			continue
		}
		told = len(l.Targets) > 0
		for _, m := range g.loadPeers() {
			g.start(func() { g.tellLoad(m, l) })
		}
	}
}

// loadPeers are the peers to tell this time: all, or some of the own zone.
func (g *Gateway) loadPeers() []member.Member {
	v := g.view.Load()
	self := g.settings().Name
	if len(v.Peers) <= loadTo+1 {
		return slices.DeleteFunc(slices.Clone(v.Peers), func(m member.Member) bool { return m.Name == self })
	}
	var out []member.Member
	for _, i := range rand.Perm(len(v.Tree.near)) {
		if m := v.Tree.near[i]; m.Name != self && len(out) < loadTo {
			out = append(out, m)
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
