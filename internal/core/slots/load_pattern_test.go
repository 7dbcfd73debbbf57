package slots_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/placement"
	"github.com/shedhoist/shedhoist/internal/core/policy"
	"github.com/shedhoist/shedhoist/internal/core/slots"
	"github.com/shedhoist/shedhoist/internal/inflight"
	"github.com/shedhoist/shedhoist/internal/loadreport"
)

// This file simulates load patterns against placement.Select without a network: 60 instances send
// requests of 30 ms to 3 targets, each with 6 slots and a queue of 24 that rejects beyond that.
// Instances know one another's requests by reports that are 100 to 250 ms old.
const (
	simInstances = 60
	simTargets   = 3
	simSlots     = 6
	simQueue     = 24
	simServiceMS = 30
	simCapacity  = simTargets * simSlots * 1000.0 / simServiceMS // requests a second
	simObjective = 150                                           // ms
	simReportMS  = 50                                            // between two reports of an instance
	simTTLMS     = 360                                           // for which a report counts
	simEjectMS   = 150                                           // for which an instance avoids a target that rejected a request
	simRetryMS   = 250                                           // Retry-After of a request that the targets rejected
)

// simRequest is one request of a caller, which returns once if it is refused.
type simRequest struct {
	arrivedMS, deadlineMS int
	retried               bool
	inTime                bool // answered within the objective and the deadline
	tried                 []int
	instance              *simInstance
	target                int
	sentMS, endsMS        int
	own                   *placement.PendingRequest
	mayQueue              bool // sent to a target that was not known to have a free slot
}

// simInstance is one instance.
type simInstance struct {
	inFlight  [simTargets]int
	means     [simTargets]inflight.MeanRequests
	history   [][simTargets]float64 // reported means, one per simReportMS
	delayMS   [simInstances]int     // of the reports of each other instance
	ejected   [simTargets]int       // until when, in ms
	predictor *placement.Predictor
	service   slots.ServiceTime
}

// simTarget is one target.
type simTarget struct {
	queue, running []*simRequest
	gone           bool
}

// simulation runs one load pattern.
type simulation struct {
	withSlots   bool // the policy "slots" is on
	seed        uint64
	fleet       int                            // number of instances
	load        func(ms int) float64           // requests as a multiple of simCapacity
	reportsLost func(sentMS int) bool          // if set, tells which reports are lost
	step        func(s *simulation, nowMS int) // if set, called at each ms

	policy    policy.Policy
	rnd       *rand.Rand
	nowMS     int
	instances []*simInstance
	targets   []*simTarget
	returning map[int][]*simRequest // refused callers, by the time of their return

	requests        []*simRequest
	rejected        int   // attempts that targets rejected
	refused         int   // refusals by slots
	refusedWithFree int   // of these, while a usable target had a free slot
	refusedWrongly  int   // of these, while one had a free slot by the estimate of the instance
	queueLength     []int // of all targets, by ms
}

