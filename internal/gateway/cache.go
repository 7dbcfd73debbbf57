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

// Times of following a cache store.
const (
	// storePollWait is how long a poll of a store's events waits for one.
	storePollWait = 200 * time.Millisecond
	// storePollGap is the pause between polls: events that come meanwhile are told by
	// the next one together.
	storePollGap = 100 * time.Millisecond
	// maxInventoryAge is how old a store's last word may be for a fetch: one that does not
	// answer for longer may have started again, empty.
	maxInventoryAge = 1600 * time.Millisecond
	// relistEvery is how often a store is listed anew, and gapRelistEvery the same where events
	// were lost: until then nothing is saved there.
	relistEvery    = 12 * time.Second
	gapRelistEvery = time.Second
	// listLead is how much earlier a list may tell of a part than events do.
	listLead = time.Second
	// storesCheckEvery is how often the configuration is looked at for new stores, and
	// storesCheckFirst the same until there is one: a new process reads prompts that the
	// stores hold until it has listed them.
	storesCheckEvery = 500 * time.Millisecond
	storesCheckFirst = 10 * time.Millisecond
	// recentSaveTTL is how long an own save counts as under way.
	recentSaveTTL = 3 * time.Second
	// minSavedTokens is the smallest part that is worth a store's space, in tokens:
	// reading it again takes about as long as a transfer's fixed delay.
	minSavedTokens = 64
)

// cacheBounds keep saves and fetches apart, see stock.Bounds. They are the same for all
// instances, whichever way they hear of the stores.
var cacheBounds = cachestore.Bounds{
	SaveAge:   500 * time.Millisecond, // two polls and a step of the tree, where nothing is slow
	SaveTime:  300 * time.Millisecond,
	FetchAge:  maxInventoryAge + maxRelayAge,
	FetchTime: maxFetchTime,
}

// cacheDirectory is what this instance knows of all cache stores.
type cacheDirectory struct {
	g *Gateway

	processID uint64 // tells this process's numbers from those of one before

	mu            sync.Mutex
	inventories   map[string]*storeInventory // by address
	journal       cachestore.Journal
	recentSaves   map[cachestore.Key]time.Time
	pendingSaves  cachestore.PendingSaves
	serverClock   float64   // servers' clock, ms, at serverClockAt
	serverClockAt time.Time // zero: not known
}

type storeInventory struct {
	cachestore.Inventory
	stopPolling context.CancelFunc // ends the polls; nil: told by other instances
	listedAt    time.Time
}

// maxAge is how old the store's last word may be, see maxInventoryAge; one that came by
// way of other instances is older.
func (s *storeInventory) maxAge() time.Duration {
	if s.stopPolling == nil {
		return maxInventoryAge + maxRelayAge
	}
	return maxInventoryAge
}

func newCacheDirectory(g *Gateway) *cacheDirectory {
	return &cacheDirectory{g: g, processID: rand.Uint64(), inventories: map[string]*storeInventory{}, recentSaves: map[cachestore.Key]time.Time{}}
}

// run keeps the inventories of the stores that the configuration names, until ctx ends.
func (c *cacheDirectory) run(ctx context.Context) {
	for {
		every := storesCheckFirst
		if cfg := c.g.view.Load().Config; cfg != nil {
			c.followStores(ctx, cfg.Stores, c.treePosition())
			every = storesCheckEvery
		}
		if !wait.For(ctx, every) {
			return
		}
	}
}

