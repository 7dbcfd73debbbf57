package gateway

import (
	"time"

	"github.com/shedhoist/shedhoist/internal/core/cachestore"
	"github.com/shedhoist/shedhoist/internal/loadreport"
)

// pendingSaveDelay is how long a save may be in progress before it is reported to the other
// instances. They receive the report before SaveTime of cachestore.Bounds has passed, and do not
// fetch the part while the save is reported. A small fleet fetches without waiting for SaveTime,
// so there saves are reported at once.
const pendingSaveDelay = 100 * time.Millisecond

// pendingSaveTTL is how long a peer's last report of pending saves counts if none follows. It is the
// time for which the request of an abandoned save may remain in flight, see cachestore.PendingSaves:
// the save of an instance that has ended lasts no longer. A part is not fetched meanwhile, which
// costs a target its computation.
const pendingSaveTTL = 10 * time.Second

// partKey identifies a part in reports of pending saves. If two parts share a key, a pending
// save of either blocks fetches of both.
func partKey(k cachestore.Key) loadreport.Key { return loadreport.KeyOf(k.Salt + "/" + k.Part) }

// ownPendingSaves returns the parts whose saves, requested by this instance, are to be reported
// as pending.
func (c *cacheDirectory) ownPendingSaves() []loadreport.Key {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pendingSavesAt(c.g.now())
}

// pendingSavesAt returns ownPendingSaves as of now. c.mu is held.
func (c *cacheDirectory) pendingSavesAt(now time.Time) []loadreport.Key {
	var out []loadreport.Key
	minAge := pendingSaveDelay
	if c.g.view.Load().Tree.small {
		minAge = 0
	}
	for _, k := range c.pendingSaves.PendingParts(now, minAge, c.targetActivity) {
		out = append(out, partKey(k))
	}
	return out
}

// targetActivity returns when a target last responded and how long it has been unresponsive,
// including what peers reported.
func (c *cacheDirectory) targetActivity(target string) cachestore.TargetActivity {
	responses := &c.g.upstream.inflight.Get(target).Responses
	now := c.g.now()
	return cachestore.TargetActivity{LastResponse: responses.LastActivity(), UnresponsiveFor: responses.UnresponsiveForWithPeers(c.g.peerSilences.Since(loadreport.KeyOf(target), now), now)}
}

// beginSave records that a request asks a target to save parts. It returns nil if there are
// none.
func (c *cacheDirectory) beginSave(target string, parts []cachestore.Key) *cachestore.Save {
	if len(parts) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pendingSaves.Begin(target, parts, c.g.now())
}

// saveResult is how the request that carried a save ended.
type saveResult int

const (
	saveAnswered saveResult = iota
	saveNotSent
	saveAbandoned // given up without a response
)

// endSave records how the request that carried a save ended. s may be nil.
func (c *cacheDirectory) endSave(s *cachestore.Save, result saveResult) {
	if s == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.g.now()
	switch result {
	case saveAnswered:
		s.Answered(now)
	case saveNotSent:
		s.NotSent(now)
	case saveAbandoned:
		s.Abandoned(now)
	}
}

// keysToReport returns the keys to report to a neighbour, of pending saves for instance: this
// instance's own and those of peers that the neighbour does not receive directly.
func (n neighbour) keysToReport(own []loadreport.Key, peers map[string][]loadreport.Key) []loadreport.Key {
	reported := map[loadreport.Key]bool{}
	for _, k := range own {
		reported[k] = true
	}
	for from, pending := range peers {
		if !n.relayedFrom[from] {
			continue
		}
		for _, k := range pending {
			reported[k] = true
		}
	}
	out := make([]loadreport.Key, 0, len(reported))
	for k := range reported {
		out = append(out, k)
	}
	return out
}
