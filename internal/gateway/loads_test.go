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
		return Loads{From: from, Seq: seq, Waiting: []TargetLoad{{Target: "t", Tokens: tokens}}}
	}
	o.take(word("a", 2, 1000), now)
	o.take(word("a", 1, 9000), now) // overtaken
	o.take(word("b", 1, 500), now)
	is.Equal(o.at(now)["t"], 1500)
	half := now.Add(loadAge / 2)
	is.Equal(o.at(half)["t"], 750)
	o.take(Loads{From: "a", Seq: 3}, half)
	is.Equal(o.at(half)["t"], 250)
	is.Equal(len(o.at(now.Add(2*loadAge))), 0)
	o.take(word("b", 1, 500), now.Add(2*loadAge)) // a new process begins at 1
	is.Equal(o.at(now.Add(2 * loadAge))["t"], 500)
}
