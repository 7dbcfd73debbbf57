package platform

import (
	"context"
	"time"
)

// NamedObject is one object of a kind together with its value.
type NamedObject struct {
	Name    string
	Version Version
	Value   []byte // as stored
}

// Snapshot holds all objects of a kind at a revision.
type Snapshot struct {
	Revision Version
	Objects  []NamedObject
	// Unreadable is the number of objects that can't be decoded and are omitted.
	Unreadable int
}

// Change is one change of an object of a kind. A deleted object has its last value
// if the platform reported it.
type Change struct {
	NamedObject
	Deleted bool
}

// Changes is the response to a watch: the changes, and the revision up to which
// they are complete.
type Changes struct {
	Revision Version
	Changes  []Change
	// Unreadable is the number of changes that can't be decoded and are omitted.
	Unreadable int
}

// KindStore is the object API of a platform that groups its objects by kind and
// includes values in lists and watches. Errors are those of Store.
type KindStore interface {
	// List returns all objects of a kind, over as many pages as needed.
	List(ctx context.Context, kind string) (Snapshot, error)
	// Watch waits for changes of a kind after a revision, for at most wait. It returns
	// a *HistoryLostError if the platform no longer retains all of them.
	Watch(ctx context.Context, kind string, after Version, wait time.Duration) (Changes, error)
	// Get returns one object, or a *NotFoundError.
	Get(ctx context.Context, kind, name string) (NamedObject, error)
	// Put writes value if the object's version is still want (0: it must not
	// exist). Its errors are those of Store.Put.
	Put(ctx context.Context, kind, name string, value []byte, want Version) (Version, error)
}

// HistoryLostError reports that the platform dropped changes from its history: the kind must be relisted.
type HistoryLostError struct {
	Kind  string
	After Version
}

// Error implements error.
func (e *HistoryLostError) Error() string {
	return "platform: changes of " + e.Kind + " are no longer retained"
}
