package cachestore

import (
	"slices"
	"time"
)

// PendingSaves tracks the saves that an instance requested and that may still be in progress. A save
// has no expiry of its own: it ends when its request is answered, and one whose request was abandoned
// may be executed for as long as its target is unresponsive. The zero value is empty.
type PendingSaves struct{ pending []*Save }

// Save is the set of parts that one request asks a target to save.
type Save struct {
	Target      string
	parts       []Key
	startedAt   time.Time
	abandonedAt time.Time // when the request was abandoned without a response; zero if it was not
	endsAt      time.Time // when the save can no longer write; zero if not known yet
}

const (
	// trailingWriteTime is how long a target may continue to write after its response.
	trailingWriteTime = 200 * time.Millisecond
	// maxAbandonedTime is how long an abandoned request may remain in flight at most.
	maxAbandonedTime = 10 * time.Second
	// silenceDetectionTime is how long the state of an abandoned request's target is unknown:
	// within it, other instances send requests to the target and report if it answers none of them.
	silenceDetectionTime = 1500 * time.Millisecond
)

// TargetActivity is what is known about the responsiveness of a target.
type TargetActivity struct {
	LastResponse    time.Time     // when this instance last received any response from it; zero if never
	UnresponsiveFor time.Duration // how long it has answered no request of any instance
}

// Begin records a request that asks a target to save parts.
func (s *PendingSaves) Begin(target string, parts []Key, now time.Time) *Save {
	save := &Save{Target: target, parts: parts, startedAt: now}
	s.pending = append(s.pending, save)
	return save
}

// Answered records that the save's request was answered.
func (s *Save) Answered(now time.Time) { s.endsAt = now.Add(trailingWriteTime) }

// NotSent records that the save's request was never sent.
func (s *Save) NotSent(now time.Time) { s.endsAt = now }

// Abandoned records that the save's request was abandoned without a response.
func (s *Save) Abandoned(now time.Time) { s.abandonedAt, s.endsAt = now, now.Add(maxAbandonedTime) }

// PendingParts returns the parts of the saves that have been pending for at least minAge. It first
// drops the saves that have ended, judging abandoned ones by the activity of their targets.
func (s *PendingSaves) PendingParts(now time.Time, minAge time.Duration, activityOf func(target string) TargetActivity) []Key {
	s.pending = slices.DeleteFunc(s.pending, func(save *Save) bool {
		if !save.abandonedAt.IsZero() {
			save.updateEnd(now, activityOf(save.Target))
		}
		return !save.endsAt.IsZero() && !now.Before(save.endsAt)
	})
	var parts []Key
	for _, save := range s.pending {
		if now.Sub(save.startedAt) >= minAge {
			parts = append(parts, save.parts...)
		}
	}
	return parts
}

// updateEnd moves the end of an abandoned save forward if its target has since proved responsive.
func (s *Save) updateEnd(now time.Time, activity TargetActivity) {
	endsAt := s.endsAt
	switch {
	case activity.LastResponse.After(s.abandonedAt):
		endsAt = activity.LastResponse.Add(trailingWriteTime)
	case now.Sub(s.abandonedAt) >= silenceDetectionTime && activity.UnresponsiveFor < silenceDetectionTime:
		endsAt = now
	}
	if endsAt.Before(s.endsAt) {
		s.endsAt = endsAt
	}
}
