package cachestore

import "time"

// Bounds keep saves and fetches of one part of one store apart, by ages alone: instances agree
// on the bounds, and on nothing else. A save has no end of its own, and nothing that is sent
// with it binds it to the epoch in which it was decided. So a part may be written anew after
// its store has started again, empty, by an instance that knew neither of the part nor of the
// start. The others must not fetch it meanwhile.
//
// Let an instance decide at d to save a part, by an answer that is whole as of w, and let the
// store start again at r before the save takes place. Let another instance decide at f to fetch
// the part, by an answer of the epoch that ended at r, in which the part was complete by c.
//
//   - The part was not complete at w, or the first instance had known of it: c > w >= d - SaveAge.
//   - The second instance fetches only a part that has been complete for FetchDelay: f >= c + FetchDelay
//     > d + SaveTime, and by then the save is over, or known to be late and the part not fetched.
//   - An instance that knows of the new epoch saves only SaveDelay after it heard of it, and a part
//     that was freed only SaveDelay after that was heard: by then f + FetchTime has passed for
//     each f <= r + FetchAge.
//
// A part need not wait for FetchDelay if all instances have said that they know the event that told
// of it, each with the saves that it had asked for before and that were not over.
//
// So at no moment may a part be fetched by one instance and be written anew by another's save.
type Bounds struct {
	SaveAge   time.Duration // the oldest answer by which a save is decided
	SaveTime  time.Duration // from the decision until a save is over, or known by all to be late
	FetchAge  time.Duration // the oldest answer by which a fetch is decided
	FetchTime time.Duration // from the decision until a fetch is over
}

// FetchDelay is how long a part must have been complete to be fetched: whoever may still have decided
// to save it since has heard of it, and what he decided before is over.
func (b Bounds) FetchDelay() time.Duration { return b.SaveAge + b.SaveTime }

// SaveDelay is how long a store's epoch, or that a part is no longer held, must have been known
// before the part is saved there: whoever may still have decided to fetch it by what he knew
// before is done.
func (b Bounds) SaveDelay() time.Duration { return b.FetchAge + b.FetchTime }

// Fetchable returns how many tokens of a part may be fetched, by an answer not older than maxAge,
// which is FetchAge at most. known says whether all instances know an event of the store.
func (s *Inventory) Fetchable(k Key, now time.Time, maxAge time.Duration, b Bounds, known func(epoch, event uint64) bool) int {
	part := s.held[k]
	if now.Sub(part.at) < b.FetchDelay() && (part.event == 0 || !known(s.epoch, part.event)) {
		return 0
	}
	return s.Tokens(k, now, min(maxAge, b.FetchAge))
}

// AcceptsSaves says whether anything may be saved in the store.
func (s *Inventory) AcceptsSaves(now time.Time, b Bounds) bool {
	return s.known && now.Sub(s.whole) <= b.SaveAge && now.Sub(s.since) >= b.SaveDelay()
}

// Savable says whether a part may be saved in a store that takes saves.
func (s *Inventory) Savable(k Key, now time.Time, b Bounds) bool {
	_, held := s.held[k]
	at, gone := s.gone[k]
	return !held && !(gone && now.Sub(at) < b.SaveDelay()) && s.AcceptsSaves(now, b)
}
