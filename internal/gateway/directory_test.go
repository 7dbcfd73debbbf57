package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/cachestore"
	"github.com/shedhoist/shedhoist/internal/core/member"
)

// membersOf returns n members spread evenly over zones.
func membersOf(n, zones int) []member.Member {
	out := make([]member.Member, n)
	for i := range out {
		out[i] = member.Member{Name: fmt.Sprintf("e-%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: fmt.Sprintf("z%d", i%zones)}
	}
	return out
}

// TestTreeShape guards against relay trees with too many store pollers, too many children of one
// instance, parents in another zone, or too many hops.
func TestTreeShape(t *testing.T) {
	for _, c := range []struct{ n, zones, depth int }{{1, 1, 0}, {9, 3, 0}, {16, 3, 0}, {17, 3, 1}, {59, 3, 1}, {91, 4, 1}, {300, 3, 2}, {330, 7, 2}, {1000, 3, 3}} {
		t.Run(fmt.Sprintf("%d in %d", c.n, c.zones), func(t *testing.T) {
			is := is.New(t)
			all := membersOf(c.n, c.zones)
			byAddress, childCount, pollers := map[string]member.Member{}, map[string]int{}, 0
			for _, m := range all {
				byAddress[m.Address] = m
			}
			for _, m := range all {
				position := newRelayTree(all, m).position()
				is.Equal(position.polls, slices.Contains(newRelayTree(all, m).pollers(), m.Name))
				if position.polls {
					pollers++
					continue
				}
				childCount[position.sources[0]]++
				steps := 0
				for ; !position.polls; steps++ {
					parent := byAddress[position.sources[0]]
					is.Equal(parent.Zone, m.Zone)
					position = newRelayTree(all, parent).position()
				}
				is.True(steps <= c.depth)
			}
			is.True(pollers <= max(maxSmallFleet, maxStorePollers))
			for _, n := range childCount {
				is.True(n <= treeFanout)
			}
		})
	}
}

// TestLastInstanceLeaves guards against a wrong relay tree when the last instance leaves: no member
// is alive then, not even the instance itself.
func TestLastInstanceLeaves(t *testing.T) {
	is := is.New(t)
	self := member.Member{Name: "a", Address: "10.0.0.1:1", Zone: "z", Incarnation: 1}
	c := controlOf(self.Name, self.Zone)
	c.members = member.New(member.DefaultParams, self, func(int) int { return 0 })
	c.members.Leave()
	v := c.buildView()
	is.Equal(len(v.Alive), 0)
	is.Equal(len(v.Tree.pollers()), 0)
	is.True(v.Tree.position().polls)
}

// TestStoreUpdates guards against changes that pack and unpack alter, and against parts with an
// invalid salt index, which must be left out.
func TestStoreUpdates(t *testing.T) {
	is := is.New(t)
	in := []cachestore.Event{
		{Key: cachestore.Key{Salt: "s1", Part: "a"}, Added: true, Tokens: 100},
		{Key: cachestore.Key{Salt: "s2", Part: "a"}},
		{Key: cachestore.Key{Salt: "s1", Part: "b"}, Added: true},
	}
	var update StoreUpdate
	update.pack(in, at0)
	for i := range in {
		in[i].CompletedAt = at0.Add(listLead) // an event without a time is sent with the latest possible one
	}
	is.Equal(update.unpack(at0), in)
	is.Equal(len(update.Salts), 2)
	update.Parts = append(update.Parts, PartUpdate{Salt: 2, Part: "c"}, PartUpdate{Salt: -1, Part: "d"})
	is.Equal(update.unpack(at0), in)
}

// directoryOf returns an empty directory of an instance whose clock is now.
func directoryOf(now *time.Time) *cacheDirectory {
	return newCacheDirectory(&Gateway{log: &log.Logger{Handler: discard.Default}, now: func() time.Time { return *now }})
}

// TestDirectoryInPages guards against oversized replies to an instance that knows nothing, and
// against stores or changes that are missing after it has pulled all pages.
func TestDirectoryInPages(t *testing.T) {
	is := is.New(t)
	now := at0
	source, receiver := directoryOf(&now), directoryOf(&now)
	const stores, parts = 13, 400
	for s := range stores {
		address := fmt.Sprintf("10.0.1.%d:1", s)
		source.inventories[address], receiver.inventories[address] = &storeInventory{}, &storeInventory{}
		held := make([]cachestore.StoredPart, parts)
		for i := range held {
			held[i] = cachestore.StoredPart{Key: cachestore.Key{Salt: "s", Part: fmt.Sprint(i)}, Tokens: 100}
		}
		source.applyList(source.inventories[address], address, directResponse(1, 1, now, now), held)
	}
	var req DirectoryRequest
	for page := 0; ; page++ {
		is.True(page < 2*stores*parts/maxListedParts)
		reply := source.directoryFor(req)
		listed := 0
		for _, update := range reply.Stores {
			if update.Complete {
				listed += len(update.Parts)
			}
		}
		is.True(listed <= maxListedParts)
		req = DirectoryRequest{Process: reply.Process, Seq: reply.Seq, Stores: receiver.applyDirectory(reply, now)}
		if !reply.More {
			is.True(page > 0)
			break
		}
		for address, inv := range source.inventories {
			e := []cachestore.Event{{Key: cachestore.Key{Salt: "s", Part: fmt.Sprintf("new-%d", page)}, Added: true, Tokens: 50}}
			is.True(inv.Apply(directResponse(1, uint64(page+2), now, now), false, e))
			source.journal.Append(address, e)
		}
	}
	is.True(receiver.applyDirectory(source.directoryFor(req), now) != nil)
	for address, inv := range source.inventories {
		is.Equal(len(receiver.inventories[address].All()), len(inv.All()))
	}
	is.True(!source.directoryFor(req).More)
}

// TestAgesAreReported guards against a part that counts as older at instances that learn of it from a
// peer than at the instance that polls the store.
func TestAgesAreReported(t *testing.T) {
	is := is.New(t)
	const delay = 30 * time.Millisecond
	for _, age := range []time.Duration{-listLead, 0, 7 * time.Millisecond, time.Second, time.Hour} {
		completedAt := at0.Add(-age)
		var update StoreUpdate
		update.pack([]cachestore.Event{{Key: cachestore.Key{Salt: "s", Part: "a"}, Added: true, Tokens: 100, CompletedAt: completedAt}}, at0)
		received := update.unpack(at0.Add(delay))[0].CompletedAt
		is.True(!received.Before(completedAt))
		is.True(received.Sub(completedAt) < delay+ageStep || at0.Sub(received) > cacheBounds.FetchDelay())
	}
}

// TestPollValidAt guards against a response that counts as newer than it is: one that was delayed on
// its way may be as old as its request.
func TestPollValidAt(t *testing.T) {
	is := is.New(t)
	is.Equal(pollValidAt(at0, at0.Add(time.Minute), 1), at0)
	is.Equal(pollValidAt(at0, at0.Add(storePollWait/2), 0), at0) // the store responded early
	is.Equal(pollValidAt(at0, at0.Add(time.Minute), 0), at0.Add(storePollWait))
}
