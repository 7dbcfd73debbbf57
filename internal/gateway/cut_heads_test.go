package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestCutHeadsThroughPeer guards against a head that ends too soon and reaches the caller as a whole answer, where a peer
// carries the bytes and their end. That a reset stays one is TestTunnelEndIsNotTargetsEnd.
func TestCutHeadsThroughPeer(t *testing.T) {
	for name, rest := range map[string]string{
		"length":  "Content-Length: 4\r\n\r\n",
		"chunks":  "Transfer-Encoding: chunked\r\n\r\n",
		"neither": "Content-Type: text/event-stream\r\n\r\n",
	} {
		for _, path := range []string{pathOnce, pathSafe, pathAudit, pathResumable} {
			t.Run(name+path[:len(path)-1], func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					cut, arrivals := 0, 0
					f := newFleetWith(t, 3, 1, 2, fleetOptions{codec: versionCodec{}, serve: func(_ *memoryTarget, w http.ResponseWriter, r *http.Request) bool {
						arrivals++
						_, _ = io.Copy(io.Discard, r.Body) // fails only if the caller is gone
						conn, _, err := w.(http.Hijacker).Hijack()
						if err != nil {
							panic(err)
						}
						_, _ = io.WriteString(conn, cutAnswer(r.Header.Get(trafficID), rest)[:cut]) // the same
						conn.Close()
						return true
					}})
					defer f.stop()
					f.cutLinks([]int{0}, linkHangs)
					time.Sleep(2 * time.Second)
					whole := len(cutAnswer("r-1", rest))
					for ; cut < whole; cut++ {
						got := f.request(0, path, "x")
						if got.status != 0 && got.status < http.StatusInternalServerError {
							t.Errorf("cut at %d: status %d, body %q", cut, got.status, got.body)
						}
						time.Sleep(time.Second)
					}
					is.True(arrivals >= whole/2) // through a peer: its own links are cut
				})
			})
		}
	}
}

// cutAnswer returns an answer to a request, of which a part is sent.
func cutAnswer(id, rest string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s", trafficID, id, rest)
}
