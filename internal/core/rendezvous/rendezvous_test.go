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

// TestFirstMatchesRank checks that the instances that consider themselves among the first for a
// role, by Rank, are those that other instances select by First.
func TestFirstMatchesRank(t *testing.T) {
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

// TestRemovalKeepsOrder checks that removing a name doesn't change the order of the others.
func TestRemovalKeepsOrder(t *testing.T) {
	is := is.New(t)
	all := names(40)
	order := First(all, "role", len(all))
	remaining := slices.Delete(slices.Clone(all), 17, 18)
	want := slices.DeleteFunc(slices.Clone(order), func(n string) bool { return n == all[17] })
	is.Equal(First(remaining, "role", len(remaining)), want)
}
