package gateway

import (
	"context"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/staleness"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/platform"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Have says how new an instance's beliefs are. Of a list it tells the revision
// of its last change: whoever knows all up to that revision has missed nothing.
type Have struct {
	Config   uint64           `cbor:"1,keyasint"` // version
	Targets  platform.Version `cbor:"2,keyasint"` // last change of the targets
	Versions platform.Version `cbor:"3,keyasint"` // last change of the named versions
	Rollout  RolloutStamp     `cbor:"4,keyasint"`
	Newest   ConfigWord       `cbor:"5,keyasint"` // the newest configuration heard of, in force at the teller or not
	// Evacuations is the last change of the evacuated zones.
	Evacuations platform.Version `cbor:"6,keyasint,omitempty"`
}

// RolloutStamp orders the news of rollouts: a later holder's token is higher.
type RolloutStamp struct {
	Token uint64 `cbor:"1,keyasint"`
	Seq   uint64 `cbor:"2,keyasint"`
}

// after says whether s is newer than o.
func (s RolloutStamp) after(o RolloutStamp) bool {
	return s.Token > o.Token || (s.Token == o.Token && s.Seq > o.Seq)
}

// RolloutNews is what the instance that gives orders is doing.
type RolloutNews struct {
	Holder  string       `cbor:"4,keyasint"` // the instance
	Stamp   RolloutStamp `cbor:"1,keyasint"`
	Closing []string     `cbor:"2,keyasint,omitempty"` // ids of targets that shall get no new requests
	Arrived []Arrival    `cbor:"3,keyasint,omitempty"` // targets with new weights
}

// Arrival is a target that was seen to serve new weights.
type Arrival struct {
	Target string               `cbor:"1,keyasint"`
	Serves catalog.ModelVersion `cbor:"2,keyasint"`
}

// Hello probes a peer and carries news of members both ways.
type Hello struct {
	From    member.Member   `cbor:"1,keyasint"`
	Updates []member.Member `cbor:"2,keyasint"`
	Have    Have            `cbor:"3,keyasint"`
	Join    bool            `cbor:"4,keyasint,omitempty"` // answer with all members
	Need    bool            `cbor:"5,keyasint,omitempty"` // answer with what is newer than Have
	Known   Known           `cbor:"6,keyasint"`
	Alone   bool            `cbor:"7,keyasint,omitempty"` // the object store does not answer the sender
	Members int             `cbor:"8,keyasint,omitempty"` // live members that the sender knows
	Leaving Leavers         `cbor:"9,keyasint,omitempty"`
}

// Known is up to where an instance's beliefs are complete.
type Known struct {
	Config   uint64           `cbor:"1,keyasint"`
	Targets  platform.Version `cbor:"2,keyasint"`
	Versions platform.Version `cbor:"3,keyasint"`
	Rollout  RolloutStamp     `cbor:"4,keyasint"`
	// Evacuations is up to where the evacuated zones are.
	Evacuations platform.Version `cbor:"5,keyasint,omitempty"`
}

// Welcome is the answer to a Hello.
type Welcome struct {
	From    member.Member      `cbor:"1,keyasint"`
	Updates []member.Member    `cbor:"2,keyasint"`
	Have    Have               `cbor:"3,keyasint"`
	News    *News              `cbor:"4,keyasint,omitempty"`
	Ages    []NamedAge         `cbor:"5,keyasint,omitempty"` // to one that joins
	Members int                `cbor:"6,keyasint,omitempty"` // live members that the sender knows
	Fresh   []staleness.Report `cbor:"7,keyasint,omitempty"`
	// Suspects is the sender's quarantine.Book.Digest.
	Suspects uint64  `cbor:"8,keyasint,omitempty"`
	Leaving  Leavers `cbor:"9,keyasint,omitempty"`
}

// NamedAge is how long ago a weight version was named, by the teller's own clock.
type NamedAge struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	MS      int64  `cbor:"3,keyasint"`
}

