package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Probes of the links to a service's targets: those that find a partition, and those that find its end.

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
	g, few := s.links.g, min(fewProbeTargets, len(targets))
	first := g.connectAll(targets[:few], linkProbeTimeout)
	var others <-chan connectResult // nil until the others are connected to
	headStart := time.NewTimer(linkProbeHeadStart)
	defer headStart.Stop()
	for failed := 0; failed < len(targets); {
		var r connectResult
		select {
		case <-headStart.C:
			others = g.connectAll(targets[few:], linkProbeTimeout)
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
	for _, t := range s.targets() {
		g.breaker.Forgive(t.ID) // its connects failed for the links of this instance
	}
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
		results := g.connectAll(targets, linkProbeTimeout)
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
