package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
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
