package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/stock"
	"github.com/shedhoist/shedhoist/internal/metric"
)

// One instance grants the saves into each cache store, see stock.Inventory.Grant. Requests of
// other instances ask it before they have a part saved there.

const (
	// grantTime is how long a granted save may be under way: 1.5 s until a connection whose
	// bytes are not acknowledged ends, 2.5 s until the prompt is read in a long queue, and
	// 2 s that its transfer may wait. A save that is lost is granted again after it.
	grantTime = 6 * time.Second
	// grantWait is how long a request waits for leave: some round trips between zones. A
	// part that is not granted in time is saved by a later request.
	grantWait = 30 * time.Millisecond
)

// save is one part that a request may have saved.
type save struct {
	index int // among the prompt's parts
	key   stock.Key
	store *catalog.CacheStore
}

// SaveAsk asks for leave to save parts into a store.
type SaveAsk struct {
	Store string      `cbor:"1,keyasint"` // address
	Epoch uint64      `cbor:"2,keyasint"` // as the asker knows the store
	Parts []stock.Key `cbor:"3,keyasint"`
}

// SaveLeave is the answer.
type SaveLeave struct {
	Granted []bool `cbor:"1,keyasint"` // by part
	// Unsure says that the store is not well known to the one that grants, or was not for
	// long enough: to ask again soon may help.
	Unsure bool `cbor:"2,keyasint,omitempty"`
}

// Saves answers a SaveAsk.
func (h *peerHandler) Saves(req *SaveAsk, out *SaveLeave) error {
	*out = h.g.cache.grant(*req)
	return nil
}

// grant decides as the instance that grants a store's saves. It does so only for a store
// that it hears of for itself and knows in the asker's epoch.
func (c *cacheDirectory) grant(ask SaveAsk) SaveLeave {
	c.mu.Lock()
	defer c.mu.Unlock()
	sh, now := c.inventories[ask.Store], c.g.now()
	if sh == nil || sh.cancel == nil || !sh.settled(now) {
		return SaveLeave{Unsure: true}
	}
	if epoch, _, _ := sh.Position(); epoch != ask.Epoch {
		return SaveLeave{Unsure: true}
	}
	out := SaveLeave{Granted: make([]bool, len(ask.Parts))}
	for i, k := range ask.Parts {
		out.Granted[i] = sh.Grant(k, now, grantTime)
	}
	return out
}

// granted returns those of the wished saves for which there is leave.
func (c *cacheDirectory) granted(ctx context.Context, wishes []save) []save {
	if len(wishes) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, grantWait)
	defer cancel()
	byStore := map[*catalog.CacheStore][]save{}
	for _, s := range wishes {
		byStore[s.store] = append(byStore[s.store], s)
	}
	var mu sync.Mutex
	var out []save
	var asked sync.WaitGroup
	for store, saves := range byStore {
		asked.Go(func() {
			leave := c.ask(ctx, store, saves)
			mu.Lock()
			defer mu.Unlock()
			for i, s := range saves {
				if i < len(leave) && leave[i] {
					out = append(out, s)
				}
			}
		})
	}
	asked.Wait()
	metric.SavesNotGranted.Add(len(wishes) - len(out))
	return out
}

// ask asks for leave to save parts into one store.
func (c *cacheDirectory) ask(ctx context.Context, store *catalog.CacheStore, saves []save) []bool {
	leave := c.leave(ctx, store, saves)
	if leave.Unsure {
		c.forgetSaving(saves)
	}
	return leave.Granted
}

// forgetSaving lets the next request ask again for leave.
func (c *cacheDirectory) forgetSaving(saves []save) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range saves {
		delete(c.saving, s.key)
	}
}

// leave is the word of the instance that grants a store's saves.
func (c *cacheDirectory) leave(ctx context.Context, store *catalog.CacheStore, saves []save) SaveLeave {
	ask := SaveAsk{Store: store.Address, Epoch: c.epoch(store.Address)}
	for _, s := range saves {
		ask.Parts = append(ask.Parts, s.key)
	}
	granter := c.g.view.Load().Tree.granter(store.Zone, store.Address)
	if granter.Name == "" || granter.Name == c.g.settings().Name {
		return c.grant(ask)
	}
	var leave SaveLeave
	if err := c.g.pool.Call(ctx, granter.Address, peerService+".Saves", &ask, &leave); err != nil {
		c.g.log.WithError(err).WithField("peer", granter.Name).WithField("store", store.Name).WithField("parts", len(saves)).Warn("no word on saves")
	}
	return leave
}

// epoch is the store's, as known here.
func (c *cacheDirectory) epoch(address string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sh := c.inventories[address]
	if sh == nil {
		return 0
	}
	epoch, _, _ := sh.Position()
	return epoch
}
