package gateway

import (
	"cmp"
	"maps"
	"slices"

	"github.com/apex/log"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/rendezvous"
	"github.com/shedhoist/shedhoist/internal/registry"
)

// A view is published at each event, many times a second, and a large fleet has
// hundreds of instances and thousands of targets. So the parts of a view are made anew
// only when what they are made from has changed; views share them.

// fleetSnapshot is what a view says of the instances.
type fleetSnapshot struct {
	valid     bool
	instances int
	others    []string // see View.OtherInstances
	alive     []string
	peers     []member.Member
	attached  []string
	tree      *relayTree
	watchRank int // see watcherRole
	watchers  []string
	watcher   bool
	warmup    *warmupShares
}

// fleetChanged says whether the instances changed since the part was made.
func (c *controlState) fleetChanged() bool {
	if c.members.TakeChanged() {
		c.fleet.valid = false
	}
	return !c.fleet.valid
}

// currentFleet returns the part on the instances, made anew if need be.
func (c *controlState) currentFleet() fleetSnapshot {
	if !c.fleetChanged() {
		return c.fleet
	}
	p := fleetSnapshot{valid: true}
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
	}
	if len(p.attached) == 0 {
		p.attached = p.alive // nobody reaches the store: the roles stay where they are
	}
	p.tree = newRelayTree(p.peers, self)
	p.watchRank = rankOf(p.attached, self.Name, watcherRole)
	p.watcher = p.watchRank < watcherCount
	p.watchers = rendezvous.First(p.attached, watcherRole, watcherCount)
	c.fleet = p
	return p
}

// servingSnapshot is what a view says of the targets.
type servingSnapshot struct {
	valid          bool
	cfg            *catalog.Config   // that it was made with
	tableEdits     uint64            // of the table that it was made from
	cordoned       map[string]bool   // targets left out, since they are about to load weights
	newestVersions map[string]uint64 // weight versions named, by model
	targets        map[string]*catalog.Target
	serving        map[string][]*catalog.Target
	candidates     map[string][]*catalog.Target
	outdated       []*catalog.Target
	departed       []registry.Departure
	evacuatedZones []string       // evacuated
	evacuatedCount map[string]int // targets left out for that, by service
}

// currentServing returns the part on the targets, made anew if need be.
func (c *controlState) currentServing() servingSnapshot {
	closing, newest := c.cordoned(), map[string]uint64{}
	for model, n := range c.named {
		newest[model] = n.Newest
	}
	zones := c.evacuated.Names()
	old := &c.serving
	if old.valid && old.cfg == c.cfg && old.tableEdits == c.targets.Edits() && maps.Equal(old.cordoned, closing) && maps.Equal(old.newestVersions, newest) && slices.Equal(old.evacuatedZones, zones) {
		return *old
	}
	p := servingSnapshot{valid: true, cfg: c.cfg, tableEdits: c.targets.Edits(), cordoned: closing, newestVersions: newest, targets: make(map[string]*catalog.Target, len(c.targets.Entries())),
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
		case !closing[t.ID]:
			p.serving[t.Service] = append(p.serving[t.Service], &t.Target)
		}
	}
	p.candidates = c.chooseCandidates(p.serving)
	c.serving = p
	return p
}

// isOutdated says whether a target has older weights than named.
func isOutdated(t *catalog.Target, newest map[string]uint64) bool {
	for _, m := range t.Models {
		if m.Version < newest[m.Model] {
			return true
		}
	}
	return false
}

// maxCandidates is how many targets of a service an instance considers for a request:
// enough to find one that is free and near the stores, while the cost of a decision does
// not grow with the fleet. A service of up to as many targets is considered whole.
const maxCandidates = 64

// chooseCandidates chooses for each large service the targets that this instance uses: those of
// its own zone before others, and among these by rendezvous hashing, so that each target
// is used by about as many instances and what an instance learns of a target stays of use.
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

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// cordoned names the targets that shall get no new requests, since they are
// about to load weights.
func (c *controlState) cordoned() map[string]bool {
	out := map[string]bool{}
	if c.now().Sub(c.rolloutReceivedAt) < cordonTTL {
		for _, id := range c.rollout.Cordoned {
			out[id] = true
		}
	}
	return out
}

// uncordoned says whether the view published last leaves out targets that are no longer
// closing.
func (c *controlState) uncordoned() bool {
	return len(c.serving.cordoned) > 0 && len(c.cordoned()) == 0
}

// buildView builds the picture that request goroutines read.
func (c *controlState) buildView() *View {
	f, s := c.currentFleet(), c.currentServing()
	v := &View{
		Config: c.cfg, NewestReportedConfig: max(c.configInForce().Version, c.reportedConfig.Version), ConfigBytes: len(c.rawConfig),
		Targets: s.targets, Serving: s.serving, Candidates: s.candidates, Outdated: s.outdated, Departed: s.departed,
		OtherInstances: f.others, InstanceCount: f.instances, Alive: f.alive, Peers: f.peers, Attached: f.attached, Tree: f.tree, IsWatcher: f.watcher, WatchRank: f.watchRank, Watchers: f.watchers,
		TargetsRevision: c.targets.Revision(), TargetsListed: c.targets.Listed(),
		NamedVersions: map[string]NamedVersions{}, Rollout: c.rollout, Draining: c.draining, StoreReachable: c.storeReachable, Isolated: c.isolation.active,
		ReleasedAt: c.releasedAt, warmupShares: f.warmup, WarmupAllowedAt: c.warmupAllowedAt,
		EvacuatedZones: s.evacuatedZones, EvacuatedTargets: s.evacuatedCount, EvacuationsRevision: c.evacuated.Revision(), EvacuationsUnknown: c.followsEvacuations && !c.evacuated.Listed(),
	}
	maps.Copy(v.NamedVersions, c.named)
	return v
}

// newTargetTable returns an empty list of targets.
func newTargetTable(l log.Interface, self string) *registry.Table {
	return registry.New(registry.Options{Log: l, Rank: func(name string) uint64 { return rendezvous.Score(self, name) }, DepartureRetention: departedTTL})
}
