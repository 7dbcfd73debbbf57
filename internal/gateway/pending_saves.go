package gateway

import (
	"time"

	"github.com/shedhoist/shedhoist/internal/core/stock"
	"github.com/shedhoist/shedhoist/internal/loads"
)

// pendingSaveDelay is how long a save may be under way before the others are told of it: they know by
// the end of stock.Bounds' SaveTime, and fetch the part only when it is no longer told. In a
// small fleet, where they need not wait for SaveTime, they are told at once.
const pendingSaveDelay = 100 * time.Millisecond

// partKey names a part in words of late saves. If two parts share one, a save of either makes
// both late.
func partKey(k stock.Key) loads.Key { return loads.KeyOf(k.Salt + "/" + k.Part) }

// ownPendingSaves are the parts of this instance's own late saves.
func (c *cacheDirectory) ownPendingSaves() []loads.Key {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pendingSavesAt(c.g.now())
}

// pendingSavesAt is ownPendingSaves at a time; c.mu is held.
func (c *cacheDirectory) pendingSavesAt(now time.Time) []loads.Key {
	var out []loads.Key
	after := pendingSaveDelay
	if c.g.view.Load().Tree.small {
		after = 0
	}
	for _, k := range c.pendingSaves.Late(now, after, c.targetActivity) {
		out = append(out, partKey(k))
	}
	return out
}

// targetActivity are what is known of a target.
func (c *cacheDirectory) targetActivity(target string) stock.Signs {
	own := &c.g.upstream.inflight.Of(target).Silence
	now := c.g.now()
	return stock.Signs{Heard: own.Heard(), Silent: own.Among(c.g.peerSilences.Since(loads.KeyOf(target), now), now)}
}

// beginSave notes what a request asks a target to save; nil: nothing.
func (c *cacheDirectory) beginSave(target string, parts []stock.Key) *stock.Save {
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
func (c *cacheDirectory) endSave(s *stock.Save, how saveResult) {
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
		s.Left(now)
	}
}

// pendingSavesToReport is what a neighbour is told of late saves: all that this instance knows of but what
// the neighbour hears for itself.
func (n neighbour) pendingSavesToReport(own []loads.Key, others map[string][]loads.Key) []loads.Key {
	told := map[loads.Key]bool{}
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
	out := make([]loads.Key, 0, len(told))
	for k := range told {
		out = append(out, k)
	}
	return out
}
