package gateway

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/rollout"
)

// handover is a series of kills of the instance that gives orders.
type handover struct {
	kills       int           // of the present holder, each at its first order
	after       time.Duration // from that order to the kill
	downFor     time.Duration // until the killed process starts again
	lost        int           // one in so many orders of holders to be killed has no effect; 0: none
	answerDelay time.Duration // of the store's answers to writes, which watches report at once
	// losesPeers says that the holder has no contact to the other instances from its first order until it starts
	// again. Its orders to further targets are lost instead of one in so many.
	losesPeers bool
	targets    int
}

// orderRecord is an order that reached a target.
type orderRecord struct {
	LoadOrder
	at time.Time
}

// handoverFleet kills the holder of the lease as orders reach the targets.
type handoverFleet struct {
	*stageFleet
	handover
	names    []string // of the instances
	mu       sync.Mutex
	records  []orderRecord
	killed   map[string]bool // holders that are killed, or are about to be
	kill     chan string
	killing  sync.WaitGroup // the goroutine that kills
	restarts sync.WaitGroup
}

func newHandoverFleet(t *testing.T, h handover, instances int) *handoverFleet {
	f := &handoverFleet{handover: h, killed: map[string]bool{}, kill: make(chan string, h.kills)}
	f.stageFleet = newStageFleet(t, instances, h.targets, func(s *Settings) { s.Policy.RolloutStages = false })
	f.onOrder = f.receive
	for _, g := range f.gateways {
		f.names = append(f.names, g.settings().Name)
	}
	for _, d := range f.storeClients {
		d.mu.Lock()
		d.answerDelay = h.answerDelay
		d.mu.Unlock()
	}
	return f
}

// receive records an order, and reports whether it takes effect.
func (f *handoverFleet) receive(o LoadOrder) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records = append(f.records, orderRecord{o, time.Now()})
	if f.kills > 0 && !f.killed[o.Holder] {
		f.kills--
		f.killed[o.Holder] = true
		f.kill <- o.Holder
	}
	return !f.killed[o.Holder] || !f.loses(o)
}

// loses reports whether an order of a holder that is to be killed, the last one received, is lost; f.mu is held.
func (f *handoverFleet) loses(o LoadOrder) bool {
	if !f.losesPeers {
		return f.lost != 0 && len(f.records)%f.lost == 0
	}
	first := slices.IndexFunc(f.records, func(r orderRecord) bool { return r.Token == o.Token })
	return time.Since(f.records[first].at) > time.Second
}

// killHolders kills the holders that receive names, and starts them again, until the channel is closed.
func (f *handoverFleet) killHolders() {
	for holder := range f.kill {
		i := slices.Index(f.names, holder)
		if f.losesPeers {
			f.setContact(holder, linkHangs)
		}
		time.Sleep(f.after)
		f.trafficFleet.kill(i)
		f.restarts.Go(func() { f.restart(i, holder) })
	}
}

// setContact cuts the links between an instance and all others, or mends them.
func (f *handoverFleet) setContact(instance string, cut linkCut) {
	for _, other := range f.names {
		if other != instance {
			f.net.setCut(instance, other, cut)
			f.net.setCut(other, instance, cut)
		}
	}
}

// restart starts a killed instance again later.
func (f *handoverFleet) restart(i int, holder string) {
	time.Sleep(f.downFor)
	f.setContact(holder, linkIntact)
	f.start(i)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.killed[holder] = false
}

