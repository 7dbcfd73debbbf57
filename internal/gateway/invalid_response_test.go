package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// TestInvalidResponsesEject guards against a target that goes on getting requests though
// none of its responses is one.
func TestInvalidResponsesEject(t *testing.T) {
	const requests, maxArrivals = 40, 4 // two that eject it, and its probes
	for name, response := range map[string]string{
		"status":        "HTTP/1.1 000 Trouble\r\n%sContent-Length: 0\r\n\r\n",
		"field name":    "HTTP/1.1 200 OK\r\n%sContent-Length : 0\r\n\r\n",
		"control byte":  "HTTP/1.1 200 OK\r\n%sX\x01: v\r\nContent-Length: 0\r\n\r\n",
		"refusal":       "HTTP/1.1 503 Service Unavailable\r\n%sX Y: v\r\nContent-Length: 0\r\n\r\n",
		"informational": "HTTP/1.1 103 Early Hints\r\nX Y: v\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n",
		"trailer":       "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n0\r\nX Y: v\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sick, arrivals := "", 0
				f := newFleetWith(t, 1, 1, 2, fleetOptions{codec: versionCodec{}, serve: func(target *memoryTarget, w http.ResponseWriter, r *http.Request) bool {
					if sick == "" {
						sick = target.name
					}
					if target.name != sick {
						return false
					}
					arrivals++
					conn, _, err := w.(http.Hijacker).Hijack()
					if err != nil {
						panic(err)
					}
					defer conn.Close()
					_, _ = io.WriteString(conn, fmt.Sprintf(response, trafficID+": "+r.Header.Get(trafficID)+"\r\n")) // the gateway sees what failed
					return true
				}})
				defer f.stop()
				served := 0
				for range requests {
					if f.request(0, pathSafe, "x").status == http.StatusOK {
						served++
					}
				}
				is.True(arrivals <= maxArrivals)
				is.True(served >= requests-arrivals) // an instance that has just started may not retry yet
			})
		})
	}
}
