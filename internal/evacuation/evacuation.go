// Package evacuation is an instance's copy of the operators' list of evacuated zones: zones
// whose targets get no request until they are taken off the list. It is fed with lists and
// changes of the object store and with peers' news of them, in any order. It does no I/O.
package evacuation

import (
	"maps"
	"slices"

	"github.com/shedhoist/shedhoist/internal/platform"
)

// Zones is the list. The zero value has not been told anything. A Zones belongs to one
// goroutine.
//
// Invariant: the list is the object store's as of revision At, which never goes back.
type Zones struct {
	at      platform.Version
	changed platform.Version
	zones   map[string]bool
}

// firstChange stands for the last change of a list that never changed, so that it differs
// from one that was never told.
const firstChange platform.Version = 1

// Listed says whether the list was told at all.
func (z *Zones) Listed() bool { return z.changed > 0 }

// Revision is the object store's revision up to which the list is complete.
func (z *Zones) Revision() platform.Version { return z.at }

// LastChange is the revision of the last change; 0 before anything was told.
func (z *Zones) LastChange() platform.Version { return z.changed }

// Names are the evacuated zones, sorted.
func (z *Zones) Names() []string { return slices.Sorted(maps.Keys(z.zones)) }

// ApplyList replaces the list by that of a later revision, whose last change was at changed. It
// says whether zones came or went.
func (z *Zones) ApplyList(at, changed platform.Version, zones []string) bool {
	if z.Listed() && at <= z.at {
		return false
	}
	next := make(map[string]bool, len(zones))
	for _, name := range zones {
		next[name] = true
	}
	differs := !maps.Equal(z.zones, next)
	gone := false
	for name := range z.zones {
		gone = gone || !next[name]
	}
	if gone {
		changed = max(changed, at) // when it went is not known
	}
	z.at, z.zones = at, next
	z.changed = max(z.changed, changed, firstChange)
	return differs
}

// Change is one object of the list that was put or removed.
type Change struct {
	Zone    string
	Removed bool
}

// ApplyChanges takes the changes from a revision that was told before up to at, in their order. It
// says whether zones came or went.
func (z *Zones) ApplyChanges(at platform.Version, changes []Change) bool {
	if at <= z.at {
		return false
	}
	z.at = at
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
	z.changed, z.zones = at, next
	return differs
}
