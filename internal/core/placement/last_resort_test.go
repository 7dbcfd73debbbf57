package placement

import (
	"testing"

	"github.com/matryer/is"
)

// TestLastResort: a target that rests, or whose zone is silent, is passed over for any other,
// however long that one is predicted to take.
func TestLastResort(t *testing.T) {
	is := is.New(t)
	slow := Target{ID: "slow", FirstResponseMS: 5000, InFlight: 100}
	for _, last := range []Target{{ID: "resting", FirstResponseMS: 1, Ejected: true}, {ID: "dark", FirstResponseMS: 1, ZoneUnreachable: true}} {
		for _, targets := range [][]Target{{last, slow}, {slow, last}} {
			d := Select(targets, Query{ConcurrencyPenaltyMS: 25, Rand: func() float64 { return 0 }})
			is.Equal(targets[d.Index].ID, "slow")
		}
		d := Select([]Target{last}, Query{Rand: func() float64 { return 0 }})
		is.Equal(d.Index, 0)
	}
}
