package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// Targets with few slots, behind which further requests queue.

// slotTimeout is the header in which callers of a slotCodec tell how many ms they wait.
const slotTimeout = "Timeout-Ms"

// slotCodec is trafficCodec with callers' timeouts, and up to three attempts at idempotent requests.
type slotCodec struct{ trafficCodec }

// DecodeConfig implements Codec.
func (slotCodec) DecodeConfig(value []byte) (*catalog.Config, error) {
	var d storedConfig
	if err := json.Unmarshal(value, &d); err != nil {
		return nil, err
	}
	spec := linkConfig(d)
	spec.Routes, spec.Services = nil, []catalog.Service{{Name: "s"}}
	for path, kind := range map[string]catalog.RequestKind{pathOnce: catalog.AtMostOnce, pathSafe: catalog.Idempotent} {
		spec.Routes = append(spec.Routes, catalog.Route{Name: kind.String(), Host: anyHost, PathPrefix: path, Kind: kind, Timeout: 10 * time.Second, LatencyObjective: 500 * time.Millisecond,
			MaxAttempts: 3, Backends: []catalog.Backend{{Service: "s", Weight: 1}}})
	}
	return catalog.NewConfig(spec), nil
}

// ParseRequest implements Codec.
func (slotCodec) ParseRequest(h http.Header) (CallerRequest, error) {
	ms, _ := strconv.Atoi(h.Get(slotTimeout))
	return CallerRequest{ID: h.Get(trafficID), APIKey: h.Get(trafficKey), Timeout: time.Duration(ms) * time.Millisecond}, nil
}

// Properties of a target with slots.
const (
	slotsPerTarget = 2
	slotRunTime    = 200 * time.Millisecond
)

// slotFleet is a fleet whose targets run slotsPerTarget requests at once and let others wait.
type slotFleet struct {
	*trafficFleet
	log *memory.Handler

	mu      sync.Mutex
	slots   map[string]chan struct{}
	arrived map[string][]string // targets that each request reached, by its id
	failing int                 // of the next requests that reach a target, how many fail with status 500
}

// newSlotFleet starts a fleet of n instances with some targets, whose entries specify slots.
func newSlotFleet(t *testing.T, n, targets int, without ...string) *slotFleet {
	s := &slotFleet{log: memory.New(), slots: map[string]chan struct{}{}, arrived: map[string][]string{}}
	for i := range targets {
		s.slots[fmt.Sprintf("t-%02d", i)] = make(chan struct{}, slotsPerTarget)
	}
	s.trafficFleet = newFleetWith(t, n, 1, targets, fleetOptions{codec: slotCodec{}, serve: s.serve, log: s.log, editSettings: func(set *Settings) {
		var err error
		if set.Policy, err = set.Policy.Without(without...); err != nil {
			t.Fatal(err)
		}
		set.Retry = RetryBudget{Share: fleetRetryShare, Slack: 10_000, Window: fleetRetryWindow}
	}})
	for _, m := range s.targets {
		s.store.set(memoryTargets, m.name, catalog.Target{Service: "s", Address: m.listenAddress(), Zone: m.zone, Start: m.startedAt, Slots: slotsPerTarget})
	}
	time.Sleep(time.Second) // until all instances know the slots
	return s
}

// serve answers a request once it has had a slot for slotRunTime.
func (s *slotFleet) serve(m *memoryTarget, w http.ResponseWriter, r *http.Request) bool {
	id := r.Header.Get(trafficID)
	s.mu.Lock()
	s.arrived[id] = append(s.arrived[id], m.name)
	fails := s.failing > 0
	if fails {
		s.failing--
	}
	s.mu.Unlock()
	w.Header().Set(trafficID, id)
	if fails {
		w.WriteHeader(http.StatusInternalServerError)
		return true
	}
	select {
	case s.slots[m.name] <- struct{}{}:
		defer func() { <-s.slots[m.name] }()
		time.Sleep(slotRunTime)
	case <-r.Context().Done():
	}
	return true
}

// send sends a request with a timeout through instance i and returns the status.
func (s *slotFleet) send(i int, path, id string, timeout time.Duration) int {
	conn := s.dialCaller(i)
	defer conn.Close()
	return roundTrip(conn, fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: key\r\n%s: %d\r\nContent-Length: 1\r\n\r\nx", path, anyHost, trafficID, id, trafficKey, slotTimeout, timeout.Milliseconds())).status
}

// reached returns the targets that a request reached.
func (s *slotFleet) reached(id string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrived[id])
}

// learn lets each instance learn the service time from requests that find free slots.
func (s *slotFleet) learn() {
	for i := range s.gateways {
		for n := range 15 {
			if status := s.send(i, pathOnce, fmt.Sprintf("learn-%d-%d", i, n), 0); status != http.StatusOK {
				s.t.Fatalf("status %d", status)
			}
		}
	}
	time.Sleep(time.Second)
}

