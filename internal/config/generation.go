package config

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/shedhoist/shedhoist/internal/platform"
)

// Keys of the configuration in the platform's object API.
const (
	HeadKey      = "config/head"
	bucketPrefix = "config/buckets/"
	headPrefix   = "config/past/"
)

// Buckets is how many parts a bundle is split into. One change touches one
// part, so what an instance fetches for it is about 1/Buckets of the bundle.
const Buckets = 64

// Head is what one conditional update of HeadKey puts in force.
type Head struct {
	Generation uint64            `json:"generation"`
	Buckets    map[string]string `json:"buckets"` // bucket number -> SHA-256 of its bytes
	Drained    []string          `json:"drained,omitempty"`
	Author     string            `json:"author"`
	Message    string            `json:"message"`
	Time       time.Time         `json:"time"`
	Nonce      string            `json:"nonce"`
	Parent     string            `json:"parent,omitempty"` // SHA-256 of the head before, kept below config/past/
}

// Parts are the encoded buckets of a bundle, by bucket number.
type Parts map[string][]byte

// Split encodes a bundle into its buckets. The same bundle always gives the
// same bytes, whatever order its files were read in.
func Split(b *Bundle) (Parts, error) {
	parts := map[string]*Bundle{}
	at := func(kind, name string) *Bundle {
		id := fmt.Sprintf("%02d", xxhash.Sum64String(kind+"/"+name)%Buckets)
		if parts[id] == nil {
			parts[id] = &Bundle{}
		}
		return parts[id]
	}
	for _, c := range b.Customers {
		p := at("customer", c.Name)
		p.Customers = append(p.Customers, c)
	}
	for _, m := range b.Models {
		p := at("model", m.Name)
		p.Models = append(p.Models, m)
	}
	for _, t := range b.Targets {
		p := at("target", t.Name)
		p.Targets = append(p.Targets, t)
	}
	for _, s := range b.Services {
		p := at("service", s.Name)
		p.Services = append(p.Services, s)
	}
	for _, s := range b.Stores {
		p := at("store", s.Name)
		p.Stores = append(p.Stores, s)
	}
	for _, o := range b.Operators {
		p := at("operator", o.Name)
		p.Operators = append(p.Operators, o)
	}
	if b.Policy != nil {
		at("policy", "policy").Policy = b.Policy
	}
	out := Parts{}
	for id, p := range parts {
		p.sort()
		data, err := json.Marshal(p)
		if err != nil {
			return nil, &EncodeError{Cause: err}
		}
		if len(data) > platform.MaxValue {
			return nil, &BucketSizeError{Bucket: id, Size: len(data)}
		}
		out[id] = data
	}
	return out, nil
}

// Join is the inverse of Split.
func Join(parts Parts) (*Bundle, error) {
	out := &Bundle{}
	for _, id := range sortedKeys(parts) {
		var p Bundle
		if err := json.Unmarshal(parts[id], &p); err != nil {
			return nil, &EncodeError{Cause: err}
		}
		out.Customers = append(out.Customers, p.Customers...)
		out.Models = append(out.Models, p.Models...)
		out.Targets = append(out.Targets, p.Targets...)
		out.Services = append(out.Services, p.Services...)
		out.Stores = append(out.Stores, p.Stores...)
		out.Operators = append(out.Operators, p.Operators...)
		if p.Policy != nil {
			out.Policy = p.Policy
		}
	}
	out.sort()
	return out, nil
}

func (b *Bundle) sort() {
	sort.Slice(b.Customers, func(i, j int) bool { return b.Customers[i].Name < b.Customers[j].Name })
	sort.Slice(b.Models, func(i, j int) bool { return b.Models[i].Name < b.Models[j].Name })
	sort.Slice(b.Targets, func(i, j int) bool { return b.Targets[i].Name < b.Targets[j].Name })
	sort.Slice(b.Services, func(i, j int) bool { return b.Services[i].Name < b.Services[j].Name })
	sort.Slice(b.Stores, func(i, j int) bool { return b.Stores[i].Name < b.Stores[j].Name })
	sort.Slice(b.Operators, func(i, j int) bool { return b.Operators[i].Name < b.Operators[j].Name })
}

func sortedKeys(p Parts) []string {
	out := make([]string, 0, len(p))
	for k := range p {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

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

// Hash names bytes by content.
func Hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

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
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
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
			if !down.Unknown && !maybe {
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
