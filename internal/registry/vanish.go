package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/platform"
)

// Entries that vanish: which are gone, which may return, and what peers are told of them.

// Times of held entries.
const (
	// ReregistrationTimeout is how long after the object store's return an entry that lapsed
	// meanwhile may take to be written again.
	ReregistrationTimeout = 2 * time.Second
	// massLapse is how many entries that were not leaving must vanish at once to
	// be taken for lapsed rather than gone: an outage may end before it is noticed.
	massLapse = 3
	// massHold is how long those are held if no outage was noticed: they may have
	// left in order, and must get no requests 2 s after they said so.
	massHold = 1200 * time.Millisecond
	// maxGone bounds the memory of vanished entries.
	maxGone = 4096
)

// vanished is what is remembered of an entry that is no more.
type vanished struct {
	revision uint64
	start    int64 // of the target's latest life
}

// sudden counts those that vanish without having said that they leave.
func (t *Table) sudden(gone []string) int {
	n := 0
	for _, name := range gone {
		if x := t.byName[name]; x != nil && !x.IsLeaving() {
			n++
		}
	}
	return n
}

// vanish drops an entry that was gone at a revision, or holds it for a while if it may
// have lapsed. Late news may name one that has returned since.
func (t *Table) vanish(name string, revision uint64, until, now time.Time) {
	x := t.byName[name]
	if x != nil && x.Revision > revision {
		return
	}
	t.noteGone(name, revision, x)
	if x == nil || x.Held() {
		return // it came and went since the last word, or is held already; others may know it
	}
	if !x.IsLeaving() && !x.Unusable && until.After(now) {
		t.set(&Entry{Target: x.Target, until: until})
		if t.mayLog() {
			t.entryLog(name).WithField("for_ms", until.Sub(now).Milliseconds()).Info("target's entry vanished, held")
		}
		return
	}
	t.remove(name, now)
	if t.mayLog() {
		t.entryLog(name).WithField("revision", uint64(t.revision)).Info("target gone")
	}
}

// noteGone remembers that an entry vanished, for those who know less.
func (t *Table) noteGone(name string, revision uint64, x *Entry) {
	if len(t.gone) > maxGone {
		t.gone, t.goneFrom = map[string]vanished{}, t.revision
	}
	v := t.gone[name]
	v.revision = max(v.revision, revision)
	if x != nil {
		v.start = max(v.start, x.Start)
	}
	t.gone[name] = v
}

// Expire drops the held entries whose time is over, and words of targets that are; it says
// whether readers see a difference.
func (t *Table) Expire(now time.Time) bool {
	changed := t.expireSaid(now)
	for name := range t.held {
		if !now.Before(t.byName[name].until) {
			t.remove(name, now)
			changed = true
			t.entryLog(name).Info("target gone, its entry did not return")
		}
	}
	return changed
}

// ChangesSince returns what changed after a revision: entries, and names that are gone. If
// that is not known it returns all entries, and all is true; gone then names those among
// them that vanished and are held here.
func (t *Table) ChangesSince(revision platform.Version) (entries []catalog.Target, gone []string, all bool) {
	if revision < t.goneFrom {
		return t.all(), slices.Sorted(maps.Keys(t.held)), true
	}
	for _, x := range t.byName {
		if !x.Held() && x.Revision > uint64(revision) {
			entries = append(entries, x.Target)
		}
	}
	for name, v := range t.gone {
		if x := t.byName[name]; v.revision > uint64(revision) && (x == nil || x.Held()) {
			gone = append(gone, name)
		}
	}
	return entries, gone, false
}

// all returns the entries that stand, held ones too.
func (t *Table) all() []catalog.Target {
	out := make([]catalog.Target, 0, len(t.byName))
	for _, x := range t.byName {
		out = append(out, x.Target)
	}
	return out
}
