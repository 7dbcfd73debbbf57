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

// Time limits and batch size of freeing.
const (
	// collectInterval is how often an instance checks for parts to free.
	collectInterval = 400 * time.Millisecond
	// versionSettleTime is how long all targets must have been known to serve newer weights
	// before the cache of older ones is freed. A target with newer weights refuses requests
	// that expect older ones, so none of them can fetch it. This time covers updates of the
	// target list that are still on their way.
	versionSettleTime = time.Second
	// departedTTL is how long a target that left the list still counts as serving. Other
	// instances may use it for registry.ReregistrationTimeout, and a fetch may be in progress.
	departedTTL = registry.ReregistrationTimeout + maxFetchTime
	// freeTimeout is how long a free request may be in flight; the store rejects it after that.
	freeTimeout = time.Second
	// maxFreeBatch is the maximum number of outdated parts that one call frees.
	maxFreeBatch = 1000
	// incompleteTimeout is how long a part must have been incomplete without growing before
	// its save counts as aborted. A save takes well under a second.
	incompleteTimeout = 10 * time.Second
)

// collectGarbage frees cache of weights that no target serves any more, and parts whose save was
// aborted, in the stores assigned to this instance. If two instances both consider themselves
// assigned, that does no harm: what they free is not in use.
func (c *cacheDirectory) collectGarbage(ctx context.Context) {
	var settling versionSettling
	for wait.For(ctx, wait.Jitter(collectInterval)) {
		v := c.g.view.Load()
		if v.Config == nil || v.Draining || !v.StoreReachable {
			continue // the versions that targets serve are not reliably known
		}
		// Only instances that poll a store know of its incomplete parts.
		pollers := v.Tree.pollers()
		if !slices.Contains(pollers, c.g.settings().Name) {
			settling = versionSettling{} // versions are not observed meanwhile
			continue
		}
		oldest := settling.update(oldestServed(v, c.g.now()), c.g.now())
		if len(oldest) == 0 {
			continue
		}
		for _, s := range v.Config.Stores {
			if s.Managed && rankOf(pollers, c.g.settings().Name, s.Address) == 0 {
				c.free(ctx, s.Address, oldest)
			}
		}
	}
}

// oldestServed returns the oldest weight version of each model that a target serves. Targets
// that are leaving or left the list within departedTTL count, as they may still serve it.
func oldestServed(v *View, now time.Time) map[string]uint64 {
	out := map[string]uint64{}
	add := func(models []catalog.ModelVersion) {
		for _, m := range models {
			if oldest, ok := out[m.Model]; !ok || m.Version < oldest {
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

// versionSettling tracks since when each model's oldest served version has been the same.
type versionSettling struct {
	versions map[string]uint64
	since    map[string]time.Time
}

// update records the oldest versions served at now, and returns those that have not changed for
// versionSettleTime.
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

// free frees a store's parts of weight versions older than oldest and its stalled incomplete
// parts.
func (c *cacheDirectory) free(ctx context.Context, address string, oldest map[string]uint64) {
	c.mu.Lock()
	inv := c.inventories[address]
	var parts []cachestore.Key
	var epoch uint64
	if inv != nil && inv.Known(c.g.now(), inv.maxAge()) {
		parts = append(inv.Outdated(oldest, maxFreeBatch), inv.Stalled(incompleteTimeout)...)
		epoch, _, _ = inv.Position()
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
	if currentEpoch, _, _ := inv.Position(); currentEpoch == epoch {
		inv.Remove(parts, c.g.now()) // the store's own events report the same a moment later
		c.journal.Append(address, removalEvents(parts))
	}
}

// removalEvents returns an event for each part that says that it is no longer held.
func removalEvents(parts []cachestore.Key) []cachestore.Event {
	out := make([]cachestore.Event, len(parts))
	for i, k := range parts {
		out[i] = cachestore.Event{Key: k}
	}
	return out
}
