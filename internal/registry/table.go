// Package registry holds an instance's copy of the registry in which targets enter themselves. The
// copy is updated with lists and changes from the object store and from peers, in any order. A
// Table belongs to one goroutine.
//
// A target may restart under the same name. Its incarnations are told apart by their starts: what
// is known of one doesn't hold for another. Invariant: the table has at most one incarnation of
// each name, the latest that is known.
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

// maxLogLines is how many log lines one update may write: a start of a large fleet changes
// thousands of entries.
const maxLogLines = 64

// Options configure a Table.
type Options struct {
	Log log.Interface
	// Rank ranks a target for this instance by its name.
	Rank func(name string) uint64
	// DepartureRetention is how long an ended incarnation is kept in Departures: other instances
	// may still refer to it.
	DepartureRetention time.Duration
}

// Entry is a target with its state in the table.
type Entry struct {
	catalog.Target
	Rank      uint64    // see Options
	heldUntil time.Time // set if its entry vanished: when the target counts as gone
}

// Held reports whether the target's entry vanished and may return.
func (e *Entry) Held() bool { return !e.heldUntil.IsZero() }

// Departure is an incarnation of a target that ended.
type Departure struct {
	Models []catalog.ModelVersion // as it last served them
	At     time.Time
}

// Table is the list of targets. A target whose entry vanishes is removed at once, unless the entry
// may have expired because of an outage of the object store.
type Table struct {
	opts            Options
	byName          map[string]*Entry
	nameByID        map[string]string // by ID
	sorted          []*Entry          // by name
	held            map[string]bool   // names of the targets whose entry vanished
	edits           uint64
	logBudget       int // log lines that the current update may still write
	linesSuppressed int // log lines that the current update didn't write
	revision        platform.Version
	lastChange      platform.Version
	vanished        map[string]vanishedEntry
	vanishedFrom    platform.Version              // revision from which on vanished is complete
	notices         map[Incarnation]leavingNotice // see ApplyLeavingNotice
	// lastNoticeSeq is the seq of the latest notice.
	lastNoticeSeq uint64
	noticesSwept  time.Time // see expireNotices
	onRestart     func(Restart)
	departures    []Departure
	listed        bool
	reconnected   time.Time // when the object store was reached again after an outage
}

// New returns an empty table.
func New(o Options) *Table {
	return &Table{opts: o, byName: map[string]*Entry{}, nameByID: map[string]string{}, held: map[string]bool{}, vanished: map[string]vanishedEntry{}, notices: map[Incarnation]leavingNotice{}}
}

// Revision returns the object store's revision up to which the table is complete.
func (t *Table) Revision() platform.Version { return t.revision }

// LastChange returns the revision of the last change.
func (t *Table) LastChange() platform.Version { return t.lastChange }

// Listed reports whether a list was received at all.
func (t *Table) Listed() bool { return t.listed }

// Edits returns a number that increases with each change that a reader of entries would notice.
func (t *Table) Edits() uint64 { return t.edits }

// Entries returns all entries by name, unusable ones too. The caller must not change the slice.
func (t *Table) Entries() []*Entry { return t.sorted }

// Entry returns the entry of a name, or nil.
func (t *Table) Entry(name string) *Entry { return t.byName[name] }

// Departures returns the incarnations that ended lately.
func (t *Table) Departures() []Departure { return slices.Clone(t.departures) }

// StoreReconnected notes that the object store is reachable again.
func (t *Table) StoreReconnected(now time.Time) { t.reconnected = now }

// ApplyList replaces the list by that of a later revision. vanished names those of its targets
// whose entries vanished: the sender of the list holds them in case they return.
func (t *Table) ApplyList(revision platform.Version, targets []catalog.Target, vanished []string, now time.Time) {
	if t.listed && revision < t.revision {
		return
	}
	present := map[string]bool{}
	for _, target := range targets {
		present[target.Name] = true
	}
	gone := slices.Clone(vanished)
	for name := range t.byName {
		if !present[name] {
			gone = append(gone, name)
		}
	}
	logBudget := maxLogLines
	if !t.listed {
		logBudget = 0 // all are new, which the caller logs in one line
	}
	t.vanishedFrom = revision // changes between the previous list and this one are not known
	t.listed = true
	t.apply(revision, targets, gone, now, logBudget)
}

