package gateway

import (
	"cmp"
	"slices"

	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/rendezvous"
)

// Shape of the tree.
const (
	// followers is how many instances of a zone hear for themselves: one may fail.
	followers = 2
	// storePolls is how many instances in all may follow one cache store; stores have
	// been seen to bear 12 polls at a time.
	storePolls = 10
	// treeFan is how many instances one other serves: each takes the directory some
	// three times a second, which then costs half a percent of a core.
	treeFan = 12
	// treeRole ranks the instances of a zone.
	treeRole = "directory"
)

// tree is how the live instances of a large fleet pass things on: in each zone a few,
// the tops, hear for themselves, and each instance serves up to treeFan others of its
// zone. Instances that know the same live members agree on it without a message. In a
// small fleet all hear for themselves. A tree is not changed once it is made.
type tree struct {
	self  string
	zone  string // this instance's
	small bool
	tops  int                        // of each zone
	zones map[string][]member.Member // live members, the highest rank first
	near  []member.Member            // those of the own zone
	own   int                        // index in near; -1: this instance is no live member
	hears []neighbour                // see neighbours
}

// newTree works the tree out from the live members.
func newTree(alive []member.Member, self member.Member) *tree {
	t := &tree{self: self.Name, zone: self.Zone, small: len(alive) <= smallFleet, zones: map[string][]member.Member{}}
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
	t.tops = max(min(followers, storePolls/max(len(t.zones), 1)), 1)
	t.near = t.zones[self.Zone]
	t.own = slices.IndexFunc(t.near, func(m member.Member) bool { return m.Name == self.Name })
	t.hears = t.newNeighbours()
	return t
}

// position is an instance's place in the tree.
type position struct {
	follows bool     // it hears for itself
	sources []string // addresses of those it asks else, the preferred one first
}

// position is this instance's.
func (t *tree) position() position {
	if t.small || t.own < t.tops {
		return position{follows: true}
	}
	parent := t.parent()
	out := position{sources: []string{parent.Address}}
	for _, m := range t.near[:t.tops] {
		if m.Name != parent.Name {
			out.sources = append(out.sources, m.Address)
		}
	}
	return out
}

// parent is the instance that serves this one, which is no top.
func (t *tree) parent() member.Member { return t.near[(t.own-t.tops)/treeFan] }

// children are those that this instance serves; none in a small fleet.
func (t *tree) children() []member.Member {
	if t.small || t.own < 0 {
		return nil
	}
	from := min(t.tops+t.own*treeFan, len(t.near))
	return t.near[from:min(from+treeFan, len(t.near))]
}

// topsElsewhere are the tops of all zones but this instance.
func (t *tree) topsElsewhere() []member.Member {
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
	relayed map[string]bool // names of the neighbours whose words are passed on to it
}

// neighbours are all others in a small fleet. In a large one they are those that this
// instance serves and the one that serves it, and for a top all other tops: everybody hears
// of everybody in one way, with a word to some fifteen others each time at most.
func (t *tree) neighbours() []neighbour { return t.hears }

// far says whether words to a member are told less often: it is in another zone of a large
// fleet.
func (t *tree) far(m member.Member) bool { return !t.small && m.Zone != t.zone }

// newNeighbours works the neighbours out. Tops, and all instances of a small fleet, hear
// one another directly, so that their words are not passed on among them.
func (t *tree) newNeighbours() []neighbour {
	var direct, served []member.Member
	switch {
	case t.small:
		for _, near := range t.zones {
			direct = append(direct, slices.DeleteFunc(slices.Clone(near), func(m member.Member) bool { return m.Name == t.self })...)
		}
	case t.own < 0:
		return nil
	case t.own < t.tops:
		direct, served = t.topsElsewhere(), t.children()
	default:
		served = append(slices.Clone(t.children()), t.parent())
	}
	var out []neighbour
	for _, m := range direct {
		out = append(out, neighbour{Member: m, relayed: names(served, "")})
	}
	for _, m := range served {
		relayed := names(served, m.Name)
		for _, d := range direct {
			relayed[d.Name] = true
		}
		out = append(out, neighbour{Member: m, relayed: relayed})
	}
	return out
}

// names is the set of the names of all members but one.
func names(members []member.Member, but string) map[string]bool {
	out := map[string]bool{}
	for _, m := range members {
		if m.Name != but {
			out[m.Name] = true
		}
	}
	return out
}

// followers names the instances that hear for themselves.
func (t *tree) followers() []string {
	var out []string
	for zone := range t.zones {
		for _, m := range t.hearing(zone) {
			out = append(out, m.Name)
		}
	}
	return out
}

// hearing are the instances of a zone that hear for themselves.
func (t *tree) hearing(zone string) []member.Member {
	near := t.zones[zone]
	if t.small {
		return near
	}
	return near[:min(t.tops, len(near))]
}
