package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/netx"
)

// blockedWriter is a ResponseWriter that writes to a connection.
type blockedWriter struct {
	http.ResponseWriter
	conn net.Conn
}

// Write implements http.ResponseWriter.
func (w *blockedWriter) Write(p []byte) (int, error) { return w.conn.Write(p) }

// FlushError is used by http.ResponseController.
func (w *blockedWriter) FlushError() error { return nil }

// SetWriteDeadline is used by http.ResponseController.
func (w *blockedWriter) SetWriteDeadline(t time.Time) error { return w.conn.SetWriteDeadline(t) }

// TestCallerThatTakesSlowlyIsKept guards against giving up a caller that acknowledges some bytes all the time
// while a single write waits for longer than the caller's patience, and against keeping one that stops.
func TestCallerThatTakesSlowlyIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := net.Pipe()
		defer near.Close()
		defer far.Close()
		var waiting atomic.Int64
		waiting.Store(4 << 20)
		c := newCallerWriter(&blockedWriter{conn: near}, minCallerPatience, time.Now, func() (int, bool) { return int(waiting.Load()), true })
		const progress = 5 * minCallerPatience
		began := time.Now()
		go func() {
			for time.Since(began) < progress {
				time.Sleep(minCallerPatience / 2)
				waiting.Add(-1000)
			}
		}()
		err := c.write([]byte("x"), true)
		var slow *SlowCallerError
		is.True(errors.As(err, &slow))
		took := time.Since(began)
		is.True(took >= progress+minCallerPatience)
		is.True(took <= progress+minCallerPatience+progressInterval) // the clock is the test's own
	})
}

// TestUnackedBytesTellProgress guards against a count of unacknowledged bytes that does not change while the
// other end reads, or changes while it does not.
func TestUnackedBytesTellProgress(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	far, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	defer far.Close()
	near, err := ln.Accept()
	is.NoErr(err)
	defer near.Close()
	buf := make([]byte, 1<<20)
	for err == nil { // until the buffers of both ends are full
		is.NoErr(near.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)))
		_, err = near.Write(buf)
	}
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	full, err := netx.UnackedBytes(near.(*net.TCPConn))
	is.NoErr(err)
	is.True(full > 0)
	for left := full; left == full; {
		_, err = io.ReadFull(far, buf[:64<<10])
		is.NoErr(err)
		left, err = netx.UnackedBytes(near.(*net.TCPConn))
		is.NoErr(err)
	}
}

// benchEvents is the number of events of a stream in the benchmark, and benchEvent one of them.
const benchEvents = 2000

// BenchmarkEventToCaller compares the writing of events to a caller over TCP without and with the watch for
// slow callers, in one run. ratio is the time with it over the time without.
func BenchmarkEventToCaller(b *testing.B) {
	event := []byte("id: 12\ndata: {\"token\":\"" + eventPadding[:80] + "\"}\n\n")
	run := func(write func(w http.ResponseWriter) func([]byte) error) time.Duration {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			f := write(w)
			for range benchEvents {
				if f(event) != nil {
					return
				}
			}
		}))
		defer srv.Close()
		began := time.Now()
		resp, err := http.Get(srv.URL)
		if err != nil {
			b.Fatal(err)
		}
		defer resp.Body.Close()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			b.Fatal(err)
		}
		return time.Since(began)
	}
	var before, after time.Duration
	for b.Loop() {
		before += run(func(w http.ResponseWriter) func([]byte) error {
			flush := http.NewResponseController(w)
			return func(p []byte) error {
				if _, err := w.Write(p); err != nil {
					return err
				}
				return flush.Flush()
			}
		})
		after += run(func(w http.ResponseWriter) func([]byte) error {
			c := newCallerWriter(w, minCallerPatience, time.Now, func() (int, bool) { return 0, false })
			return func(p []byte) error { return c.write(p, true) }
		})
	}
	events := float64(b.N) * benchEvents
	b.ReportMetric(float64(before)/events, "before-ns/event")
	b.ReportMetric(float64(after)/events, "after-ns/event")
	b.ReportMetric(float64(after)/float64(before), "ratio")
}