func simTime(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// run simulates the pattern.
func (s *simulation) run() {
	pol := policy.Default()
	pol.Slots = s.withSlots
	s.policy = pol
	s.rnd, s.returning = rand.New(rand.NewPCG(21, s.seed)), map[int][]*simRequest{}
	for range s.fleet {
		s.instances = append(s.instances, s.newInstance())
	}
	for range simTargets {
		s.targets = append(s.targets, &simTarget{})
	}
	for s.nowMS = 0; s.nowMS < simEndMS; s.nowMS++ {
		if s.step != nil {
			s.step(s, s.nowMS)
		}
		for _, t := range s.targets {
			s.advance(t)
		}
		if s.nowMS%simReportMS == 0 {
			s.report()
		}
		for _, r := range s.returning[s.nowMS] {
			s.serve(r)
		}
		for p := s.load(s.nowMS) * simCapacity / 1000; p > 0; p-- {
			if s.rnd.Float64() >= p {
				break
			}
			r := &simRequest{arrivedMS: s.nowMS, deadlineMS: s.nowMS + 600}
			if s.rnd.IntN(4) == 0 {
				r.deadlineMS = s.nowMS + 120
			}
			s.requests = append(s.requests, r)
			s.serve(r)
		}
		length := 0
		for _, t := range s.targets {
			length += len(t.queue)
		}
		s.queueLength = append(s.queueLength, length)
	}
}

func (s *simulation) newInstance() *simInstance {
	i := &simInstance{predictor: placement.NewPredictor()}
	for j := range i.delayMS {
		i.delayMS[j] = 100 + s.rnd.IntN(150)
	}
	return i
}

// report appends each instance's report to its history.
func (s *simulation) report() {
	for _, i := range s.instances {
		var reported [simTargets]float64
		for t := range reported {
			sum := loadreport.RequestsByTarget{}
			sum.AddMean(1, i.means[t].Mean(simTime(s.nowMS)), s.rnd.Float64())
			reported[t] = float64(sum[1]) * loadreport.RequestUnit
		}
		i.history = append(i.history, reported)
	}
}

// peerRequests returns the other instances' requests at the targets as one instance knows them, and
// whether it knows any: from the latest report of each that has arrived in the last simTTLMS.
func (s *simulation) peerRequests(of *simInstance) (requests [simTargets]float64, known bool) {
	known = len(s.instances) == 1
	for j, i := range s.instances {
		if i == of {
			continue
		}
		firstMS := (s.nowMS/simReportMS + 1 - len(i.history)) * simReportMS // of its reports
		arrivedMS := s.nowMS - of.delayMS[j]
		for sentMS := arrivedMS / simReportMS * simReportMS; sentMS >= max(firstMS, 0) && arrivedMS-sentMS < simTTLMS; sentMS -= simReportMS {
			if s.reportsLost != nil && s.reportsLost(sentMS) {
				continue
			}
			known = true
			for t := range requests {
				requests[t] += i.history[(sentMS-firstMS)/simReportMS][t]
			}
			break
		}
	}
	return requests, known
}

// advance ends and starts requests at a target.
func (s *simulation) advance(t *simTarget) {
	t.running = slices.DeleteFunc(t.running, func(r *simRequest) bool {
		if r.endsMS > s.nowMS {
			return false
		}
		r.inTime = s.nowMS <= min(r.deadlineMS, r.arrivedMS+simObjective)
		r.instance.predictor.Observe(r.own, simTime(s.nowMS))
		r.instance.service.Observe(time.Duration(s.nowMS-r.sentMS)*time.Millisecond, r.mayQueue)
		s.leave(r)
		return true
	})
	t.queue = slices.DeleteFunc(t.queue, func(r *simRequest) bool {
		if s.nowMS < r.deadlineMS {
			return false
		}
		r.instance.predictor.Remove(r.own)
		s.leave(r)
		return true
	})
	for len(t.queue) > 0 && len(t.running) < simSlots {
		r := t.queue[0]
		t.queue, t.running = t.queue[1:], append(t.running, r)
		r.endsMS = s.nowMS + simServiceMS
	}
}

// leave ends a request's attempt at its target.
func (s *simulation) leave(r *simRequest) {
	r.instance.inFlight[r.target]--
	r.instance.means[r.target].Add(-1, simTime(s.nowMS))
}

// serve sends a request through a random instance.
func (s *simulation) serve(r *simRequest) {
	r.instance, r.tried = s.instances[s.rnd.IntN(len(s.instances))], nil
	i := r.instance
	for {
		peers, known := s.peerRequests(i)
		options := make([]placement.Target, simTargets)
		free := false
		for t := range options {
			usable := !s.targets[t].gone && !slices.Contains(r.tried, t)
			options[t] = placement.Target{ID: fmt.Sprint(t), Zone: "z", InFlight: i.inFlight[t], Excluded: !usable, Ejected: i.ejected[t] > s.nowMS,
				FirstResponseMS: i.predictor.FirstResponseTime(fmt.Sprint(t), placement.PrefillWork{}, simTime(s.nowMS)),
				Slots:           simSlots, Requests: float64(i.inFlight[t]) + peers[t]}
			free = free || usable && len(s.targets[t].running) < simSlots
		}
		d := placement.Select(options, placement.Query{Zone: "z", RolloutTimeout: 10 * time.Second, ConcurrencyPenaltyMS: 0.05 * simObjective, Rand: s.rnd.Float64, Policy: s.policy,
			ServiceMS: i.service.Estimate(), TimeLeftMS: float64(r.deadlineMS - s.nowMS)})
		switch d.Action {
		case placement.Refuse:
			s.refused++
			if free {
				s.refusedWithFree++
			}
			if slices.ContainsFunc(options, func(t placement.Target) bool { return !t.Excluded && t.HasFreeSlot() }) {
				s.refusedWrongly++
			}
			s.refuse(r, slots.RetryAfter(d.ExcessMS, float64(r.deadlineMS-s.nowMS), s.rnd.Float64()))
			return
		case placement.NoTarget:
			s.refuse(r, simRetryMS*time.Millisecond)
			return
		}
		if target := s.targets[d.Index]; len(target.running)+len(target.queue) < simSlots+simQueue {
			r.target, r.sentMS, r.mayQueue = d.Index, s.nowMS, !known || !options[d.Index].HasFreeSlot()
			r.own = i.predictor.Start(fmt.Sprint(d.Index), placement.PrefillWork{}, simTime(s.nowMS))
			i.inFlight[d.Index]++
			i.means[d.Index].Add(1, simTime(s.nowMS))
			target.queue = append(target.queue, r)
			return
		}
		s.rejected++
		i.ejected[d.Index] = s.nowMS + simEjectMS
		if r.tried = append(r.tried, d.Index); len(r.tried) == simTargets {
			s.refuse(r, simRetryMS*time.Millisecond)
			return
		}
	}
}

// refuse refuses a request. Its caller returns once, after at most a third of its time left.
func (s *simulation) refuse(r *simRequest, retryAfter time.Duration) {
	wait := min(int(retryAfter/time.Millisecond), (r.deadlineMS-s.nowMS)/3)
	if !r.retried {
		r.retried = true
		s.returning[s.nowMS+max(wait, 1)] = append(s.returning[s.nowMS+max(wait, 1)], r)
	}
}

// lateBetween returns how many of the requests that arrived in a period were not answered in time,
// and how many there were.
func (s *simulation) lateBetween(fromMS, toMS int) (late, all int) {
	for _, r := range s.requests {
		if r.arrivedMS >= fromMS && r.arrivedMS < toMS {
			if all++; !r.inTime {
				late++
			}
		}
	}
	return late, all
}

// calmAfter returns for how long after a time the queues of all targets together hold at least as
// many requests as a target has slots.
func (s *simulation) calmAfter(ms int) int {
	for i, n := range s.queueLength[ms:] {
		if n < simSlots {
			return i
		}
	}
	return len(s.queueLength) - ms
}

// vanish ends a target with all its requests.
func (s *simulation) vanish(t *simTarget) {
	for _, r := range slices.Concat(t.queue, t.running) {
		r.instance.predictor.Remove(r.own)
		s.leave(r)
	}
	t.queue, t.running, t.gone = nil, nil, true
}

// Times of the simulations: a burst lasts from simBurstMS to simBurstEndMS.
const (
	simBurstMS    = 4000
	simBurstEndMS = 7000
	simEndMS      = 10_000
	simSeeds      = 4
)

// burst is a load of 0.8 of the capacity with a burst of twice the capacity.
func burst(ms int) float64 {
	if ms >= simBurstMS && ms < simBurstEndMS {
		return 2
	}
	return 0.8
}

// simTotals are the results of several runs of a simulation with different seeds.
type simTotals struct {
	late, all                                          [3]int // of the requests before, in and after the burst
	rejected, refused, refusedWithFree, refusedWrongly int
	calmMS                                             int // mean of calmAfter the burst
	queue                                              float64
}

// runSeeds runs a simulation with each seed.
func runSeeds(t *testing.T, name string, s simulation) simTotals {
	var sum simTotals
	for seed := range simSeeds {
		run := s
		run.seed = uint64(seed)
		run.run()
		for i, period := range [...][2]int{{1000, simBurstMS}, {simBurstMS, simBurstEndMS}, {simBurstEndMS, simEndMS - 600}} {
			late, all := run.lateBetween(period[0], period[1])
			sum.late[i], sum.all[i] = sum.late[i]+late, sum.all[i]+all
		}
		sum.rejected, sum.refused, sum.refusedWithFree, sum.refusedWrongly = sum.rejected+run.rejected, sum.refused+run.refused, sum.refusedWithFree+run.refusedWithFree, sum.refusedWrongly+run.refusedWrongly
		sum.calmMS += run.calmAfter(simBurstEndMS) / simSeeds
		for _, n := range run.queueLength[1000:simBurstMS] {
			sum.queue += float64(n) / float64(simBurstMS-1000) / simSeeds
		}
	}
	t.Logf("%s: late before, in, after the burst %v of %v; mean queue before %.2f; calm after %d ms; rejected %d; refused %d, %d with a free slot", name, sum.late, sum.all, sum.queue, sum.calmMS, sum.rejected, sum.refused, sum.refusedWithFree)
	return sum
}

// TestBurst guards against an overload that costs more requests than it must or outlasts its cause,
// and against instances that overload one target after another because they act on the same old
// reports. A burst of twice the capacity lasts 3 s. With predicted waits fewer requests are late in
// and after it, the queues are short again sooner, and they are as short as without before it. Of
// the refused requests at most one in a hundred finds a slot that is free in truth: the reports are
// 100 to 250 ms old.
func TestBurst(t *testing.T) {
	for _, fleet := range []int{1, 4, 16, simInstances} {
		t.Run(fmt.Sprint(fleet, " instances"), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			without := runSeeds(t, "without", simulation{fleet: fleet, load: burst})
			with := runSeeds(t, "with", simulation{fleet: fleet, load: burst, withSlots: true})
			is.True(with.late[1]*100 < without.late[1]*96)
			is.True(with.late[2] < without.late[2])
			is.True(with.calmMS < without.calmMS)
			is.True(with.queue < 1.1*without.queue+0.1)
			is.True(with.refused > 0)
			is.Equal(with.refusedWrongly, 0)
			is.True(with.refusedWithFree*100 <= with.refused)
		})
	}
}

