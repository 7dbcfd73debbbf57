// Package platform defines the platform's object API and a client of it: versioned
// objects, conditional updates, watches, and the list of machines, which lags
// behind. All durable state is stored through this interface.
package platform

import (
	"context"
	"fmt"
	"time"
)

// Version is an object's version: the store-wide revision of its last write.
// 0 means that the object does not exist.
type Version uint64

// MaxValue is the largest value that the platform accepts, in bytes (brief, "Where it will run").
const MaxValue = 1 << 20

// Object is a stored value with its key and version.
type Object struct {
	Key     string
	Version Version
	Value   []byte
}

// Meta describes an object without its value.
type Meta struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
	Deleted bool    `json:"deleted,omitempty"`
}

// Listing is the response to a list or a watch: the existing or the changed
// objects, and the revision up to which they are complete.
type Listing struct {
	Revision Version `json:"revision"`
	Objects  []Meta  `json:"objects"`
}

// Machine is one entry of the list of machines, which lags behind.
type Machine struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"` // "instance", "target" or "store"
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   string `json:"state"` // StateLive or StateLeaving
}

// States of a machine in the list of machines.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Store is the platform's object API.
type Store interface {
	// Get returns the object, or a *NotFoundError.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object's version is still want (0: it must not
	// exist). It returns the new version, a *ConflictError, or an
	// *UnavailableError, whose OutcomeUnknown is set if the write may have happened.
	Put(ctx context.Context, key string, value []byte, want Version) (Version, error)
	// Delete removes the object if its version is still want.
	Delete(ctx context.Context, key string, want Version) error
	// List returns the objects below a prefix, without their values.
	List(ctx context.Context, prefix string) (Listing, error)
	// Watch waits for changes below prefix after a revision, for at most wait.
	// An empty listing means that nothing changed.
	Watch(ctx context.Context, prefix string, after Version, wait time.Duration) (Listing, error)
	// Machines returns the list of machines, which lags behind.
	Machines(ctx context.Context) ([]Machine, error)
}

// NotFoundError reports that an object does not exist.
type NotFoundError struct{ Key string }

// Error implements error.
func (e *NotFoundError) Error() string { return "platform: object not found: " + e.Key }

// ConflictError reports that a conditional update failed: the object is at version Have, not Want.
type ConflictError struct {
	Key        string
	Want, Have Version
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: %s is at version %d, not %d", e.Key, e.Have, e.Want)
}

// UnavailableError reports that the platform gave no usable response. OutcomeUnknown
// is true if a write may nevertheless have taken effect.
type UnavailableError struct {
	Op             string
	Key            string
	Status         int // HTTP status, 0 if there was no response
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