// ApplyChanges applies what changed up to a revision.
func (t *Table) ApplyChanges(revision platform.Version, present []catalog.Target, gone []string, now time.Time) {
	t.apply(revision, present, gone, now, maxLogLines)
	if t.linesSuppressed > 0 {
		t.opts.Log.WithField("targets", len(present)+len(gone)).WithField("lines_left_out", t.linesSuppressed).WithField("revision", uint64(t.revision)).Info("targets changed")
	}
}

// apply applies a list or changes, and writes at most logBudget log lines.
func (t *Table) apply(revision platform.Version, present []catalog.Target, gone []string, now time.Time, logBudget int) {
	t.logBudget, t.linesSuppressed = logBudget, 0
	t.revision = max(t.revision, revision)
	for _, target := range present {
		t.put(target, now)
	}
	if len(gone) > 0 {
		t.lastChange = max(t.lastChange, revision)
	}
	until := t.reconnected.Add(ReregistrationTimeout)
	if t.countUnannounced(gone) >= massExpiryThreshold && until.Before(now) {
		until = now.Add(massExpiryHold)
	}
	for _, name := range gone {
		t.entryVanished(name, uint64(revision), until, now)
	}
}

// put stores an entry, unless a newer state of it is known: an update by way of a peer may overtake
// the store's own.
func (t *Table) put(target catalog.Target, now time.Time) {
	old, gone := t.byName[target.Name], t.vanished[target.Name]
	if target.Revision <= gone.revision || old != nil && target.Revision < old.Revision {
		return
	}
	t.lastChange = max(t.lastChange, platform.Version(target.Revision))
	latestStart := gone.latestStart
	if old != nil {
		latestStart = max(latestStart, old.Start)
	}
	switch {
	case target.Unusable, target.Start == 0 && latestStart != 0:
		t.putUnusable(old, target)
	case target.Start < latestStart:
		t.putStale(old, target)
	default:
		if old != nil || latestStart != 0 {
			t.noteRestart(&target, latestStart, now)
		}
		t.putUsable(old, target, now)
	}
}

// putUnusable stores an entry that names no usable target. What is known of the target stays, for
// when its entry is readable again.
func (t *Table) putUnusable(old *Entry, target catalog.Target) {
	next := Entry{Target: target}
	if old != nil {
		next.Target = old.Target
		next.Revision = target.Revision
	}
	next.Unusable = true
	t.set(&next)
	metric.UnusableTargetEntries.Inc()
	if t.allowLog() {
		t.entryLog(target.Name).WithField("revision", target.Revision).Warn("target's entry names no target to use")
	}
}

// putStale handles a write of an earlier incarnation that took effect late: it revives nothing, and
// the later incarnation stays.
func (t *Table) putStale(old *Entry, target catalog.Target) {
	if old == nil || old.Held() {
		t.putUnusable(old, target)
		return
	}
	next := *old
	next.Revision = target.Revision
	t.set(&next)
	if t.allowLog() {
		t.entryLog(target.Name).WithField("start", target.Start).WithField("latest_start", old.Start).WithField("revision", target.Revision).Info("entry of an earlier life left out")
	}
}

// putUsable stores an entry of the latest incarnation. Within one incarnation weight versions never
// decrease, though an entry may be older than the target's own responses.
func (t *Table) putUsable(old *Entry, target catalog.Target, now time.Time) {
	restarted := old != nil && old.ID != target.ID
	target.WarmupUntil = warmupUntil(old, &target, now)
	switch {
	case restarted:
		t.remove(old.Name, now)
	case old != nil:
		target.Models = newestVersions(target.Models, old.Models)
	}
	next := &Entry{Target: target}
	t.set(next)
	changed := old == nil || restarted || old.Unusable || old.Leaving != target.Leaving || !slices.Equal(old.Models, target.Models)
	if changed && t.allowLog() {
		t.entryLog(target.Name).WithField("start", target.Start).WithField("again", restarted).WithField("service", target.Service).WithField("leaving", next.IsLeaving()).
			WithField("models", target.Models).WithField("revision", uint64(t.revision)).Info("target changed")
	}
}

