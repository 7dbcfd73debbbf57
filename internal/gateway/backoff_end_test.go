package gateway

import (
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// twoServicesCodec configures two services: "s" on pathSafe and "other" on pathOnce.
type twoServicesCodec struct{ backoffCodec }

// DecodeConfig implements Codec.
func (twoServicesCodec) DecodeConfig(value []byte) (*catalog.Config, error) {
	var d storedConfig
	if err := json.Unmarshal(value, &d); err != nil {
		return nil, err
	}
	route := catalog.Route{Host: anyHost, Timeout: 4 * time.Second, LatencyObjective: 500 * time.Millisecond}
	safe, once := route, route
	safe.Name, safe.PathPrefix, safe.Kind, safe.MaxAttempts, safe.Backends = "safe", pathSafe, catalog.Idempotent, 3, []catalog.Backend{{Service: "s", Weight: 1}}
	once.Name, once.PathPrefix, once.Kind, once.MaxAttempts, once.Backends = "once", pathOnce, catalog.AtMostOnce, 1, []catalog.Backend{{Service: "other", Weight: 1}}
	return catalog.NewConfig(catalog.ConfigSpec{Version: d.Version, Services: []catalog.Service{{Name: "s"}, {Name: "other"}}, Routes: []catalog.Route{safe, once},
		Customers: []catalog.CustomerKeys{{Customer: catalog.Customer{Name: "one"}, Keys: d.Keys}}}), nil
}

// newTwoServicesFleet starts an instance, a target of "s" for each script and one target of "other".
func newTwoServicesFleet(t *testing.T, codec Codec, scripts ...responseScript) *backoffFleet {
	f := &backoffFleet{trafficFleet: newFleetWith(t, 1, 1, 0, fleetOptions{codec: codec})}
	for i, s := range append(scripts, serve) {
		m := &backoffTarget{f: f, name: "t-" + string(rune('a'+i)), script: s}
		f.backoffTargets = append(f.backoffTargets, m)
		m.start()
		if i == len(scripts) {
			f.store.set(memoryTargets, m.name, catalog.Target{Service: "other", Address: m.name + ":1", Zone: "z0", Start: m.startedAt})
		}
	}
	time.Sleep(2 * time.Second)
	f.startedAt = time.Now()
	return f
}

// TestResumesAfterBackoff guards against a target that stays unused long after its backoff or refusal,
// because requests that are sent to other targets use up its half-open probes.
func TestResumesAfterBackoff(t *testing.T) {
	const probeDelay = 3 * time.Second
	for name, backoff := range map[string]time.Duration{"refusal with backoff": time.Second, "refusal without backoff": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newTwoServicesFleet(t, twoServicesCodec{}, func(since time.Duration, n int, body string) scriptedResponse {
					if n == 1 {
						return scriptedResponse{status: http.StatusServiceUnavailable, notExecuted: true, backoff: backoff}
					}
					return serve(since, n, body)
				}, serve, serve)
				defer f.end()
				var requests sync.WaitGroup
				sendEvery := func(path string, every, during time.Duration) {
					for start := time.Now(); time.Since(start) < during; time.Sleep(every) {
						requests.Go(func() { f.send(0, path, "x") })
					}
				}
				requests.Go(func() { sendEvery(pathOnce, 10*time.Millisecond, 20*time.Second) })
				sendEvery(pathSafe, 50*time.Millisecond, 20*time.Second)
				requests.Wait()
				received := f.backoffTargets[0].receivedAll()
				is.True(len(received) > 1)
				is.True(received[1].Sub(received[0]) < backoff+probeDelay)
			})
		})
	}
}
