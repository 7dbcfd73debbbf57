package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

func table() *targetTable {
	return &targetTable{log: &log.Logger{Handler: discard.Default}, byID: map[string]*heldTarget{}}
}

func entry(id string, revision uint64) catalog.Target {
	return catalog.Target{ID: id, Revision: revision, Service: "s", Models: []catalog.ModelVersion{{Model: "m", Version: 1}}}
}

var at0 = time.Unix(1000, 0)

// TestVanish: an entry that vanishes is gone at once.
func TestVanish(t *testing.T) {
	is := is.New(t)
	tt := table()
	tt.list(5, []catalog.Target{entry("a", 1), entry("b", 2)}, nil, at0)
	tt.change(6, nil, []string{"a"}, at0)
	is.Equal(len(tt.byID), 1)
}

// TestLapse: entries that vanish when the object store has just returned are held
// for as long as their return may take; those that were leaving are not.
func TestLapse(t *testing.T) {
	is := is.New(t)
	tt := table()
	leaving := entry("leaving", 3)
	leaving.Leaving = true
	tt.list(5, []catalog.Target{entry("back", 1), entry("gone", 2), leaving}, nil, at0)
	tt.contactRegained(at0)
	tt.list(9, nil, nil, at0)
	is.Equal(len(tt.byID), 2)
	tt.change(10, []catalog.Target{entry("back", 10)}, nil, at0.Add(time.Second))
	is.True(!tt.expire(at0.Add(returnTime - time.Millisecond)))
	is.True(tt.expire(at0.Add(returnTime)))
	is.Equal(len(tt.byID), 1)
	is.True(tt.byID["back"] != nil)
}

// TestMassLapse: many entries that vanish at once may have lapsed, though no outage
// was noticed; but they may as well have left, and then get nothing after 2 s, the
// publishing of a view included.
func TestMassLapse(t *testing.T) {
	is := is.New(t)
	tt := table()
	var all []catalog.Target
	var ids []string
	for i := range massLapse {
		all = append(all, entry(fmt.Sprint(i), 1))
		ids = append(ids, fmt.Sprint(i))
	}
	tt.list(5, all, nil, at0)
	tt.change(6, nil, ids, at0)
	is.Equal(len(tt.byID), massLapse)
	tt.expire(at0.Add(1500 * time.Millisecond))
	is.Equal(len(tt.byID), 0)
}

// TestOvertaken: news from a peer that overtakes the store's own word is not
// undone by it, and an entry that was gone returns only by a newer word.
func TestOvertaken(t *testing.T) {
	is := is.New(t)
	tt := table()
	tt.list(5, []catalog.Target{entry("a", 1), entry("b", 2)}, nil, at0)
	draining := entry("a", 8)
	draining.Leaving = true
	tt.list(9, []catalog.Target{draining}, nil, at0) // by a peer
	is.True(tt.byID["a"].Leaving)
	tt.change(7, []catalog.Target{entry("a", 6), entry("b", 7)}, nil, at0) // late, by the store
	is.True(tt.byID["a"].Leaving)
	is.True(tt.byID["b"] == nil)
	tt.change(12, []catalog.Target{entry("b", 12)}, nil, at0)
	is.True(tt.byID["b"] != nil)
	tt.list(8, nil, nil, at0) // an old list
	is.Equal(len(tt.byID), 2)
}

// TestServes: weights of a target never go back, whatever its entry says.
func TestServes(t *testing.T) {
	is := is.New(t)
	tt := table()
	tt.list(5, []catalog.Target{entry("a", 1)}, nil, at0)
	tt.serves("a", catalog.ModelVersion{Model: "m", Version: 3})
	tt.change(6, []catalog.Target{entry("a", 6)}, nil, at0)
	is.Equal(tt.byID["a"].VersionOf("m"), uint64(3))
}

// TestNamed: how long a version has been behind counts from the first newer one.
func TestNamed(t *testing.T) {
	is := is.New(t)
	var n Named
	n = n.with(namedOne{version: 2, since: at0}).with(namedOne{version: 3, since: at0.Add(4 * time.Second)})
	now := at0.Add(5 * time.Second)
	is.Equal(n.behindFor(1, now), 5*time.Second)
	is.Equal(n.behindFor(2, now), time.Second)
	is.Equal(n.behindFor(3, now), time.Duration(0))
}

