package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/member"
)

// nameVersions applies named versions of one model as the object store lists them.
func (c *controlState) nameVersions(versions ...uint64) {
	for _, v := range versions {
		versionsNamed{revision: 1, changed: 1, versions: []catalog.ModelVersion{{Model: "m", Version: v}}, from: fromStore}.apply(c)
	}
}

// TestAsksForAgesUntilKnown guards against an instance that doesn't learn when versions were named, because its
// peers probed it before it joined, and against one that asks on and on.
func TestAsksForAgesUntilKnown(t *testing.T) {
	is := is.New(t)
	peer, started := controlOf("e-1", "z0"), controlOf("e-2", "z0")
	now := at0
	for _, c := range []*controlState{peer, started} {
		c.now, c.rolloutWithin = func() time.Time { return now }, 12*time.Second
	}
	peer.nameVersions(1, 2) // version 2 is named while the peer runs
	now = at0.Add(4 * time.Second)
	peer.nameVersions(3)
	now = at0.Add(6 * time.Second)
	is.True(!peer.wantsVersionAges())
	started.members.Receive([]member.Member{peer.members.Self()}, now) // probed by the peer
	is.True(started.newHelloTo("e-1", false).WantVersionAges)          // no list of versions yet
	started.nameVersions(3)
	is.Equal(started.named["m"].OutdatedFor(1, now), 9*time.Second) // assumed
	hello := started.newHelloTo("e-1", false)
	is.True(hello.WantVersionAges && !hello.Join)
	reply := peer.replyHello(hello)
	probeEnded{probe: member.Probe{To: "e-1"}, ok: true, reply: reply}.apply(started)
	is.Equal(started.named["m"].OutdatedFor(2, now), 2*time.Second)
	is.True(!started.newHelloTo("e-1", false).WantVersionAges)
	is.Equal(len(peer.replyHello(started.newHelloTo("e-1", false)).VersionAges), 0) // costs nothing any more

	alone := controlOf("e-3", "z0")
	alone.now, alone.rolloutWithin = started.now, 12*time.Second
	alone.nameVersions(3)
	is.True(alone.wantsVersionAges())
	now = now.Add(startupVersionGrace)
	is.True(!alone.wantsVersionAges()) // what is assumed excludes all older weights now
}

// TestPromptsNeedAgesOfOutdatedTargets guards against prompts that wait at each start for ages that decide nothing.
func TestPromptsNeedAgesOfOutdatedTargets(t *testing.T) {
	is := is.New(t)
	c := controlOf("e-1", "z0")
	c.cfg = catalog.NewConfig(catalog.ConfigSpec{Services: []catalog.Service{{Name: "s"}}})
	target := func(model string, version uint64) catalog.Target {
		x := entry("t-"+model, 1)
		x.Service, x.Models = "s", []catalog.ModelVersion{{Model: model, Version: version}}
		return x
	}
	c.nameVersions(3)
	is.True(!c.buildView().VersionAgesMissing) // no target is known
	c.targets.ApplyList(1, []catalog.Target{target("m", 3), target("other", 1)}, nil, c.now())
	is.True(!c.buildView().VersionAgesMissing) // none is outdated
	behind := target("m", 2)
	behind.Name = "t-behind"
	c.targets.ApplyChanges(2, []catalog.Target{behind}, nil, c.now())
	is.True(c.buildView().VersionAgesMissing)
	versionAgesReceived{ages: []VersionAge{{Model: "m", Version: 3, AgeMS: 2000}}}.apply(c)
	is.True(!c.buildView().VersionAgesMissing)
}
