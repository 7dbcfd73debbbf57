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

// testRetention is how long tables in tests keep ended incarnations.
const testRetention = 4 * time.Second

func newTable() *Table {
	return New(Options{Log: &log.Logger{Handler: discard.Default}, Rank: func(string) uint64 { return 1 }, DepartureRetention: testRetention})
}

func newTargetWithoutStart(name string, revision uint64) catalog.Target {
	return newTarget(name, 0, revision)
}

// newTarget returns the entry of one incarnation of a target.
func newTarget(name string, start int64, revision uint64) catalog.Target {
	return catalog.Target{Name: name, Start: start, Revision: revision, Service: "s", Models: []catalog.ModelVersion{{Model: "m", Version: 1}}}.WithID()
}

var baseTime = time.Unix(1000, 0)

// TestVanish checks that the target of a vanished entry is removed at once.
func TestVanish(t *testing.T) {
	is := is.New(t)
	tt := newTable()
	tt.ApplyList(5, []catalog.Target{newTargetWithoutStart("a", 1), newTargetWithoutStart("b", 2)}, nil, baseTime)
	tt.ApplyChanges(6, nil, []string{"a"}, baseTime)
	is.Equal(len(tt.byName), 1)
}

// TestHeldAfterStoreOutage checks that entries which vanish when the object store has just returned
// are held for as long as their return may take, except those of leaving targets.
func TestHeldAfterStoreOutage(t *testing.T) {
	is := is.New(t)
	tt := newTable()
	leaving := newTargetWithoutStart("leaving", 3)
	leaving.Leaving = true
	tt.ApplyList(5, []catalog.Target{newTargetWithoutStart("back", 1), newTargetWithoutStart("gone", 2), leaving}, nil, baseTime)
	tt.StoreReconnected(baseTime)
	tt.ApplyList(9, nil, nil, baseTime)
	is.Equal(len(tt.byName), 2)
	tt.ApplyChanges(10, []catalog.Target{newTargetWithoutStart("back", 10)}, nil, baseTime.Add(time.Second))
	is.True(!tt.Expire(baseTime.Add(ReregistrationTimeout - time.Millisecond)))
	is.True(tt.Expire(baseTime.Add(ReregistrationTimeout)))
	is.Equal(len(tt.byName), 1)
	is.True(tt.byName["back"] != nil)
}

// TestMassExpiry checks that many entries which vanish at once are held, since they may have
// expired though no outage was noticed. They may also have left, so they must get no requests after
// 2 s, the time to publish a view included.
func TestMassExpiry(t *testing.T) {
	is := is.New(t)
	tt := newTable()
	var all []catalog.Target
	var names []string
	for i := range massExpiryThreshold {
		all = append(all, newTargetWithoutStart(fmt.Sprint(i), 1))
		names = append(names, fmt.Sprint(i))
	}
	tt.ApplyList(5, all, nil, baseTime)
	tt.ApplyChanges(6, nil, names, baseTime)
	is.Equal(len(tt.byName), massExpiryThreshold)
	tt.Expire(baseTime.Add(1500 * time.Millisecond))
	is.Equal(len(tt.byName), 0)
}

// TestReorderedUpdates checks that an update from a peer which overtakes the store's own is not
// undone by it, and that a vanished entry returns only with a newer state.
func TestReorderedUpdates(t *testing.T) {
	is := is.New(t)
	tt := newTable()
	tt.ApplyList(5, []catalog.Target{newTargetWithoutStart("a", 1), newTargetWithoutStart("b", 2)}, nil, baseTime)
	draining := newTargetWithoutStart("a", 8)
	draining.Leaving = true
	tt.ApplyList(9, []catalog.Target{draining}, nil, baseTime) // from a peer
	is.True(tt.byName["a"].Leaving)
	tt.ApplyChanges(7, []catalog.Target{newTargetWithoutStart("a", 6), newTargetWithoutStart("b", 7)}, nil, baseTime) // late, from the store
	is.True(tt.byName["a"].Leaving)
	is.True(tt.byName["b"] == nil)
	tt.ApplyChanges(12, []catalog.Target{newTargetWithoutStart("b", 12)}, nil, baseTime)
	is.True(tt.byName["b"] != nil)
	tt.ApplyList(8, nil, nil, baseTime) // an older list
	is.Equal(len(tt.byName), 2)
}

// TestApplyWeightVersion checks that a target's weight versions never decrease, whatever its entry
// says.
func TestApplyWeightVersion(t *testing.T) {
	is := is.New(t)
	tt := newTable()
	tt.ApplyList(5, []catalog.Target{newTargetWithoutStart("a", 1)}, nil, baseTime)
	tt.ApplyWeightVersion("a", catalog.ModelVersion{Model: "m", Version: 3})
	tt.ApplyChanges(6, []catalog.Target{newTargetWithoutStart("a", 6)}, nil, baseTime)
	is.Equal(tt.byName["a"].WeightVersion("m"), uint64(3))
}

