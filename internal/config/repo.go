package config

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/shedhoist/shedhoist/internal/platform"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Repo reads and writes configuration generations in the platform's object store.
type Repo struct {
	Store      platform.Store
	Now        func() time.Time
	RetryDelay time.Duration // between attempts of a write that got no response; 0 means DefaultRetryDelay
}

func (r *Repo) waitRetry(ctx context.Context) bool {
	d := r.RetryDelay
	if d == 0 {
		d = DefaultRetryDelay
	}
	return wait.For(ctx, d)
}

// Head returns the current head and its object version. Before the first
// change is accepted, the head is zero.
func (r *Repo) Head(ctx context.Context) (Head, platform.Version, error) {
	o, err := r.Store.Get(ctx, HeadKey)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	h, err := DecodeHead(o.Value)
	return h, o.Version, err
}

// DecodeHead parses a stored head.
func DecodeHead(data []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(data, &h); err != nil {
		return Head{}, &EncodeError{Cause: err}
	}
	return h, nil
}

// Fetch returns the bucket with the given hash after verifying its content.
func (r *Repo) Fetch(ctx context.Context, hash string) ([]byte, error) {
	key := bucketPrefix + hash
	o, err := r.Store.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	if Hash(o.Value) != hash {
		return nil, &CorruptError{Key: key}
	}
	return o.Value, nil
}

// Bundle fetches and joins a head's buckets.
func (r *Repo) Bundle(ctx context.Context, h Head) (*Bundle, error) {
	parts := EncodedBuckets{}
	for id, hash := range h.Buckets {
		data, err := r.Fetch(ctx, hash)
		if err != nil {
			return nil, err
		}
		parts[id] = data
	}
	return Join(parts)
}

// Change is a change that an operator submits: new buckets, a new list of
// drained machines, or both.
type Change struct {
	Base         uint64            // generation that the change was made from
	NewBuckets   EncodedBuckets    // buckets to store; nil to use BucketHashes
	BucketHashes map[string]string // as Head.Buckets; ignored unless NewBuckets is nil
	Drained      []string          // names of drained machines
	Author       string
	Message      string
}

// Accept puts a change in force. It stores the buckets, then a copy of the old
// head, and then replaces the head by a conditional update. It returns the new
// head. The error is a *ConflictError if another change was accepted first, and
// an *UncertainError if the outcome is unknown.
func (r *Repo) Accept(ctx context.Context, c Change) (Head, error) {
	old, version, err := r.Head(ctx)
	if err != nil {
		return Head{}, err
	}
	if old.Generation != c.Base {
		return Head{}, &ConflictError{Base: c.Base, Winner: old, Message: c.Message}
	}
	next := Head{Generation: old.Generation + 1, Buckets: c.BucketHashes, Drained: c.Drained, Author: c.Author,
		Message: c.Message, Time: r.Now().UTC(), Nonce: uuid.NewString()}
	if c.NewBuckets != nil {
		if next.Buckets, err = r.putBuckets(ctx, c.NewBuckets, old.Buckets); err != nil {
			return Head{}, err
		}
	}
	if old.Generation > 0 {
		if next.Parent, err = r.putHead(ctx, old); err != nil {
			return Head{}, err
		}
	}
	return next, r.updateHead(ctx, next, version, c)
}

// updateHead replaces the head, which puts the new generation in force. After a
// put whose response is lost or that conflicts, the nonces of the stored head
// and its ancestors tell whether the put took effect. If the head is unchanged,
// the put is repeated. This is safe: if two copies are in flight, one takes
// effect and the version check rejects the other.
func (r *Repo) updateHead(ctx context.Context, next Head, version platform.Version, c Change) error {
	data, err := json.Marshal(next)
	if err != nil {
		return &EncodeError{Cause: err}
	}
	mayBeApplied := false // an earlier put may have taken effect
	for range maxWriteAttempts {
		_, err = r.Store.Put(ctx, HeadKey, data, version)
		if err == nil {
			return nil
		}
		var unavailable *platform.UnavailableError
		if errors.As(err, &unavailable) {
			if !unavailable.OutcomeUnknown && !mayBeApplied {
				return err
			}
			mayBeApplied = true
		}
		head, v, headErr := r.Head(ctx)
		if headErr == nil && v != version {
			return r.resolveOutcome(ctx, head, next, c)
		}
		if !r.waitRetry(ctx) {
			break
		}
	}
	return &UncertainError{Nonce: next.Nonce, Cause: err}
}

// resolveOutcome returns nil if next is head or one of its ancestors, and a
// *ConflictError if it is not.
func (r *Repo) resolveOutcome(ctx context.Context, head, next Head, c Change) error {
	found, err := r.inHistory(ctx, head, next)
	if err != nil {
		return &UncertainError{Nonce: next.Nonce, Cause: err}
	}
	if found {
		return nil
	}
	return &ConflictError{Base: c.Base, Winner: head, Message: c.Message}
}

// Retries of a write that got no response.
const (
	maxWriteAttempts  = 5
	DefaultRetryDelay = 200 * time.Millisecond
)

// inHistory walks back from h to the generation of next and reports whether
// the head of that generation is next.
func (r *Repo) inHistory(ctx context.Context, h, next Head) (bool, error) {
	for h.Generation > next.Generation {
		parent, err := r.parent(ctx, h)
		if err != nil {
			return false, err
		}
		h = parent
	}
	return h.Nonce == next.Nonce, nil
}

func (r *Repo) parent(ctx context.Context, h Head) (Head, error) {
	o, err := r.Store.Get(ctx, headPrefix+h.Parent)
	if err != nil {
		return Head{}, err
	}
	if Hash(o.Value) != h.Parent {
		return Head{}, &CorruptError{Key: o.Key}
	}
	return DecodeHead(o.Value)
}

// History returns up to n heads, newest first.
func (r *Repo) History(ctx context.Context, n int) ([]Head, error) {
	h, _, err := r.Head(ctx)
	if err != nil || h.Generation == 0 {
		return nil, err
	}
	out := []Head{h}
	for len(out) < n && h.Parent != "" {
		if h, err = r.parent(ctx, h); err != nil {
			return out, err
		}
		out = append(out, h)
	}
	return out, nil
}

func (r *Repo) putHead(ctx context.Context, h Head) (string, error) {
	data, err := json.Marshal(h)
	if err != nil {
		return "", &EncodeError{Cause: err}
	}
	hash := Hash(data)
	return hash, r.putContentAddressed(ctx, headPrefix+hash, data)
}

// putBuckets stores the buckets that the old head does not reference, and
// returns the hashes of all buckets.
func (r *Repo) putBuckets(ctx context.Context, parts EncodedBuckets, old map[string]string) (map[string]string, error) {
	out := map[string]string{}
	for _, id := range sortedKeys(parts) {
		hash := Hash(parts[id])
		out[id] = hash
		if old[id] == hash {
			continue
		}
		if err := r.putContentAddressed(ctx, bucketPrefix+hash, parts[id]); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// putContentAddressed creates an object whose key is derived from its content.
// If the response is lost the write is simply repeated: writing the same bytes
// under the same key changes nothing.
func (r *Repo) putContentAddressed(ctx context.Context, key string, data []byte) error {
	var err error
	for range maxWriteAttempts {
		_, err = r.Store.Put(ctx, key, data, 0)
		var conflict *platform.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return nil
		}
		if !r.waitRetry(ctx) {
			break
		}
	}
	return err
}
