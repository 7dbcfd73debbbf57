// Package inflight counts an instance's own work at each target.
package inflight

import (
	"sync"
	"sync/atomic"
	"time"
)

// Loads counts this instance's own work at each target. Use New.
type Loads struct {
	mu      sync.RWMutex
	targets map[string]*Load
}

// Load is the own work at one target.
type Load struct {
	Runs   atomic.Int64
	Tokens atomic.Int64 // of prompts, not yet computed

	mu      sync.Mutex
	latency float64   // moving average, ms
	at      time.Time // of the last observation
}

// New returns counters that are all zero.
func New() *Loads { return &Loads{targets: map[string]*Load{}} }

// Of returns a target's counters.
func (l *Loads) Of(target string) *Load {
	l.mu.RLock()
	e := l.targets[target]
	l.mu.RUnlock()
	if e != nil {
		return e
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if e = l.targets[target]; e == nil {
		e = &Load{}
		l.targets[target] = e
	}
	return e
}

// Keep forgets all targets but those that keep names and those with work.
func (l *Loads) Keep(keep func(target string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, e := range l.targets {
		if !keep(name) && e.Runs.Load() == 0 {
			delete(l.targets, name)
		}
	}
}

const (
	// latencyGain is the weight of a new observation: the last ten count most.
	latencyGain = 0.15
	// latencyMemory is how long an observation counts. A target that looked slow
	// and got nothing since is tried again after it.
	latencyMemory = 5 * time.Second
)

// Observe takes how long a request waited for its first word, in ms.
func (l *Load) Observe(ms float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.latency == 0 || now.Sub(l.at) > latencyMemory {
		l.latency = ms
	} else {
		l.latency += latencyGain * (ms - l.latency)
	}
	l.at = now
}

// Latency is the moving average of what was observed, in ms; 0 if nothing was of late.
func (l *Load) Latency(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.at) > latencyMemory {
		return 0
	}
	return l.latency
}
