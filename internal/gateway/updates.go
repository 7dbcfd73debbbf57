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

// StateVersions says how new an instance's beliefs are. Of a list it tells the revision
// of its last change: whoever knows all up to that revision has missed nothing.
type StateVersions struct {
	Config        uint64           `cbor:"1,keyasint"` // version
	Targets       platform.Version `cbor:"2,keyasint"` // last change of the targets
	NamedVersions platform.Version `cbor:"3,keyasint"` // last change of the named versions
	Rollout       RolloutStamp     `cbor:"4,keyasint"`
	NewestConfig  ConfigRef        `cbor:"5,keyasint"` // the newest configuration heard of, in force at the teller or not
	// Evacuations is the last change of the evacuated zones.
	Evacuations platform.Version `cbor:"6,keyasint,omitempty"`
}

// RolloutStamp orders the news of rollouts: a later holder's token is higher.
type RolloutStamp struct {
	Token uint64 `cbor:"1,keyasint"`
	Seq   uint64 `cbor:"2,keyasint"`
}

// newerThan says whether s is newer than o.
func (s RolloutStamp) newerThan(o RolloutStamp) bool {
	return s.Token > o.Token || (s.Token == o.Token && s.Seq > o.Seq)
}

// RolloutUpdate is what the instance that gives orders is doing.
type RolloutUpdate struct {
	Holder   string         `cbor:"4,keyasint"` // the instance
	Stamp    RolloutStamp   `cbor:"1,keyasint"`
	Cordoned []string       `cbor:"2,keyasint,omitempty"` // ids of targets that shall get no new requests
	Loaded   []LoadedTarget `cbor:"3,keyasint,omitempty"` // targets with new weights
}

// LoadedTarget is a target that was seen to serve new weights.
type LoadedTarget struct {
	Target string               `cbor:"1,keyasint"`
	Serves catalog.ModelVersion `cbor:"2,keyasint"`
}

// HelloRequest probes a peer and carries news of members both ways.
type HelloRequest struct {
	From             member.Member   `cbor:"1,keyasint"`
	Members          []member.Member `cbor:"2,keyasint"`
	StateVersions    StateVersions   `cbor:"3,keyasint"`
	Join             bool            `cbor:"4,keyasint,omitempty"` // answer with all members
	WantUpdate       bool            `cbor:"5,keyasint,omitempty"` // answer with what is newer than Have
	KnownVersions    KnownVersions   `cbor:"6,keyasint"`
	StoreUnreachable bool            `cbor:"7,keyasint,omitempty"` // the object store does not answer the sender
	LiveMembers      int             `cbor:"8,keyasint,omitempty"` // live members that the sender knows
	Leaving          LeavingTargets  `cbor:"9,keyasint,omitempty"`
}

// KnownVersions is up to where an instance's beliefs are complete.
type KnownVersions struct {
	Config        uint64           `cbor:"1,keyasint"`
	Targets       platform.Version `cbor:"2,keyasint"`
	NamedVersions platform.Version `cbor:"3,keyasint"`
	Rollout       RolloutStamp     `cbor:"4,keyasint"`
	// Evacuations is up to where the evacuated zones are.
	Evacuations platform.Version `cbor:"5,keyasint,omitempty"`
}

// HelloReply is the answer to a Hello.
type HelloReply struct {
	From          member.Member      `cbor:"1,keyasint"`
	Members       []member.Member    `cbor:"2,keyasint"`
	StateVersions StateVersions      `cbor:"3,keyasint"`
	Update        *StateUpdate       `cbor:"4,keyasint,omitempty"`
	VersionAges   []VersionAge       `cbor:"5,keyasint,omitempty"` // to one that joins
	LiveMembers   int                `cbor:"6,keyasint,omitempty"` // live members that the sender knows
	Staleness     []staleness.Report `cbor:"7,keyasint,omitempty"`
	// SuspectsDigest is the sender's quarantine.Book.Digest.
	SuspectsDigest uint64         `cbor:"8,keyasint,omitempty"`
	Leaving        LeavingTargets `cbor:"9,keyasint,omitempty"`
}

// VersionAge is how long ago a weight version was named, by the teller's own clock.
type VersionAge struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	AgeMS   int64  `cbor:"3,keyasint"`
}

