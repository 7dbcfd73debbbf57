package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/loadreport"
)

// Targets that fall over if they have to turn away too many requests.

// Headers of brittleCodec.
const (
	brittleHeader = "Brittle"
	brittleNotRun = "Not-Run"
)

// brittleCodec is the codec of brittle targets.
type brittleCodec struct{ linkCodec }

// ParseResponse implements Codec.
func (brittleCodec) ParseResponse(_ int, h http.Header) TargetResponse {
	limit, _ := strconv.Atoi(h.Get(brittleHeader))
	return TargetResponse{ID: h.Get(trafficID), Signed: true, NotExecuted: h.Get(brittleNotRun) != "", Notice: Notice{Brittle: limit}}
}

// Properties of a brittle target.
const (
	brittlePlaces = 8                      // requests that it runs or lets wait
	brittleWork   = 400 * time.Millisecond // duration of a request
	brittleGrace  = 3 * time.Second        // from the first word of its limit on it has room for all

	brittleRetrySlack = 2.5 // retries that the fleet may make for each instance, besides those that requests earn
)

// brittleState is the state of a brittle target.
type brittleState struct {
	running  int
	refusals []time.Time
	falls    int
}

// brittleTargets are brittle targets, by name.
type brittleTargets struct {
	limit int // requests that each can turn away in a second
	since time.Time

	mu     sync.Mutex
	states map[string]*brittleState
	served int
	late   int // of these, begun once the targets had no more room than their places
}

// serve runs a request, turns it away for want of room, or falls over.
func (b *brittleTargets) serve(m *memoryTarget, w http.ResponseWriter, r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(trafficID, r.Header.Get(trafficID))
	w.Header().Set(brittleHeader, strconv.Itoa(b.limit))
	admitted, falls := b.admit(m.name, time.Now())
	switch {
	case falls:
		m.crash()
		panic(http.ErrAbortHandler)
	case !admitted:
		w.Header().Set(brittleNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	time.Sleep(brittleWork)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.states[m.name].running--
	b.served++
	if time.Since(b.since) >= brittleGrace+brittleWork {
		b.late++
	}
	return true
}

// admit reports whether a target has room for a request, or falls over.
func (b *brittleTargets) admit(target string, now time.Time) (admitted, falls bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[target]
	if s == nil {
		s = &brittleState{}
		b.states[target] = s
	}
	if s.running < brittlePlaces || now.Sub(b.since) < brittleGrace {
		s.running++
		return true, false
	}
	s.refusals = append(s.refusals, now)
	recent := 0
	for _, at := range s.refusals {
		if now.Sub(at) < time.Second {
			recent++
		}
	}
	if recent <= b.limit {
		return false, false
	}
	s.running, s.refusals = 0, nil
	s.falls++
	return false, true
}

// TestBrittleTargetsStayUp guards against instances that, each by itself, send a brittle target more requests
// to turn away than it can bear, and against a service that stands idle for fear of that.
func TestBrittleTargetsStayUp(t *testing.T) {
	for _, n := range []int{1, 9, 60} {
		for _, limit := range []int{3, 8} {
			t.Run(fmt.Sprint(n, " instances, limit ", limit), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { checkBrittle(t, n, limit) })
			})
		}
	}
}

// Fleets of brittle targets, and what these can serve.
const (
	brittleCount    = 6
	brittleTime     = 12 * time.Second
	brittleCapacity = int(brittleTime/brittleWork) * brittleCount * brittlePlaces
)

// loadBrittle sends a fleet of n instances a number of requests at a constant rate for brittleTime.
func loadBrittle(t *testing.T, n, limit, load int) *brittleTargets {
	b := &brittleTargets{limit: limit, states: map[string]*brittleState{}}
	f := newFleetWith(t, n, 3, brittleCount, fleetOptions{codec: brittleCodec{}, serve: b.serve, editSettings: func(s *Settings) {
		s.Retry = RetryBudget{Share: fleetRetryShare, Slack: brittleRetrySlack * float64(n), Window: fleetRetryWindow}
	}})
	defer f.stop()
	b.since = time.Now()
	var requests sync.WaitGroup
	for i := range load {
		requests.Go(func() { f.request(i%n, pathOnce, fmt.Sprint("request ", i)) })
		time.Sleep(brittleTime / time.Duration(load))
	}
	requests.Wait()
	return b
}

func checkBrittle(t *testing.T, n, limit int) {
	const (
		targets  = brittleCount
		capacity = brittleCapacity
	)
	b := loadBrittle(t, n, limit, capacity*3/2)
	falls := 0
	for _, s := range b.states {
		falls += s.falls
	}
	if falls > 2+targets/10 {
		t.Errorf("%d falls of %d targets, %d allowed", falls, targets, 2+targets/10)
	}
	if b.served < capacity/4 {
		t.Errorf("%d requests served, the targets can serve %d", b.served, capacity)
	}
	t.Logf("%d falls, %d of %d served", falls, b.served, capacity)
}

// TestBrittleTargetsAreUsed guards against brittle targets that stand idle while callers are refused: with twice what
// they can serve, most of their room is used.
func TestBrittleTargetsAreUsed(t *testing.T) {
	// capacity is what the targets can serve once they turn requests away.
	const capacity = int((brittleTime-brittleGrace)/brittleWork) * brittleCount * brittlePlaces
	for _, n := range []int{1, 3, 9, 60} {
		for _, limit := range []int{3, 8} {
			t.Run(fmt.Sprint(n, " instances, limit ", limit), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					b := loadBrittle(t, n, limit, 2*brittleCapacity)
					t.Logf("%d of %d served", b.late, capacity)
					if b.late < capacity/2 {
						t.Errorf("%d requests served, the targets have room for %d", b.late, capacity)
					}
				})
			})
		}
	}
}

// TestRefusalsOfOneTargetAddUp guards against refusals that get lost where one message tells of a target twice: of
// the requests that its sender was turned away with, and of those that a peer told it of.
func TestRefusalsOfOneTargetAddUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLinkFleet(t, 1, 1)
		defer f.stop()
		g := f.gateways[0]
		const limit = 8
		for id := range g.view.Load().Targets {
			told := BrittleRefusal{Target: loadreport.KeyOf(id), Count: limit / 4, Limit: limit}
			is.NoErr((&peerHandler{g}).BrittleRefusals(&BrittleRefusals{From: "peer", Targets: []BrittleRefusal{told, told}}, &Ack{}))
			is.True(g.breaker.InBackoff(id)) // half of the limit
		}
	})
}
