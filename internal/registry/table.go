// Package registry is an instance's copy of the registry in which targets enter
// themselves. It is fed with lists and changes of the object store and with peers' news of
// them, in any order, and says which targets there are. A Table belongs to one goroutine.
//
// A target may start again under the name that it had. Its lives are told apart by their
// starts: what is known of one says nothing of another. Invariant: of each name one life
// at most is in the table, the latest that was heard of.
package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/platform"
)

// linesAtOnce is how many lines one word of changes may cost: a start of a large
// fleet changes thousands of entries.
const linesAtOnce = 64

// Options are what a Table needs of its instance.
type Options struct {
	Log log.Interface
	// Rank orders the targets for this instance, by name.
	Rank func(name string) uint64
	// DepartureRetention is how long a life that ended is remembered: others may hold on to it.
	DepartureRetention time.Duration
}

// Entry is a target with its doubt.
type Entry struct {
	catalog.Target
	Rank  uint64    // see Options
	until time.Time // set: its entry vanished, and it counts as gone from then on
}

// Held says whether the target's entry vanished, and may return.
func (x *Entry) Held() bool { return !x.until.IsZero() }

// Departure is a life of a target that ended.
type Departure struct {
	Models []catalog.ModelVersion // as it served them last
	At     time.Time
}

// Table is the list of targets. A target whose entry vanishes is gone at
// once, but for those that may have lapsed during an outage of the object store.
type Table struct {
	opts     Options
	byName   map[string]*Entry
	names    map[string]string // by id
	sorted   []*Entry          // by name
	held     map[string]bool   // names of those whose entry vanished
	edits    uint64
	lines    int // log lines that the present word may still cost
	leftOut  int // those that it would have cost beyond
	revision platform.Version
	changed  platform.Version
	gone     map[string]vanished
	goneFrom platform.Version     // from which on gone is complete
	said     map[Incarnation]said // see Leaves
	// saidNumber is the number of the last of said.
	saidNumber uint64
	saidSwept  time.Time // see expireSaid
	onNextLife func(Restart)
	departed   []Departure
	listed     bool
	regained   time.Time // when contact with the object store was regained
}

// New returns an empty table.
func New(o Options) *Table {
	return &Table{opts: o, byName: map[string]*Entry{}, names: map[string]string{}, held: map[string]bool{}, gone: map[string]vanished{}, said: map[Incarnation]said{}}
}

// Revision is the object store's revision up to which the table is complete.
func (t *Table) Revision() platform.Version { return t.revision }

// LastChange is the revision of the last change.
func (t *Table) LastChange() platform.Version { return t.changed }

// Listed says whether the targets were listed at all.
func (t *Table) Listed() bool { return t.listed }

// Edits rises with each change that a reader of entries would notice.
func (t *Table) Edits() uint64 { return t.edits }

// Entries returns all entries by name, those that name no usable target too. The slice is
// the table's own.
func (t *Table) Entries() []*Entry { return t.sorted }

// Entry returns the entry of a name, or nil.
func (t *Table) Entry(name string) *Entry { return t.byName[name] }

// Departures returns the lives that ended lately.
func (t *Table) Departures() []Departure { return slices.Clone(t.departed) }

// StoreReconnected says that the object store answers again.
func (t *Table) StoreReconnected(now time.Time) { t.regained = now }

