package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/platform"
)

// Times of held entries.
const (
	// returnTime is how long after the object store's return an entry that lapsed
	// meanwhile may take to be written again.
	returnTime = 2 * time.Second
	// massLapse is how many entries that were not leaving must vanish at once to
	// be taken for lapsed rather than gone: an outage may end before it is noticed.
	massLapse = 3
	// massHold is how long those are held if no outage was noticed: they may have
	// left in order, and must get no requests 2 s after they said so.
	massHold = 1200 * time.Millisecond
	// maxGone bounds the memory of vanished entries.
	maxGone = 4096
	// linesAtOnce is how many lines one word of changes may cost: a start of a large
	// fleet changes thousands of entries.
	linesAtOnce = 64
)

// heldTarget is a target with its doubt.
type heldTarget struct {
	catalog.Target
	until time.Time // set: its entry vanished, and it counts as gone from then on
	score uint64    // rank among those that this instance uses, see control.candidates
}

// targetTable is the list of targets. A target whose entry vanishes is gone at
// once, but for those that may have lapsed during an outage of the object store.
type targetTable struct {
	log      log.Interface
	self     string // this instance
	byID     map[string]*heldTarget
	sorted   []*heldTarget     // the same by id
	held     map[string]bool   // ids of those whose entry vanished
	edits    uint64            // rises with each change
	lines    int               // log lines that the present word may still cost
	leftOut  int               // those that it would have cost beyond
	revision platform.Version  // up to which the list is complete
	changed  platform.Version  // of the last change
	gone     map[string]uint64 // revisions at which entries vanished
	goneFrom platform.Version  // from which on gone is complete
	departed []departure       // the lately removed
	listed   bool
	regained time.Time // when contact with the object store was regained
}

// departure is a target that was removed from the list.
type departure struct {
	models []catalog.ModelVersion
	at     time.Time
}

// remove drops a target.
func (t *targetTable) remove(id string, now time.Time) {
	t.departed = slices.DeleteFunc(t.departed, func(d departure) bool { return now.Sub(d.at) >= lingerTime })
	if x := t.byID[id]; len(x.Models) > 0 {
		t.departed = append(t.departed, departure{models: x.Models, at: now})
	}
	delete(t.byID, id)
	delete(t.held, id)
	if i, ok := t.find(id); ok {
		t.sorted = slices.Delete(t.sorted, i, i+1)
	}
	t.edits++
}

// find is the place of a target among the sorted ones.
func (t *targetTable) find(id string) (int, bool) {
	return slices.BinarySearchFunc(t.sorted, id, func(x *heldTarget, id string) int { return cmp.Compare(x.ID, id) })
}

// set keeps a target in place of what was known of it.
func (t *targetTable) set(x *heldTarget) {
	old := t.byID[x.ID]
	if old != nil {
		x.score = old.score
	} else {
		x.score = roleScore(t.self, x.ID)
	}
	if old == nil || !sameTarget(&old.Target, &x.Target) {
		t.edits++
	}
	t.byID[x.ID] = x
	if x.until.IsZero() {
		delete(t.held, x.ID)
	} else {
		if t.held == nil {
			t.held = map[string]bool{}
		}
		t.held[x.ID] = true
	}
	i, ok := t.find(x.ID)
	if ok {
		t.sorted[i] = x
	} else {
		t.sorted = slices.Insert(t.sorted, i, x)
	}
}

// sameTarget says whether two words of a target differ in nothing that views are used for.
func sameTarget(a, b *catalog.Target) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots && a.Leaving == b.Leaving &&
		slices.Equal(a.Models, b.Models)
}

// score is a target's rank among those that this instance uses.
func (t *targetTable) score(id string) uint64 { return t.byID[id].score }

// contactRegained says that the object store answers again.
func (t *targetTable) contactRegained(now time.Time) { t.regained = now }

// list replaces the list by that of a later revision. Of its targets those that vanished
// are named apart: whoever told the list holds them for their return.
func (t *targetTable) list(revision platform.Version, targets []catalog.Target, vanished []string, now time.Time) {
	if t.listed && revision < t.revision {
		return
	}
	present := map[string]bool{}
	for _, x := range targets {
		present[x.ID] = true
	}
	gone := slices.Clone(vanished)
	for id := range t.byID {
		if !present[id] {
			gone = append(gone, id)
		}
	}
	lines := linesAtOnce
	if !t.listed {
		lines = 0 // all are new, which the line on the list says
	}
	t.goneFrom = revision // what came and went since the list before is not known
	t.listed = true
	t.take(revision, targets, gone, now, lines)
}

// change takes what changed up to a revision.
func (t *targetTable) change(revision platform.Version, present []catalog.Target, gone []string, now time.Time) {
	t.take(revision, present, gone, now, linesAtOnce)
	if t.leftOut > 0 {
		t.log.WithField("targets", len(present)+len(gone)).WithField("lines_left_out", t.leftOut).WithField("revision", uint64(t.revision)).Info("targets changed")
	}
}

// mayLog says whether one more line may be written of the present word.
func (t *targetTable) mayLog() bool {
	if t.lines == 0 {
		t.leftOut++
		return false
	}
	t.lines--
	return true
}

