package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Pace of the exchange between instances.
const (
	peerPeriod = 500 * time.Millisecond // between probes; see docs/MEMBERSHIP.md for what follows from it
	// peerTimeout bounds one exchange. A machine without power answers nothing.
	peerTimeout = 600 * time.Millisecond
	// seedPeriod is how often seeds that are no live members are tried again.
	seedPeriod = time.Second
	// aloneSeedPeriod is the same for an instance that knows of no other: where all start at
	// once the first try meets seeds that do not listen yet.
	aloneSeedPeriod = 200 * time.Millisecond
	// seedStep is the pause between two seeds: the first one's answer names the others
	// and all live members, 20 kB in a fleet of 300, which need not come three times.
	seedStep = 60 * time.Millisecond
	// needyPeriod is how often an instance that the object store refuses asks a
	// peer for news.
	needyPeriod = 300 * time.Millisecond
	// catchUpDelay is what the store usually takes to tell all instances of a change.
	catchUpDelay = 100 * time.Millisecond
	// smallFleet is the largest number of instances in which all watch the object
	// store. In a larger one the watchers do, and news spread from peer to peer.
	smallFleet = 16
	// newsAge is how old the last exchange with a peer may be for that.
	newsAge = 1500 * time.Millisecond
	// spreadTo is how many peers are told of a change at once; it spreads on by probes.
	spreadTo = 12
	// manyMembers is how many more live members than this instance a peer must know to be
	// asked at once for all of them. Fewer come with probes, 8 at a time. When 150 instances
	// start together most join by a seed that knows few yet, and without it only 45 of them
	// know all after 20 s: trees and roles, which each works out for itself, differ as long.
	manyMembers = 3
	// fewMissing is how long all peers must have known more, if only a few, to be asked: news
	// of a member reach 300 instances by probes in less.
	fewMissing = 2 * time.Second
	// watcherRole ranks the instances that tell the others.
	watcherRole = "watcher"
)

// peerService is the name of the exchange in net/rpc.
const peerService = "Fleet"

// peersKey proves to a peer that the other side is an entry instance of the same
// program. The network between instances is the platform's; the proof keeps out
// strays, such as another service at a reused address.
const peersKey = "shedhoist/fleet/1"

// Reach asks a peer to probe another one.
type Reach struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// Reached is the answer to a Reach.
type Reached struct {
	OK bool `cbor:"1,keyasint"`
}

// peerHandler is the net/rpc handler of a Gateway. net/rpc wants these signatures.
type peerHandler struct{ g *Gateway }

// Hello answers a probe.
func (h *peerHandler) Hello(req *Hello, out *Welcome) error {
	behind, lacking := false, false
	h.g.query(func(c *control) {
		*out = c.welcome(req)
		behind, lacking = c.known().lacks(req.Have), c.lacksMembers(req.Members)
	})
	out.Fresh = h.g.fresh.Reports(h.g.now())
	out.Suspects = h.g.quarantine.Digest(h.g.now())
	if lacking {
		h.g.start(func() { h.g.takeMembers(req.From.Address) })
	}
	if behind && req.From.Address != "" {
		h.g.start(func() { h.g.catchUp(req.From, req.Have) })
	}
	return nil
}

// Reach probes another instance for the asker.
func (h *peerHandler) Reach(req *Reach, out *Reached) error {
	ctx, cancel := context.WithTimeout(h.g.ctx, peerTimeout)
	defer cancel()
	var w Welcome
	hello := &Hello{}
	h.g.query(func(c *control) { hello = c.greetingTo(req.Name, false) })
	err := h.g.pool.Call(ctx, req.Address, peerService+".Hello", hello, &w)
	out.OK = err == nil && w.From.Name == req.Name
	return nil
}

// welcome takes a peer's probe and answers it.
func (c *control) welcome(req *Hello) Welcome {
	now := c.now()
	if req.From.Name != "" {
		c.members.Receive([]member.Member{req.From}, now)
	}
	c.members.Receive(req.Updates, now)
	c.hearConfig(req.Have, req.From)
	c.hearLeaving(req.Leaving, req.From)
	out := Welcome{From: c.members.Self(), Have: c.have(), Members: c.members.LiveCount(), Leaving: c.tellLeavingTo(req.From.Name)}
	if req.Join {
		out.Updates, out.Ages = c.members.Members(), c.ages()
	} else {
		out.Updates = c.members.UpdatesFor(req.From.Name)
	}
	if req.Need {
		out.News = c.newsFor(req.Known, req.Alone)
	}
	return out
}

// greeting is a Hello with all that is known here, to whichever peer.
func (c *control) greeting(need bool) *Hello { return c.greetingWith(c.tellLeaving(), need) }

// greetingTo is a greeting to a peer that is known.
func (c *control) greetingTo(peer string, need bool) *Hello {
	return c.greetingWith(c.tellLeavingTo(peer), need)
}

func (c *control) greetingWith(leaving Leavers, need bool) *Hello {
	return &Hello{From: c.members.Self(), Have: c.have(), Known: c.known(), Need: need, Alone: !c.storeOK,
		Members: c.members.LiveCount(), Leaving: leaving}
}

// lacksMembers says whether a peer that knows so many live members is to be asked for all.
func (c *control) lacksMembers(known int) bool {
	missing := known - c.members.LiveCount()
	if missing <= 0 {
		c.missing = time.Time{}
		return false
	}
	if c.missing.IsZero() {
		c.missing = c.now()
	}
	if missing <= manyMembers && c.now().Sub(c.missing) < fewMissing {
		return false
	}
	c.missing = time.Time{}
	return true
}

