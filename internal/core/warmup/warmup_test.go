package warmup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedhoist/shedhoist/internal/core/warmup"
)

// targetLimit is the limit of a target in warm-up, in requests per second.
const (
	targetLimit = 21.5
	second      = time.Second
)

// TestInconsistentViews guards against a target that gets more requests than its limit because
// the instances know different sets of others: each lacks a random part. It covers fleets of 3
// to 330 instances with 60 to 600 targets, and random delays of requests in flight.
func TestInconsistentViews(t *testing.T) {
	sizes := [...]struct{ instances, targets int }{{3, 60}, {7, 60}, {9, 120}, {30, 302}, {71, 60}, {295, 256}, {330, 600}}
	for _, size := range sizes {
		t.Run(fmt.Sprint(size.instances, " instances, ", size.targets, " targets"), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				missingPercent := rapid.IntRange(0, 10).Draw(t, "missing percent")
				seed := rapid.Uint64().Draw(t, "seed")
				target := fmt.Sprint("t-", rapid.IntRange(0, size.targets-1).Draw(t, "target"))
				var quotas []int // of the senders
				for i := range size.instances {
					self := fmt.Sprint("e-", i)
					var known []string
					for j := range size.instances {
						if i == j || hash(seed, uint64(i), uint64(j))%100 >= uint64(missingPercent) {
							known = append(known, fmt.Sprint("e-", j))
						}
					}
					if a := warmup.Allocate(targetLimit, len(known)); a.IsSender(target, self, known) {
						quotas = append(quotas, a.Quota)
					}
				}
				if len(quotas) == 0 {
					t.Fatal("no instance may send")
				}
				if highest := saturate(t, quotas, seed); float64(highest) > targetLimit {
					t.Fatalf("%d requests in a second from instances with quotas %v", highest, quotas)
				}
			})
		})
	}
}

// saturate sends as many requests to a target as the limiters allow, and returns the largest
// number that were sent and arrived within a second. A request is written up to 400 ms after
// its slot was acquired, and arrives up to 300 ms later.
func saturate(t *rapid.T, quotas []int, seed uint64) int {
	const step = 20 * time.Millisecond
	limiters := make([]warmup.Limiter, len(quotas))
	type acquired struct {
		limiter int
		sent    time.Time
	}
	now := time.Unix(1000, 0)
	var inFlight []acquired
	var transits []transit
	n := uint64(0)
	for range 4 * int(second/step) {
		for i := range limiters {
			for limiters[i].Acquire("t", quotas[i], now) {
				n++
				sent := now.Add(time.Duration(hash(seed, n, 1)%400) * time.Millisecond)
				inFlight = append(inFlight, acquired{i, sent})
				transits = append(transits, transit{sent, sent.Add(time.Duration(hash(seed, n, 2)%300) * time.Millisecond)})
			}
			if limiters[i].Available("t", quotas[i], now) {
				t.Fatal("a slot is available, but Acquire failed")
			}
		}
		now = now.Add(step)
		var remaining []acquired
		for _, r := range inFlight {
			if r.sent.After(now) {
				remaining = append(remaining, r)
				continue
			}
			limiters[r.limiter].Release("t", now)
		}
		inFlight = remaining
	}
	return maxPerSecond(transits)
}

// transit holds when a request was written and when it arrived.
type transit struct{ sent, arrived time.Time }

// maxPerSecond returns the largest number of requests that were sent and arrived within one
// second. Only seconds that begin with a send need to be checked.
func maxPerSecond(transits []transit) int {
	highest := 0
	for _, first := range transits {
		n := 0
		for _, t := range transits {
			if !t.sent.Before(first.sent) && t.arrived.Sub(first.sent) <= second {
				n++
			}
		}
		highest = max(highest, n)
	}
	return highest
}

// hash mixes numbers into a pseudorandom one.
func hash(numbers ...uint64) uint64 {
	h := uint64(0x9e3779b97f4a7c15)
	for _, n := range numbers {
		h = (h ^ n) * 0xbf58476d1ce4e5b9
		h ^= h >> 31
	}
	return h
}

// TestCompleteViews checks that, if all instances know each other, each target has as many
// senders as its allocation says, and that no instance sends to many more targets than others.
func TestCompleteViews(t *testing.T) {
	is := is.New(t)
	var instances []string
	for i := range 71 {
		instances = append(instances, fmt.Sprint("e-", i))
	}
	targetsOf := map[string]int{}
	for target := range 600 {
		n := 0
		for _, self := range instances {
			if warmup.Allocate(targetLimit, len(instances)).IsSender(fmt.Sprint("t-", target), self, instances) {
				n++
				targetsOf[self]++
			}
		}
		is.Equal(n, 12)
	}
	highest := 0
	for _, n := range targetsOf {
		highest = max(highest, n)
	}
	is.True(highest < 2*12*600/71)
}

// TestLimitTooLow checks that a limit too low for a single sender allows no requests.
func TestLimitTooLow(t *testing.T) {
	is := is.New(t)
	is.Equal(warmup.Allocate(1, 71), warmup.Allocation{})
	is.Equal(warmup.Allocate(1, 0), warmup.Allocation{})
	var l warmup.Limiter
	is.True(!l.Available("t", 0, time.Time{}))
	is.True(!l.Acquire("t", 0, time.Time{}))
}

// TestQuotaByFleetSize checks that the quota grows as the fleet shrinks, up to maxQuota.
func TestQuotaByFleetSize(t *testing.T) {
	is := is.New(t)
	for instances, want := range map[int]warmup.Allocation{1: {1, 4}, 3: {3, 4}, 6: {6, 2}, 9: {9, 1}, 71: {12, 1}, 330: {12, 1}} {
		is.Equal(warmup.Allocate(targetLimit, instances), want)
	}
}

// TestRetain checks that the slots of an unknown target are dropped, but not while it has
// requests in flight.
func TestRetain(t *testing.T) {
	is := is.New(t)
	var l warmup.Limiter
	now := time.Unix(1000, 0)
	is.True(l.Acquire("t", 1, now))
	none := func(string) bool { return false }
	l.Retain(none)
	is.True(!l.Available("t", 1, now))
	l.Release("t", now)
	is.True(!l.Available("t", 1, now))
	l.Retain(none)
	is.True(l.Available("t", 1, now))
}
