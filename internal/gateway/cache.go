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
	// pollWait is how long a poll of a store's events waits for one.
	pollWait = 200 * time.Millisecond
	// pollGap is the pause between polls: events that come meanwhile are told by
	// the next one together.
	pollGap = 100 * time.Millisecond
	// inventoryAge is how old a store's last word may be for a fetch: one that does not
	// answer for longer may have started again, empty.
	inventoryAge = 1600 * time.Millisecond
	// relistEvery is how often a store is listed anew, and relistSoon the same where events
	// were lost: until then nothing is saved there.
	relistEvery = 12 * time.Second
	relistSoon  = time.Second
	// listLead is how much earlier a list may tell of a part than events do.
	listLead = time.Second
	// storesEvery is how often the configuration is looked at for new stores, and
	// storesFirst the same until there is one: a new process reads prompts that the
	// stores hold until it has listed them.
	storesEvery = 500 * time.Millisecond
	storesFirst = 10 * time.Millisecond
	// saveMemory is how long an own save counts as under way.
	saveMemory = 3 * time.Second
	// leastKept is the smallest part that is worth a store's space, in tokens:
	// reading it again takes about as long as a transfer's fixed delay.
	leastKept = 64
)

// bounds keep saves and fetches apart, see stock.Bounds. They are the same for all
// instances, whichever way they hear of the stores.
var bounds = cachestore.Bounds{
	SaveAge:   500 * time.Millisecond, // two polls and a step of the tree, where nothing is slow
	SaveTime:  300 * time.Millisecond,
	FetchAge:  inventoryAge + relayAge,
	FetchTime: longestFetch,
}

// cacheDirectory is what this instance knows of all cache stores.
type cacheDirectory struct {
	g *Gateway

	process uint64 // tells this process's numbers from those of one before

	mu          sync.Mutex
	inventories map[string]*inventory // by address
	journal     cachestore.Journal
	saving      map[cachestore.Key]time.Time
	saves       cachestore.PendingSaves
	clock       float64   // servers' clock, ms, at clockAt
	clockAt     time.Time // zero: not known
}

type inventory struct {
	cachestore.Inventory
	cancel context.CancelFunc // ends the polls; nil: told by other instances
	listed time.Time
}

// ageLimit is how old the store's last word may be, see inventoryAge; one that came by
// way of other instances is older.
func (s *inventory) ageLimit() time.Duration {
	if s.cancel == nil {
		return inventoryAge + relayAge
	}
	return inventoryAge
}

func newCacheDirectory(g *Gateway) *cacheDirectory {
	return &cacheDirectory{g: g, process: rand.Uint64(), inventories: map[string]*inventory{}, saving: map[cachestore.Key]time.Time{}}
}

// run keeps the inventories of the stores that the configuration names, until ctx ends.
func (c *cacheDirectory) run(ctx context.Context) {
	for {
		every := storesFirst
		if cfg := c.g.view.Load().Config; cfg != nil {
			c.follow(ctx, cfg.Stores, c.place())
			every = storesEvery
		}
		if !wait.For(ctx, every) {
			return
		}
	}
}

// follow makes an inventory for each store, and starts and ends the polls of them.
func (c *cacheDirectory) follow(ctx context.Context, stores []catalog.CacheStore, at position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	named := map[string]bool{}
	for _, s := range stores {
		named[s.Address] = true
		sh := c.inventories[s.Address]
		if sh == nil {
			sh = &inventory{}
			c.inventories[s.Address] = sh
		}
		if at.follows == (sh.cancel != nil) {
			continue
		}
		if !at.follows {
			sh.cancel()
			sh.cancel = nil
			continue
		}
		own, cancel := context.WithCancel(ctx)
		sh.cancel, sh.listed = cancel, time.Time{}
		c.g.start(func() { c.poll(own, s, sh) })
	}
	for address, sh := range c.inventories {
		if named[address] {
			continue
		}
		if sh.cancel != nil {
			sh.cancel()
		}
		delete(c.inventories, address)
	}
	now := c.g.now()
	for k, at := range c.saving {
		if now.Sub(at) > saveMemory {
			delete(c.saving, k)
		}
	}
}

