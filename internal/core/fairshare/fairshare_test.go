package fairshare_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedhoist/shedhoist/internal/core/fairshare"
)

// TestLevel guards against shares that are not max-min: what a customer does not ask for must be divided
// among the others.
func TestLevel(t *testing.T) {
	for _, c := range []struct {
		name     string
		capacity int
		demands  []int
		want     float64
	}{
		{"nobody", 100, nil, math.Inf(1)},
		{"all fit", 100, []int{80, 20}, math.Inf(1)},
		{"equal", 100, []int{60, 60}, 50},
		{"a large one beside small ones", 100, []int{1000, 10, 10, 10}, 70},
		{"two large ones", 100, []int{90, 20, 90}, 40},
		{"all above an equal part", 100, []int{30, 500, 45, 200}, 25},
		{"no capacity", 0, []int{1, 2}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(fairshare.MaxMinShare(c.capacity, c.demands), c.want)
		})
	}
}

// TestAbove guards against customers that are judged by what they hold alone: a large customer is above its
// share only if another one was refused what its own share allows.
func TestAbove(t *testing.T) {
	for _, c := range []struct {
		name string
		uses map[string]fairshare.Use
		want map[string]bool
	}{
		{"nobody", nil, nil},
		{"a large one that takes what nobody else asks for", map[string]fairshare.Use{"large": {Held: 900, Unmet: 500}, "a": {Held: 50}, "b": {Held: 50}}, nil},
		{"a large one while others are refused", map[string]fairshare.Use{"large": {Held: 800, Unmet: 900}, "a": {Held: 100, Unmet: 200}, "b": {Held: 100, Unmet: 200}}, map[string]bool{"large": true}},
		{"others are refused less than the tolerance", map[string]fairshare.Use{"large": {Held: 900}, "a": {Held: 100, Unmet: 50}}, nil},
		{"one that holds nothing", map[string]fairshare.Use{"large": {Held: 900}, "a": {Unmet: 400}}, map[string]bool{"large": true}},
		{"equal ones", map[string]fairshare.Use{"a": {Held: 104, Unmet: 300}, "b": {Held: 96, Unmet: 300}}, nil},
		{"alone", map[string]fairshare.Use{"a": {Held: 100, Unmet: 300}}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(fairshare.Above(c.uses), c.want)
		})
	}
}

// TestShareProperties guards against customers above their share that ask for no more than an equal part, and
// against a level that divides more or less than there is.
func TestShareProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		uses, capacity, demand := map[int]fairshare.Use{}, 0, 0
		var demands []int
		for i := range rapid.IntRange(0, 40).Draw(t, "customers") {
			size := rapid.SampledFrom([]int{10, 1000, 1_000_000}).Draw(t, "size")
			u := fairshare.Use{Held: rapid.IntRange(0, size).Draw(t, "held"), Unmet: rapid.IntRange(0, size).Draw(t, "unmet")}
			uses[i] = u
			capacity, demand, demands = capacity+u.Held, demand+u.Demand(), append(demands, u.Demand())
		}
		level := fairshare.MaxMinShare(capacity, demands)
		given := 0.0
		for _, d := range demands {
			given += math.Min(float64(d), level)
		}
		if want := math.Min(float64(capacity), float64(demand)); math.Abs(given-want) > 1e-6*(1+want) {
			t.Fatalf("level %g gives %g of %g", level, given, want)
		}
		above := fairshare.Above(uses)
		for i, u := range uses {
			if above[i] && u.Demand()*len(uses) <= capacity {
				t.Fatalf("%+v of %d is above its share among %d", u, capacity, len(uses))
			}
			if above[i] && float64(u.Held) <= level {
				t.Fatalf("%+v is above its share of %g", u, level)
			}
		}
		if len(above) > 0 && len(above) == len(uses) {
			t.Fatalf("all are above their share: %+v", uses)
		}
	})
}

// Load model of TestLoadPattern: customers share the memory of a service's targets, which a request takes if
// there is room for it when it comes.
const (
	patternCapacity  = 200 // requests that find room at a time
	patternCustomers = 10  // the first one asks for ten times its equal share
	patternTokens    = 500 // tokens of one request
	patternHold      = 2 * time.Second
	patternStep      = 10 * time.Millisecond
	patternTime      = 20 * time.Second

	equalShare   = patternCapacity / patternCustomers
	smallDemand  = 14 // requests in progress that each of the others asks for on average
	smallMaximum = 18 // and at most
)

// patternResult is what became of one load pattern.
type patternResult struct {
	largeMarked float64 // part of the time that the large customer was above its share
	smallMarked int     // times that another one was
	smallServed float64 // part of the others' requests that were admitted
	largeHeld   float64 // requests in progress of the large customer, on average
}

