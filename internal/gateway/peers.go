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
	// soloSeedPeriod is the same for an instance that knows of no other: where all start at
	// once the first try meets seeds that do not listen yet.
	soloSeedPeriod = 200 * time.Millisecond
	// seedGap is the pause between two seeds: the first one's answer names the others
	// and all live members, 20 kB in a fleet of 300, which need not come three times.
	seedGap = 60 * time.Millisecond
	// noStorePollPeriod is how often an instance that the object store refuses asks a
	// peer for news.
	noStorePollPeriod = 300 * time.Millisecond
	// catchUpDelay is what the store usually takes to tell all instances of a change.
	catchUpDelay = 100 * time.Millisecond
	// maxSmallFleet is the largest number of instances in which all watch the object
	// store. In a larger one the watchers do, and news spread from peer to peer.
	maxSmallFleet = 16
	// maxPeerSilence is how old the last exchange with a peer may be for that.
	maxPeerSilence = 1500 * time.Millisecond
	// gossipFanout is how many peers are told of a change at once; it spreads on by probes.
	gossipFanout = 12
	// memberSyncThreshold is how many more live members than this instance a peer must know to be
	// asked at once for all of them. Fewer come with probes, 8 at a time. When 150 instances
	// start together most join by a seed that knows few yet, and without it only 45 of them
	// know all after 20 s: trees and roles, which each works out for itself, differ as long.
	memberSyncThreshold = 3
	// memberSyncDelay is how long all peers must have known more, if only a few, to be asked: news
	// of a member reach 300 instances by probes in less.
	memberSyncDelay = 2 * time.Second
	// watcherRole ranks the instances that tell the others.
	watcherRole = "watcher"
)

// peerService is the name of the exchange in net/rpc.
const peerService = "Fleet"

// peerSecret proves to a peer that the other side is an entry instance of the same
// program. The network between instances is the platform's; the proof keeps out
// strays, such as another service at a reused address.
const peerSecret = "shedhoist/fleet/1"

// ReachRequest asks a peer to probe another one.
type ReachRequest struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// ReachReply is the answer to a Reach.
type ReachReply struct {
	OK bool `cbor:"1,keyasint"`
}

// peerHandler is the net/rpc handler of a Gateway. net/rpc wants these signatures.
type peerHandler struct{ g *Gateway }

// Hello answers a probe.
func (h *peerHandler) Hello(req *HelloRequest, out *HelloReply) error {
	behind, lacking := false, false
	h.g.queryControl(func(c *controlState) {
		*out = c.replyHello(req)
		behind, lacking = c.knownVersions().isBehind(req.StateVersions), c.needsMembers(req.LiveMembers)
	})
	out.Staleness = h.g.staleness.Reports(h.g.now())
	out.SuspectsDigest = h.g.quarantine.Digest(h.g.now())
	if lacking {
		h.g.spawn(func() { h.g.syncMembers(req.From.Address) })
	}
	if behind && req.From.Address != "" {
		h.g.spawn(func() { h.g.catchUp(req.From, req.StateVersions) })
	}
	return nil
}

// Reach probes another instance for the asker.
func (h *peerHandler) Reach(req *ReachRequest, out *ReachReply) error {
	ctx, cancel := context.WithTimeout(h.g.ctx, peerTimeout)
	defer cancel()
	var w HelloReply
	hello := &HelloRequest{}
	h.g.queryControl(func(c *controlState) { hello = c.newHelloTo(req.Name, false) })
	err := h.g.pool.Call(ctx, req.Address, peerService+".Hello", hello, &w)
	out.OK = err == nil && w.From.Name == req.Name
	return nil
}

