package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// What targets say of themselves in their answers: a life that has said that it leaves leaves
// for good, whatever its entry says, or does not say yet. A next life of its name has not said
// so, unless the answer was its own: it may answer at the address of the one before while its
// entry has not come. The time at which the request was sent tells which life answered.

// Bounds of what is remembered.
const (
	// saidLinger is how long the word of a life without an entry is remembered: an entry that
	// vanished may return, and that of a life that only peers spoke of may come.
	saidLinger = 10 * time.Minute
	// unbornLinger is the same for a life whose start is not told. The next of its name can't be
	// told from it, and would be left out for as long as it has an entry.
	unbornLinger = 5 * ReregistrationTimeout
	// maxSaid bounds the lives without an entry that are remembered.
	maxSaid = 4096
	// maxName bounds the names of lives that peers speak of, in bytes.
	maxName = 256
	// clockDoubt is by how much a target's clock may differ from this instance's for no healthy
	// life to be left out, and no word of its own to be lost: a server takes longer than that to
	// end and start again.
	clockDoubt = 100 * time.Millisecond
)

// InheritedNoticeTTL is how long a life is left out by a word that it has inherited. Clocks may be wrong
// by more than clockDoubt; a life that leaves will mostly have ended by then, or says so again.
const InheritedNoticeTTL = 30 * time.Second

// Incarnation names one life of a target.
type Incarnation struct {
	Name  string `cbor:"1,keyasint"`
	Start int64  `cbor:"2,keyasint,omitempty"` // as in catalog.Target
}

// IncarnationOf is the life that a target is.
func IncarnationOf(t *catalog.Target) Incarnation { return Incarnation{Name: t.Name, Start: t.Start} }

// linger is how long the life's word is remembered without an entry.
func (l Incarnation) linger() time.Duration {
	if l.Start == 0 {
		return unbornLinger
	}
	return saidLinger
}

// Source is by whom something was learned of a target, for logs.
type Source struct {
	Channel  string // the way: an answer, a report, a peer
	Reporter string // the request or the peer; "" if the way says it all
	// RequestSent is when the request was sent whose answer says it, if that does not tell which life
	// answers; zero: it does.
	RequestSent time.Time
}

// StartedBeforeRequest says whether a life that started at a time of its target's clock, Unix ms, has answered
// a request that was sent at a time: an earlier life has not answered what was sent after that.
func StartedBeforeRequest(start int64, sent, now time.Time) bool {
	if start == 0 || sent.IsZero() {
		return false
	}
	return start <= earlierReading(sent.UnixMilli(), now.UnixMilli(), now.Sub(sent))+clockDoubt.Milliseconds()
}

// earlierReading is when something was, Unix ms, by the time of day as read then or as read now
// and the age by the steady clock: the time of day may have jumped meanwhile. The earlier one
// counts, so that a jump costs no healthy life.
func earlierReading(then, now int64, age time.Duration) int64 {
	return min(then, now-age.Milliseconds())
}

// Restart says that a target has started again under its name.
type Restart struct {
	PreviousID, ID string // of the lives
	Start          int64  // of the new one
}

// said is what is remembered of a life that has said that it leaves.
type said struct {
	number uint64    // rises with each life that was heard of
	until  time.Time // when it is forgotten, unless it has an entry then
	sent   time.Time // see catalog.Target.NoticeRequestSent
	// inherited: clocks alone tell that the word is this life's. It is forgotten also while the
	// life has an entry, and is not told to peers.
	inherited bool
}

// ApplyLeavingNotice takes that a life has said that it leaves. It says whether that is news to others: the
// life has an entry, and this does not say so.
func (t *Table) ApplyLeavingNotice(l Incarnation, by Source, now time.Time) bool {
	x := t.byName[l.Name]
	if x != nil && x.Start > l.Start && StartedBeforeRequest(x.Start, by.RequestSent, now) {
		t.inherit(&x.Target, by.RequestSent, now, Source{Channel: by.Channel, Reporter: by.Reporter})
		return false
	}
	listed := x != nil && IncarnationOf(&x.Target) == l
	s, known := t.said[l]
	if known && !s.inherited {
		if by.RequestSent.After(s.sent) {
			s.sent = by.RequestSent
			t.said[l] = s
			t.renew(x, listed)
		}
		return false
	}
	if !listed && !t.mayCome(l) {
		return false
	}
	t.saidNumber++
	t.said[l] = said{number: t.saidNumber, until: now.Add(l.linger()), sent: latest(s.sent, by.RequestSent)}
	t.renew(x, listed)
	if !listed || x.Leaving {
		return false
	}
	t.logLeaves(&x.Target, by)
	return true
}

