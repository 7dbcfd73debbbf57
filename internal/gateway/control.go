package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/platform"
)

// control is the mutable state of what this instance believes. Only the control
// goroutine touches it; all others send events and read the published view.
type control struct {
	log log.Interface
	now func() time.Time

	cfg      *catalog.Config
	raw      []byte // cfg as stored, for peers
	targets  targetTable
	named    map[string]Named
	namedAt  platform.Version
	members  *member.Machine
	draining bool
	storeOK  bool
}

// event is one change of control state. Apply runs on the control goroutine.
type event interface{ apply(*control) }

// source says who a belief comes from, for logs.
type source string

// Sources of beliefs.
const (
	fromStore source = "store"
	fromPeer  source = "peer"
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
	c.log.WithField("version", e.cfg.Version).WithField("before", old).WithField("from", string(e.from)).Info("configuration in force")
}

// targetsListed brings all targets at a revision.
type targetsListed struct {
	revision platform.Version
	targets  []catalog.Target
	from     source
}

func (e targetsListed) apply(c *control) { c.targets.list(e.revision, e.targets, c.now()) }

// targetsChanged brings changes up to a revision.
type targetsChanged struct {
	revision platform.Version
	present  []catalog.Target
	gone     []string
}

func (e targetsChanged) apply(c *control) { c.targets.change(e.revision, e.present, e.gone, c.now()) }

// targetServes brings news of the weights that a target serves, from its own
// answer to us.
type targetServes struct {
	id string
	at catalog.ModelVersion
}

func (e targetServes) apply(c *control) { c.targets.serves(e.id, e.at) }

// versionsNamed brings named weight versions. A version never goes back.
type versionsNamed struct {
	revision platform.Version
	versions []catalog.ModelVersion
	from     source
}

func (e versionsNamed) apply(c *control) {
	c.namedAt = max(c.namedAt, e.revision)
	for _, v := range e.versions {
		if v.Version <= c.named[v.Model].Version {
			continue
		}
		c.log.WithField("model", v.Model).WithField("version", v.Version).WithField("before", c.named[v.Model].Version).
			WithField("from", string(e.from)).Info("weight version named")
		c.named[v.Model] = Named{Version: v.Version, Since: c.now()}
	}
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
	if e.ok {
		c.targets.contactRegained(c.now())
		c.log.Info("object store reached")
		return
	}
	c.log.WithError(e.cause).Warn("object store lost")
}

// stopping takes this instance out of service.
type stopping struct{}

func (stopping) apply(c *control) { c.draining = true }

// view builds the picture that request goroutines read.
func (c *control) view() *View {
	v := &View{Config: c.cfg, Targets: map[string]*catalog.Target{}, Serving: map[string][]*catalog.Target{}, Named: map[string]Named{},
		Listed: c.targets.listed, Draining: c.draining, StoreOK: c.storeOK}
	for m, n := range c.named {
		v.Named[m] = n
	}
	for id, t := range c.targets.byID {
		v.Targets[id] = &t.Target
		if !t.Leaving {
			v.Serving[t.Service] = append(v.Serving[t.Service], &t.Target)
		}
	}
	for _, ts := range v.Serving {
		slices.SortFunc(ts, func(a, b *catalog.Target) int { return cmp.Compare(a.ID, b.ID) })
	}
	for _, m := range c.members.Members() {
		if m.State != member.Left {
			v.Instances++
		}
		if m.State == member.Alive {
			v.Alive = append(v.Alive, m.Name)
		}
	}
	return v
}

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
			e.apply(c)
			for range len(g.events) {
				(<-g.events).apply(c)
			}
			g.view.Store(c.view())
		case <-tick.C:
			g.probePeers(c)
			if c.targets.expire(c.now()) || c.members.Changed() {
				g.view.Store(c.view())
			}
		}
	}
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