// TestChangesSince checks that a peer which knows the table up to a revision is told what changed
// since, and that one with a state older than this instance remembers is told everything.
func TestChangesSince(t *testing.T) {
	is := is.New(t)
	tt := newTable()
	tt.ApplyList(5, []catalog.Target{newTargetWithoutStart("a", 1), newTargetWithoutStart("b", 2), newTargetWithoutStart("c", 3)}, nil, baseTime)
	tt.ApplyChanges(7, []catalog.Target{newTargetWithoutStart("b", 7)}, []string{"a"}, baseTime)
	entries, gone, all := tt.ChangesSince(5)
	is.True(!all)
	is.Equal(len(entries), 1)
	is.Equal(entries[0].Name, "b")
	is.Equal(gone, []string{"a"})
	peer := newTable()
	peer.ApplyList(5, []catalog.Target{newTargetWithoutStart("a", 1), newTargetWithoutStart("b", 2), newTargetWithoutStart("c", 3)}, nil, baseTime)
	peer.ApplyChanges(7, entries, gone, baseTime)
	is.Equal(len(peer.byName), 2)
	is.Equal(peer.byName["b"].Revision, uint64(7))
	entries, _, all = tt.ChangesSince(4)
	is.True(all)
	is.Equal(len(entries), 2)
	entries, gone, all = tt.ChangesSince(7)
	is.True(!all && len(entries) == 0 && len(gone) == 0)
}

// TestRestart checks that a target which restarts under its name is a new one: nothing known of the
// previous incarnation holds for it, and late writes of that one revive nothing.
func TestRestart(t *testing.T) {
	is := is.New(t)
	tt := newTable()
	tt.ApplyList(5, []catalog.Target{newTarget("a", 100, 1)}, nil, baseTime)
	previousID := tt.Entry("a").ID
	tt.ApplyWeightVersion(previousID, catalog.ModelVersion{Model: "m", Version: 3})
	tt.ApplyChanges(6, []catalog.Target{newTarget("a", 200, 6)}, nil, baseTime)
	entry := tt.Entry("a")
	is.True(entry.ID != previousID)
	is.Equal(entry.WeightVersion("m"), uint64(1)) // the version of its own entry
	is.Equal(len(tt.Departures()), 1)             // other instances may still refer to the previous incarnation
	tt.ApplyWeightVersion(previousID, catalog.ModelVersion{Model: "m", Version: 9})
	is.Equal(tt.Entry("a").WeightVersion("m"), uint64(1))

	tt.ApplyChanges(7, []catalog.Target{newTarget("a", 100, 7)}, nil, baseTime) // a late write of the previous incarnation
	is.Equal(tt.Entry("a").ID, entry.ID)
	is.Equal(tt.Entry("a").Revision, uint64(7)) // the list is complete nevertheless
	tt.ApplyChanges(8, nil, []string{"a"}, baseTime)
	tt.ApplyChanges(9, []catalog.Target{newTarget("a", 100, 9)}, nil, baseTime) // the same once its entry is gone
	is.True(tt.Entry("a").Unusable)
	tt.ApplyChanges(10, []catalog.Target{newTarget("a", 300, 10)}, nil, baseTime)
	is.True(!tt.Entry("a").Unusable)
	is.Equal(len(tt.Entries()), 1)
}

// TestUnusableEntry checks that an entry which can't be read, or which lacks the start that its
// target gave before, names no usable target, stays in the list and is reported to peers. When it
// is readable again, what was known of that incarnation still holds.
func TestUnusableEntry(t *testing.T) {
	is := is.New(t)
	unreadable := func(revision uint64) catalog.Target {
		return catalog.Target{Name: "a", Revision: revision, Unusable: true}.WithID()
	}
	tt := newTable()
	tt.ApplyList(5, []catalog.Target{newTarget("a", 100, 1), newTargetWithoutStart("b", 2)}, nil, baseTime)
	id := tt.Entry("a").ID
	tt.ApplyWeightVersion(id, catalog.ModelVersion{Model: "m", Version: 2})
	for _, target := range []catalog.Target{unreadable(6), newTarget("a", 0, 8)} {
		revision, edits := target.Revision, tt.Edits()
		tt.ApplyChanges(platform.Version(revision), []catalog.Target{target}, nil, baseTime)
		is.True(tt.Entry("a").Unusable)
		is.True(!tt.Entry("b").Unusable)
		is.True(tt.Edits() > edits)
		entries, _, all := tt.ChangesSince(platform.Version(revision - 1))
		is.True(!all && len(entries) == 1 && entries[0].Unusable)

		tt.ApplyChanges(platform.Version(revision+1), []catalog.Target{newTarget("a", 100, revision+1)}, nil, baseTime)
		is.True(!tt.Entry("a").Unusable)
		is.Equal(tt.Entry("a").ID, id)
		is.Equal(tt.Entry("a").WeightVersion("m"), uint64(2))
	}
}

// TestChangedSlots guards against readers that keep the slots that a target had before.
func TestChangedSlots(t *testing.T) {
	is := is.New(t)
	tt, target := newTable(), newTarget("a", 100, 1)
	tt.ApplyList(5, []catalog.Target{target}, nil, baseTime)
	edits := tt.Edits()
	target.Revision, target.Slots = 6, 4
	tt.ApplyChanges(6, []catalog.Target{target}, nil, baseTime)
	is.Equal(tt.Entry("a").Slots, 4)
	is.True(tt.Edits() > edits)
}
