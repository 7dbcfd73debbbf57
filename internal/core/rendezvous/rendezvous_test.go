package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("e-%03d", i)
	}
	return out
}

// TestFirstAgreesWithRank: an instance that takes itself for one of the first of a role is
// one of those that the others take for it.
func TestFirstAgreesWithRank(t *testing.T) {
	is := is.New(t)
	all := names(40)
	first := First(all, "role", 5)
	is.Equal(len(first), 5)
	for _, name := range all {
		rank := Rank(all, name, "role")
		is.Equal(slices.Index(first, name), map[bool]int{true: rank, false: -1}[rank < 5])
	}
	is.Equal(len(First(all[:3], "role", 5)), 3)
}

// TestOneThatGoesMovesNoOthers: the order of those that stay is the same without it.
func TestOneThatGoesMovesNoOthers(t *testing.T) {
	is := is.New(t)
	all := names(40)
	order := First(all, "role", len(all))
	rest := slices.Delete(slices.Clone(all), 17, 18)
	want := slices.DeleteFunc(slices.Clone(order), func(n string) bool { return n == all[17] })
	is.Equal(First(rest, "role", len(rest)), want)
}
