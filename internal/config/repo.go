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

// Repo reads and writes generations in the platform.
type Repo struct {
	Store platform.Store
	Now   func() time.Time
	Pause time.Duration // between tries of a write without an answer; 0 means DefaultPause
}

func (r *Repo) pause(ctx context.Context) bool {
	d := r.Pause
	if d == 0 {
		d = DefaultPause
	}
	return wait.For(ctx, d)
}

// Head returns the head in force and its version; a zero head before the first apply.
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

// Fetch returns the bucket with the given hash, checked.
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
	parts := Parts{}
	for id, hash := range h.Buckets {
		data, err := r.Fetch(ctx, hash)
		if err != nil {
			return nil, err
		}
		parts[id] = data
	}
	return Join(parts)
}

// Change is one operator's wish: new buckets, or new drains, or both.
type Change struct {
	Base    uint64 // generation it was made from
	Parts   Parts  // nil: keep the buckets
	Buckets map[string]string
	Drained []string
	Author  string
	Message string
}

// Accept puts a change in force: buckets first, then the old head's copy, then
// the head by conditional update. It returns the head that is now in force, or
// a *RaceError, or an *UncertainError.
func (r *Repo) Accept(ctx context.Context, c Change) (Head, error) {
	old, version, err := r.Head(ctx)
	if err != nil {
		return Head{}, err
	}
	if old.Generation != c.Base {
		return Head{}, &RaceError{Base: c.Base, Winner: old, Mine: c.Message}
	}
	next := Head{Generation: old.Generation + 1, Buckets: c.Buckets, Drained: c.Drained, Author: c.Author,
		Message: c.Message, Time: r.Now().UTC(), Nonce: uuid.NewString()}
	if c.Parts != nil {
		if next.Buckets, err = r.putParts(ctx, c.Parts, old.Buckets); err != nil {
			return Head{}, err
		}
	}
	if old.Generation > 0 {
		if next.Parent, err = r.putHead(ctx, old); err != nil {
			return Head{}, err
		}
	}
	return next, r.swap(ctx, next, version, c)
}

// swap is the one step that puts a head in force. A put whose answer is lost,
// or that conflicts, is settled by the nonce in the stored head or in one of
// the heads that followed it. A put that left the head as it was is repeated:
// of two copies under way one takes effect and the other meets the version
// check.
func (r *Repo) swap(ctx context.Context, next Head, version platform.Version, c Change) error {
	data, err := json.Marshal(next)
	if err != nil {
		return &EncodeError{Cause: err}
	}
	maybe := false // an earlier put may have taken effect
	for range settleTries {
		_, err = r.Store.Put(ctx, HeadKey, data, version)
		if err == nil {
			return nil
		}
		var down *platform.UnavailableError
		if errors.As(err, &down) {
			if !down.OutcomeUnknown && !maybe {
				return err
			}
			maybe = true
		}
		now, v, headErr := r.Head(ctx)
		if headErr == nil && v != version {
			return r.verdict(ctx, now, next, c)
		}
		if !r.pause(ctx) {
			break
		}
	}
	return &UncertainError{Nonce: next.Nonce, Cause: err}
}

// verdict says whether next is in the history that ends in now.
func (r *Repo) verdict(ctx context.Context, now, next Head, c Change) error {
	found, err := r.accepted(ctx, now, next)
	if err != nil {
		return &UncertainError{Nonce: next.Nonce, Cause: err}
	}
	if found {
		return nil
	}
	return &RaceError{Base: c.Base, Winner: now, Mine: c.Message}
}

// Bounds of a write without an answer.
const (
	settleTries  = 5
	DefaultPause = 200 * time.Millisecond
)

// accepted walks back from head h to the generation of next.
func (r *Repo) accepted(ctx context.Context, h, next Head) (bool, error) {
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
	return hash, r.putOnce(ctx, headPrefix+hash, data)
}

// putParts writes the buckets that the old head does not already name.
func (r *Repo) putParts(ctx context.Context, parts Parts, old map[string]string) (map[string]string, error) {
	out := map[string]string{}
	for _, id := range sortedKeys(parts) {
		hash := Hash(parts[id])
		out[id] = hash
		if old[id] == hash {
			continue
		}
		if err := r.putOnce(ctx, bucketPrefix+hash, parts[id]); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// putOnce creates a content-named object. A lost answer needs no settling: to
// write the same bytes again under the same name changes nothing.
func (r *Repo) putOnce(ctx context.Context, key string, data []byte) error {
	var err error
	for range settleTries {
		_, err = r.Store.Put(ctx, key, data, 0)
		var conflict *platform.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return nil
		}
		if !r.pause(ctx) {
			break
		}
	}
	return err
}
