package placement_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/placement"
	"github.com/shedhoist/shedhoist/internal/core/policy"
)

// Pattern: a third of the targets are cold under full load; each takes prompts from a few
// instances alone.

// homeAt is where an instance places a prompt with a subject, if all else is alike.
func homeAt(targets []placement.Target, subject string) int {
	p := policy.Default()
	p.ScoreJitter = false
	return placement.Select(targets, placement.Query{PrefixKey: subject, SharedPrefillMS: 100, Policy: p, Rand: func() float64 { return 0 }}).Index
}

// TestColdTargetsGetTheirShare: of 71 instances before 60 targets each cold target is used by
// twelve, which send there so much more that it gets about what a warm one gets.
func TestColdTargetsGetTheirShare(t *testing.T) {
	is := is.New(t)
	const instances, targets, cold, senders, prompts = 71, 60, 20, 12, 400
	got := make([]int, targets)
	for instance := range instances {
		options := make([]placement.Target, targets)
		for i := range options {
			options[i] = placement.Target{ID: fmt.Sprint("t-", i), FirstResponseMS: 50}
			if i < cold {
				options[i].WarmupLimited = (instance+i*senders)%instances >= senders
				options[i].Weight = float64(instances) / senders
			}
		}
		for p := range prompts {
			got[homeAt(options, fmt.Sprint("subject ", p))]++
		}
	}
	coldest, warmest := 0, 0
	for i, n := range got {
		if i < cold {
			coldest += n
		} else {
			warmest += n
		}
	}
	ratio := float64(coldest) / cold / (float64(warmest) / (targets - cold))
	t.Logf("a cold target gets %.2f of what a warm one gets", ratio)
	is.True(ratio > 0.75 && ratio < 1.25)
}

// TestHomesStay: where some targets are cold the prompts of all others stay where they are.
func TestHomesStay(t *testing.T) {
	is := is.New(t)
	options := make([]placement.Target, 30)
	for i := range options {
		options[i] = placement.Target{ID: fmt.Sprint("t-", i), FirstResponseMS: 50}
	}
	for p := range 300 {
		subject := fmt.Sprint("subject ", p)
		home := homeAt(options, subject)
		closed := make([]placement.Target, len(options))
		copy(closed, options)
		closed[(home+1)%len(closed)].WarmupLimited = true
		is.Equal(homeAt(closed, subject), home)
		closed[home].WarmupLimited = true
		is.True(homeAt(closed, subject) != home)
	}
}
