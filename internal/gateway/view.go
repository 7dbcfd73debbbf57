package gateway

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/rollout"
	"github.com/shedhoist/shedhoist/internal/platform"
	"github.com/shedhoist/shedhoist/internal/registry"
)

// View is the state that request goroutines read. A published view is immutable.
type View struct {
	Config               *catalog.Config              // nil if none has been received
	NewestReportedConfig uint64                       // newest version in force here or reported by a peer
	ConfigBytes          int                          // size of Config as stored
	Targets              map[string]*catalog.Target   // by id: all targets with a usable entry
	Serving              map[string][]*catalog.Target // by service: targets that accept new requests, sorted by id
	// Candidates are, by service, the targets of Serving that this instance prefers.
	Candidates     map[string][]*catalog.Target
	Cordoned       map[string]bool                  // ids of targets that are about to load weights and get no new requests
	Closing        map[string]bool                  // ids of targets that are cordoned next
	Outdated       []*catalog.Target                // targets with weights older than named that are not leaving
	NamedVersions  map[string]rollout.NamedVersions // by model
	Departed       []registry.Departure             // targets that recently left the list
	OtherInstances []string                         // names of all other instances that have not left, including dead ones
	InstanceCount  int                              // number of known instances, including this one and recently lost ones
	Self           string                           // name of this instance
	Alive          []string                         // sorted names of the live instances, including this one
	Peers          []member.Member                  // the instances in Alive, as members
	Gone           []member.GoneMember              // the instances that are not alive; forgotten after some minutes
	// Orderers are the names of the live instances that may give orders to targets: those that reach the
	// object store and have not lost their links to the targets of a service. If there is none, they are
	// those that reach the object store, or else all.
	Orderers      []string
	Tree          *relayTree // how instances relay state to one another
	IsWatcher     bool       // this instance watches the object store on behalf of all
	WatchRank     int        // its rank for that role: the lowest ranks are watchers
	Watchers      []string   // names of all watchers
	TargetsListed bool       // the list of targets was received at least once
	// VersionsListed is set once the named versions have been received.
	VersionsListed bool
	// VersionAgesMissing is set if it is only assumed when the newest version of some outdated target's
	// model was named.
	VersionAgesMissing bool
	// EvacuatedZones get no requests. EvacuatedTargets counts the targets that this excludes, by
	// service. EvacuationsRevision is the revision up to which the list of zones is
	// complete.
	EvacuatedZones      []string
	EvacuatedTargets    map[string]int
	EvacuationsRevision platform.Version
	// ReleasedAt is when the evacuation of a zone ended, by zone.
	ReleasedAt         map[string]time.Time
	warmupShares       *warmupShares
	WarmupAllowedAt    time.Time        // no requests to targets in warm-up before that
	EvacuationsUnknown bool             // the evacuated zones have not been received yet
	Draining           bool             // this instance is shutting down
	Isolated           bool             // neither the object store nor any peer responds
	TargetsRevision    platform.Version // revision up to which the list of targets is complete
	Rollout            RolloutUpdate    // last update of the instance that gives orders
	RolloutReceivedAt  time.Time        // when it was received
	StoreReachable     bool             // the object store responds
}

// initialized reports whether everything that requests need is known.
func (v *View) initialized() bool { return v.Config != nil && v.TargetsListed && !v.EvacuationsUnknown }

// viewHolder holds the published view.
type viewHolder struct{ p atomic.Pointer[View] }

// Load returns the latest view, or an empty one if none was published; never nil.
func (h *viewHolder) Load() *View {
	if v := h.p.Load(); v != nil {
		return v
	}
	return &View{InstanceCount: 1, Tree: newRelayTree(nil, member.Member{})}
}

// Store publishes a view.
func (h *viewHolder) Store(v *View) { h.p.Store(v) }

// peer returns the live instance of a name.
func (v *View) peer(name string) (m member.Member, live bool) {
	i := slices.IndexFunc(v.Peers, func(m member.Member) bool { return m.Name == name })
	if i < 0 {
		return member.Member{}, false
	}
	return v.Peers[i], true
}
