package target

import (
	"fmt"
	"time"
)

// NotSentError says that no byte of the request was written to a connection.
type NotSentError struct {
	Target string
	Cause  error
}

// Error implements error.
func (e *NotSentError) Error() string { return "target " + e.Target + ": not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// RefusedError is a documented refusal: the target did not run the request.
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

// IncompleteError says that the exchange ended before the response was complete.
// ResponseStarted is true if part of the response had arrived.
type IncompleteError struct {
	Target          string
	ResponseStarted bool
	Reason          string
	Cause           error
}

// Error implements error.
func (e *IncompleteError) Error() string {
	msg := "target " + e.Target + ": incomplete exchange: " + e.Reason
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *IncompleteError) Unwrap() error { return e.Cause }

// MismatchError says that the response carried the id of another request.
type MismatchError struct{ Target, WantID, GotID string }

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("target %s: response belongs to request %q, not %q", e.Target, e.GotID, e.WantID)
}

// RejectedError is a response that reports a fault of the request itself, such as status
// 400. It is passed on to the caller; a retry does not help.
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

// StaleOrderError says that the target refused an order because it has seen a higher
// fencing token.
type StaleOrderError struct {
	Target       string
	HighestToken uint64
}

// Error implements error.
func (e *StaleOrderError) Error() string {
	return fmt.Sprintf("target %s: order refused: higher fencing token %d already seen", e.Target, e.HighestToken)
}

// CallError says that a status, event, order or export call failed.
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
