package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// propagationBound is the required bound: this long after a change was acknowledged, it is in
// force at all instances that reach the store or a peer that does.
const propagationBound = 3 * time.Second

// TestBlackholedWatchers guards against changes that arrive late because the store does not
// answer any of the watchers, without closing their connections.
func TestBlackholedWatchers(t *testing.T) {
	for _, n := range []int{60, 91} {
		synctest.Test(t, func(t *testing.T) {
			f := newMemoryFleet(t, n, 4)
			defer f.stop()
			for _, i := range f.indexesByRank(watcherRole)[:n/3] {
				f.storeClients[i].setSilent(true)
			}
			time.Sleep(80 * time.Millisecond)
			for v := uint64(13); v <= 22; v++ {
				f.store.set(memoryConfigs, memoryConfig, storedConfig{Version: v})
				time.Sleep(50 * time.Millisecond)
			}
			f.store.set(memoryTargets, "i-1", catalog.Target{Address: "10.1.0.1:1", Leaving: true})
			f.store.set(memoryVersions, "m", 2)
			time.Sleep(propagationBound)
			is := is.New(t)
			for _, g := range f.gateways {
				v := g.view.Load()
				is.Equal(v.Config.Version, uint64(22))
				is.True(v.Config.Customer("key") == nil)
				is.Equal(len(v.Serving["s"]), 0)
				is.Equal(v.NamedVersions["m"].Newest, uint64(2))
			}
		})
	}
}