// followStores makes an inventory for each store, and starts and ends the polls of them.
func (c *cacheDirectory) followStores(ctx context.Context, stores []catalog.CacheStore, at treePosition) {
	c.mu.Lock()
	defer c.mu.Unlock()
	named := map[string]bool{}
	for _, s := range stores {
		named[s.Address] = true
		sh := c.inventories[s.Address]
		if sh == nil {
			sh = &storeInventory{}
			c.inventories[s.Address] = sh
		}
		if at.polls == (sh.stopPolling != nil) {
			continue
		}
		if !at.polls {
			sh.stopPolling()
			sh.stopPolling = nil
			continue
		}
		own, cancel := context.WithCancel(ctx)
		sh.stopPolling, sh.listedAt = cancel, time.Time{}
		c.g.spawn(func() { c.pollStore(own, s, sh) })
	}
	for address, sh := range c.inventories {
		if named[address] {
			continue
		}
		if sh.stopPolling != nil {
			sh.stopPolling()
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

// listedAt takes all that a store holds; c.mu is held.
func (c *cacheDirectory) applyList(sh *storeInventory, address string, w cachestore.Response, held []cachestore.StoredPart) {
	changes, anew := sh.Replace(w, held)
	if anew {
		c.journal.MarkRelisted(address)
	}
	c.journal.Append(address, changes)
}

// pollStore keeps one store's inventory up to date.
func (c *cacheDirectory) pollStore(ctx context.Context, s catalog.CacheStore, sh *storeInventory) {
	entry := c.g.log.WithField("store", s.Name).WithField("address", s.Address)
	failures := 0
	for ctx.Err() == nil {
		err := c.pollOnce(ctx, s.Address, sh, entry)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if failures > 0 {
				entry.Info("cache store reached")
			}
			failures = 0
			wait.For(ctx, storePollGap)
			continue
		}
		c.mu.Lock()
		sh.Invalidate()
		c.mu.Unlock()
		if failures++; failures == 1 {
			entry.WithError(err).Warn("cache store lost")
		}
		metric.StoreErrors(s.Name).Inc()
		wait.For(ctx, retryPause(failures))
	}
}

// pollOnce lists the store, or asks it for events.
func (c *cacheDirectory) pollOnce(ctx context.Context, address string, sh *storeInventory, entry log.Interface) error {
	c.mu.Lock()
	_, next, known := sh.Position()
	every := relistEvery
	if sh.HasGap() {
		every = gapRelistEvery
	}
	fresh := known && c.g.now().Sub(sh.listedAt) < every
	c.mu.Unlock()
	if !fresh {
		return c.listStore(ctx, address, sh, entry)
	}
	asked := c.g.now()
	p, err := c.g.engines.CacheEvents(ctx, address, next, storePollWait)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil {
		return ctx.Err() // others tell of the store by now
	}
	c.setServerClock(p.ClockMS)
	now := c.g.now()
	told := sh.Apply(directAnswer(p.Epoch, p.Next, pollValidAt(asked, now, len(p.Events)), now), p.Gap, p.Events)
	if _, _, known = sh.Position(); known {
		c.journal.Append(address, p.Events)
	}
	if !told {
		entry.WithField("epoch", p.Epoch).WithField("gap", p.Gap).WithField("unreadable", p.Unreadable).Info("cache store started again, or events are lost: listing anew")
	}
	return nil
}

// pollValidAt is as of when a poll's answer holds: one without events comes when the poll has
// waited its time.
func pollValidAt(asked, heard time.Time, events int) time.Time {
	if waited := asked.Add(storePollWait); events == 0 && !heard.Before(waited) {
		return waited
	}
	return asked
}

// directAnswer is an answer of a store itself.
func directAnswer(epoch, next uint64, asOf, heard time.Time) cachestore.Response {
	return cachestore.Response{Epoch: epoch, NextEvent: next, AsOf: asOf, CompleteAsOf: asOf, Received: heard}
}

// listStore asks a store for all that it holds.
func (c *cacheDirectory) listStore(ctx context.Context, address string, sh *storeInventory, entry log.Interface) error {
	asked := c.g.now()
	l, err := c.g.engines.CacheList(ctx, address)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	now := c.g.now()
	for i := range l.Held {
		l.Held[i].CompletedAt = now.Add(listLead)
	}
	c.applyList(sh, address, directAnswer(l.Epoch, l.Next, asked, now), l.Held)
	sh.SetIncomplete(l.Partial, asked)
	sh.listedAt = asked
	c.setServerClock(l.ClockMS)
	entry.WithField("epoch", l.Epoch).WithField("parts", len(l.Held)).WithField("partial", len(l.Partial)).WithField("tokens", sh.Used()).WithField("unreadable", l.Unreadable).Info("cache store listed")
	return nil
}

// setServerClock takes a server's clock as just told; c.mu is held.
func (c *cacheDirectory) setServerClock(ms float64) {
	if ms > 0 {
		c.serverClock, c.serverClockAt = ms, c.g.now()
	}
}

// serverClockMS is what the servers' clock will show after d; 0 if it is not known.
func (c *cacheDirectory) serverClockMS(d time.Duration) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serverClockAt.IsZero() {
		return 0
	}
	return int64(c.serverClock + float64(c.g.now().Add(d).Sub(c.serverClockAt))/float64(time.Millisecond))
}

// findParts finds the parts of a prompt that stores hold. The last part is the
// request's own: nobody asks for it again, and it is not looked for.
func (c *cacheDirectory) findParts(stores []catalog.CacheStore, salt string, parts []Part) []partSource {
	out := make([]partSource, len(parts))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serverClockAt.IsZero() {
		return out // no end could be stated for a fetch
	}
	now := c.g.now()
	late := c.pendingSavesAt(now)
	for i, p := range parts[:max(len(parts)-1, 0)] {
		key := cachestore.Key{Salt: salt, Part: p.ID}
		switch src := c.findPart(stores, key, now); {
		case src.tokens >= p.Tokens && !c.hasPendingSave(key, late, now):
			out[i] = src
		case src.tokens >= p.Tokens:
			metric.BlockedFetches.Inc()
		case c.isHeld(stores, key, now):
			metric.DelayedFetches.Inc()
		}
	}
	return out
}

// hasPendingSave says whether a save of a part is late: this instance's own, or another's.
func (c *cacheDirectory) hasPendingSave(k cachestore.Key, own []loadreport.Key, now time.Time) bool {
	key := partKey(k)
	return slices.Contains(own, key) || c.g.peerPendingSaves.Has(key, now)
}

// planParts says for each part where it is fetched from, and where it is kept if no
// store is known to have it: by preference in the zone of the target that reads it. keep
// says whether anything is to be kept. It is not at a target that has been silent: the
// request may be held up on its way for as long as its caller waits, and the store may have
// started again by then. It would write anew what others fetch by what they knew before.
func (c *cacheDirectory) planParts(stores []catalog.CacheStore, salt string, version uint64, parts []Part, from []partSource, fetch []bool, zone string, keep bool) cachePlan {
	out := cachePlan{weightVersion: version}
	if len(parts) < 2 || len(stores) == 0 {
		return out
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.g.now()
	keep = keep && len(c.pendingSavesAt(now)) < loadreport.MaxPendingSaves
	out.parts = make([]PartPlan, len(parts))
	for i, p := range parts[:len(parts)-1] {
		key := cachestore.Key{Salt: salt, Part: p.ID}
		if from[i].store != nil {
			// Time may have passed since the parts were looked for: this process may have stood still.
			if src := c.findPart(stores, key, now); fetch[i] && src.tokens >= p.Tokens {
				out.parts[i].FetchFrom, out.parts[i].FetchTokens = src.store.Address, src.tokens
				out.fetchCount++
			}
			continue
		}
		if !keep {
			continue
		}
		if to := c.chooseStore(stores, key, p.Tokens, i == 0 && c.g.settings().Policy.HeadsInFastStores, zone, now); to != "" {
			out.parts[i].SaveTo = to
			c.recentSaves[key] = now
			out.savedKeys = append(out.savedKeys, key)
		}
	}
	return out
}

// findPart returns the store that holds most of a part; c.mu is held.
func (c *cacheDirectory) findPart(stores []catalog.CacheStore, key cachestore.Key, now time.Time) partSource {
	var out partSource
	for i := range stores {
		sh := c.inventories[stores[i].Address]
		if sh == nil {
			continue
		}
		if n := sh.Fetchable(key, now, sh.maxAge(), cacheBounds, c.reachedByAll(stores[i].Address, now)); n > out.tokens {
			out = partSource{store: &stores[i], tokens: n}
		}
	}
	return out
}

// isHeld says whether a store is known to hold a part, though it may not be fetched yet; c.mu
// is held.
func (c *cacheDirectory) isHeld(stores []catalog.CacheStore, key cachestore.Key, now time.Time) bool {
	for _, s := range stores {
		if sh := c.inventories[s.Address]; sh != nil && sh.Tokens(key, now, sh.maxAge()) > 0 {
			return true
		}
	}
	return false
}

// chooseStore returns the address of the store to keep a part in; "" if none is to.
func (c *cacheDirectory) chooseStore(stores []catalog.CacheStore, key cachestore.Key, tokens int, head bool, zone string, now time.Time) string {
	if tokens < minSavedTokens {
		return ""
	}
	if at, ok := c.recentSaves[key]; ok && now.Sub(at) < recentSaveTTL {
		return ""
	}
	if c.isHeld(stores, key, now) {
		return ""
	}
	near := c.g.settings().Policy.StoreZoneHomes
	var places []cachestore.Candidate
	for _, s := range stores {
		if sh := c.inventories[s.Address]; sh != nil && sh.Savable(key, now, cacheBounds) {
			places = append(places, cachestore.Candidate{Address: s.Address, Capacity: s.Capacity, Used: sh.Used(), FirstByteDelay: s.TransferLatency, SameZone: near && s.Zone == zone})
		}
	}
	if i := cachestore.Home(key, tokens, head, places); i >= 0 {
		return places[i].Address
	}
	return ""
}