// replyHello takes a peer's probe and answers it.
func (c *controlState) replyHello(req *HelloRequest) HelloReply {
	now := c.now()
	if req.From.Name != "" {
		c.members.Receive([]member.Member{req.From}, now)
	}
	c.members.Receive(req.Members, now)
	c.receiveConfigRef(req.StateVersions, req.From)
	c.receiveLeaving(req.Leaving, req.From)
	out := HelloReply{From: c.members.Self(), StateVersions: c.stateVersions(), LiveMembers: c.members.LiveCount(), Leaving: c.reportLeavingTo(req.From.Name)}
	if req.Join {
		out.Members, out.VersionAges = c.members.Members(), c.versionAges()
	} else {
		out.Members = c.members.UpdatesFor(req.From.Name)
	}
	if req.WantUpdate {
		out.Update = c.updateFor(req.KnownVersions, req.StoreUnreachable)
	}
	return out
}

// newHello is a Hello with all that is known here, to whichever peer.
func (c *controlState) newHello(need bool) *HelloRequest {
	return c.buildHello(c.reportLeaving(), need)
}

// newHelloTo is a greeting to a peer that is known.
func (c *controlState) newHelloTo(peer string, need bool) *HelloRequest {
	return c.buildHello(c.reportLeavingTo(peer), need)
}

func (c *controlState) buildHello(leaving LeavingTargets, need bool) *HelloRequest {
	return &HelloRequest{From: c.members.Self(), StateVersions: c.stateVersions(), KnownVersions: c.knownVersions(), WantUpdate: need, StoreUnreachable: !c.storeReachable,
		LiveMembers: c.members.LiveCount(), Leaving: leaving}
}

// needsMembers says whether a peer that knows so many live members is to be asked for all.
func (c *controlState) needsMembers(known int) bool {
	missing := known - c.members.LiveCount()
	if missing <= 0 {
		c.membersMissingSince = time.Time{}
		return false
	}
	if c.membersMissingSince.IsZero() {
		c.membersMissingSince = c.now()
	}
	if missing <= memberSyncThreshold && c.now().Sub(c.membersMissingSince) < memberSyncDelay {
		return false
	}
	c.membersMissingSince = time.Time{}
	return true
}

// syncMembers asks a peer for all members that it knows. One call at a time is enough.
func (g *Gateway) syncMembers(address string) {
	if !g.syncingMembers.CompareAndSwap(false, true) {
		return
	}
	defer g.syncingMembers.Store(false)
	var hello *HelloRequest
	g.queryControl(func(c *controlState) { hello = c.newHello(false) })
	if hello == nil {
		return // this instance is ending
	}
	hello.Join = true
	g.sendHello(member.Probe{Address: address}, hello)
}

// probePeers carries out the probes that are due; it runs on the control goroutine.
func (g *Gateway) probePeers(c *controlState) {
	need := !c.storeReachable
	for _, p := range c.members.Tick(c.now()) {
		hello := c.newHelloTo(p.To, need)
		hello.Members = p.Updates
		g.spawn(func() { g.sendHello(p, hello) })
	}
}

// probeEnded brings the end of a probe.
type probeEnded struct {
	g     *Gateway
	probe member.Probe
	ok    bool
	reply HelloReply
}

func (e probeEnded) apply(c *controlState) {
	now := c.now()
	c.members.Receive(e.reply.Members, now)
	versionAgesReceived{e.reply.VersionAges}.apply(c)
	if e.ok {
		c.receiveConfigRef(e.reply.StateVersions, e.reply.From)
		c.receiveLeaving(e.reply.Leaving, e.reply.From)
		c.members.Receive([]member.Member{e.reply.From}, now)
		c.members.Ack(e.probe.To, now)
		return
	}
	if around := c.members.DirectProbeFailed(e.probe.To, now); len(around) > 0 {
		e.g.spawn(func() { e.g.probeIndirectly(around) })
	}
}

// probesFailed: neither direct nor indirect probes reached a member.
type probesFailed struct{ name string }

func (e probesFailed) apply(c *controlState) { c.members.ProbeFailed(e.name, c.now()) }

