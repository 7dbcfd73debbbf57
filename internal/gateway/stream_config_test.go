package gateway

import (
	"encoding/json"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// pathStream is the path prefix of streams that can be resumed at another target.
const pathStream = "/stream/"

// configWithStreams returns the configuration of trafficCodec plus a route for resumable
// streams. timeout applies to all routes, attempts to those whose requests may be repeated.
func configWithStreams(value []byte, timeout time.Duration, attempts int) (*catalog.Config, error) {
	var d storedConfig
	if err := json.Unmarshal(value, &d); err != nil {
		return nil, err
	}
	route := catalog.Route{Host: anyHost, Timeout: timeout, LatencyObjective: 500 * time.Millisecond, Backends: []catalog.Backend{{Service: "s", Weight: 1}}}
	once, safe, stream := route, route, route
	once.Name, once.PathPrefix, once.Kind, once.MaxAttempts = "once", pathOnce, catalog.AtMostOnce, 1
	safe.Name, safe.PathPrefix, safe.Kind, safe.MaxAttempts = "safe", pathSafe, catalog.Idempotent, attempts
	stream.Name, stream.PathPrefix, stream.Kind, stream.MaxAttempts, stream.Resumable = "stream", pathStream, catalog.Streaming, attempts, true
	return catalog.NewConfig(catalog.ConfigSpec{Version: d.Version, Services: []catalog.Service{{Name: "s"}}, Routes: []catalog.Route{once, safe, stream},
		Customers: []catalog.CustomerKeys{{Customer: catalog.Customer{Name: "one"}, Keys: d.Keys}}}), nil
}