// Update is what a peer believes, as far as it is newer than what the asker has.
type StateUpdate struct {
	Config          []byte                 `cbor:"1,keyasint,omitempty"` // as stored
	AllTargets      bool                   `cbor:"2,keyasint,omitempty"` // Targets are all there are, else those that changed
	Targets         []catalog.Target       `cbor:"3,keyasint,omitempty"`
	TargetsRevision platform.Version       `cbor:"4,keyasint,omitempty"` // of Targets
	NamedVersions   []catalog.ModelVersion `cbor:"5,keyasint,omitempty"`
	NamedRevision   platform.Version       `cbor:"6,keyasint,omitempty"` // up to which Versions are complete
	NamedChanged    platform.Version       `cbor:"7,keyasint,omitempty"` // of their last change
	Rollout         *RolloutUpdate         `cbor:"8,keyasint,omitempty"`
	GoneTargets     []string               `cbor:"9,keyasint,omitempty"` // names of targets that are no more; with Listed, of those among Targets that may return
	// ReadStore says that the teller does not know all that vanished since the asker's
	// list, which is long: the asker shall take the changes from the object store.
	ReadStore bool `cbor:"10,keyasint,omitempty"`
	// EvacuatedZones are the evacuated zones, all of them, as of EvacuationsRevision; their last change
	// was at EvacuationsChanged. 0: they are not told.
	EvacuatedZones      []string         `cbor:"11,keyasint,omitempty"`
	EvacuationsRevision platform.Version `cbor:"12,keyasint,omitempty"`
	EvacuationsChanged  platform.Version `cbor:"13,keyasint,omitempty"`
}

// versions says how new the beliefs are.
func (c *controlState) stateVersions() StateVersions {
	return StateVersions{Config: c.configInForce().Version, Targets: c.targets.LastChange(), NamedVersions: c.namedChanged, Rollout: c.rollout.Stamp, NewestConfig: c.newestConfig(), Evacuations: c.evacuated.LastChange()}
}

// knownVersions says up to where they are complete.
func (c *controlState) knownVersions() KnownVersions {
	return KnownVersions{Config: c.configInForce().Version, Targets: c.targets.Revision(), NamedVersions: c.namedRevision, Rollout: c.rollout.Stamp, Evacuations: c.evacuated.Revision()}
}

// isBehind says whether a peer has news that are missing here. A long configuration is none.
func (k KnownVersions) isBehind(h StateVersions) bool {
	return h.Config > k.Config && !h.NewestConfig.isLarge() || h.Targets > k.Targets || h.NamedVersions > k.NamedVersions || h.Rollout.newerThan(k.Rollout) || h.Evacuations > k.Evacuations
}

// maxRelayedTargets is the longest list of targets that a peer hands over whole to one that can ask
// the object store as well: 35 kB, which treeFanout instances that ask at once get within
// 0.35 s over 10 Mbit/s. After an outage of the store, and after lost history, all ask.
const maxRelayedTargets = 400

// updateFor collects what is newer here; nil if nothing is. alone says that the asker
// can't ask the object store.
func (c *controlState) updateFor(k KnownVersions, alone bool) *StateUpdate {
	mine := c.stateVersions()
	if !k.isBehind(mine) {
		return nil
	}
	n := &StateUpdate{}
	if mine.Config > k.Config && !c.configInForce().isLarge() {
		n.Config = c.rawConfig
	}
	if c.targets.Listed() && mine.Targets > k.Targets {
		n.TargetsRevision = c.targets.Revision()
		n.Targets, n.GoneTargets, n.AllTargets = c.targets.ChangesSince(k.Targets)
		if n.AllTargets && !alone && len(n.Targets) > maxRelayedTargets {
			*n = StateUpdate{Config: n.Config, ReadStore: true}
		}
	}
	if mine.NamedVersions > k.NamedVersions {
		for m, v := range c.named {
			n.NamedVersions = append(n.NamedVersions, catalog.ModelVersion{Model: m, Version: v.Newest})
		}
		n.NamedRevision, n.NamedChanged = c.namedRevision, mine.NamedVersions
	}
	if mine.Evacuations > k.Evacuations {
		n.EvacuatedZones, n.EvacuationsRevision, n.EvacuationsChanged = c.evacuated.Names(), max(c.evacuated.Revision(), mine.Evacuations), mine.Evacuations
	}
	if mine.Rollout.newerThan(k.Rollout) {
		news := c.rollout
		n.Rollout = &news
	}
	return n
}

// applyDelayed takes a peer's beliefs as far as they are newer.
func (g *Gateway) applyUpdate(n *StateUpdate) {
	if n.Config != nil {
		g.applyConfig(n.Config, fromPeer)
	}
	if n.ReadStore {
		g.targetsDue.Raise()
	}
	for i := range n.Targets {
		n.Targets[i] = n.Targets[i].WithID()
	}
	switch {
	case n.AllTargets:
		g.sendEvent(targetsListed{revision: n.TargetsRevision, targets: n.Targets, vanished: n.GoneTargets, from: fromPeer})
	case n.TargetsRevision > 0:
		g.sendEvent(targetsChanged{revision: n.TargetsRevision, present: n.Targets, gone: n.GoneTargets})
	}
	if n.NamedRevision > 0 {
		g.sendEvent(versionsNamed{revision: n.NamedRevision, changed: n.NamedChanged, versions: n.NamedVersions, from: fromPeer})
	}
	if n.EvacuationsRevision > 0 {
		g.sendEvent(evacuationsListed{revision: n.EvacuationsRevision, changed: n.EvacuationsChanged, zones: n.EvacuatedZones, from: fromPeer})
	}
	if n.Rollout != nil {
		g.sendEvent(rolloutReceived{update: *n.Rollout})
	}
}

