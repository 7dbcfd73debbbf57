package gateway

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestTreeReachesAll guards against instances that an update does not reach: whichever
// instance learns of it first, it must reach all others through the tops of the zones and
// their children, at most twice, with few messages per instance.
func TestTreeReachesAll(t *testing.T) {
	for _, c := range []struct{ n, zones int }{{17, 3}, {59, 3}, {91, 4}, {300, 3}, {330, 7}, {1000, 3}} {
		t.Run(fmt.Sprintf("%d in %d", c.n, c.zones), func(t *testing.T) {
			is := is.New(t)
			all := membersOf(c.n, c.zones)
			for _, first := range []int{0, c.n / 2, c.n - 1} {
				received := map[string]int{}
				tops := newRelayTree(all, all[first]).otherTops()
				is.True(len(tops) <= maxStorePollers)
				for _, m := range tops {
					received[m.Name]++
				}
				for _, m := range all {
					children := newRelayTree(all, m).children()
					is.True(len(children) <= treeFanout)
					for _, child := range children {
						is.Equal(child.Zone, m.Zone)
						received[child.Name]++
					}
				}
				received[all[first].Name]++ // the source
				for _, m := range all {
					is.True(received[m.Name] >= 1 && received[m.Name] <= 2)
				}
			}
		})
	}
}

// TestSmallTree checks that in a small fleet no instance has children, because all of them poll the sources
// themselves.
func TestSmallTree(t *testing.T) {
	is := is.New(t)
	all := membersOf(maxSmallFleet, 3)
	for _, m := range all {
		is.Equal(len(newRelayTree(all, m).children()), 0)
	}
}
