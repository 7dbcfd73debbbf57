// Package inflight counts an instance's own work at each target.
package inflight

import (
	"sync"
	"sync/atomic"
)

// Loads counts this instance's own work at each target. Use New.
type Loads struct {
	mu      sync.RWMutex
	targets map[string]*Load
}

// Load is the own work at one target.
type Load struct {
	Requests      atomic.Int64
	PrefillTokens atomic.Int64 // of prompts, not yet computed
	MemoryTokens  atomic.Int64 // tokens of the target's memory that the runs keep
	// Responses is the target's towards all that it was asked.
	Responses ResponseTracker
}

// New returns counters that are all zero.
func New() *Loads { return &Loads{targets: map[string]*Load{}} }

// Get returns a target's counters.
func (l *Loads) Get(target string) *Load {
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

// Each calls f for each target that there are counters of.
func (l *Loads) Each(f func(target string, load *Load)) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for name, e := range l.targets {
		f(name, e)
	}
}

// Retain forgets all targets but those that keep names and those with work.
func (l *Loads) Retain(keep func(target string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, e := range l.targets {
		if !keep(name) && e.Requests.Load() == 0 {
			delete(l.targets, name)
		}
	}
}
