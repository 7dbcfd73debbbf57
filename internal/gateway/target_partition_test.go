package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/peer"
)

// TestServesWhilePartitionedFromTargets guards against first tries that fail at instances which reach no
// target, while the others do: such an instance stays in rotation, and with most of its zone in the same
// state the balancer uses it whatever it says of itself.
func TestServesWhilePartitionedFromTargets(t *testing.T) {
	cuts := []struct {
		name string
		cut  linkCut
	}{
		{"connections hang", linkHangs},
		{"connections are reset, new ones hang", linkResets},
		{"connections are reset, new ones refused", linkRefuses},
		{"connections live on, new ones are refused", linkRefusesNew},
	}
	groups := []struct {
		name  string
		count int
	}{{"one instance", 1}, {"most of a zone", 2}, {"all of a zone", 3}}
	for _, c := range cuts {
		for _, g := range groups {
			t.Run(c.name+", "+g.name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { checkPartition(t, c.cut, g.count) })
			})
		}
	}
}

// checkPartition cuts off instances of a zone from all targets and checks that requests which start
// maxDetectionTime later or more are served at once, and that no request runs twice.
func checkPartition(t *testing.T, cut linkCut, count int) {
	f := newLinkFleet(t, 9, 9)
	defer f.stop()
	f.sendAll("before", 2*time.Second)
	instances := f.instancesIn("z1", count)
	f.cutLinks(instances, cut)
	cutAt := time.Now()
	checked, failed, slow := 0, 0, 0
	for _, r := range f.sendAll("cut", 5*time.Second) {
		if r.startedAt.Sub(cutAt) < maxDetectionTime {
			continue
		}
		checked++
		if !r.served {
			failed++
			if failed <= 5 {
				t.Logf("%s at instance %d: status %d after %v, %v after the cut", r.path, r.instance, r.status, r.duration, r.startedAt.Sub(cutAt))
			}
		}
		if r.duration > maxUnreachableDelay {
			slow++
		}
	}
	if checked == 0 || failed > 0 || slow > 0 {
		t.Errorf("of %d requests that started %v or more after the cut, %d failed and %d took more than %v", checked, maxDetectionTime, failed, slow, maxUnreachableDelay)
	}
	f.cutLinks(instances, linkIntact)
	time.Sleep(maxDetectionTime)
	for _, r := range f.sendAll("mended", 2*time.Second) {
		if !r.served {
			t.Errorf("%s at instance %d failed %v after the links came back, status %d", r.path, r.instance, maxDetectionTime, r.status)
		}
	}
	f.checkRuns()
}

// TestNoticesPartitionOnOpenConnections guards against instances that send all requests on connections
// that were open before the partition, so that no connect fails.
func TestNoticesPartitionOnOpenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLinkFleet(t, 6, 6)
		defer f.stop()
		f.sendOpenLoop(1, "before", pathSafe, time.Millisecond, time.Second) // opens many connections
		f.cutLinks([]int{1}, linkHangs)
		cutAt := time.Now()
		for _, r := range f.sendOpenLoop(1, "cut", pathSafe, 20*requestInterval, 4*time.Second) {
			if r.startedAt.Sub(cutAt) >= maxDetectionTime && (!r.served || r.duration > maxUnreachableDelay) {
				t.Errorf("%v after the cut: status %d after %v", r.startedAt.Sub(cutAt), r.status, r.duration)
			}
		}
	})
}

// TestFirstRequestsOfPartition guards against requests on new connections that fail or wait though nothing
// was sent yet when the partition was found.
func TestFirstRequestsOfPartition(t *testing.T) {
	for _, cut := range []linkCut{linkHangs, linkResets, linkRefuses, linkRefusesNew} {
		for _, targets := range []int{1, 3} {
			t.Run(fmt.Sprint("cut ", cut, ", targets ", targets), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newLinkFleet(t, 6, targets)
					defer f.stop()
					f.cutLinks([]int{1}, cut)
					for _, r := range f.sendOpenLoop(1, "cut", pathOnce, requestInterval, time.Second) {
						if !r.served || r.duration > maxUnreachableDelay {
							t.Errorf("status %d after %v", r.status, r.duration)
						}
					}
					f.checkRuns()
				})
			})
		}
	}
}

