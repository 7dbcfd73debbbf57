// Package stock is an instance's knowledge of what the cache stores hold, and
// the choice of where a prompt's parts are fetched from and kept. It is pure.
//
// Invariants:
//
//   - A part is listed as held only after its store, in its present boot epoch, said
//     that the part is complete. Nothing else may be fetched.
//   - At no moment may one instance still fetch a part from a store while a save of the
//     part that another instance asked for may yet write it there anew: see Bounds.
package cachestore

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key names one part under one salt.
type Key struct{ Salt, Part string }

// Salt is the text under which a part may be found. Parts of different walls,
// models or weight versions never share one.
type Salt struct {
	CacheScope string // see catalog.Config.Wall
	Model      string
	Version    uint64
}

// String encodes a salt. The wall is hashed, so that a salt stays short and
// tells no customer's name.
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

// StoredPart is one part as a store lists it.
type StoredPart struct {
	Key
	Tokens      int       // complete
	Reserved    int       // space taken, of a part that is not complete
	CompletedAt time.Time // by when it was complete; zero: when this is heard
}

// Event is one change that a store tells.
type Event struct {
	Key
	Added       bool
	Tokens      int       // held now
	CompletedAt time.Time // by when an added part was complete; zero: when this is heard
}

// blockTokens is the granule in which stores hand out space.
const blockTokens = 16

func space(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }

// Response is the epoch of what a store told, and the times between which it was true. A store's
// answer holds as of some moment between the question and its arrival: an age counts from the
// question, a delay from the arrival.
type Response struct {
	Epoch        uint64    // of the store: changes when it starts again, empty
	NextEvent    uint64    // the event to go on from
	AsOf         time.Time // when the store was asked
	CompleteAsOf time.Time // the last such moment for which no event is missing
	Received     time.Time // when this instance heard it
}

// Inventory is what is known of one store. The zero value knows nothing.
type Inventory struct {
	epoch uint64
	next  uint64
	known bool
	held  map[Key]heldPart
	// former is what was held when all was forgotten, in this epoch.
	former map[Key]heldPart
	gone   map[Key]time.Time // parts held before in this epoch: when it was heard that they no longer are
	used   int               // space of held
	asOf   time.Time         // see Answer
	whole  time.Time         // see Answer
	since  time.Time         // when this epoch was first heard of
	// gap says that events were lost since the last list.
	gap bool

	broken   map[Key]brokenPart // incomplete parts of the last list
	brokenAt time.Time          // of that list
}

// heldPart is a part that is complete.
type heldPart struct {
	tokens int
	at     time.Time // by when it was complete
	event  uint64    // the store's own event that told of it, or a later one; 0: none did
}

// brokenPart is a part that takes space and is not complete.
type brokenPart struct {
	tokens int
	since  time.Time // first seen with these tokens
}

// SetIncomplete takes the incomplete parts of a list, heard at now.
func (s *Inventory) SetIncomplete(partial []StoredPart, now time.Time) {
	next := make(map[Key]brokenPart, len(partial))
	for _, p := range partial {
		b, seen := s.broken[p.Key]
		if !seen || b.tokens != p.Tokens {
			b = brokenPart{tokens: p.Tokens, since: now}
		}
		next[p.Key] = b
	}
	s.broken, s.brokenAt = next, now
}

// Stalled returns the parts that two lists at least d apart, and no event since,
// show incomplete and of the same size.
func (s *Inventory) Stalled(d time.Duration) []Key {
	var out []Key
	for k, b := range s.broken {
		if s.brokenAt.Sub(b.since) >= d {
			out = append(out, k)
		}
	}
	return out
}

// Position returns the epoch and the event to go on from; known is false if the
// store must be listed first.
func (s *Inventory) Position() (epoch, next uint64, known bool) { return s.epoch, s.next, s.known }

