package place

import (
	"testing"

	"github.com/matryer/is"
)

// TestLastResort: a target that rests, or whose zone is silent, is passed over for any other,
// however long that one is predicted to take.
func TestLastResort(t *testing.T) {
	is := is.New(t)
	slow := Target{ID: "slow", FirstMS: 5000, Runs: 100}
	for _, last := range []Target{{ID: "resting", FirstMS: 1, Resting: true}, {ID: "dark", FirstMS: 1, Dark: true}} {
		for _, targets := range [][]Target{{last, slow}, {slow, last}} {
			d := Decide(targets, Query{CrowdMS: 25, Rand: func() float64 { return 0 }})
			is.Equal(targets[d.Index].ID, "slow")
		}
		d := Decide([]Target{last}, Query{Rand: func() float64 { return 0 }})
		is.Equal(d.Index, 0)
	}
}
