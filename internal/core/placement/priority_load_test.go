package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/admission"
	"github.com/shedhoist/shedhoist/internal/core/placement"
	"github.com/shedhoist/shedhoist/internal/core/policy"
)

// This file simulates a burst of less urgent prompts against package admission and Select, with
// the engines of load_pattern_test.go. Several instances send to the engines. Each knows what its
// own prompts occupy, and what those of the others occupied at the time of their last reports.
// Engines start queued prompts in the order of their ranks, as the platform's model servers do.

// priorityKinds are urgent short prompts, less urgent long ones, and large ones of the same
// priority. Without cache hits and without a burst they need a prefill of 257,000 tokens per
// second, 0.6 of the capacity of nine engines.
var priorityKinds = []promptKind{
	urgentShort: {perSecond: 46.2, prefixes: 461, sharedTokens: 1861, ownTokens: 507, outputTokens: 22, objectiveMS: 400, timeoutMS: 3000, rank: 0},
	lessUrgent:  {perSecond: 10, prefixes: 119, sharedTokens: 9122, ownTokens: 2870, outputTokens: 385, objectiveMS: 1200, timeoutMS: 12_000, rank: 2},
	largePrompt: {perSecond: 1.2, prefixes: 20, sharedTokens: 9122, ownTokens: 15_000, outputTokens: 385, objectiveMS: 1200, timeoutMS: 12_000, rank: 2},
}

// Indices in priorityKinds.
const (
	urgentShort = iota
	lessUrgent
	largePrompt
)

const (
	burstStartMS  = 4000   // start of the simulated burst
	afterBurstMS  = 12_000 // simulated time after it
	instanceCount = 8
)

// burstScenario describes one simulation.
type burstScenario struct {
	seed          uint64
	pol           policy.Policy
	urgentBurst   bool    // the burst is of urgent prompts, not of the others
	burstMS       float64 // duration of the burst
	factor        float64 // of the rate of these prompts during the burst
	reportEveryMS float64 // 0: instances get no reports
	reportDelayMS float64 // from an instance's reading of its load to its peers' use of it
	returning     bool    // refused callers return once, when Retry-After tells them to
	fixedReturn   bool    // Retry-After is 0.5 to 1.5 s for every caller
}

// call is a simulated caller's request.
type call struct {
	prompt
	instance int
	engine   int // -1: not sent
	returns  int
	sentAt   float64
	returnAt float64 // when a refused caller returns; 0: it does not
}

// burstLoad is what the prompts of one instance occupy at one engine.
type burstLoad struct{ memory, queued int }

// burstResult counts the calls that arrived during the burst, by kind.
type burstResult struct {
	arrived, served, inTime, refusedTwice []float64
}

func (r burstResult) servedShare(kind int) float64 { return r.served[kind] / r.arrived[kind] }
func (r burstResult) inTimeShare(kind int) float64 { return r.inTime[kind] / r.arrived[kind] }

// needed returns the memory that instances assume for a prompt.
func (k *promptKind) needed() int { return k.sharedTokens + k.ownTokens + k.outputTokens/2 }

