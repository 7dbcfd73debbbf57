// Package stock is an instance's knowledge of what the cache stores hold, and
// the choice of where a prompt's parts are fetched from and kept. It is pure.
//
// Invariant: a part is listed as held only after its store, in its present boot
// epoch, said that the part is complete. Nothing else may be fetched.
package stock

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
	Wall    string // see catalog.Config.Wall
	Model   string
	Version uint64
}

// String encodes a salt. The wall is hashed, so that a salt stays short and
// tells no customer's name.
func (s Salt) String() string {
	return strconv.FormatUint(xxhash.Sum64String(s.Wall), 16) + "." + strconv.FormatUint(s.Version, 10) + "." + s.Model
}

// ParseSalt returns the model and the weight version of an encoded salt.
func ParseSalt(text string) (model string, version uint64, ok bool) {
	_, rest, ok1 := strings.Cut(text, ".")
	v, model, ok2 := strings.Cut(rest, ".")
	version, err := strconv.ParseUint(v, 10, 64)
	return model, version, ok1 && ok2 && err == nil
}

// Held is one part as a store lists it.
type Held struct {
	Key
	Tokens   int // complete
	Reserved int // space taken, of a part that is not complete
}

// Event is one change that a store tells.
type Event struct {
	Key
	Added  bool
	Tokens int // held now
}

// blockTokens is the granule in which stores hand out space.
const blockTokens = 16

func space(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }

// Inventory is what is known of one store. The zero value knows nothing.
type Inventory struct {
	epoch uint64
	next  uint64
	known bool
	held  map[Key]int // tokens
	used  int         // space of held
	heard time.Time   // of the last answer
	since time.Time   // when this epoch was first heard of

	broken   map[Key]brokenPart // incomplete parts of the last list
	brokenAt time.Time          // of that list
}

// brokenPart is a part that takes space and is not complete.
type brokenPart struct {
	tokens int
	since  time.Time // first seen with these tokens
}

// Broken takes the incomplete parts of a list, heard at now.
func (s *Inventory) Broken(partial []Held, now time.Time) {
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

// Stuck returns the parts that two lists at least d apart, and no event since,
// show incomplete and of the same size.
func (s *Inventory) Stuck(d time.Duration) []Key {
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

// List takes a whole list, heard at now. It returns what it changes; anew says
// that this is no mere change: the store was not known, or started again.
func (s *Inventory) List(epoch, next uint64, held []Held, now time.Time) (changes []Event, anew bool) {
	anew = !s.known || s.epoch != epoch
	if s.epoch != epoch || s.since.IsZero() {
		s.since = now
	}
	before := s.held
	s.epoch, s.next, s.known, s.heard = epoch, next, true, now
	s.held, s.used = make(map[Key]int, len(held)), 0
	for _, h := range held {
		s.held[h.Key] = h.Tokens
		s.used += space(h.Tokens)
	}
	if anew {
		return nil, true
	}
	for k := range before {
		if _, still := s.held[k]; !still {
			changes = append(changes, Event{Key: k})
		}
	}
	for k, n := range s.held {
		if old, had := before[k]; !had || old != n {
			changes = append(changes, Event{Key: k, Added: true, Tokens: n})
		}
	}
	return changes, false
}

// Apply takes a page of events, heard at now. It returns false if the store must
// be listed anew: it started again, or events were lost.
func (s *Inventory) Apply(epoch, next uint64, gap bool, events []Event, now time.Time) bool {
	if !s.known || epoch != s.epoch {
		s.Forget()
		return false
	}
	for _, e := range events {
		s.used -= space(s.held[e.Key])
		delete(s.held, e.Key)
		delete(s.broken, e.Key)
		if e.Added {
			s.held[e.Key] = e.Tokens
			s.used += space(e.Tokens)
		}
	}
	s.next = next
	if now.After(s.heard) { // another instance's word may be older than the last one's
		s.heard = now
	}
	return !gap
}

// All returns all that the store holds.
func (s *Inventory) All() []Held {
	out := make([]Held, 0, len(s.held))
	for k, n := range s.held {
		out = append(out, Held{Key: k, Tokens: n})
	}
	return out
}

// Drop takes parts as no longer held, ahead of the store's own word.
func (s *Inventory) Drop(parts []Key) {
	for _, k := range parts {
		s.used -= space(s.held[k])
		delete(s.held, k)
		delete(s.broken, k)
	}
}

// Forget drops all knowledge of the contents: the store does not answer, or
// started again. Its epoch stays in mind, to tell a restart from a silence.
func (s *Inventory) Forget() { *s = Inventory{epoch: s.epoch, since: s.since} }

// Settled says whether the store's epoch has been known for d. Until then other
// instances may fetch what they believe it held before, and must not meet a part
// that is being written anew.
func (s *Inventory) Settled(now time.Time, d time.Duration) bool {
	return s.known && now.Sub(s.since) >= d
}

// Heard is when the store answered last, to this instance or to the one that told
// of it.
func (s *Inventory) Heard() time.Time { return s.heard }

// Tokens returns how many tokens of a part the store holds complete, as of an
// answer not older than maxAge.
func (s *Inventory) Tokens(k Key, now time.Time, maxAge time.Duration) int {
	if !s.known || now.Sub(s.heard) > maxAge {
		return 0
	}
	return s.held[k]
}

// Used is the space taken by complete parts, in tokens.
func (s *Inventory) Used() int { return s.used }

// Known says whether the store was listed and has not been lost since.
func (s *Inventory) Known(now time.Time, maxAge time.Duration) bool {
	return s.known && now.Sub(s.heard) <= maxAge
}

// Older returns the parts whose weights are of an older version than those in
// oldest, which has each model's oldest version still in use; at most limit.
func (s *Inventory) Older(oldest map[string]uint64, limit int) []Key {
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

// Place is one store that a part may be kept in.
type Place struct {
	Address   string
	Capacity  int // tokens
	Used      int // tokens
	FirstByte time.Duration
	Near      bool // in the zone of the target that saves the part
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
func Home(k Key, tokens int, head bool, places []Place) int {
	fastest := time.Duration(math.MaxInt64)
	for _, p := range places {
		fastest = min(fastest, p.FirstByte)
	}
	kept := keptForHeads
	if head {
		kept = 0
	}
	if head || tokens <= smallPart {
		if i := pick(k, tokens, kept, places, func(p Place) float64 { return only(p.FirstByte == fastest) }); i >= 0 {
			return i
		}
	}
	share := func(p Place) float64 {
		if p.FirstByte == fastest && tokens > smallPart {
			return fastForLarge
		}
		return 1
	}
	if !head {
		if i := pick(k, tokens, kept, places, func(p Place) float64 { return only(p.Near) * share(p) }); i >= 0 {
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
func pick(k Key, tokens int, kept float64, places []Place, share func(Place) float64) int {
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
