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

// What may come of a request that crashes its targets: it may be tried a few times more by
// instances that could hear of the third crash.
const (
	contactTime = 3 * time.Second
	maxCrashes  = 3
	maxTries    = 3
)

// crashCounter counts the crashes under one request.
type crashCounter struct {
	mu   sync.Mutex
	at   []time.Time
	late int // those that came contactTime after the third
}

// crashesOn is a target's reaction to a body that crashes it.
func (c *crashCounter) crashesOn(body string) func(string) bool {
	return func(got string) bool {
		if got != body {
			return false
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.at = append(c.at, time.Now())
		if len(c.at) > maxCrashes && time.Since(c.at[maxCrashes-1]) > contactTime {
			c.late++
		}
		return true
	}
}

func (c *crashCounter) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.at)
}

// sendInnocents sends requests that harm nobody, each of its own, and counts answers.
func (f *trafficFleet) sendInnocents(n int, every time.Duration) (served int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range n {
		all.Add(1)
		go func() {
			defer all.Done()
			if f.request(i%len(f.gateways), pathSafe, fmt.Sprintf("innocent %d of %v", i, time.Now().UnixNano())).status == 200 {
				mu.Lock()
				served++
				mu.Unlock()
			}
		}()
		time.Sleep(every)
	}
	all.Wait()
	return served
}

// TestCrashingRequest guards against a request that ends one target after the other, by any instance.
func TestCrashingRequest(t *testing.T) {
	const body = "this crashes its target"
	away := []int{3, 4} // instances that some cases cut off
	cases := []struct {
		name   string
		path   string
		n      int
		before func(f *trafficFleet) // the first crash
		after  func(f *trafficFleet) // the third one, and the time to hear of it
	}{
		{"nothing else", pathOnce, 9, nil, nil},
		{"it may be repeated", pathSafe, 9, nil, nil},
		{"a large fleet", pathOnce, 60, nil, nil},
		{"all instances restart", pathOnce, 9, nil, (*trafficFleet).restartAll},
		{"all instances of a large fleet restart", pathOnce, 60, nil, (*trafficFleet).restartAll},
		{"the object store is silent", pathOnce, 9, func(f *trafficFleet) { f.silenceStore(true) }, nil},
		{"the object store is silent until all restart", pathOnce, 9, func(f *trafficFleet) { f.silenceStore(true) }, func(f *trafficFleet) {
			f.silenceStore(false)
			time.Sleep(contactTime)
			f.restartAll()
		}},
		{"an instance starts later", pathOnce, 9, nil, func(f *trafficFleet) { f.addInstance() }},
		{"an instance starts later, and the object store is silent to it", pathOnce, 9, nil, func(f *trafficFleet) { f.storeClients[f.addInstance()].setSilent(true) }},
		{"instances come back that were cut off", pathOnce, 9, func(f *trafficFleet) { f.isolate(away, true) }, func(f *trafficFleet) { f.isolate(away, false) }},
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
					f.request(i%away[0], c.path, body)
					time.Sleep(200 * time.Millisecond)
				}
				time.Sleep(contactTime)
				if c.after != nil {
					c.after(f)
					f.awaitReady(len(f.gateways))
					time.Sleep(contactTime)
				}
				again := make(chan struct{})
				go func() {
					defer close(again)
					for i := range 240 {
						f.request(i%len(f.gateways), c.path, body)
						time.Sleep(50 * time.Millisecond)
					}
				}()
				served := f.sendInnocents(300, 50*time.Millisecond)
				<-again
				t.Logf("%d crashes, %d of them late; %d others served", crashed.total(), crashed.late, served)
				is.True(crashed.late <= maxTries)
				is.Equal(served, 300)
			})
		})
	}
}

// sendAlike sends requests that are all the same, and returns how the last ones ended, and how
// many of all were rejected as such that crash targets.
func (f *trafficFleet) sendAlike(path, body string, n, last int, every time.Duration) (served, rejected int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range n {
		all.Add(1)
		go func() {
			defer all.Done()
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
		time.Sleep(every)
	}
	all.Wait()
	return served, rejected
}

// TestAlikeInnocentRequests guards against a lasting quarantine of what many send alike while targets end of themselves.
func TestAlikeInnocentRequests(t *testing.T) {
	const body = "what everybody asks"
	cases := []struct {
		name    string
		n       int
		path    string
		crashes []time.Duration // from the first request on
		targets int             // that crash at a time, of 12
		spared  bool            // nobody is rejected at any time
	}{
		{"half of the targets end at once, three times", 9, pathSafe, []time.Duration{2 * time.Second, 6 * time.Second, 10 * time.Second}, 6, true},
		{"the same, of requests that run once", 9, pathOnce, []time.Duration{2 * time.Second, 6 * time.Second, 10 * time.Second}, 6, true},
		{"the same in a large fleet", 60, pathOnce, []time.Duration{2 * time.Second, 6 * time.Second, 10 * time.Second}, 6, true},
		{"one after the other", 9, pathOnce, []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second, 6 * time.Second, 7 * time.Second}, 1, true},
		{"all end before any answered", 9, pathOnce, []time.Duration{50 * time.Millisecond}, 12, false},
		{"all end before any answered, in a large fleet", 60, pathOnce, []time.Duration{50 * time.Millisecond}, 12, false},
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

// TestAnnouncedEnd guards against blame for the end of a target that leaves as announced, on what runs there.
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

// TestBrokenConnections guards against a broken connection being taken for a crash of its target.
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

// TestStoredSuspects guards against a stored suspect read as another, or lost by a spoiled one beside it.
func TestStoredSuspects(t *testing.T) {
	is := is.New(t)
	now := time.Unix(2000, 0)
	b := quarantine.NewTracker()
	k := quarantine.KeyOf(quarantine.Request{Customer: "c", URI: "/x"})
	for i := range 3 {
		b.RecordCrash(k, quarantine.Label{Customer: "c", Route: "r"}, quarantine.Incarnation(i+1), now.Add(time.Duration(i-10)*time.Second))
	}
	_, due := b.StartTrial(k, now)
	is.True(due)
	value, err := encodeSuspects(b.Reports(now), now)
	is.NoErr(err)
	words, unreadable, err := decodeSuspects(value, now)
	is.NoErr(err)
	is.Equal(unreadable, 0)
	is.Equal(words, b.Reports(now))
	for _, bad := range []string{`{"key":"zz"}`, `{"key":"00"}`, `{}`} {
		spoiled := strings.Replace(string(value), "[", "["+bad+",", 1)
		words, unreadable, err = decodeSuspects([]byte(spoiled), now)
		is.NoErr(err)
		is.Equal(unreadable, 1)
		is.Equal(words, b.Reports(now))
	}
	_, _, err = decodeSuspects([]byte(`"x"`), now)
	is.True(err != nil)
}
