package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// Leaving notices: what targets announce in their responses. An incarnation that has announced that
// it leaves is leaving for good, whatever its entry says or doesn't say yet. The notice doesn't
// hold for the next incarnation of the name, unless that one gave the response: it may answer at
// the address of the previous one before its own entry arrives. The time at which the request was
// sent tells which incarnation answered.

// Bounds of what is stored of leaving notices.
const (
	// noticeRetention is how long the notice of an incarnation without an entry is kept: an entry
	// that vanished may return, and the entry of an incarnation known only from peers may still
	// arrive.
	noticeRetention = 10 * time.Minute
	// noStartNoticeRetention is the same for an incarnation whose start is not known. The next one
	// of the name can't be told from it, and would be left out for as long as it has an entry.
	noStartNoticeRetention = 5 * ReregistrationTimeout
	// maxNotices bounds the number of notices: beyond it only those of listed incarnations are
	// stored.
	maxNotices = 4096
	// maxNameBytes bounds the names of incarnations that peers report.
	maxNameBytes = 256
	// maxClockSkew is by how much a target's clock may differ from this instance's without a
	// healthy incarnation being left out or a notice of its own being lost: a server takes longer
	// than that to end and restart.
	maxClockSkew = 100 * time.Millisecond
)

// InheritedNoticeTTL is how long an incarnation is left out because of an inherited notice. Clocks
// may differ by more than maxClockSkew, so that a healthy one inherits a notice; one that does leave
// will mostly have ended by then, or announces it again.
const InheritedNoticeTTL = 30 * time.Second

// Incarnation identifies one incarnation of a target: the time from one start to the next.
type Incarnation struct {
	Name  string `cbor:"1,keyasint"`
	Start int64  `cbor:"2,keyasint,omitempty"` // as in catalog.Target
}

// IncarnationOf returns the incarnation that a target is.
func IncarnationOf(target *catalog.Target) Incarnation {
	return Incarnation{Name: target.Name, Start: target.Start}
}

// noticeRetention returns how long the notice is kept while the incarnation has no entry.
func (inc Incarnation) noticeRetention() time.Duration {
	if inc.Start == 0 {
		return noStartNoticeRetention
	}
	return noticeRetention
}

// Source tells where information about a target came from, such as a leaving notice. Channel and
// Reporter are for logs.
type Source struct {
	Channel  string // how it came: an answer, a report, a peer and the like
	Reporter string // ID of the request or the peer; "" if the channel tells enough
	// RequestSent is when the request was sent whose response gave the information, if the
	// response doesn't tell which incarnation answered; zero if it does.
	RequestSent time.Time
}

// StartedBeforeRequest reports whether an incarnation started before a request was sent, so that it
// and not an earlier one gave the response. start is in Unix ms by the target's clock. The result
// is false if either time is not known.
func StartedBeforeRequest(start int64, sent, now time.Time) bool {
	if start == 0 || sent.IsZero() {
		return false
	}
	return start <= earlierTimestamp(sent.UnixMilli(), now.UnixMilli(), now.Sub(sent))+maxClockSkew.Milliseconds()
}

// earlierTimestamp returns the Unix ms of an event: the earlier of the time recorded then and the
// present time less the event's age by the monotonic clock. The wall clock may have jumped
// meanwhile, and the earlier time leaves out no healthy incarnation.
func earlierTimestamp(recorded, now int64, age time.Duration) int64 {
	return min(recorded, now-age.Milliseconds())
}

// Restart tells that a target has restarted under its name.
type Restart struct {
	PreviousID, ID string // of the incarnations
	Start          int64  // of the new incarnation
}

// leavingNotice is what is stored of an incarnation's leaving notice.
type leavingNotice struct {
	seq         uint64    // increases with each notice
	expires     time.Time // when it is dropped, unless the incarnation has an entry then
	requestSent time.Time // see catalog.Target.NoticeRequestSent
	// inherited: the notice is ascribed to this incarnation only by comparing clocks. It expires
	// even if the incarnation has an entry, and is not reported to peers.
	inherited bool
}

// ApplyLeavingNotice notes that an incarnation has announced that it leaves. It reports whether
// peers should be told: the incarnation has an entry, the entry doesn't say so, and the notice is
// new.
func (t *Table) ApplyLeavingNotice(inc Incarnation, source Source, now time.Time) bool {
	entry := t.byName[inc.Name]
	if entry != nil && entry.Start > inc.Start && StartedBeforeRequest(entry.Start, source.RequestSent, now) {
		t.inheritNotice(&entry.Target, source.RequestSent, now, Source{Channel: source.Channel, Reporter: source.Reporter})
		return false
	}
	listed := entry != nil && IncarnationOf(&entry.Target) == inc
	notice, known := t.notices[inc]
	if known && !notice.inherited {
		if source.RequestSent.After(notice.requestSent) {
			notice.requestSent = source.RequestSent
			t.notices[inc] = notice
			t.refreshEntry(entry, listed)
		}
		return false
	}
	if !listed && !t.acceptsNotice(inc) {
		return false
	}
	t.lastNoticeSeq++
	t.notices[inc] = leavingNotice{seq: t.lastNoticeSeq, expires: now.Add(inc.noticeRetention()), requestSent: laterOf(notice.requestSent, source.RequestSent)}
	t.refreshEntry(entry, listed)
	if !listed || entry.Leaving {
		return false
	}
	t.logLeaving(&entry.Target, source)
	return true
}

