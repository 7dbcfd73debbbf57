package gateway

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/problem"
)

// TestTrialWithoutTarget guards against counting the trial of a quarantined request as made
// when there was no target for it, here because all zones are evacuated: the request
// would stay in quarantine although it no longer crashes its targets.
func TestTrialWithoutTarget(t *testing.T) {
	const body = "crashes its target"
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newEvacuatedFleet(t, 3)
		defer f.end()
		var crashed crashCounter
		f.setCrashOn(crashed.crashesOn(body))
		for i := 0; crashed.total() < maxCrashes; i++ {
			f.request(i%len(f.gateways), pathOnce, body)
			time.Sleep(200 * time.Millisecond)
		}
		f.setCrashOn(nil)
		zones := []string{"z0", "z1", "z2"}
		for _, z := range zones {
			f.evacuate(z)
		}
		time.Sleep(2 * time.Second)
		a := f.request(0, pathOnce, body)
		is.Equal(a.status, http.StatusServiceUnavailable)
		is.True(!strings.Contains(a.body, string(problem.Quarantined))) // the trial
		for _, z := range zones {
			f.release(z)
		}
		time.Sleep(2 * time.Second)
		is.Equal(f.request(0, pathOnce, body).status, http.StatusOK)
	})
}