// playPattern plays the load. A customer above its share finds room only if less than limit of it is taken.
func playPattern(seed uint64, limit float64) patternResult {
	type request struct {
		customer int
		end      time.Time
	}
	var (
		random        = rand.New(rand.NewPCG(seed, 1))
		running       []request
		held          [patternCustomers]int
		unmet         [patternCustomers]fairshare.Unmet
		scarcity      fairshare.Scarcity
		above         map[int]bool
		result        patternResult
		asked, served int
		start         = time.Unix(0, 0)
	)
	const steps = int(patternTime / patternStep)
	for step := range steps {
		now := start.Add(time.Duration(step) * patternStep)
		running = slices.DeleteFunc(running, func(r request) bool {
			if r.end.After(now) {
				return false
			}
			held[r.customer]--
			return true
		})
		for _, c := range random.Perm(patternCustomers) {
			demand := 10 * equalShare
			if c > 0 {
				demand = smallDemand
			}
			if random.Float64() >= float64(demand)*patternStep.Seconds()/patternHold.Seconds() || c > 0 && held[c] >= smallMaximum {
				continue
			}
			room := float64(patternCapacity)
			if above[c] {
				room *= limit
			}
			admitted := float64(len(running)) < room
			if c > 0 {
				asked++
			}
			if !admitted {
				unmet[c].Add(patternTokens, now)
				scarcity.Refused(0, now)
				continue
			}
			if c > 0 {
				served++
			}
			held[c]++
			running = append(running, request{customer: c, end: now.Add(patternHold)})
		}
		uses := map[int]fairshare.Use{}
		for c := range held {
			uses[c] = fairshare.Use{Held: held[c] * patternTokens, Unmet: unmet[c].At(now)}
		}
		above = nil
		if scarcity.Settled(now) {
			above = fairshare.Above(uses)
		}
		for c := range above {
			if c == 0 {
				result.largeMarked += 1 / float64(steps)
			} else {
				result.smallMarked++
			}
		}
		result.largeHeld += float64(held[0]) / float64(steps)
	}
	result.smallServed = float64(served) / float64(asked)
	return result
}

// TestLoadPattern guards against a customer that takes the others' shares: one asks for ten times its equal
// share, the others for less than theirs. The others must never be above their share. Once the large one finds
// less room while it is above, nearly all of the others' requests must be served, and the large one must still
// get what the others leave.
func TestLoadPattern(t *testing.T) {
	for seed := range uint64(10) {
		equal, fair := playPattern(seed, 1), playPattern(seed, 0.8)
		t.Logf("seed %d: all alike %+v", seed, equal)
		t.Logf("seed %d: less room above the share %+v", seed, fair)
		if equal.smallMarked+fair.smallMarked > 0 {
			t.Errorf("seed %d: small customers were above their share", seed)
		}
		if equal.largeMarked < 0.8 {
			t.Errorf("seed %d: the large customer was above its share only %.2f of the time", seed, equal.largeMarked)
		}
		if fair.smallServed < 0.9 || fair.largeHeld < equalShare {
			t.Errorf("seed %d: %+v", seed, fair)
		}
	}
}

// TestUnmet guards against an estimate of refused demand that grows without bound or never ends.
func TestUnmet(t *testing.T) {
	is := is.New(t)
	var u fairshare.Unmet
	now := time.Unix(0, 0)
	is.Equal(u.At(now), 0)
	for range 1000 { // 10,000 tokens a second
		u.Add(100, now)
		now = now.Add(10 * time.Millisecond)
	}
	is.True(u.At(now) > 19_000 && u.At(now) < 21_000) // what they would hold in two seconds
	is.True(u.At(now.Add(fairshare.ScarceTime)) < 2000)
	is.Equal(u.At(now.Add(time.Minute)), 0)
}

// TestScarcity guards against customers that are judged while sums are incomplete, and against scarcity that
// never ends because reports of old refusals go round.
func TestScarcity(t *testing.T) {
	is := is.New(t)
	var s fairshare.Scarcity
	now := time.Unix(100, 0)
	is.True(!s.Active(now))
	s.Refused(fairshare.ScarceTime, now) // reported too late
	is.True(!s.Active(now))
	s.Refused(time.Second, now)
	is.True(s.Active(now) && !s.Settled(now))
	later := now.Add(2 * time.Second)
	is.True(s.Settled(later))
	s.Refused(3*time.Second, later) // an older one changes nothing
	is.Equal(s.Until(), now.Add(fairshare.ScarceTime-time.Second))
	s.Restart(later)
	is.True(s.Active(later) && !s.Settled(later))
	end := now.Add(fairshare.ScarceTime - time.Second)
	is.True(s.Settled(end.Add(-1)) && !s.Active(end))
	s.Refused(0, end.Add(time.Second)) // begins anew
	is.True(s.Active(end.Add(time.Second)) && !s.Settled(end.Add(time.Second)))
}
