package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/staleness"
	"github.com/shedhoist/shedhoist/internal/evacuation"
	"github.com/shedhoist/shedhoist/internal/platform"
)

// Operators evacuate a zone by creating an object of its name in the object store, and release it by
// deleting that object. The list of evacuated zones reaches instances like the configuration does:
// by watches, updates between peers and checks for staleness. Targets in an evacuated zone get no
// new requests; they still load weights, and streams in progress run to their end.

// evacuationsWatchTimeout is how long a watcher's watch of the evacuated zones waits. If no watcher
// watches them any more, copies of the list count as stale 1.5 s later, so an evacuation is in force
// within 4 s.
const evacuationsWatchTimeout = 1500 * time.Millisecond

// evacuationsFeed returns the feed that watches the evacuated zones.
func (g *Gateway) evacuationsFeed() feed {
	return feed{kind: g.codec.EvacuationsKind(), watcherTimeout: evacuationsWatchTimeout, refresh: g.evacuationsDue,
		onList: g.listEvacuations, onChanges: g.changeEvacuations,
		knownRevision: func() platform.Version { return g.view.Load().EvacuationsRevision },
		age:           func() (time.Duration, bool) { return g.staleness.Age(staleness.Evacuations, g.now()) },
		onConfirmed:   func(at time.Time) { g.confirmComplete(staleness.Evacuations, at) }}
}

// listEvacuations applies a list of the evacuated zones. An object evacuates the zone of its name,
// whatever its content.
func (g *Gateway) listEvacuations(s platform.Snapshot) {
	e := evacuationsListed{revision: s.Revision, from: fromStore}
	for _, o := range s.Objects {
		e.zones = append(e.zones, o.Name)
		e.changed = max(e.changed, o.Version)
	}
	g.sendEvent(e)
}

// changeEvacuations applies changes of the evacuated zones.
func (g *Gateway) changeEvacuations(c platform.Changes) {
	e := evacuationsChanged{revision: c.Revision}
	for _, ch := range c.Changes {
		e.changes = append(e.changes, evacuation.Change{Zone: ch.Name, Removed: ch.Deleted})
	}
	g.sendEvent(e)
}

// evacuationsListed delivers all evacuated zones at a revision.
type evacuationsListed struct {
	revision platform.Version
	changed  platform.Version // revision of the last change
	zones    []string
	from     source
}

func (e evacuationsListed) apply(c *controlState) {
	before := c.evacuated.Names()
	if c.evacuated.ApplyList(e.revision, e.changed, e.zones) {
		c.noteEvacuationChange(before, e.from)
	}
}

// evacuationsChanged delivers the changes of the list up to a revision.
type evacuationsChanged struct {
	revision platform.Version
	changes  []evacuation.Change
}

func (e evacuationsChanged) apply(c *controlState) {
	before := c.evacuated.Names()
	if c.evacuated.ApplyChanges(e.revision, e.changes) {
		c.noteEvacuationChange(before, fromStore)
	}
}

// noteEvacuationChange records when zones were released. Their targets are warming up from then on,
// whether or not their entries already say so.
func (c *controlState) noteEvacuationChange(before []string, from source) {
	now := c.evacuated.Names()
	released := map[string]time.Time{}
	maps.Copy(released, c.releasedAt)
	for _, zone := range before {
		if !slices.Contains(now, zone) {
			released[zone] = c.now()
		}
	}
	c.releasedAt = released
	c.log.WithField("zones", now).WithField("before", before).WithField("revision", uint64(c.evacuated.LastChange())).WithField("from", string(from)).
		Info("evacuated zones changed")
}

// allEvacuated reports whether all targets of a service that could serve are in evacuated zones.
func (v *View) allEvacuated(service string) bool {
	return len(v.Serving[service]) == 0 && v.EvacuatedTargets[service] > 0
}