// simulateBurst runs a scenario.
func simulateBurst(sc burstScenario) burstResult {
	arrivals, rnd := rand.New(rand.NewPCG(sc.seed, 1)), rand.New(rand.NewPCG(sc.seed, 2))
	engines := make([]*engine, engineCount)
	for i := range engines {
		engines[i] = &engine{prefixTokens: map[string]int{}}
	}
	var routes []admission.Level
	for _, k := range priorityKinds {
		routes = append(routes, admission.Level{Rank: k.rank, Objective: time.Duration(k.objectiveMS) * time.Millisecond})
	}
	s := &burstSimulation{burstScenario: sc, rnd: rnd, engines: engines, levels: admission.NewLevels(routes), history: make([]admission.History, instanceCount)}
	for now := 1.0; now < burstStartMS+sc.burstMS+afterBurstMS; now++ {
		s.report(now)
		for i := range priorityKinds {
			k, rate := &priorityKinds[i], priorityKinds[i].perSecond
			if (k.rank > 0) != sc.urgentBurst && now >= burstStartMS && now < burstStartMS+sc.burstMS {
				rate *= sc.factor
			}
			if arrivals.Float64() < rate/1000 {
				c := &call{prompt: prompt{kind: k, prefixKey: fmt.Sprint(i, "/", arrivals.IntN(k.prefixes)), arrivedAt: now}, instance: arrivals.IntN(instanceCount), engine: -1}
				s.calls, s.active = append(s.calls, c), append(s.active, c)
				s.send(c, now)
			}
		}
		for _, c := range s.active {
			if c.returnAt > 0 && now >= c.returnAt {
				c.returnAt, c.returns, c.instance = 0, c.returns+1, rnd.IntN(instanceCount)
				s.send(c, now)
			}
		}
		for _, e := range engines {
			if e.stepEndsAt <= now {
				e.step(now)
			}
		}
		s.active = slices.DeleteFunc(s.active, func(c *call) bool {
			return c.engine < 0 && c.returnAt == 0 || c.generated >= c.kind.outputTokens || now > c.arrivedAt+c.kind.timeoutMS
		})
	}
	return s.result()
}

// burstSimulation is the state of a simulation.
type burstSimulation struct {
	burstScenario
	rnd      *rand.Rand
	engines  []*engine
	levels   admission.Levels
	history  []admission.History // by instance
	calls    []*call
	active   []*call       // those that occupy an engine or will return
	read     [][]burstLoad // by instance and engine, not yet delivered
	reported [][]burstLoad // what peers know
	readAt   float64
}

// load returns what the prompts of each instance occupy at each engine.
func (s *burstSimulation) load() [][]burstLoad {
	out := make([][]burstLoad, instanceCount)
	for i := range out {
		out[i] = make([]burstLoad, len(s.engines))
	}
	for _, c := range s.active {
		if c.engine < 0 {
			continue
		}
		l := &out[c.instance][c.engine]
		l.memory += c.kind.needed()
		if c.firstResponseAt == 0 {
			l.queued += c.kind.sharedTokens + c.kind.ownTokens
		}
	}
	return out
}

// report has all instances read their loads, and delivers those that they read before.
func (s *burstSimulation) report(now float64) {
	if s.read != nil && now >= s.readAt+s.reportDelayMS {
		s.reported, s.read = s.read, nil
	}
	if s.reportEveryMS > 0 && s.read == nil && now >= s.readAt+s.reportEveryMS {
		s.read, s.readAt = s.load(), now
	}
}

// send places a call, or refuses it.
func (s *burstSimulation) send(c *call, now float64) {
	left := c.arrivedAt + c.kind.timeoutMS - now
	timeout := time.Duration(c.kind.timeoutMS) * time.Millisecond
	limits, at := admission.Limits{}, time.UnixMilli(int64(now))
	if s.pol.RankAdmission {
		r := admission.Request{Rank: c.kind.rank, Waited: admission.HasWaited(time.Duration(left)*time.Millisecond, timeout)}
		limits = s.history[c.instance].Limits("s", s.levels, r, at)
	}
	own := s.load()[c.instance]
	targets := make([]placement.Target, len(s.engines))
	for i := range targets {
		t := placement.Target{ID: fmt.Sprint("t", i), Zone: "z", CapacityTokens: memoryTokens, UsedTokens: own[i].memory, QueuedTokens: own[i].queued}
		for peer, l := range s.reported {
			if peer != c.instance {
				t.UsedTokens, t.QueuedTokens = t.UsedTokens+l[i].memory, t.QueuedTokens+l[i].queued
			}
		}
		t.FirstResponseMS = float64(t.QueuedTokens+c.kind.sharedTokens+c.kind.ownTokens) / prefillTokensPerMS
		targets[i] = t
	}
	d := placement.Select(targets, placement.Query{Zone: "z", RolloutTimeout: 10 * time.Second, ConcurrencyPenaltyMS: 2, Rand: s.rnd.Float64, Policy: s.pol, PrefixKey: c.prefixKey,
		SharedPrefillMS: float64(c.kind.sharedTokens) / prefillTokensPerMS, NeededTokens: c.kind.needed(),
		MemoryShare: limits.MemoryShare, RequestShare: limits.RequestShare, MaxQueuedTokens: int(float64(limits.QueueTime) / float64(time.Millisecond) * prefillTokensPerMS)})
	if d.Index < 0 {
		s.refuse(c, limits.Level, left, now)
		return
	}
	c.engine, c.sentAt = d.Index, now
	s.history[c.instance].Admitted("s", limits.Level, at)
	e := s.engines[d.Index]
	i := slices.IndexFunc(e.queue, func(p *prompt) bool { return p.kind.rank > c.kind.rank })
	if i < 0 {
		i = len(e.queue)
	}
	e.queue = slices.Insert(e.queue, i, &c.prompt)
}