// fill sends each instance a number of requests that wait long, and returns when the instances have
// told one another of them. The requests end with wait.
func (s *slotFleet) fill(each int, wait *sync.WaitGroup) {
	for i := range s.gateways {
		for n := range each {
			wait.Go(func() { s.send(i, pathOnce, fmt.Sprintf("fill-%d-%d", i, n), 0) })
		}
	}
	time.Sleep(350 * time.Millisecond)
}

const slotInstances = 3

// TestRefusedRequestReachesNoTarget guards against a refusal of a request that runs at most once after
// it was sent, and against refusals that are late, of requests that can still be answered, or that
// don't end with the queue.
func TestRefusedRequestReachesNoTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSlotFleet(t, slotInstances, 2)
		defer s.stop()
		s.learn()
		var filling sync.WaitGroup
		s.fill(10, &filling) // 30 requests for 4 slots: 1.5 s
		var waiting sync.WaitGroup
		for i := range s.gateways {
			id, began := fmt.Sprint("late-", i), time.Now()
			is.Equal(s.send(i, pathOnce, id, 700*time.Millisecond), http.StatusServiceUnavailable)
			is.True(time.Since(began) < 100*time.Millisecond) // a fifth of the objective, with the network
			is.Equal(len(s.reached(id)), 0)
			waiting.Go(func() { is.Equal(s.send(i, pathOnce, fmt.Sprint("patient-", i), 4*time.Second), http.StatusOK) })
		}
		waiting.Wait()
		filling.Wait()
		time.Sleep(time.Second)
		for i := range s.gateways {
			is.Equal(s.send(i, pathOnce, fmt.Sprint("after-", i), 700*time.Millisecond), http.StatusOK)
		}
		time.Sleep(time.Second) // anything that was sent has arrived
		for id, reached := range s.arrived {
			is.True(!strings.HasPrefix(id, "late-"))
			is.Equal(len(reached), 1)
		}
		refusals := 0
		for _, e := range s.log.Entries {
			if e.Message == "request" && e.Fields["late_targets"] != nil {
				refusals++
				is.Equal(e.Fields["late_targets"], 2)
				is.Equal(e.Fields["slots"], slotsPerTarget)
				is.True(e.Fields["slot_requests"].(float64) > slotsPerTarget)
				is.True(e.Fields["slot_wait_ms"].(float64) > 0)
			}
		}
		is.Equal(refusals, slotInstances)
	})
}

// TestNoRefusalWithoutPolicy checks that the part can be switched off, and that a new instance, which
// does not know the service time yet, refuses nothing.
func TestNoRefusalWithoutPolicy(t *testing.T) {
	for _, c := range []struct {
		name    string
		without []string
		learn   bool
	}{{"policy off", []string{"slots"}, true}, {"service time not known", nil, false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSlotFleet(t, slotInstances, 2, c.without...)
				defer s.stop()
				if c.learn {
					s.learn()
				}
				var filling sync.WaitGroup
				s.fill(10, &filling)
				for i := range s.gateways {
					filling.Go(func() {
						id := fmt.Sprint("late-", i)
						is.Equal(s.send(i, pathOnce, id, 700*time.Millisecond), http.StatusGatewayTimeout)
						is.Equal(len(s.reached(id)), 1)
					})
				}
				filling.Wait()
			})
		})
	}
}

// TestRequestsCountAtPeers guards against instances that don't learn of one another's requests at
// targets with slots, or that count them after they have ended.
func TestRequestsCountAtPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSlotFleet(t, slotInstances, 2)
		defer s.stop()
		peers := func(i int) (sum float64) {
			for _, of := range s.gateways[i].peerRequests.Reports(time.Now()) {
				for _, units := range of {
					sum += float64(units) / 16
				}
			}
			return sum
		}
		var filling sync.WaitGroup
		s.fill(10, &filling)
		time.Sleep(250 * time.Millisecond)
		for i := range s.gateways {
			is.True(peers(i) > 8 && peers(i) < 20) // the other instances' 20, less those that have ended
		}
		filling.Wait()
		time.Sleep(2 * time.Second)
		for i := range s.gateways {
			is.Equal(peers(i), 0.0)
		}
	})
}

// TestRetriesGoToOtherTargets guards against the retry of an idempotent request at a target that has
// just failed it: after two errors in a row the third attempt reaches the third target.
func TestRetriesGoToOtherTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSlotFleet(t, slotInstances, 3)
		defer s.stop()
		for n := range 10 {
			id := fmt.Sprint("r-", n)
			s.mu.Lock()
			s.failing = 2
			s.mu.Unlock()
			is.Equal(s.send(0, pathSafe, id, 0), http.StatusOK)
			reached := s.reached(id)
			is.Equal(len(reached), 3)
			slices.Sort(reached)
			is.Equal(len(slices.Compact(reached)), 3)
			time.Sleep(10 * time.Second) // earns budget, and ends ejections
		}
	})
}
