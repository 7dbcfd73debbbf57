package gateway

import (
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
	is.Equal(o.at(now)["t"], TargetLoad{Tokens: 1500, Memory: 3000})
	half := now.Add(loadAge / 2)
	is.Equal(o.at(half)["t"], TargetLoad{Tokens: 750, Memory: 3000}) // what runs keep does not fade
	o.take(Loads{From: "a", Seq: 3}, half)
	is.Equal(o.at(half)["t"], TargetLoad{Tokens: 250, Memory: 1000})
	is.Equal(len(o.at(now.Add(2*loadAge))), 0)
	o.take(word("b", 1, 500), now.Add(2*loadAge)) // a new process begins at 1
	is.Equal(o.at(now.Add(2 * loadAge))["t"], TargetLoad{Tokens: 500, Memory: 1000})
}

// TestHeardShare: all peers of a small fleet are heard; of a large one the part that chose
// this instance in the last three rounds, among those of its zone.
func TestHeardShare(t *testing.T) {
	is := is.New(t)
	share := func(instances, zones int) float64 {
		all := fleetOf(instances, zones)
		return (&View{Peers: all, Tree: newTree(all, all[0])}).heardShare()
	}
	is.Equal(share(1, 1), 1.0)
	is.Equal(share(9, 4), 1.0)
	is.Equal(share(13, 4), 1.0)
	is.Equal(share(25, 2), 0.5)        // all 12 of the zone, of 24
	near, far := share(80, 4), 19.0/79 // 12 of 19 in each round
	is.True(near < far && near > 0.9*far)
	is.True(share(300, 3) < 0.15) // 3 rounds of 12, of 299
}
