package drain

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// takingConn is a connection whose Read can be held between the kernel's part and its return.
type takingConn struct {
	*memConn
	mu   sync.Mutex
	hold chan struct{}
}

// Read implements net.Conn.
func (c *takingConn) Read(p []byte) (int, error) {
	n, err := c.memConn.Read(p)
	c.mu.Lock()
	hold := c.hold
	c.mu.Unlock()
	if hold != nil && n > 0 {
		<-hold
	}
	return n, err
}

// takingListener wraps accepted connections.
type takingListener struct {
	*memListener
	last *takingConn
}

// Accept implements net.Listener.
func (l *takingListener) Accept() (net.Conn, error) {
	conn, err := l.memListener.Accept()
	if err != nil {
		return nil, err
	}
	l.last = &takingConn{memConn: conn.(*memConn)}
	return l.last, nil
}

// TestStopAnswersHeaderTakenButNotCounted guards against a stop that takes a connection for idle
// while Read has part of a header from the kernel and has not returned it.
func TestStopAnswersHeaderTakenButNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newStopOrder(t, nil)
		ln := &takingListener{memListener: o.ln}
		o.server = NewServer(&http.Server{Handler: http.HandlerFunc(o.serveHTTP)}, ln, nil, silentLog())
		o.srv = o.server.http
		defer o.end()
		o.serve()
		client, _ := o.kept(orderLate)
		hold := make(chan struct{})
		ln.last.mu.Lock()
		ln.last.hold = hold
		ln.last.mu.Unlock()
		o.send(client, orderRequestLine)
		o.stop()
		ln.last.mu.Lock()
		ln.last.hold = nil
		ln.last.mu.Unlock()
		close(hold)
		time.Sleep(2 * pollInterval)
		o.send(client, orderHeaderRest)
		_, err := exchange(client)
		is.New(t).NoErr(err) // the caller has an answer
	})
}

// checkStopEnds checks that a stop ends within some lingers though IdleTimeout is long.
func checkStopEnds(t *testing.T, o *stopOrder) {
	t.Helper()
	began := time.Now()
	is.New(t).NoErr(<-o.stopped)
	if took := time.Since(began); took > 10*orderLinger {
		t.Fatalf("the stop lasted %v", took)
	}
}

// TestStopEndsAfterStrayLineEnd guards against a stop that a stray CRLF after a request holds open.
func TestStopEndsAfterStrayLineEnd(t *testing.T) {
	inBubble(t, func(t *testing.T, o *stopOrder) {
		client, _ := o.kept(orderLate)
		o.send(client, "\r\n")
		o.stop()
		checkStopEnds(t, o)
	})
}

// TestStopEndsWithSilentTLSConn guards against a stop that waits for a request longer than for a
// header, because of the bytes of a handshake.
func TestStopEndsWithSilentTLSConn(t *testing.T) {
	inTLSBubble(t, func(t *testing.T, o *stopOrder, config *tls.Config) {
		raw, _ := o.ln.dial()
		is.New(t).NoErr(tls.Client(raw, config).Handshake())
		synctest.Wait()
		time.Sleep(orderLate)
		o.stop()
		checkStopEnds(t, o)
	})
}

// fullListener has no file descriptors left while a number of connections is open.
type fullListener struct {
	*memListener
	full func() bool
}

// Accept implements net.Listener.
func (l *fullListener) Accept() (net.Conn, error) {
	if l.full() {
		time.Sleep(time.Millisecond)
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.memListener.Accept()
}

// TestStopServesQueuedConnWithoutDescriptors guards against a stop that keeps unused connections
// whose descriptors the queue needs.
func TestStopServesQueuedConnWithoutDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newStopOrder(t, nil)
		var server *Server
		ln := &fullListener{memListener: o.ln, full: func() bool {
			server.conns.mu.Lock()
			defer server.conns.mu.Unlock()
			return len(server.conns.states)+len(server.conns.closing) > 0
		}}
		server = NewServer(&http.Server{Handler: http.HandlerFunc(o.serveHTTP), IdleTimeout: 120 * time.Second, ReadHeaderTimeout: 600 * time.Second}, ln, nil, silentLog())
		o.server, o.srv = server, server.http
		defer o.end()
		o.ln.hold(inKernel)
		o.ln.dial() // says nothing
		o.serve()
		synctest.Wait()
		client, _ := o.ln.dial()
		o.ln.hold("")
		o.send(client, orderRequest)
		o.stop()
		began := time.Now()
		o.checkServed(client)
		if took := time.Since(began); took > 10*orderLinger {
			t.Fatalf("the caller waited %v", took)
		}
	})
}

// TestCloseBeforeServeClosesListener guards against a listener that stays open after Close.
func TestCloseBeforeServeClosesListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newStopOrder(t, nil)
		defer o.end()
		_ = o.server.Close()
		client, _ := o.ln.dial()
		is.New(t).True(client == nil) // refused
	})
}
