package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/place"
	"github.com/shedhoist/shedhoist/internal/core/policy"
)

// BenchmarkDecide times one decision among as many targets as small, large and future
// fleets have.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{9, 60, 600} {
		targets := make([]place.Target, n)
		for i := range targets {
			targets[i] = place.Target{ID: fmt.Sprint("i-", i), Zone: []string{"a", "b", "c"}[i%3], FirstMS: float64(50 + i%7), Capacity: 70_000, InMemory: 1000 * (i % 70)}
		}
		q := place.Query{Zone: "a", Rollout: 10 * time.Second, CrowdMS: 2, Rand: rand.Float64, Policy: policy.Default(), Subject: "5c1e07a2", SharedMS: 180, Tokens: 12_000}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				place.Decide(targets, q)
			}
		})
	}
}
