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

// These tests check which requests a stop accepts at the boundaries of its time limits, to the
// nanosecond of a fake clock.

// Times of the edge tests.
const (
	// edgeAbortTime is the time after the begin of a stop at which an instance of a fleet aborts the
	// remaining requests.
	edgeAbortTime = defaultStopWithin - stopMargin
	// beforeAbort is how long before the abort a response ends that must be complete.
	beforeAbort = 200 * time.Millisecond
	// edgeMaxDeadline is the latest deadline of a request that is accepted late in a stop.
	edgeMaxDeadline = edgeAbortTime - answerTime
	// maxImmediateDelay is the longest time to a response that waits for nothing.
	maxImmediateDelay = 4 * networkDelay
	// endlessDuration is a request duration longer than any stop.
	endlessDuration = 20 * time.Second
	// edgePause is the time between the pieces of a target's response.
	edgePause = 100 * time.Millisecond
)

// edgeTimeoutHeader is the header that says how long a caller waits.
const edgeTimeoutHeader = "Caller-Timeout"

// lastPiece ends each complete response of an edgeTarget.
const lastPiece = "data: end\n\n"

// edgeCodec is a codec whose one route has a given kind, timeout and access.
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
	request, err := c.trafficCodec.ParseRequest(h)
	if text := h.Get(edgeTimeoutHeader); err == nil && text != "" {
		request.Timeout, err = time.ParseDuration(text)
	}
	return request, err
}

// edgeTarget responds with a piece every edgePause, for the duration that the path names.
type edgeTarget struct{ arrivals atomic.Int64 }

// ServeHTTP implements http.Handler.
func (e *edgeTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.arrivals.Add(1)
	remaining, err := time.ParseDuration(strings.TrimPrefix(r.URL.Path, pathOnce))
	if err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the caller is gone
	}
	w.Header().Set(trafficID, r.Header.Get(trafficID))
	flush := http.NewResponseController(w)
	for id := 1; remaining > 0; id++ {
		pause := min(remaining, edgePause)
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
		if remaining -= pause; remaining > 0 {
			fmt.Fprintf(w, "id: %d\ndata: piece\n\n", id)
			_ = flush.Flush() // if the caller is gone, the context ends
		}
	}
	_, _ = io.WriteString(w, lastPiece) // a caller that is gone needs no response
}

// edgeFleet is one instance with one edgeTarget, and the stop of the instance.
type edgeFleet struct {
	*trafficFleet
	is       *is.I
	codec    edgeCodec
	target   *edgeTarget
	stopTime time.Time // begin of the stop
	stopped  chan error
}

// atStopEdge runs a test on a new fleet under a fake clock.
func atStopEdge(t *testing.T, codec edgeCodec, test func(f *edgeFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &edgeFleet{trafficFleet: newFleetWith(t, 1, 1, 1, fleetOptions{codec: codec}), is: is.New(t), codec: codec,
			target: &edgeTarget{}, stopped: make(chan error, 1)}
		defer f.trafficFleet.stop()
		f.targets[0].srv.Handler = f.target
		test(f)
	})
}

// shutDownIn begins the instance's stop after the given time.
func (f *edgeFleet) shutDownIn(in time.Duration) {
	f.stopTime = time.Now().Add(in)
	time.AfterFunc(in, func() { f.stopped <- f.gateways[0].Shutdown(f.t.Context()) })
}

// sleepUntil sleeps until the given time after the begin of the stop.
func (f *edgeFleet) sleepUntil(since time.Duration) { time.Sleep(time.Until(f.stopTime.Add(since))) }

// edgeConn is a caller's connection.
type edgeConn struct {
	f *edgeFleet
	net.Conn
	r *bufio.Reader
}

func (f *edgeFleet) dial() *edgeConn {
	conn := f.dialCaller(0)
	return &edgeConn{f: f, Conn: conn, r: bufio.NewReader(conn)}
}

// edgeBody is the body of each request.
const edgeBody = "0123456789"

// request returns the text of a request that the target takes the given duration to answer; timeout
// is how long the caller waits, 0: not specified.
func (f *edgeFleet) request(duration, timeout time.Duration) string {
	f.seq++
	text := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\n%s: r-%d\r\nContent-Length: %d\r\n", pathOnce, duration, anyHost, trafficID, f.seq, len(edgeBody))
	if !f.codec.public {
		text += trafficKey + ": key\r\n"
	}
	if timeout > 0 {
		text += edgeTimeoutHeader + ": " + timeout.String() + "\r\n"
	}
	return text + "\r\n" + edgeBody
}

// send sends a text so that it arrives at the given time after the begin of the stop.
func (c *edgeConn) send(since time.Duration, text string) {
	c.f.sleepUntil(since - networkDelay)
	c.write(text)
}

