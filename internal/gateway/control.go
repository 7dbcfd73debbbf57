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

// control is the mutable state of what this instance believes. Only the control
// goroutine touches it; all others send events and read the published view.
type control struct {
	log log.Interface
	now func() time.Time

	cfg     *catalog.Config
	raw     []byte // cfg as stored, for peers
	heard   heardConfig
	targets *registry.Table
	named   map[string]Named
	namedAt platform.Version // revision up to which named is complete
	namedIn platform.Version // revision of the last change of named
	// versionsListed is set once the named versions were heard of at all.
	versionsListed bool
	rolloutWithin  time.Duration // time that a rollout may take
	configWithin   time.Duration // time in which a configuration must be in force
	evacuated      evacuation.Zones
	released       map[string]time.Time // when zones were taken back; replaced, never changed
	settledAt      time.Time            // see coldSettle
	ticked         time.Time            // at the last tick
	// followsEvacuations says that operators evacuate zones: requests wait until it is known
	// which.
	followsEvacuations bool

	rollout  RolloutNews // the newest heard of, or this instance's own
	ownNews  bool        // it is this instance's own
	heardOf  time.Time   // when it was heard
	members  *member.Machine
	missing  time.Time // since when all peers heard of know more live members; zero: they don't
	draining bool
	storeOK  bool
	fresh    *staleness.Tracker
	cutOff   cutOff
	// firstHand is until when what changes here may be news to all: this instance, in doubt,
	// asked the object store itself.
	firstHand time.Time
	// leaving is what targets said of leaving, see leaving.go.
	leaving leavingWords

	// Parts of views, kept until what they are made from changes.
	fleet   fleetPart
	serving servingPart
	news    pendingNews
}

// event is one change of control state. Apply runs on the control goroutine.
type event interface{ apply(*control) }

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

// configRead brings a configuration. A version never goes back.
type configRead struct {
	cfg  *catalog.Config
	raw  []byte
	from source
}

