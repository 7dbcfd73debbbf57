package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/cachestore"
	"github.com/shedhoist/shedhoist/internal/loadreport"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Time limits and intervals of polling cache stores.
const (
	// storePollWait is how long the store holds a poll open if it has no new event.
	storePollWait = 200 * time.Millisecond
	// storePollPause is the pause between polls. The next poll returns all events that occur
	// meanwhile.
	storePollPause = 100 * time.Millisecond
	// maxInventoryAge is the maximum age of a store's last response for a fetch. A store that
	// has not responded for longer may have restarted empty.
	maxInventoryAge = 1600 * time.Millisecond
	// relistInterval is how often a store is listed in full. gapRelistInterval applies instead
	// after events were lost, because nothing is saved in the store until it is listed.
	relistInterval    = 12 * time.Second
	gapRelistInterval = time.Second
	// listLead is how much earlier than the store's events a listing may contain a part.
	listLead = time.Second
	// storesCheckInterval is how often the configuration is checked for new stores.
	// initialStoresCheckInterval applies until there is a configuration: until the stores are
	// listed, a new process has targets recompute prompts that the stores hold.
	storesCheckInterval        = 500 * time.Millisecond
	initialStoresCheckInterval = 10 * time.Millisecond
	// recentSaveTTL is how long a save requested by this instance counts as in progress.
	recentSaveTTL = 3 * time.Second
	// minSavedTokens is the size in tokens of the smallest part that is saved: recomputing it
	// takes about as long as the fixed delay of a transfer.
	minSavedTokens = 64
)

// cacheBounds keep saves and fetches of a part apart, see cachestore.Bounds. They are the same
// for all instances, whether these poll the stores or pull the directory from a peer.
var cacheBounds = cachestore.Bounds{
	SaveAge:   500 * time.Millisecond, // two polls and one hop in the relay tree, if nothing is slow
	SaveTime:  300 * time.Millisecond,
	FetchAge:  maxInventoryAge + maxRelayAge,
	FetchTime: maxFetchTime,
}

// cacheDirectory holds what this instance knows about the contents of all cache stores.
type cacheDirectory struct {
	g *Gateway

	processID uint64 // distinguishes this process's sequence numbers from those of an earlier one

	mu            sync.Mutex
	inventories   map[string]*storeInventory // by address
	journal       cachestore.Journal
	recentSaves   map[cachestore.Key]time.Time
	pendingSaves  cachestore.PendingSaves
	serverClock   float64   // clock of the store servers, ms, at serverClockAt
	serverClockAt time.Time // zero: unknown
}

// storeInventory is the inventory of one store and the state of its polls.
type storeInventory struct {
	cachestore.Inventory
	stopPolling context.CancelFunc // stops the polls; nil: pulled from a peer instead
	listedAt    time.Time
}

// maxAge returns the maximum age of the store's last response, see maxInventoryAge. A response
// relayed by other instances may be older.
func (s *storeInventory) maxAge() time.Duration {
	if s.stopPolling == nil {
		return maxInventoryAge + maxRelayAge
	}
	return maxInventoryAge
}

func newCacheDirectory(g *Gateway) *cacheDirectory {
	return &cacheDirectory{g: g, processID: rand.Uint64(), inventories: map[string]*storeInventory{}, recentSaves: map[cachestore.Key]time.Time{}}
}

// run maintains an inventory for each configured store until ctx ends.
func (c *cacheDirectory) run(ctx context.Context) {
	for {
		interval := initialStoresCheckInterval
		if cfg := c.g.view.Load().Config; cfg != nil {
			c.reconcileStores(ctx, cfg.Stores, c.treePosition())
			interval = storesCheckInterval
		}
		if !wait.For(ctx, interval) {
			return
		}
	}
}

// reconcileStores creates and removes inventories to match the configured stores, starts and
// stops their polls, and forgets expired recent saves.
func (c *cacheDirectory) reconcileStores(ctx context.Context, stores []catalog.CacheStore, position treePosition) {
	c.mu.Lock()
	defer c.mu.Unlock()
	configured := map[string]bool{}
	for _, s := range stores {
		configured[s.Address] = true
		inv := c.inventories[s.Address]
		if inv == nil {
			inv = &storeInventory{}
			c.inventories[s.Address] = inv
		}
		if position.polls == (inv.stopPolling != nil) {
			continue
		}
		if !position.polls {
			inv.stopPolling()
			inv.stopPolling = nil
			continue
		}
		pollCtx, cancel := context.WithCancel(ctx)
		inv.stopPolling, inv.listedAt = cancel, time.Time{}
		c.g.spawn(func() { c.pollStore(pollCtx, s, inv) })
	}
	for address, inv := range c.inventories {
		if configured[address] {
			continue
		}
		if inv.stopPolling != nil {
			inv.stopPolling()
		}
		delete(c.inventories, address)
	}
	now := c.g.now()
	for k, at := range c.recentSaves {
		if now.Sub(at) > recentSaveTTL {
			delete(c.recentSaves, k)
		}
	}
}

