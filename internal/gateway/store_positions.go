package gateway

import (
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/loadreport"
)

// StoreSeen says up to which event an instance knows a cache store.
type StoreSeen struct {
	_     struct{} `cbor:",toarray"`
	Store loadreport.Key
	Epoch uint64
	Event uint64
}

// seenBook is up to where the other instances of a small fleet know the cache stores. It is
// safe for use by several goroutines.
type seenBook struct {
	mu    sync.Mutex
	words map[string]seenWord // by instance
}

// seenWord is an instance's last word.
type seenWord struct {
	seq    uint64
	at     time.Time
	stores map[loadreport.Key]StoreSeen
}

// take keeps an instance's word, unless a newer one is known that still counts.
func (b *seenBook) take(from string, seq uint64, told []StoreSeen, now time.Time) {
	w := seenWord{seq: seq, at: now, stores: make(map[loadreport.Key]StoreSeen, len(told))}
	for _, s := range told {
		w.stores[s.Store] = s
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if old, ok := b.words[from]; ok && seq <= old.seq && now.Sub(old.at) < loadAge {
		return
	}
	if b.words == nil {
		b.words = map[string]seenWord{}
	}
	b.words[from] = w
}

// all says whether the last words of some instances, which must still count, say that they
// know an event of a store.
func (b *seenBook) all(names []string, s StoreSeen, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range names {
		w := b.words[name]
		known, ok := w.stores[s.Store]
		if !ok || known.Epoch != s.Epoch || known.Event < s.Event || now.Sub(w.at) >= loadAge {
			return false
		}
	}
	return true
}

// ownSeen is up to where this instance knows the stores, in a small fleet: in a large one most
// hear of the stores by way of others.
func (c *cacheDirectory) ownSeen() []StoreSeen {
	if !c.g.view.Load().Tree.small {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []StoreSeen
	for address, sh := range c.inventories {
		epoch, next, known := sh.Position()
		if known && sh.cancel != nil && !sh.HasGap() {
			out = append(out, StoreSeen{Store: loadreport.KeyOf(address), Epoch: epoch, Event: next})
		}
	}
	return out
}

// knownToAll returns what says whether all instances know an event of a store. Those that are
// lost count too: they may still run.
func (c *cacheDirectory) knownToAll(store string, now time.Time) func(epoch, event uint64) bool {
	v := c.g.view.Load()
	return func(epoch, event uint64) bool {
		return v.Tree != nil && v.Tree.small && c.g.seen.all(v.Others, StoreSeen{Store: loadreport.KeyOf(store), Epoch: epoch, Event: event}, now)
	}
}
