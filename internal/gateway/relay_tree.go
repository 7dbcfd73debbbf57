package gateway

import (
	"cmp"
	"slices"

	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/rendezvous"
)

// Shape of the relay tree.
const (
	// pollersPerZone is how many instances of a zone poll the sources themselves: one may
	// fail.
	pollersPerZone = 2
	// maxStorePollers is how many instances of all zones may poll one cache store. A store
	// has been observed to sustain 12 concurrent polls.
	maxStorePollers = 10
	// treeFanout is how many children an instance serves. Each pulls the directory about
	// three times a second, which in all costs half a percent of a core.
	treeFanout = 12
	// treeRole is the rendezvous key that ranks the instances of a zone.
	treeRole = "directory"
)

// relayTree determines how the live instances of a large fleet relay state. In each zone a
// few instances, the tops, poll the sources themselves, and each instance serves up to
// treeFanout others of its zone. Instances that know the same live members compute the same
// tree without exchanging messages. In a small fleet all instances poll themselves. A
// relayTree is immutable.
type relayTree struct {
	self          string
	zone          string // zone of this instance
	small         bool
	tops          int                        // number of tops per zone
	zones         map[string][]member.Member // live members by zone, highest rank first
	zoneMembers   []member.Member            // live members of the own zone
	ownIndex      int                        // index in zoneMembers; -1: this instance is not a live member
	neighbourList []neighbour                // see neighbours
}

// newRelayTree computes the tree from the live members.
func newRelayTree(alive []member.Member, self member.Member) *relayTree {
	t := &relayTree{self: self.Name, zone: self.Zone, small: len(alive) <= maxSmallFleet, zones: map[string][]member.Member{}}
	for _, m := range alive {
		t.zones[m.Zone] = append(t.zones[m.Zone], m)
	}
	for _, zoneMembers := range t.zones {
		scores := make(map[string]uint64, len(zoneMembers))
		for _, m := range zoneMembers {
			scores[m.Name] = rendezvous.Score(m.Name, treeRole)
		}
		slices.SortFunc(zoneMembers, func(a, b member.Member) int { return cmp.Compare(scores[b.Name], scores[a.Name]) })
	}
	// An instance that shuts down while it is the only one has no zones at all.
	t.tops = max(min(pollersPerZone, maxStorePollers/max(len(t.zones), 1)), 1)
	t.zoneMembers = t.zones[self.Zone]
	t.ownIndex = slices.IndexFunc(t.zoneMembers, func(m member.Member) bool { return m.Name == self.Name })
	t.neighbourList = t.buildNeighbours()
	return t
}

// treePosition is the position of an instance in the tree.
type treePosition struct {
	polls   bool     // the instance polls the sources itself
	sources []string // otherwise the addresses of the instances it pulls from, preferred one first
}

// position returns the position of this instance.
func (t *relayTree) position() treePosition {
	if t.small || t.ownIndex < t.tops {
		return treePosition{polls: true}
	}
	parent := t.parent()
	out := treePosition{sources: []string{parent.Address}}
	for _, m := range t.zoneMembers[:t.tops] {
		if m.Name != parent.Name {
			out.sources = append(out.sources, m.Address)
		}
	}
	return out
}

// parent returns the instance that serves this one. This instance must not be a top.
func (t *relayTree) parent() member.Member { return t.zoneMembers[(t.ownIndex-t.tops)/treeFanout] }

// children returns the instances that this one serves; none in a small fleet.
func (t *relayTree) children() []member.Member {
	if t.small || t.ownIndex < 0 {
		return nil
	}
	from := min(t.tops+t.ownIndex*treeFanout, len(t.zoneMembers))
	return t.zoneMembers[from:min(from+treeFanout, len(t.zoneMembers))]
}

// otherTops returns the tops of all zones except this instance.
func (t *relayTree) otherTops() []member.Member {
	var out []member.Member
	for _, zoneMembers := range t.zones {
		for _, m := range zoneMembers[:min(t.tops, len(zoneMembers))] {
			if m.Name != t.self {
				out = append(out, m)
			}
		}
	}
	return out
}

// neighbour is an instance with which this one exchanges load reports.
type neighbour struct {
	member.Member
	relayedFrom map[string]bool // names of the neighbours whose reports are relayed to it
}

// neighbours returns the peers to exchange reports with. In a small fleet these are all
// others. In a large one they are the children and the parent of this instance, and for a
// top its children and all other tops. The reports of an instance so reach each other one on
// exactly one path, and an instance sends to about fifteen others per round at most.
func (t *relayTree) neighbours() []neighbour { return t.neighbourList }

// isCrossZone reports whether a member is in another zone of a large fleet, so that reports
// to it are sent less often.
func (t *relayTree) isCrossZone(m member.Member) bool { return !t.small && m.Zone != t.zone }

// buildNeighbours computes the neighbours. Tops, and all instances of a small fleet, receive
// each other's reports directly, so that these are not relayed among them.
func (t *relayTree) buildNeighbours() []neighbour {
	var direct, served []member.Member
	switch {
	case t.small:
		for _, zoneMembers := range t.zones {
			direct = append(direct, slices.DeleteFunc(slices.Clone(zoneMembers), func(m member.Member) bool { return m.Name == t.self })...)
		}
	case t.ownIndex < 0:
		return nil
	case t.ownIndex < t.tops:
		direct, served = t.otherTops(), t.children()
	default:
		served = append(slices.Clone(t.children()), t.parent())
	}
	var out []neighbour
	for _, m := range direct {
		out = append(out, neighbour{Member: m, relayedFrom: nameSet(served, "")})
	}
	for _, m := range served {
		relayed := nameSet(served, m.Name)
		for _, d := range direct {
			relayed[d.Name] = true
		}
		out = append(out, neighbour{Member: m, relayedFrom: relayed})
	}
	return out
}

// nameSet returns the names of all members except one.
func nameSet(members []member.Member, except string) map[string]bool {
	out := map[string]bool{}
	for _, m := range members {
		if m.Name != except {
			out[m.Name] = true
		}
	}
	return out
}

// pollers returns the names of the instances that poll the sources themselves.
func (t *relayTree) pollers() []string {
	var out []string
	for zone := range t.zones {
		for _, m := range t.pollersIn(zone) {
			out = append(out, m.Name)
		}
	}
	return out
}

// pollersIn returns the instances of a zone that poll the sources themselves.
func (t *relayTree) pollersIn(zone string) []member.Member {
	zoneMembers := t.zones[zone]
	if t.small {
		return zoneMembers
	}
	return zoneMembers[:min(t.tops, len(zoneMembers))]
}
