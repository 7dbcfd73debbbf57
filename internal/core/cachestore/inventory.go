// Package cachestore tracks, per instance, what the cache stores hold, and chooses
// the stores from which a prompt's parts are fetched and in which they are saved.
// It performs no I/O and reads no clock.
//
// Invariants:
//
//   - A part is listed as held only after its store, in its current boot epoch, reported
//     that the part is complete. Nothing else may be fetched.
//   - No instance fetches a part from a store while a save of the part that another
//     instance requested may still rewrite it there: see Bounds.
package cachestore

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies one part under one salt.
type Key struct{ Salt, Part string }

// Salt is the namespace in which a part is stored. Parts of different cache scopes,
// models or weight versions never share a salt.
type Salt struct {
	CacheScope string // customers that share cache entries have the same scope
	Model      string
	Version    uint64
}

// String encodes a salt. The cache scope is hashed, so that a salt stays short and
// does not reveal a customer's name.
func (s Salt) String() string {
	return strconv.FormatUint(xxhash.Sum64String(s.CacheScope), 16) + "." + strconv.FormatUint(s.Version, 10) + "." + s.Model
}

// ParseSalt returns the model and the weight version of an encoded salt.
func ParseSalt(text string) (model string, version uint64, ok bool) {
	_, rest, ok1 := strings.Cut(text, ".")
	v, model, ok2 := strings.Cut(rest, ".")
	version, err := strconv.ParseUint(v, 10, 64)
	return model, version, ok1 && ok2 && err == nil
}

// StoredPart is one part in a store's listing.
type StoredPart struct {
	Key
	Tokens      int       // complete tokens
	Reserved    int       // space reserved by an incomplete part, in tokens
	CompletedAt time.Time // time by which it was complete; zero: when the listing is received
}

// Event is one change reported by a store.
type Event struct {
	Key
	Added       bool
	Tokens      int       // tokens held after the change
	CompletedAt time.Time // time by which an added part was complete; zero: when the event is received
}

// blockTokens is the allocation unit of the stores, in tokens.
const blockTokens = 16

func roundUpToBlocks(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }

// Response describes the epoch and the timing of a response from a store. Its contents were valid
// at some moment between the request and the arrival of the response. Ages are therefore measured
// from the request and delays from the arrival.
type Response struct {
	Epoch        uint64    // boot epoch of the store; changes when it restarts, empty
	NextEvent    uint64    // event from which to continue
	AsOf         time.Time // when the request was sent to the store
	CompleteAsOf time.Time // latest such time up to which no event is missing
	Received     time.Time // when this instance received it
}

// Inventory is the known state of one store. The zero value knows nothing.
type Inventory struct {
	epoch     uint64
	nextEvent uint64
	listed    bool
	held      map[Key]partState
	// heldBefore is what was held, in this epoch, when the inventory was invalidated.
	heldBefore   map[Key]partState
	removed      map[Key]time.Time // parts held earlier in this epoch: when their removal was received
	usedTokens   int               // space taken by the held parts
	asOf         time.Time         // see Response
	completeAsOf time.Time         // see Response
	epochSince   time.Time         // when this epoch was first reported
	// gap reports that events were lost since the last full listing.
	gap bool

	incomplete     map[Key]incompletePart // incomplete parts in the last listing
	incompleteAsOf time.Time              // when that listing was received
}

// partState is a complete part.
type partState struct {
	tokens      int
	completedAt time.Time // time by which it was complete
	eventSeq    uint64    // sequence number of the store event that reported it, or of a later one; 0 if none did
}

// incompletePart is a part that takes space but is not complete.
type incompletePart struct {
	tokens         int
	unchangedSince time.Time // when it was first seen with this number of tokens
}

// SetIncomplete replaces the set of incomplete parts by those of a listing received at now.
func (s *Inventory) SetIncomplete(partial []StoredPart, now time.Time) {
	next := make(map[Key]incompletePart, len(partial))
	for _, listed := range partial {
		part, seen := s.incomplete[listed.Key]
		if !seen || part.tokens != listed.Tokens {
			part = incompletePart{tokens: listed.Tokens, unchangedSince: now}
		}
		next[listed.Key] = part
	}
	s.incomplete, s.incompleteAsOf = next, now
}

// Stalled returns the parts that are incomplete and of the same size in two listings at
// least minAge apart, with no event for them since.
func (s *Inventory) Stalled(minAge time.Duration) []Key {
	var out []Key
	for k, part := range s.incomplete {
		if s.incompleteAsOf.Sub(part.unchangedSince) >= minAge {
			out = append(out, k)
		}
	}
	return out
}

// Position returns the epoch and the event from which to continue; known is false if the
// store must be listed first.
func (s *Inventory) Position() (epoch, next uint64, known bool) {
	return s.epoch, s.nextEvent, s.listed
}

