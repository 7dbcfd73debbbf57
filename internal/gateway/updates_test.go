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

// fakeTargetStore simulates the targets in an object store, with their complete history.
type fakeTargetStore struct {
	revision   uint64
	current    map[string]uint64            // revision of each entry, by id
	byRevision map[uint64]map[string]uint64 // current as of each revision
	changed    []string                     // id of the target that changed, indexed by revision - 1
}

func (s *fakeTargetStore) set(id string, present bool) {
	s.revision++
	s.changed = append(s.changed, id)
	s.current = maps.Clone(s.current)
	delete(s.current, id)
	if present {
		s.current[id] = s.revision
	}
	s.byRevision[s.revision] = s.current
}

// list returns the event of an instance that lists all targets.
func (s *fakeTargetStore) list() targetsListed {
	e := targetsListed{revision: platform.Version(s.revision), from: fromStore}
	for id, at := range s.current {
		e.targets = append(e.targets, entry(id, at))
	}
	return e
}

// changes returns the event of an instance that resumes from a revision. It also names
// targets that were both added and removed since.
func (s *fakeTargetStore) changes(after uint64) targetsChanged {
	e := targetsChanged{revision: platform.Version(s.revision)}
	seen := map[string]bool{}
	for _, id := range s.changed[after:] {
		if seen[id] {
			continue
		}
		seen[id] = true
		if at, there := s.current[id]; there {
			e.present = append(e.present, entry(id, at))
		} else {
			e.gone = append(e.gone, id)
		}
	}
	return e
}

// TestNoUpdateIsIncomplete guards against updates that omit a target or bring a removed one
// back, also if they arrive late. At random, targets are added, changed and removed, and
// instances list them, resume from their revision, apply each other's updates and restart.
// At any time each instance must know exactly the targets that existed at its revision. The
// list is longer than maxRelayedTargets, so that peers do not send all of it to an instance
// that can read the store.
func TestNoUpdateIsIncomplete(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(5, 6))
	s := &fakeTargetStore{current: map[string]uint64{}, byRevision: map[uint64]map[string]uint64{0: {}}}
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
	var delayed []delayedUpdate
	applied := map[string]int{}
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
			applyStateUpdate(c, from.updateFor(c.knownVersions(), r.IntN(4) == 0), s, applied)
		default: // the reply arrives later
			from := fleet[r.IntN(len(fleet))]
			delayed = append(delayed, delayedUpdate{c, from.updateFor(c.knownVersions(), r.IntN(4) == 0)})
		}
		if len(delayed) > 5 {
			j := r.IntN(len(delayed))
			to := delayed[j].to
			applyStateUpdate(to, delayed[j].update, s, applied)
			delayed = append(delayed[:j], delayed[j+1:]...)
			checkTable(t, to, s.byRevision[uint64(to.targets.Revision())])
		}
		for _, c := range fleet {
			c.targets.Expire(now)
		}
		checkTable(t, fleet[i], s.byRevision[uint64(fleet[i].targets.Revision())])
	}
	is.True(applied["changes"] > 100 && applied["all"] > 10 && applied["store"] > 10)
}

// delayedUpdate is a reply in transit.
type delayedUpdate struct {
	to     *controlState
	update *StateUpdate
}

// applyStateUpdate applies an update to an instance as Gateway.applyUpdate does, and counts
// its kind.
func applyStateUpdate(c *controlState, update *StateUpdate, s *fakeTargetStore, applied map[string]int) {
	switch {
	case update == nil:
	case update.ReadStore && c.targets.Listed():
		applied["store"]++
		s.changes(uint64(c.targets.Revision())).apply(c)
	case update.ReadStore:
		s.list().apply(c)
	case update.AllTargets:
		applied["all"]++
		targetsListed{revision: update.TargetsRevision, targets: update.Targets, vanished: update.GoneTargets, from: fromPeer}.apply(c)
	case update.TargetsRevision > 0:
		applied["changes"]++
		targetsChanged{revision: update.TargetsRevision, present: update.Targets, gone: update.GoneTargets}.apply(c)
	}
}

// checkTable compares the targets that an instance knows with those that existed at its
// revision. Entries that vanished together may be held for a while.
func checkTable(t *testing.T, c *controlState, want map[string]uint64) {
	t.Helper()
	if !c.targets.Listed() {
		return
	}
	for id, at := range want {
		x := c.targets.Entry(id)
		if x == nil || x.Revision != at {
			t.Fatalf("at revision %d: target %s is not known with revision %d: %v", c.targets.Revision(), id, at, x)
		}
	}
	for _, x := range c.targets.Entries() {
		id := x.Name
		if c.targets.Entry(id) != x {
			t.Fatalf("target %s is in the table twice, or not found by its id", id)
		}
		if _, there := want[id]; !there && !x.Held() {
			t.Fatalf("at revision %d: target %s was removed but is still known", c.targets.Revision(), id)
		}
	}
}
