package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/placement"
	"github.com/shedhoist/shedhoist/internal/core/policy"
)

// This file simulates load patterns against Select without a network. The simulated engines
// use chunked prefill between decoding steps, and hold running requests and a prefix cache in
// one memory. The constants are those of the platform's model servers: prefill of 48.2 tokens
// per millisecond in chunks of 2,048, steps of 2.6 ms plus 0.12 ms per running request, and
// memory for 70,457 tokens.
const (
	prefillTokensPerMS = 48.2
	chunkTokens        = 2048
	stepMS             = 2.6
	stepMSPerRun       = 0.12
	memoryTokens       = 70_457
)

// promptKind describes a class of prompts.
type promptKind struct {
	perSecond                             float64
	prefixes                              int // number of different shared prefixes
	sharedTokens, ownTokens, outputTokens int
	objectiveMS                           float64
	timeoutMS                             float64
	rank                                  int // priority, 0 being the most urgent
}

// promptKinds are long prompts with long outputs and short prompts with short outputs, like the
// requests of a customer of the platform. Without cache hits they need a prefill of 252,000
// tokens per second, 0.58 of the capacity of nine engines.
var promptKinds = []promptKind{
	{perSecond: 11.9, prefixes: 119, sharedTokens: 9122, ownTokens: 2870, outputTokens: 385, objectiveMS: 1200, timeoutMS: 12_000},
	{perSecond: 46.2, prefixes: 461, sharedTokens: 1861, ownTokens: 507, outputTokens: 22, objectiveMS: 1200, timeoutMS: 3000},
}

// prompt is one simulated request.
type prompt struct {
	kind             *promptKind
	prefixKey        string
	arrivedAt        float64
	firstResponseAt  float64 // 0: no response so far
	remainingPrefill int
	generated        int
	usedTokens       int
}

// engine is one simulated model server.
type engine struct {
	queue, running []*prompt
	cachedPrefixes []string // least recently used first
	prefixTokens   map[string]int
	stepEndsAt     float64 // end of the current step
}

func (e *engine) usedTokens() int {
	n := 0
	for _, p := range e.running {
		n += p.usedTokens
	}
	return n
}

// markUsed caches a prompt's shared prefix as the most recently used one, if the running
// requests leave enough memory.
func (e *engine) markUsed(p *prompt) {
	e.cachedPrefixes = append(slices.DeleteFunc(e.cachedPrefixes, func(s string) bool { return s == p.prefixKey }), p.prefixKey)
	e.prefixTokens[p.prefixKey] = p.kind.sharedTokens
	e.evict()
}

// evict drops the least recently used prefixes that do not fit beside the running requests.
func (e *engine) evict() {
	freeTokens := memoryTokens - e.usedTokens()
	for i := len(e.cachedPrefixes) - 1; i >= 0; i-- {
		if freeTokens -= e.prefixTokens[e.cachedPrefixes[i]]; freeTokens < 0 {
			e.cachedPrefixes = e.cachedPrefixes[i+1:]
			return
		}
	}
}

// admit starts queued prompts as long as there is memory for them.
func (e *engine) admit(now float64) {
	for len(e.queue) > 0 {
		p := e.queue[0]
		if now > p.arrivedAt+p.kind.timeoutMS {
			e.queue = e.queue[1:]
			continue
		}
		neededTokens := p.kind.sharedTokens + p.kind.ownTokens
		if e.usedTokens()+neededTokens > memoryTokens {
			return
		}
		e.queue = e.queue[1:]
		p.usedTokens, p.remainingPrefill = neededTokens+p.generated, p.kind.ownTokens+p.generated
		if !slices.Contains(e.cachedPrefixes, p.prefixKey) {
			p.remainingPrefill += p.kind.sharedTokens
		}
		e.running = append(e.running, p)
		e.evict()
	}
}

// step runs one step: a chunk of prefill, and one output token of each prompt past its prefill.
func (e *engine) step(now float64) {
	e.admit(now)
	if len(e.running) == 0 {
		e.stepEndsAt = now + 1
		return
	}
	budget := chunkTokens
	for _, p := range e.running {
		n := min(p.remainingPrefill, budget)
		p.remainingPrefill, budget = p.remainingPrefill-n, budget-n
	}
	e.stepEndsAt = now + stepMS + stepMSPerRun*float64(len(e.running)) + float64(chunkTokens-budget)/prefillTokensPerMS
	for _, p := range e.running {
		if p.remainingPrefill > 0 {
			continue
		}
		if p.firstResponseAt == 0 {
			p.firstResponseAt = e.stepEndsAt
		}
		if p.generated == 0 {
			e.markUsed(p)
		}
		p.generated, p.usedTokens = p.generated+1, p.usedTokens+1
	}
	e.running = slices.DeleteFunc(e.running, func(p *prompt) bool {
		return p.generated >= p.kind.outputTokens || now > p.arrivedAt+p.kind.timeoutMS
	})
	for e.usedTokens() > memoryTokens { // preempt the newest prompt; it needs another prefill
		last := e.running[len(e.running)-1]
		e.running = e.running[:len(e.running)-1]
		e.queue = append([]*prompt{last}, e.queue...)
	}
	e.evict()
}

// loadPattern defines the number of running engines and the request rate, as a multiple of the
// normal rate, over time.
type loadPattern struct {
	engines    func(ms float64) int
	rateFactor func(ms float64) float64
}

