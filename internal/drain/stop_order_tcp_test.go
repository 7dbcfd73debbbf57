package drain

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/netx"
)

// The tests in this file hold a connection back on a real listener until the stop has done what
// it must not do before. A right stop doesn't do it, so that they wait for heldBack; how long that
// is decides no verdict about a right stop.
const heldBack = time.Second

// heldListener is a real listener whose Accept waits until free or Close is called.
type heldListener struct {
	*net.TCPListener
	free   func()
	isFree chan struct{}
}

func listenHeld(t *testing.T) *heldListener {
	t.Helper()
	ln, err := netx.ListenDefault("127.0.0.1:0")
	is.New(t).NoErr(err)
	l := &heldListener{TCPListener: ln.(*net.TCPListener), isFree: make(chan struct{})}
	l.free = sync.OnceFunc(func() { close(l.isFree) })
	return l
}

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	<-l.isFree
	return l.TCPListener.Accept()
}

// Close implements net.Listener.
func (l *heldListener) Close() error {
	defer l.free()
	return l.TCPListener.Close()
}

// checkHeld dials, sends a request, stops the server, and frees what is held after heldBack, when
// the time for new connections is over.
func checkHeld(t *testing.T, srv *http.Server, ln net.Listener, free func(), serverTLS, clientTLS *tls.Config) {
	t.Helper()
	is := is.New(t)
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	server := NewServer(srv, ln, serverTLS, silentLog())
	conn, err := net.Dial("tcp", ln.Addr().String()) // the kernel completes the handshake
	is.NoErr(err)
	defer conn.Close()
	if clientTLS != nil {
		conn = tls.Client(conn, clientTLS)
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = io.WriteString(conn, orderRequest) // with TLS it waits for the handshake
	}()
	if clientTLS == nil {
		<-sent
	}
	go func() { _ = server.Serve() }()
	defer server.Close()
	stopped := make(chan error, 1)
	go func() { stopped <- server.Stop(t.Context(), heldBack) }()
	time.AfterFunc(heldBack, free)
	status, err := exchange(conn)
	is.NoErr(err) // the request has an answer
	is.Equal(status, http.StatusOK)
	conn.Close()
	is.NoErr(<-stopped)
}

// TestStopServesQueuedTCPConn guards against a stop whose Close makes the kernel reset its queue.
func TestStopServesQueuedTCPConn(t *testing.T) {
	ln := listenHeld(t)
	checkHeld(t, &http.Server{}, ln, ln.free, nil, nil)
}

// TestStopServesQueuedTCPConnWithTLS guards against the same below TLS.
func TestStopServesQueuedTCPConnWithTLS(t *testing.T) {
	serverTLS, clientTLS := tlsPair(t)
	ln := listenHeld(t)
	checkHeld(t, &http.Server{}, ln, ln.free, serverTLS, clientTLS)
}

// TestStopServesTCPConnNotYetKnown guards against a stop that ends between Accept and the first
// hook.
func TestStopServesTCPConnNotYetKnown(t *testing.T) {
	ln, err := netx.ListenDefault("127.0.0.1:0")
	is.New(t).NoErr(err)
	held := make(chan struct{})
	srv := &http.Server{ConnState: func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			<-held
		}
	}}
	checkHeld(t, srv, ln, func() { close(held) }, nil, nil)
}

// TestStopIgnoresLateConnects guards against a stop that lets callers connect while it empties the
// queue, and then resets them.
func TestStopIgnoresLateConnects(t *testing.T) {
	is := is.New(t)
	ln, err := netx.ListenDefault("127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	is.NoErr(netx.StopHandshakes(ln.(syscall.Conn)))
	_, err = net.DialTimeout("tcp", ln.Addr().String(), heldBack)
	var timeout net.Error
	is.True(errors.As(err, &timeout))
	is.True(timeout.Timeout()) // the kernel has not answered
}
