package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/zonehealth"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// When a zone loses power or its network, all its targets are lost at once, and a target that does
// not respond costs each request sent to it hundreds of milliseconds. So the first connection
// attempt without a response makes the instance probe other targets in the zone, by connecting to
// them. If none responds, it reports the zone to all instances, which probe it themselves.

const (
	// slowConnectThreshold is the time after which a connection attempt counts as unanswered: a
	// round trip between zones and a target's accepting the connection take a few milliseconds.
	slowConnectThreshold = 120 * time.Millisecond
	// zoneProbeTimeout bounds each connection attempt of a probe.
	zoneProbeTimeout = 150 * time.Millisecond
	// zoneProbeTargets is the number of targets in a zone that a probe connects to.
	zoneProbeTargets = 3
	// minZoneTargets is the number of targets that a zone must have to be treated as unreachable as
	// a whole.
	minZoneTargets = 2
	// zoneProbeInterval is the mean pause between probes of an unreachable zone, of one target each.
	zoneProbeInterval = 250 * time.Millisecond
	// zoneReportTimeout bounds the report of an unreachable zone to a peer.
	zoneReportTimeout = 300 * time.Millisecond
)

// zoneMonitor tracks which zones are reachable, and the attempts to abandon when one is not.
type zoneMonitor struct {
	g       *Gateway
	zones   zonehealth.Tracker
	mu      sync.Mutex
	waiting map[string]map[*attemptState]func() // by zone: attempts that wait for a response, with the function that abandons each
}

// trackAttempt records an attempt that waits for a response from a zone. abandon ends the attempt
// if that is allowed. The function returned removes the record.
func (m *zoneMonitor) trackAttempt(zone string, at *attemptState, abandon func()) (forget func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.waiting[zone] == nil {
		m.waiting[zone] = map[*attemptState]func(){}
	}
	m.waiting[zone][at] = abandon
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.waiting[zone], at)
	}
}

// abandonAll abandons the attempts that wait for a zone, and returns their number.
func (m *zoneMonitor) abandonAll(zone string) (abandoned int) {
	m.mu.Lock()
	var abandons []func()
	for _, abandon := range m.waiting[zone] {
		abandons = append(abandons, abandon)
	}
	m.mu.Unlock()
	for _, abandon := range abandons {
		abandon()
	}
	return len(abandons)
}

// connectSlow is called when a connection attempt to a target exceeds slowConnectThreshold. It
// starts a probe of the target's zone, unless one has just run or is running.
func (m *zoneMonitor) connectSlow(t *catalog.Target) {
	if m.zones.BeginProbe(t.Zone, m.g.now()) {
		m.g.spawn(func() { m.probeZone(t.Zone, "") })
	}
}

