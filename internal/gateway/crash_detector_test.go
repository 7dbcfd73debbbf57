package gateway

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestCrashedTargetsAreExcluded guards against requests that are refused because their attempts meet
// one crashed target after another: once an instance has detected the crashes, it uses other targets.
func TestCrashedTargetsAreExcluded(t *testing.T) {
	const targets, crashed, requests = 12, 9, 20
	for name, requestsPerTarget := range map[string]int{"one request in flight per target": 1, "several requests in flight per target": 8} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newTrafficFleet(t, 1, 1, targets)
				defer f.stop()
				var inFlight sync.WaitGroup
				for range requestsPerTarget * targets {
					inFlight.Go(func() { f.request(0, pathOnce, slowBody) })
					time.Sleep(time.Millisecond)
				}
				time.Sleep(slowTime / 2)
				for _, target := range f.targets[:crashed] {
					is.True(target.busy())
					target.crash()
				}
				time.Sleep(100 * time.Millisecond) // until the crashes are detected
				served := 0
				for range requests {
					if f.request(0, pathOnce, "x").status == http.StatusOK {
						served++
					}
				}
				is.Equal(served, requests)
				inFlight.Wait()
			})
		})
	}
}
