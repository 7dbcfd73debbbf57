package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Bounds on the time until an evacuation takes effect.
const (
	maxEvacuationTimeDegraded = 5 * time.Second // from the store's response, for instances that reach the store or a peer
	maxEvacuationTime         = time.Second     // the same without other faults
)

const memoryEvacuations = "evacuations"

// evacuationCodec is the codec of a platform on which operators can evacuate zones.
type evacuationCodec struct{ trafficCodec }

// EvacuationsKind implements Codec.
func (evacuationCodec) EvacuationsKind() string { return memoryEvacuations }

// arrivalLog records the number of requests that reached each zone's targets, and when the last one
// did.
type arrivalLog struct {
	mu   sync.Mutex
	last map[string]time.Time
	seen map[string]int
}

func (a *arrivalLog) record(m *memoryTarget, _ *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last[m.zone] = time.Now()
	a.seen[m.zone]++
}

func (a *arrivalLog) in(zone string) (time.Time, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last[zone], a.seen[zone]
}

// evacuatedFleet is a fleet whose operators can evacuate zones, under a constant rate of requests to
// all instances.
type evacuatedFleet struct {
	*trafficFleet
	arrivals       *arrivalLog
	knownInstances atomic.Int32 // number of instances that callers send requests to
	stopped        chan struct{}
	loadGenerators sync.WaitGroup

	mu     sync.Mutex
	failed int
}

// requestInterval is the interval of requests to the fleet.
const requestInterval = 5 * time.Millisecond

func newEvacuatedFleet(t *testing.T, n int) *evacuatedFleet {
	a := &arrivalLog{last: map[string]time.Time{}, seen: map[string]int{}}
	f := &evacuatedFleet{arrivals: a, stopped: make(chan struct{})}
	f.trafficFleet = newFleetWith(t, n, 3, 9, fleetOptions{codec: evacuationCodec{}, onArrival: a.record,
		editSettings: func(s *Settings) { s.EvacuateWithin = maxEvacuationTimeDegraded }})
	f.knownInstances.Store(int32(n))
	return f
}

// addInstance starts one more instance, to which callers send requests at once, and returns its index.
func (f *evacuatedFleet) addInstance() int {
	i := f.trafficFleet.addInstance()
	f.knownInstances.Add(1)
	return i
}

// sendLoad sends requests to all instances in turn until the fleet stops.
func (f *evacuatedFleet) sendLoad() {
	f.loadGenerators.Add(1)
	go func() {
		defer f.loadGenerators.Done()
		for i := 0; ; i++ {
			select {
			case <-f.stopped:
				return
			case <-time.After(requestInterval):
			}
			f.loadGenerators.Add(1)
			go func() {
				defer f.loadGenerators.Done()
				if f.requestAt(fmt.Sprintf("e-%03d:1", i%int(f.knownInstances.Load())), pathSafe, fmt.Sprint("request ", i)).status != http.StatusOK {
					f.mu.Lock()
					defer f.mu.Unlock()
					f.failed++
				}
			}()
		}
	}()
}

// failures returns the number of requests of sendLoad that were not served.
func (f *evacuatedFleet) failures() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failed
}

// end stops the load and the fleet.
func (f *evacuatedFleet) end() {
	close(f.stopped)
	f.loadGenerators.Wait()
	f.stop()
}

func (f *evacuatedFleet) evacuate(zone string) { f.store.set(memoryEvacuations, zone, struct{}{}) }
func (f *evacuatedFleet) release(zone string)  { f.store.remove(memoryEvacuations, zone) }

