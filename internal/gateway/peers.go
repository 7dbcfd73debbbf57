package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Intervals and limits of the protocol between instances.
const (
	peerPeriod = 500 * time.Millisecond // probe interval; docs/MEMBERSHIP.md derives detection times from it
	// peerTimeout bounds one call to a peer: a machine that lost power sends nothing, not
	// even a refusal.
	peerTimeout = 600 * time.Millisecond
	// seedPeriod is the interval at which seeds that are not live members are retried.
	seedPeriod = time.Second
	// soloSeedPeriod replaces seedPeriod while an instance knows no other: when all start
	// at the same time, the seeds do not listen yet at the first attempt.
	soloSeedPeriod = 200 * time.Millisecond
	// seedGap is the pause between two seeds. The reply of the first names the others and
	// all live members, 20 kB in a fleet of 300, which should not be transferred three
	// times.
	seedGap = 60 * time.Millisecond
	// noStorePollPeriod is how often an instance that can't reach the object store requests
	// updates from a peer.
	noStorePollPeriod = 300 * time.Millisecond
	// catchUpDelay is the time within which a change usually reaches all instances from
	// the store.
	catchUpDelay = 100 * time.Millisecond
	// maxSmallFleet is the largest fleet in which every instance watches the object store.
	// In a larger one only the watchers do, and updates spread from peer to peer.
	maxSmallFleet = 16
	// maxPeerSilence is how long ago a peer may have replied last for an instance to rely
	// on peers for updates.
	maxPeerSilence = 1500 * time.Millisecond
	// gossipFanout is how many peers a change is sent to directly; probes carry it further.
	gossipFanout = 12
	// memberSyncThreshold: a peer that knows more than this many additional live members is
	// asked for the whole list immediately. Fewer arrive with probes, 8 at a time. When 150
	// instances start together, most join through a seed that knows few of them; without
	// this request only 45 know all members after 20 s, and until then the relay trees and
	// roles that each instance computes differ.
	memberSyncThreshold = 3
	// memberSyncDelay is how long every peer must have known more members, if only a few,
	// before one is asked for the whole list: probes carry a new member to 300 instances in
	// less.
	memberSyncDelay = 2 * time.Second
	// watcherRole is the rendezvous key that ranks instances for the role of a watcher.
	watcherRole = "watcher"
)

// peerService is the net/rpc service name.
const peerService = "Fleet"

// peerSecret proves to a peer that the other side is an entry instance of the same
// program. Access to the network between instances is controlled by the platform; the
// proof rejects accidental connections, such as from another service at a reused address.
const peerSecret = "shedhoist/fleet/1"

// ReachRequest asks a peer to probe another one.
type ReachRequest struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// ReachReply is the reply to a ReachRequest. OK is set if the other instance answered
// under the expected name.
type ReachReply struct {
	OK bool `cbor:"1,keyasint"`
}

// peerHandler is the net/rpc handler of a Gateway. net/rpc requires the signatures of its
// methods.
type peerHandler struct{ g *Gateway }

// Hello replies to a probe, and starts catching up if the sender knows more.
func (h *peerHandler) Hello(req *HelloRequest, out *HelloReply) error {
	behind, missingMembers := false, false
	h.g.queryControl(func(c *controlState) {
		*out = c.replyHello(req)
		behind, missingMembers = c.knownVersions().isBehind(req.StateVersions), c.needsMembers(req.LiveMembers)
	})
	out.Limits = h.g.limits.sample()
	out.Staleness = h.g.staleness.Reports(h.g.now())
	out.SuspectsDigest = h.g.quarantine.Digest(h.g.now())
	if missingMembers {
		h.g.spawn(func() { h.g.syncMembers(req.From.Address) })
	}
	if behind && req.From.Address != "" {
		h.g.spawn(func() { h.g.catchUp(req.From, req.StateVersions) })
	}
	return nil
}

// Reach probes another instance on behalf of the caller.
func (h *peerHandler) Reach(req *ReachRequest, out *ReachReply) error {
	ctx, cancel := context.WithTimeout(h.g.ctx, peerTimeout)
	defer cancel()
	var reply HelloReply
	hello := &HelloRequest{}
	h.g.queryControl(func(c *controlState) { hello = c.newHelloTo(req.Name, false) })
	err := h.g.pool.Call(ctx, req.Address, peerService+".Hello", hello, &reply)
	out.OK = err == nil && reply.From.Name == req.Name
	return nil
}

// replyHello applies what a peer's probe reports and returns the reply to it.
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
		out.Members = c.members.Members()
	} else {
		out.Members = c.members.UpdatesFor(req.From.Name)
	}
	if req.Join || req.WantVersionAges {
		out.VersionAges, out.UnknownVersions = c.versionAges()
	}
	if req.WantUpdate {
		out.Update = c.updateFor(req.KnownVersions, req.StoreUnreachable)
	}
	return out
}

// newHello returns a hello request for any peer. It contains all leaving targets.
func (c *controlState) newHello(wantUpdate bool) *HelloRequest {
	return c.buildHello(c.reportLeaving(), wantUpdate)
}

// newHelloTo returns a hello request for one peer. It contains the leaving targets that
// are due to be reported to that peer.
func (c *controlState) newHelloTo(peer string, wantUpdate bool) *HelloRequest {
	return c.buildHello(c.reportLeavingTo(peer), wantUpdate)
}

