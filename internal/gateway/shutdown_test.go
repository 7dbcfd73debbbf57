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

// bodyPiece is a request in two pieces.
var bodyPiece = [2]string{"GET /x HTTP/1.1\r\nHost: a.example\r\n", "\r\n"}

// TestStopAnswersReadRequests guards against a stop that ends a request without an answer while it reads its header.
func TestStopAnswersReadRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newMemoryFleet(t, 1, 1)
		defer f.stop()
		send := func(conn net.Conn, text string) {
			_, err := io.WriteString(conn, text)
			is.NoErr(err)
		}
		answered := func(conn net.Conn) {
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			resp.Body.Close()
			is.Equal(resp.StatusCode, http.StatusNotFound)
			is.True(resp.Close)
		}
		silent, begun := f.dialCaller(0), f.dialCaller(0)
		send(begun, bodyPiece[0])
		stopped := make(chan error, 1)
		go func() { stopped <- f.gateways[0].Shutdown(t.Context()) }()
		time.Sleep(balancerNoticeTime + 100*time.Millisecond)
		send(begun, bodyPiece[1])
		answered(begun)
		send(silent, bodyPiece[0]+bodyPiece[1])
		answered(silent)
		is.NoErr(<-stopped)
	})
}

// TestStopDoesNotWait guards against a stop that waits for callers where none has a request in hand.
func TestStopDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newMemoryFleet(t, 1, 1)
		defer f.stop()
		conn := f.dialCaller(0)
		_, err := io.WriteString(conn, bodyPiece[0]+bodyPiece[1])
		is.NoErr(err)
		_, err = http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		began := time.Now()
		is.NoErr(f.gateways[0].Shutdown(t.Context()))
		is.True(time.Since(began) < balancerNoticeTime+time.Second)
	})
}

// TestStopClosesUnusedConns guards against unused connections kept in a stop, so that more comes late and is cut.
func TestStopClosesUnusedConns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newMemoryFleet(t, 1, 1)
		defer f.stop()
		unused, begun := f.dialCaller(0), f.dialCaller(0)
		_, err := io.WriteString(unused, bodyPiece[0]+bodyPiece[1])
		is.NoErr(err)
		r := bufio.NewReader(unused)
		_, err = http.ReadResponse(r, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, io.LimitReader(r, 1))
		is.NoErr(err)
		_, err = io.WriteString(begun, bodyPiece[0]) // what holds the stop up
		is.NoErr(err)
		stopped := make(chan error, 1)
		go func() { stopped <- f.gateways[0].Shutdown(t.Context()) }()
		time.Sleep(balancerNoticeTime + 100*time.Millisecond)
		_, err = io.Copy(io.Discard, r)
		is.NoErr(err) // it has ended
		select {
		case <-stopped:
			t.Fatal("the stop did not wait for the request that had begun")
		default:
		}
		is.NoErr(<-stopped)
	})
}

// TestStopEndsUnderLoad guards against a stop that does not end, or cuts requests, while callers go on sending.
func TestStopEndsUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newMemoryFleet(t, 1, 1)
		defer f.stop()
		ctx, cancel := context.WithCancel(t.Context())
		var callers sync.WaitGroup
		served, cut := 0, 0
		callers.Go(func() {
			for ctx.Err() == nil {
				conn, err := f.net.dialFrom("caller")(ctx, "memory", f.gateways[0].CallerAddr())
				if err != nil {
					return // it takes no more
				}
				if _, err := io.WriteString(conn, bodyPiece[0]+bodyPiece[1]); err != nil {
					cut++
				} else if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
					cut++
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
		is.Equal(cut, 0)
	})
}
