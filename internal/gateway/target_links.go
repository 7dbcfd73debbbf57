package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/reach"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// An instance may lose its links to all targets while callers, peers and the object store reach it.
// Only its own connects show that, and only a peer can tell whether its links or the targets are
// gone.

const (
	// linkProbeTimeout bounds each connect of a probe.
	linkProbeTimeout = 150 * time.Millisecond
	// linkProbeTargets is the number of targets that a probe connects to.
	linkProbeTargets = 3
	// linkProbeInterval is the mean pause between the connects that look for the end of a
	// partition.
	linkProbeInterval = 250 * time.Millisecond
	// targetCheckTimeout bounds a peer's check of a target: its connect, and the call.
	targetCheckTimeout = 300 * time.Millisecond
	// targetCheckPeers is the number of peers that are asked about a target.
	targetCheckPeers = 2
)

// targetLinks tracks whether this instance reaches any target.
type targetLinks struct {
	g       *Gateway
	tracker reach.Tracker
}

// connectEnded records the result of a connect to a target for a request. A connect that its
// request gave up says nothing.
func (l *targetLinks) connectEnded(t *catalog.Target, err error) {
	switch {
	case err == nil:
		metric.TargetConnects(metric.ConnectSucceeded).Inc()
		l.connected(t)
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		metric.TargetConnects(metric.ConnectRefused).Inc()
		l.connectFailed(t)
	case !errors.Is(err, context.Canceled):
		metric.TargetConnects(metric.ConnectUnanswered).Inc()
		l.connectFailed(t)
	}
}

// connectFailed records that a target was not reached, and starts a probe of others if that is due.
func (l *targetLinks) connectFailed(t *catalog.Target) {
	targets := l.g.view.Load().presentTargets()
	if l.tracker.ConnectFailed(t.ID, len(targets), l.g.now()) {
		l.g.spawn(func() { l.probe(targets) })
	}
}

// connected records that a target was reached.
func (l *targetLinks) connected(t *catalog.Target) {
	if l.tracker.Connected() {
		l.g.log.WithField("target", t.ID).Info("targets reached again")
	}
}

// probe connects to some targets. If none is reached, a partition begins, and the probe goes on until
// one is.
func (l *targetLinks) probe(targets []*catalog.Target) {
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	targets = targets[:min(linkProbeTargets, len(targets))]
	var connects sync.WaitGroup
	errs := make([]error, len(targets))
	for i, t := range targets {
		connects.Add(1)
		l.g.spawn(func() {
			defer connects.Done()
			errs[i] = l.g.connectDirectly(t.Address, linkProbeTimeout)
		})
	}
	connects.Wait()
	reached := false
	for _, err := range errs {
		reached = reached || err == nil
	}
	if !l.tracker.EndProbe(reached) {
		return
	}
	metric.TargetPartitions.Inc()
	l.g.log.WithField("probed_targets", len(targets)).WithError(errors.Join(errs...)).Warn("no target can be reached")
	l.g.spawn(func() { l.logCheck(targets) })
	l.awaitReached()
}

// awaitReached connects to a random target from time to time until one is reached.
func (l *targetLinks) awaitReached() {
	startedAt := l.g.now()
	for l.tracker.Partitioned() && wait.For(l.g.ctx, wait.Jitter(linkProbeInterval)) {
		targets := l.g.view.Load().presentTargets()
		if len(targets) == 0 {
			continue
		}
		if t := targets[rand.IntN(len(targets))]; l.g.connectDirectly(t.Address, linkProbeTimeout) == nil {
			l.connected(t)
		}
	}
	l.g.log.WithField("after_ms", l.g.now().Sub(startedAt).Milliseconds()).Info("partition from the targets ended")
}