// News is what a peer believes, as far as it is newer than what the asker has.
type News struct {
	Config   []byte                 `cbor:"1,keyasint,omitempty"` // as stored
	Listed   bool                   `cbor:"2,keyasint,omitempty"` // Targets are all there are, else those that changed
	Targets  []catalog.Target       `cbor:"3,keyasint,omitempty"`
	Revision platform.Version       `cbor:"4,keyasint,omitempty"` // of Targets
	Versions []catalog.ModelVersion `cbor:"5,keyasint,omitempty"`
	NamedAt  platform.Version       `cbor:"6,keyasint,omitempty"` // up to which Versions are complete
	NamedIn  platform.Version       `cbor:"7,keyasint,omitempty"` // of their last change
	Rollout  *RolloutNews           `cbor:"8,keyasint,omitempty"`
	Gone     []string               `cbor:"9,keyasint,omitempty"` // names of targets that are no more; with Listed, of those among Targets that may return
	// AskStore says that the teller does not know all that vanished since the asker's
	// list, which is long: the asker shall take the changes from the object store.
	AskStore bool `cbor:"10,keyasint,omitempty"`
	// Evacuated are the evacuated zones, all of them, as of EvacuatedAt; their last change
	// was at EvacuatedIn. 0: they are not told.
	Evacuated   []string         `cbor:"11,keyasint,omitempty"`
	EvacuatedAt platform.Version `cbor:"12,keyasint,omitempty"`
	EvacuatedIn platform.Version `cbor:"13,keyasint,omitempty"`
}

// have says how new the beliefs are.
func (c *control) have() Have {
	return Have{Config: c.configInForce().Version, Targets: c.targets.LastChange(), Versions: c.namedIn, Rollout: c.rollout.Stamp, Newest: c.newestConfig(), Evacuations: c.evacuated.LastChange()}
}

// known says up to where they are complete.
func (c *control) known() Known {
	return Known{Config: c.configInForce().Version, Targets: c.targets.Revision(), Versions: c.namedAt, Rollout: c.rollout.Stamp, Evacuations: c.evacuated.Revision()}
}

// lacks says whether a peer has news that are missing here. A long configuration is none.
func (k Known) lacks(h Have) bool {
	return h.Config > k.Config && !h.Newest.long() || h.Targets > k.Targets || h.Versions > k.Versions || h.Rollout.after(k.Rollout) || h.Evacuations > k.Evacuations
}

// longList is the longest list of targets that a peer hands over whole to one that can ask
// the object store as well: 35 kB, which treeFan instances that ask at once get within
// 0.35 s over 10 Mbit/s. After an outage of the store, and after lost history, all ask.
const longList = 400

// newsFor collects what is newer here; nil if nothing is. alone says that the asker
// can't ask the object store.
func (c *control) newsFor(k Known, alone bool) *News {
	mine := c.have()
	if !k.lacks(mine) {
		return nil
	}
	n := &News{}
	if mine.Config > k.Config && !c.configInForce().long() {
		n.Config = c.raw
	}
	if c.targets.Listed() && mine.Targets > k.Targets {
		n.Revision = c.targets.Revision()
		n.Targets, n.Gone, n.Listed = c.targets.ChangesSince(k.Targets)
		if n.Listed && !alone && len(n.Targets) > longList {
			*n = News{Config: n.Config, AskStore: true}
		}
	}
	if mine.Versions > k.Versions {
		for m, v := range c.named {
			n.Versions = append(n.Versions, catalog.ModelVersion{Model: m, Version: v.Version})
		}
		n.NamedAt, n.NamedIn = c.namedAt, mine.Versions
	}
	if mine.Evacuations > k.Evacuations {
		n.Evacuated, n.EvacuatedAt, n.EvacuatedIn = c.evacuated.Names(), max(c.evacuated.Revision(), mine.Evacuations), mine.Evacuations
	}
	if mine.Rollout.after(k.Rollout) {
		news := c.rollout
		n.Rollout = &news
	}
	return n
}

// takeNews takes a peer's beliefs as far as they are newer.
func (g *Gateway) takeNews(n *News) {
	if n.Config != nil {
		g.readConfig(n.Config, fromPeer)
	}
	if n.AskStore {
		g.storeDue.Raise()
	}
	for i := range n.Targets {
		n.Targets[i] = n.Targets[i].WithID()
	}
	switch {
	case n.Listed:
		g.send(targetsListed{revision: n.Revision, targets: n.Targets, vanished: n.Gone, from: fromPeer})
	case n.Revision > 0:
		g.send(targetsChanged{revision: n.Revision, present: n.Targets, gone: n.Gone})
	}
	if n.NamedAt > 0 {
		g.send(versionsNamed{revision: n.NamedAt, changed: n.NamedIn, versions: n.Versions, from: fromPeer})
	}
	if n.EvacuatedAt > 0 {
		g.send(zonesListed{at: n.EvacuatedAt, changed: n.EvacuatedIn, zones: n.Evacuated, from: fromPeer})
	}
	if n.Rollout != nil {
		g.send(rolloutHeard{news: *n.Rollout})
	}
}

