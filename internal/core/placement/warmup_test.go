package placement_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/placement"
	"github.com/shedhoist/shedhoist/internal/core/policy"
)

// homeIndex returns where an instance sends a prompt with a prefix if the targets differ in
// nothing but their homes.
func homeIndex(targets []placement.Target, prefixKey string) int {
	p := policy.Default()
	p.ScoreJitter = false
	return placement.Select(targets, placement.Query{PrefixKey: prefixKey, SharedPrefillMS: 100, Policy: p, Rand: func() float64 { return 0 }}).Index
}

// TestWarmupTargetsGetTheirShare checks that the weights of targets in warm-up make up for the
// few instances that use them. A third of the 60 targets is warming up, each used by twelve of
// 71 instances, and gets about as many requests as a warm target.
func TestWarmupTargetsGetTheirShare(t *testing.T) {
	is := is.New(t)
	const instances, targets, warmingUp, senders, prompts = 71, 60, 20, 12, 400
	received := make([]int, targets)
	for instance := range instances {
		options := make([]placement.Target, targets)
		for i := range options {
			options[i] = placement.Target{ID: fmt.Sprint("t-", i), FirstResponseMS: 50}
			if i < warmingUp {
				options[i].WarmupLimited = (instance+i*senders)%instances >= senders
				options[i].Weight = float64(instances) / senders
			}
		}
		for p := range prompts {
			received[homeIndex(options, fmt.Sprint("subject ", p))]++
		}
	}
	warmingUpTotal, warmTotal := 0, 0
	for i, n := range received {
		if i < warmingUp {
			warmingUpTotal += n
		} else {
			warmTotal += n
		}
	}
	ratio := float64(warmingUpTotal) / warmingUp / (float64(warmTotal) / (targets - warmingUp))
	t.Logf("a target in warm-up gets %.2f of the requests of a warm one", ratio)
	is.True(ratio > 0.75 && ratio < 1.25)
}

// TestWarmupKeepsOtherHomes checks that a target in warm-up moves only the prompts that have
// their home there.
func TestWarmupKeepsOtherHomes(t *testing.T) {
	is := is.New(t)
	options := make([]placement.Target, 30)
	for i := range options {
		options[i] = placement.Target{ID: fmt.Sprint("t-", i), FirstResponseMS: 50}
	}
	for p := range 300 {
		prefixKey := fmt.Sprint("subject ", p)
		home := homeIndex(options, prefixKey)
		limited := make([]placement.Target, len(options))
		copy(limited, options)
		limited[(home+1)%len(limited)].WarmupLimited = true
		is.Equal(homeIndex(limited, prefixKey), home)
		limited[home].WarmupLimited = true
		is.True(homeIndex(limited, prefixKey) != home)
	}
}
