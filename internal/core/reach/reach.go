// Package reach tracks whether this instance can open connections to the targets of a service. When
// several targets in a row can't be reached, the caller probes more of them; if none can be reached
// either, the instance counts as partitioned from the service until most that are probed can be
// reached again. The package does no I/O and reads no clock.
//
// Invariant: an instance counts as partitioned only after a probe has failed with no success since its
// start. A probe starts when connects to MinFailedTargets different targets, or to all of them, have
// failed with no success in between, or when the links to another service are found to be lost.
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

// Tracker holds what is known of the connects to the targets of a service. Its zero value has seen none, and
// counts as not partitioned. It is safe for concurrent use.
type Tracker struct {
	mu          sync.Mutex
	failed      map[string]bool // ids of the targets whose connects have failed since the last success
	probing     bool
	lastProbe   time.Time // start of the last probe
	connected   bool      // a target was reached since then
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
	return len(t.failed) >= min(MinFailedTargets, known) && t.beginProbe(now)
}

// BeginProbe reports whether the caller shall probe the targets now, because links to others have
// failed; if so, EndProbe must follow.
func (t *Tracker) BeginProbe(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.partitioned && t.beginProbe(now)
}

// beginProbe begins a probe unless one is in progress or has just been. The lock must be held.
func (t *Tracker) beginProbe(now time.Time) bool {
	if t.probing || now.Sub(t.lastProbe) < minProbeInterval {
		return false
	}
	t.probing, t.lastProbe, t.connected = true, now, false
	return true
}

// Connected records that a target was reached. A single one does not end a partition.
func (t *Tracker) Connected() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed, t.connected = nil, true
}

// Reached records how many of the targets probed during a partition were reached. It reports whether
// the partition ends: at least half were.
func (t *Tracker) Reached(reached, probed int) (ends bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ends = t.partitioned && 2*reached >= probed
	if ends {
		t.failed, t.partitioned = nil, false
	}
	return ends
}

// EndProbe records the result of a probe: whether it reached a target. It reports whether a
// partition begins.
func (t *Tracker) EndProbe(reached bool) (begins bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	begins = t.probing && !reached && !t.connected
	t.probing, t.partitioned = false, t.partitioned || begins
	if reached {
		t.failed = nil
	}
	return begins
}

// Partitioned reports whether this instance counts as partitioned from the service's targets.
func (t *Tracker) Partitioned() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.partitioned
}