// Replace replaces the contents by a full listing. It returns the resulting changes. reset
// reports that there is no base for changes: the store was not known or has restarted.
func (s *Inventory) Replace(resp Response, held []StoredPart) (changes []Event, reset bool) {
	reset = !s.listed || s.epoch != resp.Epoch
	if s.epoch != resp.Epoch || s.epochSince.IsZero() {
		s.epochSince, s.removed, s.heldBefore = resp.Received, nil, nil
	}
	previous := s.held
	s.epoch, s.nextEvent, s.listed = resp.Epoch, resp.NextEvent, true
	s.asOf, s.completeAsOf, s.gap = resp.AsOf, resp.CompleteAsOf, false
	s.held, s.usedTokens = make(map[Key]partState, len(held)), 0
	for _, h := range held {
		completedAt, eventSeq := h.CompletedAt, uint64(0)
		if old, existed := previous[h.Key]; existed && old.completedAt.Before(completedAt) {
			completedAt, eventSeq = old.completedAt, old.eventSeq // assumes that it is the same copy
		}
		s.add(Event{Key: h.Key, Tokens: h.Tokens, CompletedAt: completedAt}, eventSeq, resp.Received)
	}
	s.pruneRemoved(resp.Received)
	for k := range s.heldBefore {
		if _, still := s.held[k]; !still {
			s.markRemoved(k, resp.Received)
		}
	}
	s.heldBefore = nil
	for k := range previous {
		if _, still := s.held[k]; !still {
			s.markRemoved(k, resp.Received)
			changes = append(changes, Event{Key: k})
		}
	}
	if reset {
		return nil, true
	}
	for k, part := range s.held {
		if old, existed := previous[k]; !existed || old.tokens != part.tokens {
			changes = append(changes, Event{Key: k, Added: true, Tokens: part.tokens})
		}
	}
	return changes, false
}

// Apply applies a page of events. It returns false if the store must be relisted because
// it restarted or events were lost.
func (s *Inventory) Apply(resp Response, gap bool, events []Event) bool {
	if !s.listed || resp.Epoch != s.epoch {
		s.Invalidate()
		return false
	}
	for _, e := range events {
		_, wasHeld := s.held[e.Key]
		delete(s.incomplete, e.Key)
		switch {
		case e.Added:
			eventSeq := resp.NextEvent
			if !e.CompletedAt.IsZero() {
				eventSeq = 0 // reported by another instance, whose sequence numbers are its own
			}
			s.add(e, eventSeq, resp.Received)
		case wasHeld:
			s.remove(e.Key)
			s.markRemoved(e.Key, resp.Received)
		}
	}
	s.nextEvent = resp.NextEvent
	s.asOf = latest(s.asOf, resp.AsOf) // a response from another instance may be older than the last one
	s.gap = s.gap || gap
	if !s.gap {
		s.completeAsOf = latest(s.completeAsOf, resp.CompleteAsOf)
	}
	return !gap
}

// add records a part as complete; received is when that was reported.
func (s *Inventory) add(e Event, eventSeq uint64, received time.Time) {
	completedAt := e.CompletedAt
	if completedAt.IsZero() {
		completedAt = received
	}
	s.remove(e.Key)
	s.held[e.Key] = partState{tokens: e.Tokens, completedAt: completedAt, eventSeq: eventSeq}
	s.usedTokens += roundUpToBlocks(e.Tokens)
}

// remove deletes a part if it is held.
func (s *Inventory) remove(k Key) {
	s.usedTokens -= roundUpToBlocks(s.held[k].tokens)
	delete(s.held, k)
}

// markRemoved records when a part was reported as no longer held.
func (s *Inventory) markRemoved(k Key, now time.Time) {
	if s.removed == nil {
		s.removed = map[Key]time.Time{}
	}
	s.removed[k] = now
}

// removedRetention is how long removed parts are remembered. It must exceed every
// Bounds.SaveDelay in use.
const removedRetention = 30 * time.Second

