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
	"github.com/shedhoist/shedhoist/internal/platform"
)

// controlOf is the control state of one instance of a zone.
func controlOf(name, zone string) *controlState {
	quiet := &log.Logger{Handler: discard.Default}
	self := member.Member{Name: name, Address: "10.0.0.1:1", Zone: zone, Incarnation: 1}
	return &controlState{log: quiet, now: func() time.Time { return at0 }, named: map[string]NamedVersions{}, storeReachable: true,
		members: member.New(member.DefaultParams, self, func(int) int { return 0 }),
		targets: newTargetTable(quiet, name), cfg: catalog.NewConfig(catalog.ConfigSpec{Services: []catalog.Service{{Name: "s"}}})}
}

// targetsOf are n targets over some zones.
func targetsOf(n, zones int) []catalog.Target {
	out := make([]catalog.Target, n)
	for i := range out {
		out[i] = entry(fmt.Sprintf("i-%04d", i), uint64(i+1))
		out[i].Zone = fmt.Sprintf("z%d", i%zones)
	}
	return out
}

// TestPartsOfViewsAreShared: views share the parts whose causes did not change, a renewed entry
// that says the same included; each cause makes its part anew.
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
	is.Equal(first.Targets["i-0001"].WeightVersion("m"), uint64(1)) // what was published stays

	versionsNamed{revision: 11, changed: 11, versions: []catalog.ModelVersion{{Model: "m", Version: 2}}}.apply(c)
	is.Equal(len(c.buildView().Outdated), 2)

	rolloutReceived{update: RolloutUpdate{Stamp: RolloutStamp{Token: 1}, Cordoned: []string{"i-0000"}}}.apply(c)
	is.Equal(len(c.buildView().Serving["s"]), 2)
	now := at0.Add(cordonTTL)
	c.now = func() time.Time { return now }
	is.True(c.uncordoned())
	is.Equal(len(c.buildView().Serving["s"]), 3)
	is.True(!c.uncordoned())

	c.targets.ApplyChanges(12, nil, []string{"i-0002"}, now)
	v = c.buildView()
	is.Equal(len(v.Targets), 2)
	is.Equal(len(v.Serving["s"]), 2)
	is.Equal(len(v.Departed), 1)

	c.members.Receive([]member.Member{{Name: "b", Address: "10.0.0.2:1", Zone: "z0"}}, now)
	is.Equal(len(c.buildView().Alive), 2)
}

// TestCandidates guards against many, far or unevenly used candidates, and a new choice with each that leaves.
func TestCandidates(t *testing.T) {
	is := is.New(t)
	const zones, targets, instances = 3, 900, 120
	uses := map[string]int{}
	for i := range instances {
		c := controlOf(fmt.Sprintf("e-%d", i), fmt.Sprintf("z%d", i%zones))
		c.targets.ApplyList(targets, targetsOf(targets, zones), nil, at0)
		chosen := c.buildView().Candidates["s"]
		is.Equal(len(chosen), maxCandidates)
		had := map[string]bool{}
		for _, x := range chosen {
			is.Equal(x.Zone, fmt.Sprintf("z%d", i%zones))
			uses[x.ID]++
			had[x.ID] = true
		}
		c.targets.ApplyChanges(targets+1, nil, []string{chosen[0].ID}, at0)
		kept := 0
		for _, x := range c.buildView().Candidates["s"] {
			if had[x.ID] {
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
	some := targetsOf(200, 20) // ten in the zone
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

// TestWidenCandidates: where too few of its candidates are fit, an instance finds fit targets among
// all of the service: those that serve the newest weights, were not tried and do not rest.
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
	wide := x.widenCandidates(v.Serving["s"], nil)
	is.Equal(len(wide), maxCandidates)
	is.Equal(x.countFit(wide, nil), 20)
	x.triedTargets = []string{"i-0001"}
	is.Equal(x.countFit(wide, []string{"i-0002"}), 18)
}

// TestLongTargetList: a long list is handed over by a peer only to an instance that can't ask
// the object store; a short one, and changes, to any.
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
