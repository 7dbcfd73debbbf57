package gateway

import (
	"time"

	"github.com/shedhoist/shedhoist/internal/core/cachestore"
	"github.com/shedhoist/shedhoist/internal/loadreport"
)

// pendingSaveDelay is how long a save may be under way before the others are told of it: they know by
// the end of stock.Bounds' SaveTime, and fetch the part only when it is no longer told. In a
// small fleet, where they need not wait for SaveTime, they are told at once.
const pendingSaveDelay = 100 * time.Millisecond

// partKey names a part in words of late saves. If two parts share one, a save of either makes
// both late.
func partKey(k cachestore.Key) loadreport.Key { return loadreport.KeyOf(k.Salt + "/" + k.Part) }

// ownPendingSaves are the parts of this instance's own late saves.
func (c *cacheDirectory) ownPendingSaves() []loadreport.Key {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pendingSavesAt(c.g.now())
}

// pendingSavesAt is ownPendingSaves at a time; c.mu is held.
func (c *cacheDirectory) pendingSavesAt(now time.Time) []loadreport.Key {
	var out []loadreport.Key
	after := pendingSaveDelay
	if c.g.view.Load().Tree.small {
		after = 0
	}
	for _, k := range c.pendingSaves.PendingParts(now, after, c.targetActivity) {
		out = append(out, partKey(k))
	}
	return out
}

// targetActivity are what is known of a target.
func (c *cacheDirectory) targetActivity(target string) cachestore.TargetActivity {
	own := &c.g.upstream.inflight.Get(target).Responses
	now := c.g.now()
	return cachestore.TargetActivity{LastResponse: own.LastActivity(), UnresponsiveFor: own.UnresponsiveForWithPeers(c.g.peerSilences.Since(loadreport.KeyOf(target), now), now)}
}

// beginSave notes what a request asks a target to save; nil: nothing.
func (c *cacheDirectory) beginSave(target string, parts []cachestore.Key) *cachestore.Save {
	if len(parts) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pendingSaves.Begin(target, parts, c.g.now())
}

// How the request of a save ended.
type saveResult int

const (
	saveAnswered saveResult = iota
	saveNotSent
	saveAbandoned // without any word of the target
)

// endSave notes how the request of a save ended.
func (c *cacheDirectory) endSave(s *cachestore.Save, how saveResult) {
	if s == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.g.now()
	switch how {
	case saveAnswered:
		s.Answered(now)
	case saveNotSent:
		s.NotSent(now)
	case saveAbandoned:
		s.Abandoned(now)
	}
}

// pendingSavesToReport is what a neighbour is told of late saves: all that this instance knows of but what
// the neighbour hears for itself.
func (n neighbour) pendingSavesToReport(own []loadreport.Key, others map[string][]loadreport.Key) []loadreport.Key {
	told := map[loadreport.Key]bool{}
	for _, k := range own {
		told[k] = true
	}
	for from, late := range others {
		if !n.relayedFrom[from] {
			continue
		}
		for _, k := range late {
			told[k] = true
		}
	}
	out := make([]loadreport.Key, 0, len(told))
	for k := range told {
		out = append(out, k)
	}
	return out
}
