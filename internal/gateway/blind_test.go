package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// Seen: a fleet of 91 instances served callers whose keys had been taken away. Versions 16
// and 18 of the configuration were acknowledged at 2.66 and 2.75 s; until 5.99 s all 91
// instances served by version 12.
//
// How it came about: the object store fell silent, without a reset, towards a third of the
// instances, the three watchers among them. Their watches were given up at 3.24 to 3.27 s.
// Those that took their place by rank, two at a time, had been cut off as well; that they
// were was found out by the same wait of 1.4 s (4.74 and 5.24 s), one after the other, until
// one got through at 5.99 s. Meanwhile 60 instances that the store would have answered
// asked it nothing.
//
// Cause: an instance that goes by its peers' news took them for complete as long as any peer
// answered its probes. That says nothing of whether a peer hears the store.
//
//	3.2425 front-calamar-21 object store lost: watch servers failed
//	3.2503 front-calamar-18 object store lost
//	3.2666 front-barranca-8 object store lost
//	4.7396 front-calamar-3  object store lost
//	5.2362 front-barranca-7 object store lost
//	5.9926 front-dique-17   configuration in force version=16 before=12 from=store
//	6.4487 front-calamar-20 configuration in force version=22 before=12 from=peer (the last one)

// inForceWithin is the aim: a change is in force at all instances that reach the store, or a
// peer that does, so long after it was acknowledged.
const inForceWithin = 3 * time.Second

// TestBlindWatchers: the store falls silent towards a third of the instances, first those
// that watch it for the others and those that would take their place. Changes that come
// within a second, keys taken away and a target that leaves among them, are in force
// everywhere in time.
func TestBlindWatchers(t *testing.T) {
	for _, n := range []int{60, 91} {
		synctest.Test(t, func(t *testing.T) {
			f := newMemoryFleet(t, n, 4)
			defer f.stop()
			for _, i := range f.byRank(watcherRole)[:n/3] {
				f.doors[i].shut(true)
			}
			time.Sleep(80 * time.Millisecond)
			for v := uint64(13); v <= 22; v++ {
				f.store.set(memoryConfigs, memoryConfig, declared{Version: v})
				time.Sleep(50 * time.Millisecond)
			}
			f.store.set(memoryTargets, "i-1", catalog.Target{Address: "10.1.0.1:1", Leaving: true})
			f.store.set(memoryVersions, "m", 2)
			time.Sleep(inForceWithin)
			is := is.New(t)
			for _, g := range f.gates {
				v := g.view.Load()
				is.Equal(v.Config.Version, uint64(22))
				is.True(v.Config.Customer("key") == nil)
				is.Equal(len(v.Serving["s"]), 0)
				is.Equal(v.Named["m"].Version, uint64(2))
			}
		})
	}
}