// probeZone connects to some targets in a zone, and marks the zone as unreachable if none responds.
// foundBy is the instance that reported the zone, "" if this instance noticed it itself.
func (m *zoneMonitor) probeZone(zone, foundBy string) {
	targets := m.g.view.Load().targetsInZone(zone)
	if len(targets) < minZoneTargets {
		m.zones.EndProbe(zone, true)
		return
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	targets = targets[:min(zoneProbeTargets, len(targets))]
	results := m.g.connectAll(targets, zoneProbeTimeout)
	reachable := false
	for range targets {
		reachable = hostResponds((<-results).err) || reachable
	}
	if !m.zones.EndProbe(zone, reachable) {
		return
	}
	metric.UnreachableZones.Inc()
	abandoned := m.abandonAll(zone)
	m.g.log.WithField("zone", zone).WithField("looked_at", len(targets)).WithField("told_by", foundBy).WithField("attempts_left", abandoned).Warn("zone is silent")
	if foundBy == "" {
		m.reportZone(zone, m.g.settings().Name, "")
	}
	m.awaitRecovery(zone)
}

// awaitRecovery probes an unreachable zone until a target there responds, or too few targets are
// left there to judge it.
func (m *zoneMonitor) awaitRecovery(zone string) {
	startedAt := m.g.now()
	for wait.For(m.g.ctx, wait.Jitter(zoneProbeInterval)) {
		targets := m.g.view.Load().targetsInZone(zone)
		if len(targets) >= minZoneTargets && !hostResponds(m.g.connectDirectly(targets[rand.IntN(len(targets))].Address, zoneProbeTimeout)) {
			continue
		}
		m.zones.EndProbe(zone, true)
		m.g.log.WithField("zone", zone).WithField("after_ms", m.g.now().Sub(startedAt).Milliseconds()).Info("zone answers again")
		return
	}
}

// hostResponds reports whether a connect that ended with err got a response from the target's machine. A refusal or
// a reset is a response.
func hostResponds(err error) bool {
	return err == nil || errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// UnreachableZone reports that an instance gets no response from a zone's targets.
type UnreachableZone struct {
	Zone      string `cbor:"1,keyasint"`
	FoundBy   string `cbor:"2,keyasint"` // instance that found it
	RelayedBy string `cbor:"3,keyasint"` // instance that sent this copy
}

// SilentZone handles a peer's report of an unreachable zone: it probes the zone, and relays the
// report once.
func (h *peerHandler) SilentZone(req *UnreachableZone, _ *Ack) error {
	m := &h.g.zoneMonitor
	if !m.zones.BeginProbe(req.Zone, h.g.now()) {
		return nil // known to be unreachable, or being probed, or just probed
	}
	h.g.spawn(func() { m.probeZone(req.Zone, req.FoundBy) })
	m.reportZone(req.Zone, req.FoundBy, req.RelayedBy)
	return nil
}

// reportZone reports an unreachable zone to the neighbours, except the one that sent the report.
// Reports are not repeated: where one is lost, the next instance that gets no response from the
// zone reports it again.
func (m *zoneMonitor) reportZone(zone, foundBy, exclude string) {
	report := &UnreachableZone{Zone: zone, FoundBy: foundBy, RelayedBy: m.g.settings().Name}
	for _, n := range m.g.view.Load().Tree.neighbours() {
		if n.Name == exclude {
			continue
		}
		m.g.spawn(func() {
			ctx, cancel := context.WithTimeout(m.g.ctx, zoneReportTimeout)
			defer cancel()
			_ = m.g.pool.Call(ctx, n.Address, peerService+".SilentZone", report, &Ack{})
		})
	}
}

// targetsInZone returns the targets in a zone that are not leaving.
func (v *View) targetsInZone(zone string) []*catalog.Target {
	return v.presentTargets(func(t *catalog.Target) bool { return t.Zone == zone })
}

// unreachableZones returns the zones to exclude when choosing among targets. If all of the targets
// are in unreachable zones, this instance's own link is the likely cause, and no zone is excluded.
// What peers reach for a partitioned instance does not depend on its links.
func (g *Gateway) unreachableZones(service string, targets []*catalog.Target) map[string]bool {
	if g.targetLinks.partitionedFrom(service) {
		return nil
	}
	unreachable := g.zoneMonitor.zones.Unreachable()
	if len(unreachable) == 0 {
		return nil
	}
	for _, t := range targets {
		if !unreachable[t.Zone] {
			return unreachable
		}
	}
	return nil
}

// abandonUnreachable returns the function to call when the target's zone is found
// unreachable. It ends the attempt if there is no connection yet, so that nothing was sent,
// or if the attempt may be abandoned.
func (x *exchange) abandonUnreachable(at *attemptState, cancel context.CancelFunc) func() {
	mayAbandon := x.mayAbandon()
	return func() {
		switch {
		case !at.connObtained.Load():
			cancel()
		case mayAbandon:
			x.abandon(at, cancel)
		}
	}
}

// zoneLostSinceChoice reports whether a target's zone was found unreachable after the target was chosen, so that
// the attempt may have been recorded too late to be abandoned with the others.
func (x *exchange) zoneLostSinceChoice(t *catalog.Target) bool {
	return !x.unreachableZones[t.Zone] && x.g.unreachableZones(x.service, x.view.Serving[x.service])[t.Zone]
}
