package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// What a stop takes at the edges of its times, to the nanosecond of a fake clock.

// Times of the edge tests.
const (
	// edgeCut is when a stop of a fleet's instance cuts what is left.
	edgeCut = defaultStopWithin - stopMargin
	// beforeCut is how long before the cut an answer ends that must be whole.
	beforeCut = 200 * time.Millisecond
	// edgeLast is the latest deadline of what is taken late.
	edgeLast = edgeCut - answerTime
	// immediately is the longest time to an answer that nothing is waited for.
	immediately = 4 * networkDelay
	// neverEnds is longer than any stop.
	neverEnds = 20 * time.Second
	// edgePause is the time between the pieces of a target's answer.
	edgePause = 100 * time.Millisecond
)

// edgeTimeout is the header that says how long a caller waits.
const edgeTimeout = "Patience"

// lastPiece ends each whole answer of an edgeTarget.
const lastPiece = "data: end\n\n"

// edgeCodec is a dialect with one route of a given kind.
type edgeCodec struct {
	trafficCodec
	kind    catalog.RequestKind
	timeout time.Duration
	public  bool
}

// DecodeConfig implements Codec.
func (c edgeCodec) DecodeConfig(value []byte) (*catalog.Config, error) {
	cfg, err := c.trafficCodec.DecodeConfig(value)
	if err == nil {
		r := cfg.Route(anyHost, pathOnce)
		r.Kind, r.Timeout, r.Public = c.kind, c.timeout, c.public
	}
	return cfg, err
}

// ParseRequest implements Codec.
func (c edgeCodec) ParseRequest(h http.Header) (CallerRequest, error) {
	call, err := c.trafficCodec.ParseRequest(h)
	if text := h.Get(edgeTimeout); err == nil && text != "" {
		call.Timeout, err = time.ParseDuration(text)
	}
	return call, err
}

// edgeTarget answers with a piece now and then, for as long as the path says.
type edgeTarget struct{ arrivals atomic.Int64 }

// ServeHTTP implements http.Handler.
func (e *edgeTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.arrivals.Add(1)
	lasts, err := time.ParseDuration(strings.TrimPrefix(r.URL.Path, pathOnce))
	if err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // its caller is gone
	}
	w.Header().Set(trafficID, r.Header.Get(trafficID))
	flush := http.NewResponseController(w)
	for id := 1; lasts > 0; id++ {
		pause := min(lasts, edgePause)
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
		if lasts -= pause; lasts > 0 {
			fmt.Fprintf(w, "id: %d\ndata: piece\n\n", id)
			_ = flush.Flush() // a caller that is gone ends the context
		}
	}
	_, _ = io.WriteString(w, lastPiece) // a caller that is gone needs no answer
}

// edgeFleet is one instance before one edgeTarget, and the stop of the instance.
type edgeFleet struct {
	*trafficFleet
	is      *is.I
	codec   edgeCodec
	target  *edgeTarget
	began   time.Time // the stop
	stopped chan error
}

// atStopEdge runs a test on a fleet of its own under a fake clock.
func atStopEdge(t *testing.T, codec edgeCodec, test func(f *edgeFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &edgeFleet{trafficFleet: newFleetWith(t, 1, 1, 1, fleetOptions{codec: codec}), is: is.New(t), codec: codec,
			target: &edgeTarget{}, stopped: make(chan error, 1)}
		defer f.trafficFleet.stop()
		f.targets[0].srv.Handler = f.target
		test(f)
	})
}

// stop begins the instance's stop some time from now.
func (f *edgeFleet) stop(in time.Duration) {
	f.began = time.Now().Add(in)
	time.AfterFunc(in, func() { f.stopped <- f.gateways[0].Shutdown(f.t.Context()) })
}

// until waits for a moment of the stop.
func (f *edgeFleet) until(since time.Duration) { time.Sleep(time.Until(f.began.Add(since))) }

// edgeCall is a connection of a caller.
type edgeCall struct {
	f *edgeFleet
	net.Conn
	r *bufio.Reader
}

func (f *edgeFleet) dial() *edgeCall {
	conn := f.dialCaller(0)
	return &edgeCall{f: f, Conn: conn, r: bufio.NewReader(conn)}
}

// edgeBody is the body of all requests.
const edgeBody = "0123456789"

// request is the text of a request that a target works on for so long.
func (f *edgeFleet) request(lasts, patience time.Duration) string {
	f.seq++
	text := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\n%s: r-%d\r\nContent-Length: %d\r\n", pathOnce, lasts, anyHost, trafficID, f.seq, len(edgeBody))
	if !f.codec.public {
		text += trafficKey + ": key\r\n"
	}
	if patience > 0 {
		text += edgeTimeout + ": " + patience.String() + "\r\n"
	}
	return text + "\r\n" + edgeBody
}

