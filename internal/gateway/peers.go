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
	// catchUpDelay is what the store usually takes to tell all instances of a change.
	catchUpDelay = 100 * time.Millisecond
	// spreadTo is how many peers are told of a change at once; it spreads on by probes.
	spreadTo = 12
	// lookoutRole ranks the instances that tell the others.
	lookoutRole = "lookout"
)

// peerService is the name of the exchange in net/rpc.
const peerService = "Fleet"

// peersKey proves to a peer that the other side is an entry instance of the same
// program. The network between instances is the platform's; the proof keeps out
// strays, such as another service at a reused address.
const peersKey = "shedhoist/fleet/1"

// Have says how new an instance's beliefs are. Of a list it tells the revision
// of its last change: whoever knows all up to that revision has missed nothing.
type Have struct {
	Config   uint64           `cbor:"1,keyasint"` // version
	Targets  platform.Version `cbor:"2,keyasint"` // last change of the targets
	Versions platform.Version `cbor:"3,keyasint"` // last change of the named versions
	Rollout  RolloutStamp     `cbor:"4,keyasint"`
}

// RolloutStamp orders the news of rollouts: a later holder's token is higher.
type RolloutStamp struct {
	Token uint64 `cbor:"1,keyasint"`
	Seq   uint64 `cbor:"2,keyasint"`
}

// after says whether s is newer than o.
func (s RolloutStamp) after(o RolloutStamp) bool {
	return s.Token > o.Token || (s.Token == o.Token && s.Seq > o.Seq)
}

// RolloutNews is what the instance that gives orders is doing.
type RolloutNews struct {
	Holder  string       `cbor:"4,keyasint"` // the instance
	Stamp   RolloutStamp `cbor:"1,keyasint"`
	Closing []string     `cbor:"2,keyasint,omitempty"` // ids of targets that shall get no new requests
	Arrived []Arrival    `cbor:"3,keyasint,omitempty"` // targets with new weights
}

// Arrival is a target that was seen to serve new weights.
type Arrival struct {
	Target string               `cbor:"1,keyasint"`
	Serves catalog.ModelVersion `cbor:"2,keyasint"`
}

// Hello probes a peer and carries news of members both ways.
type Hello struct {
	From    member.Member   `cbor:"1,keyasint"`
	Updates []member.Member `cbor:"2,keyasint"`
	Have    Have            `cbor:"3,keyasint"`
	Join    bool            `cbor:"4,keyasint,omitempty"` // answer with all members
	Need    bool            `cbor:"5,keyasint,omitempty"` // answer with what is newer than Have
	Known   Known           `cbor:"6,keyasint"`
}

// Known is up to where an instance's beliefs are complete.
type Known struct {
	Config   uint64           `cbor:"1,keyasint"`
	Targets  platform.Version `cbor:"2,keyasint"`
	Versions platform.Version `cbor:"3,keyasint"`
	Rollout  RolloutStamp     `cbor:"4,keyasint"`
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
	NamedAt  platform.Version       `cbor:"6,keyasint,omitempty"` // up to which Versions are complete
	NamedIn  platform.Version       `cbor:"7,keyasint,omitempty"` // of their last change
	Rollout  *RolloutNews           `cbor:"8,keyasint,omitempty"`
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
	behind := false
	f.g.query(func(c *control) {
		*out = c.welcome(req)
		behind = c.known().lacks(req.Have)
	})
	if behind && req.From.Address != "" {
		f.g.start(func() { f.g.catchUp(req.From, req.Have) })
	}
	return nil
}

// Reach probes another instance for the asker.
func (f *peerFace) Reach(req *Reach, out *Reached) error {
	ctx, cancel := context.WithTimeout(f.g.ctx, peerTimeout)
	defer cancel()
	var w Welcome
	hello := &Hello{}
	f.g.query(func(c *control) { hello = c.greeting(false) })
	err := f.g.pool.Call(ctx, req.Address, peerService+".Hello", hello, &w)
	out.OK = err == nil && w.From.Name == req.Name
	return nil
}

// have says how new the beliefs are.
func (c *control) have() Have {
	h := Have{Targets: c.targets.changed, Versions: c.namedIn, Rollout: c.rollout.Stamp}
	if c.cfg != nil {
		h.Config = c.cfg.Version
	}
	return h
}

