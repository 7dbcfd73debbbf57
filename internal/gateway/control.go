package gateway

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/rollout"
	"github.com/shedhoist/shedhoist/internal/core/staleness"
	"github.com/shedhoist/shedhoist/internal/evacuation"
	"github.com/shedhoist/shedhoist/internal/platform"
	"github.com/shedhoist/shedhoist/internal/registry"
)

// controlState is what this instance knows of the fleet and the object store. Only the control
// goroutine accesses it; other goroutines send events and read the published view.
type controlState struct {
	log log.Interface
	now func() time.Time

	cfg              *catalog.Config
	rawConfig        []byte // cfg as stored, for peers
	reportedConfig   reportedConfig
	targets          *registry.Table
	named            map[string]rollout.NamedVersions
	namedRevision    platform.Version // revision up to which named is complete
	namedChanged     platform.Version // revision of the last change of named
	versionsListedAt time.Time        // when the named versions were received for the first time; zero: not yet
	rolloutWithin    time.Duration    // bound on the duration of a rollout
	configWithin     time.Duration    // time within which a configuration must be in force everywhere
	evacuated        evacuation.Zones
	releasedAt       map[string]time.Time // by zone: when its evacuation ended; copied on write, since views share it
	warmupAllowedAt  time.Time            // no requests to targets in warm-up before; see warmupSettleTime
	lastTick         time.Time            // time of the last tick
	// followsEvacuations is set if operators can evacuate zones: requests then wait until the
	// evacuated zones are known.
	followsEvacuations bool

	rollout             RolloutUpdate // the newest one, from a peer or this instance itself
	rolloutIsOwn        bool          // rollout was issued by this instance
	rolloutReceivedAt   time.Time     // when rollout was received
	members             *member.Machine
	membersMissingSince time.Time // since when all peers heard from know more live members; zero if they don't
	draining            bool
	storeReachable      bool
	staleness           *staleness.Tracker
	streams             *streamVersions // nil: the targets' versions are not observed
	isolation           isolation
	// firstSourceUntil is the time until which changes that this instance learns may be unknown to
	// all others: its state was stale, so it read the object store itself.
	firstSourceUntil time.Time
	// leavingReports holds the leaving notices of targets, see leaving.go.
	leavingReports leavingReports

	// Snapshots that views share, kept until their inputs change.
	fleet          fleetSnapshot
	serving        servingSnapshot
	pendingUpdates pendingUpdates
}

// event is one change of the control state. apply runs on the control goroutine.
type event interface{ apply(*controlState) }

// source is where a piece of state came from, for logs.
type source string

// Sources of state.
const (
	fromStore  source = "store"
	fromPeer   source = "peer"
	fromAnswer source = "answer" // a target's response to a request
	fromReport source = "report" // a target's report
	fromOrder  source = "order"  // a target's response to an order
)

// configReceived delivers a configuration. The version in force never decreases.
type configReceived struct {
	cfg  *catalog.Config
	raw  []byte
	from source
}

func (e configReceived) apply(c *controlState) {
	if c.cfg != nil && e.cfg.Version <= c.cfg.Version {
		return
	}
	old := uint64(0)
	if c.cfg != nil {
		old = c.cfg.Version
	}
	c.cfg, c.rawConfig = e.cfg, e.raw
	entry := c.log.WithField("version", e.cfg.Version).WithField("before", old).WithField("from", string(e.from)).WithField("bytes", len(e.raw))
	if c.reportedConfig.Version > old {
		entry = entry.WithField("since_heard_ms", c.now().Sub(c.reportedConfig.since).Milliseconds())
	}
	entry.Info("configuration in force")
}

// targetsListed delivers all targets at a revision.
type targetsListed struct {
	revision platform.Version
	targets  []catalog.Target
	vanished []string // names of targets whose entries are gone, but which a peer still retains for a while
	from     source
}

func (e targetsListed) apply(c *controlState) {
	c.log.WithField("revision", uint64(e.revision)).WithField("targets", len(e.targets)).WithField("from", string(e.from)).Info("targets listed")
	c.targets.ApplyList(e.revision, e.targets, e.vanished, c.now())
}

// targetsChanged delivers the changes of targets up to a revision.
type targetsChanged struct {
	revision platform.Version
	present  []catalog.Target
	gone     []string // names of the targets removed
}

func (e targetsChanged) apply(c *controlState) {
	c.targets.ApplyChanges(e.revision, e.present, e.gone, c.now())
}

// targetWeightsObserved delivers the weight version that a target serves, taken from its response
// to this instance.
type targetWeightsObserved struct {
	id     string // of the target's incarnation
	serves catalog.ModelVersion
}

func (e targetWeightsObserved) apply(c *controlState) { c.targets.ApplyWeightVersion(e.id, e.serves) }

