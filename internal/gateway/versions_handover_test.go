package gateway

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/rollout"
)

// versionsFleet names versions faster than they are put in place while instances are killed, and checks the
// weights on which requests begin. Its fields are guarded by the mutex of the stageFleet.
type versionsFleet struct {
	*stageFleet
	named    []time.Time // when each version from 2 on was named
	outdated int         // requests that began on weights replaced more than RolloutWithin before
	begun    int
}

// newVersionsFleet starts some instances and targets. edit changes the settings if it is not nil.
func newVersionsFleet(t *testing.T, instances, targets int, edit func(*Settings)) *versionsFleet {
	f := &versionsFleet{stageFleet: newStageFleet(t, instances, targets, edit)}
	f.onRun = func(version uint64) {
		f.begun++
		if replaced := int(version) - 1; replaced < len(f.named) && time.Since(f.named[replaced]) > stageRolloutWithin {
			f.outdated++
		}
	}
	return f
}

// nameNext names the next version.
func (f *versionsFleet) nameNext() {
	f.mu.Lock()
	f.named = append(f.named, time.Now())
	newest := len(f.named) + 1
	f.mu.Unlock()
	f.nameVersion(newest)
}

// callerAddresses returns the callers' addresses of all instances.
func (f *versionsFleet) callerAddresses() (out []string) {
	for _, g := range f.gateways {
		out = append(out, g.settings().CallerListen)
	}
	return out
}

// sendUntil sends requests to all instances in turn until the channel is closed.
func (f *versionsFleet) sendUntil(done <-chan struct{}, addresses []string) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(10 * time.Millisecond):
			go f.requestAt(addresses[n%len(addresses)], pathSafe, "1")
		}
	}
}

// holder returns the index of the instance that wrote the lease last.
func (f *versionsFleet) holder() int {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	var value rollout.LeaseValue
	if err := json.Unmarshal(f.store.objects[leaseKind][leaseName].Value, &value); err != nil {
		return 0 // none has yet
	}
	for i, g := range f.gateways {
		if g.settings().Name == value.Name {
			return i
		}
	}
	return 0
}

// killEvery kills instances and starts them again half a second later, n times.
func (f *versionsFleet) killEvery(pause time.Duration, n int, which func() []int) {
	for range n {
		time.Sleep(pause - restartPause)
		instances := which()
		for _, i := range instances {
			f.trafficFleet.kill(i)
		}
		time.Sleep(restartPause)
		for _, i := range instances {
			f.start(i)
		}
	}
}

// restartPause is the time from a kill to the start of the next process.
const restartPause = 500 * time.Millisecond

// TestVersionsReplacedInTime guards against requests that begin on weights that were replaced longer ago than a
// rollout may take, and against targets that are left behind, while instances are killed that give orders,
// or know when versions were named.
func TestVersionsReplacedInTime(t *testing.T) {
	for _, c := range []struct {
		name  string
		every time.Duration // between two versions
		pause time.Duration // between two kills
		kills int
		which func(f *versionsFleet) func() []int
	}{
		{"the holder every three seconds", 4 * time.Second, 3 * time.Second, 8, func(f *versionsFleet) func() []int {
			return func() []int { return []int{f.holder()} }
		}},
		{"the holder every three seconds, versions every two", 2 * time.Second, 3 * time.Second, 6, func(f *versionsFleet) func() []int {
			return func() []int { return []int{f.holder()} }
		}},
		{"one after the other", 3 * time.Second, time.Second, 20, func(f *versionsFleet) func() []int {
			next := 0
			return func() []int { next++; return []int{next % len(f.gateways)} }
		}},
		{"all but one, and all but another", 4 * time.Second, 5 * time.Second, 4, func(f *versionsFleet) func() []int {
			spared := 0
			return func() []int {
				spared++
				var out []int
				for i := range f.gateways {
					if i != spared%len(f.gateways) {
						out = append(out, i)
					}
				}
				return out
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newVersionsFleet(t, 5, 12, nil)
				defer f.stop()
				done := make(chan struct{})
				go f.sendUntil(done, f.callerAddresses())
				go func() {
					for range 6 {
						f.nameNext()
						time.Sleep(c.every)
					}
				}()
				f.killEvery(c.pause, c.kills, c.which(f))
				is.True(f.awaitVersion(7) <= stageRolloutWithin*3/2) // after the last change of the holder
				close(done)
				f.mu.Lock()
				defer f.mu.Unlock()
				is.Equal(f.outdated, 0)
				is.True(f.begun > 500)
			})
		})
	}
}