// applyList replaces a store's inventory by a full listing. c.mu is held.
func (c *cacheDirectory) applyList(inv *storeInventory, address string, resp cachestore.Response, held []cachestore.StoredPart) {
	changes, reset := inv.Replace(resp, held)
	if reset {
		c.journal.MarkRelisted(address)
	}
	c.journal.Append(address, changes)
}

// pollStore polls one store and keeps its inventory current until ctx ends.
func (c *cacheDirectory) pollStore(ctx context.Context, s catalog.CacheStore, inv *storeInventory) {
	logger := c.g.log.WithField("store", s.Name).WithField("address", s.Address)
	failures := 0
	for ctx.Err() == nil {
		err := c.pollOnce(ctx, s.Address, inv, logger)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if failures > 0 {
				logger.Info("cache store reached")
			}
			failures = 0
			wait.For(ctx, storePollPause)
			continue
		}
		c.mu.Lock()
		inv.Invalidate()
		c.mu.Unlock()
		if failures++; failures == 1 {
			logger.WithError(err).Warn("cache store lost")
		}
		metric.StoreErrors(s.Name).Inc()
		wait.For(ctx, retryPause(failures))
	}
}

// pollOnce requests a full listing if one is due, and new events otherwise.
func (c *cacheDirectory) pollOnce(ctx context.Context, address string, inv *storeInventory, logger log.Interface) error {
	c.mu.Lock()
	_, next, known := inv.Position()
	interval := relistInterval
	if inv.HasGap() {
		interval = gapRelistInterval
	}
	listCurrent := known && c.g.now().Sub(inv.listedAt) < interval
	c.mu.Unlock()
	if !listCurrent {
		return c.listStore(ctx, address, inv, logger)
	}
	requestedAt := c.g.now()
	page, err := c.g.engines.CacheEvents(ctx, address, next, storePollWait)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil {
		return ctx.Err() // the inventory is pulled from a peer by now
	}
	c.setServerClock(page.ClockMS)
	now := c.g.now()
	applied := inv.Apply(directResponse(page.Epoch, page.Next, pollValidAt(requestedAt, now, len(page.Events)), now), page.Gap, page.Events)
	if _, _, known = inv.Position(); known {
		c.journal.Append(address, page.Events)
	}
	if !applied {
		logger.WithField("epoch", page.Epoch).WithField("gap", page.Gap).WithField("unreadable", page.Unreadable).Info("cache store started again, or events are lost: listing anew")
	}
	return nil
}

// pollValidAt returns the time as of which a poll's response is valid. A response without events
// is valid as of the end of storePollWait, unless it arrives before. Any other response may be as
// old as its request.
func pollValidAt(requestedAt, receivedAt time.Time, events int) time.Time {
	if waitEnd := requestedAt.Add(storePollWait); events == 0 && !receivedAt.Before(waitEnd) {
		return waitEnd
	}
	return requestedAt
}

// directResponse describes a response received from the store itself, not from a peer.
func directResponse(epoch, next uint64, asOf, receivedAt time.Time) cachestore.Response {
	return cachestore.Response{Epoch: epoch, NextEvent: next, AsOf: asOf, CompleteAsOf: asOf, Received: receivedAt}
}

// listStore requests the full contents of a store and replaces its inventory.
func (c *cacheDirectory) listStore(ctx context.Context, address string, inv *storeInventory, logger log.Interface) error {
	requestedAt := c.g.now()
	list, err := c.g.engines.CacheList(ctx, address)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	now := c.g.now()
	for i := range list.Held {
		list.Held[i].CompletedAt = now.Add(listLead)
	}
	c.applyList(inv, address, directResponse(list.Epoch, list.Next, requestedAt, now), list.Held)
	inv.SetIncomplete(list.Partial, requestedAt)
	inv.listedAt = requestedAt
	c.setServerClock(list.ClockMS)
	logger.WithField("epoch", list.Epoch).WithField("parts", len(list.Held)).WithField("partial", len(list.Partial)).WithField("tokens", inv.Used()).WithField("unreadable", list.Unreadable).Info("cache store listed")
	return nil
}

// setServerClock records the clock in ms that a store has just sent; 0 is ignored. c.mu is held.
func (c *cacheDirectory) setServerClock(ms float64) {
	if ms > 0 {
		c.serverClock, c.serverClockAt = ms, c.g.now()
	}
}

// serverClockMS returns the store servers' clock d from now, in ms; 0 if it is unknown.
func (c *cacheDirectory) serverClockMS(d time.Duration) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serverClockAt.IsZero() {
		return 0
	}
	return int64(c.serverClock + float64(c.g.now().Add(d).Sub(c.serverClockAt))/float64(time.Millisecond))
}

