package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/platform"
)

// Vanished entries: which targets are gone, which may return, and what peers are told of them.

// Bounds for held entries.
const (
	// ReregistrationTimeout is how long targets may take to write their entries again after an
	// outage of the object store in which the entries expired.
	ReregistrationTimeout = 2 * time.Second
	// massExpiryThreshold is how many entries of targets that are not leaving must vanish at once
	// to be treated as expired rather than removed: an outage may end before it is noticed.
	massExpiryThreshold = 3
	// massExpiryHold is how long those are held if no outage was noticed: they may have left
	// properly, and must get no requests 2 s after they announced it.
	massExpiryHold = 1200 * time.Millisecond
	// maxVanished bounds the number of vanished entries that are remembered.
	maxVanished = 4096
)

// vanishedEntry is what is remembered of an entry that has vanished.
type vanishedEntry struct {
	revision    uint64
	latestStart int64 // of the target's latest incarnation
}

// countUnannounced counts the targets that vanish without having announced that they leave.
func (t *Table) countUnannounced(gone []string) int {
	n := 0
	for _, name := range gone {
		if entry := t.byName[name]; entry != nil && !entry.IsLeaving() {
			n++
		}
	}
	return n
}

// entryVanished removes an entry that was gone at a revision, or holds it for a while if it may
// have expired. A late update may name one that has returned since.
func (t *Table) entryVanished(name string, revision uint64, until, now time.Time) {
	entry := t.byName[name]
	if entry != nil && entry.Revision > revision {
		return
	}
	t.recordVanished(name, revision, entry)
	if entry == nil || entry.Held() {
		return // it came and went since the last update, or is held already; peers may know it
	}
	if !entry.IsLeaving() && !entry.Unusable && until.After(now) {
		t.set(&Entry{Target: entry.Target, heldUntil: until})
		if t.allowLog() {
			t.entryLog(name).WithField("for_ms", until.Sub(now).Milliseconds()).Info("target's entry vanished, held")
		}
		return
	}
	t.remove(name, now)
	if t.allowLog() {
		t.entryLog(name).WithField("revision", uint64(t.revision)).Info("target gone")
	}
}

// recordVanished remembers that an entry vanished, for peers with an older state.
func (t *Table) recordVanished(name string, revision uint64, entry *Entry) {
	if len(t.vanished) > maxVanished {
		t.vanished, t.vanishedFrom = map[string]vanishedEntry{}, t.revision
	}
	v := t.vanished[name]
	v.revision = max(v.revision, revision)
	if entry != nil {
		v.latestStart = max(v.latestStart, entry.Start)
	}
	t.vanished[name] = v
}

// Expire removes the held entries whose time is over, and leaving notices that have expired. It
// reports whether readers see a difference.
func (t *Table) Expire(now time.Time) bool {
	changed := t.expireNotices(now)
	for name := range t.held {
		if !now.Before(t.byName[name].heldUntil) {
			t.remove(name, now)
			changed = true
			t.entryLog(name).Info("target gone, its entry did not return")
		}
	}
	return changed
}

// ChangesSince returns what changed after a revision: entries, and names that are gone. If that is
// not known it returns all entries, and all is true; gone then names those of them that vanished
// and are held here.
func (t *Table) ChangesSince(revision platform.Version) (entries []catalog.Target, gone []string, all bool) {
	if revision < t.vanishedFrom {
		return t.allTargets(), slices.Sorted(maps.Keys(t.held)), true
	}
	for _, entry := range t.byName {
		if !entry.Held() && entry.Revision > uint64(revision) {
			entries = append(entries, entry.Target)
		}
	}
	for name, v := range t.vanished {
		if entry := t.byName[name]; v.revision > uint64(revision) && (entry == nil || entry.Held()) {
			gone = append(gone, name)
		}
	}
	return entries, gone, false
}

// allTargets returns all targets in the table, held ones too.
func (t *Table) allTargets() []catalog.Target {
	out := make([]catalog.Target, 0, len(t.byName))
	for _, entry := range t.byName {
		out = append(out, entry.Target)
	}
	return out
}
