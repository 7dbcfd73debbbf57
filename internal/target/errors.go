package target

import (
	"fmt"
	"time"
)

// NotSentError says that no byte of the request reached a connection.
type NotSentError struct {
	Target string
	Cause  error
}

// Error implements error.
func (e *NotSentError) Error() string { return "target " + e.Target + ": not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// RefusedError says that the target refused in its documented way: it did not
// run the request.
type RefusedError struct {
	Target     string
	Status     int
	Reason     string
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("target %s: refused with status %d: %s", e.Target, e.Status, e.Reason)
}

// IncompleteError says that the exchange ended before a whole answer. Began is
// true when the answer had begun.
type IncompleteError struct {
	Target          string
	ResponseStarted bool
	Reason          string
	Cause           error
}

// Error implements error.
func (e *IncompleteError) Error() string {
	msg := "target " + e.Target + ": broken: " + e.Reason
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *IncompleteError) Unwrap() error { return e.Cause }

// MismatchError says that the answer carried another request's id. Its
// connection has been closed.
type MismatchError struct{ Target, WantID, GotID string }

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("target %s: answer belongs to request %q, not %q", e.Target, e.GotID, e.WantID)
}

// RejectedError is an answer of the target that is a failure of the request
// itself, such as a 400: the answer is passed on, no retry helps.
type RejectedError struct {
	Target      string
	Status      int
	ContentType string
	Body        []byte
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("target %s: rejected with status %d", e.Target, e.Status)
}

// StaleOrderError says that the target has seen a higher fencing token.
type StaleOrderError struct {
	Target       string
	HighestToken uint64
}

// Error implements error.
func (e *StaleOrderError) Error() string {
	return fmt.Sprintf("target %s: order refused, fencing token %d seen", e.Target, e.HighestToken)
}

// CallError says that a status, order or export call failed.
type CallError struct {
	Target, Path string
	Status       int
	Cause        error
}

// Error implements error.
func (e *CallError) Error() string {
	msg := fmt.Sprintf("target %s: %s failed", e.Target, e.Path)
	if e.Status != 0 {
		msg += fmt.Sprintf(" with status %d", e.Status)
	}
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }
