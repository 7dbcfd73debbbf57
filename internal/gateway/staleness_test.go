package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/staleness"
)

// status asks an instance for a path that no route takes.
func (f *memoryFleet) status(i int) int {
	conn := f.dialCaller(i)
	defer conn.Close()
	if _, err := io.WriteString(conn, requestPieces[0]+requestPieces[1]); err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		f.t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// TestCutOffInstanceRefusesRequests guards against an instance cut off that serves on, and one in touch that refuses.
func TestCutOffInstanceRefusesRequests(t *testing.T) {
	const n, alone = 9, 4
	within := (&Settings{}).WithDefaults().ConfigWithin
	cases := []struct {
		name          string
		peers, stores bool // the instance loses its peers; all lose the store, or it alone does
		refuses       bool
	}{
		{"the store is silent to all", false, true, false},
		{"the store is silent to it", false, false, false},
		{"it hears nobody", true, false, true},
		{"it hears nobody, and the store is silent to all", true, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newMemoryFleet(t, n, 3)
				defer f.stop()
				host := fmt.Sprintf("e-%03d", alone)
				for i, d := range f.storeClients {
					d.setSilent(c.stores || i == alone)
				}
				f.net.setCut(host, c.peers)
				time.Sleep(within / 2)
				is.True(f.gateways[alone].Ready()) // it may be over soon
				time.Sleep(within)
				is.Equal(f.gateways[alone].Ready(), !c.refuses)
				f.net.setCut(host, false) // its callers reach it, and its peers don't yet
				want := http.StatusNotFound
				if c.refuses {
					want = http.StatusServiceUnavailable
				}
				is.Equal(f.status(alone), want)
				for i := range f.gateways {
					is.True(i == alone || f.gateways[i].Ready())
				}
				f.storeClients[alone].setSilent(false)
				time.Sleep(within)
				is.True(f.gateways[alone].Ready())
				is.Equal(f.status(alone), http.StatusNotFound)
			})
		})
	}
}

// TestCalmFleetMakesFewStoreCalls: while the watchers hear the object store nobody else asks it for
// what they tell, and all copies are young.
func TestCalmFleetMakesFewStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newMemoryFleet(t, 60, 4)
		defer f.stop()
		before := make([]int, len(f.storeClients))
		for i, d := range f.storeClients {
			before[i] = d.countCall()
		}
		const calm = 20 * time.Second
		for range calm / time.Second {
			time.Sleep(time.Second)
			for _, g := range f.gateways {
				age, known := g.staleness.Age(staleness.Config, g.now())
				is.True(known && age < watcherTimeout+otherStaleMargin)
			}
		}
		others := 0
		for i, g := range f.gateways {
			if !g.view.Load().IsWatcher {
				others += f.storeClients[i].countCall() - before[i]
			}
		}
		// The holder of the lease and the keeper of the bootstrap object ask for these.
		is.True(others < int(calm/time.Second)*8)
	})
}

// TestWatchValidAt: an answer holds as of when the store gave it, at the latest.
func TestWatchValidAt(t *testing.T) {
	is := is.New(t)
	at := func(ms int) time.Time { return at0.Add(time.Duration(ms) * time.Millisecond) }
	is.Equal(watchValidAt(at(0), at(805), 800*time.Millisecond, 0), at(800))
	is.Equal(watchValidAt(at(0), at(1300), 800*time.Millisecond, 0), at(800)) // it was under way for long
	is.Equal(watchValidAt(at(0), at(10), 800*time.Millisecond, 0), at(0))     // it did not wait
	is.Equal(watchValidAt(at(0), at(10), 800*time.Millisecond, 1), at(0))
	is.Equal(watchValidAt(at(0), at(700), 800*time.Millisecond, 1), at(400))
}
