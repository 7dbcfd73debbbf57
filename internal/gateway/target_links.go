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
	"github.com/shedhoist/shedhoist/internal/inflight"
	"github.com/shedhoist/shedhoist/internal/loadreport"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// An instance may lose its links to all targets while callers, peers and the object store reach it.
// Only its own connects show that, and only a peer can tell whether its links or the targets are
// gone.

const (
	// linkProbeTimeout bounds each connect of a probe.
	linkProbeTimeout = 150 * time.Millisecond
	// linkProbeTargets is the least number of targets that a probe connects to, and
	// maxLinkProbeTargets the greatest: one in each zone, since a whole zone may be lost.
	linkProbeTargets    = 3
	maxLinkProbeTargets = 8
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

	mu         sync.Mutex
	connecting map[*attemptState]context.CancelFunc // attempts on direct connections, with the function that ends each
	probeDone  chan struct{}                        // closed when the probe in progress ends; nil: none is
}

// trackConnect records an attempt, so that it ends when a partition is found before it has a
// connection. The function returned removes the record.
func (l *targetLinks) trackConnect(at *attemptState, cancel context.CancelFunc) (forget func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connecting == nil {
		l.connecting = map[*attemptState]context.CancelFunc{}
	}
	l.connecting[at] = cancel
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.connecting, at)
	}
}

// endConnects ends the attempts that have no connection yet: nothing was sent, and a peer may reach
// their targets.
func (l *targetLinks) endConnects() (ended int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for at, cancel := range l.connecting {
		if !at.connObtained.Load() {
			cancel()
			ended++
		}
	}
	return ended
}

// awaitProbe waits until no probe is in progress, or ctx ends.
func (l *targetLinks) awaitProbe(ctx context.Context) {
	l.mu.Lock()
	done := l.probeDone
	l.mu.Unlock()
	if done == nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
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
	if !l.tracker.ConnectFailed(t.ID, len(targets), l.g.now()) {
		return
	}
	l.mu.Lock()
	l.probeDone = make(chan struct{})
	l.mu.Unlock()
	l.g.spawn(func() { l.probe(targets) })
}

// noteSilences starts a probe if several targets owe responses and none at all has responded of late:
// on connections that were open before a partition, no connect shows it.
func (l *targetLinks) noteSilences(silent []loadreport.TargetAge) {
	if len(silent) < reach.MinFailedTargets || l.tracker.Partitioned() {
		return
	}
	responded, now := false, l.g.now()
	l.g.upstream.inflight.Each(func(_ string, load *inflight.Load) {
		responded = responded || now.Sub(load.Responses.LastActivity()) < silenceThreshold
	})
	if responded {
		return
	}
	keys := map[loadreport.Key]bool{}
	for _, s := range silent {
		keys[s.Target] = true
	}
	for _, t := range l.g.view.Load().presentTargets() {
		if keys[loadreport.KeyOf(t.ID)] {
			l.connectFailed(t)
		}
	}
}

// endProbe records a probe's result, and lets those go on that wait for it.
func (l *targetLinks) endProbe(reached bool) (begins bool) {
	begins = l.tracker.EndProbe(reached)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.probeDone)
	l.probeDone = nil
	return begins
}

// connected records that a target was reached.
func (l *targetLinks) connected(t *catalog.Target) {
	if l.tracker.Connected() {
		l.g.sendEvent(partitionChanged{l})
		l.g.log.WithField("target", t.ID).Info("targets reached again")
	}
}

// partitionChanged is the event that a partition from the targets began or ended. It takes the state of
// its moment, as a begin and an end may be sent in either order.
type partitionChanged struct{ links *targetLinks }

func (e partitionChanged) apply(c *controlState) {
	c.members.SetPartitioned(e.links.tracker.Partitioned())
}

// probe connects to some targets. If none is reached, a partition begins, and the probe goes on until
// one is.
func (l *targetLinks) probe(targets []*catalog.Target) {
	targets = sampleZones(targets)
	results := make(chan error, len(targets))
	for _, t := range targets {
		l.g.spawn(func() { results <- l.g.connectDirectly(t.Address, linkProbeTimeout) })
	}
	var errs []error
	for range targets {
		err := <-results
		if err == nil {
			l.endProbe(true)
			return
		}
		errs = append(errs, err)
	}
	if !l.endProbe(false) {
		return
	}
	l.beginPartition(len(targets), errors.Join(errs...))
	l.g.spawn(func() { l.logCheck(targets) })
	l.awaitReached()
}

// sampleZones returns random targets for a probe: one in each zone, and more if there are few zones.
func sampleZones(targets []*catalog.Target) []*catalog.Target {
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	seen := map[string]bool{}
	var first, others []*catalog.Target
	for _, t := range targets {
		if seen[t.Zone] {
			others = append(others, t)
			continue
		}
		seen[t.Zone] = true
		first = append(first, t)
	}
	n := min(max(len(first), linkProbeTargets), maxLinkProbeTargets, len(targets))
	return append(first, others...)[:n]
}

// beginPartition makes requests go through peers from now on.
func (l *targetLinks) beginPartition(probed int, cause error) {
	metric.TargetPartitions.Inc()
	ended := l.endConnects()
	l.g.log.WithField("probed_targets", probed).WithField("attempts_left", ended).WithError(cause).Warn("no target can be reached")
	l.g.sendEvent(partitionChanged{l})
	l.g.upstream.closeIdle() // the other ends may be gone when the links come back
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
