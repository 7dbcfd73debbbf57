package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// What instances tell one another of requests under which targets crashed.

// Report is what one instance tells another of a request. Ages are in ms, since clocks differ.
type Report struct {
	Key     Key     `cbor:"1,keyasint"`
	Label   Label   `cbor:"2,keyasint"`
	Crashes []Crash `cbor:"3,keyasint,omitempty"`
	// AnsweredAge is how long ago the request was last answered whole; -1: never.
	AnsweredAge  int64 `cbor:"4,keyasint"`
	Trials       int   `cbor:"5,keyasint,omitempty"`
	LastTrialAge int64 `cbor:"6,keyasint,omitempty"` // how long ago the last trial began
	VoidTrials   int   `cbor:"7,keyasint,omitempty"` // trials that reached no target
}

// Crash is one life of a target that ended under a request.
type Crash struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
	Age         int64       `cbor:"2,keyasint"` // ms
}

// Reportable says whether instances that start should know of the request, or be told that it
// harms nothing.
func (w Report) Reportable() bool { return len(w.Crashes) >= crashesToTell }

// over says whether nothing of the word counts any more.
func (w Report) over() bool {
	for _, c := range w.Crashes {
		if time.Duration(c.Age)*time.Millisecond < Retention {
			return false
		}
	}
	return true
}

// Merge merges others' words. It returns what is new here, to be passed on, and objections to
// words against requests that only this instance knows to have been answered: for all.
func (b *Tracker) Merge(words []Report, now time.Time) (news, objections []Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range words {
		if w.over() {
			continue
		}
		e := b.entryOf(w.Key, now)
		changed := e.merge(w, now)
		switch {
		case changed && w.AnsweredAge < 0 && e.counted(now) == 0 && !e.answered.IsZero():
			objections = append(objections, e.word(w.Key, now))
		case changed:
			news = append(news, e.word(w.Key, now))
		}
	}
	return news, objections
}

// merge takes one word; it returns whether anything of it was new.
func (e *entry) merge(w Report, now time.Time) (changed bool) {
	if e.label == (Label{}) {
		e.label = w.Label
	}
	for _, c := range w.Crashes {
		at := now.Add(-time.Duration(c.Age) * time.Millisecond)
		if _, known := e.crashes[c.Incarnation]; known || len(e.crashes) >= mostCrashes {
			continue
		}
		e.crashes[c.Incarnation], changed = at, true
	}
	if at := now.Add(-time.Duration(w.AnsweredAge) * time.Millisecond); w.AnsweredAge >= 0 && at.After(e.answered) {
		changed = changed || at.After(e.answered.Add(answeredStep))
		e.answered = at
	}
	if w.Trials > e.trials {
		e.trials, e.tried, changed = w.Trials, now.Add(-time.Duration(w.LastTrialAge)*time.Millisecond), true
	}
	if w.VoidTrials > e.void {
		e.void, changed = w.VoidTrials, true
	}
	return changed
}

// answeredStep is by how much a whole answer must be later to be news.
const answeredStep = alibiTime / 4

// Digest is the same for books that believe the same of Suspects; 0: there are none.
func (b *Tracker) Digest(now time.Time) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := uint64(0)
	for k, e := range b.entries {
		if len(e.crashes) < crashesToTell {
			continue // the most, by far
		}
		n := e.counted(now)
		if n < crashesToTell {
			continue
		}
		var d xxhash.Digest
		d.Reset()
		_, _ = d.Write(k[:]) // a Digest never fails
		_, _ = d.Write([]byte{byte(min(n, crashesToReject)), byte(e.trials), byte(e.void)})
		lives := uint64(0)
		for life := range e.crashes {
			lives ^= uint64(life)
		}
		if n >= crashesToReject {
			lives = 0 // which ones they are makes no difference any more
		}
		sum += d.Sum64() ^ lives
	}
	return sum
}

// Reports tells all of Suspects, and of requests that looked like them until they were
// answered whole: those under which most targets crashed, if there are too many.
func (b *Tracker) Reports(now time.Time) []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Report
	for k, e := range b.entries {
		if len(e.crashes) >= crashesToTell {
			out = append(out, e.word(k, now))
		}
	}
	return TopReports(out)
}

// MaxReports is how many words are told at a time: some 10 kB.
const MaxReports = 128

// TopReports sorts words, those on the most crashes first, and leaves out what is too many.
func TopReports(words []Report) []Report {
	slices.SortFunc(words, func(x, y Report) int {
		if n := cmp.Compare(len(y.Crashes), len(x.Crashes)); n != 0 {
			return n
		}
		return slices.Compare(x.Key[:], y.Key[:])
	})
	return words[:min(len(words), MaxReports)]
}

// word is an entry as it is told.
func (e *entry) word(k Key, now time.Time) Report {
	w := Report{Key: k, Label: e.label, AnsweredAge: -1, Trials: e.trials, VoidTrials: e.void}
	for life, at := range e.crashes {
		w.Crashes = append(w.Crashes, Crash{Incarnation: life, Age: now.Sub(at).Milliseconds()})
	}
	slices.SortFunc(w.Crashes, func(x, y Crash) int { return cmp.Compare(x.Incarnation, y.Incarnation) })
	if !e.answered.IsZero() {
		w.AnsweredAge = now.Sub(e.answered).Milliseconds()
	}
	if e.trials > 0 {
		w.LastTrialAge = now.Sub(e.tried).Milliseconds()
	}
	return w
}
