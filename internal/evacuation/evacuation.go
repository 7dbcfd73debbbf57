// Package evacuation holds an instance's copy of the operators' list of evacuated zones: zones
// whose targets get no requests until they are taken off the list. The copy is updated with lists
// and changes from the object store and from peers, in any order. The package does no I/O.
package evacuation

import (
	"maps"
	"slices"

	"github.com/shedhoist/shedhoist/internal/platform"
)

// Zones is the list of evacuated zones. The zero value has not received a list. A Zones belongs to
// one goroutine.
//
// Invariant: the list is the one that the object store held at Revision, which never decreases.
type Zones struct {
	revision   platform.Version
	lastChange platform.Version
	zones      map[string]bool
}

// unchangedRevision stands for the last change of a list that has never changed, so that it differs
// from a list that was never received.
const unchangedRevision platform.Version = 1

// Listed reports whether a list or a change was received at all.
func (z *Zones) Listed() bool { return z.lastChange > 0 }

// Revision returns the object store's revision up to which the list is complete.
func (z *Zones) Revision() platform.Version { return z.revision }

// LastChange returns the revision of the last change; 0 before anything was received. A copy of
// that revision or a later one has missed no change.
func (z *Zones) LastChange() platform.Version { return z.lastChange }

// Names returns the evacuated zones, sorted.
func (z *Zones) Names() []string { return slices.Sorted(maps.Keys(z.zones)) }

// ApplyList replaces the list by that of a later revision, whose last change was at lastChange. A
// list of the same or an earlier revision is ignored. It reports whether zones were added or
// removed.
func (z *Zones) ApplyList(revision, lastChange platform.Version, zones []string) bool {
	if z.Listed() && revision <= z.revision {
		return false
	}
	next := make(map[string]bool, len(zones))
	for _, name := range zones {
		next[name] = true
	}
	differs := !maps.Equal(z.zones, next)
	removed := false
	for name := range z.zones {
		removed = removed || !next[name]
	}
	if removed {
		lastChange = max(lastChange, revision) // the revision of the removal is not known
	}
	z.revision, z.zones = revision, next
	z.lastChange = max(z.lastChange, lastChange, unchangedRevision)
	return differs
}

// Change is one object of the list that was put or removed.
type Change struct {
	Zone    string
	Removed bool
}

// ApplyChanges applies the changes from a revision that was received before up to the given one, in
// order. It reports whether zones were added or removed.
func (z *Zones) ApplyChanges(revision platform.Version, changes []Change) bool {
	if revision <= z.revision {
		return false
	}
	z.revision = revision
	if len(changes) == 0 {
		return false
	}
	next := maps.Clone(z.zones)
	if next == nil {
		next = map[string]bool{}
	}
	for _, c := range changes {
		if c.Removed {
			delete(next, c.Zone)
			continue
		}
		next[c.Zone] = true
	}
	differs := !maps.Equal(z.zones, next)
	z.lastChange, z.zones = revision, next
	return differs
}
