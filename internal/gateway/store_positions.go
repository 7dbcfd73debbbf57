package gateway

import (
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/loadreport"
)

// StorePosition says up to which event an instance knows a cache store.
type StorePosition struct {
	_     struct{} `cbor:",toarray"`
	Store loadreport.Key
	Epoch uint64
	Event uint64
}

// positionTracker is up to where the other instances of a small fleet know the cache stores. It is
// safe for use by several goroutines.
type positionTracker struct {
	mu      sync.Mutex
	reports map[string]positionReport // by instance
}

// positionReport is an instance's last word.
type positionReport struct {
	seq    uint64
	at     time.Time
	stores map[loadreport.Key]StorePosition
}

// record keeps an instance's word, unless a newer one is known that still counts.
func (b *positionTracker) record(from string, seq uint64, told []StorePosition, now time.Time) {
	w := positionReport{seq: seq, at: now, stores: make(map[loadreport.Key]StorePosition, len(told))}
	for _, s := range told {
		w.stores[s.Store] = s
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if old, ok := b.reports[from]; ok && seq <= old.seq && now.Sub(old.at) < loadReportTTL {
		return
	}
	if b.reports == nil {
		b.reports = map[string]positionReport{}
	}
	b.reports[from] = w
}

// allReached says whether the last words of some instances, which must still count, say that they
// know an event of a store.
func (b *positionTracker) allReached(names []string, s StorePosition, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range names {
		w := b.reports[name]
		known, ok := w.stores[s.Store]
		if !ok || known.Epoch != s.Epoch || known.Event < s.Event || now.Sub(w.at) >= loadReportTTL {
			return false
		}
	}
	return true
}

// ownPositions is up to where this instance knows the stores, in a small fleet: in a large one most
// hear of the stores by way of others.
func (c *cacheDirectory) ownPositions() []StorePosition {
	if !c.g.view.Load().Tree.small {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []StorePosition
	for address, sh := range c.inventories {
		epoch, next, known := sh.Position()
		if known && sh.stopPolling != nil && !sh.HasGap() {
			out = append(out, StorePosition{Store: loadreport.KeyOf(address), Epoch: epoch, Event: next})
		}
	}
	return out
}

// reachedByAll returns what says whether all instances know an event of a store. Those that are
// lost count too: they may still run.
func (c *cacheDirectory) reachedByAll(store string, now time.Time) func(epoch, event uint64) bool {
	v := c.g.view.Load()
	return func(epoch, event uint64) bool {
		return v.Tree != nil && v.Tree.small && c.g.storePositions.allReached(v.OtherInstances, StorePosition{Store: loadreport.KeyOf(store), Epoch: epoch, Event: event}, now)
	}
}
