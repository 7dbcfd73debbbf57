package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// What targets say of themselves in their answers: a life that has said that it leaves leaves
// for good, whatever its entry says, or does not say yet. A next life of its name has not said
// so.

// Bounds of what is remembered.
const (
	// saidLinger is how long the word of a life without an entry is remembered: an entry that
	// vanished may return, and that of a life that only peers spoke of may come.
	saidLinger = 10 * time.Minute
	// unbornLinger is the same for a life whose start is not told. The next of its name can't be
	// told from it, and would be left out for as long as it has an entry.
	unbornLinger = 5 * ReturnTime
	// maxSaid bounds the lives without an entry that are remembered.
	maxSaid = 4096
	// maxName bounds the names of lives that peers speak of, in bytes.
	maxName = 256
)

// Life names one life of a target.
type Life struct {
	Name  string `cbor:"1,keyasint"`
	Start int64  `cbor:"2,keyasint,omitempty"` // as in catalog.Target
}

// LifeOf is the life that a target is.
func LifeOf(t *catalog.Target) Life { return Life{Name: t.Name, Start: t.Start} }

// linger is how long the life's word is remembered without an entry.
func (l Life) linger() time.Duration {
	if l.Start == 0 {
		return unbornLinger
	}
	return saidLinger
}

// Teller is by whom something was learned of a target, for logs.
type Teller struct {
	From string // the way: an answer, a report, a peer
	By   string // the request or the peer; "" if the way says it all
}

// said is what is remembered of a life that has said that it leaves.
type said struct {
	number uint64    // rises with each life that was heard of
	until  time.Time // when it is forgotten, unless it has an entry then
}

// Leaves takes that a life has said that it leaves. It says whether that is news to others: the
// life has an entry, and this does not say so.
func (t *Table) Leaves(l Life, by Teller, now time.Time) bool {
	x := t.byName[l.Name]
	listed := x != nil && LifeOf(&x.Target) == l
	if _, known := t.said[l]; known || !listed && !t.mayCome(l) {
		return false
	}
	t.saidNumber++
	t.said[l] = said{number: t.saidNumber, until: now.Add(l.linger())}
	if !listed {
		return false
	}
	next := *x
	t.set(&next)
	if x.Leaving {
		return false
	}
	t.opts.Log.WithField("target", x.ID).WithField("from", by.From).WithField("by", by.By).Info("target leaves")
	return true
}

// mayCome says whether the entry of a life that has none may come, and its word be kept.
func (t *Table) mayCome(l Life) bool {
	latest := t.gone[l.Name].start
	if x := t.byName[l.Name]; x != nil {
		latest = max(latest, x.Start)
	}
	return l.Start >= latest && len(l.Name) <= maxName && len(t.said) < maxSaid
}

// SaidOnly returns the lives that have said that they leave and whose entries don't say so, the
// one heard of last first.
func (t *Table) SaidOnly() []Life {
	var out []Life
	for l := range t.said {
		if x := t.byName[l.Name]; x != nil && LifeOf(&x.Target) == l && !x.Leaving {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b Life) int { return cmp.Compare(t.said[b].number, t.said[a].number) })
	return out
}

// saidSweep is the pause between two looks at what may be forgotten.
const saidSweep = time.Second

// expireSaid forgets the lives that have had no entry for saidLinger.
func (t *Table) expireSaid(now time.Time) {
	if now.Sub(t.saidSwept) < saidSweep {
		return
	}
	t.saidSwept = now
	for l, s := range t.said {
		x := t.byName[l.Name]
		switch {
		case x != nil && LifeOf(&x.Target) == l:
			s.until = now.Add(l.linger())
			t.said[l] = s
		case now.After(s.until):
			delete(t.said, l)
		}
	}
}
