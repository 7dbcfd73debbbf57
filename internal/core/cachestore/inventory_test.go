package cachestore_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/cachestore"
)

var (
	start = time.Unix(0, 0)
	age   = time.Second
)

// response returns a store's response that arrived at the time of the request.
func response(epoch, next uint64, at time.Time) cachestore.Response {
	return cachestore.Response{Epoch: epoch, NextEvent: next, AsOf: at, CompleteAsOf: at, Received: at}
}

// TestSalt checks that a salt encodes its model and version, and differs by cache scope.
func TestSalt(t *testing.T) {
	is := is.New(t)
	a, b := cachestore.Salt{CacheScope: "c/one", Model: "m.x", Version: 7}, cachestore.Salt{CacheScope: "c/two", Model: "m.x", Version: 7}
	is.True(a.String() != b.String())
	model, version, ok := cachestore.ParseSalt(a.String())
	is.True(ok)
	is.Equal(model, "m.x")
	is.Equal(version, uint64(7))
	_, _, ok = cachestore.ParseSalt("plain")
	is.True(!ok)
}

// TestInventory checks that a part counts as held only if the store has recently
// reported it as complete, in its current epoch.
func TestInventory(t *testing.T) {
	is := is.New(t)
	var s cachestore.Inventory
	k := cachestore.Key{Salt: "s", Part: "p"}
	is.True(!s.Apply(response(1, 5, start), false, []cachestore.Event{{Key: k, Added: true, Tokens: 80}})) // never listed
	is.Equal(s.Tokens(k, start, age), 0)
	s.Replace(response(1, 5, start), nil)
	is.True(s.Apply(response(1, 6, start), false, []cachestore.Event{{Key: k, Added: true, Tokens: 80}}))
	is.Equal(s.Tokens(k, start, age), 80)
	is.Equal(s.Tokens(k, start.Add(2*age), age), 0) // the response is too old
	is.Equal(s.Used(), 80)
	is.True(s.Apply(response(1, 7, start), false, []cachestore.Event{{Key: k}}))
	is.Equal(s.Tokens(k, start, age), 0)
	is.Equal(s.Used(), 0)
	is.True(!s.Apply(response(1, 9, start), true, nil)) // a gap
	s.Replace(response(1, 9, start), []cachestore.StoredPart{{Key: k, Tokens: 80}})
	is.True(!s.Apply(response(2, 1, start), false, nil)) // the store restarted
	is.Equal(s.Tokens(k, start, age), 0)
}

// TestOutdated checks that only parts of versions that are no longer in use are returned.
func TestOutdated(t *testing.T) {
	is := is.New(t)
	var s cachestore.Inventory
	var held []cachestore.StoredPart
	for v := uint64(1); v <= 3; v++ {
		held = append(held, cachestore.StoredPart{Key: cachestore.Key{Salt: cachestore.Salt{Model: "m", Version: v}.String(), Part: "p"}, Tokens: 1})
	}
	held = append(held, cachestore.StoredPart{Key: cachestore.Key{Salt: cachestore.Salt{Model: "other", Version: 1}.String(), Part: "p"}, Tokens: 1})
	s.Replace(response(1, 0, start), held)
	is.Equal(len(s.Outdated(map[string]uint64{"m": 3}, 10)), 2)
	is.Equal(len(s.Outdated(map[string]uint64{"m": 3}, 1)), 1)
	is.Equal(len(s.Outdated(nil, 10)), 0)
}

// TestHome checks that parts are spread by capacity, move only when their store is
// full, and that the choice is deterministic.
func TestHome(t *testing.T) {
	is := is.New(t)
	candidates := []cachestore.Candidate{{Address: "a", Capacity: 100_000}, {Address: "b", Capacity: 900_000}}
	count := [2]int{}
	for i := range 10_000 {
		k := cachestore.Key{Salt: "s", Part: fmt.Sprint(i)}
		home := cachestore.Home(k, 100, false, candidates)
		is.Equal(cachestore.Home(k, 100, false, candidates), home)
		count[home]++
	}
	is.True(count[0] > 900 && count[0] < 1100)
	candidates[1].Used = candidates[1].Capacity
	is.Equal(cachestore.Home(cachestore.Key{Part: "x"}, 100, false, candidates), 0)
	candidates[0].Used = candidates[0].Capacity
	is.Equal(cachestore.Home(cachestore.Key{Part: "x"}, 100, false, candidates), -1)
}