// TestAttemptDuringChangeOfPathEnds guards against an attempt that decides to connect directly at the moment at
// which a partition is found, and then waits for the end of its connect.
func TestAttemptDuringChangeOfPathEnds(t *testing.T) {
	for _, partitioned := range []bool{false, true} {
		is := is.New(t)
		var links targetLinks
		tracker := &links.to("s").tracker
		is.True(tracker.BeginProbe(time.Unix(1000, 0)))
		is.Equal(tracker.EndProbe(!partitioned), partitioned)
		is.Equal(links.endConnects("s"), 0) // the attempt is not recorded yet
		ended := false
		links.trackConnect(&attemptState{target: &catalog.Target{Service: "s"}}, func() { ended = true })
		is.Equal(ended, partitioned)
	}
}

// TestProbeOfSlowTargetsIsCheap guards against probes that open many connections though the first target responds: a
// service whose targets are slow is probed again and again.
func TestProbeOfSlowTargetsIsCheap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLinkFleet(t, 1, 2*linkProbeTargets)
		defer f.stop()
		g := f.gateways[0]
		dial, connects := g.upstream.dial, atomic.Int64{}
		g.upstream.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			connects.Add(1)
			return dial(ctx, network, address)
		}
		s := g.targetLinks.to("s")
		probe := func() (reached bool, took time.Duration) {
			startedAt := time.Now()
			reached, _ = s.probeInSteps(sampleZones(s.targets(), linkProbeTargets))
			took = time.Since(startedAt)
			time.Sleep(time.Second)
			return reached, took
		}
		reached, _ := probe()
		is.True(reached)
		is.Equal(connects.Swap(0), int64(fewProbeTargets))
		for _, cut := range []linkCut{linkHangs, linkRefuses} {
			f.cutLinks([]int{0}, cut)
			reached, took := probe()
			is.True(!reached)
			is.Equal(connects.Swap(0), int64(linkProbeTargets))
			is.True(took <= linkProbeHeadStart+linkProbeTimeout)
		}
		f.cutLinks([]int{0}, linkIntact)
		for _, m := range f.targets[3:] {
			f.net.setCut(g.settings().Name, m.name, linkRefuses)
		}
		for range 20 { // whichever of the targets it connects to first
			if reached, _ = probe(); reached {
				break
			}
		}
		is.True(reached)
	})
}

// TestPartitionedUsesAllZones guards against zones that stay unused by a partitioned instance since it has
// found them unreachable itself.
func TestPartitionedUsesAllZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLinkFleet(t, 6, 4) // two targets in z0, one in each other zone: too few to find these unreachable
		defer f.stop()
		f.partition(0)
		is.True(f.gateways[0].zoneMonitor.zones.Unreachable()["z0"])
		f.sendOpenLoop(0, "cut", pathOnce, requestInterval, time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, m := range f.targets {
			is.True(f.arrivals[m.name] > 0)
		}
	})
}

// TestPartitionForgivesTargets guards against a target that gets nothing through peers since its connects had failed
// before the instance found that its own links were lost.
func TestPartitionForgivesTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLinkFleet(t, 6, 4)
		defer f.stop()
		f.cutLinks([]int{0}, linkHangs)
		for id, m := range f.gateways[0].view.Load().Targets {
			for range 8 {
				f.gateways[0].breaker.RecordResult(id, m.Name != f.targets[1].name)
			}
		}
		f.partition(0)
		f.sendOpenLoop(0, "cut", pathOnce, requestInterval, time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		is.True(f.arrivals[f.targets[1].name] > 0)
	})
}

// TestRelaysCrossFewestZones guards against bytes that cross zones more often than they must: peers in the
// own zone or in the target's come first, and where the own zone has none, targets in the zone of a peer.
func TestRelaysCrossFewestZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLinkFleet(t, 9, 9)
		defer f.stop()
		r := &f.gateways[1].relays // in z1
		is.Equal(r.homeZone(), "z1")
		for range 20 {
			near := r.candidates("z2")
			is.Equal(len(near), 8)
			for _, m := range near[:5] {
				is.True(m.Zone == "z1" || m.Zone == "z2")
			}
		}
		f.cutLinks([]int{1, 4, 7}, linkHangs) // all of z1
		f.sendAll("detected", 3*time.Second)
		is.True(r.homeZone() != "z1")
		x := &exchange{g: f.gateways[1], view: f.gateways[1].view.Load(), route: &catalog.Route{}}
		is.Equal(x.placementQuery().Zone, "z1")
		x.relayed = true
		is.True(x.placementQuery().Zone != "z1") // back to it costs twice
		for i, m := range r.candidates("z2") {
			is.Equal(m.Zone == "z1", i >= 6) // those that reach no target come last
			is.Equal(m.Zone == "z2", i < 3)
		}
	})
}

