package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/breaker"
	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/rollout"
	"github.com/shedhoist/shedhoist/internal/platform"
)

// controlOf returns the control state of an instance in a zone.
func controlOf(name, zone string) *controlState {
	logger := &log.Logger{Handler: discard.Default}
	self := member.Member{Name: name, Address: "10.0.0.1:1", Zone: zone, Incarnation: 1}
	return &controlState{log: logger, now: func() time.Time { return at0 }, named: map[string]rollout.NamedVersions{}, storeReachable: true,
		members: member.New(member.DefaultParams, self, func(int) int { return 0 }),
		targets: newTargetTable(logger, name), cfg: catalog.NewConfig(catalog.ConfigSpec{Services: []catalog.Service{{Name: "s"}}})}
}

// targetsOf returns n targets, spread evenly over a number of zones.
func targetsOf(n, zones int) []catalog.Target {
	out := make([]catalog.Target, n)
	for i := range out {
		out[i] = entry(fmt.Sprintf("i-%04d", i), uint64(i+1))
		out[i].Zone = fmt.Sprintf("z%d", i%zones)
	}
	return out
}

// TestPartsOfViewsAreShared checks that views share a snapshot while its inputs stay the same, also
// when an entry is rewritten with the same content, and that a change of each input rebuilds the
// snapshot.
func TestPartsOfViewsAreShared(t *testing.T) {
	is := is.New(t)
	c := controlOf("a", "z0")
	c.targets.ApplyList(9, targetsOf(3, 1), nil, at0)
	first := c.buildView()
	same := entry("i-0001", 10)
	same.Zone = "z0"
	c.targets.ApplyChanges(10, []catalog.Target{same}, nil, at0)
	v := c.buildView()
	is.Equal(v.TargetsRevision, platform.Version(10))
	is.True(v.Tree == first.Tree && v.Targets["i-0001"] == first.Targets["i-0001"])

	c.targets.ApplyWeightVersion("i-0001", catalog.ModelVersion{Model: "m", Version: 2})
	is.Equal(c.buildView().Targets["i-0001"].WeightVersion("m"), uint64(2))
	is.Equal(first.Targets["i-0001"].WeightVersion("m"), uint64(1)) // a published view does not change

	versionsNamed{revision: 11, changed: 11, versions: []catalog.ModelVersion{{Model: "m", Version: 2}}}.apply(c)
	is.Equal(len(c.buildView().Outdated), 2)

	rolloutReceived{update: RolloutUpdate{Stamp: RolloutStamp{Token: 1}, Cordoned: []string{"i-0000"}}}.apply(c)
	is.Equal(len(c.buildView().Serving["s"]), 2)
	now := at0.Add(cordonTTL)
	c.now = func() time.Time { return now }
	is.True(c.rolloutExpired())
	is.Equal(len(c.buildView().Serving["s"]), 3)
	is.True(!c.rolloutExpired())

	c.targets.ApplyChanges(12, nil, []string{"i-0002"}, now)
	v = c.buildView()
	is.Equal(len(v.Targets), 2)
	is.Equal(len(v.Serving["s"]), 2)
	is.Equal(len(v.Departed), 1)

	c.members.Receive([]member.Member{{Name: "b", Address: "10.0.0.2:1", Zone: "z0"}}, now)
	is.Equal(len(c.buildView().Alive), 2)
}

// TestCandidates guards against candidates that are too many, in other zones without need or used
// unevenly by instances, and against a different choice whenever one of them leaves.
func TestCandidates(t *testing.T) {
	is := is.New(t)
	const zones, targets, instances = 3, 900, 120
	uses := map[string]int{}
	for i := range instances {
		c := controlOf(fmt.Sprintf("e-%d", i), fmt.Sprintf("z%d", i%zones))
		c.targets.ApplyList(targets, targetsOf(targets, zones), nil, at0)
		chosen := c.buildView().Candidates["s"]
		is.Equal(len(chosen), maxCandidates)
		previous := map[string]bool{}
		for _, x := range chosen {
			is.Equal(x.Zone, fmt.Sprintf("z%d", i%zones))
			uses[x.ID]++
			previous[x.ID] = true
		}
		c.targets.ApplyChanges(targets+1, nil, []string{chosen[0].ID}, at0)
		kept := 0
		for _, x := range c.buildView().Candidates["s"] {
			if previous[x.ID] {
				kept++
			}
		}
		is.Equal(kept, maxCandidates-1)
	}
	mean := float64(instances*maxCandidates) / targets
	for _, n := range uses {
		is.True(float64(n) < 2.5*mean)
	}
	is.True(len(uses) > targets*99/100)

	few := controlOf("e", "z0")
	some := targetsOf(200, 20) // ten in each zone
	few.targets.ApplyList(9, some, nil, at0)
	near := 0
	for _, x := range few.buildView().Candidates["s"] {
		if x.Zone == "z0" {
			near++
		}
	}
	is.Equal(near, 10)
	is.Equal(len(few.buildView().Candidates["s"]), maxCandidates)
}

// TestWidenCandidates checks that an instance with too few fit candidates finds fit targets among
// all of the service: those that serve the newest weights, were not tried and are not ejected.
func TestWidenCandidates(t *testing.T) {
	is := is.New(t)
	c := controlOf("e", "z0")
	all := targetsOf(300, 3)
	for i := range all {
		if i%3 != 0 && i < 30 {
			all[i].Models[0].Version = 2
		}
	}
	c.targets.ApplyList(9, all, nil, at0)
	versionsNamed{revision: 11, changed: 11, versions: []catalog.ModelVersion{{Model: "m", Version: 2}}}.apply(c)
	v := c.buildView()
	g := &Gateway{now: func() time.Time { return at0 }, breaker: breaker.New(func() time.Time { return at0 })}
	x := &exchange{g: g, view: v, service: "s", call: CallerRequest{Prompt: &Prompt{Model: "m"}}}
	is.Equal(x.countFit(v.Candidates["s"], nil), 0)
	widened := x.widenCandidates(v.Serving["s"], nil)
	is.Equal(len(widened), maxCandidates)
	is.Equal(x.countFit(widened, nil), 20)
	x.triedTargets = []string{"i-0001"}
	is.Equal(x.countFit(widened, []string{"i-0002"}), 18)
}

// TestLongTargetList checks that a peer sends a long list of targets only to an instance that does
// not reach the object store, but a short list, or changes, to any instance.
func TestLongTargetList(t *testing.T) {
	is := is.New(t)
	c := controlOf("e", "z0")
	c.targets.ApplyList(1000, targetsOf(maxRelayedTargets+1, 3), nil, at0)
	n := c.updateFor(KnownVersions{Targets: 5}, false)
	is.True(n.ReadStore && !n.AllTargets && len(n.Targets) == 0)
	n = c.updateFor(KnownVersions{Targets: 5}, true)
	is.True(!n.ReadStore && n.AllTargets)
	is.Equal(len(n.Targets), maxRelayedTargets+1)
	c.targets.ApplyChanges(1001, nil, []string{"i-0003"}, at0)
	n = c.updateFor(KnownVersions{Targets: 1000}, false)
	is.True(!n.ReadStore && !n.AllTargets)
	is.Equal(n.GoneTargets, []string{"i-0003"})
	short := controlOf("e", "z0")
	short.targets.ApplyList(1000, targetsOf(3, 3), nil, at0)
	is.True(short.updateFor(KnownVersions{}, false).AllTargets)
}