// TestSmallParts checks that small parts go to the fastest stores while these have
// room, and most large parts elsewhere.
func TestSmallParts(t *testing.T) {
	is := is.New(t)
	candidates := []cachestore.Candidate{{Address: "fast", Capacity: 100_000}, {Address: "big", Capacity: 900_000, FirstByteDelay: 6 * time.Millisecond}}
	large := 0
	for i := range 1000 {
		k := cachestore.Key{Salt: "s", Part: fmt.Sprint(i)}
		is.Equal(cachestore.Home(k, 500, false, candidates), 0)
		large += 1 - cachestore.Home(k, 5000, false, candidates)
	}
	is.True(large > 10 && large < 80)
	candidates[0].Used = candidates[0].Capacity
	is.Equal(cachestore.Home(cachestore.Key{Part: "x"}, 500, false, candidates), 1)
}

// TestPromptHeads checks that parts with which prompts begin go to the fastest stores regardless
// of their size, and may use the space there that is reserved for them.
func TestPromptHeads(t *testing.T) {
	is := is.New(t)
	candidates := []cachestore.Candidate{{Address: "fast", Capacity: 100_000, Used: 95_000}, {Address: "big", Capacity: 900_000, FirstByteDelay: 6 * time.Millisecond}}
	for i := range 100 {
		k := cachestore.Key{Salt: "s", Part: fmt.Sprint(i)}
		is.Equal(cachestore.Home(k, 2500, true, candidates), 0)
		is.Equal(cachestore.Home(k, 2500, false, candidates), 1)
		is.Equal(cachestore.Home(k, 1200, false, candidates), 1)
	}
	candidates[0].Used = 98_000
	is.Equal(cachestore.Home(cachestore.Key{Part: "x"}, 2500, true, candidates), 1)
}

// TestStalled checks that only a part that stays incomplete without growing is stalled.
func TestStalled(t *testing.T) {
	is := is.New(t)
	var s cachestore.Inventory
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	part := func(name string, tokens int) cachestore.StoredPart {
		return cachestore.StoredPart{Key: cachestore.Key{Salt: "s", Part: name}, Tokens: tokens, Reserved: 100}
	}
	s.Replace(response(1, 1, at(0)), nil)
	s.SetIncomplete([]cachestore.StoredPart{part("stuck", 5), part("grows", 5), part("ends", 5)}, at(0))
	is.Equal(len(s.Stalled(10*time.Second)), 0)
	is.True(s.Apply(response(1, 2, at(11)), false, []cachestore.Event{{Key: cachestore.Key{Salt: "s", Part: "ends"}, Added: true, Tokens: 100}}))
	is.Equal(len(s.Stalled(10*time.Second)), 0) // a single listing does not show whether a part grows
	s.SetIncomplete([]cachestore.StoredPart{part("stuck", 5), part("grows", 6)}, at(12))
	is.Equal(s.Stalled(10*time.Second), []cachestore.Key{{Salt: "s", Part: "stuck"}})
	is.True(s.Apply(response(1, 3, at(13)), false, []cachestore.Event{{Key: cachestore.Key{Salt: "s", Part: "stuck"}, Added: true, Tokens: 100}}))
	is.Equal(len(s.Stalled(10*time.Second)), 0) // completed after the listing
	s.SetIncomplete([]cachestore.StoredPart{part("grows", 6)}, at(24))
	s.Remove(s.Stalled(10*time.Second), at(24))
	is.Equal(len(s.Stalled(10*time.Second)), 0)
	s.Invalidate()
	is.Equal(len(s.Stalled(10*time.Second)), 0)
}

// TestSameZone checks that parts are saved in the zone of the target that reads them while a store
// there has room, but heads and small parts in the fastest stores.
func TestSameZone(t *testing.T) {
	is := is.New(t)
	candidates := []cachestore.Candidate{{Address: "fast", Capacity: 100_000}, {Address: "far", Capacity: 900_000, FirstByteDelay: 6 * time.Millisecond},
		{Address: "near", Capacity: 900_000, FirstByteDelay: 6 * time.Millisecond, SameZone: true}}
	for i := range 100 {
		k := cachestore.Key{Salt: "s", Part: fmt.Sprint(i)}
		is.Equal(cachestore.Home(k, 5000, false, candidates), 2)
		is.Equal(cachestore.Home(k, 5000, true, candidates), 0)
		is.Equal(cachestore.Home(k, 500, false, candidates), 0)
	}
	candidates[2].Used = candidates[2].Capacity
	is.True(cachestore.Home(cachestore.Key{Part: "x"}, 5000, false, candidates) != 2)
}