func (e configRead) apply(c *control) {
	if c.cfg != nil && e.cfg.Version <= c.cfg.Version {
		return
	}
	old := uint64(0)
	if c.cfg != nil {
		old = c.cfg.Version
	}
	c.cfg, c.raw = e.cfg, e.raw
	entry := c.log.WithField("version", e.cfg.Version).WithField("before", old).WithField("from", string(e.from)).WithField("bytes", len(e.raw))
	if c.heard.Version > old {
		entry = entry.WithField("since_heard_ms", c.now().Sub(c.heard.since).Milliseconds())
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

func (e targetsListed) apply(c *control) {
	c.log.WithField("revision", uint64(e.revision)).WithField("targets", len(e.targets)).WithField("from", string(e.from)).Info("targets listed")
	c.targets.ApplyList(e.revision, e.targets, e.vanished, c.now())
}

// targetsChanged brings changes up to a revision.
type targetsChanged struct {
	revision platform.Version
	present  []catalog.Target
	gone     []string // names
}

func (e targetsChanged) apply(c *control) {
	c.targets.ApplyChanges(e.revision, e.present, e.gone, c.now())
}

// unknownAge is how long ago a version is taken to have been named that this
// process finds at its start: it may have missed most of the rollout's time. What
// is left is enough for the first targets to load.
func (c *control) unknownAge() time.Duration {
	return max(c.rolloutWithin-freshGrace, 0)
}

// freshGrace is the time for which a new process still uses older weights than
// it found named, if no peer knows better.
const freshGrace = 3 * time.Second

// namedAges brings a peer's word of how long ago versions were named.
type namedAges struct{ ages []NamedAge }

func (e namedAges) apply(c *control) {
	for _, a := range e.ages {
		c.named[a.Model] = c.named[a.Model].agedBy(a.Version, time.Duration(a.MS)*time.Millisecond, c.now())
	}
}

// ages tells a peer how long ago versions were named, as far as that is no guess.
func (c *control) ages() []NamedAge {
	var out []NamedAge
	for model, n := range c.named {
		for _, h := range n.history {
			if h.assumed {
				continue
			}
			out = append(out, NamedAge{Model: model, Version: h.version, MS: c.now().Sub(h.since).Milliseconds()})
		}
	}
	return out
}

// targetServes brings news of the weights that a target serves, from its own
// answer to us.
type targetServes struct {
	id string // of the target's life
	at catalog.ModelVersion
}

func (e targetServes) apply(c *control) { c.targets.ApplyWeightVersion(e.id, e.at) }

// versionsNamed brings named weight versions. A version never goes back.
type versionsNamed struct {
	revision platform.Version
	changed  platform.Version // revision of the last change among versions
	versions []catalog.ModelVersion
	from     source
}

func (e versionsNamed) apply(c *control) {
	c.namedAt, c.namedIn = max(c.namedAt, e.revision), max(c.namedIn, e.changed)
	for _, v := range e.versions {
		if v.Version <= c.named[v.Model].Version {
			continue
		}
		c.log.WithField("model", v.Model).WithField("version", v.Version).WithField("before", c.named[v.Model].Version).
			WithField("from", string(e.from)).Info("weight version named")
		one := namedOne{version: v.Version, since: c.now()}
		if !c.versionsListed {
			one.since, one.assumed = one.since.Add(-c.unknownAge()), true
		}
		c.named[v.Model] = c.named[v.Model].with(one)
	}
	c.versionsListed = true
}

// storeReached says whether the object store answered.
type storeReached struct {
	ok    bool
	cause error
}

func (e storeReached) apply(c *control) {
	if e.ok == c.storeOK {
		return
	}
	c.storeOK = e.ok
	c.members.SetDetached(!e.ok)
	if e.ok {
		c.targets.StoreReconnected(c.now())
		c.log.Info("object store reached")
		return
	}
	c.log.WithError(e.cause).Warn("object store lost")
}

// closingFor is how long targets stay closed by one word of the instance that
// gives orders; it repeats itself more often, for as long as it lives.
const closingFor = 4 * time.Second

// rolloutHeard brings the news of a rollout.
type rolloutHeard struct {
	news RolloutNews
	own  bool
}

func (e rolloutHeard) apply(c *control) {
	if !e.news.Stamp.after(c.rollout.Stamp) {
		return
	}
	c.rollout, c.ownNews, c.heardOf = e.news, e.own, c.now()
	for _, a := range e.news.Arrived {
		c.targets.ApplyWeightVersion(a.Target, a.Serves)
	}
}

// stopping takes this instance out of service.
type stopping struct{}

func (stopping) apply(c *control) { c.draining = true }

// Pace of the control goroutine.
const (
	controlTick  = 50 * time.Millisecond // probes of peers, and lapses of held entries
	eventBacklog = 1024                  // events that may wait
)

// runControl is the control goroutine. A view is published once for all events
// that wait.
func (g *Gateway) runControl(ctx context.Context, c *control) {
	defer close(g.controlDone)
	tick := time.NewTicker(controlTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-g.events:
			old := c.newsMark()
			e.apply(c)
			for range len(g.events) {
				(<-g.events).apply(c)
			}
			c.noteFresh()
			v := c.view()
			g.view.Store(v)
			if v.informed() {
				g.informedOnce.Do(func() { close(g.informed) })
			}
			if c.heard.Version != old.heard {
				g.configDue.Raise()
			}
			c.noteNews(v, old)
			g.spreadNews(c, v)
		case <-tick.C:
			stood := c.noteTick()
			g.probePeers(c)
			expired := c.targets.Expire(c.now())
			if c.cutOff.update(c.isCutOff(g.peerAge()), c.log) || expired || stood || c.fleetChanged() || c.reopened() {
				g.view.Store(c.view())
			}
			g.spreadNews(c, g.view.Load())
		}
	}
}

// noteTick notes a tick, and says whether the instance stood still since the last one.
func (c *control) noteTick() bool {
	now := c.now()
	still := now.Sub(c.ticked)
	stood := !c.ticked.IsZero() && still > stoodStill
	c.ticked = now
	if stood {
		c.settledAt = now.Add(coldSettle)
		c.log.WithField("ms", still.Milliseconds()).Warn("this instance stood still")
	}
	return stood
}

// send hands an event to the control goroutine; it gives up when the process ends.
func (g *Gateway) send(e event) {
	select {
	case g.events <- e:
	case <-g.controlDone:
	}
}

// ask runs a function on the control goroutine.
type ask struct {
	f    func(*control)
	done chan struct{}
}

func (e ask) apply(c *control) {
	e.f(c)
	close(e.done)
}

// query runs f on the control goroutine and returns when f has run, or when
// that goroutine has ended and f never will.
func (g *Gateway) query(f func(*control)) {
	a := ask{f: f, done: make(chan struct{})}
	g.send(a)
	select {
	case <-a.done:
	case <-g.controlDone:
	}
}