const (
	engineCount      = 9
	simulatedSeconds = 40
	windowMS         = 2000.0
)

// simulate returns, for each window, the share of prompts with a first response in time.
func simulate(pattern loadPattern, pol policy.Policy) []float64 {
	rnd := rand.New(rand.NewPCG(11, 12))
	engines := make([]*engine, engineCount)
	for i := range engines {
		engines[i] = &engine{prefixTokens: map[string]int{}}
	}
	total, inTimeShare := make([]float64, simulatedSeconds*1000/windowMS), make([]float64, simulatedSeconds*1000/windowMS)
	var prompts []*prompt
	for now := 0.0; now < simulatedSeconds*1000; now++ {
		running := pattern.engines(now)
		for i := range promptKinds {
			k := &promptKinds[i]
			if rnd.Float64() >= k.perSecond/1000*pattern.rateFactor(now) {
				continue
			}
			p := &prompt{kind: k, prefixKey: fmt.Sprint(i, "/", rnd.IntN(k.prefixes)), arrivedAt: now}
			prompts = append(prompts, p)
			if index := selectEngine(engines[:running], p, pol, rnd.Float64); index >= 0 {
				engines[index].queue = append(engines[index].queue, p)
			}
		}
		for i, e := range engines {
			switch {
			case i >= running:
				*e = engine{prefixTokens: map[string]int{}} // an engine that is down loses its state
			case e.stepEndsAt <= now:
				e.step(now)
			}
		}
	}
	for _, p := range prompts {
		w := int(p.arrivedAt / windowMS)
		total[w]++
		if p.firstResponseAt > 0 && p.firstResponseAt <= p.arrivedAt+p.kind.objectiveMS {
			inTimeShare[w]++
		}
	}
	for w := range inTimeShare {
		inTimeShare[w] /= total[w]
	}
	return inTimeShare
}

// selectEngine calls Select with the data that instances have: the running and queued prompts
// of each engine, but not the contents of its cache.
func selectEngine(engines []*engine, p *prompt, pol policy.Policy, rnd func() float64) int {
	targets := make([]placement.Target, len(engines))
	for i, e := range engines {
		t := placement.Target{ID: fmt.Sprint("t", i), Zone: "z", CapacityTokens: memoryTokens, UsedTokens: e.usedTokens(), InFlight: len(e.running)}
		queuedTokens := p.kind.sharedTokens + p.kind.ownTokens
		for _, q := range e.queue {
			t.UsedTokens += q.kind.sharedTokens + q.kind.ownTokens
			queuedTokens += q.kind.sharedTokens + q.kind.ownTokens
		}
		for _, q := range e.running {
			queuedTokens += q.remainingPrefill
		}
		t.FirstResponseMS = float64(queuedTokens) / prefillTokensPerMS
		targets[i] = t
	}
	return placement.Select(targets, placement.Query{Zone: "z", RolloutTimeout: 10 * time.Second, ConcurrencyPenaltyMS: 2, Rand: rnd, Policy: pol, PrefixKey: p.prefixKey,
		SharedPrefillMS: float64(p.kind.sharedTokens) / prefillTokensPerMS, NeededTokens: p.kind.sharedTokens + p.kind.ownTokens + p.kind.outputTokens}).Index
}

func mean(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(len(v))
}

// TestLoadPatterns guards against overload that outlasts its cause. Either a quarter of the
// engines is lost for 14 s and returns with empty memory, or the request rate triples for 3 s.
// With admission control, the share of responses in time stays above a minimum meanwhile and
// recovers within 3 s after the cause ends. Without it, the engines' memory overflows, prompts
// are prefilled again and again, and the share stays low for the 20 s and more that follow.
func TestLoadPatterns(t *testing.T) {
	allEngines := func(float64) int { return engineCount }
	normalRate := func(float64) float64 { return 1 }
	cases := []struct {
		name                string
		pattern             loadPattern
		startMS, endMS      float64 // of the cause
		minDuring           float64 // share in time while the cause lasts, with admission
		maxWithoutAdmission float64 // share in time afterwards, without admission
		minRecovered        float64 // share in time afterwards, with admission, relative to before
	}{
		{"a quarter of the engines lost and back", loadPattern{engines: func(ms float64) int {
			if ms >= 4000 && ms < 18_000 {
				return engineCount - 2
			}
			return engineCount
		}, rateFactor: normalRate}, 4000, 18_000, 0.5, 0.6, 0.9},
		{"a burst", loadPattern{engines: allEngines, rateFactor: func(ms float64) float64 {
			if ms >= 4000 && ms < 7000 {
				return 3
			}
			return 1
		}}, 4000, 7000, 0.3, 0.6, 0.9},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			pol := policy.Default()
			with := simulate(c.pattern, pol)
			pol.Admission = false
			without := simulate(c.pattern, pol)
			t.Logf("share in time per 2 s window: with admission %.2f, without %.2f", with, without)
			before := mean(with[:int(c.startMS/windowMS)])
			firstAfter := int((c.endMS + 3000 + windowMS - 1) / windowMS)
			is.True(mean(with[int(c.startMS/windowMS):int(c.endMS/windowMS)]) > c.minDuring)
			is.True(mean(with[firstAfter:]) > c.minRecovered*before)
			is.True(mean(without[firstAfter:]) < c.maxWithoutAdmission)
		})
	}
}
