package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/rollout"
	"github.com/shedhoist/shedhoist/internal/core/staleness"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/platform"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// StateVersions describes how recent an instance's state is. For a list it holds the
// revision of the last change: an instance that knows everything up to that revision has
// missed nothing.
type StateVersions struct {
	Config        uint64           `cbor:"1,keyasint"` // version
	Targets       platform.Version `cbor:"2,keyasint"` // last change of the targets
	NamedVersions platform.Version `cbor:"3,keyasint"` // last change of the named versions
	Rollout       RolloutStamp     `cbor:"4,keyasint"`
	NewestConfig  ConfigRef        `cbor:"5,keyasint"` // newest configuration known by reference, even if not in force at the sender
	// Evacuations is the revision of the last change of the evacuated zones.
	Evacuations platform.Version `cbor:"6,keyasint,omitempty"`
}

// RolloutStamp orders rollout updates: a later lease holder has a higher token.
type RolloutStamp struct {
	Token uint64 `cbor:"1,keyasint"`
	Seq   uint64 `cbor:"2,keyasint"`
}

// newerThan reports whether s is newer than o.
func (s RolloutStamp) newerThan(o RolloutStamp) bool {
	return s.Token > o.Token || (s.Token == o.Token && s.Seq > o.Seq)
}

// RolloutUpdate describes the current work of the instance that holds the rollout lease.
type RolloutUpdate struct {
	Holder   string         `cbor:"4,keyasint"` // name of the instance
	Stamp    RolloutStamp   `cbor:"1,keyasint"`
	Cordoned []string       `cbor:"2,keyasint,omitempty"` // ids of targets that must get no new requests
	Loaded   []LoadedTarget `cbor:"3,keyasint,omitempty"` // targets with new weights
	// Closing are the ids of targets that are cordoned next. Instances of earlier releases
	// ignore it, and don't pass it on.
	Closing []string `cbor:"5,keyasint,omitempty"`
	// Ordered are the ids of targets that are no longer cordoned, and to which the holder sent an order
	// within the lease gap.
	Ordered []string `cbor:"6,keyasint,omitempty"`
	// Guarded are the targets to which holders before this one sent orders within the lease gap. In the
	// first GuardAllMS it may be any.
	Guarded    []GuardedTarget `cbor:"7,keyasint,omitempty"`
	GuardAllMS int64           `cbor:"8,keyasint,omitempty"`
	// Process and Notices: see rollout.HolderReport.
	Process uint64 `cbor:"9,keyasint,omitempty"`
	Notices uint64 `cbor:"10,keyasint,omitempty"`
}

// GuardedTarget is a target that must not get orders of another holder.
type GuardedTarget struct {
	Target string `cbor:"1,keyasint"`
	ForMS  int64  `cbor:"2,keyasint"` // from when the update is sent
}

// report returns what the update, received at some time, tells a next holder of the lease.
func (u RolloutUpdate) report(receivedAt time.Time) rollout.HolderReport {
	out := rollout.HolderReport{Holder: u.Holder, Process: u.Process, Notices: u.Notices, Targets: slices.Concat(u.Cordoned, u.Ordered), ReceivedAt: receivedAt, GuardAll: time.Duration(u.GuardAllMS) * time.Millisecond}
	for _, a := range u.Loaded {
		out.Targets = append(out.Targets, a.Target)
	}
	for _, t := range u.Guarded {
		out.Guarded = append(out.Guarded, rollout.GuardedTime{Target: t.Target, For: time.Duration(t.ForMS) * time.Millisecond})
	}
	return out
}

// LoadedTarget is a target that has been observed to serve new weights.
type LoadedTarget struct {
	Target string               `cbor:"1,keyasint"`
	Serves catalog.ModelVersion `cbor:"2,keyasint"`
}

// HelloRequest probes a peer. Request and reply carry membership updates.
type HelloRequest struct {
	From             member.Member   `cbor:"1,keyasint"`
	Members          []member.Member `cbor:"2,keyasint"`
	StateVersions    StateVersions   `cbor:"3,keyasint"`
	Join             bool            `cbor:"4,keyasint,omitempty"` // reply with all members
	WantUpdate       bool            `cbor:"5,keyasint,omitempty"` // reply with what is newer than KnownVersions
	KnownVersions    KnownVersions   `cbor:"6,keyasint"`
	StoreUnreachable bool            `cbor:"7,keyasint,omitempty"` // the sender can't reach the object store
	LiveMembers      int             `cbor:"8,keyasint,omitempty"` // number of live members that the sender knows
	Leaving          LeavingTargets  `cbor:"9,keyasint,omitempty"`
	WantVersionAges  bool            `cbor:"10,keyasint,omitempty"` // reply with the ages of named versions
}