// listed takes all that a store holds; c.mu is held.
func (c *cacheDirectory) listed(sh *inventory, address string, w cachestore.Response, held []cachestore.StoredPart) {
	changes, anew := sh.Replace(w, held)
	if anew {
		c.journal.MarkRelisted(address)
	}
	c.journal.Append(address, changes)
}

// poll keeps one store's inventory up to date.
func (c *cacheDirectory) poll(ctx context.Context, s catalog.CacheStore, sh *inventory) {
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
			wait.For(ctx, pollGap)
			continue
		}
		c.mu.Lock()
		sh.Invalidate()
		c.mu.Unlock()
		if failures++; failures == 1 {
			entry.WithError(err).Warn("cache store lost")
		}
		metric.StoreErrors(s.Name).Inc()
		wait.For(ctx, pause(failures))
	}
}

// pollOnce lists the store, or asks it for events.
func (c *cacheDirectory) pollOnce(ctx context.Context, address string, sh *inventory, entry log.Interface) error {
	c.mu.Lock()
	_, next, known := sh.Position()
	every := relistEvery
	if sh.HasGap() {
		every = relistSoon
	}
	fresh := known && c.g.now().Sub(sh.listed) < every
	c.mu.Unlock()
	if !fresh {
		return c.list(ctx, address, sh, entry)
	}
	asked := c.g.now()
	p, err := c.g.engines.CacheEvents(ctx, address, next, pollWait)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil {
		return ctx.Err() // others tell of the store by now
	}
	c.setClock(p.ClockMS)
	now := c.g.now()
	told := sh.Apply(answerOfStore(p.Epoch, p.Next, polledAt(asked, now, len(p.Events)), now), p.Gap, p.Events)
	if _, _, known = sh.Position(); known {
		c.journal.Append(address, p.Events)
	}
	if !told {
		entry.WithField("epoch", p.Epoch).WithField("gap", p.Gap).WithField("unreadable", p.Unreadable).Info("cache store started again, or events are lost: listing anew")
	}
	return nil
}

// polledAt is as of when a poll's answer holds: one without events comes when the poll has
// waited its time.
func polledAt(asked, heard time.Time, events int) time.Time {
	if waited := asked.Add(pollWait); events == 0 && !heard.Before(waited) {
		return waited
	}
	return asked
}

// answerOfStore is an answer of a store itself.
func answerOfStore(epoch, next uint64, asOf, heard time.Time) cachestore.Response {
	return cachestore.Response{Epoch: epoch, NextEvent: next, AsOf: asOf, CompleteAsOf: asOf, Received: heard}
}

// list asks a store for all that it holds.
func (c *cacheDirectory) list(ctx context.Context, address string, sh *inventory, entry log.Interface) error {
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
	c.listed(sh, address, answerOfStore(l.Epoch, l.Next, asked, now), l.Held)
	sh.SetIncomplete(l.Partial, asked)
	sh.listed = asked
	c.setClock(l.ClockMS)
	entry.WithField("epoch", l.Epoch).WithField("parts", len(l.Held)).WithField("partial", len(l.Partial)).WithField("tokens", sh.Used()).WithField("unreadable", l.Unreadable).Info("cache store listed")
	return nil
}

// setClock takes a server's clock as just told; c.mu is held.
func (c *cacheDirectory) setClock(ms float64) {
	if ms > 0 {
		c.clock, c.clockAt = ms, c.g.now()
	}
}

// clockMS is what the servers' clock will show after d; 0 if it is not known.
func (c *cacheDirectory) clockMS(d time.Duration) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clockAt.IsZero() {
		return 0
	}
	return int64(c.clock + float64(c.g.now().Add(d).Sub(c.clockAt))/float64(time.Millisecond))
}

// sources finds the parts of a prompt that stores hold. The last part is the
// request's own: nobody asks for it again, and it is not looked for.
func (c *cacheDirectory) sources(stores []catalog.CacheStore, salt string, parts []Part) []partSource {
	out := make([]partSource, len(parts))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clockAt.IsZero() {
		return out // no end could be stated for a fetch
	}
	now := c.g.now()
	late := c.late(now)
	for i, p := range parts[:max(len(parts)-1, 0)] {
		key := cachestore.Key{Salt: salt, Part: p.ID}
		switch src := c.find(stores, key, now); {
		case src.tokens >= p.Tokens && !c.isLate(key, late, now):
			out[i] = src
		case src.tokens >= p.Tokens:
			metric.BlockedFetches.Inc()
		case c.held(stores, key, now):
			metric.DelayedFetches.Inc()
		}
	}
	return out
}

