package gateway

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/platform"
)

// fakeTargetStore is an object store's targets with their whole history.
type fakeTargetStore struct {
	revision uint64
	now      map[string]uint64            // revision of each entry, by id
	at       map[uint64]map[string]uint64 // the same as of each revision
	changed  []string                     // id by revision, less one
}

func (s *fakeTargetStore) set(id string, present bool) {
	s.revision++
	s.changed = append(s.changed, id)
	s.now = maps.Clone(s.now)
	delete(s.now, id)
	if present {
		s.now[id] = s.revision
	}
	s.at[s.revision] = s.now
}

// list is what an instance gets that lists all.
func (s *fakeTargetStore) list() targetsListed {
	e := targetsListed{revision: platform.Version(s.revision), from: fromStore}
	for id, at := range s.now {
		e.targets = append(e.targets, entry(id, at))
	}
	return e
}

// changes is what an instance gets that goes on from a revision: also that targets are
// gone which came since.
func (s *fakeTargetStore) changes(after uint64) targetsChanged {
	e := targetsChanged{revision: platform.Version(s.revision)}
	seen := map[string]bool{}
	for _, id := range s.changed[after:] {
		if seen[id] {
			continue
		}
		seen[id] = true
		if at, there := s.now[id]; there {
			e.present = append(e.present, entry(id, at))
		} else {
			e.gone = append(e.gone, id)
		}
	}
	return e
}

// TestNoUpdateIsIncomplete mixes at random: targets that come, change and go; instances that
// list them, go on from where they were, take one another's news, and start again. At any
// time each instance knows exactly the targets that there were at its revision: news leave
// nothing out, and bring nothing back, late ones neither. The list is long enough that peers do not hand it
// over whole to an instance that can ask the store.
func TestNoUpdateIsIncomplete(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(5, 6))
	s := &fakeTargetStore{now: map[string]uint64{}, at: map[uint64]map[string]uint64{0: {}}}
	id := func() string { return fmt.Sprintf("i-%03d", r.IntN(maxRelayedTargets*3/2)) }
	for i := range maxRelayedTargets + 20 {
		s.set(fmt.Sprintf("i-%03d", i), true)
	}
	now := at0
	start := func(i int) *controlState {
		c := controlOf(fmt.Sprintf("e-%d", i), "z0")
		c.now = func() time.Time { return now }
		return c
	}
	fleet := make([]*controlState, 6)
	for i := range fleet {
		fleet[i] = start(i)
	}
	var late []delayedUpdate
	took := map[string]int{}
	for range 20_000 {
		now = now.Add(10 * time.Millisecond)
		i := r.IntN(len(fleet))
		c := fleet[i]
		switch n := r.IntN(100); {
		case n < 40:
			s.set(id(), r.IntN(3) > 0)
		case n < 45 && c.targets.Listed():
			s.changes(uint64(c.targets.Revision())).apply(c)
		case n < 48:
			s.list().apply(c)
		case n == 48:
			fleet[i] = start(i)
		case n < 90:
			from := fleet[r.IntN(len(fleet))]
			applyDelayed(c, from.updateFor(c.knownVersions(), r.IntN(4) == 0), s, took)
		default: // the answer comes later
			from := fleet[r.IntN(len(fleet))]
			late = append(late, delayedUpdate{c, from.updateFor(c.knownVersions(), r.IntN(4) == 0)})
		}
		if len(late) > 5 {
			j := r.IntN(len(late))
			to := late[j].to
			applyDelayed(to, late[j].update, s, took)
			late = append(late[:j], late[j+1:]...)
			checkTable(t, to, s.at[uint64(to.targets.Revision())])
		}
		for _, c := range fleet {
			c.targets.Expire(now)
		}
		checkTable(t, fleet[i], s.at[uint64(fleet[i].targets.Revision())])
	}
	is.True(took["changes"] > 100 && took["all"] > 10 && took["store"] > 10)
}

// delayedUpdate is an answer under way.
type delayedUpdate struct {
	to     *controlState
	update *StateUpdate
}

// applyDelayed lets an instance take another's news as Gateway.applyDelayed does.
func applyDelayed(c *controlState, n *StateUpdate, s *fakeTargetStore, took map[string]int) {
	switch {
	case n == nil:
	case n.ReadStore && c.targets.Listed():
		took["store"]++
		s.changes(uint64(c.targets.Revision())).apply(c)
	case n.ReadStore:
		s.list().apply(c)
	case n.AllTargets:
		took["all"]++
		targetsListed{revision: n.TargetsRevision, targets: n.Targets, vanished: n.GoneTargets, from: fromPeer}.apply(c)
	case n.TargetsRevision > 0:
		took["changes"]++
		targetsChanged{revision: n.TargetsRevision, present: n.Targets, gone: n.GoneTargets}.apply(c)
	}
}

// checkTable compares what an instance knows with what there was at its revision. Entries
// that vanished together may be held for a while.
func checkTable(t *testing.T, c *controlState, want map[string]uint64) {
	t.Helper()
	if !c.targets.Listed() {
		return
	}
	for id, at := range want {
		x := c.targets.Entry(id)
		if x == nil || x.Revision != at {
			t.Fatalf("at revision %d %s is not known as of %d: %v", c.targets.Revision(), id, at, x)
		}
	}
	for _, x := range c.targets.Entries() {
		id := x.Name
		if c.targets.Entry(id) != x {
			t.Fatalf("%s stands twice in the table, or not at all", id)
		}
		if _, there := want[id]; !there && !x.Held() {
			t.Fatalf("at revision %d %s is known and gone", c.targets.Revision(), id)
		}
	}
}
