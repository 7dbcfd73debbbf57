package gateway

import (
	"context"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/platform"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Pace of the exchange between instances.
const (
	peerPeriod = 500 * time.Millisecond // between probes; see docs/MEMBERSHIP.md for what follows from it
	// peerTimeout bounds one exchange. A machine without power answers nothing.
	peerTimeout = 600 * time.Millisecond
	// seedPeriod is how often seeds that are no live members are tried again.
	seedPeriod = time.Second
	// needyPeriod is how often an instance that the object store refuses asks a
	// peer for news.
	needyPeriod = 300 * time.Millisecond
)

// peerService is the name of the exchange in net/rpc.
const peerService = "Fleet"

// peersKey proves to a peer that the other side is an entry instance of the same
// program. The network between instances is the platform's; the proof keeps out
// strays, such as another service at a reused address.
const peersKey = "shedhoist/fleet/1"

// Have says how new an instance's beliefs are.
type Have struct {
	Config   uint64           `cbor:"1,keyasint"` // version
	Targets  platform.Version `cbor:"2,keyasint"` // revision up to which the list is complete
	Versions platform.Version `cbor:"3,keyasint"`
}

// Hello probes a peer and carries news of members both ways.
type Hello struct {
	From    member.Member   `cbor:"1,keyasint"`
	Updates []member.Member `cbor:"2,keyasint"`
	Have    Have            `cbor:"3,keyasint"`
	Join    bool            `cbor:"4,keyasint,omitempty"` // answer with all members
	Need    bool            `cbor:"5,keyasint,omitempty"` // answer with what is newer than Have
}

// Welcome is the answer to a Hello.
type Welcome struct {
	From    member.Member   `cbor:"1,keyasint"`
	Updates []member.Member `cbor:"2,keyasint"`
	Have    Have            `cbor:"3,keyasint"`
	News    *News           `cbor:"4,keyasint,omitempty"`
}

// News is what a peer believes, as far as it is newer than what the asker has.
type News struct {
	Config   []byte                 `cbor:"1,keyasint,omitempty"` // as stored
	Listed   bool                   `cbor:"2,keyasint,omitempty"`
	Targets  []catalog.Target       `cbor:"3,keyasint,omitempty"`
	Revision platform.Version       `cbor:"4,keyasint,omitempty"` // of Targets
	Versions []catalog.ModelVersion `cbor:"5,keyasint,omitempty"`
	NamedAt  platform.Version       `cbor:"6,keyasint,omitempty"` // revision of Versions
}

// Reach asks a peer to probe another one.
type Reach struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// Reached is the answer to a Reach.
type Reached struct {
	OK bool `cbor:"1,keyasint"`
}

// peerFace is the net/rpc face of a Gateway. net/rpc wants these signatures.
type peerFace struct{ g *Gateway }

// Hello answers a probe.
func (f *peerFace) Hello(req *Hello, out *Welcome) error {
	f.g.query(func(c *control) { *out = c.welcome(req) })
	return nil
}

// Reach probes another instance for the asker.
func (f *peerFace) Reach(req *Reach, out *Reached) error {
	ctx, cancel := context.WithTimeout(f.g.ctx, peerTimeout)
	defer cancel()
	var w Welcome
	hello := Hello{}
	f.g.query(func(c *control) { hello = Hello{From: c.members.Self(), Have: c.have()} })
	err := f.g.pool.Call(ctx, req.Address, peerService+".Hello", &hello, &w)
	out.OK = err == nil && w.From.Name == req.Name
	return nil
}

// have says how new the beliefs are.
func (c *control) have() Have {
	h := Have{Targets: c.targets.revision, Versions: c.namedAt}
	if c.cfg != nil {
		h.Config = c.cfg.Version
	}
	return h
}

// welcome takes a peer's probe and answers it.
func (c *control) welcome(req *Hello) Welcome {
	now := c.now()
	if req.From.Name != "" {
		c.members.Receive([]member.Member{req.From}, now)
	}
	c.members.Receive(req.Updates, now)
	out := Welcome{From: c.members.Self(), Have: c.have()}
	if req.Join {
		out.Updates = c.members.Members()
	} else {
		out.Updates = c.members.Batch(req.From.Name)
	}
	if req.Need {
		out.News = c.newsFor(req.Have)
	}
	return out
}

// newsFor collects what is newer here; nil if nothing is.
func (c *control) newsFor(have Have) *News {
	mine := c.have()
	n := &News{}
	if mine.Config > have.Config {
		n.Config = c.raw
	}
	if c.targets.listed && mine.Targets > have.Targets {
		n.Listed, n.Targets, n.Revision = true, c.targets.all(), mine.Targets
	}
	if mine.Versions > have.Versions {
		for m, v := range c.named {
			n.Versions = append(n.Versions, catalog.ModelVersion{Model: m, Version: v.Version})
		}
		n.NamedAt = mine.Versions
	}
	if n.Config == nil && !n.Listed && n.NamedAt == 0 {
		return nil
	}
	return n
}

// probePeers carries out the probes that are due; it runs on the control goroutine.
func (g *Gateway) probePeers(c *control) {
	need := !c.storeOK
	for _, p := range c.members.Tick(c.now()) {
		hello := &Hello{From: c.members.Self(), Updates: p.Updates, Have: c.have(), Need: need}
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
	if e.ok {
		c.members.Receive([]member.Member{e.reply.From}, now)
		c.members.Ack(e.probe.To, now)
		return
	}
	if around := c.members.Silent(e.probe.To, now); len(around) > 0 {
		e.g.start(func() { e.g.reachAround(around) })
	}
}

// peerFailed: neither direct nor indirect probes reached a member.
type peerFailed struct{ name string }

func (e peerFailed) apply(c *control) { c.members.Fail(e.name, c.now()) }

// hello sends one direct probe.
func (g *Gateway) hello(p member.Probe, req *Hello) {
	ctx, cancel := context.WithTimeout(g.ctx, peerTimeout)
	defer cancel()
	var reply Welcome
	err := g.pool.Call(ctx, p.Address, peerService+".Hello", req, &reply)
	if err != nil && req.Join {
		return // a seed that does not answer is no member yet
	}
	g.send(helloEnded{g: g, probe: p, ok: err == nil, reply: reply})
	if reply.News != nil {
		g.takeNews(reply.News)
	}
}

// takeNews takes a peer's beliefs as far as they are newer.
func (g *Gateway) takeNews(n *News) {
	if n.Config != nil {
		g.readConfig(n.Config, fromPeer)
	}
	if n.Listed {
		g.send(targetsListed{revision: n.Revision, targets: n.Targets, from: fromPeer})
	}
	if n.NamedAt > 0 {
		g.send(versionsNamed{revision: n.NamedAt, versions: n.Versions, from: fromPeer})
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
		for _, seed := range g.seeds() {
			g.greet(seed)
		}
		if !wait.For(ctx, jitter(seedPeriod)) {
			return
		}
	}
}

// greet joins by way of an address, unless its instance is a live member already.
func (g *Gateway) greet(address string) {
	known := false
	hello := &Hello{Join: true}
	g.query(func(c *control) {
		hello.From, hello.Have, hello.Need = c.members.Self(), c.have(), !c.storeOK
		for _, m := range c.members.Members() {
			known = known || (m.Address == address && m.State == member.Alive)
		}
	})
	if !known && address != hello.From.Address {
		g.start(func() { g.hello(member.Probe{Address: address}, hello) })
	}
}

// askWhileCutOff asks peers for news more often than probes do, for as long as
// the object store does not answer.
func (g *Gateway) askWhileCutOff(ctx context.Context) {
	for wait.For(ctx, jitter(needyPeriod)) {
		if g.storeOK.Load() {
			continue
		}
		var probe member.Probe
		hello := &Hello{Need: true}
		g.query(func(c *control) {
			hello.From, hello.Have = c.members.Self(), c.have()
			probe = c.members.Random()
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
