package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// Objectives after the loss of a zone.
const (
	maxDetectionTime    = time.Second            // requests that start later than that do not fail
	maxUnreachableDelay = 400 * time.Millisecond // bound on their duration: they do not wait for a failing connection attempt
)

// timedRequest is a request of a caller, with its duration and status.
type timedRequest struct {
	startedAt time.Time
	duration  time.Duration
	status    int
}

// sendFor sends requests at an interval, for a duration, to all instances outside a zone in turn.
func (f *evacuatedFleet) sendFor(path, excludedZone string, every, during time.Duration) []timedRequest {
	var mu sync.Mutex
	var pending sync.WaitGroup
	var requests []timedRequest
	var instances []int
	for i, g := range f.gateways {
		if g.settings().Zone != excludedZone {
			instances = append(instances, i)
		}
	}
	for i, startedAt := 0, time.Now(); time.Since(startedAt) < during; i++ {
		pending.Add(1)
		go func() {
			defer pending.Done()
			request := timedRequest{startedAt: time.Now()}
			request.status = f.request(instances[i%len(instances)], path, fmt.Sprint("request ", i)).status
			request.duration = time.Since(request.startedAt)
			mu.Lock()
			defer mu.Unlock()
			requests = append(requests, request)
		}()
		time.Sleep(every)
	}
	pending.Wait()
	return requests
}

// cutZone disconnects all targets and instances in a zone from the network, or reconnects them.
func (f *evacuatedFleet) cutZone(zone string, cut bool) {
	for _, m := range f.targets {
		if m.zone == zone {
			f.net.setIsolated(m.name, cut)
		}
	}
	for i, g := range f.gateways {
		if g.settings().Zone == zone {
			f.isolate([]int{i}, cut)
		}
	}
}

// TestDarkZone guards against requests that wait or fail because of a lost zone after the first ones
// have run into the loss, and against a zone that stays unused after its return.
func TestDarkZone(t *testing.T) {
	const zone = "z1"
	for _, n := range []int{9, 60} {
		for _, path := range []string{pathSafe, pathOnce} {
			t.Run(fmt.Sprint(n, " instances, ", path), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newEvacuatedFleet(t, n)
					defer f.end()
					f.sendFor(path, zone, requestInterval, 2*time.Second)
					f.cutZone(zone, true)
					lost := time.Now()
					failed, slow := 0, 0
					for _, request := range f.sendFor(path, zone, requestInterval, 6*time.Second) {
						if request.startedAt.Sub(lost) < maxDetectionTime {
							continue
						}
						if request.status != http.StatusOK {
							failed++
						}
						if request.duration > maxUnreachableDelay {
							slow++
						}
					}
					if failed > 0 || slow > 0 {
						t.Errorf("of the requests that started a second or more after the loss, %d failed and %d took more than %v", failed, slow, maxUnreachableDelay)
					}
					f.cutZone(zone, false)
					time.Sleep(3 * time.Second)
					_, before := f.arrivals.in(zone)
					f.sendFor(path, zone, requestInterval, 2*time.Second)
					if _, after := f.arrivals.in(zone); after == before {
						t.Error("no requests reach the zone after its return")
					}
				})
			})
		}
	}
}

// TestZoneLostDuringChoice guards against attempts that wait for a zone which was found unreachable at the moment
// of the choice, and against attempts that end at once where no zone can be reached.
func TestZoneLostDuringChoice(t *testing.T) {
	is := is.New(t)
	targets := []*catalog.Target{{ID: "a", Zone: "z0"}, {ID: "b", Zone: "z1"}}
	x := &exchange{g: &Gateway{}, service: "s", view: &View{Serving: map[string][]*catalog.Target{"s": targets}}}
	chooseNow := func() { x.unreachableZones = x.g.unreachableZones("s", targets) }
	zones := &x.g.zoneMonitor.zones
	chooseNow()
	is.True(!x.zoneLostSinceChoice(targets[0]))
	zones.EndProbe("z0", false)
	is.True(x.zoneLostSinceChoice(targets[0]))
	is.True(!x.zoneLostSinceChoice(targets[1]))
	chooseNow()
	is.True(!x.zoneLostSinceChoice(targets[0])) // chosen as a last resort
	zones.EndProbe("z1", false)
	is.True(!x.zoneLostSinceChoice(targets[1])) // none is excluded
}

// TestOneUnreachableTarget guards against a zone being excluded because a single target there does
// not respond.
func TestOneUnreachableTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEvacuatedFleet(t, 9)
		defer f.end()
		unreachable := f.targets[1]
		f.net.setIsolated(unreachable.name, true)
		_, before := f.arrivals.in(unreachable.zone)
		f.sendFor(pathSafe, "", requestInterval, 5*time.Second)
		if _, after := f.arrivals.in(unreachable.zone); after-before < 200 {
			t.Errorf("%d requests reached the zone of the unreachable target, want 200 or more", after-before)
		}
	})
}

// TestOwnLinkDown guards against instances that lose the link to all targets and then exclude all
// zones, also after the link is back.
func TestOwnLinkDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEvacuatedFleet(t, 9)
		defer f.end()
		for _, m := range f.targets {
			f.net.setIsolated(m.name, true)
		}
		f.sendFor(pathSafe, "", 50*time.Millisecond, 3*time.Second)
		for _, m := range f.targets {
			f.net.setIsolated(m.name, false)
		}
		time.Sleep(time.Second)
		for _, request := range f.sendFor(pathSafe, "", 50*time.Millisecond, 2*time.Second) {
			if request.status != http.StatusOK {
				t.Errorf("status %d after the link came back", request.status)
			}
		}
	})
}