// Replace takes a whole list. It returns what it changes; anew says that this is no mere
// change: the store was not known, or started again.
func (s *Inventory) Replace(a Response, held []StoredPart) (changes []Event, anew bool) {
	anew = !s.known || s.epoch != a.Epoch
	if s.epoch != a.Epoch || s.since.IsZero() {
		s.since, s.gone, s.former = a.Received, nil, nil
	}
	before := s.held
	s.epoch, s.next, s.known = a.Epoch, a.NextEvent, true
	s.asOf, s.whole, s.gap = a.AsOf, a.CompleteAsOf, false
	s.held, s.used = make(map[Key]heldPart, len(held)), 0
	for _, h := range held {
		at, event := h.CompletedAt, uint64(0)
		if old, had := before[h.Key]; had && old.at.Before(at) {
			at, event = old.at, old.event // it is taken for the same
		}
		s.add(Event{Key: h.Key, Tokens: h.Tokens, CompletedAt: at}, event, a.Received)
	}
	s.forgetGone(a.Received)
	for k := range s.former {
		if _, still := s.held[k]; !still {
			s.goes(k, a.Received)
		}
	}
	s.former = nil
	for k := range before {
		if _, still := s.held[k]; !still {
			s.goes(k, a.Received)
			changes = append(changes, Event{Key: k})
		}
	}
	if anew {
		return nil, true
	}
	for k, part := range s.held {
		if old, had := before[k]; !had || old.tokens != part.tokens {
			changes = append(changes, Event{Key: k, Added: true, Tokens: part.tokens})
		}
	}
	return changes, false
}

// Apply takes a page of events. It returns false if the store must be listed anew: it
// started again, or events were lost.
func (s *Inventory) Apply(a Response, gap bool, events []Event) bool {
	if !s.known || a.Epoch != s.epoch {
		s.Invalidate()
		return false
	}
	for _, e := range events {
		_, had := s.held[e.Key]
		delete(s.broken, e.Key)
		switch {
		case e.Added:
			event := a.NextEvent
			if !e.CompletedAt.IsZero() {
				event = 0 // another instance's word, whose numbers are its own
			}
			s.add(e, event, a.Received)
		case had:
			s.drop(e.Key)
			s.goes(e.Key, a.Received)
		}
	}
	s.next = a.NextEvent
	s.asOf = later(s.asOf, a.AsOf) // another instance's answer may be older than the last one's
	s.gap = s.gap || gap
	if !s.gap {
		s.whole = later(s.whole, a.CompleteAsOf)
	}
	return !gap
}

// add takes a part as complete, heard at a time.
func (s *Inventory) add(e Event, event uint64, heard time.Time) {
	at := e.CompletedAt
	if at.IsZero() {
		at = heard
	}
	s.drop(e.Key)
	s.held[e.Key] = heldPart{tokens: e.Tokens, at: at, event: event}
	s.used += space(e.Tokens)
}

// drop takes a part off, if it is held.
func (s *Inventory) drop(k Key) {
	s.used -= space(s.held[k].tokens)
	delete(s.held, k)
}

// goes notes that a part is no longer held.
func (s *Inventory) goes(k Key, now time.Time) {
	if s.gone == nil {
		s.gone = map[Key]time.Time{}
	}
	s.gone[k] = now
}

// goneMemory is how long parts that are no longer held are remembered: more than
// Bounds.SaveDelay of any use.
const goneMemory = 30 * time.Second

