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
	// slowConnect is the time after which a connect seems silent: a round trip between zones
	// and a target's work on a new connection take a few milliseconds.
	slowConnect = 120 * time.Millisecond
	// lookTime is how long a look waits for a connect.
	lookTime = 150 * time.Millisecond
	// lookedAt is how many targets of a zone a look connects to.
	lookedAt = 3
	// leastDark is how many targets a zone must have to be believed dark as a whole.
	leastDark = 2
	// darkPoll is the pause between two looks at a dark zone, by one connect each.
	darkPoll = 250 * time.Millisecond
	// darkTimeout bounds the message on a dark zone.
	darkTimeout = 300 * time.Millisecond
)

// darkZones are what an instance believes of zones, and the attempts that end with them.
type darkZones struct {
	g     *Gateway
	zones zonehealth.Tracker
	mu    sync.Mutex
	waits map[string]map[*work]func() // by zone: attempts without an answer, and what ends them
}

// wait notes an attempt that waits for an answer from a zone. leave ends it, if it may be
// ended. The function returned forgets it.
func (d *darkZones) wait(zone string, at *work, leave func()) (forget func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.waits[zone] == nil {
		d.waits[zone] = map[*work]func(){}
	}
	d.waits[zone][at] = leave
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.waits[zone], at)
	}
}

// leaveAll ends the attempts that wait for a zone.
func (d *darkZones) leaveAll(zone string) (left int) {
	d.mu.Lock()
	var leave []func()
	for _, f := range d.waits[zone] {
		leave = append(leave, f)
	}
	d.mu.Unlock()
	for _, f := range leave {
		f()
	}
	return len(leave)
}

// silent takes that a connect to a target did not come about in a usual time.
func (d *darkZones) silent(t *catalog.Target) {
	if d.zones.BeginProbe(t.Zone, d.g.now()) {
		d.g.start(func() { d.look(t.Zone, "") })
	}
}

// look connects to some targets of a zone. from is who told of it, "" if this instance met the
// silence itself.
func (d *darkZones) look(zone, from string) {
	targets := d.g.view.Load().inZone(zone)
	if len(targets) < leastDark {
		d.zones.EndProbe(zone, true)
		return
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	targets = targets[:min(lookedAt, len(targets))]
	answers := make(chan bool, len(targets))
	for _, t := range targets {
		d.g.start(func() { answers <- d.answers(t) })
	}
	some := false
	for range targets {
		some = <-answers || some
	}
	if !d.zones.EndProbe(zone, some) {
		return
	}
	metric.UnreachableZones.Inc()
	left := d.leaveAll(zone)
	d.g.log.WithField("zone", zone).WithField("looked_at", len(targets)).WithField("told_by", from).WithField("attempts_left", left).Warn("zone is silent")
	if from == "" {
		d.tell(zone, d.g.settings().Name, "")
	}
	d.watch(zone)
}

// watch looks at a dark zone until something answers there.
func (d *darkZones) watch(zone string) {
	began := d.g.now()
	for wait.For(d.g.ctx, wait.Jitter(darkPoll)) {
		targets := d.g.view.Load().inZone(zone)
		if len(targets) >= leastDark && !d.answers(targets[rand.IntN(len(targets))]) {
			continue
		}
		d.zones.EndProbe(zone, true)
		d.g.log.WithField("zone", zone).WithField("after_ms", d.g.now().Sub(began).Milliseconds()).Info("zone answers again")
		return
	}
}

// answers says whether a target's machine answers a connect, if only by refusing it.
func (d *darkZones) answers(t *catalog.Target) bool {
	ctx, cancel := context.WithTimeout(d.g.ctx, lookTime)
	defer cancel()
	conn, err := d.g.upstream.dial(ctx, "tcp", t.Address)
	if err == nil {
		_ = conn.Close() // nothing was sent on it
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// SilentZone tells that a zone's targets do not answer an instance.
type SilentZone struct {
	Zone string `cbor:"1,keyasint"`
	From string `cbor:"2,keyasint"` // who found it
	By   string `cbor:"3,keyasint"` // who passes it on
}

// SilentZone takes a peer's word, and passes it on once.
func (h *peerHandler) SilentZone(req *SilentZone, _ *Heard) error {
	d := &h.g.dark
	if !d.zones.BeginProbe(req.Zone, h.g.now()) {
		return nil // it is dark here too, or has just been looked at
	}
	h.g.start(func() { d.look(req.Zone, req.From) })
	d.tell(req.Zone, req.From, req.By)
	return nil
}

// tell tells the neighbours, but the one who told it. A word that is lost is made good by the
// next instance that meets the silence.
func (d *darkZones) tell(zone, from, but string) {
	word := &SilentZone{Zone: zone, From: from, By: d.g.settings().Name}
	for _, n := range d.g.view.Load().Tree.neighbours() {
		if n.Name == but {
			continue
		}
		d.g.start(func() {
			ctx, cancel := context.WithTimeout(d.g.ctx, darkTimeout)
			defer cancel()
			_ = d.g.pool.Call(ctx, n.Address, peerService+".SilentZone", word, &Heard{})
		})
	}
}

// inZone are the targets of a zone that are not leaving.
func (v *View) inZone(zone string) []*catalog.Target {
	var out []*catalog.Target
	for _, t := range v.Targets {
		if t.Zone == zone && !t.IsLeaving() {
			out = append(out, t)
		}
	}
	return out
}

// darkNow are the zones that requests to some targets leave out. Where all that have targets
// seem dark it is most likely this instance's own link, and none is left out.
func (g *Gateway) darkNow(targets []*catalog.Target) map[string]bool {
	out := g.dark.zones.Unreachable()
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
