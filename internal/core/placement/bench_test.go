package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/placement"
	"github.com/shedhoist/shedhoist/internal/core/policy"
)

// BenchmarkSelect times one selection among 9, 60 and 600 targets: the sizes of small, large
// and future fleets, without and with limits on a less urgent request.
func BenchmarkSelect(b *testing.B) {
	for _, n := range []int{9, 60, 600} {
		targets := make([]placement.Target, n)
		for i := range targets {
			targets[i] = placement.Target{ID: fmt.Sprint("i-", i), Zone: []string{"a", "b", "c"}[i%3], FirstResponseMS: float64(50 + i%7), CapacityTokens: 70_000, UsedTokens: 1000 * (i % 70)}
		}
		q := placement.Query{Zone: "a", RolloutTimeout: 10 * time.Second, ConcurrencyPenaltyMS: 2, Rand: rand.Float64, Policy: policy.Default(), PrefixKey: "5c1e07a2", SharedPrefillMS: 180, NeededTokens: 12_000}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				placement.Select(targets, q)
			}
		})
		q.MemoryShare, q.RequestShare, q.MaxQueuedTokens = 0.88, 0.2, 9600
		b.Run(fmt.Sprint(n, "/limits"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				placement.Select(targets, q)
			}
		})
	}
}