// send sends a text so that it arrives at that moment of the stop.
func (c *edgeCall) send(since time.Duration, text string) {
	c.f.until(since - networkDelay)
	c.write(text)
}

func (c *edgeCall) write(text string) {
	_, err := io.WriteString(c, text)
	c.f.is.NoErr(err)
}

// answer reads an answer; its status is 0 if none comes, and whole is false if it breaks off.
func (c *edgeCall) answer() (resp *http.Response, body string, whole bool) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return &http.Response{}, "", false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err == nil
}

// isWhole expects a target's whole answer.
func (c *edgeCall) isWhole() {
	resp, body, whole := c.answer()
	c.f.is.Equal(resp.StatusCode, http.StatusOK)
	c.f.is.True(whole)
	c.f.is.True(strings.HasSuffix(body, lastPiece))
}

// isRefused expects that a request which arrived at that moment is refused at once, and that
// no more than so many requests have reached the target.
func (c *edgeCall) isRefused(since time.Duration, arrivals int64) {
	resp, body, whole := c.answer()
	c.f.is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	c.f.is.True(whole)
	c.f.is.True(strings.Contains(body, `"not-run"`))
	c.f.is.True(resp.Close)
	c.f.is.True(time.Since(c.f.began) <= since+immediately)
	_, err := c.r.ReadByte()
	c.f.is.Equal(err, io.EOF) // the connection ends
	c.f.is.Equal(c.f.target.arrivals.Load(), arrivals)
}

// Ways by which a late request's connection came about.
const (
	onUnused = "unused" // open since before the stop, nothing was sent on it
	onKept   = "kept"   // after the answer to a request of before the stop
	onNew    = "new"    // opened late in the stop
)

// sendLate begins a stop and opens a connection by its way, on which a request is to come at that
// moment of the stop. It returns the connection, and how many requests the target got by then.
func (f *edgeFleet) sendLate(way string, since time.Duration) (c *edgeCall, arrivals int64) {
	const opened = balancerNoticeTime + lingerAfterNotice/4
	switch way {
	case onKept:
		c = f.dial()
		c.write(f.request(since-edgePause, 0))
		f.stop(2 * networkDelay) // once it has begun
		c.isWhole()
		return c, 1
	case onUnused:
		c = f.dial()
		f.stop(0)
	case onNew:
		f.dial() // the stop waits for what may come on it, and goes on accepting
		f.stop(0)
		f.until(opened)
		c = f.dial()
	}
	return c, 0
}

// TestStopAcceptsAtBoundaries guards against a late request that is taken and cut, or refused though it ends in time.
func TestStopAcceptsAtBoundaries(t *testing.T) {
	for _, since := range []time.Duration{acceptTime - time.Millisecond, acceptTime, acceptTime + 1, 3 * time.Second, 3700 * time.Millisecond} {
		for _, over := range []time.Duration{-time.Millisecond, 0, 1, time.Second} {
			for _, way := range []string{onUnused, onKept, onNew} {
				for _, kind := range []catalog.RequestKind{catalog.AtMostOnce, catalog.Streaming} {
					for _, public := range []bool{false, true} {
						name := fmt.Sprintf("%v/%+v/%s/%v/public=%v", since, over, way, kind, public)
						codec := edgeCodec{kind: kind, timeout: edgeLast - since + over, public: public}
						t.Run(name, func(t *testing.T) {
							atStopEdge(t, codec, func(f *edgeFleet) {
								c, arrivals := f.sendLate(way, since)
								c.send(since, f.request(edgeCut-since-beforeCut, 0))
								if since > acceptTime && over > 0 {
									c.isRefused(since, arrivals)
								} else {
									c.isWhole()
								}
								f.is.NoErr(<-f.stopped)
							})
						})
					}
				}
			}
		}
	}
}

// TestStopUsesCallerTimeout guards against refusing a request that ends in time by its
// own deadline, though its route would let it last longer.
func TestStopUsesCallerTimeout(t *testing.T) {
	const since = 3200 * time.Millisecond
	for over, refused := range map[time.Duration]bool{-time.Second: false, -time.Millisecond: false, 1: true, time.Second: true} {
		t.Run(over.String(), func(t *testing.T) {
			atStopEdge(t, edgeCodec{kind: catalog.Streaming, timeout: neverEnds}, func(f *edgeFleet) {
				c, _ := f.sendLate(onUnused, since)
				c.send(since, f.request(time.Second, edgeLast-since+over))
				if refused {
					c.isRefused(since, 0)
				} else {
					c.isWhole()
				}
				f.is.NoErr(<-f.stopped)
			})
		})
	}
}