// takeMembers asks a peer for all members that it knows. One call at a time is enough.
func (g *Gateway) takeMembers(address string) {
	if !g.joining.CompareAndSwap(false, true) {
		return
	}
	defer g.joining.Store(false)
	var hello *Hello
	g.query(func(c *control) { hello = c.greeting(false) })
	if hello == nil {
		return // this instance is ending
	}
	hello.Join = true
	g.hello(member.Probe{Address: address}, hello)
}

// probePeers carries out the probes that are due; it runs on the control goroutine.
func (g *Gateway) probePeers(c *control) {
	need := !c.storeOK
	for _, p := range c.members.Tick(c.now()) {
		hello := c.greetingTo(p.To, need)
		hello.Updates = p.Updates
		g.start(func() { g.hello(p, hello) })
	}
}

// helloEnded brings the end of a probe.
type helloEnded struct {
	g     *Gateway
	probe member.Probe
	ok    bool
	reply Welcome
}

func (e helloEnded) apply(c *control) {
	now := c.now()
	c.members.Receive(e.reply.Updates, now)
	namedAges{e.reply.Ages}.apply(c)
	if e.ok {
		c.hearConfig(e.reply.Have, e.reply.From)
		c.hearLeaving(e.reply.Leaving, e.reply.From)
		c.members.Receive([]member.Member{e.reply.From}, now)
		c.members.Ack(e.probe.To, now)
		return
	}
	if around := c.members.DirectProbeFailed(e.probe.To, now); len(around) > 0 {
		e.g.start(func() { e.g.reachAround(around) })
	}
}

// peerFailed: neither direct nor indirect probes reached a member.
type peerFailed struct{ name string }

func (e peerFailed) apply(c *control) { c.members.ProbeFailed(e.name, c.now()) }

// hello sends one direct probe.
func (g *Gateway) hello(p member.Probe, req *Hello) {
	ctx, cancel := context.WithTimeout(g.ctx, peerTimeout)
	defer cancel()
	var reply Welcome
	asked := g.now()
	err := g.pool.Call(ctx, p.Address, peerService+".Hello", req, &reply)
	g.fresh.Merge(reply.Fresh, asked)
	if err != nil && req.Join {
		return // a seed that does not answer is no member yet
	}
	g.send(helloEnded{g: g, probe: p, ok: err == nil, reply: reply})
	if err == nil {
		g.heardPeer.Store(int64(g.now().Sub(g.began)))
		g.compareSuspects(reply.From, reply.Suspects)
	}
	if reply.News != nil {
		g.takeNews(reply.News)
		return
	}
	behind, lacking := false, false
	g.query(func(c *control) { behind, lacking = c.known().lacks(reply.Have), c.lacksMembers(reply.Members) })
	if lacking {
		g.start(func() { g.takeMembers(reply.From.Address) })
	}
	if behind && err == nil && !req.Need {
		g.catchUp(reply.From, reply.Have)
	}
}

// reachAround asks other members to probe a silent one.
func (g *Gateway) reachAround(probes []member.Probe) {
	results := make(chan bool, len(probes))
	for _, p := range probes {
		g.start(func() {
			ctx, cancel := context.WithTimeout(g.ctx, 2*peerTimeout)
			defer cancel()
			var out Reached
			err := g.pool.Call(ctx, p.Via, peerService+".Reach", &Reach{Name: p.To, Address: p.Address}, &out)
			results <- err == nil && out.OK
		})
	}
	for range probes {
		if <-results {
			g.send(helloEnded{g: g, probe: probes[0], ok: true, reply: Welcome{}})
			return
		}
	}
	g.send(peerFailed{name: probes[0].To})
}

// greetSeeds joins by way of the seeds, and again after a cut in which the
// members forgot one another.
func (g *Gateway) greetSeeds(ctx context.Context) {
	for {
		seeds := slices.Clone(g.seeds())
		rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
		for _, seed := range seeds {
			g.greet(seed)
			if !wait.For(ctx, seedStep) {
				return
			}
		}
		period := seedPeriod
		if len(g.view.Load().Alive) <= 1 {
			period = aloneSeedPeriod
		}
		if !wait.For(ctx, wait.Jitter(period)) {
			return
		}
	}
}

// greet joins by way of an address, unless its instance is a live member already.
func (g *Gateway) greet(address string) {
	known := false
	var hello *Hello
	g.query(func(c *control) {
		hello = c.greeting(!c.storeOK)
		hello.Join = true
		for _, m := range c.members.Members() {
			known = known || (m.Address == address && m.State == member.Alive)
		}
	})
	if hello != nil && !known && address != hello.From.Address {
		g.start(func() { g.hello(member.Probe{Address: address}, hello) })
	}
}

// askWhileCutOff asks peers for news more often than probes do, for as long as
// the object store does not answer.
func (g *Gateway) askWhileCutOff(ctx context.Context) {
	for wait.For(ctx, wait.Jitter(needyPeriod)) {
		if g.storeOK.Load() {
			continue
		}
		var probe member.Probe
		var hello *Hello
		g.query(func(c *control) {
			for _, m := range c.members.Sample(1) {
				probe = member.Probe{To: m.Name, Address: m.Address}
			}
			hello = c.greetingTo(probe.To, true)
		})
		if probe.Address != "" {
			g.start(func() { g.hello(probe, hello) })
		}
	}
}

// leave tells some peers goodbye.
func (g *Gateway) leave() {
	var probes []member.Probe
	var self member.Member
	g.query(func(c *control) { probes, self = c.members.Leave(), c.members.Self() })
	for _, p := range probes {
		g.hello(p, &Hello{From: self, Updates: p.Updates})
	}
}
