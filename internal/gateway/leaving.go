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

// mostLeavers is how many lives one message names, some 30 bytes each. Where a whole zone leaves
// while the object store is away, the next messages name the others.
const mostLeavers = 16

// Leavers are lives of targets that have said that they leave.
type Leavers []registry.Incarnation

// UnmarshalCBOR implements cbor.Unmarshaler. What can't be read is left out, and takes nothing
// else of its message along.
func (l *Leavers) UnmarshalCBOR(data []byte) error {
	*l = nil
	var words []cbor.RawMessage
	if cbor.Unmarshal(data, &words) != nil {
		return nil
	}
	for _, word := range words[:min(len(words), mostLeavers)] {
		var life registry.Incarnation
		if cbor.Unmarshal(word, &life) == nil && life.Name != "" && life.Start >= 0 {
			*l = append(*l, life)
		}
	}
	return nil
}

// leavingWords counts what targets said of leaving that their entries don't say, and what of it
// this instance heard itself.
type leavingWords struct {
	heard, own uint64
	turns      map[string]int // by peer, see tellLeavingTo
}

// followEvery is how often the answers are followed of a target that is known to leave: a next
// life may give them.
const followEvery = 200 * time.Millisecond

// hearLeaving takes a target's own word that it leaves. All its answers give it; the first one
// changes the belief.
func (g *Gateway) hearLeaving(t *catalog.Target, by registry.Source) {
	known := g.view.Load().Targets[t.ID]
	if known != nil && known.LeavingNotice && !known.NoticeInherited && by.RequestSent.Sub(known.NoticeRequestSent) < followEvery {
		return
	}
	g.send(targetLeaves{life: registry.IncarnationOf(t), by: by})
}

// targetLeaves brings a target's own word that it leaves.
type targetLeaves struct {
	life registry.Incarnation
	by   registry.Source
}

func (e targetLeaves) apply(c *control) {
	if c.targets.ApplyLeavingNotice(e.life, e.by, c.now()) {
		c.leaving.heard++
		c.leaving.own++
		c.leaving.turns = nil
	}
}

// nextLife takes that a target has started again, with the rest that its new life has asked for
// already.
func (g *Gateway) nextLife(c *control, n registry.Restart) {
	now := c.now()
	g.ejected.TransferBackoff(n.PreviousID, n.ID, registry.InheritedNoticeTTL, func(sent time.Time) bool { return registry.StartedBeforeRequest(n.Start, sent, now) })
}

// leaversTold brings the same by a peer.
type leaversTold struct {
	lives Leavers
	from  member.Member
}

func (e leaversTold) apply(c *control) { c.hearLeaving(e.lives, e.from) }

// hearLeaving takes a peer's word of targets that leave. That of one which is not in the list is
// kept, since peers may know the list earlier.
func (c *control) hearLeaving(lives Leavers, from member.Member) {
	for _, l := range lives {
		if c.targets.ApplyLeavingNotice(l, registry.Source{Channel: string(fromPeer), Reporter: from.Name}, c.now()) {
			c.leaving.heard++
			c.leaving.turns = nil
		}
	}
}

// tellLeaving is tellLeavingTo for a message to several peers, or to one whose name is not known.
func (c *control) tellLeaving() Leavers { return c.tellLeavingTo("") }

// tellLeavingTo names lives that have said that they leave to a peer, as long as their entries
// don't. Of more than fit into a message those heard of last go first, and each message to the
// peer goes on where the one before ended.
func (c *control) tellLeavingTo(peer string) Leavers {
	all := c.targets.LeavingByNotice()
	if len(all) <= mostLeavers {
		c.leaving.turns = nil
		return all
	}
	if c.leaving.turns == nil {
		c.leaving.turns = map[string]int{}
	}
	from := c.leaving.turns[peer]
	if from >= len(all) {
		from = 0
	}
	end := min(from+mostLeavers, len(all))
	c.leaving.turns[peer] = end
	return all[from:end]
}
