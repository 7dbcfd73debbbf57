package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/platform"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// countingKinds is an object store that counts its lists and watches. A watch returns
// immediately, as in a burst of changes.
type countingKinds struct {
	platform.KindStore
	lists, watches atomic.Int64
	lastRevision   atomic.Uint64 // revision from which the last watch resumed
}

func (k *countingKinds) List(context.Context, string) (platform.Snapshot, error) {
	k.lists.Add(1)
	return platform.Snapshot{Revision: 5}, nil
}

func (k *countingKinds) Watch(_ context.Context, _ string, after platform.Version, _ time.Duration) (platform.Changes, error) {
	k.watches.Add(1)
	k.lastRevision.Store(uint64(after))
	return platform.Changes{Revision: after + 1}, nil
}

// withWatchingGateway runs a function with an instance, in a fleet of the given size, that
// watches one kind.
func withWatchingGateway(t *testing.T, instances int, run func(g *Gateway, store *countingKinds)) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingKinds{}
		g := &Gateway{log: &log.Logger{Handler: discard.Default}, now: time.Now, startedAt: time.Now(), store: store, targetsDue: wait.NewSignal(),
			failingKinds: map[string]bool{}}
		g.storeReachable.Store(true)
		all := membersOf(instances, 3)
		g.view.Store(&View{Alive: make([]string, instances), Tree: newRelayTree(all, member.Member{}), TargetsRevision: 7})
		f := feed{kind: "k", watcherTimeout: watcherTimeout, onList: func(platform.Snapshot) {}, onChanges: func(platform.Changes) {}, refresh: g.targetsDue,
			knownRevision: func() platform.Version { return g.view.Load().TargetsRevision }}
		ctx, cancel := context.WithCancel(t.Context())
		g.lastPeerContact.Store(int64(time.Hour)) // peers always count as recently in contact
		go g.watchKind(ctx, f, "k")
		run(g, store)
		cancel()
		synctest.Wait()
	})
}

// TestAsksStoreOnlyWhenDue guards against needless calls to the store: an instance of a large
// fleet that relies on peers lists a kind once, and then watches it only once per refresh
// signal, from the revision that updates brought it to.
func TestAsksStoreOnlyWhenDue(t *testing.T) {
	is := is.New(t)
	withWatchingGateway(t, maxSmallFleet+1, func(g *Gateway, store *countingKinds) {
		time.Sleep(10 * time.Second)
		is.Equal(store.lists.Load(), int64(1))
		is.Equal(store.watches.Load(), int64(0))
		g.targetsDue.Raise()
		time.Sleep(10 * time.Second)
		is.Equal(store.watches.Load(), int64(1))
		is.Equal(store.lastRevision.Load(), uint64(7))
	})
}

// TestWatchInterval checks that a burst of changes causes a bounded number of calls.
func TestWatchInterval(t *testing.T) {
	is := is.New(t)
	withWatchingGateway(t, 3, func(_ *Gateway, store *countingKinds) {
		time.Sleep(10 * time.Second)
		is.True(store.watches.Load() <= int64(10*time.Second/minWatchInterval))
		is.True(store.watches.Load() > 100)
	})
}
