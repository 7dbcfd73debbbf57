package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/inflight"
)

// panickingCodec is warmupCodec whose methods panic while a flag is set.
type panickingCodec struct {
	warmupCodec
	onRequest, onResponse atomic.Bool
}

// ForwardHeader implements Codec.
func (c *panickingCodec) ForwardHeader(in http.Header, a Attempt) http.Header {
	if c.onRequest.Load() {
		panic("request")
	}
	return c.warmupCodec.ForwardHeader(in, a)
}

// CallerResponseHeader implements Codec.
func (c *panickingCodec) CallerResponseHeader(in http.Header) http.Header {
	if c.onResponse.Load() {
		panic("response")
	}
	return c.warmupCodec.CallerResponseHeader(in)
}

// TestPanicReleases guards against what a request keeps after its handler has panicked: a slot at a target that is warming up,
// which got no requests any more, its place in the loads, bytes of the budget; and against its end that nobody logs.
func TestPanicReleases(t *testing.T) {
	for name, flagOf := range map[string]func(*panickingCodec) *atomic.Bool{
		"as the request is sent":       func(c *panickingCodec) *atomic.Bool { return &c.onRequest },
		"as the response is passed on": func(c *panickingCodec) *atomic.Bool { return &c.onResponse },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				codec, lines := &panickingCodec{}, memory.New()
				flag := flagOf(codec)
				f := newFleetWith(t, 1, 1, 1, fleetOptions{codec: codec, log: lines, editSettings: func(set *Settings) {
					set.WarmupOverage, set.WarmupSlack = warmupOverage, warmupSlack
				}})
				defer f.stop()
				m, g := f.targets[0], f.gateways[0]
				f.store.set(memoryTargets, m.name, catalog.Target{Service: "s", Address: m.name + ":1", Zone: m.zone, Start: m.startedAt, WarmupMS: time.Hour.Milliseconds()})
				time.Sleep(2 * warmupSettleTime)
				is.Equal(f.request(0, pathSafe, "x").status, http.StatusOK)
				time.Sleep(time.Second)
				held := g.buffers.Held()
				flag.Store(true)
				const panics = 12
				for range panics {
					is.Equal(f.request(0, pathSafe, "x").status, 0)
					time.Sleep(time.Second)
				}
				flag.Store(false)
				time.Sleep(2 * time.Second)
				is.Equal(f.request(0, pathSafe, "x").status, http.StatusOK)
				time.Sleep(time.Second)
				is.Equal(g.buffers.Held(), held)
				is.Equal(g.inFlight.Load(), int64(0))
				g.upstream.inflight.Each(func(_ string, load *inflight.Load) {
					is.Equal(load.Requests.Load(), int64(0))
					is.Equal(load.PrefillTokens.Load(), int64(0))
				})
				ends := 0
				for _, line := range lines.Entries {
					if line.Message == "request" && line.Fields.Get("outcome") == "panic" {
						ends++
					}
				}
				is.Equal(ends, panics)
			})
		})
	}
}
