package cachestore

import "time"

// Bounds are the time limits that prevent an instance from fetching a cache part from a
// store while another instance's save rewrites it. Instances share these durations and coordinate in no other way.
// A save has no expiry of its own, and nothing in the request binds it to the boot epoch in which
// it was decided. An instance that knows neither of the part nor of a restart can therefore
// rewrite the part after its store restarted empty; no other instance may fetch it meanwhile.
//
// Suppose that one instance decides at d to save a part, based on a response that is complete as
// of w, and that the store restarts at r before the save is executed. Another instance decides at
// f to fetch the part, based on a response from the epoch that ended at r, in which the part was
// complete by c.
//
//   - The part was not complete at w, or the first instance would have known of it:
//     c > w >= d - SaveAge.
//   - The second instance fetches only parts that have been complete for FetchDelay:
//     f >= c + FetchDelay > d + SaveTime. By then the save has ended, or is known to be late, in
//     which case the part is not fetched.
//   - An instance that knows of the new epoch saves only once it has known of it for SaveDelay,
//     and saves a removed part again only once it has known of the removal for SaveDelay. By then
//     f + FetchTime has passed for every f <= r + FetchAge.
//
// FetchDelay does not apply to a part if every instance has reported that it knows the event that
// announced the part, together with the saves it had requested before that are still pending.
//
// Hence no part is fetched by one instance while a save of another instance rewrites it.
type Bounds struct {
	SaveAge   time.Duration // maximum age of the response on which a save decision is based
	SaveTime  time.Duration // from the decision until the save has ended or all instances know that it is late
	FetchAge  time.Duration // maximum age of the response on which a fetch decision is based
	FetchTime time.Duration // from the decision until the fetch has ended
}

// FetchDelay is how long a part must have been complete before it is fetched. After that time,
// every instance that could still have decided to save the part knows of it, and saves decided
// earlier have ended.
func (b Bounds) FetchDelay() time.Duration { return b.SaveAge + b.SaveTime }

// SaveDelay is how long an instance must have known a store's epoch, or the removal of a part,
// before it saves the part there. After that time, fetches decided on older information have
// ended.
func (b Bounds) SaveDelay() time.Duration { return b.FetchAge + b.FetchTime }

// Fetchable returns how many tokens of a part may be fetched, based on a response not older than
// maxAge, capped at b.FetchAge. knownByAll reports whether all instances know an event of the store.
func (s *Inventory) Fetchable(k Key, now time.Time, maxAge time.Duration, b Bounds, knownByAll func(epoch, event uint64) bool) int {
	part := s.held[k]
	if now.Sub(part.completedAt) < b.FetchDelay() && (part.eventSeq == 0 || !knownByAll(s.epoch, part.eventSeq)) {
		return 0
	}
	return s.Tokens(k, now, min(maxAge, b.FetchAge))
}

// AcceptsSaves reports whether parts may be saved in the store at all.
func (s *Inventory) AcceptsSaves(now time.Time, b Bounds) bool {
	return s.listed && now.Sub(s.completeAsOf) <= b.SaveAge && now.Sub(s.epochSince) >= b.SaveDelay()
}

// Savable reports whether a part may be saved in the store: it is neither held nor recently removed.
func (s *Inventory) Savable(k Key, now time.Time, b Bounds) bool {
	_, held := s.held[k]
	removedAt, wasRemoved := s.removed[k]
	return !held && !(wasRemoved && now.Sub(removedAt) < b.SaveDelay()) && s.AcceptsSaves(now, b)
}
