// Package rendezvous ranks names for a role by rendezvous hashing (highest random weight; Thaler
// and Ravishankar, 1998). All instances that know the same names compute the same order without
// communication, and adding or removing a name doesn't change the relative order of the others.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns a name's score for a role. The highest score ranks first.
func Score(name, role string) uint64 { return xxhash.Sum64String(name + "/" + role) }

// Rank returns the rank of a name among names for a role, starting at 0. The name need not be
// one of names.
func Rank(names []string, name, role string) int {
	score, rank := Score(name, role), 0
	for _, other := range names {
		if other != name && Score(other, role) > score {
			rank++
		}
	}
	return rank
}

// First returns the n highest-ranked names for a role in order, or all names if there are fewer.
func First(names []string, role string, n int) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(Score(b, role), Score(a, role)) })
	return ranked[:min(n, len(ranked))]
}