func (s *Inventory) pruneRemoved(now time.Time) {
	for k, at := range s.removed {
		if now.Sub(at) > removedRetention {
			delete(s.removed, k)
		}
	}
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// All returns all parts that the store holds.
func (s *Inventory) All() []StoredPart {
	out := make([]StoredPart, 0, len(s.held))
	for k, part := range s.held {
		out = append(out, StoredPart{Key: k, Tokens: part.tokens, CompletedAt: part.completedAt})
	}
	return out
}

// CompletedAt returns the time by which a held part was complete, or zero if it is not held.
func (s *Inventory) CompletedAt(k Key) time.Time { return s.held[k].completedAt }

// Remove records parts as no longer held before the store itself reports it.
func (s *Inventory) Remove(parts []Key, now time.Time) {
	for _, k := range parts {
		s.remove(k)
		s.markRemoved(k, now)
		delete(s.incomplete, k)
	}
}

// Invalidate discards the known contents because the store does not respond or has
// restarted. The epoch is kept, to distinguish a restart from a loss of contact.
func (s *Inventory) Invalidate() {
	heldBefore := s.heldBefore
	if s.listed {
		heldBefore = s.held
	}
	*s = Inventory{epoch: s.epoch, epochSince: s.epochSince, removed: s.removed, heldBefore: heldBefore}
}

// AsOf returns the time as of which the newest response is valid.
func (s *Inventory) AsOf() time.Time { return s.asOf }

// CompleteAsOf returns the time as of which no complete part is missing.
func (s *Inventory) CompleteAsOf() time.Time { return s.completeAsOf }

// HasGap reports whether events were lost since the last full listing.
func (s *Inventory) HasGap() bool { return s.gap }

// Tokens returns how many tokens of a complete part the store holds, or 0 if the newest
// response is older than maxAge.
func (s *Inventory) Tokens(k Key, now time.Time, maxAge time.Duration) int {
	if !s.Known(now, maxAge) {
		return 0
	}
	return s.held[k].tokens
}

// Used returns the space taken by complete parts, in tokens.
func (s *Inventory) Used() int { return s.usedTokens }

// Known reports whether the contents are known from a response not older than maxAge: the
// store was listed and has not been invalidated since.
func (s *Inventory) Known(now time.Time, maxAge time.Duration) bool {
	return s.listed && now.Sub(s.asOf) <= maxAge
}

// Outdated returns at most limit parts whose weight version is older than minVersions,
// the oldest version of each model that is still in use.
func (s *Inventory) Outdated(minVersions map[string]uint64, limit int) []Key {
	var out []Key
	for k := range s.held {
		model, version, ok := ParseSalt(k.Salt)
		if minVersion, inUse := minVersions[model]; !ok || !inUse || version >= minVersion {
			continue
		}
		if out = append(out, k); len(out) == limit {
			break
		}
	}
	return out
}

// Candidate is a store in which a part may be saved.
type Candidate struct {
	Address        string
	Capacity       int // tokens
	Used           int // tokens
	FirstByteDelay time.Duration
	SameZone       bool // same zone as the target that saves the part
}

const (
	// maxSmallPart is the size, in tokens, up to which a store's fixed delay exceeds
	// the transfer time of a part; such parts go to the stores with the lowest delay.
	maxSmallPart = 1500
	// largePartFastShare is the factor on the weight of those stores for larger parts.
	largePartFastShare = 0.35
	// headReserve is the share of a store's space reserved for heads, the parts with
	// which many prompts begin.
	headReserve = 0.04
)

// Home returns the index of the store in which a part belongs, or -1 if none has room.
// It uses rendezvous hashing weighted by capacity (Thaler and Ravishankar, 1998; weights
// after Schindelhauer and Schomaker, 2005) among the stores with room. Small parts go to
// the fastest stores while these have room, and so do heads, the parts with which prompts
// begin: there are few of them, and all targets request them at the same time. Other parts
// go to stores in the same zone while these have room, because later prompts that share
// them are sent to targets of that zone.
func Home(k Key, tokens int, head bool, candidates []Candidate) int {
	minDelay := time.Duration(math.MaxInt64)
	for _, c := range candidates {
		minDelay = min(minDelay, c.FirstByteDelay)
	}
	reserved := headReserve
	if head {
		reserved = 0
	}
	if head || tokens <= maxSmallPart {
		if i := pickWeighted(k, tokens, reserved, candidates, func(c Candidate) float64 { return indicator(c.FirstByteDelay == minDelay) }); i >= 0 {
			return i
		}
	}
	weightFactor := func(c Candidate) float64 {
		if c.FirstByteDelay == minDelay && tokens > maxSmallPart {
			return largePartFastShare
		}
		return 1
	}
	if !head {
		if i := pickWeighted(k, tokens, reserved, candidates, func(c Candidate) float64 { return indicator(c.SameZone) * weightFactor(c) }); i >= 0 {
			return i
		}
	}
	return pickWeighted(k, tokens, reserved, candidates, weightFactor)
}

func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// pickWeighted selects a candidate with room by weighted rendezvous hashing; the weight is
// capacity times factor. reserved is the share of the space that this part may not use.
func pickWeighted(k Key, tokens int, reserved float64, candidates []Candidate, factor func(Candidate) float64) int {
	bestIndex, bestScore := -1, math.Inf(-1)
	for i, c := range candidates {
		weight := float64(c.Capacity) * factor(c)
		if weight <= 0 || float64(c.Used+roundUpToBlocks(tokens)) > (1-reserved)*float64(c.Capacity) {
			continue
		}
		h := xxhash.Sum64String(k.Salt + "/" + k.Part + "/" + c.Address)
		uniform := (float64(h>>11) + 0.5) / (1 << 53) // in (0, 1)
		if score := -weight / math.Log(uniform); score > bestScore {
			bestIndex, bestScore = i, score
		}
	}
	return bestIndex
}
