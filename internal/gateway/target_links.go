package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
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

// An instance may lose its links to the targets while callers, peers and the object store reach it.
// Only its own connects show that, and only a peer can tell whether its links or the targets are
// gone. Links are judged by service: those to one service may be lost and others not.

const (
	// linkProbeTimeout bounds each connect of a probe.
	linkProbeTimeout = 150 * time.Millisecond
	// linkProbeTargets is the number of targets that a probe connects to: many, since most of a service's
	// targets may crash at once.
	linkProbeTargets = 16
	// linkProbeHeadStart is how long a probe waits for the first fewProbeTargets before it connects to the others:
	// a round trip between zones takes a few milliseconds. Most probes only find slow targets.
	linkProbeHeadStart = 30 * time.Millisecond
	// fewProbeTargets is the number of targets that a probe connects to first, of those of a probe that looks for the
	// end of a partition, and of those that peers are asked about.
	fewProbeTargets = 3
	// linkProbeInterval is the mean pause between the connects that look for the end of a
	// partition.
	linkProbeInterval = 250 * time.Millisecond
)

// targetLinks tracks from which services' targets this instance is partitioned.
type targetLinks struct {
	g *Gateway

	mu         sync.Mutex
	services   map[string]*serviceLinks
	connecting map[*attemptState]context.CancelFunc // attempts on direct connections, with the function that ends each
}

// serviceLinks are the links to the targets of one service.
type serviceLinks struct {
	links   *targetLinks
	service string
	tracker reach.Tracker

	mu        sync.Mutex
	probeDone chan struct{} // closed when the probe in progress ends; nil: none is
	confirmed bool          // a peer reaches targets during the partition: the links are lost, not the targets
}

// to returns the links to a service's targets.
func (l *targetLinks) to(service string) *serviceLinks {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.services == nil {
		l.services = map[string]*serviceLinks{}
	}
	s := l.services[service]
	if s == nil {
		s = &serviceLinks{links: l, service: service}
		l.services[service] = s
	}
	return s
}

// all returns the links to all services to which this instance has connected.
func (l *targetLinks) all() []*serviceLinks {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*serviceLinks, 0, len(l.services))
	for _, s := range l.services {
		out = append(out, s)
	}
	return out
}

// partitionedFrom reports whether this instance reaches no target of a service.
func (l *targetLinks) partitionedFrom(service string) bool {
	return l.to(service).tracker.Partitioned()
}

// lost reports whether this instance has lost its links to the targets of some service, as a peer has
// confirmed.
func (l *targetLinks) lost() bool { return slices.ContainsFunc(l.all(), (*serviceLinks).isConfirmed) }

// trackConnect records an attempt, so that it ends when a partition is found before it has a
// connection, or was found after the attempt's path was decided. The function returned removes the record.
func (l *targetLinks) trackConnect(at *attemptState, cancel context.CancelFunc) (forget func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connecting == nil {
		l.connecting = map[*attemptState]context.CancelFunc{}
	}
	l.connecting[at] = cancel
	if s := l.services[at.target.Service]; s != nil && s.tracker.Partitioned() {
		cancel()
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.connecting, at)
	}
}

// endConnects ends the attempts at a service that have no connection yet: nothing was sent, and a peer
// may reach their targets.
func (l *targetLinks) endConnects(service string) (ended int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for at, cancel := range l.connecting {
		if at.target.Service == service && !at.connObtained.Load() {
			cancel()
			ended++
		}
	}
	return ended
}

// connectEnded records the result of a connect to a target for a request. A connect that its
// request gave up says nothing.
func (l *targetLinks) connectEnded(t *catalog.Target, err error) {
	switch {
	case err == nil:
		metric.TargetConnects(metric.ConnectSucceeded).Inc()
		l.to(t.Service).tracker.Connected()
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		metric.TargetConnects(metric.ConnectRefused).Inc()
		l.connectFailed(t)
	case !errors.Is(err, context.Canceled):
		metric.TargetConnects(metric.ConnectUnanswered).Inc()
		l.connectFailed(t)
	}
}

