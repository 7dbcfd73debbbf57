package warmup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedhoist/shedhoist/internal/core/warmup"
)

// What a target bears while it is cold.
const (
	limit  = 21.5
	second = time.Second
)

// TestTornViews: instances differ in whom they know: each lacks others at random. However
// they try, and however long a request is under way, no second brings a target more than is
// allowed, over fleets of 3 to 330 instances before 60 to 600 targets.
func TestTornViews(t *testing.T) {
	sizes := [...]struct{ instances, targets int }{{3, 60}, {7, 60}, {9, 120}, {30, 302}, {71, 60}, {295, 256}, {330, 600}}
	for _, size := range sizes {
		t.Run(fmt.Sprint(size.instances, " instances, ", size.targets, " targets"), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				lacking := rapid.IntRange(0, 10).Draw(t, "percent lacking")
				seed := rapid.Uint64().Draw(t, "seed")
				target := fmt.Sprint("t-", rapid.IntRange(0, size.targets-1).Draw(t, "target"))
				var chosen []int // what each may send
				for i := range size.instances {
					self := fmt.Sprint("e-", i)
					var known []string
					for j := range size.instances {
						if i == j || mix(seed, uint64(i), uint64(j))%100 >= uint64(lacking) {
							known = append(known, fmt.Sprint("e-", j))
						}
					}
					if s := warmup.Allocate(limit, len(known)); s.IsSender(target, self, known) {
						chosen = append(chosen, s.Quota)
					}
				}
				if len(chosen) == 0 {
					t.Fatal("nobody may send")
				}
				if worst := press(t, chosen, seed); float64(worst) > limit {
					t.Fatalf("%d in a second from instances that may send %v", worst, chosen)
				}
			})
		})
	}
}

// press has instances send to a target as often as they may, and returns how many requests
// were sent and came in the worst second. A request is written up to 400 ms after its place was
// taken, and comes up to 300 ms later.
func press(t *rapid.T, quotas []int, seed uint64) int {
	const step = 20 * time.Millisecond
	gates := make([]warmup.Limiter, len(quotas))
	type flight struct {
		gate int
		sent time.Time
	}
	now := time.Unix(1000, 0)
	var flying []flight
	var came []trip
	n := uint64(0)
	for range 4 * int(second/step) {
		for i := range gates {
			for gates[i].Acquire("t", quotas[i], now) {
				n++
				sent := now.Add(time.Duration(mix(seed, n, 1)%400) * time.Millisecond)
				flying = append(flying, flight{i, sent})
				came = append(came, trip{sent, sent.Add(time.Duration(mix(seed, n, 2)%300) * time.Millisecond)})
			}
			if gates[i].Available("t", quotas[i], now) {
				t.Fatal("free, but not to be taken")
			}
		}
		now = now.Add(step)
		var still []flight
		for _, f := range flying {
			if f.sent.After(now) {
				still = append(still, f)
				continue
			}
			gates[f.gate].Release("t", now)
		}
		flying = still
	}
	return worstSecond(came)
}

// trip is a request on its way.
type trip struct{ sent, came time.Time }

// worstSecond is the most that were sent and came within a second, one that begins with a send.
func worstSecond(trips []trip) int {
	worst := 0
	for _, from := range trips {
		n := 0
		for _, t := range trips {
			if !t.sent.Before(from.sent) && t.came.Sub(from.sent) <= second {
				n++
			}
		}
		worst = max(worst, n)
	}
	return worst
}

// mix is a hash of some numbers.
func mix(numbers ...uint64) uint64 {
	h := uint64(0x9e3779b97f4a7c15)
	for _, n := range numbers {
		h = (h ^ n) * 0xbf58476d1ce4e5b9
		h ^= h >> 31
	}
	return h
}

// TestAllKnowAll: in a fleet in which all know all, as many are chosen as the target bears
// requests, and none for many more targets than others.
func TestAllKnowAll(t *testing.T) {
	is := is.New(t)
	var all []string
	for i := range 71 {
		all = append(all, fmt.Sprint("e-", i))
	}
	load := map[string]int{}
	for target := range 600 {
		n := 0
		for _, self := range all {
			if warmup.Allocate(limit, len(all)).IsSender(fmt.Sprint("t-", target), self, all) {
				n++
				load[self]++
			}
		}
		is.Equal(n, 12)
	}
	most := 0
	for _, n := range load {
		most = max(most, n)
	}
	is.True(most < 2*12*600/71)
}

// TestNoLimit: a target that bears less than a request of each gets none.
func TestNoLimit(t *testing.T) {
	is := is.New(t)
	is.Equal(warmup.Allocate(1, 71), warmup.Allocation{})
	is.Equal(warmup.Allocate(1, 0), warmup.Allocation{})
	var g warmup.Limiter
	is.True(!g.Available("t", 0, time.Time{}))
	is.True(!g.Acquire("t", 0, time.Time{}))
}

// TestSmallFleets: the fewer instances there are, the more each may send, up to a bound.
func TestSmallFleets(t *testing.T) {
	is := is.New(t)
	for instances, want := range map[int]warmup.Allocation{1: {1, 4}, 3: {3, 4}, 6: {6, 2}, 9: {9, 1}, 71: {12, 1}, 330: {12, 1}} {
		is.Equal(warmup.Allocate(limit, instances), want)
	}
}

// TestKeep: what is known of a target goes with it, but not while requests are under way.
func TestKeep(t *testing.T) {
	is := is.New(t)
	var g warmup.Limiter
	now := time.Unix(1000, 0)
	is.True(g.Acquire("t", 1, now))
	none := func(string) bool { return false }
	g.Retain(none)
	is.True(!g.Available("t", 1, now))
	g.Release("t", now)
	is.True(!g.Available("t", 1, now))
	g.Retain(none)
	is.True(g.Available("t", 1, now))
}
