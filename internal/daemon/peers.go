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

// probePeers carries out the probes that are due; it runs on the control goroutine.
func (d *Daemon) probePeers(c *control) {
	for _, p := range c.members.Tick(c.now()) {
		go d.ping(d.ctx, p, c.members.Self(), c.targets.NextUpdates(c.now()), false)
	}
}

// pinged brings the end of a probe.
type pinged struct {
	d     *Daemon
	probe member.Probe
	ok    bool
	pong  peer.Pong
}

func (e pinged) apply(c *control) {
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
	if around := c.members.DirectProbeFailed(e.probe.To, now); len(around) > 0 {
		go e.d.pingAround(e.d.ctx, around)
	}
}

// memberFailed: neither direct nor indirect probes reached a member.
type memberFailed struct{ name string }

func (e memberFailed) apply(c *control) { c.members.ProbeFailed(e.name, c.now()) }

// heardFrom brings the news on a peer's own message.
type heardFrom struct{ ping peer.Ping }

func (e heardFrom) apply(c *control) {
	now := c.now()
	c.members.Receive([]member.Member{e.ping.From}, now)
	c.members.Receive(e.ping.Updates, now)
	c.targets.MergeDigests(e.ping.Targets, now)
}

func (d *Daemon) pingTimeout() time.Duration { return settings.Duration(d.set.Timing.HeartbeatMS) }

// ping sends one direct probe.
func (d *Daemon) ping(ctx context.Context, p member.Probe, self member.Member, news []observe.Digest, join bool) {
	ctx, cancel := context.WithTimeout(ctx, d.pingTimeout())
	defer cancel()
	req := peer.Ping{From: self, Generation: d.generation(), Updates: p.Updates, Join: join, Targets: news, Demand: d.admit.Demands()}
	var pong peer.Pong
	err := d.pool.Call(ctx, p.Address, "Peer.Ping", &req, &pong)
	if err == nil && pong.Generation > d.generation() {
		go d.pull(d.ctx, p.Address)
	}
	if err == nil && !join {
		d.admit.Told(p.To, pong.Demand)
	}
	if join && err != nil {
		return // a seed that does not answer is no member yet
	}
	d.send(d.ctx, pinged{d: d, probe: p, ok: err == nil, pong: pong})
}

// pingAround asks other members to probe a silent one.
func (d *Daemon) pingAround(ctx context.Context, probes []member.Probe) {
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
			d.send(ctx, pinged{d: d, probe: probes[0], ok: true})
			return
		}
	}
	d.send(ctx, memberFailed{name: probes[0].To})
}

// greet joins by way of an address that may belong to a peer, unless its
// instance is a live member already.
func (d *Daemon) greet(ctx context.Context, address string) {
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

// greetSeeds joins, and joins again after a long cut in which the members
// forgot one another. A young instance also asks some members for all they know,
// ever more rarely: when many start at once their news would otherwise queue
// behind one another on the probes.
func (d *Daemon) greetSeeds(ctx context.Context) {
	for round := 1; ; round++ {
		for _, seed := range d.set.Peers.Seeds {
			d.greet(ctx, seed)
		}
		if round <= youngRounds && bits.OnesCount(uint(round)) == 1 {
			d.askAllOf(ctx)
		}
		if !wait.For(ctx, wait.Jitter(seedPeriod)) {
			return
		}
	}
}

// youngRounds is how many rounds of greeting an instance is young for; it asks
// in rounds 1, 2, 4, 8, 16.
const youngRounds = 16

// askAllOf joins again by way of a random member, whose answer holds all.
func (d *Daemon) askAllOf(ctx context.Context) {
	others := d.others(ctx)
	if len(others) == 0 {
		return
	}
	m := others[rand.IntN(len(others))]
	var self member.Member
	d.query(func(c *control) { self = c.members.Self() })
	go d.ping(d.ctx, member.Probe{To: m.Name, Address: m.Address}, self, nil, true)
}

// seedPeriod is how often seeds that are no live members are tried again.
const seedPeriod = 2 * time.Second

// Ping implements peer.Handler.
func (d *Daemon) Ping(req peer.Ping) peer.Pong {
	out := peer.Pong{Generation: d.generation(), Demand: d.admit.Demands()}
	d.admit.Told(req.From.Name, req.Demand)
	d.query(func(c *control) {
		heardFrom{ping: req}.apply(c)
		if req.Join {
			out.Updates, out.Targets = c.members.Members(), c.targets.AllDigests(c.now())
		} else {
			out.Updates, out.Targets = c.members.UpdatesFor(req.From.Name), c.targets.NextUpdates(c.now())
		}
	})
	if req.Generation > out.Generation {
		go d.pull(d.ctx, req.From.Address)
	}
	return out
}

// Explain implements peer.Handler.
func (d *Daemon) Explain(id string) *explain.Record { return d.whys.Get(id) }

// Status implements peer.Handler.
func (d *Daemon) Status() peer.Status {
	v := d.view.Load()
	return peer.Status{Name: d.set.Name, Zone: d.set.Zone, Generation: d.generation(), Ready: d.Ready(), Draining: v.Draining,
		InFlight: d.callers.InFlight(), PlatformOK: d.platformOK.Load(), Version: version.String}
}
