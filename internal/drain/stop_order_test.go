package drain

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
)

// These tests force the order of a stop and of what happens on a connection. They run a real
// http.Server in a bubble of testing/synctest, on a network in memory: its clock moves only when
// all goroutines wait, so that "the stop is as far as it gets" is an event and no guess.

const (
	orderLinger = time.Second
	orderLate   = 2 * orderLinger // when Stop has closed what it closes for lack of use

	orderHeaderTimeout = 5 * orderLinger
	orderIdleTimeout   = 120 * orderLinger

	orderRequestLine = "GET /a HTTP/1.1\r\n"
	orderHeaderRest  = "Host: a.example\r\n\r\n"
	orderRequest     = orderRequestLine + orderHeaderRest
)

// stopOrder is one server and one stop whose events a test puts in order.
type stopOrder struct {
	t       *testing.T
	srv     *http.Server
	server  *Server
	ln      *memListener
	ctx     context.Context
	cancel  context.CancelFunc
	stopped chan error

	holdState http.ConnState // the state whose hook waits for release before Conns knows it
	holdKnown http.ConnState // the state whose hook waits for release when Conns knows it
	release   chan struct{}
	stopping  atomic.Bool
	keepOpen  atomic.Bool // responses don't ask callers to close while it stops
	headFirst atomic.Bool // responses' headers are sent before the handler works
	runs      atomic.Int64
	busy      time.Duration // of a request
}

// silentLog returns a log that writes nothing.
func silentLog() log.Interface { return &log.Logger{Handler: discard.Default, Level: log.FatalLevel} }

func newStopOrder(t *testing.T, tlsConfig *tls.Config) *stopOrder {
	o := &stopOrder{t: t, ln: newMemListener(), stopped: make(chan error, 1), holdState: -1, holdKnown: -1, release: make(chan struct{})}
	o.ctx, o.cancel = context.WithCancel(t.Context())
	o.srv = &http.Server{Handler: http.HandlerFunc(o.serveHTTP), IdleTimeout: orderIdleTimeout, ReadHeaderTimeout: orderHeaderTimeout, ConnState: func(_ net.Conn, s http.ConnState) {
		if s == o.holdState {
			<-o.release
		}
	}}
	o.server = NewServer(o.srv, o.ln, tlsConfig, silentLog())
	known := o.srv.ConnState
	o.srv.ConnState = func(conn net.Conn, s http.ConnState) {
		known(conn, s)
		if s == o.holdKnown {
			<-o.release
		}
	}
	return o
}

func (o *stopOrder) serveHTTP(w http.ResponseWriter, r *http.Request) {
	o.runs.Add(1)
	if o.headFirst.Load() {
		_ = http.NewResponseController(w).Flush() // a caller that is gone gets nothing
	}
	time.Sleep(o.busy)
	_, _ = io.Copy(io.Discard, r.Body)
	if o.stopping.Load() && !o.keepOpen.Load() {
		w.Header().Set("Connection", "close")
	}
	if !o.headFirst.Load() {
		w.WriteHeader(http.StatusOK)
	}
}

func (o *stopOrder) serve() { go func() { _ = o.server.Serve() }() }

// stop begins a stop and returns when it is as far as it gets at this time.
func (o *stopOrder) stop() {
	o.stopping.Store(true)
	go func() { o.stopped <- o.server.Stop(o.ctx, orderLinger) }()
	synctest.Wait()
}

// end ends everything, whatever the verdict.
func (o *stopOrder) end() {
	o.cancel()
	o.ln.hold("")
	_ = o.srv.Close()
	_ = o.ln.Close()
	time.Sleep(10 * orderLinger) // the handlers end
	synctest.Wait()
}

