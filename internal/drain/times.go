package drain

import "time"

// Times are those of one stop.
type Times struct {
	// TakenUntil is how long requests are taken however long they may last.
	TakenUntil time.Time
	// Cut is when what is left is cut.
	Cut time.Time
}

// AnswerTime is what is left to answer a request whose deadline has passed, before a stop cuts.
const AnswerTime = 50 * time.Millisecond

// WouldCut says whether a request that has come whole only now, and ends by its deadline, could
// be cut by the stop. No stop cuts nothing.
func (t *Times) WouldCut(now, deadline time.Time) bool {
	return t != nil && now.After(t.TakenUntil) && deadline.After(t.Cut.Add(-AnswerTime))
}
