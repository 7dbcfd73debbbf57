package gateway

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/staleness"
	"github.com/shedhoist/shedhoist/internal/evacuation"
	"github.com/shedhoist/shedhoist/internal/platform"
	"github.com/shedhoist/shedhoist/internal/registry"
)

// controlState is the mutable state of what this instance believes. Only the control
// goroutine touches it; all others send events and read the published view.
type controlState struct {
	log log.Interface
	now func() time.Time

	cfg            *catalog.Config
	rawConfig      []byte // cfg as stored, for peers
	reportedConfig reportedConfig
	targets        *registry.Table
	named          map[string]NamedVersions
	namedRevision  platform.Version // revision up to which named is complete
	namedChanged   platform.Version // revision of the last change of named
	// versionsListed is set once the named versions were heard of at all.
	versionsListed  bool
	rolloutWithin   time.Duration // time that a rollout may take
	configWithin    time.Duration // time in which a configuration must be in force
	evacuated       evacuation.Zones
	releasedAt      map[string]time.Time // when zones were taken back; replaced, never changed
	warmupAllowedAt time.Time            // see warmupSettleTime
	lastTick        time.Time            // at the last tick
	// followsEvacuations says that operators evacuate zones: requests wait until it is known
	// which.
	followsEvacuations bool

	rollout             RolloutUpdate // the newest heard of, or this instance's own
	rolloutIsOwn        bool          // it is this instance's own
	rolloutReceivedAt   time.Time     // when it was heard
	members             *member.Machine
	membersMissingSince time.Time // since when all peers heard of know more live members; zero: they don't
	draining            bool
	storeReachable      bool
	staleness           *staleness.Tracker
	isolation           isolation
	// firstSourceUntil is until when what changes here may be news to all: this instance, in doubt,
	// asked the object store itself.
	firstSourceUntil time.Time
	// leavingReports is what targets said of leaving, see leaving.go.
	leavingReports leavingReports

	// Parts of views, kept until what they are made from changes.
	fleet          fleetSnapshot
	serving        servingSnapshot
	pendingUpdates pendingUpdates
}

// event is one change of control state. Apply runs on the control goroutine.
type event interface{ apply(*controlState) }

// source says who a belief comes from, for logs.
type source string

// Sources of beliefs.
const (
	fromStore  source = "store"
	fromPeer   source = "peer"
	fromAnswer source = "answer" // of a target to a request
	fromReport source = "report" // of a target
	fromOrder  source = "order"  // to a target
)

// configReceived brings a configuration. A version never goes back.
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

// targetsListed brings all targets at a revision.
type targetsListed struct {
	revision platform.Version
	targets  []catalog.Target
	vanished []string // of targets: their entries are gone, and a peer holds them for a while
	from     source
}

func (e targetsListed) apply(c *controlState) {
	c.log.WithField("revision", uint64(e.revision)).WithField("targets", len(e.targets)).WithField("from", string(e.from)).Info("targets listed")
	c.targets.ApplyList(e.revision, e.targets, e.vanished, c.now())
}

// targetsChanged brings changes up to a revision.
type targetsChanged struct {
	revision platform.Version
	present  []catalog.Target
	gone     []string // names
}

func (e targetsChanged) apply(c *controlState) {
	c.targets.ApplyChanges(e.revision, e.present, e.gone, c.now())
}

// assumedVersionAge is how long ago a version is taken to have been named that this
// process finds at its start: it may have missed most of the rollout's time. What
// is left is enough for the first targets to load.
func (c *controlState) assumedVersionAge() time.Duration {
	return max(c.rolloutWithin-startupVersionGrace, 0)
}

// startupVersionGrace is the time for which a new process still uses older weights than
// it found named, if no peer knows better.
const startupVersionGrace = 3 * time.Second

// versionAgesReceived brings a peer's word of how long ago versions were named.
type versionAgesReceived struct{ ages []VersionAge }

func (e versionAgesReceived) apply(c *controlState) {
	for _, a := range e.ages {
		c.named[a.Model] = c.named[a.Model].withAge(a.Version, time.Duration(a.AgeMS)*time.Millisecond, c.now())
	}
}

// versionAges tells a peer how long ago versions were named, as far as that is no guess.
func (c *controlState) versionAges() []VersionAge {
	var out []VersionAge
	for model, n := range c.named {
		for _, h := range n.history {
			if h.assumed {
				continue
			}
			out = append(out, VersionAge{Model: model, Version: h.version, AgeMS: c.now().Sub(h.learnedAt).Milliseconds()})
		}
	}
	return out
}

// targetWeightsObserved brings news of the weights that a target serves, from its own
// answer to us.
type targetWeightsObserved struct {
	id     string // of the target's life
	serves catalog.ModelVersion
}

func (e targetWeightsObserved) apply(c *controlState) { c.targets.ApplyWeightVersion(e.id, e.serves) }

// versionsNamed brings named weight versions. A version never goes back.
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
		one := namedVersion{version: v.Version, learnedAt: c.now()}
		if !c.versionsListed {
			one.learnedAt, one.assumed = one.learnedAt.Add(-c.assumedVersionAge()), true
		}
		c.named[v.Model] = c.named[v.Model].withVersion(one)
	}
	c.versionsListed = true
}

// storeContactChanged says whether the object store answered.
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

// cordonTTL is how long targets stay closed by one word of the instance that
// gives orders; it repeats itself more often, for as long as it lives.
const cordonTTL = 4 * time.Second

// rolloutReceived brings the news of a rollout.
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

// shutdownBegun takes this instance out of service.
type shutdownBegun struct{}

func (shutdownBegun) apply(c *controlState) { c.draining = true }

// Pace of the control goroutine.
const (
	controlTick    = 50 * time.Millisecond // probes of peers, and lapses of held entries
	eventQueueSize = 1024                  // events that may wait
)

// runControl is the control goroutine. A view is published once for all events
// that wait.
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
			if v.initialized() {
				g.initializedOnce.Do(func() { close(g.initialized) })
			}
			if c.reportedConfig.Version != old.reportedConfig {
				g.configDue.Raise()
			}
			c.noteUpdates(v, old)
			g.spreadUpdates(c, v)
		case <-tick.C:
			stood := c.detectPause()
			g.probePeers(c)
			expired := c.targets.Expire(c.now())
			if c.isolation.update(c.isIsolated(g.sincePeerContact()), c.log) || expired || stood || c.fleetChanged() || c.uncordoned() {
				g.view.Store(c.buildView())
			}
			g.spreadUpdates(c, g.view.Load())
		}
	}
}

// detectPause notes a tick, and says whether the instance stood still since the last one.
func (c *controlState) detectPause() bool {
	now := c.now()
	still := now.Sub(c.lastTick)
	stood := !c.lastTick.IsZero() && still > pauseThreshold
	c.lastTick = now
	if stood {
		c.warmupAllowedAt = now.Add(warmupSettleTime)
		c.log.WithField("ms", still.Milliseconds()).Warn("this instance stood still")
	}
	return stood
}

// sendEvent hands an event to the control goroutine; it gives up when the process ends.
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

// queryControl runs f on the control goroutine and returns when f has run, or when
// that goroutine has ended and f never will.
func (g *Gateway) queryControl(f func(*controlState)) {
	a := stateQuery{run: f, done: make(chan struct{})}
	g.sendEvent(a)
	select {
	case <-a.done:
	case <-g.controlDone:
	}
}
