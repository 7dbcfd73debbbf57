package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/quarantine"
	"github.com/shedhoist/shedhoist/internal/problem"
)

// Limits on the harm of a request that crashes its targets: after maxCrashes crashes and the time in
// which all instances learn of them, trials may crash maxLateCrashes more targets.
const (
	propagationTime = 3 * time.Second
	maxCrashes      = 3
	maxLateCrashes  = 3
)

// crashCounter counts the crashes caused by one request.
type crashCounter struct {
	mu    sync.Mutex
	times []time.Time
	late  int // those more than propagationTime after the maxCrashes-th
}

// crashesOn returns a function that reports whether a request body crashes a target, which is so for
// body, and counts the crashes.
func (c *crashCounter) crashesOn(body string) func(string) bool {
	return func(got string) bool {
		if got != body {
			return false
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.times = append(c.times, time.Now())
		if len(c.times) > maxCrashes && time.Since(c.times[maxCrashes-1]) > propagationTime {
			c.late++
		}
		return true
	}
}

func (c *crashCounter) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.times)
}

// sendInnocents sends n distinct harmless requests and returns how many got status 200.
func (f *trafficFleet) sendInnocents(n int, interval time.Duration) (served int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if f.request(i%len(f.gateways), pathSafe, fmt.Sprintf("innocent %d of %v", i, time.Now().UnixNano())).status == 200 {
				mu.Lock()
				served++
				mu.Unlock()
			}
		}()
		time.Sleep(interval)
	}
	wg.Wait()
	return served
}

// TestCrashingRequest guards against a request that crashes one target after the other, whichever
// instances it is sent to.
func TestCrashingRequest(t *testing.T) {
	const body = "this crashes its target"
	isolated := []int{3, 4} // instances that some cases isolate
	cases := []struct {
		name   string
		path   string
		n      int
		before func(f *trafficFleet) // before the first crash
		after  func(f *trafficFleet) // after the last one of maxCrashes and propagationTime
	}{
		{"no other fault", pathOnce, 9, nil, nil},
		{"request may be repeated", pathSafe, 9, nil, nil},
		{"a large fleet", pathOnce, 60, nil, nil},
		{"all instances restart", pathOnce, 9, nil, (*trafficFleet).restartAll},
		{"all instances of a large fleet restart", pathOnce, 60, nil, (*trafficFleet).restartAll},
		{"the object store is silent", pathOnce, 9, func(f *trafficFleet) { f.silenceStore(true) }, nil},
		{"the object store is silent until all restart", pathOnce, 9, func(f *trafficFleet) { f.silenceStore(true) }, func(f *trafficFleet) {
			f.silenceStore(false)
			time.Sleep(propagationTime)
			f.restartAll()
		}},
		{"an instance starts later", pathOnce, 9, nil, func(f *trafficFleet) { f.addInstance() }},
		{"an instance starts later and cannot reach the object store", pathOnce, 9, nil, func(f *trafficFleet) { f.storeClients[f.addInstance()].setSilent(true) }},
		{"isolated instances return", pathOnce, 9, func(f *trafficFleet) { f.isolate(isolated, true) }, func(f *trafficFleet) { f.isolate(isolated, false) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newTrafficFleet(t, c.n, 3, 12)
				defer f.stop()
				var crashed crashCounter
				f.setCrashOn(crashed.crashesOn(body))
				if c.before != nil {
					c.before(f)
				}
				for i := 0; crashed.total() < maxCrashes; i++ {
					f.request(i%isolated[0], c.path, body)
					time.Sleep(200 * time.Millisecond)
				}
				time.Sleep(propagationTime)
				if c.after != nil {
					c.after(f)
					f.awaitReady(len(f.gateways))
					time.Sleep(propagationTime)
				}
				resent := make(chan struct{})
				go func() {
					defer close(resent)
					for i := range 240 {
						f.request(i%len(f.gateways), c.path, body)
						time.Sleep(50 * time.Millisecond)
					}
				}()
				served := f.sendInnocents(300, 50*time.Millisecond)
				<-resent
				t.Logf("%d crashes, %d of them late; %d harmless requests served", crashed.total(), crashed.late, served)
				is.True(crashed.late <= maxLateCrashes)
				is.Equal(served, 300)
			})
		})
	}
}

// sendAlike sends n identical requests. It returns how many of the last ones got status 200, and how
// many of all were rejected as quarantined.
func (f *trafficFleet) sendAlike(path, body string, n, last int, interval time.Duration) (served, rejected int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := f.request(i%len(f.gateways), path, body)
			mu.Lock()
			defer mu.Unlock()
			if a.status == 200 && i >= n-last {
				served++
			}
			if strings.Contains(a.body, string(problem.Quarantined)) {
				rejected++
			}
		}()
		time.Sleep(interval)
	}
	wg.Wait()
	return served, rejected
}