// TestStopAwaitsRelayedRequests guards against a stop that ends while the instance carries requests of peers.
func TestStopAwaitsRelayedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLinkFleet(t, 2, 2)
		defer f.stop()
		f.partition(1)
		f.setServe(func(_ *memoryTarget, w http.ResponseWriter, r *http.Request) bool {
			w.Header().Set(trafficID, r.Header.Get(trafficID))
			for i := range linkEvents {
				time.Sleep((balancerNoticeTime + lingerAfterNotice + 400*time.Millisecond) / linkEvents)
				fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i+1, i+1)
				w.(http.Flusher).Flush()
			}
			return true
		})
		stopped := make(chan error, 1)
		time.AfterFunc(20*time.Millisecond, func() { stopped <- f.gateways[0].Shutdown(t.Context()) })
		c := &linkCaller{f: f, name: "long", instance: 1}
		is.True(c.send(pathAudit, 0).served)
		is.NoErr(<-stopped)
	})
}

// TestUsesOwnLinksAfterPartition guards against instances that go on through peers once their own links
// are back.
func TestUsesOwnLinksAfterPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLinkFleet(t, 6, 6)
		defer f.stop()
		f.cutLinks([]int{1}, linkHangs)
		f.sendAll("cut", 3*time.Second)
		is.True(f.relayed() > 0)
		f.cutLinks([]int{1}, linkIntact)
		time.Sleep(maxDetectionTime)
		before := f.relayed()
		f.sendAll("mended", 2*time.Second)
		is.Equal(f.relayed(), before)
	})
}

// TestAllPartitionedRefuseAtOnce guards against requests that wait, or go round in a loop, while no
// instance reaches a target.
func TestAllPartitionedRefuseAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLinkFleet(t, 6, 6)
		defer f.stop()
		all := []int{0, 1, 2, 3, 4, 5}
		f.cutLinks(all, linkHangs)
		cutAt := time.Now()
		for _, r := range f.sendAll("cut", 5*time.Second) {
			late := r.startedAt.Sub(cutAt) >= 2*maxDetectionTime // until peers know of one another's partitions
			if late && (r.status != http.StatusServiceUnavailable || r.duration > 100*time.Millisecond) {
				t.Errorf("%s at instance %d: status %d after %v", r.path, r.instance, r.status, r.duration)
			}
		}
		f.cutLinks(all, linkIntact)
		time.Sleep(maxDetectionTime)
		for _, r := range f.sendAll("mended", time.Second) {
			if !r.served {
				t.Errorf("%s at instance %d: status %d after the links came back", r.path, r.instance, r.status)
			}
		}
		f.checkRuns()
	})
}

// TestRelayEndsMidway guards against streams that lose, repeat or reorder events, and requests that run
// twice, when the peer that relays them stops or is killed.
func TestRelayEndsMidway(t *testing.T) {
	for _, killed := range []bool{false, true} {
		t.Run(fmt.Sprint("killed: ", killed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newLinkFleet(t, 6, 6)
				defer f.stop()
				const cut, ends = 1, 4 // both in zone z1
				f.partition(cut)
				time.AfterFunc(time.Second+linkEventInterval, func() {
					if killed {
						f.kill(ends)
						return
					}
					_ = f.gateways[ends].Shutdown(t.Context()) // an error says what it aborted, which the callers see
				})
				for _, r := range f.sendTo(cut, "ends", linkPaths, 3*time.Second) {
					mayFail := killed && (r.path == pathOnce || r.path == pathAudit) // it may have run
					if !r.served && !mayFail {
						t.Errorf("%s: status %d after %v", r.path, r.status, r.duration)
					}
				}
				f.checkRuns()
			})
		})
	}
}

