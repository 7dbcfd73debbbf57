// Package inflight tracks the load that this instance's own requests put on each target.
package inflight

import (
	"sync"
	"sync/atomic"
)

// Loads holds the load of this instance's requests by target. It is safe for concurrent use. Use
// New.
type Loads struct {
	mu      sync.RWMutex
	targets map[string]*Load
}

// Load is the load of this instance's requests at one target.
type Load struct {
	Requests          atomic.Int64 // sent and not finished
	PrefillTokens     atomic.Int64 // prompt tokens not computed yet
	MemoryTokens      atomic.Int64 // tokens that the requests hold in the target's memory
	AtMostOncePrompts atomic.Int64 // prompts that run at most once, sent and not finished
	// MeanRequests is the mean of Requests, kept for targets with few slots only.
	MeanRequests MeanRequests
	// Responses tracks how long the target has not responded to this instance.
	Responses ResponseTracker
}

// New returns Loads without any target.
func New() *Loads { return &Loads{targets: map[string]*Load{}} }

// Get returns a target's load and creates it if there is none.
func (l *Loads) Get(target string) *Load {
	l.mu.RLock()
	load := l.targets[target]
	l.mu.RUnlock()
	if load != nil {
		return load
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if load = l.targets[target]; load == nil {
		load = &Load{}
		l.targets[target] = load
	}
	return load
}

// Each calls f for each target that has a load. f must not call l's methods.
func (l *Loads) Each(f func(target string, load *Load)) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for name, load := range l.targets {
		f(name, load)
	}
}

// Retain removes the targets for which retain returns false and no request runs.
func (l *Loads) Retain(retain func(target string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, load := range l.targets {
		if !retain(name) && load.Requests.Load() == 0 {
			delete(l.targets, name)
		}
	}
}
