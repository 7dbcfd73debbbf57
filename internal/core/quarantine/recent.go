package quarantine

import "time"

// recentAnswers is a bounded cache of the times of the last complete responses. It evicts by
// second chance (the CLOCK algorithm), so that requests that were answered only once go first:
// the cache serves requests that come often.
type recentAnswers struct {
	answers map[Key]answer
	ring    []Key // keys in order of insertion
	hand    int   // index into ring of the next candidate for eviction
}

type answer struct {
	at         time.Time
	referenced bool // answered again since the hand last passed it
}

func newRecentAnswers(size int) recentAnswers {
	return recentAnswers{answers: make(map[Key]answer), ring: make([]Key, 0, size)}
}

// record stores the time of a complete response.
func (r *recentAnswers) record(k Key, now time.Time) {
	if _, known := r.answers[k]; known {
		r.answers[k] = answer{at: now, referenced: true}
		return
	}
	r.answers[k] = answer{at: now}
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, k)
		return
	}
	for old := r.answers[r.ring[r.hand]]; old.referenced; old = r.answers[r.ring[r.hand]] {
		old.referenced = false
		r.answers[r.ring[r.hand]] = old
		r.hand = (r.hand + 1) % len(r.ring)
	}
	delete(r.answers, r.ring[r.hand])
	r.ring[r.hand] = k
	r.hand = (r.hand + 1) % len(r.ring)
}

// lastAnswer returns the time of the last complete response to a request; zero: none is cached.
func (r *recentAnswers) lastAnswer(k Key) time.Time { return r.answers[k].at }