// TestNoRefusalsWithoutOverload guards against refusals, and against worse balance, while the
// targets can serve all requests.
func TestNoRefusalsWithoutOverload(t *testing.T) {
	for _, load := range []float64{0.3, 0.5, 0.8} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			constant := func(int) float64 { return load }
			without := runSeeds(t, "without", simulation{fleet: simInstances, load: constant})
			with := runSeeds(t, "with", simulation{fleet: simInstances, load: constant, withSlots: true})
			is.Equal(with.refused, 0)
			is.True(with.queue < 1.1*without.queue+0.1)
			is.True(with.late[0]+with.late[1] <= without.late[0]+without.late[1])
		})
	}
}

// TestBurstWithFailures guards against predicted waits that make a failure worse: reports are lost,
// a target vanishes in the burst, or half of the instances start anew in it.
func TestBurstWithFailures(t *testing.T) {
	cases := []struct {
		name string
		s    simulation
	}{
		{"all reports lost", simulation{reportsLost: func(int) bool { return true }}},
		{"reports lost in the burst", simulation{reportsLost: func(ms int) bool { return ms >= simBurstMS+500 && ms < simBurstEndMS+500 }}},
		{"half of the reports lost", simulation{reportsLost: func(ms int) bool { return ms/simReportMS%2 == 0 }}},
		{"a target vanishes", simulation{step: func(s *simulation, ms int) {
			if ms == simBurstMS+1000 {
				s.vanish(s.targets[0])
			}
		}}},
		{"half of the instances start anew", simulation{step: func(s *simulation, ms int) {
			if ms == simBurstMS+1000 {
				for i := range simInstances / 2 {
					s.instances[i] = s.newInstance()
				}
			}
		}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c.s.fleet, c.s.load = simInstances, burst
			without := runSeeds(t, "without", c.s)
			c.s.withSlots = true
			with := runSeeds(t, "with", c.s)
			is.Equal(with.refusedWrongly, 0)
			is.True(with.refusedWithFree*100 <= with.refused)
			is.True(with.late[0]+with.late[1]+with.late[2] <= (without.late[0]+without.late[1]+without.late[2])*102/100)
		})
	}
}
