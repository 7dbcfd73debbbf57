package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/reach"
	"github.com/shedhoist/shedhoist/internal/inflight"
	"github.com/shedhoist/shedhoist/internal/loadreport"
	"github.com/shedhoist/shedhoist/internal/metric"
)

// An instance may lose its links to the targets while callers, peers and the object store reach it.
// Only its own connects show that, and only a peer can tell whether its links or the targets are
// gone. Links are judged by service: those to one service may be lost and others not.

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
	return s.links.g.view.Load().presentTargets(func(t *catalog.Target) bool { return t.Service == s.service })
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
