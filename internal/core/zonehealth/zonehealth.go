// Package zonehealth tracks which zones are unreachable as a whole. A connection attempt that
// times out triggers a probe: a few connection attempts to other targets of the zone. If none
// succeeds, the zone is unreachable until a connection is accepted there again. The package
// does no I/O and reads no clock.
//
// Invariant: only connection attempts of this instance mark a zone as unreachable, not reports
// of peers, so that an instance keeps using a zone that it can reach.
package zonehealth

import (
	"sync"
	"time"
)

const (
	// minProbeInterval is the minimum time between the starts of two probes of a reachable
	// zone: a single unresponsive target, or a lossy link, triggers probes again and again.
	minProbeInterval = time.Second
)

// zoneState is the state of one zone.
type zoneState struct {
	probing     bool
	lastProbe   time.Time // start of the last probe
	unreachable bool
}

// Tracker holds the state of all zones. Its zero value takes every zone as reachable. It is
// safe for concurrent use.
type Tracker struct {
	mu    sync.Mutex
	zones map[string]*zoneState
}

// stateOf returns a zone's state, and adds it if there is none. The caller holds the lock.
func (t *Tracker) stateOf(name string) *zoneState {
	if t.zones == nil {
		t.zones = map[string]*zoneState{}
	}
	if t.zones[name] == nil {
		t.zones[name] = &zoneState{}
	}
	return t.zones[name]
}

// BeginProbe reports whether the caller shall probe a zone now. If it returns true, EndProbe
// must follow.
func (t *Tracker) BeginProbe(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	zone := t.stateOf(name)
	if zone.probing || zone.unreachable || now.Sub(zone.lastProbe) < minProbeInterval {
		return false
	}
	zone.probing, zone.lastProbe = true, now
	return true
}

// EndProbe records the result of a probe: whether any target answered. The caller also calls it,
// without BeginProbe, to mark an unreachable zone as reachable again. It reports whether the
// zone's state changed.
func (t *Tracker) EndProbe(name string, answered bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	zone := t.stateOf(name)
	zone.probing = false
	changed := zone.unreachable == answered
	zone.unreachable = !answered
	return changed
}

// Unreachable returns the names of the unreachable zones: nil, without an allocation, in the
// common case that there are none.
func (t *Tracker) Unreachable() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out map[string]bool
	for name, zone := range t.zones {
		if !zone.unreachable {
			continue
		}
		if out == nil {
			out = map[string]bool{}
		}
		out[name] = true
	}
	return out
}
