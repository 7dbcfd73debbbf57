package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/platform"
)

// testLinger is how long the tables of tests remember lives that ended.
const testLinger = 4 * time.Second

func table() *Table {
	return New(Options{Log: &log.Logger{Handler: discard.Default}, Rank: func(string) uint64 { return 1 }, DepartureRetention: testLinger})
}

func entry(name string, revision uint64) catalog.Target { return life(name, 0, revision) }

// life is the entry of one life of a target.
func life(name string, start int64, revision uint64) catalog.Target {
	return catalog.Target{Name: name, Start: start, Revision: revision, Service: "s", Models: []catalog.ModelVersion{{Model: "m", Version: 1}}}.WithID()
}

var at0 = time.Unix(1000, 0)

// TestVanish: an entry that vanishes is gone at once.
func TestVanish(t *testing.T) {
	is := is.New(t)
	tt := table()
	tt.ApplyList(5, []catalog.Target{entry("a", 1), entry("b", 2)}, nil, at0)
	tt.ApplyChanges(6, nil, []string{"a"}, at0)
	is.Equal(len(tt.byName), 1)
}

// TestLapse: entries that vanish when the object store has just returned are held
// for as long as their return may take; those that were leaving are not.
func TestLapse(t *testing.T) {
	is := is.New(t)
	tt := table()
	leaving := entry("leaving", 3)
	leaving.Leaving = true
	tt.ApplyList(5, []catalog.Target{entry("back", 1), entry("gone", 2), leaving}, nil, at0)
	tt.StoreReconnected(at0)
	tt.ApplyList(9, nil, nil, at0)
	is.Equal(len(tt.byName), 2)
	tt.ApplyChanges(10, []catalog.Target{entry("back", 10)}, nil, at0.Add(time.Second))
	is.True(!tt.Expire(at0.Add(ReregistrationTimeout - time.Millisecond)))
	is.True(tt.Expire(at0.Add(ReregistrationTimeout)))
	is.Equal(len(tt.byName), 1)
	is.True(tt.byName["back"] != nil)
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
	tt.ApplyList(5, all, nil, at0)
	tt.ApplyChanges(6, nil, ids, at0)
	is.Equal(len(tt.byName), massLapse)
	tt.Expire(at0.Add(1500 * time.Millisecond))
	is.Equal(len(tt.byName), 0)
}

// TestOvertaken: news from a peer that overtakes the store's own word is not
// undone by it, and an entry that was gone returns only by a newer word.
func TestOvertaken(t *testing.T) {
	is := is.New(t)
	tt := table()
	tt.ApplyList(5, []catalog.Target{entry("a", 1), entry("b", 2)}, nil, at0)
	draining := entry("a", 8)
	draining.Leaving = true
	tt.ApplyList(9, []catalog.Target{draining}, nil, at0) // by a peer
	is.True(tt.byName["a"].Leaving)
	tt.ApplyChanges(7, []catalog.Target{entry("a", 6), entry("b", 7)}, nil, at0) // late, by the store
	is.True(tt.byName["a"].Leaving)
	is.True(tt.byName["b"] == nil)
	tt.ApplyChanges(12, []catalog.Target{entry("b", 12)}, nil, at0)
	is.True(tt.byName["b"] != nil)
	tt.ApplyList(8, nil, nil, at0) // an old list
	is.Equal(len(tt.byName), 2)
}

// TestServes: weights of a target never go back, whatever its entry says.
func TestServes(t *testing.T) {
	is := is.New(t)
	tt := table()
	tt.ApplyList(5, []catalog.Target{entry("a", 1)}, nil, at0)
	tt.ApplyWeightVersion("a", catalog.ModelVersion{Model: "m", Version: 3})
	tt.ApplyChanges(6, []catalog.Target{entry("a", 6)}, nil, at0)
	is.Equal(tt.byName["a"].WeightVersion("m"), uint64(3))
}

