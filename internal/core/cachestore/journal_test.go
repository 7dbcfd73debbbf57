package cachestore_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/cachestore"
)

// contents returns the tokens that an inventory holds, by part.
func contents(s *cachestore.Inventory) map[string]int {
	out := map[string]int{}
	for _, h := range s.All() {
		out[h.Part] = h.Tokens
	}
	return out
}

// TestJournal guards against a copy that diverges from its source when it is updated
// now and then by the changes since the last update. In between come events,
// relistings, restarts, losses of contact, and more changes than the journal retains.
func TestJournal(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(7, 1))
	const store = "a"
	var source, copied cachestore.Inventory
	var j cachestore.Journal
	seq, epoch, now := uint64(0), uint64(1), time.Unix(0, 0)
	key := func() cachestore.Key { return cachestore.Key{Salt: "s", Part: fmt.Sprint(r.IntN(40))} }
	list := func(held []cachestore.StoredPart) {
		changes, reset := source.Replace(response(epoch, 1, now), held)
		if reset {
			j.MarkRelisted(store)
		}
		j.Append(store, changes)
	}
	relists := 0
	for step := range 20_000 {
		now = now.Add(time.Millisecond)
		switch n := r.IntN(1000); {
		case n < 900:
			e := cachestore.Event{Key: key(), Added: r.IntN(3) > 0, Tokens: 1 + r.IntN(99)}
			if source.Apply(response(epoch, 1, now), false, []cachestore.Event{e}) {
				j.Append(store, []cachestore.Event{e})
			}
		case n < 950:
			held := source.All()
			list(append(held[:len(held)/2:len(held)/2], cachestore.StoredPart{Key: key(), Tokens: 7}))
		case n < 955:
			epoch++
			list(nil)
		case n < 960:
			source.Invalidate()
		case n < 963:
			j.Append("another", make([]cachestore.Event, 9000)) // more than the journal retains
		}
		if step%50 != 0 {
			continue
		}
		if sourceEpoch, _, known := source.Position(); known {
			events, relist := j.Since(store, seq)
			if relist {
				relists++
				copied.Replace(response(sourceEpoch, 0, now), source.All())
			} else {
				is.True(copied.Apply(response(sourceEpoch, 0, now), false, events))
			}
			seq = j.Seq()
			is.True(maps.Equal(contents(&source), contents(&copied)))
		}
	}
	is.True(relists > 10 && relists < 300) // both full listings and changes were used
}

// TestSaveDelayAfterRestart checks that a store accepts saves only after the save delay when it is
// first listed and after a restart, but at once after a loss of contact without a restart.
func TestSaveDelayAfterRestart(t *testing.T) {
	is := is.New(t)
	var s cachestore.Inventory
	at := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
	b := cachestore.Bounds{SaveAge: time.Minute, FetchAge: 2 * time.Second, FetchTime: time.Second}
	s.Replace(response(1, 0, at(0)), nil)
	is.True(!s.AcceptsSaves(at(2), b))
	is.True(s.AcceptsSaves(at(3), b))
	s.Invalidate()
	is.True(!s.AcceptsSaves(at(4), b)) // not known
	s.Replace(response(1, 0, at(5)), nil)
	is.True(s.AcceptsSaves(at(5), b))
	s.Replace(response(2, 0, at(6)), nil)
	is.True(!s.AcceptsSaves(at(8), b))
	is.True(s.AcceptsSaves(at(9), b))
}
