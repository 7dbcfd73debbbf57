package config

import (
	"fmt"
	"time"

	"github.com/shedhoist/shedhoist/internal/platform"
)

// EncodeError says that a bucket could not be written or read.
type EncodeError struct{ Cause error }

// Error implements error.
func (e *EncodeError) Error() string { return "config: bucket encoding: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }

// BucketSizeError says that one bucket is larger than the platform takes.
type BucketSizeError struct {
	Bucket string
	Size   int // bytes
}

// Error implements error.
func (e *BucketSizeError) Error() string {
	return fmt.Sprintf("config: bucket %s has %d bytes, the platform takes %d", e.Bucket, e.Size, platform.MaxValue)
}

// CorruptError says that stored bytes do not have the hash they are named by.
type CorruptError struct{ Key string }

// Error implements error.
func (e *CorruptError) Error() string { return "config: " + e.Key + " does not match its hash" }

// RaceError says that another operator's change was accepted first. Nothing
// of the losing change is in force.
type RaceError struct {
	Base   uint64 // generation that the losing change was made from
	Winner Head
	Mine   string // the losing change's message
}

// Error implements error, naming both changes.
func (e *RaceError) Error() string {
	return fmt.Sprintf("config: conflict: generation %d (%q by %s at %s) was accepted first; your change %q from generation %d is not in force",
		e.Winner.Generation, e.Winner.Message, e.Winner.Author, e.Winner.Time.Format(time.RFC3339), e.Mine, e.Base)
}

// UncertainError says that it could not be found out whether a change was
// accepted: the platform did not answer. Nonce finds it in the history later.
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