// TestSince: a peer that knows up to a revision is told what changed since, and one
// that knows less than this instance remembers is told all.
func TestSince(t *testing.T) {
	is := is.New(t)
	tt := table()
	tt.ApplyList(5, []catalog.Target{entry("a", 1), entry("b", 2), entry("c", 3)}, nil, at0)
	tt.ApplyChanges(7, []catalog.Target{entry("b", 7)}, []string{"a"}, at0)
	entries, gone, all := tt.ChangesSince(5)
	is.True(!all)
	is.Equal(len(entries), 1)
	is.Equal(entries[0].Name, "b")
	is.Equal(gone, []string{"a"})
	peer := table()
	peer.ApplyList(5, []catalog.Target{entry("a", 1), entry("b", 2), entry("c", 3)}, nil, at0)
	peer.ApplyChanges(7, entries, gone, at0)
	is.Equal(len(peer.byName), 2)
	is.Equal(peer.byName["b"].Revision, uint64(7))
	entries, _, all = tt.ChangesSince(4)
	is.True(all)
	is.Equal(len(entries), 2)
	entries, gone, all = tt.ChangesSince(7)
	is.True(!all && len(entries) == 0 && len(gone) == 0)
}

// TestStartsAgain: a target that starts again under its name is another one. Nothing that
// was known of the life before holds for it, and late words of that life bring nothing back.
func TestStartsAgain(t *testing.T) {
	is := is.New(t)
	tt := table()
	tt.ApplyList(5, []catalog.Target{life("a", 100, 1)}, nil, at0)
	before := tt.Entry("a").ID
	tt.ApplyWeightVersion(before, catalog.ModelVersion{Model: "m", Version: 3})
	tt.ApplyChanges(6, []catalog.Target{life("a", 200, 6)}, nil, at0)
	x := tt.Entry("a")
	is.True(x.ID != before)
	is.Equal(x.WeightVersion("m"), uint64(1)) // the weights that it says
	is.Equal(len(tt.Departures()), 1)         // others may hold on to the one before
	tt.ApplyWeightVersion(before, catalog.ModelVersion{Model: "m", Version: 9})
	is.Equal(tt.Entry("a").WeightVersion("m"), uint64(1))

	tt.ApplyChanges(7, []catalog.Target{life("a", 100, 7)}, nil, at0) // a write of the life before
	is.Equal(tt.Entry("a").ID, x.ID)
	is.Equal(tt.Entry("a").Revision, uint64(7)) // the list is complete all the same
	tt.ApplyChanges(8, nil, []string{"a"}, at0)
	tt.ApplyChanges(9, []catalog.Target{life("a", 100, 9)}, nil, at0) // the same after its entry is gone
	is.True(tt.Entry("a").Unusable)
	tt.ApplyChanges(10, []catalog.Target{life("a", 300, 10)}, nil, at0)
	is.True(!tt.Entry("a").Unusable)
	is.Equal(len(tt.Entries()), 1)
}

// TestUnusable: an entry that can't be read, or that lacks the start which its target
// told before, names no target to use; it stands in the list and is told to peers. When
// it is readable again, what was known of that life holds on.
func TestUnusable(t *testing.T) {
	is := is.New(t)
	bad := func(revision uint64) catalog.Target {
		return catalog.Target{Name: "a", Revision: revision, Unusable: true}.WithID()
	}
	tt := table()
	tt.ApplyList(5, []catalog.Target{life("a", 100, 1), entry("b", 2)}, nil, at0)
	id := tt.Entry("a").ID
	tt.ApplyWeightVersion(id, catalog.ModelVersion{Model: "m", Version: 2})
	for _, x := range []catalog.Target{bad(6), life("a", 0, 8)} {
		revision, edits := x.Revision, tt.Edits()
		tt.ApplyChanges(platform.Version(revision), []catalog.Target{x}, nil, at0)
		is.True(tt.Entry("a").Unusable)
		is.True(!tt.Entry("b").Unusable)
		is.True(tt.Edits() > edits)
		entries, _, all := tt.ChangesSince(platform.Version(revision - 1))
		is.True(!all && len(entries) == 1 && entries[0].Unusable)

		tt.ApplyChanges(platform.Version(revision+1), []catalog.Target{life("a", 100, revision+1)}, nil, at0)
		is.True(!tt.Entry("a").Unusable)
		is.Equal(tt.Entry("a").ID, id)
		is.Equal(tt.Entry("a").WeightVersion("m"), uint64(2))
	}
}