// take takes a list or changes, at the cost of so many log lines at most.
func (t *targetTable) take(revision platform.Version, present []catalog.Target, gone []string, now time.Time, lines int) {
	t.lines, t.leftOut = lines, 0
	t.revision = max(t.revision, revision)
	for _, x := range present {
		t.put(x)
	}
	if len(gone) > 0 {
		t.changed = max(t.changed, revision)
	}
	sudden := 0
	for _, id := range gone {
		if x := t.byID[id]; x != nil && !x.Leaving {
			sudden++
		}
	}
	until := t.regained.Add(returnTime)
	if sudden >= massLapse && until.Before(now) {
		until = now.Add(massHold)
	}
	for _, id := range gone {
		t.vanish(id, uint64(revision), until, now)
	}
}

// put takes an entry, unless a newer word of it is known: news by way of a peer
// may overtake the store's own. Weights never go back within one incarnation,
// though an entry may be older than what the target's own answers told.
func (t *targetTable) put(x catalog.Target) {
	old := t.byID[x.ID]
	if x.Revision <= t.gone[x.ID] || (old != nil && x.Revision < old.Revision) {
		return
	}
	t.changed = max(t.changed, platform.Version(x.Revision))
	if old != nil {
		x.Models = newest(x.Models, old.Models)
	}
	t.set(&heldTarget{Target: x})
	if (old == nil || old.Leaving != x.Leaving || !slices.Equal(old.Models, x.Models)) && t.mayLog() {
		t.log.WithField("target", x.ID).WithField("service", x.Service).WithField("leaving", x.Leaving).WithField("models", x.Models).
			WithField("revision", uint64(t.revision)).Info("target changed")
	}
}

func newest(models, before []catalog.ModelVersion) []catalog.ModelVersion {
	out := slices.Clone(models)
	for i := range out {
		for _, b := range before {
			if b.Model == out[i].Model {
				out[i].Version = max(out[i].Version, b.Version)
			}
		}
	}
	return out
}

// vanish drops an entry that was gone at a revision, or holds it for a while if it may
// have lapsed. Late news may name one that has returned since.
func (t *targetTable) vanish(id string, revision uint64, until, now time.Time) {
	x := t.byID[id]
	if x != nil && x.Revision > revision {
		return
	}
	t.noteGone(id, revision)
	if x == nil || !x.until.IsZero() {
		return // it came and went since the last word, or is held already; others may know it
	}
	if !x.Leaving && until.After(now) {
		t.set(&heldTarget{Target: x.Target, until: until})
		if t.mayLog() {
			t.log.WithField("target", id).WithField("for_ms", until.Sub(now).Milliseconds()).Info("target's entry vanished, held")
		}
		return
	}
	t.remove(id, now)
	if t.mayLog() {
		t.log.WithField("target", id).WithField("revision", uint64(t.revision)).Info("target gone")
	}
}

// noteGone remembers that an entry vanished, for those who know less.
func (t *targetTable) noteGone(id string, revision uint64) {
	if t.gone == nil {
		t.gone = map[string]uint64{}
	}
	if len(t.gone) > maxGone {
		t.gone, t.goneFrom = map[string]uint64{}, t.revision
	}
	t.gone[id] = max(t.gone[id], revision)
}

// expire drops the held entries whose time is over; it says whether there were any.
func (t *targetTable) expire(now time.Time) bool {
	changed := false
	for id := range t.held {
		if !now.Before(t.byID[id].until) {
			t.remove(id, now)
			changed = true
			t.log.WithField("target", id).Info("target gone, its entry did not return")
		}
	}
	return changed
}

// serves takes a target's own word of its weights.
func (t *targetTable) serves(id string, at catalog.ModelVersion) {
	x := t.byID[id]
	if x == nil || x.VersionOf(at.Model) >= at.Version {
		return
	}
	next := *x
	next.Models = newest(x.Models, []catalog.ModelVersion{at})
	t.set(&next)
	t.log.WithField("target", id).WithField("model", at.Model).WithField("version", at.Version).Info("target serves newer weights")
}

// since returns what changed after a revision: entries, and ids that are gone. If
// that is not known it returns all entries, and all is true; gone then names those among
// them that vanished and are held here.
func (t *targetTable) since(revision platform.Version) (entries []catalog.Target, gone []string, all bool) {
	if revision < t.goneFrom {
		return t.all(), slices.Sorted(maps.Keys(t.held)), true
	}
	for _, x := range t.byID {
		if x.until.IsZero() && x.Revision > uint64(revision) {
			entries = append(entries, x.Target)
		}
	}
	for id, at := range t.gone {
		if x := t.byID[id]; at > uint64(revision) && (x == nil || !x.until.IsZero()) {
			gone = append(gone, id)
		}
	}
	return entries, gone, false
}

// all returns the entries that stand, held ones too.
func (t *targetTable) all() []catalog.Target {
	out := make([]catalog.Target, 0, len(t.byID))
	for _, x := range t.byID {
		out = append(out, x.Target)
	}
	return out
}