func (c *edgeConn) write(text string) {
	_, err := io.WriteString(c, text)
	c.f.is.NoErr(err)
}

// readResponse reads a response. Its status is 0 if none arrives, and complete is false if it is
// truncated.
func (c *edgeConn) readResponse() (resp *http.Response, body string, complete bool) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return &http.Response{}, "", false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err == nil
}

// expectComplete expects a complete response of the target.
func (c *edgeConn) expectComplete() {
	resp, body, complete := c.readResponse()
	c.f.is.Equal(resp.StatusCode, http.StatusOK)
	c.f.is.True(complete)
	c.f.is.True(strings.HasSuffix(body, lastPiece))
}

// expectRefused expects that a request that arrived at the given time after the begin of the stop
// is refused immediately, and that the target has received the given number of requests.
func (c *edgeConn) expectRefused(since time.Duration, arrivals int64) {
	resp, body, complete := c.readResponse()
	c.f.is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	c.f.is.True(complete)
	c.f.is.True(strings.Contains(body, `"not-run"`))
	c.f.is.True(resp.Close)
	c.f.is.True(time.Since(c.f.stopTime) <= since+maxImmediateDelay)
	_, err := c.r.ReadByte()
	c.f.is.Equal(err, io.EOF) // the connection is closed
	c.f.is.Equal(c.f.target.arrivals.Load(), arrivals)
}

// Kinds of connections on which late requests arrive.
const (
	unusedConn = "unused" // opened before the stop, nothing was sent on it
	keptConn   = "kept"   // reused after the response to a request from before the stop
	newConn    = "new"    // opened late in the stop
)

// sendLate begins a stop and returns a connection of the given kind, on which a request is to arrive
// at the given time after the begin of the stop, and how many requests the target has received by
// then.
func (f *edgeFleet) sendLate(connKind string, since time.Duration) (c *edgeConn, arrivals int64) {
	const opened = balancerNoticeTime + lingerAfterNotice/4
	switch connKind {
	case keptConn:
		c = f.dial()
		c.write(f.request(since-edgePause, 0))
		f.shutDownIn(2 * networkDelay) // after the request has started
		c.expectComplete()
		return c, 1
	case unusedConn:
		c = f.dial()
		f.shutDownIn(0)
	case newConn:
		f.dial() // the stop waits for a request on it and keeps accepting
		f.shutDownIn(0)
		f.sleepUntil(opened)
		c = f.dial()
	}
	return c, 0
}

