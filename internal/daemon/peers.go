package daemon

import (
	"context"
	"math/bits"
	"math/rand/v2"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/observe"
	"github.com/shedhoist/shedhoist/internal/explain"
	"github.com/shedhoist/shedhoist/internal/peer"
	"github.com/shedhoist/shedhoist/internal/settings"
	"github.com/shedhoist/shedhoist/internal/version"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// probePeers starts the probes that are due. It runs on the control goroutine.
func (d *Daemon) probePeers(c *control) {
	for _, p := range c.members.Tick(c.now()) {
		go d.ping(d.ctx, p, c.members.Self(), c.targets.NextUpdates(c.now()), false)
	}
}

// probeEnded carries the result of a probe.
type probeEnded struct {
	d     *Daemon
	probe member.Probe
	ok    bool
	pong  peer.Pong
}

func (e probeEnded) apply(c *control) {
	now := c.now()
	c.members.Receive(e.pong.Updates, now)
	c.targets.MergeDigests(e.pong.Targets, now)
	if e.ok {
		c.members.Ack(e.probe.To, now)
		return
	}
	if e.probe.Via != "" {
		return
	}
	if indirect := c.members.DirectProbeFailed(e.probe.To, now); len(indirect) > 0 {
		go e.d.probeIndirectly(e.d.ctx, indirect)
	}
}

// memberFailed reports that neither direct nor indirect probes reached a member.
type memberFailed struct{ name string }

func (e memberFailed) apply(c *control) { c.members.ProbeFailed(e.name, c.now()) }

// pingReceived carries the updates of a ping that a peer sent.
type pingReceived struct{ ping peer.Ping }

func (e pingReceived) apply(c *control) {
	now := c.now()
	c.members.Receive([]member.Member{e.ping.From}, now)
	c.members.Receive(e.ping.Updates, now)
	c.targets.MergeDigests(e.ping.Targets, now)
}

func (d *Daemon) pingTimeout() time.Duration { return settings.Duration(d.set.Timing.HeartbeatMS) }

// ping sends one direct probe. If the peer has a newer generation of the
// configuration, it starts to fetch that.
func (d *Daemon) ping(ctx context.Context, p member.Probe, self member.Member, updates []observe.Digest, join bool) {
	ctx, cancel := context.WithTimeout(ctx, d.pingTimeout())
	defer cancel()
	req := peer.Ping{From: self, Generation: d.generation(), Updates: p.Updates, Join: join, Targets: updates, Demand: d.admission.TopDemands()}
	var pong peer.Pong
	err := d.pool.Call(ctx, p.Address, "Peer.Ping", &req, &pong)
	if err == nil && pong.Generation > d.generation() {
		go d.fetchConfig(d.ctx, p.Address)
	}
	if err == nil && !join {
		d.admission.SetPeerDemands(p.To, pong.Demand)
	}
	if join && err != nil {
		return // a seed that does not answer does not become a member
	}
	d.send(d.ctx, probeEnded{d: d, probe: p, ok: err == nil, pong: pong})
}

// probeIndirectly asks other members to probe one that did not answer. One success
// is enough.
func (d *Daemon) probeIndirectly(ctx context.Context, probes []member.Probe) {
	results := make(chan bool, len(probes))
	for _, p := range probes {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, 2*d.pingTimeout())
			defer cancel()
			var out peer.IndirectReply
			err := d.pool.Call(ctx, p.Via, "Peer.Indirect", &peer.IndirectRequest{Name: p.To, Address: p.Address}, &out)
			results <- err == nil && out.Reachable
		}()
	}
	for range probes {
		if <-results {
			d.send(ctx, probeEnded{d: d, probe: probes[0], ok: true})
			return
		}
	}
	d.send(ctx, memberFailed{name: probes[0].To})
}

// join sends a join request to an address that may belong to a peer, unless it is
// the address of a live member.
func (d *Daemon) join(ctx context.Context, address string) {
	known := false
	var self member.Member
	d.query(func(c *control) {
		self = c.members.Self()
		for _, m := range c.members.Members() {
			known = known || (m.Address == address && m.State == member.Alive)
		}
	})
	if !known {
		go d.ping(d.ctx, member.Probe{Address: address}, self, nil, true)
	}
}

// joinSeeds joins by way of the seeds, and again after a network partition so long
// that members removed each other. After its start an instance also requests the
// full state of some members, at growing intervals: when many instances start at
// once, updates that travel only on probes queue behind one another.
func (d *Daemon) joinSeeds(ctx context.Context) {
	for round := 1; ; round++ {
		for _, seed := range d.set.Peers.Seeds {
			d.join(ctx, seed)
		}
		if round <= fullStateRounds && bits.OnesCount(uint(round)) == 1 {
			d.requestFullState(ctx)
		}
		if !wait.For(ctx, wait.Jitter(seedRetryInterval)) {
			return
		}
	}
}

// fullStateRounds is the last round of joinSeeds that may request full state; the
// rounds that do are 1, 2, 4, 8 and 16.
const fullStateRounds = 16

// requestFullState joins again by way of a random member, whose reply to a join
// holds its full state.
func (d *Daemon) requestFullState(ctx context.Context) {
	candidates := d.otherMembers(ctx)
	if len(candidates) == 0 {
		return
	}
	m := candidates[rand.IntN(len(candidates))]
	var self member.Member
	d.query(func(c *control) { self = c.members.Self() })
	go d.ping(d.ctx, member.Probe{To: m.Name, Address: m.Address}, self, nil, true)
}

// seedRetryInterval is the mean interval between attempts to join by way of seeds that
// are not live members.
const seedRetryInterval = 2 * time.Second

// Ping implements peer.Handler. The reply to a join holds the full state, others
// hold only updates.
func (d *Daemon) Ping(req peer.Ping) peer.Pong {
	out := peer.Pong{Generation: d.generation(), Demand: d.admission.TopDemands()}
	d.admission.SetPeerDemands(req.From.Name, req.Demand)
	d.query(func(c *control) {
		pingReceived{ping: req}.apply(c)
		if req.Join {
			out.Updates, out.Targets = c.members.Members(), c.targets.AllDigests(c.now())
		} else {
			out.Updates, out.Targets = c.members.UpdatesFor(req.From.Name), c.targets.NextUpdates(c.now())
		}
	})
	if req.Generation > out.Generation {
		go d.fetchConfig(d.ctx, req.From.Address)
	}
	return out
}

// Explain implements peer.Handler; it returns nil if this instance has no record.
func (d *Daemon) Explain(id string) *explain.Record { return d.explainLog.Get(id) }

// Status implements peer.Handler.
func (d *Daemon) Status() peer.Status {
	v := d.view.Load()
	return peer.Status{Name: d.set.Name, Zone: d.set.Zone, Generation: d.generation(), Ready: d.Ready(), Draining: v.Draining,
		InFlight: d.callers.InFlight(), PlatformOK: d.platformOK.Load(), Version: version.String}
}