// catchUp takes a peer's news, unless the store tells them within the moment
// that this usually takes. One call at a time is enough; what is heard of meanwhile
// is looked after behind it.
func (g *Gateway) catchUp(from member.Member, have Have) {
	g.newer.Store(&newerPeer{from: from, have: have})
	for g.newer.Load() != nil && g.catching.CompareAndSwap(false, true) {
		for p := g.newer.Swap(nil); p != nil; p = g.newer.Swap(nil) {
			wait.For(g.ctx, catchUpDelay)
			g.catchUpOnce(*p)
		}
		g.catching.Store(false)
	}
}

// newerPeer is a peer that knows more than this instance.
type newerPeer struct {
	from member.Member
	have Have
}

// catchUpOnce takes the news of one peer, unless they came from elsewhere meanwhile.
func (g *Gateway) catchUpOnce(p newerPeer) {
	var hello *Hello
	g.query(func(c *control) {
		if c.known().lacks(p.have) {
			hello = c.greetingTo(p.from.Name, true)
		}
	})
	if hello == nil {
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, peerTimeout)
	defer cancel()
	var reply Welcome
	asked := g.now()
	err := g.pool.Call(ctx, p.from.Address, peerService+".Hello", hello, &reply)
	entry := g.log.WithField("peer", p.from.Name).WithField("took_ms", g.now().Sub(asked).Milliseconds())
	if err != nil {
		metric.UpdatesFailed.Inc()
		entry.WithError(err).WithField("config", hello.Have.Config).WithField("peer_config", p.have.Config).Warn("news not had")
		return
	}
	g.send(leaversTold{lives: reply.Leaving, from: reply.From})
	if n := reply.News; n != nil {
		entry.WithField("config_bytes", len(n.Config)).WithField("targets", len(n.Targets)+len(n.Gone)).WithField("all", n.Listed).
			WithField("ask_store", n.AskStore).WithField("versions", len(n.Versions)).WithField("rollout", n.Rollout != nil).Info("news taken from a peer")
		g.takeNews(n)
	}
}

// spreadGap is the least time between two rounds of telling peers of changes: in a
// storm of changes they are told of several at once.
const spreadGap = controlTick

// pendingNews is what this instance has still to tell its peers.
type pendingNews struct {
	changed bool
	first   bool      // this instance is among the first to know
	roles   bool      // it left the watchers, or came back to them
	at      time.Time // of the last round
}

// newsMark is the state that a change is measured against.
type newsMark struct {
	have              Have
	heard             uint64 // newest version of a configuration that a peer spoke of
	leaving           leavingWords
	attached, watcher bool
}

func (c *control) newsMark() newsMark {
	return newsMark{have: c.have(), heard: c.heard.Version, leaving: c.leaving, attached: c.storeOK, watcher: c.fleet.watcher}
}

// noteNews notes what has to be told of a change. A watcher that the store left, or
// found again, tells that too: another must take its place.
func (c *control) noteNews(v *View, old newsMark) {
	now := c.have()
	watcher := v.Watcher || old.watcher
	n := &c.news
	n.roles = n.roles || watcher && c.storeOK != old.attached
	changed := now != old.have || c.leaving.heard != old.leaving.heard
	n.first = n.first || watcher || c.leaving.own != old.leaving.own || changed && c.now().Before(c.firstHand) || now.Rollout != old.have.Rollout && c.ownNews
	n.changed = n.changed || changed
}

// spreadNews tells peers what changed. In a small fleet those that hear of changes
// first tell all the others. In a large one they tell the tops of the tree, and each
// instance the ones that it serves there; who is missed, since another is down, learns it
// from the next probe.
func (g *Gateway) spreadNews(c *control, v *View) {
	n, now := c.news, c.now()
	if !n.changed && !n.roles || now.Sub(n.at) < spreadGap || g.ctx.Err() != nil {
		return
	}
	c.news = pendingNews{at: now}
	var to []member.Member
	switch {
	case n.roles || n.first && v.Tree.small:
		to = c.members.Sample(spreadTo)
	case n.first:
		to = append(v.Tree.topsElsewhere(), v.Tree.children()...)
	default:
		to = v.Tree.children()
	}
	if len(to) == 0 {
		return
	}
	hello := c.greeting(false)
	for _, m := range to {
		g.start(func() { g.hello(member.Probe{To: m.Name, Address: m.Address}, hello) })
	}
}
