package platform

import (
	"context"
	"time"
)

// NamedObject is one object of a kind, with its value.
type NamedObject struct {
	Name    string
	Version Version
	Value   []byte // as stored
}

// Snapshot is all objects of a kind at a revision.
type Snapshot struct {
	Revision Version
	Objects  []NamedObject
	// Unreadable is how many objects can\'t be read and are left out.
	Unreadable int
}

// Change is one change of a kind. A deleted object has its last value, if the
// platform told it.
type Change struct {
	NamedObject
	Deleted bool
}

// Changes is the answer to a watch: what changed, and the revision up to which
// that is complete.
type Changes struct {
	Revision Version
	Changes  []Change
	// Unreadable is how many changes can\'t be read and are left out.
	Unreadable int
}

// KindStore is the object API of a platform that sorts its objects by kind and hands
// out values on lists and watches. Errors are those of Store.
type KindStore interface {
	// List lists a kind whole, over as many pages as it takes.
	List(ctx context.Context, kind string) (Snapshot, error)
	// Watch waits up to wait for changes of a kind after a revision. It returns
	// a *HistoryLostError if the platform no longer knows all of them.
	Watch(ctx context.Context, kind string, after Version, wait time.Duration) (Changes, error)
	// Get returns one object or a *NotFoundError.
	Get(ctx context.Context, kind, name string) (NamedObject, error)
	// Put writes value if the object's version still is want (0: must not
	// exist). Its failures are those of Store.Put.
	Put(ctx context.Context, kind, name string, value []byte, want Version) (Version, error)
}

// HistoryLostError says that changes were forgotten: the kind must be listed anew.
type HistoryLostError struct {
	Kind  string
	After Version
}

// Error implements error.
func (e *HistoryLostError) Error() string {
	return "platform: changes of " + e.Kind + " are no longer known"
}
