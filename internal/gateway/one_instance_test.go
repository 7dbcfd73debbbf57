package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// oneInstanceShare is the least share of the requests served at the first try while all connections go to one
// instance, compared with the seconds before.
const oneInstanceShare = 0.75

// sendNew has as many callers as sendAll send requests on new connections, at the instances that at names.
func (f *linkFleet) sendNew(name string, during time.Duration, at func(caller int) int) (sent, served int) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	until := time.Now().Add(during)
	for j := range 2 * len(f.gateways) * len(linkPaths) {
		c := &linkCaller{f: f, name: fmt.Sprint(name, "-", j), instance: at(j)}
		callers.Go(func() {
			for seq := 0; time.Now().Before(until); seq++ {
				r := c.send(linkPaths[j%len(linkPaths)], seq)
				mu.Lock()
				sent++
				if r.served {
					served++
				}
				mu.Unlock()
				time.Sleep(callerPause)
			}
		})
	}
	callers.Wait()
	return sent, served
}

// TestConnectionsHandedToOneInstance guards against an instance that can't serve what all of them do, when the platform
// hands it all new connections for some seconds, and then another one: with the parts of a fleet's budgets and limits
// that are an instance's own.
func TestConnectionsHandedToOneInstance(t *testing.T) {
	cases := []struct {
		name  string
		serve func(m *memoryTarget, w http.ResponseWriter, r *http.Request) bool
	}{
		{"sound targets", serveLinkEvents},
		{"one request in ten fails", failOneOf(10, serveLinkEvents)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newLinkFleet(t, 9, 9)
				defer f.stop()
				f.setServe(c.serve)
				sent, served := f.sendNew("before", 12*time.Second, func(caller int) int { return caller % 9 })
				before := float64(served) / float64(sent)
				for _, one := range []int{4, 7} {
					sent, served := f.sendNew(fmt.Sprint("one-", one), 5*time.Second, func(int) int { return one })
					t.Logf("instance %d: %d of %d served, %.3f before", one, served, sent, before)
					if float64(served)/float64(sent) < oneInstanceShare*before {
						t.Errorf("instance %d: %d of %d served, %.3f before", one, served, sent, before)
					}
				}
				f.checkRuns()
			})
		})
	}
}

// failOneOf makes one of n requests fail.
func failOneOf(n int, serve func(m *memoryTarget, w http.ResponseWriter, r *http.Request) bool) func(m *memoryTarget, w http.ResponseWriter, r *http.Request) bool {
	var mu sync.Mutex
	requests := 0
	return func(m *memoryTarget, w http.ResponseWriter, r *http.Request) bool {
		mu.Lock()
		requests++
		fails := requests%n == 0
		mu.Unlock()
		if fails {
			panic(http.ErrAbortHandler)
		}
		return serve(m, w, r)
	}
}