func (s *Inventory) forgetGone(now time.Time) {
	for k, at := range s.gone {
		if now.Sub(at) > goneMemory {
			delete(s.gone, k)
		}
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// All returns all that the store holds.
func (s *Inventory) All() []StoredPart {
	out := make([]StoredPart, 0, len(s.held))
	for k, part := range s.held {
		out = append(out, StoredPart{Key: k, Tokens: part.tokens, CompletedAt: part.at})
	}
	return out
}

// CompletedAt is by when a held part was complete; zero: it is not held.
func (s *Inventory) CompletedAt(k Key) time.Time { return s.held[k].at }

// Remove takes parts as no longer held, ahead of the store's own word, heard at now.
func (s *Inventory) Remove(parts []Key, now time.Time) {
	for _, k := range parts {
		s.drop(k)
		s.goes(k, now)
		delete(s.broken, k)
	}
}

// Invalidate drops all knowledge of the contents: the store does not answer, or
// started again. Its epoch stays in mind, to tell a restart from a silence.
func (s *Inventory) Invalidate() {
	former := s.former
	if s.known {
		former = s.held
	}
	*s = Inventory{epoch: s.epoch, since: s.since, gone: s.gone, former: former}
}

// AsOf is as of when the store's newest word holds.
func (s *Inventory) AsOf() time.Time { return s.asOf }

// CompleteAsOf is as of when held lacks no part that was complete.
func (s *Inventory) CompleteAsOf() time.Time { return s.whole }

// HasGap says that events were lost since the last list.
func (s *Inventory) HasGap() bool { return s.gap }

// Tokens returns how many tokens of a part the store holds complete, as of an
// answer not older than maxAge.
func (s *Inventory) Tokens(k Key, now time.Time, maxAge time.Duration) int {
	if !s.Known(now, maxAge) {
		return 0
	}
	return s.held[k].tokens
}

// Used is the space taken by complete parts, in tokens.
func (s *Inventory) Used() int { return s.used }

// Known says whether the store was listed and has not been lost since, as of an answer not
// older than maxAge.
func (s *Inventory) Known(now time.Time, maxAge time.Duration) bool {
	return s.known && now.Sub(s.asOf) <= maxAge
}

// Outdated returns the parts whose weights are of an older version than those in
// oldest, which has each model's oldest version still in use; at most limit.
func (s *Inventory) Outdated(oldest map[string]uint64, limit int) []Key {
	var out []Key
	for k := range s.held {
		model, version, ok := ParseSalt(k.Salt)
		if keep, known := oldest[model]; !ok || !known || version >= keep {
			continue
		}
		if out = append(out, k); len(out) == limit {
			break
		}
	}
	return out
}

// Candidate is one store that a part may be kept in.
type Candidate struct {
	Address        string
	Capacity       int // tokens
	Used           int // tokens
	FirstByteDelay time.Duration
	SameZone       bool // in the zone of the target that saves the part
}

const (
	// smallPart is the largest part, in tokens, for which a store's fixed delay
	// outweighs the transfer: it belongs in the stores with the least of it.
	smallPart = 1500
	// fastForLarge is the share of those stores' space that larger parts may take.
	fastForLarge = 0.35
	// keptForHeads is the share of a store's space that is left to parts with which many
	// prompts begin.
	keptForHeads = 0.04
)

// Home returns the store that a part belongs in: by rendezvous hashing weighted
// by capacity (Thaler and Ravishankar, 1998; weights after Schindelhauer and
// Schomaker, 2005), among those with room. Small parts go to the fastest stores
// as long as these have room, and so do heads, the parts with which prompts begin:
// they are few and asked for by all targets at once. Other parts go to near stores as long
// as these have room: the prompts that ask for them again go to targets of the same zone.
// -1: none has room.
func Home(k Key, tokens int, head bool, places []Candidate) int {
	fastest := time.Duration(math.MaxInt64)
	for _, p := range places {
		fastest = min(fastest, p.FirstByteDelay)
	}
	kept := keptForHeads
	if head {
		kept = 0
	}
	if head || tokens <= smallPart {
		if i := pick(k, tokens, kept, places, func(p Candidate) float64 { return only(p.FirstByteDelay == fastest) }); i >= 0 {
			return i
		}
	}
	share := func(p Candidate) float64 {
		if p.FirstByteDelay == fastest && tokens > smallPart {
			return fastForLarge
		}
		return 1
	}
	if !head {
		if i := pick(k, tokens, kept, places, func(p Candidate) float64 { return only(p.SameZone) * share(p) }); i >= 0 {
			return i
		}
	}
	return pick(k, tokens, kept, places, share)
}

func only(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}

// pick draws a place with room, by capacity times share. kept is the share of the space
// that is not for this part.
func pick(k Key, tokens int, kept float64, places []Candidate, share func(Candidate) float64) int {
	best, top := -1, math.Inf(-1)
	for i, p := range places {
		weight := float64(p.Capacity) * share(p)
		if weight <= 0 || float64(p.Used+space(tokens)) > (1-kept)*float64(p.Capacity) {
			continue
		}
		h := xxhash.Sum64String(k.Salt + "/" + k.Part + "/" + p.Address)
		unit := (float64(h>>11) + 0.5) / (1 << 53) // in (0, 1)
		if score := -weight / math.Log(unit); score > top {
			best, top = i, score
		}
	}
	return best
}
