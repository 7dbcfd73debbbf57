// Package reach tracks whether this instance can open connections to targets at all. When several
// targets in a row can't be reached, the caller probes more of them; if none can be reached
// either, the instance counts as partitioned from the targets until one can be reached again. The
// package does no I/O and reads no clock.
//
// Invariant: an instance counts as partitioned only after connects to MinFailedTargets different
// targets, or to all of them, have failed with no success in between, and a probe has failed since.
package reach

import (
	"sync"
	"time"
)

const (
	// MinFailedTargets is the number of different targets to which connects fail in a row before
	// a probe: single targets crash every day.
	MinFailedTargets = 2
	// minProbeInterval is the minimum time between the starts of two probes.
	minProbeInterval = 500 * time.Millisecond
)

// Tracker holds what is known of the connects to all targets. Its zero value has seen none, and
// counts as not partitioned. It is safe for concurrent use.
type Tracker struct {
	mu          sync.Mutex
	failed      map[string]bool // ids of the targets whose connects have failed since the last success
	probing     bool
	lastProbe   time.Time // start of the last probe
	partitioned bool
}

// ConnectFailed records that a target can't be reached. known is the number of targets known. It
// reports whether the caller shall probe other targets now; if so, EndProbe must follow.
func (t *Tracker) ConnectFailed(target string, known int, now time.Time) (probe bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.partitioned {
		return false
	}
	if t.failed == nil {
		t.failed = map[string]bool{}
	}
	t.failed[target] = true
	if t.probing || len(t.failed) < min(MinFailedTargets, known) || now.Sub(t.lastProbe) < minProbeInterval {
		return false
	}
	t.probing, t.lastProbe = true, now
	return true
}

// Connected records that a target was reached. It reports whether that ends a partition.
func (t *Tracker) Connected() (ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ended = t.partitioned
	t.failed, t.partitioned = nil, false
	return ended
}

// EndProbe records the result of a probe: whether it reached a target. It reports whether a
// partition begins.
func (t *Tracker) EndProbe(reached bool) (begins bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	begins = t.probing && !reached && len(t.failed) > 0 // Connected may have been called meanwhile
	t.probing, t.partitioned = false, t.partitioned || begins
	if reached {
		t.failed = nil
	}
	return begins
}

// Partitioned reports whether this instance counts as partitioned from the targets.
func (t *Tracker) Partitioned() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.partitioned
}
