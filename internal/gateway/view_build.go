package gateway

import (
	"cmp"
	"maps"
	"slices"

	"github.com/apex/log"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/rendezvous"
	"github.com/shedhoist/shedhoist/internal/core/rollout"
	"github.com/shedhoist/shedhoist/internal/registry"
)

// A view is published for each event, many times a second, and a large fleet has hundreds of
// instances and thousands of targets. So a view consists of snapshots that are rebuilt only when
// their inputs have changed; successive views share them.

// fleetSnapshot is the part of a view that describes the instances.
type fleetSnapshot struct {
	valid     bool
	instances int
	others    []string // see View.OtherInstances
	alive     []string
	peers     []member.Member
	gone      []member.GoneMember // see View.Gone
	attached  []string
	orderers  []string // see View.Orderers
	tree      *relayTree
	watchRank int // see watcherRole
	watchers  []string
	watcher   bool
	warmup    *warmupShares
}

// fleetChanged reports whether the instances changed since the snapshot was built.
func (c *controlState) fleetChanged() bool {
	if c.members.TakeChanged() {
		c.fleet.valid = false
	}
	return !c.fleet.valid
}

// currentFleet returns the snapshot of the instances, rebuilt if they have changed.
func (c *controlState) currentFleet() fleetSnapshot {
	if !c.fleetChanged() {
		return c.fleet
	}
	p := fleetSnapshot{valid: true, gone: c.members.Gone()}
	self := c.members.Self()
	p.warmup = &warmupShares{self: self.Name}
	for _, m := range c.members.Members() {
		if m.State != member.Left {
			p.instances++
			p.warmup.instances = append(p.warmup.instances, m.Name)
			if m.Name != self.Name {
				p.others = append(p.others, m.Name)
			}
		}
		if m.State != member.Alive {
			continue
		}
		p.alive = append(p.alive, m.Name)
		p.peers = append(p.peers, m)
		if !m.Detached {
			p.attached = append(p.attached, m.Name)
		}
		if !m.Detached && !m.Partitioned {
			p.orderers = append(p.orderers, m.Name)
		}
	}
	if len(p.attached) == 0 {
		p.attached = p.alive // no instance reaches the store: roles stay as they are
	}
	if len(p.orderers) == 0 {
		p.orderers = p.attached
	}
	p.tree = newRelayTree(p.peers, self)
	p.watchRank = rankOf(p.attached, self.Name, watcherRole)
	p.watcher = p.watchRank < watcherCount
	p.watchers = rendezvous.First(p.attached, watcherRole, watcherCount)
	c.fleet = p
	return p
}

// servingSnapshot is the part of a view that describes the targets, with the inputs that it was
// built from.
type servingSnapshot struct {
	valid          bool
	cfg            *catalog.Config   // configuration used
	tableEdits     uint64            // edit count of the target table used
	cordoned       map[string]bool   // ids of targets excluded because they are about to load weights
	closing        map[string]bool   // ids of targets that are cordoned next
	newestVersions map[string]uint64 // newest named weight version, by model
	targets        map[string]*catalog.Target
	serving        map[string][]*catalog.Target
	candidates     map[string][]*catalog.Target
	outdated       []*catalog.Target
	departed       []registry.Departure
	evacuatedZones []string       // zones excluded
	evacuatedCount map[string]int // targets in these zones, by service
}

// currentServing returns the snapshot of the targets, rebuilt if one of its inputs has changed.
func (c *controlState) currentServing() servingSnapshot {
	cordoned, closing, newest := c.inRollout(c.rollout.Cordoned), c.inRollout(c.rollout.Closing), map[string]uint64{}
	for model, n := range c.named {
		newest[model] = n.Newest
	}
	zones := c.evacuated.Names()
	old := &c.serving
	if old.valid && old.cfg == c.cfg && old.tableEdits == c.targets.Edits() && maps.Equal(old.cordoned, cordoned) && maps.Equal(old.closing, closing) && maps.Equal(old.newestVersions, newest) && slices.Equal(old.evacuatedZones, zones) {
		return *old
	}
	p := servingSnapshot{valid: true, cfg: c.cfg, tableEdits: c.targets.Edits(), cordoned: cordoned, closing: closing, newestVersions: newest, targets: make(map[string]*catalog.Target, len(c.targets.Entries())),
		serving: map[string][]*catalog.Target{}, departed: c.targets.Departures(), evacuatedZones: zones, evacuatedCount: map[string]int{}}
	for _, t := range c.targets.Entries() {
		if t.Unusable {
			continue
		}
		p.targets[t.ID] = &t.Target
		if t.IsLeaving() || !c.cfg.HasService(t.Service) {
			continue
		}
		if isOutdated(&t.Target, newest) {
			p.outdated = append(p.outdated, &t.Target)
		}
		switch {
		case slices.Contains(zones, t.Zone):
			p.evacuatedCount[t.Service]++
		case !cordoned[t.ID]:
			p.serving[t.Service] = append(p.serving[t.Service], &t.Target)
		}
	}
	p.candidates = c.chooseCandidates(p.serving)
	if c.streams != nil && c.targets.Listed() {
		c.streams.observe(p.targets)
	}
	c.serving = p
	return p
}