// connectFailed records that a target was not reached, and starts a probe of others of its service if
// that is due.
func (l *targetLinks) connectFailed(t *catalog.Target) {
	s := l.to(t.Service)
	if s.tracker.ConnectFailed(t.ID, len(s.targets()), l.g.now()) {
		s.startProbe()
	}
}

// noteSilences starts a probe of a service if several of its targets owe responses and none at all has
// responded of late: on connections that were open before a partition, no connect shows it.
func (l *targetLinks) noteSilences(silent []loadreport.TargetAge) {
	if len(silent) < reach.MinFailedTargets {
		return
	}
	targets, now := l.g.view.Load().Targets, l.g.now()
	silentTargets, responding := map[string][]*catalog.Target{}, map[string]bool{} // by service
	l.g.upstream.inflight.Each(func(id string, load *inflight.Load) {
		t := targets[id]
		switch {
		case t == nil:
		case load.Responses.UnresponsiveFor(now) >= silenceThreshold:
			silentTargets[t.Service] = append(silentTargets[t.Service], t)
		case now.Sub(load.Responses.LastActivity()) < silenceThreshold:
			responding[t.Service] = true
		}
	})
	for service, silent := range silentTargets {
		if responding[service] {
			continue
		}
		for _, t := range silent {
			l.connectFailed(t)
		}
	}
}

// targets returns the service's targets that are not leaving.
func (s *serviceLinks) targets() []*catalog.Target {
	return s.links.g.view.Load().presentTargets(s.service)
}

// startProbe starts a probe that the tracker has asked for.
func (s *serviceLinks) startProbe() {
	done := make(chan struct{})
	s.mu.Lock()
	s.probeDone = done
	s.mu.Unlock()
	s.links.g.spawn(func() { s.probe(done) })
}

// endProbe records a probe's result, and lets those go on that wait for it. The next probe may have
// started by then.
func (s *serviceLinks) endProbe(done chan struct{}, reached bool) (begins bool) {
	begins = s.tracker.EndProbe(reached)
	close(done)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.probeDone == done {
		s.probeDone = nil
	}
	return begins
}

// awaitProbe waits until no probe is in progress, or ctx ends.
func (s *serviceLinks) awaitProbe(ctx context.Context) {
	s.mu.Lock()
	done := s.probeDone
	s.mu.Unlock()
	if done == nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// isConfirmed reports whether a peer has confirmed the partition.
func (s *serviceLinks) isConfirmed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed
}

// setConfirmed records that a peer has confirmed the partition, or that it has ended, and tells the others.
func (s *serviceLinks) setConfirmed(confirmed bool) {
	s.mu.Lock()
	s.confirmed = confirmed && s.tracker.Partitioned() // it may have ended meanwhile
	s.mu.Unlock()
	s.links.g.sendEvent(partitionChanged{s.links})
}

// partitionChanged is the event that a partition from targets was confirmed or ended. It takes the state
// of its moment, as the two may be sent in either order.
type partitionChanged struct{ links *targetLinks }

func (e partitionChanged) apply(c *controlState) { c.members.SetPartitioned(e.links.lost()) }

// probe connects to some targets. If none is reached, a partition begins.
func (s *serviceLinks) probe(done chan struct{}) {
	targets := sampleZones(s.targets(), linkProbeTargets)
	reached, err := s.probeInSteps(targets)
	if !s.endProbe(done, reached || len(targets) == 0) {
		return
	}
	s.beginPartition(len(targets), err)
	s.links.g.spawn(func() { s.confirm(targets) })
	s.awaitEnd()
}

// probeInSteps connects to the first targets, and to the others unless one of these is reached soon. It returns
// when one is reached, or all have failed with the last one's error.
func (s *serviceLinks) probeInSteps(targets []*catalog.Target) (reached bool, err error) {
	few := min(fewProbeTargets, len(targets))
	first := s.connectAll(targets[:few])
	var others <-chan connectResult // nil until the others are connected to
	headStart := time.NewTimer(linkProbeHeadStart)
	defer headStart.Stop()
	for failed := 0; failed < len(targets); {
		var r connectResult
		select {
		case <-headStart.C:
			others = s.connectAll(targets[few:])
			continue
		case r = <-first:
		case r = <-others:
		}
		if r.err == nil {
			return true, nil
		}
		failed, err = failed+1, r.err
		if failed == few && others == nil {
			headStart.Reset(0) // no need to wait for more
		}
	}
	return false, err
}