// KnownVersions holds the versions up to which an instance's state is complete.
type KnownVersions struct {
	Config        uint64           `cbor:"1,keyasint"`
	Targets       platform.Version `cbor:"2,keyasint"`
	NamedVersions platform.Version `cbor:"3,keyasint"`
	Rollout       RolloutStamp     `cbor:"4,keyasint"`
	// Evacuations is the revision up to which the evacuated zones are complete.
	Evacuations platform.Version `cbor:"5,keyasint,omitempty"`
}

// HelloReply is the reply to a HelloRequest.
type HelloReply struct {
	From          member.Member      `cbor:"1,keyasint"`
	Members       []member.Member    `cbor:"2,keyasint"`
	StateVersions StateVersions      `cbor:"3,keyasint"`
	Update        *StateUpdate       `cbor:"4,keyasint,omitempty"`
	VersionAges   []VersionAge       `cbor:"5,keyasint,omitempty"` // if the request wants them, or joins
	LiveMembers   int                `cbor:"6,keyasint,omitempty"` // number of live members that the sender knows
	Staleness     []staleness.Report `cbor:"7,keyasint,omitempty"`
	// SuspectsDigest is the sender's quarantine.Book.Digest.
	SuspectsDigest uint64         `cbor:"8,keyasint,omitempty"`
	Leaving        LeavingTargets `cbor:"9,keyasint,omitempty"`
	Limits         []LimitReport  `cbor:"10,keyasint,omitempty"` // of some targets, and those that ended lately
	// UnknownVersions is in the reply with VersionAges.
	UnknownVersions []UnknownVersions `cbor:"11,keyasint,omitempty"`
}

// versionAges returns the event that the reply's ages were received.
func (r *HelloReply) versionAges() versionAgesReceived {
	return versionAgesReceived{ages: r.VersionAges, unknown: r.UnknownVersions, from: r.From}
}

// VersionAge is how long ago a weight version was named, by the sender's own clock.
type VersionAge struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	AgeMS   int64  `cbor:"3,keyasint"`
}

// UnknownVersions says for how long the versions of a model count as replaced of which the sender doesn't know
// when they were.
type UnknownVersions struct {
	Model string `cbor:"1,keyasint"`
	AgeMS int64  `cbor:"2,keyasint"`
}

// StateUpdate holds the parts of a peer's state that are newer than the requester's.
type StateUpdate struct {
	Config          []byte                 `cbor:"1,keyasint,omitempty"` // as stored
	AllTargets      bool                   `cbor:"2,keyasint,omitempty"` // Targets holds all targets, otherwise only those that changed
	Targets         []catalog.Target       `cbor:"3,keyasint,omitempty"`
	TargetsRevision platform.Version       `cbor:"4,keyasint,omitempty"` // revision of Targets
	NamedVersions   []catalog.ModelVersion `cbor:"5,keyasint,omitempty"`
	NamedRevision   platform.Version       `cbor:"6,keyasint,omitempty"` // revision up to which NamedVersions is complete
	NamedChanged    platform.Version       `cbor:"7,keyasint,omitempty"` // revision of their last change
	Rollout         *RolloutUpdate         `cbor:"8,keyasint,omitempty"`
	GoneTargets     []string               `cbor:"9,keyasint,omitempty"` // names of removed targets; with AllTargets, names among Targets that vanished and may return
	// ReadStore tells the requester to read the changes from the object store: the sender
	// no longer knows all targets that were removed since the requester's revision, and the
	// complete list is too long to send.
	ReadStore bool `cbor:"10,keyasint,omitempty"`
	// EvacuatedZones holds all evacuated zones as of EvacuationsRevision. Their last change
	// was at EvacuationsChanged. If the revisions are 0, the update does not contain them.
	EvacuatedZones      []string         `cbor:"11,keyasint,omitempty"`
	EvacuationsRevision platform.Version `cbor:"12,keyasint,omitempty"`
	EvacuationsChanged  platform.Version `cbor:"13,keyasint,omitempty"`
}