// exchange reads one response; a caller without one after an hour gives up.
func exchange(conn net.Conn) (int, error) {
	_ = conn.SetReadDeadline(time.Now().Add(time.Hour))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// checkServed checks that the request on a connection is answered by its handler.
func (o *stopOrder) checkServed(conn net.Conn) {
	o.t.Helper()
	is := is.New(o.t)
	status, err := exchange(conn)
	is.NoErr(err) // the request has an answer
	is.Equal(status, http.StatusOK)
}

// send writes to a connection and returns when everybody has done what follows from it.
func (o *stopOrder) send(conn net.Conn, bytes string) {
	_, _ = io.WriteString(conn, bytes) // if it is closed the response is missing
	synctest.Wait()
}

// kept returns both ends of a connection that has carried one request and has been idle for so long.
func (o *stopOrder) kept(idle time.Duration) (client, server *memConn) {
	o.t.Helper()
	client, server = o.ln.dial()
	o.send(client, orderRequest)
	o.checkServed(client)
	time.Sleep(idle)
	synctest.Wait()
	return client, server
}

// idle returns the server's ends of the connections that net/http has reported as idle.
func (o *stopOrder) idle() (conns []net.Conn) {
	o.server.conns.mu.Lock()
	defer o.server.conns.mu.Unlock()
	for conn, current := range o.server.conns.states {
		if current.state == http.StateIdle {
			conns = append(conns, conn)
		}
	}
	return conns
}

// inBubble runs a test whose server serves.
func inBubble(t *testing.T, f func(t *testing.T, o *stopOrder)) {
	synctest.Test(t, func(t *testing.T) {
		o := newStopOrder(t, nil)
		defer o.end()
		o.serve()
		synctest.Wait()
		f(t, o)
	})
}

// TestStopServesQueuedConn guards against a stop that resets connections in the listener's queue.
func TestStopServesQueuedConn(t *testing.T) {
	inBubble(t, func(t *testing.T, o *stopOrder) {
		o.ln.hold(inKernel)
		client, _ := o.ln.dial()
		o.send(client, orderRequest)
		o.stop()
		o.ln.hold("")
		o.checkServed(client)
	})
}

// TestStopServesQueuedConnBesideKnown guards against a stop that empties the listener's queue only
// while it knows no connection.
func TestStopServesQueuedConnBesideKnown(t *testing.T) {
	inBubble(t, func(t *testing.T, o *stopOrder) {
		o.kept(0)
		o.ln.hold(inKernel)
		client, _ := o.ln.dial()
		o.send(client, orderRequest)
		o.stop()
		o.ln.hold("")
		o.checkServed(client)
	})
}

// TestStopServesConnQueuedForLong guards against a stop that resets its queue once the time for new
// connections is over, though the accepting goroutine had no processor since.
func TestStopServesConnQueuedForLong(t *testing.T) {
	inBubble(t, func(t *testing.T, o *stopOrder) {
		o.kept(0)
		o.ln.hold(inKernel)
		client, _ := o.ln.dial()
		o.send(client, orderRequest)
		o.stop()
		time.Sleep(orderLinger * 3 / 4)
		o.ln.hold("")
		o.checkServed(client)
	})
}

// TestStopServesConnInAccept guards against a stop that ends before Accept has returned a connection.
func TestStopServesConnInAccept(t *testing.T) {
	inBubble(t, func(t *testing.T, o *stopOrder) {
		o.ln.hold(inAccept)
		client, _ := o.ln.dial()
		o.send(client, orderRequest)
		o.stop()
		time.Sleep(orderLinger * 3 / 4) // the time for new connections is over
		o.ln.hold("")
		o.checkServed(client)
	})
}

// TestStopServesConnNotYetKnown guards against a stop that ends between Accept and the first hook.
func TestStopServesConnNotYetKnown(t *testing.T) {
	inBubble(t, func(t *testing.T, o *stopOrder) {
		o.holdState = http.StateNew
		client, _ := o.ln.dial()
		o.send(client, orderRequest)
		o.stop()
		time.Sleep(orderLinger * 3 / 4) // the time for new connections is over
		close(o.release)
		o.checkServed(client)
	})
}

// TestStopServesWhatQueuedBeforeServe guards against a stop that is faster than the start of Serve.
func TestStopServesWhatQueuedBeforeServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newStopOrder(t, nil)
		defer o.end()
		client, _ := o.ln.dial()
		o.send(client, orderRequest)
		o.stop()
		o.serve()
		o.checkServed(client)
	})
}

// TestStopEndsWhileCallersConnect guards against a stop that callers hold open: those who connect
// and ask, who connect and say nothing, and who ask without end on one connection.
func TestStopEndsWhileCallersConnect(t *testing.T) {
	for name, kind := range map[string]struct{ silent, keepOpen bool }{"asking": {}, "silent": {silent: true}, "kept": {keepOpen: true}} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, o *stopOrder) {
				o.busy = orderLinger/10 + time.Microsecond // ends at no time at which Stop looks
				o.keepOpen.Store(kind.keepOpen)
				for range 4 {
					go o.callWithoutEnd(kind.silent, kind.keepOpen)
				}
				time.Sleep(orderLate)
				o.stop()
				select {
				case err := <-o.stopped:
					is.New(t).NoErr(err)
				case <-time.After(10 * orderLinger):
					t.Fatal("the stop does not end while callers go on")
				}
			})
		})
	}
}

// callWithoutEnd plays a caller until it is refused or the test ends.
func (o *stopOrder) callWithoutEnd(silent, keep bool) {
	var client *memConn
	for o.ctx.Err() == nil {
		if client == nil {
			if client, _ = o.ln.dial(); client == nil {
				return
			}
		}
		if silent {
			time.Sleep(orderLinger / 10)
			client = nil // the server's end stays open
			continue
		}
		_, _ = io.WriteString(client, orderRequest)
		if _, err := exchange(client); err != nil || !keep {
			client.Close()
			client = nil
		}
	}
}

// tlsPair returns configurations for both sides.
func tlsPair(t *testing.T) (server, client *tls.Config) {
	t.Helper()
	ts := httptest.NewUnstartedServer(nil)
	ts.StartTLS()
	defer ts.Close()
	roots := x509.NewCertPool()
	roots.AddCert(ts.Certificate())
	return &tls.Config{Certificates: ts.TLS.Certificates, NextProtos: []string{"http/1.1"}},
		&tls.Config{RootCAs: roots, ServerName: "example.com", NextProtos: []string{"http/1.1"}}
}

// inTLSBubble runs a test whose server serves TLS.
func inTLSBubble(t *testing.T, f func(t *testing.T, o *stopOrder, client *tls.Config)) {
	serverConfig, clientConfig := tlsPair(t)
	synctest.Test(t, func(t *testing.T) {
		o := newStopOrder(t, serverConfig)
		defer o.end()
		o.serve()
		synctest.Wait()
		f(t, o, clientConfig)
	})
}

// askTLS begins a request over TLS: as soon as the handshake allows.
func (o *stopOrder) askTLS(raw net.Conn, config *tls.Config) *tls.Conn {
	client := tls.Client(raw, config)
	go func() { _, _ = io.WriteString(client, orderRequest) }()
	synctest.Wait()
	return client
}

// TestStopServesQueuedTLSConn guards against a stop that resets a queued connection with its
// ClientHello.
func TestStopServesQueuedTLSConn(t *testing.T) {
	inTLSBubble(t, func(t *testing.T, o *stopOrder, config *tls.Config) {
		o.ln.hold(inKernel)
		raw, _ := o.ln.dial()
		client := o.askTLS(raw, config)
		o.stop()
		time.Sleep(orderLinger * 3 / 4) // the time for new connections is over
		o.ln.hold("")
		o.checkServed(client)
	})
}