// isOutdated reports whether a target serves a model with weights older than the newest named.
func isOutdated(t *catalog.Target, newest map[string]uint64) bool {
	for _, m := range t.Models {
		if m.Version < newest[m.Model] {
			return true
		}
	}
	return false
}

// maxCandidates is the number of targets of a service that an instance considers for a request:
// enough to find one that is free and near the stores, while the cost of a decision does not grow
// with the fleet. All targets of a service that has no more than that are considered.
const maxCandidates = 64

// chooseCandidates chooses for each large service the targets that this instance uses: those in
// its own zone first, then by rendezvous hashing. So every target is used by about the same number
// of instances, and a change of the list keeps most candidates, with what this instance has
// learned of them.
func (c *controlState) chooseCandidates(serving map[string][]*catalog.Target) map[string][]*catalog.Target {
	out := make(map[string][]*catalog.Target, len(serving))
	zone := c.members.Self().Zone
	for service, targets := range serving {
		if len(targets) <= maxCandidates {
			out[service] = targets
			continue
		}
		ranked := slices.Clone(targets)
		slices.SortFunc(ranked, func(a, b *catalog.Target) int {
			if near := compareBool(a.Zone == zone, b.Zone == zone); near != 0 {
				return near
			}
			return cmp.Compare(c.targets.Entry(b.Name).Rank, c.targets.Entry(a.Name).Rank)
		})
		out[service] = ranked[:maxCandidates:maxCandidates]
	}
	return out
}

// compareBool compares two values for sorting true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// inRollout returns the ids of the last rollout update as a set, or an empty one if the update is
// older than cordonTTL.
func (c *controlState) inRollout(ids []string) map[string]bool {
	out := map[string]bool{}
	if c.now().Sub(c.rolloutReceivedAt) < cordonTTL {
		for _, id := range ids {
			out[id] = true
		}
	}
	return out
}

// rolloutExpired reports whether the last published view has targets cordoned or closing that no
// longer are, because the update has expired.
func (c *controlState) rolloutExpired() bool {
	return len(c.serving.cordoned)+len(c.serving.closing) > 0 && c.now().Sub(c.rolloutReceivedAt) >= cordonTTL
}

// buildView builds a view from the current state.
func (c *controlState) buildView() *View {
	f, s := c.currentFleet(), c.currentServing()
	v := &View{
		Config: c.cfg, NewestReportedConfig: max(c.configInForce().Version, c.reportedConfig.Version), ConfigBytes: len(c.rawConfig),
		Targets: s.targets, Serving: s.serving, Candidates: s.candidates, Cordoned: s.cordoned, Closing: s.closing, Outdated: s.outdated, Departed: s.departed,
		OtherInstances: f.others, InstanceCount: f.instances, Alive: f.alive, Self: c.members.Self().Name, Peers: f.peers, Gone: f.gone, Orderers: f.orderers, Tree: f.tree, IsWatcher: f.watcher, WatchRank: f.watchRank, Watchers: f.watchers,
		TargetsRevision: c.targets.Revision(), TargetsListed: c.targets.Listed(), VersionsListed: c.versionsListed(), VersionAgesMissing: c.lacksVersionAges(s.outdated),
		NamedVersions: map[string]rollout.NamedVersions{}, Rollout: c.rollout, RolloutReceivedAt: c.rolloutReceivedAt, Draining: c.draining, StoreReachable: c.storeReachable, Isolated: c.isolation.active,
		ReleasedAt: c.releasedAt, warmupShares: f.warmup, WarmupAllowedAt: c.warmupAllowedAt,
		EvacuatedZones: s.evacuatedZones, EvacuatedTargets: s.evacuatedCount, EvacuationsRevision: c.evacuated.Revision(), EvacuationsUnknown: c.followsEvacuations && !c.evacuated.Listed(),
	}
	maps.Copy(v.NamedVersions, c.named)
	return v
}

// newTargetTable returns an empty target table. Ranks of targets are specific to the instance self,
// see chooseCandidates.
func newTargetTable(l log.Interface, self string) *registry.Table {
	return registry.New(registry.Options{Log: l, Rank: func(name string) uint64 { return rendezvous.Score(self, name) }, DepartureRetention: departedTTL})
}