// connectResult is the result of a connect to a target.
type connectResult struct {
	target *catalog.Target
	err    error
}

// connectAll connects to targets at the same time and returns a channel with the result of each.
func (s *serviceLinks) connectAll(targets []*catalog.Target) <-chan connectResult {
	results := make(chan connectResult, len(targets))
	for _, t := range targets {
		s.links.g.spawn(func() { results <- connectResult{t, s.links.g.connectDirectly(t.Address, linkProbeTimeout)} })
	}
	return results
}

// sampleZones returns n random targets, or all if there are fewer; first one in each zone, since a whole
// zone may be lost.
func sampleZones(targets []*catalog.Target, n int) []*catalog.Target {
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
	return append(first, others...)[:min(n, len(targets))]
}

// beginPartition makes requests to the service go through peers from now on, and has the links to the
// other services probed.
func (s *serviceLinks) beginPartition(probed int, cause error) {
	g := s.links.g
	metric.TargetPartitions.Inc()
	ended := s.links.endConnects(s.service)
	g.log.WithField("service", s.service).WithField("probed_targets", probed).WithField("attempts_left", ended).WithError(cause).Warn("no target can be reached")
	g.upstream.closeIdle() // the other ends may be gone when the links come back
	for service := range g.view.Load().Serving {
		if other := s.links.to(service); other.tracker.BeginProbe(g.now()) {
			other.startProbe()
		}
	}
}

// awaitEnd connects to some targets from time to time until enough of them are reached.
func (s *serviceLinks) awaitEnd() {
	g := s.links.g
	startedAt := g.now()
	for wait.For(g.ctx, wait.Jitter(linkProbeInterval)) {
		targets := sampleZones(s.targets(), fewProbeTargets)
		results := s.connectAll(targets)
		var missed []*catalog.Target
		for range targets {
			if r := <-results; r.err != nil {
				missed = append(missed, r.target)
			}
		}
		reached, probed := len(targets)-len(missed), len(targets)
		if reached > 0 && !s.peersReachAny(missed) {
			probed = reached // the others are gone for all
		}
		if s.tracker.Reached(reached, probed) {
			s.setConfirmed(false)
			g.log.WithField("service", s.service).WithField("reached", reached).WithField("probed_targets", len(targets)).
				WithField("after_ms", g.now().Sub(startedAt).Milliseconds()).Info("partition from the targets ended")
			return
		}
	}
}

// peersReachAny reports whether a peer reaches one of the targets.
func (s *serviceLinks) peersReachAny(targets []*catalog.Target) bool {
	return slices.ContainsFunc(targets, func(t *catalog.Target) bool {
		reply, _, ok := s.links.g.checkByPeers(t.Address)
		return ok && reply.Outcome == connectMade
	})
}

// confirm asks peers whether they reach the targets that this instance does not, and logs which of the
// two is gone.
func (s *serviceLinks) confirm(targets []*catalog.Target) {
	g := s.links.g
	for _, t := range targets[:min(fewProbeTargets, len(targets))] {
		reply, by, ok := g.checkByPeers(t.Address)
		if !ok {
			continue
		}
		entry := g.log.WithField("service", s.service).WithField("target", t.ID).WithField("address", t.Address).WithField("peer", by)
		if reply.Outcome == connectMade {
			entry.Warn("peers reach the targets: the links of this instance are gone")
			s.setConfirmed(true)
			return
		}
		entry.WithField("peer_saw", reply.Outcome.String()).Info("a peer does not reach the target either")
	}
	g.log.WithField("service", s.service).Warn("no peer is known to reach the targets")
}

// presentTargets returns the targets of a service that are not leaving.
func (v *View) presentTargets(service string) []*catalog.Target {
	var out []*catalog.Target
	for _, t := range v.Targets {
		if t.Service == service && !t.IsLeaving() {
			out = append(out, t)
		}
	}
	return out
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
