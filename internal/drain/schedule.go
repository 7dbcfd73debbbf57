package drain

import "time"

// Schedule are those of one stop.
type Schedule struct {
	// AcceptUntil is how long requests are taken however long they may last.
	AcceptUntil time.Time
	// AbortAt is when what is left is cut.
	AbortAt time.Time
}

// ResponseMargin is what is left to answer a request whose deadline has passed, before a stop cuts.
const ResponseMargin = 50 * time.Millisecond

// WouldAbort says whether a request that has come whole only now, and ends by its deadline, could
// be cut by the stop. No stop cuts nothing.
func (t *Schedule) WouldAbort(now, deadline time.Time) bool {
	return t != nil && now.After(t.AcceptUntil) && deadline.After(t.AbortAt.Add(-ResponseMargin))
}
