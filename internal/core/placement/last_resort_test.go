package placement

import (
	"testing"

	"github.com/matryer/is"
)

// TestLastResort checks that an ejected target or one in an unreachable zone is selected only if
// there is no other target, even if the other one is predicted to be slow.
func TestLastResort(t *testing.T) {
	is := is.New(t)
	slow := Target{ID: "slow", FirstResponseMS: 5000, InFlight: 100}
	for _, lastResort := range []Target{{ID: "ejected", FirstResponseMS: 1, Ejected: true}, {ID: "zone unreachable", FirstResponseMS: 1, ZoneUnreachable: true}} {
		for _, targets := range [][]Target{{lastResort, slow}, {slow, lastResort}} {
			d := Select(targets, Query{ConcurrencyPenaltyMS: 25, Rand: func() float64 { return 0 }})
			is.Equal(targets[d.Index].ID, "slow")
		}
		d := Select([]Target{lastResort}, Query{Rand: func() float64 { return 0 }})
		is.Equal(d.Index, 0)
	}
}
