package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Aims once a zone is lost.
const (
	unreachableAim      = time.Second            // after that nothing fails that had not begun
	maxUnreachableDelay = 400 * time.Millisecond // that an answer may take after that: a connect that fails is not waited for
)

// asked is one request of a caller.
type timedRequest struct {
	startedAt time.Time
	duration  time.Duration
	status    int
}

// record sends requests to all instances but those of a zone, in turn, for a while.
func (f *evacuatedFleet) record(path, but string, every, during time.Duration) []timedRequest {
	var mu sync.Mutex
	var all sync.WaitGroup
	var out []timedRequest
	var to []int
	for i, g := range f.gateways {
		if g.settings().Zone != but {
			to = append(to, i)
		}
	}
	for i, began := 0, time.Now(); time.Since(began) < during; i++ {
		all.Add(1)
		go func() {
			defer all.Done()
			one := timedRequest{startedAt: time.Now()}
			one.status = f.request(to[i%len(to)], path, fmt.Sprint("request ", i)).status
			one.duration = time.Since(one.startedAt)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, one)
		}()
		time.Sleep(every)
	}
	all.Wait()
	return out
}

// cutZone cuts everything in a zone off, or lets it back.
func (f *evacuatedFleet) cutZone(zone string, yes bool) {
	for _, m := range f.targets {
		if m.zone == zone {
			f.net.setIsolated(m.name, yes)
		}
	}
	for i, g := range f.gateways {
		if g.settings().Zone == zone {
			f.isolate([]int{i}, yes)
		}
	}
}

// TestDarkZone guards against requests that wait or fail for a lost zone once some have met the loss.
func TestDarkZone(t *testing.T) {
	const zone = "z1"
	for _, n := range []int{9, 60} {
		for _, path := range []string{pathSafe, pathOnce} {
			t.Run(fmt.Sprint(n, " instances, ", path), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newEvacuatedFleet(t, n)
					defer f.end()
					f.record(path, zone, requestInterval, 2*time.Second)
					f.cutZone(zone, true)
					lost := time.Now()
					failed, slow := 0, 0
					for _, one := range f.record(path, zone, requestInterval, 6*time.Second) {
						if one.startedAt.Sub(lost) < unreachableAim {
							continue
						}
						if one.status != http.StatusOK {
							failed++
						}
						if one.duration > maxUnreachableDelay {
							slow++
						}
					}
					if failed > 0 || slow > 0 {
						t.Errorf("of the requests that came a second after the loss, or later, %d failed and %d took more than %v", failed, slow, maxUnreachableDelay)
					}
					f.cutZone(zone, false)
					time.Sleep(3 * time.Second)
					_, before := f.arrivals.in(zone)
					f.record(path, zone, requestInterval, 2*time.Second)
					if _, after := f.arrivals.in(zone); after == before {
						t.Error("the zone is not used again")
					}
				})
			})
		}
	}
}

// TestOneUnreachableTarget guards against a zone being left out since one of its targets is silent.
func TestOneUnreachableTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEvacuatedFleet(t, 9)
		defer f.end()
		dark := f.targets[1]
		f.net.setIsolated(dark.name, true)
		_, before := f.arrivals.in(dark.zone)
		f.record(pathSafe, "", requestInterval, 5*time.Second)
		if _, after := f.arrivals.in(dark.zone); after-before < 200 {
			t.Errorf("%d requests reached its zone", after-before)
		}
	})
}

// TestOwnLinkDown guards against an instance whose own link is cut giving up all zones.
func TestOwnLinkDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEvacuatedFleet(t, 9)
		defer f.end()
		for _, m := range f.targets {
			f.net.setIsolated(m.name, true)
		}
		f.record(pathSafe, "", 50*time.Millisecond, 3*time.Second)
		for _, m := range f.targets {
			f.net.setIsolated(m.name, false)
		}
		time.Sleep(time.Second)
		for _, one := range f.record(pathSafe, "", 50*time.Millisecond, 2*time.Second) {
			if one.status != http.StatusOK {
				t.Errorf("status %d", one.status)
			}
		}
	})
}