// TestCallerLeavesRelayedRequest guards against targets that work on for callers who have left.
func TestCallerLeavesRelayedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLinkFleet(t, 3, 3)
		defer f.stop()
		f.partition(1)
		left := f.serveUntilLeft()
		conn := f.dialCaller(1)
		fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: %s\r\n%s: leaving\r\n%s: key\r\nContent-Length: 1\r\n\r\nx", pathAudit, anyHost, trafficID, trafficKey)
		time.Sleep(200 * time.Millisecond)
		closedAt := time.Now()
		conn.Close()
		is.True((<-left).Sub(closedAt) < 100*time.Millisecond)
	})
}

// TestRelayKeepsDeadline guards against requests that go on through a peer after their deadline, at the instance or at
// the target.
func TestRelayKeepsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLinkFleet(t, 3, 3)
		defer f.stop()
		f.partition(1)
		left := f.serveUntilLeft()
		before := f.relayed()
		r := (&linkCaller{f: f, name: "stalled", instance: 1}).send(pathOnce, 0)
		is.Equal(r.status, http.StatusGatewayTimeout)
		is.True(r.duration >= linkRouteTimeout && r.duration < linkRouteTimeout+100*time.Millisecond)
		is.True((<-left).Sub(r.startedAt) < linkRouteTimeout+100*time.Millisecond)
		is.Equal(f.relayed(), before+1)
	})
}

// TestRelayKeepsRetryBudget guards against retries that the budget does not bound because peers carry them.
func TestRelayKeepsRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLinkFleet(t, 6, 6)
		defer f.stop()
		f.partition(1)
		arrived := atomic.Int64{}
		f.setServe(func(*memoryTarget, http.ResponseWriter, *http.Request) bool {
			arrived.Add(1)
			panic(http.ErrAbortHandler)
		})
		const requests = 2000
		before := f.relayed()
		f.sendOpenLoop(1, "failing", pathSafe, time.Millisecond, requests*time.Millisecond)
		is.True(arrived.Load() > requests*linkRetryShare) // some are retried
		is.True(arrived.Load() <= requests+requests*linkRetryShare+linkRetrySlack)
		is.Equal(f.relayed()-before, uint64(arrived.Load())) // all of them through peers
	})
}

// TestRelayLoadIsBounded guards against a peer that carries any number of requests for others.
func TestRelayLoadIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLinkFleet(t, 3, 3)
		defer f.stop()
		f.cutLinks([]int{1, 2}, linkHangs)
		f.send("detected", linkPaths, 2*time.Second)
		var requests sync.WaitGroup
		var mu sync.Mutex
		statuses := map[int]int{}
		for i := range 4 * maxTunnels {
			requests.Go(func() {
				c := &linkCaller{f: f, name: fmt.Sprint("burst ", i), instance: 1 + i%2}
				r := c.send(pathAudit, 0)
				mu.Lock()
				defer mu.Unlock()
				statuses[r.status]++
			})
		}
		time.Sleep(100 * time.Millisecond)
		f.gateways[0].relays.mu.Lock()
		carried := f.gateways[0].relays.carried
		f.gateways[0].relays.mu.Unlock()
		is.True(carried > 0)
		is.True(carried <= maxTunnels)
		requests.Wait()
		is.True(statuses[http.StatusOK] >= maxTunnels)
		is.Equal(statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable], 4*maxTunnels) // the others are told that they have not run
		f.checkRuns()
	})
}

// TestRelayRefusesWhatItWouldNotSend guards against requests that reach a target through a peer which knows
// that it gets none, and against tunnels to other addresses.
func TestRelayRefusesWhatItWouldNotSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLinkFleet(t, 3, 3)
		defer f.stop()
		statusOf := func(address string) peer.TunnelStatus {
			conn, status, done := f.gateways[0].relays.open(t.Context(), address)
			if conn != nil {
				conn.Close()
			}
			done()
			return status
		}
		is.Equal(statusOf("t-00:1"), peer.TunnelOpen)
		is.Equal(statusOf("e-001:3"), peer.TunnelDenied) // no target
		f.targets[0].leave()
		time.Sleep(time.Second)
		is.Equal(statusOf("t-00:1"), peer.TunnelDenied)
		f.net.setCut("e-000", "t-01", linkRefuses)
		is.Equal(statusOf("t-01:1"), peer.TunnelRefused)
		f.net.setCut("e-000", "t-01", linkHangs)
		is.Equal(statusOf("t-01:1"), peer.TunnelUnanswered)
		f.partition(0)
		is.Equal(statusOf("t-02:1"), peer.TunnelUnable)
		f.cutLinks([]int{0}, linkIntact)
		time.Sleep(maxDetectionTime)
		is.Equal(statusOf("t-02:1"), peer.TunnelOpen)
		go func() { _ = f.gateways[0].Shutdown(t.Context()) }()
		time.Sleep(100 * time.Millisecond)
		is.Equal(statusOf("t-02:1"), peer.TunnelUnable)
	})
}

