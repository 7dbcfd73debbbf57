package gateway

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/loadreport"
)

// TestLoadsReachAll guards against loads that are lost or counted twice on their way through
// the relay tree: in a fleet of any size each instance must receive the work of every other
// exactly once, within a few rounds and by reports to few neighbours.
func TestLoadsReachAll(t *testing.T) {
	for _, c := range []struct{ n, zones, maxNeighbours, rounds int }{{1, 1, 0, 1}, {9, 4, 8, 1}, {16, 3, 15, 1}, {17, 3, 17, 3}, {82, 4, 19, 3}, {300, 3, 17, 5}, {330, 7, 19, 5}} {
		t.Run(fmt.Sprintf("%d in %d", c.n, c.zones), func(t *testing.T) {
			is := is.New(t)
			all := membersOf(c.n, c.zones)
			trees, received := map[string]*relayTree{}, map[string]map[string]loadreport.WorkByTarget{}
			for _, m := range all {
				trees[m.Name], received[m.Name] = newRelayTree(all, m), map[string]loadreport.WorkByTarget{}
			}
			for range c.rounds {
				next := map[string]map[string]loadreport.WorkByTarget{}
				for _, m := range all {
					next[m.Name] = map[string]loadreport.WorkByTarget{}
				}
				for _, m := range all {
					own := loadreport.WorkByTarget{loadreport.KeyOf(m.Name): {Memory: 1000}} // one target per instance shows whose loads arrive
					is.True(len(trees[m.Name].neighbours()) <= c.maxNeighbours)
					for _, n := range trees[m.Name].neighbours() {
						next[n.Name][m.Name] = n.loadsToReport(own, received[m.Name])
					}
				}
				received = next
			}
			for _, m := range all {
				sum := loadreport.WorkByTarget{loadreport.KeyOf(m.Name): {Memory: 1000}}
				for _, w := range received[m.Name] {
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

// TestRequestsReachAll is TestLoadsReachAll for the numbers of requests at targets with few slots:
// each instance must count those of every other exactly once.
func TestRequestsReachAll(t *testing.T) {
	for _, c := range []struct{ n, zones, rounds int }{{1, 1, 0}, {9, 4, 1}, {17, 3, 3}, {79, 3, 5}, {300, 3, 5}} {
		t.Run(fmt.Sprintf("%d in %d", c.n, c.zones), func(t *testing.T) {
			is := is.New(t)
			all := membersOf(c.n, c.zones)
			trees, received := map[string]*relayTree{}, map[string]map[string]loadreport.RequestsByTarget{}
			for _, m := range all {
				trees[m.Name], received[m.Name] = newRelayTree(all, m), map[string]loadreport.RequestsByTarget{}
			}
			own := loadreport.RequestsByTarget{1: 3, 2: 16}
			for range c.rounds {
				next := map[string]map[string]loadreport.RequestsByTarget{}
				for _, m := range all {
					next[m.Name] = map[string]loadreport.RequestsByTarget{}
				}
				for _, m := range all {
					for _, n := range trees[m.Name].neighbours() {
						next[n.Name][m.Name] = n.requestsToReport(own, received[m.Name])
					}
				}
				received = next
			}
			is.Equal(own, loadreport.RequestsByTarget{1: 3, 2: 16}) // reporting doesn't change them
			for _, m := range all {
				sum := loadreport.RequestsByTarget{}
				for _, r := range received[m.Name] {
					sum.AddAll(r)
				}
				is.Equal(sum[1], 3*(c.n-1))
				is.Equal(sum[2], 16*(c.n-1))
			}
		})
	}
}