// inherit takes that a life has said that it leaves, as far as clocks tell.
func (t *Table) inherit(x *catalog.Target, sent, now time.Time, by Source) {
	l := IncarnationOf(x)
	s, known := t.said[l]
	if known && !sent.After(s.sent) {
		return
	}
	s.sent = sent
	if !known {
		t.saidNumber++
		s.number, s.inherited, s.until = t.saidNumber, true, now.Add(InheritedNoticeTTL)
		t.logLeaves(x, by)
	}
	t.said[l] = s
	e := t.byName[l.Name]
	t.renew(e, e != nil && IncarnationOf(&e.Target) == l)
}

func (t *Table) logLeaves(x *catalog.Target, by Source) {
	t.opts.Log.WithField("target", x.ID).WithField("from", by.Channel).WithField("by", by.Reporter).Info("target leaves")
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// renew has a listed entry show what was said.
func (t *Table) renew(x *Entry, listed bool) {
	if listed {
		next := *x
		t.set(&next)
	}
}

// OnRestart has f called with each life that follows another of its name, before it is listed.
func (t *Table) OnRestart(f func(Restart)) { t.onNextLife = f }

// follow takes that a life follows one that started before: what the new one has said already was
// noted of the other.
func (t *Table) follow(x *catalog.Target, before int64, now time.Time) {
	if x.Start <= before {
		return
	}
	old := Incarnation{Name: x.Name, Start: before}
	id := catalog.Target{Name: old.Name, Start: old.Start}.WithID().ID
	if s, spoke := t.said[old]; spoke && StartedBeforeRequest(x.Start, s.sent, now) {
		t.inherit(x, s.sent, now, Source{Channel: fromLifeBefore, Reporter: id})
	}
	if t.onNextLife != nil {
		t.onNextLife(Restart{PreviousID: id, ID: x.ID, Start: x.Start})
	}
}

// fromLifeBefore is the way, for logs, of what was noted of the life before.
const fromLifeBefore = "life-before"

// mayCome says whether the entry of a life that has none may come, and its word be kept.
func (t *Table) mayCome(l Incarnation) bool {
	latest := t.gone[l.Name].start
	if x := t.byName[l.Name]; x != nil {
		latest = max(latest, x.Start)
	}
	return l.Start >= latest && len(l.Name) <= maxName && len(t.said) < maxSaid
}

// LeavingByNotice returns the lives that have said that they leave and whose entries don't say so, the
// one heard of last first.
func (t *Table) LeavingByNotice() []Incarnation {
	var out []Incarnation
	for l, s := range t.said {
		if x := t.byName[l.Name]; x != nil && IncarnationOf(&x.Target) == l && !x.Leaving && !s.inherited {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b Incarnation) int { return cmp.Compare(t.said[b].number, t.said[a].number) })
	return out
}

// saidSweep is the pause between two looks at what may be forgotten.
const saidSweep = time.Second

// expireSaid forgets the lives that have had no entry for as long as they linger, and words that
// were inherited long ago. It says whether targets may be used again.
func (t *Table) expireSaid(now time.Time) (again bool) {
	if now.Sub(t.saidSwept) < saidSweep {
		return false
	}
	t.saidSwept = now
	for l, s := range t.said {
		x := t.byName[l.Name]
		listed := x != nil && IncarnationOf(&x.Target) == l
		switch {
		case listed && !s.inherited:
			s.until = now.Add(l.linger())
			t.said[l] = s
		case now.After(s.until):
			delete(t.said, l)
			t.renew(x, listed)
			again = again || listed
		}
	}
	return again
}
