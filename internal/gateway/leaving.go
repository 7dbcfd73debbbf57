package gateway

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/registry"
)

// A target that leaves says so in all its answers, perhaps long before its entry does: that
// waits for the object store. Each instance goes by the answers that it gets, and instances
// tell one another, so that those that got none do not send more.

// maxLeavingTargets is how many lives one message names, some 30 bytes each. Where a whole zone leaves
// while the object store is away, the next messages name the others.
const maxLeavingTargets = 16

// LeavingTargets are lives of targets that have said that they leave.
type LeavingTargets []registry.Incarnation

// UnmarshalCBOR implements cbor.Unmarshaler. What can't be read is left out, and takes nothing
// else of its message along.
func (l *LeavingTargets) UnmarshalCBOR(data []byte) error {
	*l = nil
	var items []cbor.RawMessage
	if cbor.Unmarshal(data, &items) != nil {
		return nil
	}
	for _, item := range items[:min(len(items), maxLeavingTargets)] {
		var incarnation registry.Incarnation
		if cbor.Unmarshal(item, &incarnation) == nil && incarnation.Name != "" && incarnation.Start >= 0 {
			*l = append(*l, incarnation)
		}
	}
	return nil
}

// leavingReports counts what targets said of leaving that their entries don't say, and what of it
// this instance heard itself.
type leavingReports struct {
	received, observed uint64
	nextIndex          map[string]int // by peer, see reportLeavingTo
}

// leavingRefreshInterval is how often the answers are followed of a target that is known to leave: a next
// life may give them.
const leavingRefreshInterval = 200 * time.Millisecond

// noteLeaving takes a target's own word that it leaves. All its answers give it; the first one
// changes the belief.
func (g *Gateway) noteLeaving(t *catalog.Target, source registry.Source) {
	known := g.view.Load().Targets[t.ID]
	if known != nil && known.LeavingNotice && !known.NoticeInherited && source.RequestSent.Sub(known.NoticeRequestSent) < leavingRefreshInterval {
		return
	}
	g.sendEvent(targetLeaving{incarnation: registry.IncarnationOf(t), source: source})
}

// targetLeaving brings a target's own word that it leaves.
type targetLeaving struct {
	incarnation registry.Incarnation
	source      registry.Source
}

func (e targetLeaving) apply(c *controlState) {
	if c.targets.ApplyLeavingNotice(e.incarnation, e.source, c.now()) {
		c.leavingReports.received++
		c.leavingReports.observed++
		c.leavingReports.nextIndex = nil
	}
}

// transferBackoff takes that a target has started again, with the rest that its new life has asked for
// already.
func (g *Gateway) transferBackoff(c *controlState, restart registry.Restart) {
	now := c.now()
	g.breaker.TransferBackoff(restart.PreviousID, restart.ID, registry.InheritedNoticeTTL, func(sent time.Time) bool { return registry.StartedBeforeRequest(restart.Start, sent, now) })
}

// leavingReceived brings the same by a peer.
type leavingReceived struct {
	targets LeavingTargets
	from    member.Member
}

func (e leavingReceived) apply(c *controlState) { c.receiveLeaving(e.targets, e.from) }

// noteLeaving takes a peer's word of targets that leave. That of one which is not in the list is
// kept, since peers may know the list earlier.
func (c *controlState) receiveLeaving(targets LeavingTargets, from member.Member) {
	for _, incarnation := range targets {
		if c.targets.ApplyLeavingNotice(incarnation, registry.Source{Channel: string(fromPeer), Reporter: from.Name}, c.now()) {
			c.leavingReports.received++
			c.leavingReports.nextIndex = nil
		}
	}
}

// reportLeaving is reportLeavingTo for a message to several peers, or to one whose name is not known.
func (c *controlState) reportLeaving() LeavingTargets { return c.reportLeavingTo("") }

// reportLeavingTo names lives that have said that they leave to a peer, as long as their entries
// don't. Of more than fit into a message those heard of last go first, and each message to the
// peer goes on where the one before ended.
func (c *controlState) reportLeavingTo(peer string) LeavingTargets {
	all := c.targets.LeavingByNotice()
	if len(all) <= maxLeavingTargets {
		c.leavingReports.nextIndex = nil
		return all
	}
	if c.leavingReports.nextIndex == nil {
		c.leavingReports.nextIndex = map[string]int{}
	}
	start := c.leavingReports.nextIndex[peer]
	if start >= len(all) {
		start = 0
	}
	end := min(start+maxLeavingTargets, len(all))
	c.leavingReports.nextIndex[peer] = end
	return all[start:end]
}
