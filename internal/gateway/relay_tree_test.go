package gateway

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestTreeReachesAll: what one instance hears first reaches all by the tops of the zones
// and those that each serves, with few messages an instance.
func TestTreeReachesAll(t *testing.T) {
	for _, c := range []struct{ n, zones int }{{17, 3}, {59, 3}, {91, 4}, {300, 3}, {330, 7}, {1000, 3}} {
		t.Run(fmt.Sprintf("%d in %d", c.n, c.zones), func(t *testing.T) {
			is := is.New(t)
			all := membersOf(c.n, c.zones)
			for _, first := range []int{0, c.n / 2, c.n - 1} {
				told := map[string]int{}
				tops := newRelayTree(all, all[first]).otherTops()
				is.True(len(tops) <= maxStorePollers)
				for _, m := range tops {
					told[m.Name]++
				}
				for _, m := range all {
					children := newRelayTree(all, m).children()
					is.True(len(children) <= treeFanout)
					for _, child := range children {
						is.Equal(child.Zone, m.Zone)
						told[child.Name]++
					}
				}
				told[all[first].Name]++ // it knows
				for _, m := range all {
					is.True(told[m.Name] >= 1 && told[m.Name] <= 2)
				}
			}
		})
	}
}

// TestSmallTree: in a small fleet nobody serves another.
func TestSmallTree(t *testing.T) {
	is := is.New(t)
	all := membersOf(maxSmallFleet, 3)
	for _, m := range all {
		is.Equal(len(newRelayTree(all, m).children()), 0)
	}
}
