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

// twoServicesCodec declares two services: "s" on pathSafe, "other" on pathOnce.
type twoServicesCodec struct{ backoffCodec }

// DecodeConfig implements Codec.
func (twoServicesCodec) DecodeConfig(value []byte) (*catalog.Config, error) {
	var d storedConfig
	if err := json.Unmarshal(value, &d); err != nil {
		return nil, err
	}
	route := catalog.Route{Host: anyHost, Timeout: 4 * time.Second, LatencyObjective: 500 * time.Millisecond}
	one, other := route, route
	one.Name, one.PathPrefix, one.Kind, one.MaxAttempts, one.Backends = "safe", pathSafe, catalog.Idempotent, 3, []catalog.Backend{{Service: "s", Weight: 1}}
	other.Name, other.PathPrefix, other.Kind, other.MaxAttempts, other.Backends = "once", pathOnce, catalog.AtMostOnce, 1, []catalog.Backend{{Service: "other", Weight: 1}}
	return catalog.NewConfig(catalog.ConfigSpec{Version: d.Version, Services: []catalog.Service{{Name: "s"}, {Name: "other"}}, Routes: []catalog.Route{one, other},
		Customers: []catalog.CustomerKeys{{Customer: catalog.Customer{Name: "one"}, Keys: d.Keys}}}), nil
}

// newTwoServicesFleet starts an instance before targets of "s" by scripts, and one of "other".
func newTwoServicesFleet(t *testing.T, codec Codec, scripts ...responseScript) *backoffFleet {
	f := &backoffFleet{trafficFleet: newFleetWith(t, 1, 1, 0, fleetOptions{codec: codec})}
	for i, s := range append(scripts, served) {
		m := &backoffTarget{f: f, name: "t-" + string(rune('a'+i)), script: s}
		f.loadGenerators = append(f.loadGenerators, m)
		m.start()
		if i == len(scripts) {
			f.store.set(memoryTargets, m.name, catalog.Target{Service: "other", Address: m.name + ":1", Zone: "z0", Start: m.startedAt})
		}
	}
	time.Sleep(2 * time.Second)
	f.began = time.Now()
	return f
}

// TestResumesAfterBackoff guards against a target that stays unused for long after its rest, or after
// it refused a request, because requests that go to others take its trials.
func TestResumesAfterBackoff(t *testing.T) {
	const soon = 3 * time.Second
	for name, rest := range map[string]time.Duration{"it asked for rest": time.Second, "it did not": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newTwoServicesFleet(t, twoServicesCodec{}, func(since time.Duration, n int, body string) scriptedResponse {
					if n == 1 {
						return scriptedResponse{status: http.StatusServiceUnavailable, notExecuted: true, backoff: rest}
					}
					return served(since, n, body)
				}, served, served)
				defer f.end()
				var all sync.WaitGroup
				press := func(path string, every, during time.Duration) {
					for began := time.Now(); time.Since(began) < during; time.Sleep(every) {
						all.Go(func() { f.send(0, path, "x") })
					}
				}
				all.Go(func() { press(pathOnce, 10*time.Millisecond, 20*time.Second) })
				press(pathSafe, 50*time.Millisecond, 20*time.Second)
				all.Wait()
				reached := f.loadGenerators[0].receivedAll()
				is.True(len(reached) > 1)
				is.True(reached[1].Sub(reached[0]) < rest+soon)
			})
		})
	}
}