// stateVersions returns how recent this instance's state is.
func (c *controlState) stateVersions() StateVersions {
	return StateVersions{Config: c.configInForce().Version, Targets: c.targets.LastChange(), NamedVersions: c.namedChanged, Rollout: c.rollout.Stamp, NewestConfig: c.newestConfig(), Evacuations: c.evacuated.LastChange()}
}

// knownVersions returns the versions up to which the state is complete.
func (c *controlState) knownVersions() KnownVersions {
	return KnownVersions{Config: c.configInForce().Version, Targets: c.targets.Revision(), NamedVersions: c.namedRevision, Rollout: c.rollout.Stamp, Evacuations: c.evacuated.Revision()}
}

// isBehind reports whether a peer has updates that are missing here. A large configuration
// does not count, since peers do not include it in updates.
func (k KnownVersions) isBehind(peer StateVersions) bool {
	return peer.Config > k.Config && !peer.NewestConfig.isLarge() || peer.Targets > k.Targets || peer.NamedVersions > k.NamedVersions || peer.Rollout.newerThan(k.Rollout) || peer.Evacuations > k.Evacuations
}

// maxRelayedTargets is the longest complete list of targets that is sent to a peer that can
// also read the object store. It takes 35 kB, which treeFanout instances that request it at
// the same time receive within 0.35 s over 10 Mbit/s. After an outage of the store, and
// after its history is lost, all instances request it.
const maxRelayedTargets = 400

// updateFor returns what is newer here than at a peer, or nil if nothing is.
// storeUnreachable means that the peer can't read the object store itself.
func (c *controlState) updateFor(known KnownVersions, storeUnreachable bool) *StateUpdate {
	own := c.stateVersions()
	if !known.isBehind(own) {
		return nil
	}
	update := &StateUpdate{}
	if own.Config > known.Config && !c.configInForce().isLarge() {
		update.Config = c.rawConfig
	}
	if c.targets.Listed() && own.Targets > known.Targets {
		update.TargetsRevision = c.targets.Revision()
		update.Targets, update.GoneTargets, update.AllTargets = c.targets.ChangesSince(known.Targets)
		if update.AllTargets && !storeUnreachable && len(update.Targets) > maxRelayedTargets {
			*update = StateUpdate{Config: update.Config, ReadStore: true}
		}
	}
	if own.NamedVersions > known.NamedVersions {
		for m, v := range c.named {
			update.NamedVersions = append(update.NamedVersions, catalog.ModelVersion{Model: m, Version: v.Newest})
		}
		update.NamedRevision, update.NamedChanged = c.namedRevision, own.NamedVersions
	}
	if own.Evacuations > known.Evacuations {
		update.EvacuatedZones, update.EvacuationsRevision, update.EvacuationsChanged = c.evacuated.Names(), max(c.evacuated.Revision(), own.Evacuations), own.Evacuations
	}
	if own.Rollout.newerThan(known.Rollout) {
		rollout := c.rollout
		update.Rollout = &rollout
	}
	return update
}

// applyUpdate applies the parts of a peer's state that are newer.
func (g *Gateway) applyUpdate(update *StateUpdate) {
	if update.Config != nil {
		g.applyConfig(update.Config, fromPeer)
	}
	if update.ReadStore {
		g.targetsDue.Raise()
	}
	for i := range update.Targets {
		update.Targets[i] = update.Targets[i].WithID()
	}
	switch {
	case update.AllTargets:
		g.sendEvent(targetsListed{revision: update.TargetsRevision, targets: update.Targets, vanished: update.GoneTargets, from: fromPeer})
	case update.TargetsRevision > 0:
		g.sendEvent(targetsChanged{revision: update.TargetsRevision, present: update.Targets, gone: update.GoneTargets})
	}
	if update.NamedRevision > 0 {
		g.sendEvent(versionsNamed{revision: update.NamedRevision, changed: update.NamedChanged, versions: update.NamedVersions, from: fromPeer})
	}
	if update.EvacuationsRevision > 0 {
		g.sendEvent(evacuationsListed{revision: update.EvacuationsRevision, changed: update.EvacuationsChanged, zones: update.EvacuatedZones, from: fromPeer})
	}
	if update.Rollout != nil {
		g.sendEvent(rolloutReceived{update: *update.Rollout})
	}
}

