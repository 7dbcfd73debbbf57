package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// queueFleet is a fleet in which half of the targets never load the version that is named. Requests wait in the
// targets' queues before they begin.
type queueFleet struct {
	*versionsFleet
	keepsClosed bool // targets begin requests although their connection was closed meanwhile

	mu         sync.Mutex
	longerEach int           // one request in so many waits longer at a target with older weights; 0: none
	longer     time.Duration // than usual
	older      int           // requests that reached these targets since longerEach was set
}

// How long requests wait in the targets' queues. Targets with the newest weights are in more demand.
const (
	olderWait  = 40 * time.Millisecond
	newestWait = 200 * time.Millisecond
)

// minServedPerCent is the least share of requests that are served in full.
const minServedPerCent = 95

func newQueueFleet(t *testing.T, instances, targets int, keepsClosed bool) *queueFleet {
	f := &queueFleet{keepsClosed: keepsClosed, versionsFleet: newVersionsFleet(t, instances, targets, func(s *Settings) {
		s.Retry.Share, s.Retry.Slack = 1, 1000 // enough for all
		s.Policy.RolloutStages = false         // targets that fail to load get requests all the same
	})}
	f.onQueue = f.queue
	loads := map[string]bool{}
	for _, m := range f.targets[:targets/2] {
		loads[m.name] = true
	}
	f.onOrder = func(o LoadOrder) bool { return loads[o.Target] }
	return f
}

// lengthen lets one request in some wait longer at targets with older weights from now on.
func (f *queueFleet) lengthen(each int, longer time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.longerEach, f.longer = each, longer
}

// waitAt returns how long a request waits in a target's queue.
func (f *queueFleet) waitAt(m *memoryTarget) time.Duration {
	f.versionsFleet.mu.Lock()
	version := f.loaders[m.name].version
	f.versionsFleet.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	if version > 1 {
		return newestWait
	}
	if f.longerEach == 0 {
		return olderWait
	}
	f.older++
	if f.older%f.longerEach == 1%f.longerEach {
		return olderWait + f.longer
	}
	return olderWait
}

// queue lets a request wait. The target refuses it if its deadline passes in the queue.
func (f *queueFleet) queue(m *memoryTarget, w http.ResponseWriter, r *http.Request, deadline <-chan time.Time) (begins bool) {
	closed := r.Context().Done()
	if f.keepsClosed {
		closed = nil
	}
	select {
	case <-time.After(f.waitAt(m)):
		return true
	case <-deadline:
		refuseStage(w)
		return false
	case <-closed:
		return false
	}
}

// TestQueuedRequestsStartBeforeRolloutEnds guards against requests that wait in their target's queue for longer than
// predicted, and begin on weights replaced longer ago than a rollout may take. What other targets can serve is served.
func TestQueuedRequestsStartBeforeRolloutEnds(t *testing.T) {
	for _, c := range []struct {
		name string
		each int // one request in so many waits longer
	}{
		{"all requests wait, as without free memory", 1},
		{"every third waits, as behind a burst of other instances", 3},
		{"every fourth waits, as overtaken by more urgent ones", 4},
	} {
		for _, longer := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second} {
			for _, path := range []string{pathAudit, pathResumable} {
				t.Run(fmt.Sprintf("%s/%v/%s", c.name, longer, path[1:len(path)-1]), func(t *testing.T) {
					testQueuedRequests(t, queuedRequests{path: path, events: 2, each: c.each, longer: longer, from: 3 * time.Second, keepsClosed: true})
				})
			}
		}
	}
	t.Run("through a peer", func(t *testing.T) {
		testQueuedRequests(t, queuedRequests{path: pathResumable, events: 2, each: 3, longer: 2 * time.Second, from: 3 * time.Second, keepsClosed: true, relayed: true})
	})
	t.Run("runs that outlast the rollout", func(t *testing.T) {
		for _, path := range []string{pathAudit, pathResumable} {
			testQueuedRequests(t, queuedRequests{path: path, events: 40, each: 3, longer: 5 * time.Second, from: 4500 * time.Millisecond})
		}
	})
}

// queuedRequests are streams, and how long they wait at their targets.
type queuedRequests struct {
	path        string
	events      int
	each        int           // one in so many waits longer at targets with older weights
	longer      time.Duration // than usual
	from        time.Duration // before the end of the rollout
	keepsClosed bool
	relayed     bool // one instance reaches its targets through peers
}

// testQueuedRequests sends streams in the last seconds of a rollout, and lets them wait longer near its end.
func testQueuedRequests(t *testing.T, c queuedRequests) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newQueueFleet(t, 3, 6, c.keepsClosed)
		defer f.end()
		if c.relayed {
			f.cutLinks([]int{0}, linkHangs)
			time.Sleep(2 * time.Second) // until the instance sends through its peers
		}
		f.nameNext()
		streams := &stageStreams{}
		for i := range f.gateways {
			streams.send(f.stageFleet, i, c.path, c.events) // from which the instance learns how long runs take
		}
		time.Sleep(stageRolloutWithin - 5*time.Second)
		streams.sendFor(f.stageFleet, c.path, c.events, 5*time.Millisecond, 6*time.Second)
		time.Sleep(5*time.Second - c.from)
		f.lengthen(c.each, c.longer)
		streams.wg.Wait()
		f.versionsFleet.mu.Lock()
		defer f.versionsFleet.mu.Unlock()
		t.Logf("%d streams, %d whole; %d begun, %d too late; %d sent to older weights near the end", streams.ended, streams.whole, f.begun, f.outdated, f.older)
		is.Equal(f.outdated, 0)
		is.True(f.older > 0)
		is.True(streams.whole*100 >= minServedPerCent*streams.ended)
	})
}

// TestSlowConnectsCarryNoBoundedRequests guards against a deadline that is out of date as its request is sent, since the
// connect to the target took long: the request could begin that much later.
func TestSlowConnectsCarryNoBoundedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newQueueFleet(t, 1, 3, true)
		defer f.end()
		f.onOrder = func(LoadOrder) bool { return false }
		f.cutLinks([]int{0}, linkConnectsSlowly)
		f.nameNext()
		time.Sleep(time.Second)
		is.Equal(f.request(0, pathAudit, "1").status, http.StatusOK) // there is time enough
		time.Sleep(stageRolloutWithin - 3*time.Second)
		is.Equal(f.request(0, pathAudit, "1").status, http.StatusServiceUnavailable) // it has not run
		f.versionsFleet.mu.Lock()
		defer f.versionsFleet.mu.Unlock()
		is.Equal(f.begun, 1)
	})
}

// TestBoundIsNoFailureOfTarget guards against targets that get no requests since a request's bound, which this instance
// set itself, ended there.
func TestBoundIsNoFailureOfTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newQueueFleet(t, 1, 3, true)
		defer f.end()
		f.onOrder = func(LoadOrder) bool { return false }
		f.nameNext()
		is.Equal(f.request(0, pathAudit, "1").status, http.StatusOK)
		time.Sleep(stageRolloutWithin - 3*time.Second)
		f.lengthen(1, 5*time.Second)
		is.Equal(f.request(0, pathAudit, "1").status, http.StatusServiceUnavailable) // it has not run
		is.Equal(len(f.gateways[0].breaker.EjectedForSelection()), 0)
	})
}
