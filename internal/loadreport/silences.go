package loadreport

import "time"

// MaxUnresponsive is how many silent targets one word names: some 0.6 kB. Of more, whole zones are
// lost, which instances tell one another otherwise.
const MaxUnresponsive = 64

// TargetAge is a target that has answered the teller nothing that it was asked, as it is told.
type TargetAge struct {
	_      struct{} `cbor:",toarray"`
	Target Key
	AgeMS  int64 // for how long
}

// UnresponsiveTargets is what the neighbours told lately of silent targets, and of those among them that
// they have heard of since: a target whose queue is long is silent to some and answers others.
// It is safe for use by several goroutines. Use NewUnresponsiveTargets.
type UnresponsiveTargets struct {
	book  *book[silences]
	heard *book[silences] // when each target was heard last
}

// silences are those of one word: since when each target is silent.
type silences map[Key]time.Time

// NewUnresponsiveTargets returns one that knows of none. A word counts for maxAge.
func NewUnresponsiveTargets(maxAge time.Duration) *UnresponsiveTargets {
	return &UnresponsiveTargets{book: newBook[silences](maxAge), heard: newBook[silences](maxAge)}
}

// Apply keeps a neighbour's word, unless a newer one is known.
func (s *UnresponsiveTargets) Apply(from string, seq uint64, told []TargetAge, now time.Time) {
	told = told[:min(len(told), MaxUnresponsive)]
	w := make(silences, len(told))
	for _, t := range told {
		w.note(t.Target, now.Add(-time.Duration(t.AgeMS)*time.Millisecond))
	}
	s.book.take(from, seq, w, now)
}

// ApplyResponses keeps what a neighbour told of targets that it has heard of, AgeMS ago.
func (s *UnresponsiveTargets) ApplyResponses(from string, seq uint64, told []TargetAge, now time.Time) {
	told = told[:min(len(told), MaxUnresponsive)]
	w := make(silences, len(told))
	for _, t := range told {
		w[t.Target] = now.Add(-time.Duration(t.AgeMS) * time.Millisecond)
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
func (s *UnresponsiveTargets) Since(k Key, now time.Time) time.Time {
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
func (s *UnresponsiveTargets) first(k Key, now time.Time) time.Time {
	var first time.Time
	s.book.each(now, func(_ string, w silences, _ time.Duration) {
		if since, silent := w[k]; silent && (first.IsZero() || since.Before(first)) {
			first = since
		}
	})
	return first
}

// Reports returns each neighbour's word of silent targets that still counts.
func (s *UnresponsiveTargets) Reports(now time.Time) map[string][]TargetAge {
	return words(s.book, now)
}

// ResponseReports returns each neighbour's word of targets that it has heard of.
func (s *UnresponsiveTargets) ResponseReports(now time.Time) map[string][]TargetAge {
	return words(s.heard, now)
}

func words(b *book[silences], now time.Time) map[string][]TargetAge {
	out := map[string][]TargetAge{}
	b.each(now, func(from string, w silences, _ time.Duration) {
		for k, since := range w {
			out[from] = append(out[from], TargetAge{Target: k, AgeMS: now.Sub(since).Milliseconds()})
		}
	})
	return out
}
