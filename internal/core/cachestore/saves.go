package cachestore

import (
	"slices"
	"time"
)

// PendingSaves are an instance's own saves that may not be over. A save has no end of its own: it is
// over when its request is answered, and one whose request was left unanswered may take
// place for as long as its target is silent. The zero value has none.
type PendingSaves struct{ pending []*Save }

// Save is what one request asks a target to save.
type Save struct {
	Target string
	parts  []Key
	began  time.Time
	left   time.Time // when its request was given up without an answer; zero: it was not
	over   time.Time // zero: not known yet
}

// Times of saves.
const (
	// writeTime is how long a target may go on writing once it has answered.
	writeTime = 200 * time.Millisecond
	// lostTime is the longest for which a request that was given up may be under way.
	lostTime = 10 * time.Second
	// doubtTime is how long nothing is known of the target of a request that was given up:
	// others ask it meanwhile, and tell if it answers none of them.
	doubtTime = 1500 * time.Millisecond
)

// TargetActivity are what is known of a target.
type TargetActivity struct {
	LastResponse    time.Time     // when it last answered this instance anything; zero: never
	UnresponsiveFor time.Duration // for how long it has answered nothing that it was asked, by anybody
}

// Begin notes a request that asks a target to save parts.
func (s *PendingSaves) Begin(target string, parts []Key, now time.Time) *Save {
	x := &Save{Target: target, parts: parts, began: now}
	s.pending = append(s.pending, x)
	return x
}

// Answered notes that a save's request was answered.
func (x *Save) Answered(now time.Time) { x.over = now.Add(writeTime) }

// NotSent notes that a save's request never left.
func (x *Save) NotSent(now time.Time) { x.over = now }

// Abandoned notes that a save's request was given up without an answer.
func (x *Save) Abandoned(now time.Time) { x.left, x.over = now, now.Add(lostTime) }

// PendingParts returns the parts of the saves that have been under way for some time or longer, by
// the signs of their targets.
func (s *PendingSaves) PendingParts(now time.Time, after time.Duration, signs func(target string) TargetActivity) []Key {
	s.pending = slices.DeleteFunc(s.pending, func(x *Save) bool {
		if !x.left.IsZero() {
			x.settle(now, signs(x.Target))
		}
		return !x.over.IsZero() && !now.Before(x.over)
	})
	var out []Key
	for _, x := range s.pending {
		if now.Sub(x.began) >= after {
			out = append(out, x.parts...)
		}
	}
	return out
}

// settle says when a save that was left is over, by what is known of its target now.
func (x *Save) settle(now time.Time, is TargetActivity) {
	over := x.over
	switch {
	case is.LastResponse.After(x.left):
		over = is.LastResponse.Add(writeTime)
	case now.Sub(x.left) >= doubtTime && is.UnresponsiveFor < doubtTime:
		over = now
	}
	if over.Before(x.over) {
		x.over = over
	}
}
