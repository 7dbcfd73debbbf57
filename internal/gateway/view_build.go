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

// fleetPart is what a view says of the instances.
type fleetPart struct {
	made      bool
	instances int
	others    []string // see View.Others
	alive     []string
	peers     []member.Member
	attached  []string
	tree      *tree
	watchRank int // see watcherRole
	watchers  []string
	watcher   bool
	cold      *coldChoice
}

// fleetChanged says whether the instances changed since the part was made.
func (c *control) fleetChanged() bool {
	if c.members.TakeChanged() {
		c.fleet.made = false
	}
	return !c.fleet.made
}

// fleetNow returns the part on the instances, made anew if need be.
func (c *control) fleetNow() fleetPart {
	if !c.fleetChanged() {
		return c.fleet
	}
	p := fleetPart{made: true}
	self := c.members.Self()
	p.cold = &coldChoice{self: self.Name}
	for _, m := range c.members.Members() {
		if m.State != member.Left {
			p.instances++
			p.cold.known = append(p.cold.known, m.Name)
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
	p.tree = newTree(p.peers, self)
	p.watchRank = rankOf(p.attached, self.Name, watcherRole)
	p.watcher = p.watchRank < watchers
	p.watchers = rendezvous.First(p.attached, watcherRole, watchers)
	c.fleet = p
	return p
}

// servingPart is what a view says of the targets.
type servingPart struct {
	made       bool
	cfg        *catalog.Config   // that it was made with
	edits      uint64            // of the table that it was made from
	closing    map[string]bool   // targets left out, since they are about to load weights
	newest     map[string]uint64 // weight versions named, by model
	targets    map[string]*catalog.Target
	serving    map[string][]*catalog.Target
	candidates map[string][]*catalog.Target
	behind     []*catalog.Target
	departed   []registry.Departure
	zones      []string       // evacuated
	evacuated  map[string]int // targets left out for that, by service
}

// servingNow returns the part on the targets, made anew if need be.
func (c *control) servingNow() servingPart {
	closing, newest := c.closing(), map[string]uint64{}
	for model, n := range c.named {
		newest[model] = n.Version
	}
	zones := c.evacuated.Names()
	old := &c.serving
	if old.made && old.cfg == c.cfg && old.edits == c.targets.Edits() && maps.Equal(old.closing, closing) && maps.Equal(old.newest, newest) && slices.Equal(old.zones, zones) {
		return *old
	}
	p := servingPart{made: true, cfg: c.cfg, edits: c.targets.Edits(), closing: closing, newest: newest, targets: make(map[string]*catalog.Target, len(c.targets.Entries())),
		serving: map[string][]*catalog.Target{}, departed: c.targets.Departures(), zones: zones, evacuated: map[string]int{}}
	for _, t := range c.targets.Entries() {
		if t.Unusable {
			continue
		}
		p.targets[t.ID] = &t.Target
		if t.IsLeaving() || !c.cfg.HasService(t.Service) {
			continue
		}
		if isBehind(&t.Target, newest) {
			p.behind = append(p.behind, &t.Target)
		}
		switch {
		case slices.Contains(zones, t.Zone):
			p.evacuated[t.Service]++
		case !closing[t.ID]:
			p.serving[t.Service] = append(p.serving[t.Service], &t.Target)
		}
	}
	p.candidates = c.candidates(p.serving)
	c.serving = p
	return p
}

// isBehind says whether a target has older weights than named.
func isBehind(t *catalog.Target, newest map[string]uint64) bool {
	for _, m := range t.Models {
		if m.Version < newest[m.Model] {
			return true
		}
	}
	return false
}

// mostCandidates is how many targets of a service an instance considers for a request:
// enough to find one that is free and near the stores, while the cost of a decision does
// not grow with the fleet. A service of up to as many targets is considered whole.
const mostCandidates = 64

// candidates chooses for each large service the targets that this instance uses: those of
// its own zone before others, and among these by rendezvous hashing, so that each target
// is used by about as many instances and what an instance learns of a target stays of use.
func (c *control) candidates(serving map[string][]*catalog.Target) map[string][]*catalog.Target {
	out := make(map[string][]*catalog.Target, len(serving))
	zone := c.members.Self().Zone
	for service, targets := range serving {
		if len(targets) <= mostCandidates {
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
		out[service] = ranked[:mostCandidates:mostCandidates]
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

// closing names the targets that shall get no new requests, since they are
// about to load weights.
func (c *control) closing() map[string]bool {
	out := map[string]bool{}
	if c.now().Sub(c.heardOf) < closingFor {
		for _, id := range c.rollout.Closing {
			out[id] = true
		}
	}
	return out
}

// reopened says whether the view published last leaves out targets that are no longer
// closing.
func (c *control) reopened() bool { return len(c.serving.closing) > 0 && len(c.closing()) == 0 }

// view builds the picture that request goroutines read.
func (c *control) view() *View {
	f, s := c.fleetNow(), c.servingNow()
	v := &View{
		Config: c.cfg, ConfigHeard: max(c.configInForce().Version, c.heard.Version), ConfigBytes: len(c.raw),
		Targets: s.targets, Serving: s.serving, Candidates: s.candidates, Behind: s.behind, Departed: s.departed,
		Others: f.others, Instances: f.instances, Alive: f.alive, Peers: f.peers, Attached: f.attached, Tree: f.tree, Watcher: f.watcher, WatchRank: f.watchRank, Watchers: f.watchers,
		Revision: c.targets.Revision(), Listed: c.targets.Listed(),
		Named: map[string]Named{}, Rollout: c.rollout, Draining: c.draining, StoreOK: c.storeOK, CutOff: c.cutOff.now,
		Released: c.released, coldChoice: f.cold, SettledAt: c.settledAt,
		EvacuatedZones: s.zones, Evacuated: s.evacuated, EvacuatedAt: c.evacuated.Revision(), EvacuationsUnknown: c.followsEvacuations && !c.evacuated.Listed(),
	}
	maps.Copy(v.Named, c.named)
	return v
}

// newTargets returns an empty list of targets.
func newTargets(l log.Interface, self string) *registry.Table {
	return registry.New(registry.Options{Log: l, Rank: func(name string) uint64 { return rendezvous.Score(self, name) }, DepartureRetention: lingerTime})
}