// ApplyList replaces the list by that of a later revision. Of its targets those that vanished
// are named apart: whoever told the list holds them for their return.
func (t *Table) ApplyList(revision platform.Version, targets []catalog.Target, vanished []string, now time.Time) {
	if t.listed && revision < t.revision {
		return
	}
	present := map[string]bool{}
	for _, x := range targets {
		present[x.Name] = true
	}
	gone := slices.Clone(vanished)
	for name := range t.byName {
		if !present[name] {
			gone = append(gone, name)
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

// ApplyChanges takes what changed up to a revision.
func (t *Table) ApplyChanges(revision platform.Version, present []catalog.Target, gone []string, now time.Time) {
	t.take(revision, present, gone, now, linesAtOnce)
	if t.leftOut > 0 {
		t.opts.Log.WithField("targets", len(present)+len(gone)).WithField("lines_left_out", t.leftOut).WithField("revision", uint64(t.revision)).Info("targets changed")
	}
}

// take takes a list or changes, at the cost of so many log lines at most.
func (t *Table) take(revision platform.Version, present []catalog.Target, gone []string, now time.Time, lines int) {
	t.lines, t.leftOut = lines, 0
	t.revision = max(t.revision, revision)
	for _, x := range present {
		t.put(x, now)
	}
	if len(gone) > 0 {
		t.changed = max(t.changed, revision)
	}
	until := t.regained.Add(ReregistrationTimeout)
	if t.sudden(gone) >= massLapse && until.Before(now) {
		until = now.Add(massHold)
	}
	for _, name := range gone {
		t.vanish(name, uint64(revision), until, now)
	}
}

// put takes an entry, unless a newer word of it is known: news by way of a peer
// may overtake the store's own.
func (t *Table) put(x catalog.Target, now time.Time) {
	old, gone := t.byName[x.Name], t.gone[x.Name]
	if x.Revision <= gone.revision || old != nil && x.Revision < old.Revision {
		return
	}
	t.changed = max(t.changed, platform.Version(x.Revision))
	latest := gone.start
	if old != nil {
		latest = max(latest, old.Start)
	}
	switch {
	case x.Unusable, x.Start == 0 && latest != 0:
		t.putUnusable(old, x)
	case x.Start < latest:
		t.putLate(old, x)
	default:
		if old != nil || latest != 0 {
			t.follow(&x, latest, now)
		}
		t.putUsable(old, x, now)
	}
}

// putUnusable takes an entry that names no target to use. What is known of the target
// stays, for when its entry is readable again.
func (t *Table) putUnusable(old *Entry, x catalog.Target) {
	next := Entry{Target: x}
	if old != nil {
		next.Target = old.Target
		next.Revision = x.Revision
	}
	next.Unusable = true
	t.set(&next)
	metric.UnusableTargetEntries.Inc()
	if t.mayLog() {
		t.entryLog(x.Name).WithField("revision", x.Revision).Warn("target's entry names no target to use")
	}
}

// putLate takes what an earlier life wrote and what took effect late: it brings nothing
// back, and the later life stands.
func (t *Table) putLate(old *Entry, x catalog.Target) {
	if old == nil || old.Held() {
		t.putUnusable(old, x)
		return
	}
	next := *old
	next.Revision = x.Revision
	t.set(&next)
	if t.mayLog() {
		t.entryLog(x.Name).WithField("start", x.Start).WithField("latest_start", old.Start).WithField("revision", x.Revision).Info("entry of an earlier life left out")
	}
}

// putUsable takes an entry of the latest life. Within one life weights never go back,
// though an entry may be older than what the target's own answers told.
func (t *Table) putUsable(old *Entry, x catalog.Target, now time.Time) {
	again := old != nil && old.ID != x.ID
	x.WarmupUntil = coldUntil(old, &x, now)
	switch {
	case again:
		t.remove(old.Name, now)
	case old != nil:
		x.Models = newest(x.Models, old.Models)
	}
	next := &Entry{Target: x}
	t.set(next)
	noted := old == nil || again || old.Unusable || old.Leaving != x.Leaving || !slices.Equal(old.Models, x.Models)
	if noted && t.mayLog() {
		t.entryLog(x.Name).WithField("start", x.Start).WithField("again", again).WithField("service", x.Service).WithField("leaving", next.IsLeaving()).
			WithField("models", x.Models).WithField("revision", uint64(t.revision)).Info("target changed")
	}
}

// coldUntil is until when a target is cold that says so in its entry. An entry that was known
// says nothing new.
func coldUntil(old *Entry, x *catalog.Target, now time.Time) time.Time {
	switch {
	case old != nil && old.ID == x.ID && old.Revision == x.Revision:
		return old.WarmupUntil
	case x.WarmupMS <= 0:
		return time.Time{}
	}
	return now.Add(time.Duration(x.WarmupMS) * time.Millisecond)
}

// newest is models, none older than before.
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

// ApplyWeightVersion takes a target's own word of its weights. id names the life that gave it; the
// word of one that ended says nothing.
func (t *Table) ApplyWeightVersion(id string, at catalog.ModelVersion) {
	name, known := t.names[id]
	if !known {
		return
	}
	x := t.byName[name]
	if x.WeightVersion(at.Model) >= at.Version {
		return
	}
	next := *x
	next.Models = newest(x.Models, []catalog.ModelVersion{at})
	t.set(&next)
	t.entryLog(name).WithField("model", at.Model).WithField("version", at.Version).Info("target serves newer weights")
}

// set keeps an entry in place of the one of its name.
func (t *Table) set(x *Entry) {
	s, said := t.said[IncarnationOf(&x.Target)]
	x.LeavingNotice, x.NoticeInherited, x.NoticeRequestSent = said, s.inherited, s.sent
	old := t.byName[x.Name]
	if old != nil {
		x.Rank = old.Rank
	} else {
		x.Rank = t.opts.Rank(x.Name)
	}
	if old == nil || !sameTarget(&old.Target, &x.Target) {
		t.edits++
	}
	t.byName[x.Name], t.names[x.ID] = x, x.Name
	if x.Held() {
		t.held[x.Name] = true
	} else {
		delete(t.held, x.Name)
	}
	i, ok := t.find(x.Name)
	if ok {
		t.sorted[i] = x
	} else {
		t.sorted = slices.Insert(t.sorted, i, x)
	}
}

// remove drops an entry; its life has ended.
func (t *Table) remove(name string, now time.Time) {
	t.departed = slices.DeleteFunc(t.departed, func(d Departure) bool { return now.Sub(d.At) >= t.opts.DepartureRetention })
	x := t.byName[name]
	if len(x.Models) > 0 {
		t.departed = append(t.departed, Departure{Models: x.Models, At: now})
	}
	delete(t.byName, name)
	delete(t.names, x.ID)
	delete(t.held, name)
	if i, ok := t.find(name); ok {
		t.sorted = slices.Delete(t.sorted, i, i+1)
	}
	t.edits++
}

// find is the place of a name among the sorted entries.
func (t *Table) find(name string) (int, bool) {
	return slices.BinarySearchFunc(t.sorted, name, func(x *Entry, name string) int { return cmp.Compare(x.Name, name) })
}

// sameTarget says whether two words of a target differ in nothing that readers use.
func sameTarget(a, b *catalog.Target) bool {
	return a.ID == b.ID && a.Unusable == b.Unusable && a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone &&
		a.Leaving == b.Leaving && a.LeavingNotice == b.LeavingNotice && a.NoticeInherited == b.NoticeInherited && a.NoticeRequestSent.Equal(b.NoticeRequestSent) && a.WarmupUntil.Equal(b.WarmupUntil) && slices.Equal(a.Models, b.Models)
}

// mayLog says whether one more line may be written of the present word.
func (t *Table) mayLog() bool {
	if t.lines == 0 {
		t.leftOut++
		return false
	}
	t.lines--
	return true
}

func (t *Table) entryLog(name string) *log.Entry { return t.opts.Log.WithField("target", name) }