// TestAlikeInnocentRequests guards against a lasting quarantine of identical harmless requests that
// are running at targets which crash for other reasons.
func TestAlikeInnocentRequests(t *testing.T) {
	const body = "sent by everybody"
	cases := []struct {
		name    string
		n       int
		path    string
		crashes []time.Duration // from the first request on
		targets int             // how many of the 12 crash at a time
		spared  bool            // no request is rejected at any time
	}{
		{"half of the targets crash at once, three times", 9, pathSafe, []time.Duration{2 * time.Second, 6 * time.Second, 10 * time.Second}, 6, true},
		{"the same, with requests that may not be repeated", 9, pathOnce, []time.Duration{2 * time.Second, 6 * time.Second, 10 * time.Second}, 6, true},
		{"the same, in a large fleet", 60, pathOnce, []time.Duration{2 * time.Second, 6 * time.Second, 10 * time.Second}, 6, true},
		{"one target after the other", 9, pathOnce, []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second, 6 * time.Second, 7 * time.Second}, 1, true},
		{"all targets crash before any response", 9, pathOnce, []time.Duration{50 * time.Millisecond}, 12, false},
		{"all targets crash before any response, in a large fleet", 60, pathOnce, []time.Duration{50 * time.Millisecond}, 12, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newTrafficFleet(t, c.n, 3, 12)
				defer f.stop()
				for i, at := range c.crashes {
					time.AfterFunc(at, func() {
						for j := range c.targets {
							f.targets[(i*c.targets+j)%len(f.targets)].crash()
						}
					})
				}
				const n, last = 2000, 200
				served, rejected := f.sendAlike(c.path, body, n, last, 10*time.Millisecond)
				t.Logf("%d of the last %d served, %d rejected", served, last, rejected)
				is.Equal(served, last)
				is.True(!c.spared || rejected == 0)
			})
		})
	}
}

// TestAnnouncedEnd guards against requests that are blamed for the end of a target that had announced
// that it leaves.
func TestAnnouncedEnd(t *testing.T) {
	for _, announced := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newTrafficFleet(t, 9, 3, 6)
			defer f.stop()
			for i := range 2 {
				ended := make(chan trafficResponse, 1)
				go func() { ended <- f.request(i, pathOnce, slowBody) }()
				time.Sleep(slowTime / 4)
				for _, m := range f.targets {
					if !m.busy() {
						continue
					}
					if announced {
						m.leave()
					}
					time.Sleep(slowTime / 4)
					m.crash()
				}
				is.Equal((<-ended).status, http.StatusBadGateway)
			}
			time.Sleep(time.Second)
			for _, g := range f.gateways {
				is.Equal(len(g.quarantine.Suspects(time.Now())) == 0, announced)
			}
		})
	}
}

// TestBrokenConnections guards against broken connections that count as crashes of their target.
func TestBrokenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTrafficFleet(t, 9, 3, 12)
		defer f.stop()
		for _, m := range f.targets {
			m.mu.Lock()
			m.resetsConns = true
			m.mu.Unlock()
		}
		for i := range 8 {
			is.Equal(f.request(i, pathOnce, "x").status, http.StatusBadGateway)
			time.Sleep(time.Second)
		}
		for _, g := range f.gateways {
			is.True(g.quarantine.Empty())
		}
	})
}

// TestStoredSuspects guards against a stored suspect that changes when it is read back, or is lost
// because another entry is unreadable.
func TestStoredSuspects(t *testing.T) {
	is := is.New(t)
	now := time.Unix(2000, 0)
	tracker := quarantine.NewTracker()
	key := quarantine.KeyOf(quarantine.Request{Customer: "c", URI: "/x"})
	for i := range 3 {
		tracker.RecordCrash(key, quarantine.Label{Customer: "c", Route: "r"}, quarantine.Incarnation(i+1), now.Add(time.Duration(i-10)*time.Second))
	}
	_, due := tracker.StartTrial(key, now)
	is.True(due)
	value, err := encodeSuspects(tracker.Reports(now), now)
	is.NoErr(err)
	reports, unreadable, err := decodeSuspects(value, now)
	is.NoErr(err)
	is.Equal(unreadable, 0)
	is.Equal(reports, tracker.Reports(now))
	for _, entry := range []string{`{"key":"zz"}`, `{"key":"00"}`, `{}`} {
		corrupted := strings.Replace(string(value), "[", "["+entry+",", 1)
		reports, unreadable, err = decodeSuspects([]byte(corrupted), now)
		is.NoErr(err)
		is.Equal(unreadable, 1)
		is.Equal(reports, tracker.Reports(now))
	}
	_, _, err = decodeSuspects([]byte(`"x"`), now)
	is.True(err != nil)
}
