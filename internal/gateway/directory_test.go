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

func membersOf(n, zones int) []member.Member {
	out := make([]member.Member, n)
	for i := range out {
		out[i] = member.Member{Name: fmt.Sprintf("e-%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: fmt.Sprintf("z%d", i%zones)}
	}
	return out
}

// TestTreeShape guards against many followers of stores, many askers of one, ways across zones and long ways.
func TestTreeShape(t *testing.T) {
	for _, c := range []struct{ n, zones, depth int }{{1, 1, 0}, {9, 3, 0}, {16, 3, 0}, {17, 3, 1}, {59, 3, 1}, {91, 4, 1}, {300, 3, 2}, {330, 7, 2}, {1000, 3, 3}} {
		t.Run(fmt.Sprintf("%d in %d", c.n, c.zones), func(t *testing.T) {
			is := is.New(t)
			all := membersOf(c.n, c.zones)
			byAddress, asked, follow := map[string]member.Member{}, map[string]int{}, 0
			for _, m := range all {
				byAddress[m.Address] = m
			}
			for _, m := range all {
				at := newRelayTree(all, m).position()
				is.Equal(at.polls, slices.Contains(newRelayTree(all, m).pollers(), m.Name))
				if at.polls {
					follow++
					continue
				}
				asked[at.sources[0]]++
				steps := 0
				for ; !at.polls; steps++ {
					parent := byAddress[at.sources[0]]
					is.Equal(parent.Zone, m.Zone)
					at = newRelayTree(all, parent).position()
				}
				is.True(steps <= c.depth)
			}
			is.True(follow <= max(maxSmallFleet, maxStorePollers))
			for _, n := range asked {
				is.True(n <= treeFanout)
			}
		})
	}
}

// TestLastInstanceLeaves: an instance that stops knows of no live member, not even itself.
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

// TestStoreUpdates: changes come out as they were put in; a part that names no salt
// is left out.
func TestStoreUpdates(t *testing.T) {
	is := is.New(t)
	in := []cachestore.Event{
		{Key: cachestore.Key{Salt: "s1", Part: "a"}, Added: true, Tokens: 100},
		{Key: cachestore.Key{Salt: "s2", Part: "a"}},
		{Key: cachestore.Key{Salt: "s1", Part: "b"}, Added: true},
	}
	var n StoreUpdate
	n.pack(in, at0)
	for i := range in {
		in[i].CompletedAt = at0.Add(listLead) // what is told of no moment counts as of now, at its latest
	}
	is.Equal(n.unpack(at0), in)
	is.Equal(len(n.Salts), 2)
	n.Parts = append(n.Parts, PartUpdate{Salt: 2, Part: "c"}, PartUpdate{Salt: -1, Part: "d"})
	is.Equal(n.unpack(at0), in)
}

// directoryOf is an instance's directory that others may ask.
func directoryOf(now *time.Time) *cacheDirectory {
	return newCacheDirectory(&Gateway{log: &log.Logger{Handler: discard.Default}, now: func() time.Time { return *now }})
}

// TestDirectoryInPages: an instance that knows nothing is told all stores in answers of
// bounded size, one after the other; what changes meanwhile reaches it as well.
func TestDirectoryInPages(t *testing.T) {
	is := is.New(t)
	now := at0
	teller, asker := directoryOf(&now), directoryOf(&now)
	const stores, parts = 13, 400
	for s := range stores {
		address := fmt.Sprintf("10.0.1.%d:1", s)
		teller.inventories[address], asker.inventories[address] = &storeInventory{}, &storeInventory{}
		held := make([]cachestore.StoredPart, parts)
		for i := range held {
			held[i] = cachestore.StoredPart{Key: cachestore.Key{Salt: "s", Part: fmt.Sprint(i)}, Tokens: 100}
		}
		teller.applyList(teller.inventories[address], address, directAnswer(1, 1, now, now), held)
	}
	var ask DirectoryRequest
	for look := 0; ; look++ {
		is.True(look < 2*stores*parts/maxListedParts)
		d := teller.directoryFor(ask)
		listed := 0
		for _, n := range d.Stores {
			if n.Complete {
				listed += len(n.Parts)
			}
		}
		is.True(listed <= maxListedParts)
		ask = DirectoryRequest{Process: d.Process, Seq: d.Seq, Stores: asker.applyDirectory(d, now)}
		if !d.More {
			is.True(look > 0)
			break
		}
		for address, sh := range teller.inventories {
			e := []cachestore.Event{{Key: cachestore.Key{Salt: "s", Part: fmt.Sprintf("new-%d", look)}, Added: true, Tokens: 50}}
			is.True(sh.Apply(directAnswer(1, uint64(look+2), now, now), false, e))
			teller.journal.Append(address, e)
		}
	}
	is.True(asker.applyDirectory(teller.directoryFor(ask), now) != nil)
	for address, sh := range teller.inventories {
		is.Equal(len(asker.inventories[address].All()), len(sh.All()))
	}
	is.True(!teller.directoryFor(ask).More)
}

// TestAgesAreReported guards against a part that is taken for older by those who hear of it from another
// instance than by the one that heard of it first.
func TestAgesAreReported(t *testing.T) {
	is := is.New(t)
	const way = 30 * time.Millisecond
	for _, age := range []time.Duration{-listLead, 0, 7 * time.Millisecond, time.Second, time.Hour} {
		at := at0.Add(-age)
		var n StoreUpdate
		n.pack([]cachestore.Event{{Key: cachestore.Key{Salt: "s", Part: "a"}, Added: true, Tokens: 100, CompletedAt: at}}, at0)
		told := n.unpack(at0.Add(way))[0].CompletedAt
		is.True(!told.Before(at))
		is.True(told.Sub(at) < way+ageStep || at0.Sub(told) > cacheBounds.FetchDelay())
	}
}

// TestPollValidAt guards against a word that is taken for younger than it is: an answer that was
// held up on its way may be as old as its question.
func TestPollValidAt(t *testing.T) {
	is := is.New(t)
	is.Equal(pollValidAt(at0, at0.Add(time.Minute), 1), at0)
	is.Equal(pollValidAt(at0, at0.Add(storePollWait/2), 0), at0) // the store did not wait
	is.Equal(pollValidAt(at0, at0.Add(time.Minute), 0), at0.Add(storePollWait))
}