// versionsNamed delivers named weight versions. A model's newest version never decreases.
type versionsNamed struct {
	revision platform.Version
	changed  platform.Version // revision of the last change among versions
	versions []catalog.ModelVersion
	from     source
}

func (e versionsNamed) apply(c *controlState) {
	c.namedRevision, c.namedChanged = max(c.namedRevision, e.revision), max(c.namedChanged, e.changed)
	for _, v := range e.versions {
		if v.Version <= c.named[v.Model].Newest {
			continue
		}
		c.log.WithField("model", v.Model).WithField("version", v.Version).WithField("before", c.named[v.Model].Newest).
			WithField("from", string(e.from)).Info("weight version named")
		if c.versionsListed() {
			c.named[v.Model] = c.named[v.Model].WithNamed(v.Version, c.now())
		} else {
			c.named[v.Model] = c.named[v.Model].WithFound(v.Version, c.assumedVersionAge(), c.now())
		}
	}
	if !c.versionsListed() {
		c.versionsListedAt = c.now()
	}
}

// storeContactChanged reports whether the object store responds.
type storeContactChanged struct {
	reachable bool
	cause     error
}

func (e storeContactChanged) apply(c *controlState) {
	if e.reachable == c.storeReachable {
		return
	}
	c.storeReachable = e.reachable
	c.members.SetDetached(!e.reachable)
	if e.reachable {
		c.targets.StoreReconnected(c.now())
		c.log.Info("object store reached")
		return
	}
	c.log.WithError(e.cause).Warn("object store lost")
}

// cordonTTL is how long targets stay cordoned after one update of the instance that gives orders.
// That instance repeats the update more often than that while it runs.
const cordonTTL = 4 * time.Second

// rolloutReceived delivers a rollout update.
type rolloutReceived struct {
	update RolloutUpdate
	own    bool
}

func (e rolloutReceived) apply(c *controlState) {
	if !e.update.Stamp.newerThan(c.rollout.Stamp) {
		return
	}
	c.rollout, c.rolloutIsOwn, c.rolloutReceivedAt = e.update, e.own, c.now()
	for _, a := range e.update.Loaded {
		c.targets.ApplyWeightVersion(a.Target, a.Serves)
	}
}

// shutdownBegun marks this instance as draining.
type shutdownBegun struct{}

func (shutdownBegun) apply(c *controlState) { c.draining = true }

// Pace of the control goroutine.
const (
	controlTick    = 50 * time.Millisecond // interval of probing peers and expiring retained entries
	eventQueueSize = 1024                  // events that may be queued
)

// runControl is the control goroutine. It applies all queued events before it publishes one new
// view.
func (g *Gateway) runControl(ctx context.Context, c *controlState) {
	defer close(g.controlDone)
	tick := time.NewTicker(controlTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-g.events:
			old := c.updateMark()
			e.apply(c)
			for range len(g.events) {
				(<-g.events).apply(c)
			}
			c.noteStaleness()
			v := c.buildView()
			g.view.Store(v)
			g.startup.open(v)
			if c.reportedConfig.Version != old.reportedConfig {
				g.configDue.Raise()
			}
			c.noteUpdates(v, old)
			g.spreadUpdates(c, v)
		case <-tick.C:
			paused := c.detectPause()
			g.streams.checkHistory(paused)
			g.probePeers(c)
			expired := c.targets.Expire(c.now())
			if c.isolation.update(c.isIsolated(g.sincePeerContact()), c.log) || expired || paused || c.fleetChanged() || c.rolloutExpired() {
				g.view.Store(c.buildView())
			}
			g.spreadUpdates(c, g.view.Load())
		}
	}
}

// detectPause records a tick and reports whether the process was paused since the last one.
// After a pause, the instance sends nothing to targets in warm-up for warmupSettleTime.
func (c *controlState) detectPause() bool {
	now := c.now()
	pause := now.Sub(c.lastTick)
	paused := !c.lastTick.IsZero() && pause > pauseThreshold
	c.lastTick = now
	if paused {
		c.warmupAllowedAt = now.Add(warmupSettleTime)
		c.log.WithField("ms", pause.Milliseconds()).Warn("this instance stood still")
	}
	return paused
}

// sendEvent passes an event to the control goroutine. The event is dropped once that goroutine has
// ended.
func (g *Gateway) sendEvent(e event) {
	select {
	case g.events <- e:
	case <-g.controlDone:
	}
}

// stateQuery runs a function on the control goroutine.
type stateQuery struct {
	run  func(*controlState)
	done chan struct{}
}

func (e stateQuery) apply(c *controlState) {
	e.run(c)
	close(e.done)
}

// queryControl runs f on the control goroutine and returns once f has run, or once that goroutine
// has ended and f will never run.
func (g *Gateway) queryControl(f func(*controlState)) {
	query := stateQuery{run: f, done: make(chan struct{})}
	g.sendEvent(query)
	select {
	case <-query.done:
	case <-g.controlDone:
	}
}
