package loads

import (
	"sync"
	"time"
)

// MostSilent is how many silent targets one word names: some 0.6 kB. Of more, whole zones are
// lost, which instances tell one another otherwise.
const MostSilent = 64

// Silent is a target that has answered the teller nothing that it was asked, as it is told.
type Silent struct {
	_      struct{} `cbor:",toarray"`
	Target Key
	MS     int64 // for how long
}

// Silences is what the neighbours told lately of silent targets. It is safe for use by several
// goroutines. Use NewSilences.
type Silences struct {
	maxAge time.Duration

	mu    sync.Mutex
	words map[string]silences // by instance
}

// silences are those of one word.
type silences struct {
	seq   uint64
	at    time.Time
	since map[Key]time.Time
}

// NewSilences returns one that knows of none. A word counts for maxAge.
func NewSilences(maxAge time.Duration) *Silences {
	return &Silences{maxAge: maxAge, words: map[string]silences{}}
}

// Take keeps a neighbour's word, unless a newer one is known.
func (s *Silences) Take(from string, seq uint64, told []Silent, now time.Time) {
	w := silences{seq: seq, at: now, since: make(map[Key]time.Time, min(len(told), MostSilent))}
	for _, t := range told[:min(len(told), MostSilent)] {
		w.note(t.Target, now.Add(-time.Duration(t.MS)*time.Millisecond))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.words[from]; ok && seq <= old.seq && now.Sub(old.at) < s.maxAge {
		return
	}
	s.words[from] = w
}

// note takes since when a target is silent; of two moments the earlier counts.
func (w silences) note(k Key, since time.Time) {
	if known, ok := w.since[k]; !ok || since.Before(known) {
		w.since[k] = since
	}
}

// Since is since when a target has been silent to the neighbour that met it first; zero:
// it is to none.
func (s *Silences) Since(k Key, now time.Time) time.Time {
	var first time.Time
	for _, w := range s.live(now) {
		if since, silent := w.since[k]; silent && (first.IsZero() || since.Before(first)) {
			first = since
		}
	}
	return first
}

// Words returns each neighbour's word that still counts.
func (s *Silences) Words(now time.Time) map[string][]Silent {
	out := map[string][]Silent{}
	for from, w := range s.live(now) {
		for k, since := range w.since {
			out[from] = append(out[from], Silent{Target: k, MS: now.Sub(since).Milliseconds()})
		}
	}
	return out
}

// live returns the words that still count. Nobody changes a word once it was taken.
func (s *Silences) live(now time.Time) map[string]silences {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out map[string]silences
	for from, w := range s.words {
		if now.Sub(w.at) >= s.maxAge {
			delete(s.words, from)
			continue
		}
		if out == nil {
			out = map[string]silences{}
		}
		out[from] = w
	}
	return out
}
