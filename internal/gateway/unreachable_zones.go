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

// A zone that loses power, or is cut off, takes all its targets at once, and a silent target
// costs each request that meets it hundreds of milliseconds. So the first silent connect
// has the instance look at others of the zone, by connects alone; if none answers it tells all
// instances, which look for themselves.

const (
	// slowConnectThreshold is the time after which a connect seems silent: a round trip between zones
	// and a target's work on a new connection take a few milliseconds.
	slowConnectThreshold = 120 * time.Millisecond
	// zoneProbeTimeout is how long a look waits for a connect.
	zoneProbeTimeout = 150 * time.Millisecond
	// zoneProbeTargets is how many targets of a zone a look connects to.
	zoneProbeTargets = 3
	// minZoneTargets is how many targets a zone must have to be believed dark as a whole.
	minZoneTargets = 2
	// zoneProbeInterval is the pause between two looks at a dark zone, by one connect each.
	zoneProbeInterval = 250 * time.Millisecond
	// zoneReportTimeout bounds the message on a dark zone.
	zoneReportTimeout = 300 * time.Millisecond
)

// zoneMonitor are what an instance believes of zones, and the attempts that end with them.
type zoneMonitor struct {
	g       *Gateway
	zones   zonehealth.Tracker
	mu      sync.Mutex
	waiting map[string]map[*attemptState]func() // by zone: attempts without an answer, and what ends them
}

// trackAttempt notes an attempt that waits for an answer from a zone. leave ends it, if it may be
// ended. The function returned forgets it.
func (d *zoneMonitor) trackAttempt(zone string, at *attemptState, leave func()) (forget func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.waiting[zone] == nil {
		d.waiting[zone] = map[*attemptState]func(){}
	}
	d.waiting[zone][at] = leave
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.waiting[zone], at)
	}
}

// abandonAll ends the attempts that wait for a zone.
func (d *zoneMonitor) abandonAll(zone string) (left int) {
	d.mu.Lock()
	var leave []func()
	for _, f := range d.waiting[zone] {
		leave = append(leave, f)
	}
	d.mu.Unlock()
	for _, f := range leave {
		f()
	}
	return len(leave)
}

// connectSlow takes that a connect to a target did not come about in a usual time.
func (d *zoneMonitor) connectSlow(t *catalog.Target) {
	if d.zones.BeginProbe(t.Zone, d.g.now()) {
		d.g.spawn(func() { d.probeZone(t.Zone, "") })
	}
}

// probeZone connects to some targets of a zone. from is who told of it, "" if this instance met the
// silence itself.
func (d *zoneMonitor) probeZone(zone, from string) {
	targets := d.g.view.Load().targetsInZone(zone)
	if len(targets) < minZoneTargets {
		d.zones.EndProbe(zone, true)
		return
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	targets = targets[:min(zoneProbeTargets, len(targets))]
	answers := make(chan bool, len(targets))
	for _, t := range targets {
		d.g.spawn(func() { answers <- d.probeTarget(t) })
	}
	some := false
	for range targets {
		some = <-answers || some
	}
	if !d.zones.EndProbe(zone, some) {
		return
	}
	metric.UnreachableZones.Inc()
	left := d.abandonAll(zone)
	d.g.log.WithField("zone", zone).WithField("looked_at", len(targets)).WithField("told_by", from).WithField("attempts_left", left).Warn("zone is silent")
	if from == "" {
		d.reportZone(zone, d.g.settings().Name, "")
	}
	d.awaitRecovery(zone)
}

// awaitRecovery looks at a dark zone until something answers there.
func (d *zoneMonitor) awaitRecovery(zone string) {
	began := d.g.now()
	for wait.For(d.g.ctx, wait.Jitter(zoneProbeInterval)) {
		targets := d.g.view.Load().targetsInZone(zone)
		if len(targets) >= minZoneTargets && !d.probeTarget(targets[rand.IntN(len(targets))]) {
			continue
		}
		d.zones.EndProbe(zone, true)
		d.g.log.WithField("zone", zone).WithField("after_ms", d.g.now().Sub(began).Milliseconds()).Info("zone answers again")
		return
	}
}

// probeTarget says whether a target's machine answers a connect, if only by refusing it.
func (d *zoneMonitor) probeTarget(t *catalog.Target) bool {
	ctx, cancel := context.WithTimeout(d.g.ctx, zoneProbeTimeout)
	defer cancel()
	conn, err := d.g.upstream.dial(ctx, "tcp", t.Address)
	if err == nil {
		_ = conn.Close() // nothing was sent on it
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// UnreachableZone tells that a zone's targets do not answer an instance.
type UnreachableZone struct {
	Zone      string `cbor:"1,keyasint"`
	FoundBy   string `cbor:"2,keyasint"` // who found it
	RelayedBy string `cbor:"3,keyasint"` // who passes it on
}

// UnreachableZone takes a peer's word, and passes it on once.
func (h *peerHandler) SilentZone(req *UnreachableZone, _ *Ack) error {
	d := &h.g.zoneMonitor
	if !d.zones.BeginProbe(req.Zone, h.g.now()) {
		return nil // it is dark here too, or has just been looked at
	}
	h.g.spawn(func() { d.probeZone(req.Zone, req.FoundBy) })
	d.reportZone(req.Zone, req.FoundBy, req.RelayedBy)
	return nil
}

// reportZone tells the neighbours, but the one who told it. A word that is lost is made good by the
// next instance that meets the silence.
func (d *zoneMonitor) reportZone(zone, from, but string) {
	word := &UnreachableZone{Zone: zone, FoundBy: from, RelayedBy: d.g.settings().Name}
	for _, n := range d.g.view.Load().Tree.neighbours() {
		if n.Name == but {
			continue
		}
		d.g.spawn(func() {
			ctx, cancel := context.WithTimeout(d.g.ctx, zoneReportTimeout)
			defer cancel()
			_ = d.g.pool.Call(ctx, n.Address, peerService+".SilentZone", word, &Ack{})
		})
	}
}

// targetsInZone are the targets of a zone that are not leaving.
func (v *View) targetsInZone(zone string) []*catalog.Target {
	var out []*catalog.Target
	for _, t := range v.Targets {
		if t.Zone == zone && !t.IsLeaving() {
			out = append(out, t)
		}
	}
	return out
}

// unreachableZones are the zones that requests to some targets leave out. Where all that have targets
// seem dark it is most likely this instance's own link, and none is left out.
func (g *Gateway) unreachableZones(targets []*catalog.Target) map[string]bool {
	out := g.zoneMonitor.zones.Unreachable()
	if len(out) == 0 {
		return nil
	}
	for _, t := range targets {
		if !out[t.Zone] {
			return out
		}
	}
	return nil
}