// TestLostLinksAreNoCrashes guards against requests that are held to crash targets because the links of
// their instance broke and refuse new connections.
func TestLostLinksAreNoCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLinkFleet(t, 6, 6)
		defer f.stop()
		for range 3 {
			f.send("before", linkPaths, time.Second)
			time.AfterFunc(500*time.Millisecond, func() { f.cutLinks([]int{1}, linkRefuses) })
			f.send("cut", linkPaths, 2*time.Second)
			f.cutLinks([]int{1}, linkIntact)
			time.Sleep(maxDetectionTime)
		}
		is.Equal(len(f.logged("target crashed")), 0)
	})
}

// TestPartitionedGivesNoOrders guards against a rollout that waits for an instance which reaches no target.
func TestPartitionedGivesNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLinkFleet(t, 6, 6)
		defer f.stop()
		orderers := func(i int) []string { return f.gateways[i].view.Load().Orderers }
		is.Equal(len(orderers(0)), 6)
		f.cutLinks([]int{1}, linkHangs)
		f.sendTo(1, "detected", linkPaths, 3*time.Second)
		for i := range f.gateways {
			is.Equal(len(orderers(i)), 5)
			is.True(!slices.Contains(orderers(i), "e-001"))
		}
		f.cutLinks([]int{1}, linkIntact)
		time.Sleep(3 * time.Second)
		for i := range f.gateways {
			is.Equal(len(orderers(i)), 6)
		}
	})
}

// TestPartitionedFromOneService guards against instances that reach the targets of one service and therefore
// take those of another for reachable.
func TestPartitionedFromOneService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLinkFleet(t, 6, 6)
		defer f.stop()
		for _, m := range f.targets[3:] {
			f.store.set(memoryTargets, m.name, catalog.Target{Service: linkOtherService, Address: m.name + ":1", Zone: m.zone, Start: m.startedAt})
		}
		time.Sleep(time.Second)
		for _, m := range f.targets[3:] {
			f.net.setCut("e-001", m.name, linkHangs)
		}
		f.send("detected", append(linkPaths, pathOther), maxDetectionTime)
		before := f.relayed()
		others := f.sendTo(1, "other service", []string{pathOther}, 3*time.Second)
		for _, r := range append(others, f.sendTo(1, "cut", linkPaths, 3*time.Second)...) {
			if !r.served || r.duration > maxUnreachableDelay {
				t.Errorf("%s: status %d after %v", r.path, r.status, r.duration)
			}
		}
		is.Equal(f.relayed()-before, uint64(len(others)))
		f.checkRuns()
	})
}

// TestFirstTargetBackIsUsed guards against instances that take the loss of all targets for a loss of their links,
// and then refuse requests though one target is back.
func TestFirstTargetBackIsUsed(t *testing.T) {
	for _, n := range []int{1, 6} {
		t.Run(fmt.Sprint(n, " instances"), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLinkFleet(t, n, 3)
				defer f.stop()
				for _, m := range f.targets {
					f.net.setIsolated(m.name, true)
				}
				f.sendAll("lost", 3*time.Second)
				for i := range f.gateways {
					is.Equal(len(f.gateways[i].view.Load().Orderers), n) // nobody's links are lost
					is.True(!f.gateways[i].targetLinks.lost())
				}
				f.net.setIsolated(f.targets[0].name, false)
				time.Sleep(maxDetectionTime)
				for _, r := range f.sendAll("back", 2*time.Second) {
					if !r.served {
						t.Errorf("%s at instance %d: status %d after %v", r.path, r.instance, r.status, r.duration)
					}
				}
			})
		})
	}
}