// isLate says whether a save of a part is late: this instance's own, or another's.
func (c *cacheDirectory) isLate(k cachestore.Key, own []loadreport.Key, now time.Time) bool {
	key := partKey(k)
	return slices.Contains(own, key) || c.g.lateSaves.Has(key, now)
}

// plan says for each part where it is fetched from, and where it is kept if no
// store is known to have it: by preference in the zone of the target that reads it. keep
// says whether anything is to be kept. It is not at a target that has been silent: the
// request may be held up on its way for as long as its caller waits, and the store may have
// started again by then. It would write anew what others fetch by what they knew before.
func (c *cacheDirectory) plan(stores []catalog.CacheStore, salt string, version uint64, parts []Part, from []partSource, fetch []bool, zone string, keep bool) cachePlan {
	out := cachePlan{version: version}
	if len(parts) < 2 || len(stores) == 0 {
		return out
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.g.now()
	keep = keep && len(c.late(now)) < loadreport.MaxPendingSaves
	out.parts = make([]PartPlan, len(parts))
	for i, p := range parts[:len(parts)-1] {
		key := cachestore.Key{Salt: salt, Part: p.ID}
		if from[i].store != nil {
			// Time may have passed since the parts were looked for: this process may have stood still.
			if src := c.find(stores, key, now); fetch[i] && src.tokens >= p.Tokens {
				out.parts[i].FetchFrom, out.parts[i].FetchTokens = src.store.Address, src.tokens
				out.fetches++
			}
			continue
		}
		if !keep {
			continue
		}
		if to := c.home(stores, key, p.Tokens, i == 0 && c.g.settings().Policy.HeadsInFastStores, zone, now); to != "" {
			out.parts[i].SaveTo = to
			c.saving[key] = now
			out.saved = append(out.saved, key)
		}
	}
	return out
}

// find returns the store that holds most of a part; c.mu is held.
func (c *cacheDirectory) find(stores []catalog.CacheStore, key cachestore.Key, now time.Time) partSource {
	var out partSource
	for i := range stores {
		sh := c.inventories[stores[i].Address]
		if sh == nil {
			continue
		}
		if n := sh.Fetchable(key, now, sh.ageLimit(), bounds, c.knownToAll(stores[i].Address, now)); n > out.tokens {
			out = partSource{store: &stores[i], tokens: n}
		}
	}
	return out
}

// held says whether a store is known to hold a part, though it may not be fetched yet; c.mu
// is held.
func (c *cacheDirectory) held(stores []catalog.CacheStore, key cachestore.Key, now time.Time) bool {
	for _, s := range stores {
		if sh := c.inventories[s.Address]; sh != nil && sh.Tokens(key, now, sh.ageLimit()) > 0 {
			return true
		}
	}
	return false
}

// home returns the address of the store to keep a part in; "" if none is to.
func (c *cacheDirectory) home(stores []catalog.CacheStore, key cachestore.Key, tokens int, head bool, zone string, now time.Time) string {
	if tokens < leastKept {
		return ""
	}
	if at, ok := c.saving[key]; ok && now.Sub(at) < saveMemory {
		return ""
	}
	if c.held(stores, key, now) {
		return ""
	}
	near := c.g.settings().Policy.StoreZoneHomes
	var places []cachestore.Candidate
	for _, s := range stores {
		if sh := c.inventories[s.Address]; sh != nil && sh.Savable(key, now, bounds) {
			places = append(places, cachestore.Candidate{Address: s.Address, Capacity: s.Capacity, Used: sh.Used(), FirstByteDelay: s.TransferLatency, SameZone: near && s.Zone == zone})
		}
	}
	if i := cachestore.Home(key, tokens, head, places); i >= 0 {
		return places[i].Address
	}
	return ""
}
