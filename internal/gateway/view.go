package gateway

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/platform"
	"github.com/shedhoist/shedhoist/internal/registry"
)

// NamedVersions is what weight versions were named of a model.
type NamedVersions struct {
	Newest  uint64         // the newest
	history []namedVersion // rising, the last few
}

type namedVersion struct {
	version   uint64
	learnedAt time.Time // when this instance learned it
	assumed   bool      // it found the version at its start: since is a guess
}

// maxNamedHistory is how many versions are remembered: more are not under way at once.
const maxNamedHistory = 8

// withVersion returns n with a newer version.
func (n NamedVersions) withVersion(one namedVersion) NamedVersions {
	history := append(slices.Clone(n.history), one)
	if len(history) > maxNamedHistory {
		history = history[1:]
	}
	return NamedVersions{Newest: one.version, history: history}
}

// withAge returns n with a version that was named that long ago by the word of a
// peer that saw it, unless this instance saw it too.
func (n NamedVersions) withAge(version uint64, age time.Duration, now time.Time) NamedVersions {
	history := slices.Clone(n.history)
	for i, h := range history {
		if h.version == version && h.assumed {
			history[i] = namedVersion{version: version, learnedAt: now.Add(-age)}
		}
	}
	return NamedVersions{Newest: n.Newest, history: history}
}

// outdatedFor is how long it has been known that a version is not the newest; 0 if
// it is.
func (n NamedVersions) outdatedFor(version uint64, now time.Time) time.Duration {
	for _, h := range n.history {
		if h.version > version {
			return max(now.Sub(h.learnedAt), 1)
		}
	}
	return 0
}

// View is the picture that request goroutines read. Nobody changes one after
// it was published.
type View struct {
	Config               *catalog.Config              // nil: none yet
	NewestReportedConfig uint64                       // the newest version that was spoken of, in force here or not
	ConfigBytes          int                          // size of Config as stored
	Targets              map[string]*catalog.Target   // by id, all whose entries are usable
	Serving              map[string][]*catalog.Target // by service: those that take new requests, sorted by id
	// Candidates are those of Serving that this instance uses by preference.
	Candidates     map[string][]*catalog.Target
	Outdated       []*catalog.Target        // those with older weights than named that do not leave
	NamedVersions  map[string]NamedVersions // by model
	Departed       []registry.Departure     // targets that left the list lately
	OtherInstances []string                 // names of all other instances that have not left, lost ones too
	InstanceCount  int                      // known of, this one included, the lately lost too
	Alive          []string                 // names of live instances, this one included, sorted
	Peers          []member.Member          // the same as members
	Attached       []string                 // those of them that the object store answers; all, if it answers none
	Tree           *relayTree               // how they pass things on
	IsWatcher      bool                     // this instance notices changes for all
	WatchRank      int                      // its rank for that: the first ones are watchers
	Watchers       []string                 // names of all that do
	TargetsListed  bool                     // targets were listed at least once
	// EvacuatedZones get no requests. Evacuated is how many targets that leaves out, by
	// service; EvacuationsRevision is up to where the list is complete.
	EvacuatedZones      []string
	EvacuatedTargets    map[string]int
	EvacuationsRevision platform.Version
	// ReleasedAt is when zones were taken back, by zone.
	ReleasedAt         map[string]time.Time
	warmupShares       *warmupShares
	WarmupAllowedAt    time.Time        // before that nothing is sent to cold targets
	EvacuationsUnknown bool             // they were not told yet
	Draining           bool             // this instance is stopping
	Isolated           bool             // it hears neither the object store nor a peer
	TargetsRevision    platform.Version // up to which the list of targets is complete
	Rollout            RolloutUpdate    // what the instance that gives orders told last
	StoreReachable     bool             // the object store answers
}

// initialized says whether all that requests need is known.
func (v *View) initialized() bool { return v.Config != nil && v.TargetsListed && !v.EvacuationsUnknown }

// viewHolder publishes views.
type viewHolder struct{ p atomic.Pointer[View] }

// Load returns the latest view; never nil.
func (h *viewHolder) Load() *View {
	if v := h.p.Load(); v != nil {
		return v
	}
	return &View{InstanceCount: 1, Tree: newRelayTree(nil, member.Member{})}
}

// Store publishes a view.
func (h *viewHolder) Store(v *View) { h.p.Store(v) }