// refuse has a caller return once, if it has the time.
func (s *burstSimulation) refuse(c *call, level int, left, now float64) {
	age := s.history[c.instance].Refused("s", s.levels, level, time.UnixMilli(int64(now)))
	if !s.returning || c.returns > 0 {
		c.returns++
		return
	}
	random := s.rnd.Float64()
	after := admission.RetryAfter(level, age, time.Duration(left)*time.Millisecond, random)
	if s.fixedReturn {
		after = min(500*time.Millisecond+time.Duration(random*float64(time.Second)), time.Duration(left)*time.Millisecond/3)
	}
	c.returnAt = now + float64(after)/float64(time.Millisecond)
}

func (s *burstSimulation) result() burstResult {
	n := len(priorityKinds)
	r := burstResult{make([]float64, n), make([]float64, n), make([]float64, n), make([]float64, n)}
	for _, c := range s.calls {
		if c.arrivedAt < burstStartMS || c.arrivedAt >= burstStartMS+s.burstMS {
			continue
		}
		kind := slices.IndexFunc(priorityKinds, func(k promptKind) bool { return k == *c.kind })
		r.arrived[kind]++
		if c.generated >= c.kind.outputTokens {
			r.served[kind]++
		}
		if c.firstResponseAt > 0 && c.firstResponseAt <= c.sentAt+c.kind.objectiveMS {
			r.inTime[kind]++
		}
		if c.engine < 0 && c.returns > 1 {
			r.refusedTwice[kind]++
		}
	}
	return r
}

// sumOf runs a scenario with several seeds.
func sumOf(sc burstScenario) burstResult {
	const seeds = 6
	n := len(priorityKinds)
	sum := burstResult{make([]float64, n), make([]float64, n), make([]float64, n), make([]float64, n)}
	for sc.seed = range seeds {
		r := simulateBurst(sc)
		for k := range n {
			sum.arrived[k] += r.arrived[k]
			sum.served[k] += r.served[k]
			sum.inTime[k] += r.inTime[k]
			sum.refusedTwice[k] += r.refusedTwice[k]
		}
	}
	return sum
}

// withAndWithout runs a scenario with admission by priority and without it.
func withAndWithout(t *testing.T, sc burstScenario) (with, without burstResult) {
	t.Helper()
	sc.pol = policy.Default()
	with = sumOf(sc)
	sc.pol.RankAdmission = false
	without = sumOf(sc)
	for k, name := range []string{"urgent short", "less urgent", "large"} {
		t.Logf("%s: served %.2f, without %.2f; in time %.2f, without %.2f", name, with.servedShare(k), without.servedShare(k), with.inTimeShare(k), without.inTimeShare(k))
	}
	return with, without
}

