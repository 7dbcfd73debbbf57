// Package cache holds what an instance believes about kept cache: which
// target holds which keys, which store keeps which chain, and the decisions
// that follow. Beliefs are hints: they move cost, never content.
package cache

import (
	"sync"

	"github.com/shedhoist/shedhoist/internal/core/prefix"
)

// Hints is the belief about targets' resident keys. It is safe for many
// goroutines: request goroutines learn and read here, each target under its
// own lock.
type Hints struct {
	mu      sync.RWMutex
	targets map[string]*holder
	limit   int
}

// Bounds on what is remembered: keys of one target, and of all together. At 73
// bytes a key the latter is 44 MB.
const (
	DefaultHintKeys = 8192
	MaxHintKeys     = 600_000
	leastHintKeys   = 128 // of one target, however many there are
)

// NewHints remembers up to limit keys a target, and MaxHintKeys in all.
func NewHints(limit int) *Hints { return &Hints{targets: map[string]*holder{}, limit: limit} }

// perTarget is the bound on one target's keys while there are so many targets.
// It falls by halves, so that room has to be made only a few times.
func (h *Hints) perTarget() int {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.bound(len(h.targets))
}

func (h *Hints) bound(targets int) int {
	limit := h.limit
	for limit > leastHintKeys && limit*targets > MaxHintKeys {
		limit /= 2
	}
	return limit
}

// holder is one target's keys, oldest forgotten first.
type holder struct {
	mu   sync.RWMutex
	at   map[prefix.Key]int // index in ring
	ring []prefix.Key
	next int
	seq  uint64 // last cache event applied
}

func (h *Hints) find(target string) *holder {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.targets[target]
}

func (h *Hints) holder(target string) *holder {
	if e := h.find(target); e != nil {
		return e
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if e := h.targets[target]; e != nil {
		return e
	}
	e := &holder{at: map[prefix.Key]int{}}
	h.targets[target] = e
	if n := len(h.targets); h.bound(n) < h.bound(n-1) {
		h.trimAll(h.bound(n))
	}
	return e
}

// trimAll makes room for more targets; h.mu is held.
func (h *Hints) trimAll(limit int) {
	for _, e := range h.targets {
		e.mu.Lock()
		e.trim(limit)
		e.mu.Unlock()
	}
}

// ResidentPrefix is how many leading keys the target is believed to hold.
func (h *Hints) ResidentPrefix(target string, keys []prefix.Key) int {
	e := h.find(target)
	if e == nil || len(keys) == 0 {
		return 0
	}
	e.mu.RLock()
	defer e.mu.RUnlock()
	for i := range keys {
		if _, ok := e.at[keys[i]]; !ok {
			return i
		}
	}
	return len(keys)
}

// Add notes that the target now holds keys.
func (h *Hints) Add(target string, keys []prefix.Key) {
	if len(keys) == 0 {
		return
	}
	e, limit := h.holder(target), h.perTarget()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, k := range keys {
		e.add(k, limit)
	}
}

// trim forgets keys beyond the limit, and frees their space.
func (e *holder) trim(limit int) {
	if len(e.ring) <= limit {
		return
	}
	kept := append([]prefix.Key(nil), e.ring[len(e.ring)-limit:]...)
	e.ring, e.next, e.at = kept, 0, make(map[prefix.Key]int, limit)
	for i, k := range kept {
		e.at[k] = i
	}
}

func (e *holder) add(k prefix.Key, limit int) {
	if _, ok := e.at[k]; ok {
		return
	}
	if len(e.ring) < limit {
		e.at[k] = len(e.ring)
		e.ring = append(e.ring, k)
		return
	}
	if old := e.ring[e.next]; e.at[old] == e.next {
		delete(e.at, old)
	}
	e.ring[e.next] = k
	e.at[k] = e.next
	e.next = (e.next + 1) % limit
}

// Remove notes that the target does not hold these keys (any more).
func (h *Hints) Remove(target string, keys []prefix.Key) {
	e := h.find(target)
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, k := range keys {
		delete(e.at, k)
	}
}

// RemoveTarget forgets all about a target: it restarted, swapped weights, or lost events.
func (h *Hints) RemoveTarget(target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.targets, target)
}

// ApplyEvent applies one cache event. A sequence that is not the next one marks a
// gap: what was lost may be a removal, so all that was believed is dropped.
func (h *Hints) ApplyEvent(target string, seq uint64, key prefix.Key, removed bool) (gap bool) {
	e, limit := h.holder(target), h.perTarget()
	e.mu.Lock()
	defer e.mu.Unlock()
	if seq <= e.seq {
		return false // a replay changes nothing
	}
	gap = e.seq != 0 && seq != e.seq+1
	if gap {
		e.at, e.ring, e.next = map[prefix.Key]int{}, nil, 0
	}
	e.seq = seq
	if removed {
		delete(e.at, key)
		return gap
	}
	e.add(key, limit)
	return gap
}

// KeyCount is how many keys are remembered over all targets.
func (h *Hints) KeyCount() int {
	h.mu.RLock()
	defer h.mu.RUnlock()
	n := 0
	for _, e := range h.targets {
		e.mu.RLock()
		n += len(e.at)
		e.mu.RUnlock()
	}
	return n
}
