// Package cache tracks which cache keys each target is assumed to hold.
// The assumptions are hints: a wrong hint affects cost, never content.
package cache

import (
	"sync"

	"github.com/shedhoist/shedhoist/internal/core/prefix"
)

// Hints holds the keys that are assumed resident on each target. It is safe for
// concurrent use; request goroutines read and update it, and each target's keys
// have their own lock.
type Hints struct {
	mu      sync.RWMutex
	targets map[string]*targetKeys
	limit   int
}

// Bounds on the number of keys retained: for one target, and for all targets
// together. At 73 bytes a key the latter is 44 MB.
const (
	DefaultHintKeys = 8192
	MaxHintKeys     = 600_000
	minHintKeys     = 128 // for one target, regardless of the number of targets
)

// NewHints returns hints that retain up to limit keys a target, and MaxHintKeys in total.
func NewHints(limit int) *Hints { return &Hints{targets: map[string]*targetKeys{}, limit: limit} }

// perTargetLimit returns the bound on one target's keys for the current number of
// targets. It decreases by halving, so that keys are rarely trimmed.
func (h *Hints) perTargetLimit() int {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.limitFor(len(h.targets))
}

func (h *Hints) limitFor(targets int) int {
	limit := h.limit
	for limit > minHintKeys && limit*targets > MaxHintKeys {
		limit /= 2
	}
	return limit
}

// targetKeys holds one target's keys in a ring. At the limit, add replaces the oldest entry.
type targetKeys struct {
	mu      sync.RWMutex
	index   map[prefix.Key]int // index in ring
	ring    []prefix.Key
	next    int
	lastSeq uint64 // last cache event applied
}

func (h *Hints) lookup(target string) *targetKeys {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.targets[target]
}

func (h *Hints) ensure(target string) *targetKeys {
	if entry := h.lookup(target); entry != nil {
		return entry
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if entry := h.targets[target]; entry != nil {
		return entry
	}
	entry := &targetKeys{index: map[prefix.Key]int{}}
	h.targets[target] = entry
	if n := len(h.targets); h.limitFor(n) < h.limitFor(n-1) {
		h.trimAll(h.limitFor(n))
	}
	return entry
}

// trimAll trims all targets' keys to make room for more targets; h.mu must be held.
func (h *Hints) trimAll(limit int) {
	for _, entry := range h.targets {
		entry.mu.Lock()
		entry.trim(limit)
		entry.mu.Unlock()
	}
}

// ResidentPrefix returns how many leading keys the target is assumed to hold.
func (h *Hints) ResidentPrefix(target string, keys []prefix.Key) int {
	entry := h.lookup(target)
	if entry == nil || len(keys) == 0 {
		return 0
	}
	entry.mu.RLock()
	defer entry.mu.RUnlock()
	for i := range keys {
		if _, ok := entry.index[keys[i]]; !ok {
			return i
		}
	}
	return len(keys)
}

// Add records that the target now holds keys.
func (h *Hints) Add(target string, keys []prefix.Key) {
	if len(keys) == 0 {
		return
	}
	entry, limit := h.ensure(target), h.perTargetLimit()
	entry.mu.Lock()
	defer entry.mu.Unlock()
	for _, k := range keys {
		entry.add(k, limit)
	}
}

// trim reduces the ring to its last limit entries and frees the space of the others. These are
// the newest entries only until the ring has wrapped; entries of removed keys are indexed again.
func (t *targetKeys) trim(limit int) {
	if len(t.ring) <= limit {
		return
	}
	newest := append([]prefix.Key(nil), t.ring[len(t.ring)-limit:]...)
	t.ring, t.next, t.index = newest, 0, make(map[prefix.Key]int, limit)
	for i, k := range newest {
		t.index[k] = i
	}
}

func (t *targetKeys) add(k prefix.Key, limit int) {
	if _, ok := t.index[k]; ok {
		return
	}
	if len(t.ring) < limit {
		t.index[k] = len(t.ring)
		t.ring = append(t.ring, k)
		return
	}
	if oldest := t.ring[t.next]; t.index[oldest] == t.next {
		delete(t.index, oldest)
	}
	t.ring[t.next] = k
	t.index[k] = t.next
	t.next = (t.next + 1) % limit
}

// Remove records that the target does not hold these keys.
func (h *Hints) Remove(target string, keys []prefix.Key) {
	entry := h.lookup(target)
	if entry == nil {
		return
	}
	entry.mu.Lock()
	defer entry.mu.Unlock()
	for _, k := range keys {
		delete(entry.index, k)
	}
}

// RemoveTarget removes all keys of a target, as after a restart, a change of weights or lost events.
func (h *Hints) RemoveTarget(target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.targets, target)
}

// ApplyEvent applies one cache event. A sequence number that is not the next one marks
// a gap: a lost event may be a removal, so all keys of the target are dropped first.
func (h *Hints) ApplyEvent(target string, seq uint64, key prefix.Key, removed bool) (gap bool) {
	entry, limit := h.ensure(target), h.perTargetLimit()
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if seq <= entry.lastSeq {
		return false // replayed events are ignored
	}
	gap = entry.lastSeq != 0 && seq != entry.lastSeq+1
	if gap {
		entry.index, entry.ring, entry.next = map[prefix.Key]int{}, nil, 0
	}
	entry.lastSeq = seq
	if removed {
		delete(entry.index, key)
		return gap
	}
	entry.add(key, limit)
	return gap
}

// KeyCount returns the number of keys retained for all targets.
func (h *Hints) KeyCount() int {
	h.mu.RLock()
	defer h.mu.RUnlock()
	n := 0
	for _, entry := range h.targets {
		entry.mu.RLock()
		n += len(entry.index)
		entry.mu.RUnlock()
	}
	return n
}