// TestHoldersKeepLeaseGap guards against orders of two instances to one target within the lease gap, and
// against a fencing token that decreases, when holders of the lease are killed. The watch may report a
// holder's own write before the store answers it, and a holder may have told nobody of its last targets.
func TestHoldersKeepLeaseGap(t *testing.T) {
	for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
		for _, h := range []handover{
			{kills: 1, after: 0, downFor: time.Second, lost: 1, targets: 3},
			{kills: 1, after: 300 * time.Millisecond, downFor: time.Second, lost: 2, targets: 3},
			{kills: 3, after: 100 * time.Millisecond, downFor: 500 * time.Millisecond, lost: 2, targets: 3},
			{kills: 4, after: 950 * time.Millisecond, downFor: 500 * time.Millisecond, lost: 1, targets: 3},
			{kills: 5, after: 50 * time.Millisecond, downFor: 5 * time.Second, lost: 1, targets: 3},
			{kills: 3, after: 1300 * time.Millisecond, downFor: 5 * time.Second, lost: 1, targets: 3},
			{kills: 1, after: 1800 * time.Millisecond, downFor: 5 * time.Second, losesPeers: true, targets: 12},
			{kills: 1, after: 2500 * time.Millisecond, downFor: 5 * time.Second, losesPeers: true, targets: 12},
			{kills: 3, after: 2500 * time.Millisecond, downFor: 5 * time.Second, losesPeers: true, targets: 12},
		} {
			h.answerDelay = delay
			t.Run(fmt.Sprintf("%d killed after %v, down for %v, one in %d lost, loses peers %v, answers after %v", h.kills, h.after, h.downFor, h.lost, h.losesPeers, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testLeaseGap(t, h) })
			})
		}
	}
}

func testLeaseGap(t *testing.T, h handover) {
	is := is.New(t)
	f := newHandoverFleet(t, h, 5)
	defer f.stop()
	f.killing.Go(f.killHolders)
	f.nameVersion(2)
	is.True(f.awaitVersion(2) < 50*time.Second)
	close(f.kill)
	f.killing.Wait()
	f.restarts.Wait()
	time.Sleep(time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	is.Equal(f.kills, 0)
	last := map[string]orderRecord{}
	for _, o := range f.records {
		before, ordered := last[o.Target]
		last[o.Target] = o
		if !ordered {
			continue
		}
		if gap := o.at.Sub(before.at); o.Holder != before.Holder && gap < f.gateways[0].settings().LeaseGap {
			t.Errorf("%s got orders of %s and %s within %v", o.Target, before.Holder, o.Holder, gap)
		}
		is.True(o.Token >= before.Token)
	}
}

// TestEndedLoadIsTold guards against a next holder that doesn't learn of an order whose load has ended
// without effect: the order counts until the lease gap is over.
func TestEndedLoadIsTold(t *testing.T) {
	newLoadFleet(t, &countingEngines{}, func(is *is.I, f *loadFleet) {
		l := f.load()
		orderedFrom := time.Now()
		f.o.runLoad(f.t.Context(), l)
		synctest.Wait()
		time.Sleep(100 * time.Millisecond)
		v := f.o.g.view.Load()
		is.Equal(v.Rollout.Cordoned, nil)
		is.Equal(v.Rollout.report(v.RolloutReceivedAt).Targets, []string{f.target.ID})
		time.Sleep(time.Until(orderedFrom.Add(f.o.g.settings().LeaseGap + time.Second)))
		f.o.mu.Lock()
		f.o.announce()
		f.o.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		is.Equal(f.o.g.view.Load().Rollout.Ordered, nil)
	})
}

// TestGuardIsCheckedAtTheOrder guards against the order of a load that was planned before another
// instance had the lease.
func TestGuardIsCheckedAtTheOrder(t *testing.T) {
	e := &countingEngines{loadsImmediately: true}
	newLoadFleet(t, e, func(is *is.I, f *loadFleet) {
		l := f.load()
		f.o.mu.Lock()
		f.o.guard.LeaseAcquired(rollout.Acquisition{Previous: rollout.Holder{Name: "other"}, LastAct: time.Now()}, f.o.self, f.o.g.settings().LeaseGap, rollout.HolderReport{})
		f.o.mu.Unlock()
		is.True(f.o.performLoad(f.t.Context(), l) != loadDone)
		is.Equal(e.orders, 0)
		time.Sleep(f.o.g.settings().LeaseGap)
		is.Equal(f.o.performLoad(f.t.Context(), l), loadDone)
	})
}