// TestEvacuatedZone guards against requests that reach an evacuated zone, and against a zone that
// stays unused after its release.
func TestEvacuatedZone(t *testing.T) {
	const zone = "z1"
	cases := []struct {
		name      string
		instances int
		maxDelay  time.Duration
		before    func(f *evacuatedFleet) // right before the evacuation
		after     func(f *evacuatedFleet) // right after it
	}{
		{"no other fault", 9, maxEvacuationTime, nil, nil},
		{"a large fleet", 60, maxEvacuationTime, nil, nil},
		{"the store stops responding after it has answered the watches", 60, maxEvacuationTimeDegraded, nil, func(f *evacuatedFleet) {
			time.Sleep(2 * storeLatency)
			f.silenceStore(true)
		}},
		{"the store does not respond to a third of the instances, including the watchers", 60, maxEvacuationTimeDegraded, func(f *evacuatedFleet) {
			for _, i := range f.indexesByRank(watcherRole)[:20] {
				f.storeClients[i].setSilent(true)
			}
		}, nil},
		{"history is lost", 9, maxEvacuationTimeDegraded, nil, func(f *evacuatedFleet) { f.store.truncateHistory() }},
		{"history of a large fleet is lost", 60, maxEvacuationTimeDegraded, nil, func(f *evacuatedFleet) { f.store.truncateHistory() }},
		{"two instances are isolated for 3 s", 9, maxEvacuationTimeDegraded, func(f *evacuatedFleet) {
			f.isolate([]int{3, 4}, true)
			time.AfterFunc(3*time.Second, func() { f.isolate([]int{3, 4}, false) })
		}, nil},
		{"an instance starts during the evacuation", 9, maxEvacuationTime, nil, func(f *evacuatedFleet) { time.Sleep(maxEvacuationTime); f.addInstance() }},
		{"an instance without the store starts during the evacuation", 9, maxEvacuationTime, nil, func(f *evacuatedFleet) {
			time.Sleep(maxEvacuationTime)
			f.storeClients[f.addInstance()].setSilent(true)
		}},
		{"released and evacuated again, repeatedly", 9, maxEvacuationTime, nil, func(f *evacuatedFleet) {
			for range 4 {
				f.release(zone)
				time.Sleep(100 * time.Millisecond)
				f.evacuate(zone)
				time.Sleep(100 * time.Millisecond)
			}
		}},
		{"its object can't be decoded", 9, maxEvacuationTime, nil, func(f *evacuatedFleet) { f.store.set(memoryEvacuations, zone, []any{1, "no object", nil}) }},
		{"the configuration changes at the same time", 60, maxEvacuationTime, func(f *evacuatedFleet) {
			f.store.set(memoryConfigs, memoryConfig, storedConfig{Version: 2, Keys: []string{"key"}})
		}, func(f *evacuatedFleet) {
			f.store.set(memoryConfigs, memoryConfig, storedConfig{Version: 3, Keys: []string{"key"}})
		}},
		{"all instances restart", 9, maxEvacuationTime, nil, func(f *evacuatedFleet) { time.Sleep(maxEvacuationTime); f.restartAll() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newEvacuatedFleet(t, c.instances)
				defer f.end()
				f.sendLoad()
				time.Sleep(time.Second)
				_, used := f.arrivals.in(zone)
				is.True(used > 0)
				if c.before != nil {
					c.before(f)
				}
				f.evacuate(zone)
				if c.after != nil {
					c.after(f)
				}
				acknowledged := time.Now()
				time.Sleep(2 * maxEvacuationTimeDegraded)
				last, _ := f.arrivals.in(zone)
				if late := last.Sub(acknowledged); late > c.maxDelay {
					t.Errorf("a request reached the zone %v after its evacuation", late)
				}
				f.silenceStore(false)
				time.Sleep(4 * time.Second) // until calls to the unresponsive store have timed out
				f.release(zone)
				_, before := f.arrivals.in(zone)
				time.Sleep(maxEvacuationTimeDegraded)
				_, after := f.arrivals.in(zone)
				is.True(after > before) // the zone gets requests again
			})
		})
	}
}

// TestEvacuatedUnknownZone guards against any effect of evacuating a zone without targets.
func TestEvacuatedUnknownZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newEvacuatedFleet(t, 3)
		defer f.end()
		f.evacuate("nowhere")
		f.sendLoad()
		time.Sleep(3 * time.Second)
		is.Equal(f.failures(), 0)
		for _, zone := range []string{"z0", "z1", "z2"} {
			_, seen := f.arrivals.in(zone)
			is.True(seen > 0)
		}
	})
}

// TestAllZonesEvacuated guards against requests that wait, or are executed, while all zones are
// evacuated.
func TestAllZonesEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newEvacuatedFleet(t, 3)
		defer f.end()
		for _, zone := range []string{"z0", "z1", "z2"} {
			f.evacuate(zone)
		}
		time.Sleep(maxEvacuationTime)
		for i := range 6 {
			began := time.Now()
			a := f.request(i%3, pathOnce, "x")
			is.Equal(a.status, http.StatusServiceUnavailable)
			is.True(strings.Contains(a.body, `"not-run"`))
			is.True(strings.Contains(a.body, "evacuated"))
			is.True(time.Since(began) < 50*time.Millisecond)
		}
		f.release("z2")
		time.Sleep(maxEvacuationTime)
		is.Equal(f.request(0, pathOnce, "x").status, http.StatusOK)
	})
}

// TestEvacuatedWhileBodyArrives guards against a request with a slow body whose target is chosen by
// the zones that were evacuated when its header arrived.
func TestEvacuatedWhileBodyArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newEvacuatedFleet(t, 3)
		defer f.end()
		for _, zone := range []string{"z0", "z1"} {
			f.evacuate(zone)
		}
		var all sync.WaitGroup
		for i := range 9 {
			all.Add(1)
			go func() {
				defer all.Done()
				conn := f.dialCaller(i % 3)
				head := fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\n%s: slow-%d\r\n%s: key\r\nContent-Length: 2\r\n\r\na", pathSafe, anyHost, trafficID, i, trafficKey)
				if _, err := io.Copy(conn, strings.NewReader(head)); err != nil {
					t.Error(err)
				}
				time.Sleep(3 * time.Second)
				is.Equal(roundTrip(conn, "b").status, http.StatusOK)
			}()
		}
		time.Sleep(time.Second) // all headers have arrived
		f.release("z0")
		f.evacuate("z2")
		acknowledged := time.Now()
		all.Wait()
		last, _ := f.arrivals.in("z2")
		is.True(last.Before(acknowledged.Add(maxEvacuationTime)))
	})
}
