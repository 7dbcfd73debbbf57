package gateway

import (
	"cmp"
	"slices"

	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/rendezvous"
)

// Shape of the tree.
const (
	// pollersPerZone is how many instances of a zone hear for themselves: one may fail.
	pollersPerZone = 2
	// maxStorePollers is how many instances in all may follow one cache store; stores have
	// been seen to bear 12 polls at a time.
	maxStorePollers = 10
	// treeFanout is how many instances one other serves: each takes the directory some
	// three times a second, which then costs half a percent of a core.
	treeFanout = 12
	// treeRole ranks the instances of a zone.
	treeRole = "directory"
)

// relayTree is how the live instances of a large fleet pass things on: in each zone a few,
// the tops, hear for themselves, and each instance serves up to treeFanout others of its
// zone. Instances that know the same live members agree on it without a message. In a
// small fleet all hear for themselves. A tree is not changed once it is made.
type relayTree struct {
	self          string
	zone          string // this instance's
	small         bool
	tops          int                        // of each zone
	zones         map[string][]member.Member // live members, the highest rank first
	zoneMembers   []member.Member            // those of the own zone
	ownIndex      int                        // index in near; -1: this instance is no live member
	neighbourList []neighbour                // see neighbours
}

// newRelayTree works the tree out from the live members.
func newRelayTree(alive []member.Member, self member.Member) *relayTree {
	t := &relayTree{self: self.Name, zone: self.Zone, small: len(alive) <= maxSmallFleet, zones: map[string][]member.Member{}}
	for _, m := range alive {
		t.zones[m.Zone] = append(t.zones[m.Zone], m)
	}
	for _, near := range t.zones {
		scores := make(map[string]uint64, len(near))
		for _, m := range near {
			scores[m.Name] = rendezvous.Score(m.Name, treeRole)
		}
		slices.SortFunc(near, func(a, b member.Member) int { return cmp.Compare(scores[b.Name], scores[a.Name]) })
	}
	// An instance that stops, alone, knows of no zone at all.
	t.tops = max(min(pollersPerZone, maxStorePollers/max(len(t.zones), 1)), 1)
	t.zoneMembers = t.zones[self.Zone]
	t.ownIndex = slices.IndexFunc(t.zoneMembers, func(m member.Member) bool { return m.Name == self.Name })
	t.neighbourList = t.buildNeighbours()
	return t
}

// treePosition is an instance's place in the tree.
type treePosition struct {
	polls   bool     // it hears for itself
	sources []string // addresses of those it asks else, the preferred one first
}

// position is this instance's.
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

// parent is the instance that serves this one, which is no top.
func (t *relayTree) parent() member.Member { return t.zoneMembers[(t.ownIndex-t.tops)/treeFanout] }

// children are those that this instance serves; none in a small fleet.
func (t *relayTree) children() []member.Member {
	if t.small || t.ownIndex < 0 {
		return nil
	}
	from := min(t.tops+t.ownIndex*treeFanout, len(t.zoneMembers))
	return t.zoneMembers[from:min(from+treeFanout, len(t.zoneMembers))]
}

// otherTops are the tops of all zones but this instance.
func (t *relayTree) otherTops() []member.Member {
	var out []member.Member
	for _, near := range t.zones {
		for _, m := range near[:min(t.tops, len(near))] {
			if m.Name != t.self {
				out = append(out, m)
			}
		}
	}
	return out
}

// neighbour is an instance with which this one exchanges what is under way at targets.
type neighbour struct {
	member.Member
	relayedFrom map[string]bool // names of the neighbours whose words are passed on to it
}

// neighbours are all others in a small fleet. In a large one they are those that this
// instance serves and the one that serves it, and for a top all other tops: everybody hears
// of everybody in one way, with a word to some fifteen others each time at most.
func (t *relayTree) neighbours() []neighbour { return t.neighbourList }

// isCrossZone says whether words to a member are told less often: it is in another zone of a large
// fleet.
func (t *relayTree) isCrossZone(m member.Member) bool { return !t.small && m.Zone != t.zone }

// buildNeighbours works the neighbours out. Tops, and all instances of a small fleet, hear
// one another directly, so that their words are not passed on among them.
func (t *relayTree) buildNeighbours() []neighbour {
	var direct, served []member.Member
	switch {
	case t.small:
		for _, near := range t.zones {
			direct = append(direct, slices.DeleteFunc(slices.Clone(near), func(m member.Member) bool { return m.Name == t.self })...)
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

// nameSet is the set of the names of all members but one.
func nameSet(members []member.Member, but string) map[string]bool {
	out := map[string]bool{}
	for _, m := range members {
		if m.Name != but {
			out[m.Name] = true
		}
	}
	return out
}

// pollers names the instances that hear for themselves.
func (t *relayTree) pollers() []string {
	var out []string
	for zone := range t.zones {
		for _, m := range t.pollersIn(zone) {
			out = append(out, m.Name)
		}
	}
	return out
}

// pollersIn are the instances of a zone that hear for themselves.
func (t *relayTree) pollersIn(zone string) []member.Member {
	near := t.zones[zone]
	if t.small {
		return near
	}
	return near[:min(t.tops, len(near))]
}
