package gateway

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Seen: servers ended in series, up to six within 1.3 s; one request that came again, with the
// same path, caller and body, was sent on 19 times after three servers had ended under it.

// What may come of a request that crashes its targets: it may be tried a few times more by
// instances that could hear of the third crash.
const (
	contactTime = 3 * time.Second
	mostCrashes = 3
	mostTries   = 3
)

// crashCount counts the crashes under one request.
type crashCount struct {
	mu   sync.Mutex
	at   []time.Time
	late int // those that came contactTime after the third
}

// deadly is a target's reaction to a body that crashes it.
func (c *crashCount) deadly(body string) func(string) bool {
	return func(got string) bool {
		if got != body {
			return false
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.at = append(c.at, time.Now())
		if len(c.at) > mostCrashes && time.Since(c.at[mostCrashes-1]) > contactTime {
			c.late++
		}
		return true
	}
}

func (c *crashCount) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.at)
}

// innocents sends requests that harm nobody, each of its own, and counts answers.
func (f *trafficFleet) innocents(n int, every time.Duration) (served int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range n {
		all.Add(1)
		go func() {
			defer all.Done()
			if f.ask(i%len(f.gates), pathSafe, fmt.Sprintf("innocent %d of %v", i, time.Now().UnixNano())).status == 200 {
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

// TestCrashingRequest: a request that crashes each target that runs it comes again and again,
// at any instance. After its third crash it is tried three times more at most, whatever
// becomes of the instances, and all others are served meanwhile.
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
		{"the object store is silent", pathOnce, 9, func(f *trafficFleet) { f.silence(true) }, nil},
		{"the object store is silent until all restart", pathOnce, 9, func(f *trafficFleet) { f.silence(true) }, func(f *trafficFleet) {
			f.silence(false)
			time.Sleep(contactTime)
			f.restartAll()
		}},
		{"an instance starts later", pathOnce, 9, nil, func(f *trafficFleet) { f.join() }},
		{"an instance starts later, and the object store is silent to it", pathOnce, 9, nil, func(f *trafficFleet) { f.doors[f.join()].shut(true) }},
		{"instances come back that were cut off", pathOnce, 9, func(f *trafficFleet) { f.cutOff(away, true) }, func(f *trafficFleet) { f.cutOff(away, false) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newTrafficFleet(t, c.n, 3, 12)
				defer f.stop()
				var crashed crashCount
				f.crashOn(crashed.deadly(body))
				if c.before != nil {
					c.before(f)
				}
				for i := 0; crashed.total() < mostCrashes; i++ {
					f.ask(i%away[0], c.path, body)
					time.Sleep(200 * time.Millisecond)
				}
				time.Sleep(contactTime)
				if c.after != nil {
					c.after(f)
					f.settle(len(f.gates))
					time.Sleep(contactTime)
				}
				again := make(chan struct{})
				go func() {
					defer close(again)
					for i := range 240 {
						f.ask(i%len(f.gates), c.path, body)
						time.Sleep(50 * time.Millisecond)
					}
				}()
				served := f.innocents(300, 50*time.Millisecond)
				<-again
				t.Logf("%d crashes, %d of them late; %d others served", crashed.total(), crashed.late, served)
				is.True(crashed.late <= mostTries)
				is.Equal(served, 300)
			})
		})
	}
}
