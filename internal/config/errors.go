package config

import (
	"fmt"
	"time"

	"github.com/shedhoist/shedhoist/internal/platform"
)

// EncodeError reports that a bucket or head could not be encoded or decoded.
type EncodeError struct{ Cause error }

// Error implements error.
func (e *EncodeError) Error() string {
	return "config: encoding or decoding failed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }

// BucketSizeError reports a bucket larger than the platform's limit for one object.
type BucketSizeError struct {
	Bucket string
	Size   int // bytes
}

// Error implements error.
func (e *BucketSizeError) Error() string {
	return fmt.Sprintf("config: bucket %s has %d bytes, the platform's limit is %d", e.Bucket, e.Size, platform.MaxValue)
}

// CorruptError reports a stored object whose content does not match the hash in its key.
type CorruptError struct{ Key string }

// Error implements error.
func (e *CorruptError) Error() string { return "config: " + e.Key + " does not match its hash" }

// ConflictError reports that another operator's change was accepted first. No
// part of the rejected change is in force.
type ConflictError struct {
	Base    uint64 // generation that the rejected change was made from
	Winner  Head
	Message string // message of the rejected change
}

// Error implements error, naming both changes.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("config: conflict: generation %d (%q by %s at %s) was accepted first; your change %q from generation %d is not in force",
		e.Winner.Generation, e.Winner.Message, e.Winner.Author, e.Winner.Time.Format(time.RFC3339), e.Message, e.Base)
}

// UncertainError reports that the platform did not respond, so whether the
// change was accepted is unknown. If it was, the history holds a head with Nonce.
type UncertainError struct {
	Nonce string
	Cause error
}

// Error implements error.
func (e *UncertainError) Error() string {
	return "config: not known whether change " + e.Nonce + " was accepted: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }
