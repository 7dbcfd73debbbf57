package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/stock"
)

func fleetOf(n, zones int) []member.Member {
	out := make([]member.Member, n)
	for i := range out {
		out[i] = member.Member{Name: fmt.Sprintf("e-%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: fmt.Sprintf("z%d", i%zones)}
	}
	return out
}

// TestTree: at any size of the fleet few instances follow the stores,
// nobody is asked by many, all are in the zone of whom they ask, and each reaches
// one that follows in few steps.
func TestTree(t *testing.T) {
	for _, c := range []struct{ n, zones, depth int }{{1, 1, 0}, {9, 3, 0}, {16, 3, 0}, {17, 3, 1}, {59, 3, 1}, {91, 4, 1}, {300, 3, 2}, {330, 7, 2}, {1000, 3, 3}} {
		t.Run(fmt.Sprintf("%d in %d", c.n, c.zones), func(t *testing.T) {
			is := is.New(t)
			all := fleetOf(c.n, c.zones)
			byAddress, asked, follow := map[string]member.Member{}, map[string]int{}, 0
			for _, m := range all {
				byAddress[m.Address] = m
			}
			for _, m := range all {
				at := newTree(all, m).position()
				is.Equal(at.follows, slices.Contains(newTree(all, m).followers(), m.Name))
				if at.follows {
					follow++
					continue
				}
				asked[at.sources[0]]++
				steps := 0
				for ; !at.follows; steps++ {
					parent := byAddress[at.sources[0]]
					is.Equal(parent.Zone, m.Zone)
					at = newTree(all, parent).position()
				}
				is.True(steps <= c.depth)
			}
			is.True(follow <= max(smallFleet, storePolls))
			for _, n := range asked {
				is.True(n <= treeFan)
			}
		})
	}
}

// TestLastOneLeaves: an instance that stops knows of no live member, not even itself.
func TestLastOneLeaves(t *testing.T) {
	is := is.New(t)
	self := member.Member{Name: "a", Address: "10.0.0.1:1", Zone: "z", Incarnation: 1}
	c := &control{now: time.Now, members: member.New(member.DefaultParams, self, func(int) int { return 0 })}
	c.members.Leave()
	v := c.view()
	is.Equal(len(v.Alive), 0)
	is.Equal(len(v.Tree.followers()), 0)
	is.True(v.Tree.position().follows)
}

// TestStoreNews: changes come out as they were put in; a part that names no salt
// is left out.
func TestStoreNews(t *testing.T) {
	is := is.New(t)
	in := []stock.Event{
		{Key: stock.Key{Salt: "s1", Part: "a"}, Added: true, Tokens: 100},
		{Key: stock.Key{Salt: "s2", Part: "a"}},
		{Key: stock.Key{Salt: "s1", Part: "b"}, Added: true},
	}
	var n StoreNews
	n.pack(in)
	is.Equal(n.events(), in)
	is.Equal(len(n.Salts), 2)
	n.Parts = append(n.Parts, PartNews{Salt: 2, Part: "c"}, PartNews{Salt: -1, Part: "d"})
	is.Equal(n.events(), in)
}
