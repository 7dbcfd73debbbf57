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

// Named is what weight versions were named of a model.
type Named struct {
	Version uint64     // the newest
	history []namedOne // rising, the last few
}

type namedOne struct {
	version uint64
	since   time.Time // when this instance learned it
	assumed bool      // it found the version at its start: since is a guess
}

// namedKept is how many versions are remembered: more are not under way at once.
const namedKept = 8

// with returns n with a newer version.
func (n Named) with(one namedOne) Named {
	history := append(slices.Clone(n.history), one)
	if len(history) > namedKept {
		history = history[1:]
	}
	return Named{Version: one.version, history: history}
}

// agedBy returns n with a version that was named that long ago by the word of a
// peer that saw it, unless this instance saw it too.
func (n Named) agedBy(version uint64, age time.Duration, now time.Time) Named {
	history := slices.Clone(n.history)
	for i, h := range history {
		if h.version == version && h.assumed {
			history[i] = namedOne{version: version, since: now.Add(-age)}
		}
	}
	return Named{Version: n.Version, history: history}
}

// behindFor is how long it has been known that a version is not the newest; 0 if
// it is.
func (n Named) behindFor(version uint64, now time.Time) time.Duration {
	for _, h := range n.history {
		if h.version > version {
			return max(now.Sub(h.since), 1)
		}
	}
	return 0
}

// View is the picture that request goroutines read. Nobody changes one after
// it was published.
type View struct {
	Config      *catalog.Config              // nil: none yet
	ConfigHeard uint64                       // the newest version that was spoken of, in force here or not
	ConfigBytes int                          // size of Config as stored
	Targets     map[string]*catalog.Target   // by id, all whose entries are usable
	Serving     map[string][]*catalog.Target // by service: those that take new requests, sorted by id
	// Candidates are those of Serving that this instance uses by preference.
	Candidates map[string][]*catalog.Target
	Behind     []*catalog.Target    // those with older weights than named that do not leave
	Named      map[string]Named     // by model
	Departed   []registry.Departure // targets that left the list lately
	Others     []string             // names of all other instances that have not left, lost ones too
	Instances  int                  // known of, this one included, the lately lost too
	Alive      []string             // names of live instances, this one included, sorted
	Peers      []member.Member      // the same as members
	Attached   []string             // those of them that the object store answers; all, if it answers none
	Tree       *tree                // how they pass things on
	Watcher    bool                 // this instance notices changes for all
	WatchRank  int                  // its rank for that: the first ones are watchers
	Watchers   []string             // names of all that do
	Listed     bool                 // targets were listed at least once
	// EvacuatedZones get no requests. Evacuated is how many targets that leaves out, by
	// service; EvacuatedAt is up to where the list is complete.
	EvacuatedZones []string
	Evacuated      map[string]int
	EvacuatedAt    platform.Version
	// Released is when zones were taken back, by zone.
	Released           map[string]time.Time
	coldChoice         *coldChoice
	SettledAt          time.Time        // before that nothing is sent to cold targets
	EvacuationsUnknown bool             // they were not told yet
	Draining           bool             // this instance is stopping
	CutOff             bool             // it hears neither the object store nor a peer
	Revision           platform.Version // up to which the list of targets is complete
	Rollout            RolloutNews      // what the instance that gives orders told last
	StoreOK            bool             // the object store answers
}

// informed says whether all that requests need is known.
func (v *View) informed() bool { return v.Config != nil && v.Listed && !v.EvacuationsUnknown }

// viewHolder publishes views.
type viewHolder struct{ p atomic.Pointer[View] }

// Load returns the latest view; never nil.
func (h *viewHolder) Load() *View {
	if v := h.p.Load(); v != nil {
		return v
	}
	return &View{Instances: 1, Tree: newTree(nil, member.Member{})}
}

// Store publishes a view.
func (h *viewHolder) Store(v *View) { h.p.Store(v) }
