// Package rendezvous ranks names for a role by highest random weight (Thaler and Ravishankar,
// 1998): all that know the same names find the same order without a message, and a name that
// comes or goes moves no others. It is pure.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score is a name's score for a role: the highest ranks first.
func Score(name, role string) uint64 { return xxhash.Sum64String(name + "/" + role) }

// Rank is the place of a name among all names for a role, 0 being the first. It need not be
// among them itself.
func Rank(names []string, name, role string) int {
	own, rank := Score(name, role), 0
	for _, other := range names {
		if other != name && Score(other, role) > own {
			rank++
		}
	}
	return rank
}

// First returns the n names that rank first for a role, in order; all, if there are fewer.
func First(names []string, role string, n int) []string {
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(Score(b, role), Score(a, role)) })
	return out[:min(n, len(out))]
}
