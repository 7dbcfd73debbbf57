package drain

import "time"

// Schedule holds the times of one stop. A nil Schedule means that no stop is under way.
type Schedule struct {
	// AcceptUntil is the time until which requests are accepted whatever their deadline.
	AcceptUntil time.Time
	// AbortAt is the time at which the requests still running are aborted.
	AbortAt time.Time
}

// ResponseMargin is the time reserved before AbortAt for responses to requests whose deadline has
// passed.
const ResponseMargin = 50 * time.Millisecond

// WouldAbort reports whether the stop could abort a request that has been received completely at
// now and runs until its deadline.
func (s *Schedule) WouldAbort(now, deadline time.Time) bool {
	return s != nil && now.After(s.AcceptUntil) && deadline.After(s.AbortAt.Add(-ResponseMargin))
}
