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

// status requests a path without a route from an instance and returns the response status.
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

// TestCutOffInstanceRefusesRequests guards against an isolated instance that keeps serving
// requests, and against one that refuses them although it reaches the store or its peers.
func TestCutOffInstanceRefusesRequests(t *testing.T) {
	const n, isolated = 9, 4
	within := (&Settings{}).WithDefaults().ConfigWithin
	cases := []struct {
		name          string
		peers, stores bool // peers: the instance loses its peers; stores: all instances lose the store, not only this one
		refuses       bool
	}{
		{"store unreachable for all", false, true, false},
		{"store unreachable for one", false, false, false},
		{"store and peers unreachable for one", true, false, true},
		{"peers unreachable for one, store for all", true, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newMemoryFleet(t, n, 3)
				defer f.stop()
				host := fmt.Sprintf("e-%03d", isolated)
				for i, client := range f.storeClients {
					client.setSilent(c.stores || i == isolated)
				}
				f.net.setIsolated(host, c.peers)
				time.Sleep(within / 2)
				is.True(f.gateways[isolated].Ready()) // the outage may still end soon
				time.Sleep(within)
				is.Equal(f.gateways[isolated].Ready(), !c.refuses)
				f.net.setIsolated(host, false) // callers reach it again, its peers have not yet
				want := http.StatusNotFound
				if c.refuses {
					want = http.StatusServiceUnavailable
				}
				is.Equal(f.status(isolated), want)
				for i := range f.gateways {
					is.True(i == isolated || f.gateways[i].Ready())
				}
				f.storeClients[isolated].setSilent(false)
				time.Sleep(within)
				is.True(f.gateways[isolated].Ready())
				is.Equal(f.status(isolated), http.StatusNotFound)
			})
		})
	}
}

// TestCalmFleetMakesFewStoreCalls guards against needless reads of the store: while the
// watchers reach it, no other instance reads what they report, and all copies stay recent.
func TestCalmFleetMakesFewStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newMemoryFleet(t, 60, 4)
		defer f.stop()
		before := make([]int, len(f.storeClients))
		for i, client := range f.storeClients {
			before[i] = client.countCall()
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
		// These calls come from the lease holder and the instance that maintains the bootstrap
		// object.
		is.True(others < int(calm/time.Second)*8)
	})
}

// TestWatchValidAt checks that a response counts as valid no later than the time at which
// the store sent it.
func TestWatchValidAt(t *testing.T) {
	is := is.New(t)
	at := func(ms int) time.Time { return at0.Add(time.Duration(ms) * time.Millisecond) }
	is.Equal(watchValidAt(at(0), at(805), 800*time.Millisecond, 0), at(800))
	is.Equal(watchValidAt(at(0), at(1300), 800*time.Millisecond, 0), at(800)) // long in transit
	is.Equal(watchValidAt(at(0), at(10), 800*time.Millisecond, 0), at(0))     // returned before its timeout
	is.Equal(watchValidAt(at(0), at(10), 800*time.Millisecond, 1), at(0))
	is.Equal(watchValidAt(at(0), at(700), 800*time.Millisecond, 1), at(400))
	is.Equal(watchValidAt(at(0), at(3800), 800*time.Millisecond, 1), at(500)) // held up by a link, or the process stood still
}
