// Package eviction decides which connections of callers are closed when a process has no room for more. It does no
// I/O, starts no goroutines and reads no clock.
//
// A request that has been received whole is never evicted: a target may have begun to run it. Of all others those
// give way that have gone longest without progress and hold most, so that a caller with a small request finds room
// beside any number of callers that stop in the middle of theirs.
package eviction

import (
	"cmp"
	"slices"
	"time"
)

// Phase is what a connection is used for.
type Phase uint8

// Values of Phase, in the order in which connections give way.
const (
	Closing   Phase = iota // its last response has been written, and the caller has not closed it yet
	Receiving              // a part of a request has arrived
	Idle                   // it carries no request
	Running                // a whole request has arrived, and its response is not written yet
)

// String returns the phase as it appears in logs and metrics.
func (p Phase) String() string {
	switch p {
	case Closing:
		return "closing"
	case Receiving:
		return "receiving"
	case Idle:
		return "idle"
	case Running:
		return "running"
	}
	return "unknown"
}

// Candidate is what is known of one connection.
type Candidate struct {
	Phase   Phase
	Held    int64         // bytes of memory
	Stalled time.Duration // since it last made progress
}

const (
	// grace is how long a connection keeps its place without progress. A caller that sends without pause is
	// held up for some round trips at most.
	grace = 250 * time.Millisecond
	// smallerBy is how many times less than a connection in progress another has to hold to take its place.
	smallerBy = 2
	// idleWorth is how many times more than an idle connection another may hold to take its place: large requests
	// don't cost many callers their connections.
	idleWorth = 16
)

// ForMemory returns the indexes of the candidates to evict, the first to go first, so that at least need bytes become
// free for a connection that will then hold held bytes. It returns nil if that many can't be freed.
func ForMemory(candidates []Candidate, need, held int64) []int {
	return enough(ranked(candidates, compareHeld, func(c Candidate) bool {
		switch c.Phase {
		case Closing:
			return c.hasStalled()
		case Receiving:
			return c.hasStalled() || c.Held >= smallerBy*held
		case Idle:
			return c.hasStalled() && held <= idleWorth*c.Held // a new one has had no time to send
		default:
			return false
		}
	}), candidates, need)
}

// ForConnection returns the index of the candidate to evict so that another connection can be accepted, or false if
// all of them are running. It is the one that has gone longest without progress, so that a new one has time to send its
// request however fast others come.
func ForConnection(candidates []Candidate) (index int, ok bool) {
	longest := ranked(candidates, compareStalled, func(c Candidate) bool { return c.Phase != Running })
	if len(longest) == 0 {
		return 0, false
	}
	return longest[0], true
}

// ranked returns the indexes of those candidates that may be evicted, the first to go first.
func ranked(candidates []Candidate, compare func(a, b Candidate) int, mayEvict func(Candidate) bool) []int {
	var out []int
	for i, c := range candidates {
		if mayEvict(c) {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int { return compare(candidates[a], candidates[b]) })
	return out
}

// compareHeld orders candidates where memory is lacking, the first to go first.
func compareHeld(a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(a.rank(), b.rank()),
		cmp.Compare(b.weight(), a.weight()),
		cmp.Compare(b.Stalled, a.Stalled),
	)
}

// compareStalled orders candidates where only a connection is lacking, the first to go first. Idle ones and those in
// progress are alike.
func compareStalled(a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(min(a.rank(), rankIdle), min(b.rank(), rankIdle)),
		cmp.Compare(b.Stalled, a.Stalled),
	)
}

// Ranks of candidates, in the order in which they give way.
const (
	rankClosing   = iota // stalled
	rankReceiving        // stalled
	rankIdle
	rankInProgress
)

// hasStalled reports whether the candidate has made no progress for so long that it may give way.
func (c Candidate) hasStalled() bool { return c.Stalled >= grace }

// rank returns the place of the candidate's phase. A connection that is receiving, or whose last response is on its way,
// goes before idle ones once it has stalled, and after them while it makes progress.
func (c Candidate) rank() int {
	switch {
	case c.Phase == Closing && c.hasStalled():
		return rankClosing
	case c.Phase == Receiving && c.hasStalled():
		return rankReceiving
	case c.Phase == Idle:
		return rankIdle
	default:
		return rankInProgress
	}
}

// weight is how much memory the candidate has kept from others, and for how long.
func (c Candidate) weight() float64 { return float64(c.Held) * float64(c.Stalled) }

// enough returns the first of the indexes whose candidates hold need bytes together, or nil.
func enough(order []int, candidates []Candidate, need int64) []int {
	for n, i := range order {
		need -= candidates[i].Held
		if need <= 0 {
			return order[:n+1]
		}
	}
	return nil
}