// warmupUntil returns until when a target is warming up according to its entry. An entry that is
// known already doesn't extend the warmup.
func warmupUntil(old *Entry, target *catalog.Target, now time.Time) time.Time {
	switch {
	case old != nil && old.ID == target.ID && old.Revision == target.Revision:
		return old.WarmupUntil
	case target.WarmupMS <= 0:
		return time.Time{}
	}
	return now.Add(time.Duration(target.WarmupMS) * time.Millisecond)
}

// newestVersions returns models with no version older than in previous.
func newestVersions(models, previous []catalog.ModelVersion) []catalog.ModelVersion {
	out := slices.Clone(models)
	for i := range out {
		for _, p := range previous {
			if p.Model == out[i].Model {
				out[i].Version = max(out[i].Version, p.Version)
			}
		}
	}
	return out
}

// ApplyWeightVersion applies a weight version that a target reported itself. id is the ID of the
// reporting incarnation; reports of an ended one are ignored.
func (t *Table) ApplyWeightVersion(id string, version catalog.ModelVersion) {
	name, known := t.nameByID[id]
	if !known {
		return
	}
	entry := t.byName[name]
	if entry.WeightVersion(version.Model) >= version.Version {
		return
	}
	next := *entry
	next.Models = newestVersions(entry.Models, []catalog.ModelVersion{version})
	t.set(&next)
	t.entryLog(name).WithField("model", version.Model).WithField("version", version.Version).Info("target serves newer weights")
}

// set stores an entry in place of the one of its name.
func (t *Table) set(entry *Entry) {
	notice, announced := t.notices[IncarnationOf(&entry.Target)]
	entry.LeavingNotice, entry.NoticeInherited, entry.NoticeRequestSent = announced, notice.inherited, notice.requestSent
	old := t.byName[entry.Name]
	if old != nil {
		entry.Rank = old.Rank
	} else {
		entry.Rank = t.opts.Rank(entry.Name)
	}
	if old == nil || !equalForReaders(&old.Target, &entry.Target) {
		t.edits++
	}
	t.byName[entry.Name], t.nameByID[entry.ID] = entry, entry.Name
	if entry.Held() {
		t.held[entry.Name] = true
	} else {
		delete(t.held, entry.Name)
	}
	i, ok := t.find(entry.Name)
	if ok {
		t.sorted[i] = entry
	} else {
		t.sorted = slices.Insert(t.sorted, i, entry)
	}
}

// remove removes an entry, whose incarnation has ended.
func (t *Table) remove(name string, now time.Time) {
	t.departures = slices.DeleteFunc(t.departures, func(d Departure) bool { return now.Sub(d.At) >= t.opts.DepartureRetention })
	entry := t.byName[name]
	if len(entry.Models) > 0 {
		t.departures = append(t.departures, Departure{Models: entry.Models, At: now})
	}
	delete(t.byName, name)
	delete(t.nameByID, entry.ID)
	delete(t.held, name)
	if i, ok := t.find(name); ok {
		t.sorted = slices.Delete(t.sorted, i, i+1)
	}
	t.edits++
}

// find returns the index of a name among the sorted entries.
func (t *Table) find(name string) (int, bool) {
	return slices.BinarySearchFunc(t.sorted, name, func(entry *Entry, name string) int { return cmp.Compare(entry.Name, name) })
}

// equalForReaders reports whether two states of a target are the same in all that readers use.
func equalForReaders(a, b *catalog.Target) bool {
	return a.ID == b.ID && a.Unusable == b.Unusable && a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone &&
		a.Leaving == b.Leaving && a.LeavingNotice == b.LeavingNotice && a.NoticeInherited == b.NoticeInherited && a.NoticeRequestSent.Equal(b.NoticeRequestSent) && a.Slots == b.Slots && a.WarmupUntil.Equal(b.WarmupUntil) && slices.Equal(a.Models, b.Models)
}

// allowLog reports whether the current update may write one more log line.
func (t *Table) allowLog() bool {
	if t.logBudget == 0 {
		t.linesSuppressed++
		return false
	}
	t.logBudget--
	return true
}

func (t *Table) entryLog(name string) *log.Entry { return t.opts.Log.WithField("target", name) }