// findParts returns, for each part of a prompt, the store that it can be fetched from. The last
// part is skipped: it is specific to the request and no other request shares it.
func (c *cacheDirectory) findParts(stores []catalog.CacheStore, salt string, parts []Part) []partSource {
	out := make([]partSource, len(parts))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serverClockAt.IsZero() {
		return out // no deadline could be given for a fetch
	}
	now := c.g.now()
	pending := c.pendingSavesAt(now)
	for i, p := range parts[:max(len(parts)-1, 0)] {
		key := cachestore.Key{Salt: salt, Part: p.ID}
		switch src := c.findPart(stores, key, now); {
		case src.tokens >= p.Tokens && !c.hasPendingSave(key, pending, now):
			out[i] = src
		case src.tokens >= p.Tokens:
			metric.BlockedFetches.Inc()
		case c.isHeld(stores, key, now):
			metric.DelayedFetches.Inc()
		}
	}
	return out
}

// hasPendingSave reports whether a save of the part that this instance or a peer requested may
// still be in progress.
func (c *cacheDirectory) hasPendingSave(k cachestore.Key, ownPending []loadreport.Key, now time.Time) bool {
	key := partKey(k)
	return slices.Contains(ownPending, key) || c.g.peerPendingSaves.Has(key, now)
}

// planParts decides for each part which store it is fetched from, or in which store the target
// saves it if no store is known to hold it, preferably in the target's zone. Nothing is saved if
// save is false. Callers pass false for a target that has been silent: the request may be delayed
// for as long as its caller waits, and the store may have restarted by then. The late save would
// rewrite parts that other instances fetch based on older information.
func (c *cacheDirectory) planParts(stores []catalog.CacheStore, salt string, version uint64, parts []Part, sources []partSource, fetch []bool, zone string, save bool) cachePlan {
	out := cachePlan{weightVersion: version}
	if len(parts) < 2 || len(stores) == 0 {
		return out
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.g.now()
	save = save && len(c.pendingSavesAt(now)) < loadreport.MaxPendingSaves
	out.parts = make([]PartPlan, len(parts))
	for i, p := range parts[:len(parts)-1] {
		key := cachestore.Key{Salt: salt, Part: p.ID}
		if sources[i].store != nil {
			// The process may have been paused since findParts, so check again.
			if src := c.findPart(stores, key, now); fetch[i] && src.tokens >= p.Tokens {
				out.parts[i].FetchFrom, out.parts[i].FetchTokens = src.store.Address, src.tokens
				out.fetchCount++
			}
			continue
		}
		if !save {
			continue
		}
		if address := c.chooseStore(stores, key, p.Tokens, i == 0 && c.g.settings().Policy.HeadsInFastStores, zone, now); address != "" {
			out.parts[i].SaveTo = address
			c.recentSaves[key] = now
			out.savedKeys = append(out.savedKeys, key)
		}
	}
	return out
}

// findPart returns the store from which most tokens of a part can be fetched. c.mu is held.
func (c *cacheDirectory) findPart(stores []catalog.CacheStore, key cachestore.Key, now time.Time) partSource {
	var out partSource
	for i := range stores {
		inv := c.inventories[stores[i].Address]
		if inv == nil {
			continue
		}
		if n := inv.Fetchable(key, now, inv.maxAge(), cacheBounds, c.reachedByAll(stores[i].Address, now)); n > out.tokens {
			out = partSource{store: &stores[i], tokens: n}
		}
	}
	return out
}

// isHeld reports whether any store holds a part, even if it may not be fetched yet. c.mu is
// held.
func (c *cacheDirectory) isHeld(stores []catalog.CacheStore, key cachestore.Key, now time.Time) bool {
	for _, s := range stores {
		if inv := c.inventories[s.Address]; inv != nil && inv.Tokens(key, now, inv.maxAge()) > 0 {
			return true
		}
	}
	return false
}

// chooseStore returns the address of the store in which to save a part; "" if it is not to be
// saved. c.mu is held.
func (c *cacheDirectory) chooseStore(stores []catalog.CacheStore, key cachestore.Key, tokens int, head bool, zone string, now time.Time) string {
	if tokens < minSavedTokens {
		return ""
	}
	if savedAt, ok := c.recentSaves[key]; ok && now.Sub(savedAt) < recentSaveTTL {
		return ""
	}
	if c.isHeld(stores, key, now) {
		return ""
	}
	preferSameZone := c.g.settings().Policy.StoreZoneHomes
	var candidates []cachestore.Candidate
	for _, s := range stores {
		if inv := c.inventories[s.Address]; inv != nil && inv.Savable(key, now, cacheBounds) {
			candidates = append(candidates, cachestore.Candidate{Address: s.Address, Capacity: s.Capacity, Used: inv.Used(), FirstByteDelay: s.TransferLatency, SameZone: preferSameZone && s.Zone == zone})
		}
	}
	if i := cachestore.Home(key, tokens, head, candidates); i >= 0 {
		return candidates[i].Address
	}
	return ""
}
