package admission

import (
	"math"
	"sync"
	"time"
)

const (
	// overloadGap is the time without refusals that ends an overload.
	overloadGap = time.Second
	// outcomesHalfLife is the half-life of the counts of admitted and refused requests. It gives an
	// instance enough of them to judge by, and is shorter than most overloads.
	outcomesHalfLife = 4 * time.Second
	// starvedShare is how often a level is admitted, relative to all, below which its limits are
	// relaxed. No kind of request may be served less than a quarter as often as all
	// (docs/design/contended-and-uneven-load.md); the rest is a margin, since one instance counts few.
	starvedShare = 0.5
	// scarceShare is the refused share of the requests of level 0 from which on these count as
	// exceeding the capacity. Headroom keeps bursts of less urgent requests from causing as many.
	scarceShare = 0.1
	// minOutcomes is the number of requests of a level below which it does not count as starved.
	minOutcomes = 3
)

// History is what an instance remembers of the requests of each service and level. The zero value
// is ready for use, from any goroutine.
type History struct {
	mu     sync.Mutex
	levels map[levelKey]levelHistory
}

type levelKey struct {
	service string
	level   int
}

type levelHistory struct {
	since, last       time.Time // of the current run of refusals
	admitted, refused float64   // as of countedAt
	countedAt         time.Time
}

// decayed returns h with its counts as of now.
func (h levelHistory) decayed(now time.Time) levelHistory {
	factor := math.Exp2(-float64(max(now.Sub(h.countedAt), 0)) / float64(outcomesHalfLife))
	h.admitted, h.refused, h.countedAt = h.admitted*factor, h.refused*factor, now
	return h
}

// Admitted records that a request was sent to a target.
func (h *History) Admitted(service string, level int, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := levelKey{service, level}
	l := h.levels[key].decayed(now)
	l.admitted++
	h.set(key, l)
}

// Refused records the refusal of a request, and returns how long requests of its level have been
// refused. The refusal of a more urgent request prolongs this for all lower levels: they have
// stricter limits, and one instance may refuse too few of their own requests to see that the
// overload lasts.
func (h *History) Refused(service string, levels Levels, level int, now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := level; i < max(len(levels), level+1); i++ {
		key := levelKey{service, i}
		l := h.levels[key].decayed(now)
		if now.Sub(l.last) > overloadGap {
			l.since = now
		}
		l.last = now
		if i == level {
			l.refused++
		}
		h.set(key, l)
	}
	return now.Sub(h.levels[levelKey{service, level}].since)
}

// set stores a level's history. h.mu is held.
func (h *History) set(key levelKey, l levelHistory) {
	if h.levels == nil {
		h.levels = map[levelKey]levelHistory{}
	}
	h.levels[key] = l
}

// Limits returns the limits of a request. A level that is starved has those of the next more urgent
// one: headroom protects urgent requests from bursts of others, and is of less use where the urgent
// requests alone exceed the capacity.
func (h *History) Limits(service string, levels Levels, r Request, now time.Time) Limits {
	level := levels.Of(r.Rank)
	if level == 0 || !h.isStarved(service, levels, level, now) {
		return levels.Limits(r)
	}
	r.Rank = levels[level-1].Rank
	out := levels.Limits(r)
	out.Level, out.Relaxed = level, true
	return out
}

// isStarved reports whether the requests of a level are admitted much less often than all while
// those of level 0 are refused too. Otherwise lower levels exceed the capacity, and to relax their
// limits would only make them displace the others.
func (h *History) isStarved(service string, levels Levels, level int, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all levelHistory
	for i := range levels {
		l := h.levels[levelKey{service, i}].decayed(now)
		all.admitted, all.refused = all.admitted+l.admitted, all.refused+l.refused
	}
	urgent, own := h.levels[levelKey{service, 0}].decayed(now), h.levels[levelKey{service, level}].decayed(now)
	ownSum, allSum := own.admitted+own.refused, all.admitted+all.refused
	return ownSum >= minOutcomes && urgent.refused > scarceShare*(urgent.admitted+urgent.refused) && own.admitted*allSum < starvedShare*all.admitted*ownSum
}

// Retain forgets the services that are not known.
func (h *History) Retain(known func(service string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key := range h.levels {
		if !known(key.service) {
			delete(h.levels, key)
		}
	}
}

// Bounds of Retry-After.
const (
	// minRetryAfter and minRetrySpread are the range while an overload is young: a target's memory
	// turns over in one to four seconds.
	minRetryAfter  = 500 * time.Millisecond
	minRetrySpread = 1500 * time.Millisecond
	// levelDelay is added for each level, as a share of level 0's value, so that more urgent
	// callers return first. maxLevelDelay bounds the sum.
	levelDelay    = 0.5
	maxLevelDelay = 1.0
	// maxWaitShare bounds the value by the caller's time left: callers do not wait longer, and what
	// is left must suffice for the response.
	maxWaitShare = 1.0 / 3
)

// RetryAfter returns when a refused caller should return, for an overload of the given age. The
// overload is expected to last about as long as it already has, and callers return spread over the
// later half of that time. left is the time that the caller has left, and random is uniform in [0, 1).
func RetryAfter(level int, age, left time.Duration, random float64) time.Duration {
	factor := 1 + min(levelDelay*float64(level), maxLevelDelay)
	latest := factor * float64(max(age, minRetrySpread))
	earliest := factor * float64(max(age/2, minRetryAfter))
	latest = min(latest, maxWaitShare*float64(max(left, 0)))
	earliest = min(earliest, latest/2)
	return time.Duration(earliest + random*(latest-earliest))
}