func (c *controlState) buildHello(leaving LeavingTargets, wantUpdate bool) *HelloRequest {
	return &HelloRequest{From: c.members.Self(), StateVersions: c.stateVersions(), KnownVersions: c.knownVersions(), WantUpdate: wantUpdate, StoreUnreachable: !c.storeReachable,
		LiveMembers: c.members.LiveCount(), Leaving: leaving, WantVersionAges: c.wantsVersionAges()}
}

// needsMembers reports whether a peer that knows this many live members should be asked
// for all of them. See memberSyncThreshold and memberSyncDelay.
func (c *controlState) needsMembers(peerLiveCount int) bool {
	missing := peerLiveCount - c.members.LiveCount()
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

// syncMembers requests all members that a peer knows. Only one call runs at a time.
func (g *Gateway) syncMembers(address string) {
	if !g.syncingMembers.CompareAndSwap(false, true) {
		return
	}
	defer g.syncingMembers.Store(false)
	var hello *HelloRequest
	g.queryControl(func(c *controlState) { hello = c.newHello(false) })
	if hello == nil {
		return // this instance is shutting down
	}
	hello.Join = true
	g.sendHello(member.Probe{Address: address}, hello)
}

// probePeers sends the probes that are due. It runs on the control goroutine.
func (g *Gateway) probePeers(c *controlState) {
	wantUpdate := !c.storeReachable
	for _, p := range c.members.Tick(c.now()) {
		hello := c.newHelloTo(p.To, wantUpdate)
		hello.Members = p.Updates
		g.spawn(func() { g.sendHello(p, hello) })
	}
}

// probeEnded is the event that a probe was answered or failed.
type probeEnded struct {
	g     *Gateway
	probe member.Probe
	ok    bool
	reply HelloReply
}

func (e probeEnded) apply(c *controlState) {
	now := c.now()
	c.members.Receive(e.reply.Members, now)
	e.reply.versionAges().apply(c)
	if e.ok {
		c.receiveConfigRef(e.reply.StateVersions, e.reply.From)
		c.receiveLeaving(e.reply.Leaving, e.reply.From)
		c.members.Receive([]member.Member{e.reply.From}, now)
	}
	if e.ok && !e.answeredByAnother() {
		c.members.Ack(e.probe.To, now)
		return
	}
	if indirect := c.members.DirectProbeFailed(e.probe.To, now); len(indirect) > 0 {
		e.g.spawn(func() { e.g.probeIndirectly(indirect) })
	}
}

// answeredByAnother reports whether the probe reached another instance, at the address of one that is gone.
func (e probeEnded) answeredByAnother() bool {
	return e.probe.To != "" && e.reply.From.Name != "" && e.reply.From.Name != e.probe.To
}

// probesFailed is the event that neither direct nor indirect probes reached a member.
type probesFailed struct{ name string }

func (e probesFailed) apply(c *controlState) { c.members.ProbeFailed(e.name, c.now()) }

// sendHello sends one direct probe and applies the reply.
func (g *Gateway) sendHello(p member.Probe, req *HelloRequest) {
	ctx, cancel := context.WithTimeout(g.ctx, peerTimeout)
	defer cancel()
	var reply HelloReply
	sentAt := g.now()
	err := g.pool.Call(ctx, p.Address, peerService+".Hello", req, &reply)
	g.staleness.Merge(reply.Staleness, sentAt)
	if err != nil && req.Join {
		return // a seed that does not answer is not a member yet
	}
	if err != nil && p.To != "" && ctx.Err() != nil {
		g.streams.contacts.Lose(p.To, g.now())
	}
	g.sendEvent(probeEnded{g: g, probe: p, ok: err == nil, reply: reply})
	if err == nil {
		g.limits.receive(reply.Limits, reply.From.Name)
		g.lastPeerContact.Store(int64(g.now().Sub(g.startedAt)))
		g.compareSuspects(reply.From, reply.SuspectsDigest)
	}
	if reply.Update != nil {
		g.applyUpdate(reply.Update)
		return
	}
	behind, missingMembers := false, false
	g.queryControl(func(c *controlState) {
		behind, missingMembers = c.knownVersions().isBehind(reply.StateVersions), c.needsMembers(reply.LiveMembers)
	})
	if missingMembers {
		g.spawn(func() { g.syncMembers(reply.From.Address) })
	}
	if behind && err == nil && !req.WantUpdate {
		g.catchUp(reply.From, reply.StateVersions)
	}
}

// probeIndirectly asks other members to probe one that did not answer.
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

// joinSeeds joins the fleet through the seeds, and rejoins after a network partition in
// which the members removed one another.
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

// joinVia joins through an address. An instance that is already a live member is only asked for the ages of
// versions, while they are wanted: it may have been heard of before it replied to a join.
func (g *Gateway) joinVia(address string) {
	known := false
	var hello *HelloRequest
	g.queryControl(func(c *controlState) {
		hello = c.newHello(!c.storeReachable)
		for _, m := range c.members.Members() {
			known = known || (m.Address == address && m.State == member.Alive)
		}
	})
	if hello == nil || address == hello.From.Address || known && !hello.WantVersionAges {
		return
	}
	hello.Join = !known
	g.spawn(func() { g.sendHello(member.Probe{Address: address}, hello) })
}

// pollPeersWithoutStore requests updates from peers more often than probes do, while the
// object store is unreachable.
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

// announceLeave tells some peers that this instance leaves the fleet.
func (g *Gateway) announceLeave() {
	var probes []member.Probe
	var self member.Member
	g.queryControl(func(c *controlState) { probes, self = c.members.Leave(), c.members.Self() })
	for _, p := range probes {
		g.sendHello(p, &HelloRequest{From: self, Members: p.Updates})
	}
}
