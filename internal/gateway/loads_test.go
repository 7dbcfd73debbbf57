package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOthersLoads: peers' words add up, fade, and a late one replaces nothing.
func TestOthersLoads(t *testing.T) {
	is := is.New(t)
	var o othersLoads
	now := time.Unix(0, 0)
	word := func(from string, seq uint64, tokens int) Loads {
		return Loads{From: from, Seq: seq, Targets: []TargetLoad{{Target: "t", Tokens: tokens, Memory: 2 * tokens}}}
	}
	o.take(word("a", 2, 1000), now)
	o.take(word("a", 1, 9000), now) // overtaken
	o.take(word("b", 1, 500), now)
	is.Equal(o.at(now)["t"], TargetLoad{Target: "t", Tokens: 1500, Memory: 3000})
	half := now.Add(loadAge / 2)
	is.Equal(o.at(half)["t"], TargetLoad{Target: "t", Tokens: 750, Memory: 3000}) // what runs keep does not fade
	o.take(Loads{From: "a", Seq: 3}, half)
	is.Equal(o.at(half)["t"], TargetLoad{Target: "t", Tokens: 250, Memory: 1000})
	is.Equal(len(o.at(now.Add(2*loadAge))), 0)
	o.take(word("b", 1, 500), now.Add(2*loadAge)) // a new process begins at 1
	is.Equal(o.at(now.Add(2 * loadAge))["t"], TargetLoad{Target: "t", Tokens: 500, Memory: 1000})
}

// TestLoadsReachAll: in fleets of any size each instance hears of the work of every other
// just once, in a few rounds, by words to few others.
func TestLoadsReachAll(t *testing.T) {
	for _, c := range []struct{ n, zones, most, rounds int }{{1, 1, 0, 1}, {9, 4, 8, 1}, {16, 3, 15, 1}, {17, 3, 17, 3}, {82, 4, 19, 3}, {300, 3, 17, 5}, {330, 7, 19, 5}} {
		t.Run(fmt.Sprintf("%d in %d", c.n, c.zones), func(t *testing.T) {
			is := is.New(t)
			all := fleetOf(c.n, c.zones)
			trees, heard := map[string]*tree{}, map[string]map[string][]TargetLoad{}
			for _, m := range all {
				trees[m.Name], heard[m.Name] = newTree(all, m), map[string][]TargetLoad{}
			}
			for range c.rounds {
				next := map[string]map[string][]TargetLoad{}
				for _, m := range all {
					next[m.Name] = map[string][]TargetLoad{}
				}
				for _, m := range all {
					own := targetLoads{m.Name: {Target: m.Name, Memory: 1000}} // a target of its own shows who is heard of
					is.True(len(trees[m.Name].neighbours()) <= c.most)
					for _, n := range trees[m.Name].neighbours() {
						next[n.Name][m.Name] = n.share(own, heard[m.Name]).told()
					}
				}
				heard = next
			}
			for _, m := range all {
				sum := targetLoads{m.Name: {Memory: 1000}}
				for _, w := range heard[m.Name] {
					sum.add(w)
				}
				is.Equal(len(sum), c.n)
				for _, load := range sum {
					is.Equal(load.Memory, 1000)
				}
			}
		})
	}
}