// TestUrgentDuringBurst guards against less urgent prompts that delay and displace urgent ones:
// while 2.4 times the usual number of long prompts arrive, the urgent ones must be served in time
// nearly as often as usual, which they are not without admission by priority. The less urgent
// prompts must be served at nearly the rate that they have without it, and the large ones at least
// half as often as the others of their priority.
func TestUrgentDuringBurst(t *testing.T) {
	is := is.New(t)
	usual := sumOf(burstScenario{factor: 1, burstMS: 8000, pol: policy.Default(), reportEveryMS: 120, reportDelayMS: 150})
	with, without := withAndWithout(t, burstScenario{factor: 2.4, burstMS: 8000, reportEveryMS: 120, reportDelayMS: 150})
	t.Logf("urgent short: in time without a burst %.2f", usual.inTimeShare(urgentShort))
	is.True(with.servedShare(urgentShort) > 0.98)
	is.True(without.servedShare(urgentShort) < 0.95)
	is.True(with.inTimeShare(urgentShort) > 0.88*usual.inTimeShare(urgentShort))
	is.True(without.inTimeShare(urgentShort) < 0.8*usual.inTimeShare(urgentShort))
	is.True(with.inTimeShare(lessUrgent) > without.inTimeShare(lessUrgent))
	is.True(with.servedShare(lessUrgent) > 0.8*without.servedShare(lessUrgent))
	is.True(with.servedShare(largePrompt) > 0.5*with.servedShare(lessUrgent))
}

// TestUrgentOverload guards against the starvation of less urgent prompts where the urgent ones
// alone need all of the capacity for long: no kind may be served less than a quarter as often as
// all.
func TestUrgentOverload(t *testing.T) {
	is := is.New(t)
	for _, returning := range []bool{false, true} {
		with := sumOf(burstScenario{factor: 4, burstMS: 16_000, urgentBurst: true, reportEveryMS: 120, reportDelayMS: 150, returning: returning, pol: policy.Default()})
		t.Logf("served: urgent short %.2f, less urgent %.2f", with.servedShare(urgentShort), with.servedShare(lessUrgent))
		is.True(with.servedShare(lessUrgent) > 0.25*with.servedShare(urgentShort))
		is.True(with.servedShare(lessUrgent) < with.servedShare(urgentShort))
	}
}

// TestReturningCallers guards against callers who are told to return into the same overload.
// Retry-After by the age of the overload must have more of them served than 0.5 to 1.5 s.
func TestReturningCallers(t *testing.T) {
	is := is.New(t)
	sc := burstScenario{factor: 2.4, burstMS: 8000, reportEveryMS: 120, reportDelayMS: 150, returning: true, pol: policy.Default()}
	byAge := sumOf(sc)
	sc.fixedReturn = true
	fixed := sumOf(sc)
	t.Logf("less urgent: refused again %.2f, served %.2f; with a fixed Retry-After %.2f, %.2f", byAge.refusedTwice[lessUrgent]/byAge.arrived[lessUrgent], byAge.servedShare(lessUrgent), fixed.refusedTwice[lessUrgent]/fixed.arrived[lessUrgent], fixed.servedShare(lessUrgent))
	is.True(byAge.refusedTwice[lessUrgent] < 0.95*fixed.refusedTwice[lessUrgent])
	is.True(byAge.served[lessUrgent] > 1.05*fixed.served[lessUrgent])
	is.True(byAge.servedShare(urgentShort) > 0.97)
}

// TestLateReports guards against limits that do harm where instances know little of each other's
// prompts: with reports of up to 360 ms, when they expire, or with none, urgent prompts must not be worse off than without
// admission by priority, and less urgent ones must still be served.
func TestLateReports(t *testing.T) {
	for _, c := range []struct {
		name                         string
		reportEveryMS, reportDelayMS float64
	}{{"late", 120, 180}, {"none", 0, 0}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			with, without := withAndWithout(t, burstScenario{factor: 2.4, burstMS: 8000, reportEveryMS: c.reportEveryMS, reportDelayMS: c.reportDelayMS})
			is.True(with.servedShare(urgentShort) > without.servedShare(urgentShort)-0.01)
			is.True(with.inTimeShare(urgentShort) > without.inTimeShare(urgentShort)-0.02)
			is.True(with.servedShare(lessUrgent) > 0.75*without.servedShare(lessUrgent))
		})
	}
}
