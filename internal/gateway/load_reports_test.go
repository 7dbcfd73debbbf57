package gateway

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/loadreport"
)

// TestLoadsReachAll: in fleets of any size each instance hears of the work of every other
// just once, in a few rounds, by words to few others.
func TestLoadsReachAll(t *testing.T) {
	for _, c := range []struct{ n, zones, most, rounds int }{{1, 1, 0, 1}, {9, 4, 8, 1}, {16, 3, 15, 1}, {17, 3, 17, 3}, {82, 4, 19, 3}, {300, 3, 17, 5}, {330, 7, 19, 5}} {
		t.Run(fmt.Sprintf("%d in %d", c.n, c.zones), func(t *testing.T) {
			is := is.New(t)
			all := membersOf(c.n, c.zones)
			trees, heard := map[string]*relayTree{}, map[string]map[string]loadreport.WorkByTarget{}
			for _, m := range all {
				trees[m.Name], heard[m.Name] = newRelayTree(all, m), map[string]loadreport.WorkByTarget{}
			}
			for range c.rounds {
				next := map[string]map[string]loadreport.WorkByTarget{}
				for _, m := range all {
					next[m.Name] = map[string]loadreport.WorkByTarget{}
				}
				for _, m := range all {
					own := loadreport.WorkByTarget{loadreport.KeyOf(m.Name): {Memory: 1000}} // a target of its own shows who is heard of
					is.True(len(trees[m.Name].neighbours()) <= c.most)
					for _, n := range trees[m.Name].neighbours() {
						next[n.Name][m.Name] = n.loadsToReport(own, heard[m.Name])
					}
				}
				heard = next
			}
			for _, m := range all {
				sum := loadreport.WorkByTarget{loadreport.KeyOf(m.Name): {Memory: 1000}}
				for _, w := range heard[m.Name] {
					sum.AddAll(w)
				}
				is.Equal(len(sum), c.n)
				for _, load := range sum {
					is.Equal(load.Memory, 1000)
				}
			}
		})
	}
}
