package gateway

import (
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/loadreport"
)

// StorePosition says up to which event an instance knows the contents of a cache store.
type StorePosition struct {
	_     struct{} `cbor:",toarray"`
	Store loadreport.Key
	Epoch uint64
	Event uint64
}

// positionTracker holds the store positions that the other instances of a small fleet reported. It
// is safe for concurrent use. The zero value is empty.
type positionTracker struct {
	mu      sync.Mutex
	reports map[string]positionReport // by instance
}

// positionReport is the last report of one instance.
type positionReport struct {
	seq    uint64
	at     time.Time
	stores map[loadreport.Key]StorePosition
}

// record stores an instance's report unless one with the same or a higher sequence number is known
// and has not expired.
func (t *positionTracker) record(from string, seq uint64, positions []StorePosition, now time.Time) {
	report := positionReport{seq: seq, at: now, stores: make(map[loadreport.Key]StorePosition, len(positions))}
	for _, s := range positions {
		report.stores[s.Store] = s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.reports[from]; ok && seq <= old.seq && now.Sub(old.at) < loadReportTTL {
		return
	}
	if t.reports == nil {
		t.reports = map[string]positionReport{}
	}
	t.reports[from] = report
}

// allReached reports whether every one of the instances has an unexpired report that says that it
// has reached a position.
func (t *positionTracker) allReached(instances []string, position StorePosition, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range instances {
		report := t.reports[name]
		known, ok := report.stores[position.Store]
		if !ok || known.Epoch != position.Epoch || known.Event < position.Event || now.Sub(report.at) >= loadReportTTL {
			return false
		}
	}
	return true
}

// ownPositions returns the positions of the stores that this instance polls and whose events it has
// received without a gap. It returns none in a large fleet, where most instances do not poll the
// stores.
func (c *cacheDirectory) ownPositions() []StorePosition {
	if !c.g.view.Load().Tree.small {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []StorePosition
	for address, inv := range c.inventories {
		epoch, next, known := inv.Position()
		if known && inv.stopPolling != nil && !inv.HasGap() {
			out = append(out, StorePosition{Store: loadreport.KeyOf(address), Epoch: epoch, Event: next})
		}
	}
	return out
}

// reachedByAll returns a function that reports whether all other instances have reached an event of
// a store. Lost instances count too, because they may still be running.
func (c *cacheDirectory) reachedByAll(store string, now time.Time) func(epoch, event uint64) bool {
	v := c.g.view.Load()
	return func(epoch, event uint64) bool {
		return v.Tree != nil && v.Tree.small && c.g.storePositions.allReached(v.OtherInstances, StorePosition{Store: loadreport.KeyOf(store), Epoch: epoch, Event: event}, now)
	}
}