// known says up to where they are complete.
func (c *control) known() Known {
	k := Known{Targets: c.targets.revision, Versions: c.namedAt, Rollout: c.rollout.Stamp}
	if c.cfg != nil {
		k.Config = c.cfg.Version
	}
	return k
}

// lacks says whether a peer has news that are missing here.
func (k Known) lacks(h Have) bool {
	return h.Config > k.Config || h.Targets > k.Targets || h.Versions > k.Versions || h.Rollout.after(k.Rollout)
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
		out.News = c.newsFor(req.Known)
	}
	return out
}

// newsFor collects what is newer here; nil if nothing is.
func (c *control) newsFor(k Known) *News {
	mine := c.have()
	if !k.lacks(mine) {
		return nil
	}
	n := &News{}
	if mine.Config > k.Config {
		n.Config = c.raw
	}
	if c.targets.listed && mine.Targets > k.Targets {
		n.Listed, n.Targets, n.Revision = true, c.targets.all(), c.targets.revision
	}
	if mine.Versions > k.Versions {
		for m, v := range c.named {
			n.Versions = append(n.Versions, catalog.ModelVersion{Model: m, Version: v.Version})
		}
		n.NamedAt, n.NamedIn = c.namedAt, mine.Versions
	}
	if mine.Rollout.after(k.Rollout) {
		news := c.rollout
		n.Rollout = &news
	}
	return n
}

// greeting is a Hello with all that is known here.
func (c *control) greeting(need bool) *Hello {
	return &Hello{From: c.members.Self(), Have: c.have(), Known: c.known(), Need: need}
}

// probePeers carries out the probes that are due; it runs on the control goroutine.
func (g *Gateway) probePeers(c *control) {
	need := !c.storeOK
	for _, p := range c.members.Tick(c.now()) {
		hello := c.greeting(need)
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
		return
	}
	behind := false
	g.query(func(c *control) { behind = c.known().lacks(reply.Have) })
	if behind && err == nil && !req.Need {
		g.catchUp(reply.From, reply.Have)
	}
}

// catchUp takes a peer's news, unless the store tells them within the moment
// that this usually takes. One call at a time is enough.
func (g *Gateway) catchUp(from member.Member, have Have) {
	if !g.catching.CompareAndSwap(false, true) {
		return
	}
	defer g.catching.Store(false)
	wait.For(g.ctx, catchUpDelay)
	var hello *Hello
	g.query(func(c *control) {
		if c.known().lacks(have) {
			hello = c.greeting(true)
		}
	})
	if hello == nil {
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, peerTimeout)
	defer cancel()
	var reply Welcome
	if err := g.pool.Call(ctx, from.Address, peerService+".Hello", hello, &reply); err != nil {
		g.log.WithError(err).WithField("peer", from.Name).Warn("news not had")
		return
	}
	if reply.News != nil {
		g.log.WithField("peer", from.Name).WithField("config", len(reply.News.Config) > 0).WithField("targets", reply.News.Listed).
			WithField("versions", len(reply.News.Versions)).WithField("rollout", reply.News.Rollout != nil).Info("news taken from a peer")
		g.takeNews(reply.News)
	}
}

// spreadNews tells peers at once what changed, if this instance is one that
// hears of changes first: a lookout, or the one that gives orders.
func (g *Gateway) spreadNews(c *control, before Have) {
	now := c.have()
	if now == before || g.ctx.Err() != nil {
		return
	}
	lookout := rankOf(g.view.Load().Alive, g.settings().Name, lookoutRole) < lookouts
	ownRollout := now.Rollout != before.Rollout && c.ownNews
	if !lookout && !ownRollout {
		return
	}
	hello := c.greeting(false)
	for _, m := range c.members.Sample(spreadTo) {
		g.start(func() { g.hello(member.Probe{To: m.Name, Address: m.Address}, hello) })
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
		g.send(versionsNamed{revision: n.NamedAt, changed: n.NamedIn, versions: n.Versions, from: fromPeer})
	}
	if n.Rollout != nil {
		g.send(rolloutHeard{news: *n.Rollout})
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
	for wait.For(ctx, jitter(needyPeriod)) {
		if g.storeOK.Load() {
			continue
		}
		var probe member.Probe
		var hello *Hello
		g.query(func(c *control) {
			hello = c.greeting(true)
			for _, m := range c.members.Sample(1) {
				probe = member.Probe{To: m.Name, Address: m.Address}
			}
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