// TestStopUsesDefaultTimeout guards against a late request that is cut because neither its
// route nor its caller says how long it may last.
func TestStopUsesDefaultTimeout(t *testing.T) {
	const since = 3200 * time.Millisecond
	atStopEdge(t, edgeCodec{kind: catalog.Streaming}, func(f *edgeFleet) {
		c, _ := f.sendLate(onUnused, since)
		c.send(since, f.request(neverEnds, 0))
		c.isRefused(since, 0)
		f.is.NoErr(<-f.stopped)
	})
}

// TestStopAnswersTimedOutRequests guards against a late request that is closed without an
// answer, because its deadline is the moment of the cut: it is answered, or not taken.
func TestStopAnswersTimedOutRequests(t *testing.T) {
	const since = 3200 * time.Millisecond
	for _, less := range []time.Duration{0, 1, time.Millisecond, answerTime - 1, answerTime, 2 * answerTime} {
		t.Run(less.String(), func(t *testing.T) {
			atStopEdge(t, edgeCodec{kind: catalog.AtMostOnce, timeout: edgeCut - since - less}, func(f *edgeFleet) {
				c, _ := f.sendLate(onUnused, since)
				c.send(since, f.request(neverEnds, 0))
				if less < answerTime {
					c.isRefused(since, 0)
				} else {
					resp, _, whole := c.answer()
					f.is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
					f.is.True(whole)
				}
				f.is.NoErr(<-f.stopped)
			})
		})
	}
}

// TestStopRefusesLateBodies guards against a request whose body ends late in a stop and that is
// then begun, though it may not end before the cut; also where it began to come before the stop.
func TestStopRefusesLateBodies(t *testing.T) {
	const end = 3200 * time.Millisecond
	for _, head := range []time.Duration{-time.Second, acceptTime - 50*time.Millisecond} {
		for timeout, refused := range map[time.Duration]bool{neverEnds: true, edgeLast - head + 1: true, edgeLast - head: false} {
			t.Run(fmt.Sprintf("%v/%v", head, timeout), func(t *testing.T) {
				atStopEdge(t, edgeCodec{kind: catalog.Streaming, timeout: timeout}, func(f *edgeFleet) {
					c, text := f.dial(), f.request(edgeCut-end-beforeCut, 0)
					half := len(text) - len(edgeBody)/2
					f.stop(max(0, -head) + networkDelay)
					c.send(head, text[:half])
					c.send(end, text[half:])
					if refused {
						c.isRefused(end, 0)
					} else {
						c.isWhole()
					}
					f.is.NoErr(<-f.stopped)
				})
			})
		}
	}
}

// TestStopAnswersSlowBodies guards against a late request that is closed without an answer,
// because its body comes for longer than the request may last, until the stop cuts.
func TestStopAnswersSlowBodies(t *testing.T) {
	const head, timeout = 3200 * time.Millisecond, time.Second
	atStopEdge(t, edgeCodec{kind: catalog.AtMostOnce, timeout: timeout}, func(f *edgeFleet) {
		c, _ := f.sendLate(onUnused, head)
		text := f.request(0, 0)
		c.send(head, text[:len(text)-1])
		resp, body, whole := c.answer()
		f.is.Equal(resp.StatusCode, http.StatusRequestTimeout)
		f.is.True(whole && strings.Contains(body, `"not-run"`))
		f.is.Equal(time.Since(f.began).Truncate(edgePause), head+timeout)
		f.is.Equal(f.target.arrivals.Load(), int64(0))
		f.is.NoErr(<-f.stopped)
	})
}

// TestStopCutsAtItsEnd guards against a stop that cuts what ends just before its time is over,
// or that counts what it refused; what is left then is cut, so that it does not look whole.
func TestStopCutsAtItsEnd(t *testing.T) {
	for _, over := range []time.Duration{-beforeCut, beforeCut} {
		for _, kind := range []catalog.RequestKind{catalog.AtMostOnce, catalog.Streaming} {
			t.Run(over.String()+"/"+kind.String(), func(t *testing.T) {
				atStopEdge(t, edgeCodec{kind: kind, timeout: neverEnds}, func(f *edgeFleet) {
					const since = 3 * time.Second // what comes from here on may not be cut
					before, late := f.dial(), f.dial()
					before.write(f.request(edgeCut+over, 0))
					f.stop(2 * networkDelay) // once it has begun
					late.send(since, f.request(0, 0))
					late.isRefused(since, 1)
					if over < 0 {
						before.isWhole()
						f.is.NoErr(<-f.stopped)
						return
					}
					_, body, whole := before.answer()
					f.is.True(!whole)
					f.is.True(!strings.Contains(body, lastPiece))
					var cut *CutError
					f.is.True(errors.As(<-f.stopped, &cut))
					f.is.Equal(cut.Requests, int64(1))
				})
			})
		}
	}
}