// logCheck asks peers whether they reach the targets that this instance does not, and logs which of
// the two is gone.
func (l *targetLinks) logCheck(targets []*catalog.Target) {
	for _, t := range targets {
		reply, by, ok := l.g.checkByPeers(t.Address)
		if !ok {
			continue
		}
		entry := l.g.log.WithField("target", t.ID).WithField("address", t.Address).WithField("peer", by)
		if reply.Outcome == connectMade {
			entry.Warn("peers reach the targets: the links of this instance are gone")
			return
		}
		entry.WithField("peer_saw", reply.Outcome.String()).Info("a peer does not reach the target either")
	}
	l.g.log.WithField("asked_about", len(targets)).Warn("no peer is known to reach the targets")
}

// connectDirectly opens and closes a connection to a target's address.
func (g *Gateway) connectDirectly(address string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(g.ctx, timeout)
	defer cancel()
	conn, err := g.upstream.dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	_ = conn.Close() // nothing has been sent
	return nil
}

// connectOutcome is how a connect to a target ended.
type connectOutcome uint8

// Values of connectOutcome.
const (
	connectMade       connectOutcome = iota + 1
	connectRefused                   // the host answered that nobody listens
	connectUnanswered                // no answer in time
)

// String returns the outcome's name in logs.
func (o connectOutcome) String() string {
	switch o {
	case connectMade:
		return "connected"
	case connectRefused:
		return "refused"
	case connectUnanswered:
		return "no answer"
	}
	return "unknown"
}

// outcomeOf returns the outcome of a connect that ended with err.
func outcomeOf(err error) connectOutcome {
	switch {
	case err == nil:
		return connectMade
	case errors.Is(err, syscall.ECONNREFUSED):
		return connectRefused
	}
	return connectUnanswered
}

// TargetCheck asks a peer to connect to a target.
type TargetCheck struct {
	Address string `cbor:"1,keyasint"`
}

// TargetCheckReply says how the connect of a TargetCheck ended.
type TargetCheckReply struct {
	Outcome connectOutcome `cbor:"1,keyasint"`
	// Partitioned is set if the peer itself reaches no target: its outcome then says nothing.
	Partitioned bool `cbor:"2,keyasint,omitempty"`
}

// CheckTarget connects to a target on behalf of a peer. Other addresses are not connected to.
func (h *peerHandler) CheckTarget(req *TargetCheck, out *TargetCheckReply) error {
	out.Partitioned = h.g.targetLinks.tracker.Partitioned()
	if out.Partitioned || !h.g.view.Load().hasTargetAt(req.Address) {
		return nil
	}
	out.Outcome = outcomeOf(h.g.connectDirectly(req.Address, linkProbeTimeout))
	return nil
}

// checkByPeers asks peers, one after another, to connect to a target. It returns the first
// statement and the name of the peer that made it; ok is false if none could tell.
func (g *Gateway) checkByPeers(address string) (reply TargetCheckReply, by string, ok bool) {
	peers := g.view.Load().otherPeers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, m := range peers[:min(targetCheckPeers, len(peers))] {
		ctx, cancel := context.WithTimeout(g.ctx, targetCheckTimeout)
		reply = TargetCheckReply{}
		err := g.pool.Call(ctx, m.Address, peerService+".CheckTarget", &TargetCheck{Address: address}, &reply)
		cancel()
		if err == nil && !reply.Partitioned && reply.Outcome != 0 {
			return reply, m.Name, true
		}
	}
	return TargetCheckReply{}, "", false
}

// presentTargets returns the targets that are not leaving.
func (v *View) presentTargets() []*catalog.Target {
	out := make([]*catalog.Target, 0, len(v.Targets))
	for _, t := range v.Targets {
		if !t.IsLeaving() {
			out = append(out, t)
		}
	}
	return out
}

// hasTargetAt reports whether a target is known at an address.
func (v *View) hasTargetAt(address string) bool {
	for _, t := range v.Targets {
		if t.Address == address {
			return true
		}
	}
	return false
}

// otherPeers returns the other live instances.
func (v *View) otherPeers() []member.Member {
	out := make([]member.Member, 0, len(v.Peers))
	for _, m := range v.Peers {
		if m.Name != v.Self {
			out = append(out, m)
		}
	}
	return out
}
