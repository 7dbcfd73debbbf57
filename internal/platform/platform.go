// Package platform is the client of the platform's object API: versioned
// objects, conditional updates, watches, and the lagging list of machines.
// Everything that must last goes through this interface.
package platform

import (
	"context"
	"fmt"
	"time"
)

// Version is an object's version: the store-wide revision of its last write.
// 0 stands for "does not exist".
type Version uint64

// MaxValue is the largest value the platform takes, in bytes (brief, "Where it will run").
const MaxValue = 1 << 20

// Object is one stored value.
type Object struct {
	Key     string
	Version Version
	Value   []byte
}

// Meta names one object without its value.
type Meta struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
	Deleted bool    `json:"deleted,omitempty"`
}

// Listing is the answer to a list or a watch: what there is or what changed,
// and the revision up to which it is complete.
type Listing struct {
	Revision Version `json:"revision"`
	Objects  []Meta  `json:"objects"`
}

// Machine is one row of the lagging list.
type Machine struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"` // "instance", "target" or "store"
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   string `json:"state"` // StateLive or StateLeaving
}

// States of a machine in the lagging list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Store is the object API.
type Store interface {
	// Get returns the object or a *NotFoundError.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object's version still is want (0: must not
	// exist). It returns the new version, a *ConflictError, or an
	// *UnavailableError whose Unknown says that the write may have happened.
	Put(ctx context.Context, key string, value []byte, want Version) (Version, error)
	// Delete removes the object if its version still is want.
	Delete(ctx context.Context, key string, want Version) error
	// List names the objects below a prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// Watch waits up to wait for changes below prefix after a revision. An
	// empty listing means that nothing changed.
	Watch(ctx context.Context, prefix string, after Version, wait time.Duration) (Listing, error)
	// Machines returns the lagging list.
	Machines(ctx context.Context) ([]Machine, error)
}

// NotFoundError says that no such object exists.
type NotFoundError struct{ Key string }

// Error implements error.
func (e *NotFoundError) Error() string { return "platform: no object " + e.Key }

// ConflictError says that a conditional update lost: the object is at Have.
type ConflictError struct {
	Key        string
	Want, Have Version
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: %s is at version %d, not %d", e.Key, e.Have, e.Want)
}

// UnavailableError says that the platform did not answer usefully. Unknown is
// true when a write may have taken effect all the same.
type UnavailableError struct {
	Op             string
	Key            string
	Status         int // HTTP status, 0 when there was no answer
	OutcomeUnknown bool
	Cause          error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	msg := fmt.Sprintf("platform: %s %s failed", e.Op, e.Key)
	if e.Status != 0 {
		msg += fmt.Sprintf(" with status %d", e.Status)
	}
	if e.OutcomeUnknown {
		msg += ", outcome unknown"
	}
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
