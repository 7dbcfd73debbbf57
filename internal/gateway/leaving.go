package gateway

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/registry"
)

// A target that leaves says so in each of its responses, possibly long before its entry does, since
// the entry has to be written to the object store first. An instance acts on the responses it
// receives, and instances report leaving targets to one another, so that those that received no such
// response stop sending requests as well.

// maxLeavingTargets is the maximum number of incarnations in one message, at some 30 bytes each. If a
// whole zone leaves while the object store is unreachable, the following messages name the rest.
const maxLeavingTargets = 16

// LeavingTargets lists the incarnations of targets that have announced that they leave.
type LeavingTargets []registry.Incarnation

// UnmarshalCBOR implements cbor.Unmarshaler. It skips items that can't be decoded, so that they don't
// invalidate the other items or the rest of the message.
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

// leavingReports counts the leaving notices of targets whose entries don't say that they leave: all that
// were received, and those observed by this instance itself, without a peer.
type leavingReports struct {
	received, observed uint64
	nextIndex          map[string]int // by peer, see reportLeavingTo
}

// leavingRefreshInterval is how often a further notice of a target that is known to leave is applied.
// Later responses count, since the next incarnation may have given them.
const leavingRefreshInterval = 200 * time.Millisecond

// noteLeaving applies a leaving notice received from the target itself. All responses of a leaving
// target carry the notice; only the first one changes the control state.
func (g *Gateway) noteLeaving(t *catalog.Target, source registry.Source) {
	known := g.view.Load().Targets[t.ID]
	if known != nil && known.LeavingNotice && !known.NoticeInherited && source.RequestSent.Sub(known.NoticeRequestSent) < leavingRefreshInterval {
		return
	}
	g.sendEvent(targetLeaving{incarnation: registry.IncarnationOf(t), source: source})
}

// targetLeaving is the event of a leaving notice received from the target itself.
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

// transferBackoff handles a restart of a target: a backoff that was noted for the previous incarnation,
// but was requested by the new one, is transferred to the new one.
func (g *Gateway) transferBackoff(c *controlState, restart registry.Restart) {
	now := c.now()
	g.breaker.TransferBackoff(restart.PreviousID, restart.ID, registry.InheritedNoticeTTL, func(sent time.Time) bool { return registry.StartedBeforeRequest(restart.Start, sent, now) })
}

// leavingReceived is the event of leaving notices reported by a peer.
type leavingReceived struct {
	targets LeavingTargets
	from    member.Member
}

func (e leavingReceived) apply(c *controlState) { c.receiveLeaving(e.targets, e.from) }

// receiveLeaving applies leaving notices reported by a peer. A notice of a target that is not listed is
// kept too, since the peer may have a newer list.
func (c *controlState) receiveLeaving(targets LeavingTargets, from member.Member) {
	for _, incarnation := range targets {
		if c.targets.ApplyLeavingNotice(incarnation, registry.Source{Channel: string(fromPeer), Reporter: from.Name}, c.now()) {
			c.leavingReports.received++
			c.leavingReports.nextIndex = nil
		}
	}
}

// reportLeaving is reportLeavingTo for a message to several peers, or to a peer whose name is not known.
func (c *controlState) reportLeaving() LeavingTargets { return c.reportLeavingTo("") }

// reportLeavingTo returns the incarnations to report to a peer as leaving: those that have announced it
// and whose entries don't say so yet. If there are more than fit into a message, the latest notices go
// first, and each message to the peer continues where the previous one ended.
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
