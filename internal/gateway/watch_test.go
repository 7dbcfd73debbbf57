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

// countingKinds is an object store that counts calls: lists, and changes asked for. A watch
// ends at once, as in a storm of changes.
type countingKinds struct {
	platform.KindStore
	lists, watches atomic.Int64
	onCall         atomic.Uint64 // the revision that the last watch went on from
}

func (k *countingKinds) List(context.Context, string) (platform.Snapshot, error) {
	k.lists.Add(1)
	return platform.Snapshot{Revision: 5}, nil
}

func (k *countingKinds) Watch(_ context.Context, _ string, after platform.Version, _ time.Duration) (platform.Changes, error) {
	k.watches.Add(1)
	k.onCall.Store(uint64(after))
	return platform.Changes{Revision: after + 1}, nil
}

// followed plays an instance of a fleet that follows a kind for a while.
func followed(t *testing.T, fleet int, play func(g *Gateway, store *countingKinds)) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingKinds{}
		g := &Gateway{log: &log.Logger{Handler: discard.Default}, now: time.Now, startedAt: time.Now(), store: store, targetsDue: wait.NewSignal(),
			failingKinds: map[string]bool{}}
		g.storeReachable.Store(true)
		all := membersOf(fleet, 3)
		g.view.Store(&View{Alive: make([]string, fleet), Tree: newRelayTree(all, member.Member{}), TargetsRevision: 7})
		f := feed{kind: "k", watcherTimeout: watcherTimeout, onList: func(platform.Snapshot) {}, onChanges: func(platform.Changes) {}, refresh: g.targetsDue,
			knownRevision: func() platform.Version { return g.view.Load().TargetsRevision }}
		ctx, cancel := context.WithCancel(t.Context())
		g.lastPeerContact.Store(int64(time.Hour)) // a peer is always heard
		go g.watchKind(ctx, f, "k")
		play(g, store)
		cancel()
		synctest.Wait()
	})
}

// TestAsksStoreOnlyWhenDue: an instance of a large fleet that goes by news lists a kind once and asks
// no more, but once when it is told to, from where the news have brought it.
func TestAsksStoreOnlyWhenDue(t *testing.T) {
	is := is.New(t)
	followed(t, maxSmallFleet+1, func(g *Gateway, store *countingKinds) {
		time.Sleep(10 * time.Second)
		is.Equal(store.lists.Load(), int64(1))
		is.Equal(store.watches.Load(), int64(0))
		g.targetsDue.Raise()
		time.Sleep(10 * time.Second)
		is.Equal(store.watches.Load(), int64(1))
		is.Equal(store.onCall.Load(), uint64(7))
	})
}

// TestWatchInterval: a storm of changes costs a bounded number of calls.
func TestWatchInterval(t *testing.T) {
	is := is.New(t)
	followed(t, 3, func(_ *Gateway, store *countingKinds) {
		time.Sleep(10 * time.Second)
		is.True(store.watches.Load() <= int64(10*time.Second/minWatchInterval))
		is.True(store.watches.Load() > 100)
	})
}
