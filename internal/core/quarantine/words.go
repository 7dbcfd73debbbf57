package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// What instances tell one another of requests under which targets crashed.

// Word is what one instance tells another of a request. Ages are in ms, since clocks differ.
type Word struct {
	Key     Key     `cbor:"1,keyasint"`
	Label   Label   `cbor:"2,keyasint"`
	Crashes []Crash `cbor:"3,keyasint,omitempty"`
	// Answered is how long ago the request was last answered whole; -1: never.
	Answered int64 `cbor:"4,keyasint"`
	Trials   int   `cbor:"5,keyasint,omitempty"`
	Tried    int64 `cbor:"6,keyasint,omitempty"` // how long ago the last trial began
	Void     int   `cbor:"7,keyasint,omitempty"` // trials that reached no target
}

// Crash is one life of a target that ended under a request.
type Crash struct {
	Life Life  `cbor:"1,keyasint"`
	Age  int64 `cbor:"2,keyasint"` // ms
}

// Tells says whether instances that start should know of the request, or be told that it
// harms nothing.
func (w Word) Tells() bool { return len(w.Crashes) >= crashesToTell }

// over says whether nothing of the word counts any more.
func (w Word) over() bool {
	for _, c := range w.Crashes {
		if time.Duration(c.Age)*time.Millisecond < Retention {
			return false
		}
	}
	return true
}

// Take merges others' words. It returns what is new here, to be passed on, and objections to
// words against requests that only this instance knows to have been answered: for all.
func (b *Book) Take(words []Word, now time.Time) (news, objections []Word) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range words {
		if w.over() {
			continue
		}
		e := b.entryOf(w.Key, now)
		changed := e.merge(w, now)
		switch {
		case changed && w.Answered < 0 && e.counted(now) == 0 && !e.answered.IsZero():
			objections = append(objections, e.word(w.Key, now))
		case changed:
			news = append(news, e.word(w.Key, now))
		}
	}
	return news, objections
}

// merge takes one word; it returns whether anything of it was new.
func (e *entry) merge(w Word, now time.Time) (changed bool) {
	if e.label == (Label{}) {
		e.label = w.Label
	}
	for _, c := range w.Crashes {
		at := now.Add(-time.Duration(c.Age) * time.Millisecond)
		if _, known := e.crashes[c.Life]; known || len(e.crashes) >= mostCrashes {
			continue
		}
		e.crashes[c.Life], changed = at, true
	}
	if at := now.Add(-time.Duration(w.Answered) * time.Millisecond); w.Answered >= 0 && at.After(e.answered) {
		changed = changed || at.After(e.answered.Add(answeredStep))
		e.answered = at
	}
	if w.Trials > e.trials {
		e.trials, e.tried, changed = w.Trials, now.Add(-time.Duration(w.Tried)*time.Millisecond), true
	}
	if w.Void > e.void {
		e.void, changed = w.Void, true
	}
	return changed
}

// answeredStep is by how much a whole answer must be later to be news.
const answeredStep = alibiTime / 4

// Digest is the same for books that believe the same of Suspects; 0: there are none.
func (b *Book) Digest(now time.Time) uint64 {
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

// Words tells all of Suspects, and of requests that looked like them until they were
// answered whole: those under which most targets crashed, if there are too many.
func (b *Book) Words(now time.Time) []Word {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Word
	for k, e := range b.entries {
		if len(e.crashes) >= crashesToTell {
			out = append(out, e.word(k, now))
		}
	}
	return Foremost(out)
}

// MostWords is how many words are told at a time: some 10 kB.
const MostWords = 128

// Foremost sorts words, those on the most crashes first, and leaves out what is too many.
func Foremost(words []Word) []Word {
	slices.SortFunc(words, func(x, y Word) int {
		if n := cmp.Compare(len(y.Crashes), len(x.Crashes)); n != 0 {
			return n
		}
		return slices.Compare(x.Key[:], y.Key[:])
	})
	return words[:min(len(words), MostWords)]
}

// word is an entry as it is told.
func (e *entry) word(k Key, now time.Time) Word {
	w := Word{Key: k, Label: e.label, Answered: -1, Trials: e.trials, Void: e.void}
	for life, at := range e.crashes {
		w.Crashes = append(w.Crashes, Crash{Life: life, Age: now.Sub(at).Milliseconds()})
	}
	slices.SortFunc(w.Crashes, func(x, y Crash) int { return cmp.Compare(x.Life, y.Life) })
	if !e.answered.IsZero() {
		w.Answered = now.Sub(e.answered).Milliseconds()
	}
	if e.trials > 0 {
		w.Tried = now.Sub(e.tried).Milliseconds()
	}
	return w
}
