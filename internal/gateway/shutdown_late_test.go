package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// longRunPath is the path of requests that take longRun.
const (
	longRunPath = "/once/long"
	longRun     = 6 * time.Second
)

// longCodec is a codec whose requests to longRunPath may take 10 s.
type longCodec struct{ trafficCodec }

// DecodeConfig implements Codec.
func (c longCodec) DecodeConfig(value []byte) (*catalog.Config, error) {
	cfg, err := c.trafficCodec.DecodeConfig(value)
	if err == nil {
		cfg.Route(anyHost, longRunPath).Timeout = 10 * time.Second
	}
	return cfg, err
}

// TestStopRefusesWhatItWouldCut guards against a late request that a stop accepts and then aborts, or
// refuses needlessly.
func TestStopRefusesWhatItWouldCut(t *testing.T) {
	for path, want := range map[string]int{longRunPath: http.StatusServiceUnavailable, pathSafe + "x": http.StatusOK} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleetWith(t, 1, 1, 1, fleetOptions{codec: longCodec{}, onArrival: func(_ *memoryTarget, r *http.Request) {
					if r.URL.Path == longRunPath {
						time.Sleep(longRun)
					}
				}})
				defer f.stop()
				request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: late\r\n%s: key\r\nContent-Length: 1\r\n\r\nx", path, anyHost, trafficID, trafficKey)
				conn := f.dialCaller(0)
				_, err := io.WriteString(conn, request[:10])
				is.NoErr(err)
				stopped := make(chan error, 1)
				go func() { stopped <- f.gateways[0].Shutdown(t.Context()) }()
				time.Sleep(3100 * time.Millisecond)
				_, err = io.WriteString(conn, request[10:])
				is.NoErr(err)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				is.NoErr(err)
				is.Equal(resp.StatusCode, want)
				is.True(resp.Close)
				body, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.True(want == http.StatusOK || strings.Contains(string(body), `"not-run"`))
				is.NoErr(<-stopped)
			})
		})
	}
}

// refusingCodec is a codec whose requests to pathOnce may take a time, and whose targets may refuse one without running it.
type refusingCodec struct {
	trafficCodec
	timeout time.Duration
}

// refusalHeader is the header of such a refusal.
const refusalHeader = "Not-Run"

// DecodeConfig implements Codec.
func (c refusingCodec) DecodeConfig(value []byte) (*catalog.Config, error) {
	cfg, err := c.trafficCodec.DecodeConfig(value)
	if err == nil {
		cfg.Route(anyHost, pathOnce).Timeout = c.timeout
	}
	return cfg, err
}

// ParseResponse implements Codec.
func (c refusingCodec) ParseResponse(status int, h http.Header) TargetResponse {
	response := c.trafficCodec.ParseResponse(status, h)
	response.NotExecuted = h.Get(refusalHeader) != ""
	return response
}

// TestLateRetryInStop guards against a request that has not run yet, is sent to another target late in a stop, and is cut by
// its end: a refusal lets its caller go elsewhere at once. One that ends in time is sent.
func TestLateRetryInStop(t *testing.T) {
	const refusedAfter = 4 * time.Second // of the request, which arrives as the stop begins
	for name, c := range map[string]struct {
		timeout, work time.Duration
		status        int
		arrivals      int64
	}{
		"may be cut":   {time.Minute, time.Minute, http.StatusServiceUnavailable, 1},
		"ends in time": {edgeMaxDeadline - beforeAbort, time.Second, http.StatusOK, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var arrivals atomic.Int64
				f := newFleetWith(t, 2, 1, 2, fleetOptions{codec: refusingCodec{timeout: c.timeout}, editSettings: func(set *Settings) {
					set.Retry = RetryBudget{Share: fleetRetryShare, Slack: fleetRetrySlack, Window: fleetRetryWindow}
				}, serve: func(_ *memoryTarget, w http.ResponseWriter, r *http.Request) bool {
					w.Header().Set(trafficID, r.Header.Get(trafficID))
					if arrivals.Add(1) > 1 {
						time.Sleep(c.work)
						return true
					}
					time.Sleep(refusedAfter)
					w.Header().Set(refusalHeader, "1")
					w.WriteHeader(http.StatusServiceUnavailable)
					return true
				}})
				defer f.stop()
				time.Sleep(3 * fleetRetryWindow) // until there is a retry budget
				stopped := make(chan error, 1)
				go func() { stopped <- f.gateways[0].Shutdown(t.Context()) }()
				conn := f.dialCaller(0)
				_, err := fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: %s\r\n%s: late\r\n%s: key\r\nContent-Length: 1\r\n\r\nx", pathOnce, anyHost, trafficID, trafficKey)
				is.NoErr(err)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				is.NoErr(err)
				is.Equal(resp.StatusCode, c.status)
				is.Equal(arrivals.Load(), c.arrivals)
				is.NoErr(<-stopped)
			})
		})
	}
}
