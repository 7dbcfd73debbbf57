package gateway

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/rollout"
)

// entry returns a target as read from an entry in the object store.
func entry(name string, revision uint64) catalog.Target {
	return catalog.Target{Name: name, Revision: revision, Service: "s", Models: []catalog.ModelVersion{{Model: "m", Version: 1}}}.WithID()
}

var at0 = time.Unix(1000, 0)

// TestConfigVersionNeverDecreases checks that an older version of the configuration is ignored.
func TestConfigVersionNeverDecreases(t *testing.T) {
	is := is.New(t)
	c := &controlState{log: &log.Logger{Handler: discard.Default}, now: func() time.Time { return at0 }}
	newer, older := catalog.NewConfig(catalog.ConfigSpec{Version: 7}), catalog.NewConfig(catalog.ConfigSpec{Version: 5})
	configReceived{cfg: newer, from: fromPeer}.apply(c)
	configReceived{cfg: older, from: fromStore}.apply(c)
	is.Equal(c.cfg.Version, uint64(7))
}

// TestRank checks that instances with the same members compute distinct ranks for a role.
func TestRank(t *testing.T) {
	is := is.New(t)
	alive := []string{"a", "b", "c", "d"}
	seen := map[int]bool{}
	for _, name := range alive {
		seen[rankOf(alive, name, "role")] = true
	}
	is.Equal(len(seen), len(alive))
}

// TestDepartedTargetStillCounts checks that a target that left the list counts as serving its
// weights for departedTTL: other instances may still use it for that long.
func TestDepartedTargetStillCounts(t *testing.T) {
	is := is.New(t)
	tt := newTargetTable(&log.Logger{Handler: discard.Default}, "e")
	newer := entry("b", 2)
	newer.Models = []catalog.ModelVersion{{Model: "m", Version: 2}}
	tt.ApplyList(5, []catalog.Target{entry("a", 1), newer}, nil, at0)
	tt.ApplyChanges(6, nil, []string{"a"}, at0)
	v := &View{Targets: map[string]*catalog.Target{"b": &newer}, Departed: tt.Departures()}
	is.Equal(oldestServed(v, at0.Add(departedTTL-time.Millisecond))["m"], uint64(1))
	is.Equal(oldestServed(v, at0.Add(departedTTL))["m"], uint64(2))
}

// TestNewProcessAssumesVersionAge guards against a process that starts late in a rollout and treats
// the version that it finds as just named. An age reported by a peer replaces the assumed one.
func TestNewProcessAssumesVersionAge(t *testing.T) {
	is := is.New(t)
	now := at0
	c := &controlState{log: &log.Logger{Handler: discard.Default}, now: func() time.Time { return now }, named: map[string]rollout.NamedVersions{}, rolloutWithin: 10 * time.Second}
	two := []catalog.ModelVersion{{Model: "m", Version: 2}}
	versionsNamed{revision: 5, changed: 5, versions: two, from: fromStore}.apply(c)
	is.Equal(c.named["m"].OutdatedFor(1, now), 10*time.Second-startupVersionGrace)
	ages, unknown := c.versionAges()
	is.Equal(len(ages), 0) // an assumed age is not reported
	is.Equal(unknown, []UnknownVersions{{Model: "m", AgeMS: (10*time.Second - startupVersionGrace).Milliseconds()}})
	versionAgesReceived{ages: []VersionAge{{Model: "m", Version: 2, AgeMS: 2000}, {Model: "other", Version: 1, AgeMS: 1}}}.apply(c)
	is.Equal(c.named["m"].OutdatedFor(1, now), 2*time.Second) // the peer's age, less than assumed
	versionAgesReceived{ages: []VersionAge{{Model: "m", Version: 2, AgeMS: 9000}}}.apply(c)
	is.Equal(c.named["m"].OutdatedFor(1, now), 9*time.Second) // another peer has known of it for longer
	versionAgesReceived{ages: []VersionAge{{Model: "m", Version: 2, AgeMS: 1000}}}.apply(c)
	is.Equal(c.named["m"].OutdatedFor(1, now), 9*time.Second) // a younger age replaces no older one
	versionsNamed{revision: 6, changed: 6, versions: []catalog.ModelVersion{{Model: "m", Version: 3}}, from: fromStore}.apply(c)
	is.Equal(c.named["m"].OutdatedFor(2, now), time.Duration(1)) // just named
	ages, _ = c.versionAges()
	is.Equal(len(ages), 3) // with that of the other model, which is not named here yet
}
