package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// requestPieces is a request in two pieces, to be sent one after the other.
var requestPieces = [2]string{"GET /x HTTP/1.1\r\nHost: a.example\r\n", "\r\n"}

// TestStopAnswersReadRequests guards against a stop that closes a connection without a response while
// it reads a request's header.
func TestStopAnswersReadRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newMemoryFleet(t, 1, 1)
		defer f.stop()
		send := func(conn net.Conn, text string) {
			_, err := io.WriteString(conn, text)
			is.NoErr(err)
		}
		expectResponse := func(conn net.Conn) {
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			resp.Body.Close()
			is.Equal(resp.StatusCode, http.StatusNotFound)
			is.True(resp.Close)
		}
		unused, partial := f.dialCaller(0), f.dialCaller(0)
		send(partial, requestPieces[0])
		stopped := make(chan error, 1)
		go func() { stopped <- f.gateways[0].Shutdown(t.Context()) }()
		time.Sleep(balancerNoticeTime + 100*time.Millisecond)
		send(partial, requestPieces[1])
		expectResponse(partial)
		send(unused, requestPieces[0]+requestPieces[1])
		expectResponse(unused)
		is.NoErr(<-stopped)
	})
}

// TestStopDoesNotWait guards against a stop that waits for idle connections when no request is in
// flight.
func TestStopDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newMemoryFleet(t, 1, 1)
		defer f.stop()
		conn := f.dialCaller(0)
		_, err := io.WriteString(conn, requestPieces[0]+requestPieces[1])
		is.NoErr(err)
		_, err = http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		startedAt := time.Now()
		is.NoErr(f.gateways[0].Shutdown(t.Context()))
		is.True(time.Since(startedAt) < balancerNoticeTime+time.Second)
	})
}

// TestStopClosesUnusedConns guards against a stop that keeps idle connections open, on which late
// requests arrive that it then aborts.
func TestStopClosesUnusedConns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newMemoryFleet(t, 1, 1)
		defer f.stop()
		unused, partial := f.dialCaller(0), f.dialCaller(0)
		_, err := io.WriteString(unused, requestPieces[0]+requestPieces[1])
		is.NoErr(err)
		r := bufio.NewReader(unused)
		_, err = http.ReadResponse(r, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, io.LimitReader(r, 1))
		is.NoErr(err)
		_, err = io.WriteString(partial, requestPieces[0]) // delays the stop
		is.NoErr(err)
		stopped := make(chan error, 1)
		go func() { stopped <- f.gateways[0].Shutdown(t.Context()) }()
		time.Sleep(balancerNoticeTime + 100*time.Millisecond)
		_, err = io.Copy(io.Discard, r)
		is.NoErr(err) // the connection is closed
		select {
		case <-stopped:
			t.Fatal("the stop did not wait for the partially received request")
		default:
		}
		is.NoErr(<-stopped)
	})
}

// TestStopEndsUnderLoad guards against a stop that does not end, or aborts requests, while callers
// continue to send.
func TestStopEndsUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newMemoryFleet(t, 1, 1)
		defer f.stop()
		ctx, cancel := context.WithCancel(t.Context())
		var callers sync.WaitGroup
		served, failed := 0, 0
		callers.Go(func() {
			for ctx.Err() == nil {
				conn, err := f.net.dialFrom("caller")(ctx, "memory", f.gateways[0].CallerAddr())
				if err != nil {
					return // it accepts no more connections
				}
				if _, err := io.WriteString(conn, requestPieces[0]+requestPieces[1]); err != nil {
					failed++
				} else if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
					failed++
				} else {
					served++
				}
				conn.Close()
				time.Sleep(10 * time.Millisecond)
			}
		})
		time.Sleep(time.Second)
		is.NoErr(f.gateways[0].Shutdown(t.Context()))
		cancel()
		callers.Wait()
		is.True(served > 100)
		is.Equal(failed, 0)
	})
}