// TestStopAcceptsAtBoundaries guards against a late request that is accepted and aborted, or refused
// although it ends in time.
func TestStopAcceptsAtBoundaries(t *testing.T) {
	for _, since := range []time.Duration{acceptTime - time.Millisecond, acceptTime, acceptTime + 1, 3 * time.Second, 3700 * time.Millisecond} {
		for _, excess := range []time.Duration{-time.Millisecond, 0, 1, time.Second} {
			for _, connKind := range []string{unusedConn, keptConn, newConn} {
				for _, kind := range []catalog.RequestKind{catalog.AtMostOnce, catalog.Streaming} {
					for _, public := range []bool{false, true} {
						name := fmt.Sprintf("%v/%+v/%s/%v/public=%v", since, excess, connKind, kind, public)
						codec := edgeCodec{kind: kind, timeout: edgeMaxDeadline - since + excess, public: public}
						t.Run(name, func(t *testing.T) {
							atStopEdge(t, codec, func(f *edgeFleet) {
								c, arrivals := f.sendLate(connKind, since)
								c.send(since, f.request(edgeAbortTime-since-beforeAbort, 0))
								if since > acceptTime && excess > 0 {
									c.expectRefused(since, arrivals)
								} else {
									c.expectComplete()
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

// TestStopUsesCallerTimeout guards against refusing a request that ends in time by its own
// deadline, although its route allows a longer time.
func TestStopUsesCallerTimeout(t *testing.T) {
	const since = 3200 * time.Millisecond
	for excess, refused := range map[time.Duration]bool{-time.Second: false, -time.Millisecond: false, 1: true, time.Second: true} {
		t.Run(excess.String(), func(t *testing.T) {
			atStopEdge(t, edgeCodec{kind: catalog.Streaming, timeout: endlessDuration}, func(f *edgeFleet) {
				c, _ := f.sendLate(unusedConn, since)
				c.send(since, f.request(time.Second, edgeMaxDeadline-since+excess))
				if refused {
					c.expectRefused(since, 0)
				} else {
					c.expectComplete()
				}
				f.is.NoErr(<-f.stopped)
			})
		})
	}
}

// TestStopUsesDefaultTimeout guards against a late request that is aborted because neither its
// route nor its caller specifies a timeout.
func TestStopUsesDefaultTimeout(t *testing.T) {
	const since = 3200 * time.Millisecond
	atStopEdge(t, edgeCodec{kind: catalog.Streaming}, func(f *edgeFleet) {
		c, _ := f.sendLate(unusedConn, since)
		c.send(since, f.request(endlessDuration, 0))
		c.expectRefused(since, 0)
		f.is.NoErr(<-f.stopped)
	})
}

// TestStopAnswersTimedOutRequests guards against a late request whose connection is closed without a
// response because its deadline coincides with the abort: it must be answered or refused.
func TestStopAnswersTimedOutRequests(t *testing.T) {
	const since = 3200 * time.Millisecond
	for _, margin := range []time.Duration{0, 1, time.Millisecond, answerTime - 1, answerTime, 2 * answerTime} {
		t.Run(margin.String(), func(t *testing.T) {
			atStopEdge(t, edgeCodec{kind: catalog.AtMostOnce, timeout: edgeAbortTime - since - margin}, func(f *edgeFleet) {
				c, _ := f.sendLate(unusedConn, since)
				c.send(since, f.request(endlessDuration, 0))
				if margin < answerTime {
					c.expectRefused(since, 0)
				} else {
					resp, _, complete := c.readResponse()
					f.is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
					f.is.True(complete)
				}
				f.is.NoErr(<-f.stopped)
			})
		})
	}
}

// TestStopRefusesLateBodies guards against a request whose body ends late in a stop and that is then
// started although it may not end before the abort, also if its header arrived before the stop.
func TestStopRefusesLateBodies(t *testing.T) {
	const end = 3200 * time.Millisecond
	for _, head := range []time.Duration{-time.Second, acceptTime - 50*time.Millisecond} {
		for timeout, refused := range map[time.Duration]bool{endlessDuration: true, edgeMaxDeadline - head + 1: true, edgeMaxDeadline - head: false} {
			t.Run(fmt.Sprintf("%v/%v", head, timeout), func(t *testing.T) {
				atStopEdge(t, edgeCodec{kind: catalog.Streaming, timeout: timeout}, func(f *edgeFleet) {
					c, text := f.dial(), f.request(edgeAbortTime-end-beforeAbort, 0)
					half := len(text) - len(edgeBody)/2
					f.shutDownIn(max(0, -head) + networkDelay)
					c.send(head, text[:half])
					c.send(end, text[half:])
					if refused {
						c.expectRefused(end, 0)
					} else {
						c.expectComplete()
					}
					f.is.NoErr(<-f.stopped)
				})
			})
		}
	}
}

// TestStopAnswersSlowBodies guards against a late request that is closed without a response because
// its body does not end before the request's timeout, and the stop waits for it until the abort.
func TestStopAnswersSlowBodies(t *testing.T) {
	const head, timeout = 3200 * time.Millisecond, time.Second
	atStopEdge(t, edgeCodec{kind: catalog.AtMostOnce, timeout: timeout}, func(f *edgeFleet) {
		c, _ := f.sendLate(unusedConn, head)
		text := f.request(0, 0)
		c.send(head, text[:len(text)-1])
		resp, body, complete := c.readResponse()
		f.is.Equal(resp.StatusCode, http.StatusRequestTimeout)
		f.is.True(complete && strings.Contains(body, `"not-run"`))
		f.is.Equal(time.Since(f.stopTime).Truncate(edgePause), head+timeout)
		f.is.Equal(f.target.arrivals.Load(), int64(0))
		f.is.NoErr(<-f.stopped)
	})
}

// TestStopAbortsAtItsEnd guards against a stop that aborts requests that end just before its time is
// over, or counts refused requests as aborted. A response that is aborted must not look complete.
func TestStopAbortsAtItsEnd(t *testing.T) {
	for _, excess := range []time.Duration{-beforeAbort, beforeAbort} {
		for _, kind := range []catalog.RequestKind{catalog.AtMostOnce, catalog.Streaming} {
			t.Run(excess.String()+"/"+kind.String(), func(t *testing.T) {
				atStopEdge(t, edgeCodec{kind: kind, timeout: endlessDuration}, func(f *edgeFleet) {
					const since = 3 * time.Second // requests that arrive from here on must not be aborted
					before, late := f.dial(), f.dial()
					before.write(f.request(edgeAbortTime+excess, 0))
					f.shutDownIn(2 * networkDelay) // after the request has started
					late.send(since, f.request(0, 0))
					late.expectRefused(since, 1)
					if excess < 0 {
						before.expectComplete()
						f.is.NoErr(<-f.stopped)
						return
					}
					_, body, complete := before.readResponse()
					f.is.True(!complete)
					f.is.True(!strings.Contains(body, lastPiece))
					var aborted *CutError
					f.is.True(errors.As(<-f.stopped, &aborted))
					f.is.Equal(aborted.Requests, int64(1))
				})
			})
		}
	}
}