// catchUp requests a peer's updates unless the store delivers them within catchUpDelay.
// Only one call runs at a time; it also handles the newest peer that is reported to be
// ahead meanwhile.
func (g *Gateway) catchUp(from member.Member, versions StateVersions) {
	g.aheadPeer.Store(&aheadPeer{member: from, versions: versions})
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

// catchUpOnce requests the updates of one peer, unless they arrived from elsewhere.
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
	sentAt := g.now()
	err := g.pool.Call(ctx, p.member.Address, peerService+".Hello", hello, &reply)
	entry := g.log.WithField("peer", p.member.Name).WithField("took_ms", g.now().Sub(sentAt).Milliseconds())
	if err != nil {
		metric.UpdatesFailed.Inc()
		entry.WithError(err).WithField("config", hello.StateVersions.Config).WithField("peer_config", p.versions.Config).Warn("news not had")
		return
	}
	g.sendEvent(leavingReceived{targets: reply.Leaving, from: reply.From})
	g.sendEvent(reply.versionAges())
	if update := reply.Update; update != nil {
		entry.WithField("config_bytes", len(update.Config)).WithField("targets", len(update.Targets)+len(update.GoneTargets)).WithField("all", update.AllTargets).
			WithField("ask_store", update.ReadStore).WithField("versions", len(update.NamedVersions)).WithField("rollout", update.Rollout != nil).Info("news taken from a peer")
		g.applyUpdate(update)
	}
}

// gossipInterval is the minimum time between two rounds of reporting changes to peers, so
// that a burst of changes is sent in batches.
const gossipInterval = controlTick

// pendingUpdates records what this instance has yet to report to its peers.
type pendingUpdates struct {
	changed     bool
	firstSource bool      // this instance is among the first to learn of the change
	roleChanged bool      // it stopped being a watcher, or became one again
	lastRound   time.Time // time of the last round
}

// updateMark is the state before an event, with which noteUpdates compares the state after
// it.
type updateMark struct {
	versions                StateVersions
	reportedConfig          uint64 // newest configuration version reported by a peer
	leavingReports          leavingReports
	storeReachable, watcher bool
}

func (c *controlState) updateMark() updateMark {
	return updateMark{versions: c.stateVersions(), reportedConfig: c.reportedConfig.Version, leavingReports: c.leavingReports, storeReachable: c.storeReachable, watcher: c.fleet.watcher}
}

// noteUpdates records what has to be reported to peers after a change. A watcher that
// loses or regains the store reports that too, since another must take its place.
func (c *controlState) noteUpdates(v *View, old updateMark) {
	versions := c.stateVersions()
	watcher := v.IsWatcher || old.watcher
	pending := &c.pendingUpdates
	pending.roleChanged = pending.roleChanged || watcher && c.storeReachable != old.storeReachable
	changed := versions != old.versions || c.leavingReports.received != old.leavingReports.received
	pending.firstSource = pending.firstSource || watcher || c.leavingReports.observed != old.leavingReports.observed || changed && c.now().Before(c.firstSourceUntil) || versions.Rollout != old.versions.Rollout && c.rolloutIsOwn
	pending.changed = pending.changed || changed
}

// spreadUpdates sends changes to peers. In a small fleet the instances that learn of a
// change first send it to up to gossipFanout others. In a large one they send it to the
// tops of the relay tree and to their own children, and every other instance forwards it to
// its children. An instance that is missed because a relay is down learns of the change from
// the next probe. Changes of the watcher role are reported as in a small fleet.
func (g *Gateway) spreadUpdates(c *controlState, v *View) {
	pending, now := c.pendingUpdates, c.now()
	if !pending.changed && !pending.roleChanged || now.Sub(pending.lastRound) < gossipInterval || g.ctx.Err() != nil {
		return
	}
	c.pendingUpdates = pendingUpdates{lastRound: now}
	var recipients []member.Member
	switch {
	case pending.roleChanged || pending.firstSource && v.Tree.small:
		recipients = c.members.Sample(gossipFanout)
	case pending.firstSource:
		recipients = append(v.Tree.otherTops(), v.Tree.children()...)
	default:
		recipients = v.Tree.children()
	}
	if len(recipients) == 0 {
		return
	}
	hello := c.newHello(false)
	for _, m := range recipients {
		g.spawn(func() { g.sendHello(member.Probe{To: m.Name, Address: m.Address}, hello) })
	}
}
