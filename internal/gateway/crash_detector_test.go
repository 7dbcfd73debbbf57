package gateway

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestCrashedTargetsAreExcluded: an instance that has found that targets crashed sends to the
// others, and refuses nobody because it met one crashed target after the other.
func TestCrashedTargetsAreExcluded(t *testing.T) {
	const targets, crashed, requests = 12, 9, 20
	for name, runs := range map[string]int{"one request each broke": 1, "several broke": 8} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newTrafficFleet(t, 1, 1, targets)
				defer f.stop()
				var under sync.WaitGroup
				for range runs * targets {
					under.Go(func() { f.request(0, pathOnce, slowBody) })
					time.Sleep(time.Millisecond)
				}
				time.Sleep(slowTime / 2)
				for _, m := range f.targets[:crashed] {
					is.True(m.busy())
					m.crash()
				}
				time.Sleep(100 * time.Millisecond) // they are found
				served := 0
				for range requests {
					if f.request(0, pathOnce, "x").status == http.StatusOK {
						served++
					}
				}
				is.Equal(served, requests)
				under.Wait()
			})
		})
	}
}
