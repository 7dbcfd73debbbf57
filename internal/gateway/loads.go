package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/inflight"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Pace of telling one another what waits at the targets.
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

// TargetLoad is what an instance has waiting at one target.
type TargetLoad struct {
	Target string `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"` // of prompts that are not read yet
}

// Loads is what an instance has waiting at all targets.
type Loads struct {
	From    string       `cbor:"1,keyasint"`
	Seq     uint64       `cbor:"2,keyasint"` // rises with each word of a process
	Waiting []TargetLoad `cbor:"3,keyasint,omitempty"`
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
	waiting map[string]int // tokens by target
}

// take keeps a peer's word, unless a newer one is known or it is a former
// process's.
func (o *othersLoads) take(l Loads, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if old, ok := o.m[l.From]; ok && l.Seq <= old.seq && now.Sub(old.at) < loadAge {
		return
	}
	w := othersWord{seq: l.Seq, at: now, waiting: make(map[string]int, len(l.Waiting))}
	for _, t := range l.Waiting {
		w.waiting[t.Target] = t.Tokens
	}
	if o.m == nil {
		o.m = map[string]othersWord{}
	}
	o.m[l.From] = w
}

// at is what the peers have waiting, in tokens by target.
func (o *othersLoads) at(now time.Time) map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string]int{}
	for from, w := range o.m {
		left := 1 - float64(now.Sub(w.at))/float64(loadAge)
		if left <= 0 {
			delete(o.m, from)
			continue
		}
		for id, tokens := range w.waiting {
			out[id] += int(float64(tokens) * left)
		}
	}
	return out
}

// tellLoads tells peers what this instance has waiting, as long as it is anything.
func (g *Gateway) tellLoads(ctx context.Context) {
	told := false
	for seq := uint64(1); wait.For(ctx, loadEvery); seq++ {
		l := &Loads{From: g.settings().Name, Seq: seq}
		g.upstream.work.Each(func(target string, load *inflight.Load) {
			if n := int(load.Tokens.Load()); n >= leastTold {
				l.Waiting = append(l.Waiting, TargetLoad{Target: target, Tokens: n})
			}
		})
		if len(l.Waiting) == 0 && !told {
			continue
		}
		told = len(l.Waiting) > 0
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
