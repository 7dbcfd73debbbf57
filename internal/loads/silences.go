package loads

import "time"

// MostSilent is how many silent targets one word names: some 0.6 kB. Of more, whole zones are
// lost, which instances tell one another otherwise.
const MostSilent = 64

// Silent is a target that has answered the teller nothing that it was asked, as it is told.
type Silent struct {
	_      struct{} `cbor:",toarray"`
	Target Key
	MS     int64 // for how long
}

// Silences is what the neighbours told lately of silent targets, and of those among them that
// they have heard of since: a target whose queue is long is silent to some and answers others.
// It is safe for use by several goroutines. Use NewSilences.
type Silences struct {
	book  *book[silences]
	heard *book[silences] // when each target was heard last
}

// silences are those of one word: since when each target is silent.
type silences map[Key]time.Time

// NewSilences returns one that knows of none. A word counts for maxAge.
func NewSilences(maxAge time.Duration) *Silences {
	return &Silences{book: newBook[silences](maxAge), heard: newBook[silences](maxAge)}
}

// Take keeps a neighbour's word, unless a newer one is known.
func (s *Silences) Take(from string, seq uint64, told []Silent, now time.Time) {
	told = told[:min(len(told), MostSilent)]
	w := make(silences, len(told))
	for _, t := range told {
		w.note(t.Target, now.Add(-time.Duration(t.MS)*time.Millisecond))
	}
	s.book.take(from, seq, w, now)
}

// TakeHeard keeps what a neighbour told of targets that it has heard of, MS ago.
func (s *Silences) TakeHeard(from string, seq uint64, told []Silent, now time.Time) {
	told = told[:min(len(told), MostSilent)]
	w := make(silences, len(told))
	for _, t := range told {
		w[t.Target] = now.Add(-time.Duration(t.MS) * time.Millisecond)
	}
	s.heard.take(from, seq, w, now)
}

// note takes since when a target is silent; of two moments the earlier counts.
func (w silences) note(k Key, since time.Time) {
	if known, ok := w[k]; !ok || since.Before(known) {
		w[k] = since
	}
}

// Since is since when a target has been silent to the neighbour that met it first; zero:
// it is to none, or another neighbour has heard of it since.
func (s *Silences) Since(k Key, now time.Time) time.Time {
	first, heard := s.first(k, now), time.Time{}
	s.heard.each(now, func(_ string, w silences, _ time.Duration) {
		if at := w[k]; at.After(heard) {
			heard = at
		}
	})
	if heard.After(first) {
		return time.Time{}
	}
	return first
}

// first is since when a target has been silent to the neighbour that met it first.
func (s *Silences) first(k Key, now time.Time) time.Time {
	var first time.Time
	s.book.each(now, func(_ string, w silences, _ time.Duration) {
		if since, silent := w[k]; silent && (first.IsZero() || since.Before(first)) {
			first = since
		}
	})
	return first
}

// Words returns each neighbour's word of silent targets that still counts.
func (s *Silences) Words(now time.Time) map[string][]Silent { return words(s.book, now) }

// HeardWords returns each neighbour's word of targets that it has heard of.
func (s *Silences) HeardWords(now time.Time) map[string][]Silent { return words(s.heard, now) }

func words(b *book[silences], now time.Time) map[string][]Silent {
	out := map[string][]Silent{}
	b.each(now, func(from string, w silences, _ time.Duration) {
		for k, since := range w {
			out[from] = append(out[from], Silent{Target: k, MS: now.Sub(since).Milliseconds()})
		}
	})
	return out
}