// sendHello sends one direct probe.
func (g *Gateway) sendHello(p member.Probe, req *HelloRequest) {
	ctx, cancel := context.WithTimeout(g.ctx, peerTimeout)
	defer cancel()
	var reply HelloReply
	asked := g.now()
	err := g.pool.Call(ctx, p.Address, peerService+".Hello", req, &reply)
	g.staleness.Merge(reply.Staleness, asked)
	if err != nil && req.Join {
		return // a seed that does not answer is no member yet
	}
	g.sendEvent(probeEnded{g: g, probe: p, ok: err == nil, reply: reply})
	if err == nil {
		g.lastPeerContact.Store(int64(g.now().Sub(g.startedAt)))
		g.compareSuspects(reply.From, reply.SuspectsDigest)
	}
	if reply.Update != nil {
		g.applyUpdate(reply.Update)
		return
	}
	behind, lacking := false, false
	g.queryControl(func(c *controlState) {
		behind, lacking = c.knownVersions().isBehind(reply.StateVersions), c.needsMembers(reply.LiveMembers)
	})
	if lacking {
		g.spawn(func() { g.syncMembers(reply.From.Address) })
	}
	if behind && err == nil && !req.WantUpdate {
		g.catchUp(reply.From, reply.StateVersions)
	}
}

// probeIndirectly asks other members to probe a silent one.
func (g *Gateway) probeIndirectly(probes []member.Probe) {
	results := make(chan bool, len(probes))
	for _, p := range probes {
		g.spawn(func() {
			ctx, cancel := context.WithTimeout(g.ctx, 2*peerTimeout)
			defer cancel()
			var out ReachReply
			err := g.pool.Call(ctx, p.Via, peerService+".Reach", &ReachRequest{Name: p.To, Address: p.Address}, &out)
			results <- err == nil && out.OK
		})
	}
	for range probes {
		if <-results {
			g.sendEvent(probeEnded{g: g, probe: probes[0], ok: true, reply: HelloReply{}})
			return
		}
	}
	g.sendEvent(probesFailed{name: probes[0].To})
}

// joinSeeds joins by way of the seeds, and again after a cut in which the
// members forgot one another.
func (g *Gateway) joinSeeds(ctx context.Context) {
	for {
		seeds := slices.Clone(g.seeds())
		rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
		for _, seed := range seeds {
			g.joinVia(seed)
			if !wait.For(ctx, seedGap) {
				return
			}
		}
		period := seedPeriod
		if len(g.view.Load().Alive) <= 1 {
			period = soloSeedPeriod
		}
		if !wait.For(ctx, wait.Jitter(period)) {
			return
		}
	}
}

// joinVia joins by way of an address, unless its instance is a live member already.
func (g *Gateway) joinVia(address string) {
	known := false
	var hello *HelloRequest
	g.queryControl(func(c *controlState) {
		hello = c.newHello(!c.storeReachable)
		hello.Join = true
		for _, m := range c.members.Members() {
			known = known || (m.Address == address && m.State == member.Alive)
		}
	})
	if hello != nil && !known && address != hello.From.Address {
		g.spawn(func() { g.sendHello(member.Probe{Address: address}, hello) })
	}
}

// pollPeersWithoutStore asks peers for news more often than probes do, for as long as
// the object store does not answer.
func (g *Gateway) pollPeersWithoutStore(ctx context.Context) {
	for wait.For(ctx, wait.Jitter(noStorePollPeriod)) {
		if g.storeReachable.Load() {
			continue
		}
		var probe member.Probe
		var hello *HelloRequest
		g.queryControl(func(c *controlState) {
			for _, m := range c.members.Sample(1) {
				probe = member.Probe{To: m.Name, Address: m.Address}
			}
			hello = c.newHelloTo(probe.To, true)
		})
		if probe.Address != "" {
			g.spawn(func() { g.sendHello(probe, hello) })
		}
	}
}

// announceLeave tells some peers goodbye.
func (g *Gateway) announceLeave() {
	var probes []member.Probe
	var self member.Member
	g.queryControl(func(c *controlState) { probes, self = c.members.Leave(), c.members.Self() })
	for _, p := range probes {
		g.sendHello(p, &HelloRequest{From: self, Members: p.Updates})
	}
}
