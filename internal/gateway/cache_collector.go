package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/cachestore"
	"github.com/shedhoist/shedhoist/internal/registry"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Times and sizes of freeing.
const (
	// collectInterval is how often an instance looks for what can be freed.
	collectInterval = 400 * time.Millisecond
	// versionSettleTime is how long all targets must have been seen with newer weights
	// before older cache is freed. A target with newer weights refuses requests that
	// expect older ones, so that none can fetch it; this covers lists that differ by
	// what is being told.
	versionSettleTime = time.Second
	// departedTTL is how long a target that left the list counts as serving: others
	// may hold on to it for registry.ReturnTime, with a fetch under way.
	departedTTL = registry.ReregistrationTimeout + maxFetchTime
	// freeTimeout is how long an order to free may be under way.
	freeTimeout = time.Second
	// maxFreeBatch is how many parts one call frees.
	maxFreeBatch = 1000
	// incompleteTimeout is how long a part must have been incomplete, without any more of
	// it coming, to be taken for broken off: a save takes well under a second.
	incompleteTimeout = 10 * time.Second
)

// collectGarbage frees cache of weights that no target serves any more, and parts that
// broke off, in the stores that fall to this instance. Two that both think so do
// no harm: what they free is nobody's.
func (c *cacheDirectory) collectGarbage(ctx context.Context) {
	var settled versionSettling
	for wait.For(ctx, wait.Jitter(collectInterval)) {
		v := c.g.view.Load()
		if v.Config == nil || v.Draining || !v.StoreReachable {
			continue // what targets serve is not known for sure
		}
		// Only those that follow a store know of the parts that broke off there.
		follow := v.Tree.pollers()
		if !slices.Contains(follow, c.g.settings().Name) {
			settled = versionSettling{} // it was not looked at meanwhile
			continue
		}
		oldest := settled.update(oldestServed(v, c.g.now()), c.g.now())
		if len(oldest) == 0 {
			continue
		}
		for _, s := range v.Config.Stores {
			if s.Managed && rankOf(follow, c.g.settings().Name, s.Address) == 0 {
				c.free(ctx, s.Address, oldest)
			}
		}
	}
}

// oldestServed is each model's oldest weight version that any target serves, or
// may serve still: leaving ones, and those that left the list lately.
func oldestServed(v *View, now time.Time) map[string]uint64 {
	out := map[string]uint64{}
	add := func(models []catalog.ModelVersion) {
		for _, m := range models {
			if at, ok := out[m.Model]; !ok || m.Version < at {
				out[m.Model] = m.Version
			}
		}
	}
	for _, t := range v.Targets {
		add(t.Models)
	}
	for _, d := range v.Departed {
		if now.Sub(d.At) < departedTTL {
			add(d.Models)
		}
	}
	return out
}

// versionSettling remembers since when versions have been the oldest served.
type versionSettling struct {
	versions map[string]uint64
	since    map[string]time.Time
}

// update takes the oldest versions as seen now, and returns those that have been
// so for long enough.
func (s *versionSettling) update(oldest map[string]uint64, now time.Time) map[string]uint64 {
	if s.versions == nil {
		s.versions, s.since = map[string]uint64{}, map[string]time.Time{}
	}
	out := map[string]uint64{}
	for model, version := range oldest {
		if s.versions[model] != version {
			s.versions[model], s.since[model] = version, now
		}
		if now.Sub(s.since[model]) >= versionSettleTime {
			out[model] = version
		}
	}
	return out
}

// free frees a store's parts of versions older than oldest.
func (c *cacheDirectory) free(ctx context.Context, address string, oldest map[string]uint64) {
	c.mu.Lock()
	sh := c.inventories[address]
	var parts []cachestore.Key
	var epoch uint64
	if sh != nil && sh.Known(c.g.now(), sh.maxAge()) {
		parts = append(sh.Outdated(oldest, maxFreeBatch), sh.Stalled(incompleteTimeout)...)
		epoch, _, _ = sh.Position()
	}
	c.mu.Unlock()
	if len(parts) == 0 {
		return
	}
	err := c.g.engines.Free(ctx, address, epoch, c.serverClockMS(freeTimeout), parts)
	c.g.log.WithField("address", address).WithField("parts", len(parts)).WithField("oldest", oldest).WithField("epoch", epoch).
		WithField("error", errText(err)).Info("old cache freed")
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if now, _, _ := sh.Position(); now == epoch {
		sh.Remove(parts, c.g.now()) // its events tell the same a moment later
		c.journal.Append(address, removals(parts))
	}
}

// removals are the changes that say that parts are no longer held.
func removals(parts []cachestore.Key) []cachestore.Event {
	out := make([]cachestore.Event, len(parts))
	for i, k := range parts {
		out[i] = cachestore.Event{Key: k}
	}
	return out
}
