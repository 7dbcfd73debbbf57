package drain

import (
	"bufio"
	"crypto/tls"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestStopServesFirstRequestWithinLinger guards against a stop that closes a new connection at once.
func TestStopServesFirstRequestWithinLinger(t *testing.T) {
	inBubble(t, func(t *testing.T, o *stopOrder) {
		client, _ := o.ln.dial()
		synctest.Wait()
		o.stop()
		time.Sleep(orderLinger * 3 / 4)
		o.send(client, orderRequest)
		o.checkServed(client)
	})
}

// TestStopServesHeaderThatEndsWithinLinger guards against a stop that cuts a header at once.
func TestStopServesHeaderThatEndsWithinLinger(t *testing.T) {
	inBubble(t, func(t *testing.T, o *stopOrder) {
		client, _ := o.ln.dial()
		o.send(client, orderRequestLine)
		o.stop()
		time.Sleep(orderLinger * 3 / 4)
		o.send(client, orderHeaderRest)
		o.checkServed(client)
	})
}

// TestStopAnswersHeaderThatEndsLate guards against a stop that cuts a header after linger without
// an answer; whether the request is served or refused is left open.
func TestStopAnswersHeaderThatEndsLate(t *testing.T) {
	inBubble(t, func(t *testing.T, o *stopOrder) {
		client, _ := o.ln.dial()
		o.send(client, orderRequestLine)
		o.stop()
		time.Sleep(orderLate)
		o.send(client, orderHeaderRest)
		_, err := exchange(client)
		is.New(t).NoErr(err) // the caller has an answer
	})
}

// TestStopServesBodyThatEndsLate guards against a stop that cuts a request whose body is slow.
func TestStopServesBodyThatEndsLate(t *testing.T) {
	inBubble(t, func(t *testing.T, o *stopOrder) {
		client, _ := o.ln.dial()
		o.send(client, "POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\n")
		o.stop()
		time.Sleep(orderLate)
		o.send(client, "body")
		o.checkServed(client)
	})
}

// TestStopAnswersUnreadRequestOfNewConn guards against a stop that resets a new connection whose
// request is in the receive buffer because this machine was stalled for longer than linger.
func TestStopAnswersUnreadRequestOfNewConn(t *testing.T) {
	inBubble(t, func(t *testing.T, o *stopOrder) {
		client, server := o.ln.dial()
		server.stall(true)
		o.send(client, orderRequest)
		o.stop()
		time.Sleep(orderLate)
		server.stall(false)
		o.checkServed(client)
	})
}

// TestStopServesUnreadRequestOfKeptConn guards against a stop that resets a long idle connection
// whose next request is in the receive buffer.
func TestStopServesUnreadRequestOfKeptConn(t *testing.T) {
	inBubble(t, func(t *testing.T, o *stopOrder) {
		client, server := o.kept(orderLate)
		server.stall(true)
		o.send(client, orderRequest)
		o.stop()
		server.stall(false)
		o.checkServed(client)
	})
}

// TestStopServesPartlyReadRequestOfKeptConn guards against a stop that takes a connection for idle
// while the header of its next request arrives.
func TestStopServesPartlyReadRequestOfKeptConn(t *testing.T) {
	inBubble(t, func(t *testing.T, o *stopOrder) {
		client, _ := o.kept(orderLate)
		o.send(client, orderRequestLine)
		o.stop()
		o.send(client, orderHeaderRest)
		o.checkServed(client)
	})
}

// TestStopServesReadRequestOfKeptConn guards against a stop that takes a connection for idle whose
// next header has been read, but whose hook has not run yet.
func TestStopServesReadRequestOfKeptConn(t *testing.T) {
	inBubble(t, func(t *testing.T, o *stopOrder) {
		client, _ := o.kept(orderLate)
		o.holdState = http.StateActive
		o.send(client, orderRequest)
		o.stop()
		close(o.release)
		o.checkServed(client)
	})
}

// TestStopRefusesReadRequestAfterLateResponse guards against a stop that closes a connection at the
// end of a late response that didn't announce it, without an answer to the next request, which the
// server has read already.
func TestStopRefusesReadRequestAfterLateResponse(t *testing.T) {
	inBubble(t, func(t *testing.T, o *stopOrder) {
		o.busy = 2 * orderLate
		o.keepOpen.Store(true)
		o.headFirst.Store(true) // the response began before the stop
		client, _ := o.ln.dial()
		o.send(client, orderRequest+orderRequest)
		o.holdKnown = http.StateIdle
		o.stop()
		_, _ = exchange(client)
		time.Sleep(2 * pollInterval)
		synctest.Wait()
		close(o.release)
		status, err := exchange(client)
		is := is.New(t)
		is.NoErr(err)
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(o.runs.Load(), int64(1)) // the first request
	})
}

// TestCloseIdleKeepsBegunRequest guards against an idle limit that cuts a request of which a part has
// arrived, and against one that closes nothing.
func TestCloseIdleKeepsBegunRequest(t *testing.T) {
	inBubble(t, func(t *testing.T, o *stopOrder) {
		is := is.New(t)
		client, _ := o.kept(0)
		unused, _ := o.kept(0)
		o.send(client, orderRequestLine)
		for _, conn := range o.idle() {
			o.server.CloseIdle(conn)
		}
		o.send(client, orderHeaderRest)
		o.checkServed(client)
		_, err := exchange(unused)
		is.True(err != nil) // closed
	})
}

// TestStopDoesNotRunWhatItCloses guards against a request that runs though its caller has seen the
// connection close: no server can answer a request that crosses its close.
func TestStopDoesNotRunWhatItCloses(t *testing.T) {
	inBubble(t, func(t *testing.T, o *stopOrder) {
		is := is.New(t)
		client, _ := o.kept(orderLate)
		o.stop()
		time.Sleep(orderLate)
		o.send(client, orderRequest)
		_, err := exchange(client)
		is.True(err != nil)
		is.Equal(o.runs.Load(), int64(1)) // that before the stop
	})
}

// TestStopServesTLSHandshakeWithinLinger guards against a stop that cuts a handshake at once.
func TestStopServesTLSHandshakeWithinLinger(t *testing.T) {
	inTLSBubble(t, func(t *testing.T, o *stopOrder, config *tls.Config) {
		raw, server := o.ln.dial()
		server.stall(true)
		client := o.askTLS(raw, config)
		o.stop()
		time.Sleep(orderLinger * 3 / 4)
		server.stall(false)
		o.checkServed(client)
	})
}

// TestStopAnswersUnreadTLSRequest guards against a stop that resets a connection whose caller has
// ended the handshake and sent its request, of which the server has not read the last flight.
func TestStopAnswersUnreadTLSRequest(t *testing.T) {
	inTLSBubble(t, func(t *testing.T, o *stopOrder, config *tls.Config) {
		raw, server := o.ln.dial()
		raw.stall(true) // the client waits for the server's flight
		client := o.askTLS(raw, config)
		server.stall(true)
		raw.stall(false)
		synctest.Wait()
		o.stop()
		time.Sleep(orderLate)
		server.stall(false)
		o.checkServed(client)
	})
}

// TestStopAnswersPipelinedHalfHeader guards against a stop that cuts a header whose first part came
// together with the request before.
func TestStopAnswersPipelinedHalfHeader(t *testing.T) {
	inBubble(t, func(t *testing.T, o *stopOrder) {
		client, _ := o.ln.dial()
		o.send(client, orderRequest+orderRequestLine)
		o.checkServed(client)
		time.Sleep(orderLate)
		o.stop()
		o.send(client, orderHeaderRest)
		_, err := exchange(client)
		is.New(t).NoErr(err) // the caller has an answer
	})
}

// TestStopAnswersHalfHeaderBehindBody is TestStopAnswersPipelinedHalfHeader behind a request with a body.
func TestStopAnswersHalfHeaderBehindBody(t *testing.T) {
	inBubble(t, func(t *testing.T, o *stopOrder) {
		client, _ := o.ln.dial()
		o.send(client, "POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nbody"+orderRequestLine)
		o.checkServed(client)
		time.Sleep(orderLate)
		o.stop()
		o.send(client, orderHeaderRest)
		_, err := exchange(client)
		is.New(t).NoErr(err) // the caller has an answer
	})
}

// TestLateResponseAnnouncesClose guards against a response that begins during a stop and does not
// say that its connection is closed, because its request began before the stop.
func TestLateResponseAnnouncesClose(t *testing.T) {
	inBubble(t, func(t *testing.T, o *stopOrder) {
		o.busy = 2 * orderLate
		o.keepOpen.Store(true) // it is up to the server
		client, _ := o.ln.dial()
		o.send(client, orderRequest)
		o.stop()
		resp, err := http.ReadResponse(bufio.NewReader(client), nil)
		is := is.New(t)
		is.NoErr(err)
		is.True(resp.Close) // the caller uses another connection next time
	})
}