// catchUp takes a peer's news, unless the store tells them within the moment
// that this usually takes. One call at a time is enough; what is heard of meanwhile
// is looked after behind it.
func (g *Gateway) catchUp(from member.Member, have StateVersions) {
	g.aheadPeer.Store(&aheadPeer{member: from, versions: have})
	for g.aheadPeer.Load() != nil && g.catchingUp.CompareAndSwap(false, true) {
		for p := g.aheadPeer.Swap(nil); p != nil; p = g.aheadPeer.Swap(nil) {
			wait.For(g.ctx, catchUpDelay)
			g.catchUpOnce(*p)
		}
		g.catchingUp.Store(false)
	}
}

// aheadPeer is a peer that knows more than this instance.
type aheadPeer struct {
	member   member.Member
	versions StateVersions
}

// catchUpOnce takes the news of one peer, unless they came from elsewhere meanwhile.
func (g *Gateway) catchUpOnce(p aheadPeer) {
	var hello *HelloRequest
	g.queryControl(func(c *controlState) {
		if c.knownVersions().isBehind(p.versions) {
			hello = c.newHelloTo(p.member.Name, true)
		}
	})
	if hello == nil {
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, peerTimeout)
	defer cancel()
	var reply HelloReply
	asked := g.now()
	err := g.pool.Call(ctx, p.member.Address, peerService+".Hello", hello, &reply)
	entry := g.log.WithField("peer", p.member.Name).WithField("took_ms", g.now().Sub(asked).Milliseconds())
	if err != nil {
		metric.UpdatesFailed.Inc()
		entry.WithError(err).WithField("config", hello.StateVersions.Config).WithField("peer_config", p.versions.Config).Warn("news not had")
		return
	}
	g.sendEvent(leavingReceived{targets: reply.Leaving, from: reply.From})
	if n := reply.Update; n != nil {
		entry.WithField("config_bytes", len(n.Config)).WithField("targets", len(n.Targets)+len(n.GoneTargets)).WithField("all", n.AllTargets).
			WithField("ask_store", n.ReadStore).WithField("versions", len(n.NamedVersions)).WithField("rollout", n.Rollout != nil).Info("news taken from a peer")
		g.applyUpdate(n)
	}
}

// gossipInterval is the least time between two rounds of telling peers of changes: in a
// storm of changes they are told of several at once.
const gossipInterval = controlTick

// pendingUpdates is what this instance has still to tell its peers.
type pendingUpdates struct {
	changed     bool
	firstSource bool      // this instance is among the first to know
	roleChanged bool      // it left the watchers, or came back to them
	lastRound   time.Time // of the last round
}

// updateMark is the state that a change is measured against.
type updateMark struct {
	versions                StateVersions
	reportedConfig          uint64 // newest version of a configuration that a peer spoke of
	leavingReports          leavingReports
	storeReachable, watcher bool
}

func (c *controlState) updateMark() updateMark {
	return updateMark{versions: c.stateVersions(), reportedConfig: c.reportedConfig.Version, leavingReports: c.leavingReports, storeReachable: c.storeReachable, watcher: c.fleet.watcher}
}

// noteUpdates notes what has to be told of a change. A watcher that the store left, or
// found again, tells that too: another must take its place.
func (c *controlState) noteUpdates(v *View, old updateMark) {
	now := c.stateVersions()
	watcher := v.IsWatcher || old.watcher
	n := &c.pendingUpdates
	n.roleChanged = n.roleChanged || watcher && c.storeReachable != old.storeReachable
	changed := now != old.versions || c.leavingReports.received != old.leavingReports.received
	n.firstSource = n.firstSource || watcher || c.leavingReports.observed != old.leavingReports.observed || changed && c.now().Before(c.firstSourceUntil) || now.Rollout != old.versions.Rollout && c.rolloutIsOwn
	n.changed = n.changed || changed
}

// spreadUpdates tells peers what changed. In a small fleet those that hear of changes
// first tell all the others. In a large one they tell the tops of the tree, and each
// instance the ones that it serves there; who is missed, since another is down, learns it
// from the next probe.
func (g *Gateway) spreadUpdates(c *controlState, v *View) {
	n, now := c.pendingUpdates, c.now()
	if !n.changed && !n.roleChanged || now.Sub(n.lastRound) < gossipInterval || g.ctx.Err() != nil {
		return
	}
	c.pendingUpdates = pendingUpdates{lastRound: now}
	var to []member.Member
	switch {
	case n.roleChanged || n.firstSource && v.Tree.small:
		to = c.members.Sample(gossipFanout)
	case n.firstSource:
		to = append(v.Tree.otherTops(), v.Tree.children()...)
	default:
		to = v.Tree.children()
	}
	if len(to) == 0 {
		return
	}
	hello := c.newHello(false)
	for _, m := range to {
		g.spawn(func() { g.sendHello(member.Probe{To: m.Name, Address: m.Address}, hello) })
	}
}
