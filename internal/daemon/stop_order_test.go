package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/connlimit"
	"github.com/shedhoist/shedhoist/internal/operator"
	"github.com/shedhoist/shedhoist/internal/settings"
	standin "github.com/shedhoist/shedhoist/internal/standin/platform"
)

// watchedListener is a listener whose Accept can be held until a stop ends the intake of connections.
type watchedListener struct {
	*net.TCPListener
	hold   bool
	ended  func()
	isOver chan struct{} // closed when the intake ends
}

func watch(ln net.Listener, hold bool) *watchedListener {
	l := &watchedListener{TCPListener: ln.(*net.TCPListener), hold: hold, isOver: make(chan struct{})}
	l.ended = sync.OnceFunc(func() { close(l.isOver) })
	return l
}

// Accept implements net.Listener.
func (l *watchedListener) Accept() (net.Conn, error) {
	if l.hold {
		<-l.isOver
	}
	return l.TCPListener.Accept()
}

// SetDeadline is called when the intake ends.
func (l *watchedListener) SetDeadline(at time.Time) error {
	defer l.ended()
	return l.TCPListener.SetDeadline(at)
}

// Close implements net.Listener.
func (l *watchedListener) Close() error {
	defer l.ended()
	return l.TCPListener.Close()
}

// newLoneDaemon returns an instance without targets that is not started and gets no notice.
func newLoneDaemon(t *testing.T) *Daemon {
	t.Helper()
	store := httptest.NewServer(standin.New("").Handler())
	t.Cleanup(store.Close)
	set := settings.Default()
	set.Name, set.Zone, set.Platform.URL, set.Peers.Secret = "entry-1", "a", store.URL, "a secret of peers"
	set.Timing.DrainNoticeMS, set.Limits.HeaderSeconds = 0, 600
	d, err := New(&set, &log.Logger{Handler: discard.New(), Level: log.FatalLevel})
	is.New(t).NoErr(err)
	return d
}

// checkAnswered sends pieces[0], stops the instance, sends pieces[1] when the intake has ended, and
// checks that an answer comes.
func checkAnswered(t *testing.T, d *Daemon, ln *watchedListener, pieces [2]string) {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", ln.Addr().String()) // the kernel completes the handshake
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, pieces[0])
	is.NoErr(err)
	d.Start()
	stopped := make(chan error, 1)
	go func() { stopped <- d.Shutdown(t.Context()) }()
	<-ln.isOver
	_, _ = io.WriteString(conn, pieces[1]) // if the connection is cut the answer is missing
	_, err = http.ReadResponse(bufio.NewReader(conn), nil)
	conn.Close()
	is.NoErr(<-stopped)
	is.NoErr(err) // the caller has an answer
}

// TestShutdownServesQueuedCaller guards against a shutdown that resets a caller's connection which
// the accepting goroutine has not come to yet.
func TestShutdownServesQueuedCaller(t *testing.T) {
	d := newLoneDaemon(t)
	ln := watch(d.callerLn, true)
	d.callerSrv = d.newServer(d.callerHandler(), ln, nil, d.newLimiter("callers", nil, connlimit.Options{}))
	checkAnswered(t, d, ln, [2]string{"GET /livez HTTP/1.1\r\n", "Host: a.example\r\n\r\n"})
}

// TestShutdownAnswersOperator guards against a shutdown that cuts operators' requests.
func TestShutdownAnswersOperator(t *testing.T) {
	d := newLoneDaemon(t)
	ln := watch(d.operatorLn, false)
	ops := &operator.Edge{State: d, Keys: d.set.Operators.KeyHashes}
	d.operatorSrv = d.newServer(ops.Handler(), ln, nil, d.newLimiter("operators", nil, connlimit.Options{}))
	checkAnswered(t, d, ln, [2]string{"GET /v1/status HTTP/1.1\r\n", "Host: a.example\r\n\r\n"})
}