// TestConfigNeverBack: an older version of the configuration changes nothing.
func TestConfigNeverBack(t *testing.T) {
	is := is.New(t)
	c := &control{log: &log.Logger{Handler: discard.Default}, now: func() time.Time { return at0 }}
	newer, older := catalog.NewConfig(catalog.Draft{Version: 7}), catalog.NewConfig(catalog.Draft{Version: 5})
	configRead{cfg: newer, from: fromPeer}.apply(c)
	configRead{cfg: older, from: fromStore}.apply(c)
	is.Equal(c.cfg.Version, uint64(7))
}

// TestRank: instances agree on ranks, and each role has an order of its own.
func TestRank(t *testing.T) {
	is := is.New(t)
	alive := []string{"a", "b", "c", "d"}
	seen := map[int]bool{}
	for _, name := range alive {
		seen[rankOf(alive, name, "role")] = true
	}
	is.Equal(len(seen), len(alive))
}

// TestDeparted: a target that left the list counts as serving its weights for as
// long as others may hold on to it.
func TestDeparted(t *testing.T) {
	is := is.New(t)
	tt := table()
	newer := entry("b", 2)
	newer.Models = []catalog.ModelVersion{{Model: "m", Version: 2}}
	tt.list(5, []catalog.Target{entry("a", 1), newer}, nil, at0)
	tt.change(6, nil, []string{"a"}, at0)
	v := &View{Targets: map[string]*catalog.Target{"b": &newer}, Departed: tt.departed}
	is.Equal(oldestServed(v, at0.Add(lingerTime-time.Millisecond))["m"], uint64(1))
	is.Equal(oldestServed(v, at0.Add(lingerTime))["m"], uint64(2))
}

// TestNewProcess: a process that starts late in a rollout does not take the
// version it finds for a new one, and believes a peer that knows its age.
func TestNewProcess(t *testing.T) {
	is := is.New(t)
	now := at0
	c := &control{log: &log.Logger{Handler: discard.Default}, now: func() time.Time { return now }, named: map[string]Named{}, rolloutWithin: 10 * time.Second}
	two := []catalog.ModelVersion{{Model: "m", Version: 2}}
	versionsNamed{revision: 5, changed: 5, versions: two, from: fromStore}.apply(c)
	is.Equal(c.named["m"].behindFor(1, now), 10*time.Second-freshGrace)
	is.Equal(len(c.ages()), 0) // a guess is told to nobody
	namedAges{[]NamedAge{{Model: "m", Version: 2, MS: 2000}, {Model: "other", Version: 1, MS: 1}}}.apply(c)
	is.Equal(c.named["m"].behindFor(1, now), 2*time.Second) // less than guessed
	namedAges{[]NamedAge{{Model: "m", Version: 2, MS: 9000}}}.apply(c)
	is.Equal(c.named["m"].behindFor(1, now), 2*time.Second) // known already
	versionsNamed{revision: 6, changed: 6, versions: []catalog.ModelVersion{{Model: "m", Version: 3}}, from: fromStore}.apply(c)
	is.Equal(c.named["m"].behindFor(2, now), time.Duration(1)) // just named
	is.Equal(len(c.ages()), 2)
}

// TestSince: a peer that knows up to a revision is told what changed since, and one
// that knows less than this instance remembers is told all.
func TestSince(t *testing.T) {
	is := is.New(t)
	tt := table()
	tt.list(5, []catalog.Target{entry("a", 1), entry("b", 2), entry("c", 3)}, nil, at0)
	tt.change(7, []catalog.Target{entry("b", 7)}, []string{"a"}, at0)
	entries, gone, all := tt.since(5)
	is.True(!all)
	is.Equal(len(entries), 1)
	is.Equal(entries[0].ID, "b")
	is.Equal(gone, []string{"a"})
	peer := table()
	peer.list(5, []catalog.Target{entry("a", 1), entry("b", 2), entry("c", 3)}, nil, at0)
	peer.change(7, entries, gone, at0)
	is.Equal(len(peer.byID), 2)
	is.Equal(peer.byID["b"].Revision, uint64(7))
	entries, _, all = tt.since(4)
	is.True(all)
	is.Equal(len(entries), 2)
	entries, gone, all = tt.since(7)
	is.True(!all && len(entries) == 0 && len(gone) == 0)
}
