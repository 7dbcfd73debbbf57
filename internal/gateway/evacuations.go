package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/staleness"
	"github.com/shedhoist/shedhoist/internal/evacuation"
	"github.com/shedhoist/shedhoist/internal/platform"
)

// Operators evacuate a zone by an object of its name in the object store, and take it back by
// removing that. The list of evacuated zones goes the ways of the configuration: watches,
// news, ages. Its targets get no request then; weights are still loaded there, and streams
// under way end whole.

// evacuationsWait is how long a watcher's watch of the evacuated zones waits. One that is
// followed by nobody any more is doubted 1.5 s later, and so is in force within 4 s.
const evacuationsWait = 1500 * time.Millisecond

// evacuationsFeed follows the evacuated zones.
func (g *Gateway) evacuationsFeed() feed {
	return feed{kind: g.codec.EvacuationsKind(), watcher: evacuationsWait, due: g.evacuationsDue,
		list: g.listEvacuations, changes: g.changeEvacuations,
		known:     func() platform.Version { return g.view.Load().EvacuatedAt },
		age:       func() (time.Duration, bool) { return g.fresh.Age(staleness.Evacuations, g.now()) },
		confirmed: func(at time.Time) { g.confirm(staleness.Evacuations, at) }}
}

// listEvacuations takes the list. An object evacuates the zone of its name, whatever its body.
func (g *Gateway) listEvacuations(s platform.Snapshot) {
	e := zonesListed{at: s.Revision, from: fromStore}
	for _, o := range s.Objects {
		e.zones = append(e.zones, o.Name)
		e.changed = max(e.changed, o.Version)
	}
	g.send(e)
}

func (g *Gateway) changeEvacuations(c platform.Changes) {
	e := zonesChanged{at: c.Revision}
	for _, ch := range c.Changes {
		e.changes = append(e.changes, evacuation.Change{Zone: ch.Name, Removed: ch.Deleted})
	}
	g.send(e)
}

// zonesListed brings all evacuated zones at a revision.
type zonesListed struct {
	at      platform.Version
	changed platform.Version // revision of the last change
	zones   []string
	from    source
}

func (e zonesListed) apply(c *control) {
	before := c.evacuated.Names()
	if c.evacuated.ApplyList(e.at, e.changed, e.zones) {
		c.noteEvacuated(before, e.from)
	}
}

// zonesChanged brings changes of the list up to a revision.
type zonesChanged struct {
	at      platform.Version
	changes []evacuation.Change
}

func (e zonesChanged) apply(c *control) {
	before := c.evacuated.Names()
	if c.evacuated.ApplyChanges(e.at, e.changes) {
		c.noteEvacuated(before, fromStore)
	}
}

// noteEvacuated notes which zones were taken back: their targets are cold now, whether they
// have said so yet or not.
func (c *control) noteEvacuated(before []string, from source) {
	now := c.evacuated.Names()
	released := map[string]time.Time{}
	maps.Copy(released, c.released)
	for _, zone := range before {
		if !slices.Contains(now, zone) {
			released[zone] = c.now()
		}
	}
	c.released = released
	c.log.WithField("zones", now).WithField("before", before).WithField("revision", uint64(c.evacuated.LastChange())).WithField("from", string(from)).
		Info("evacuated zones changed")
}

// evacuatedAll says whether all targets of a service that could serve are in evacuated zones.
func (v *View) evacuatedAll(service string) bool {
	return len(v.Serving[service]) == 0 && v.Evacuated[service] > 0
}