// inheritNotice ascribes a leaving notice to a target by comparing clocks only.
func (t *Table) inheritNotice(target *catalog.Target, requestSent, now time.Time, source Source) {
	inc := IncarnationOf(target)
	notice, known := t.notices[inc]
	if known && !requestSent.After(notice.requestSent) {
		return
	}
	notice.requestSent = requestSent
	if !known {
		t.lastNoticeSeq++
		notice.seq, notice.inherited, notice.expires = t.lastNoticeSeq, true, now.Add(InheritedNoticeTTL)
		t.logLeaving(target, source)
	}
	t.notices[inc] = notice
	entry := t.byName[inc.Name]
	t.refreshEntry(entry, entry != nil && IncarnationOf(&entry.Target) == inc)
}

func (t *Table) logLeaving(target *catalog.Target, source Source) {
	t.opts.Log.WithField("target", target.ID).WithField("from", source.Channel).WithField("by", source.Reporter).Info("target leaves")
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// refreshEntry updates a listed entry from the notices.
func (t *Table) refreshEntry(entry *Entry, listed bool) {
	if listed {
		next := *entry
		t.set(&next)
	}
}

// OnRestart sets f to be called for each incarnation that follows another of its name, before it is
// listed.
func (t *Table) OnRestart(f func(Restart)) { t.onRestart = f }

// noteRestart handles an incarnation that follows one with an earlier start: a notice that the new
// one has already given was stored for the previous one.
func (t *Table) noteRestart(target *catalog.Target, previousStart int64, now time.Time) {
	if target.Start <= previousStart {
		return
	}
	previous := Incarnation{Name: target.Name, Start: previousStart}
	id := catalog.Target{Name: previous.Name, Start: previous.Start}.WithID().ID
	if notice, announced := t.notices[previous]; announced && StartedBeforeRequest(target.Start, notice.requestSent, now) {
		t.inheritNotice(target, notice.requestSent, now, Source{Channel: channelPreviousIncarnation, Reporter: id})
	}
	if t.onRestart != nil {
		t.onRestart(Restart{PreviousID: id, ID: target.ID, Start: target.Start})
	}
}

// channelPreviousIncarnation is the channel, for logs, of notices stored for the previous
// incarnation.
const channelPreviousIncarnation = "life-before"

// acceptsNotice reports whether the entry of an unlisted incarnation may still arrive, and its
// notice is to be stored.
func (t *Table) acceptsNotice(inc Incarnation) bool {
	latestStart := t.vanished[inc.Name].latestStart
	if entry := t.byName[inc.Name]; entry != nil {
		latestStart = max(latestStart, entry.Start)
	}
	return inc.Start >= latestStart && len(inc.Name) <= maxNameBytes && len(t.notices) < maxNotices
}

// LeavingByNotice returns the incarnations that have announced that they leave and whose entries
// don't say so, the latest notice first.
func (t *Table) LeavingByNotice() []Incarnation {
	var out []Incarnation
	for inc, notice := range t.notices {
		if entry := t.byName[inc.Name]; entry != nil && IncarnationOf(&entry.Target) == inc && !entry.Leaving && !notice.inherited {
			out = append(out, inc)
		}
	}
	slices.SortFunc(out, func(a, b Incarnation) int { return cmp.Compare(t.notices[b].seq, t.notices[a].seq) })
	return out
}

// noticeSweepInterval is the time between two sweeps of expired notices.
const noticeSweepInterval = time.Second

// expireNotices drops the notices of incarnations that have been without an entry for the retention
// time, and inherited notices that have expired. It reports whether targets may be used again.
func (t *Table) expireNotices(now time.Time) (restored bool) {
	if now.Sub(t.noticesSwept) < noticeSweepInterval {
		return false
	}
	t.noticesSwept = now
	for inc, notice := range t.notices {
		entry := t.byName[inc.Name]
		listed := entry != nil && IncarnationOf(&entry.Target) == inc
		switch {
		case listed && !notice.inherited:
			notice.expires = now.Add(inc.noticeRetention())
			t.notices[inc] = notice
		case now.After(notice.expires):
			delete(t.notices, inc)
			t.refreshEntry(entry, listed)
			restored = restored || listed
		}
	}
	return restored
}
