package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/wait"
)

// Conns tracks the open connections of a server. The zero value is ready for use. Attach must be
// called before the server serves.
type Conns struct {
	mu      sync.Mutex
	states  map[net.Conn]connState
	closing map[net.Conn]struct{} // their reads are ended; net/http has not closed them yet

	headerTimeout time.Duration // of the server; 0: none
}

// connState is the state of a connection, the time when it began, and what trackedConn had counted by
// then.
type connState struct {
	state     http.ConnState
	since     time.Time
	bytesRead int64
	deadlines int64
}

func newConnState(conn net.Conn, state http.ConnState) connState {
	s := connState{state: state, since: time.Now()}
	if tracked := trackedConnOf(conn); tracked != nil {
		s.bytesRead, s.deadlines = tracked.count(), tracked.deadlineCount()
	}
	return s
}

// Attach installs hooks in the server that track its connections. Requests that begin on a
// connection that is being closed go to refuse, which must not run them. The server's own hooks are
// still called.
func (c *Conns) Attach(srv *http.Server, refuse http.Handler) {
	hook, contextHook, next := srv.ConnState, srv.ConnContext, srv.Handler
	c.headerTimeout = srv.ReadHeaderTimeout
	srv.ConnState = func(conn net.Conn, state http.ConnState) {
		if hook != nil {
			hook(conn, state)
		}
		c.SetState(conn, state)
	}
	srv.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if contextHook != nil {
			ctx = contextHook(ctx, conn)
		}
		return context.WithValue(ctx, connContextKey{}, conn)
	}
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connContextKey{}).(net.Conn)
		if !c.beginRequest(conn) {
			refuse.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// connContextKey is the key of the connection in a request's context.
type connContextKey struct{}

// SetState records a change of a connection's state.
func (c *Conns) SetState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.states == nil {
		c.states, c.closing = map[net.Conn]connState{}, map[net.Conn]struct{}{}
	}
	_, open := c.states[conn]
	switch {
	case state == http.StateClosed, state == http.StateHijacked:
		delete(c.states, conn)
		delete(c.closing, conn)
	case state == http.StateNew, open: // else closeUnused has closed it
		c.states[conn] = newConnState(conn, state)
	}
}

// beginRequest marks a connection as active; it returns false if the connection was closed.
func (c *Conns) beginRequest(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	current, open := c.states[conn]
	if open && current.state != http.StateActive {
		c.states[conn] = newConnState(conn, http.StateActive)
	}
	return open
}

// closeUnused closes unused connections in a stop that began at began, and returns whether none
// is left that has a request running or may still carry one; allClosed tells when those that it
// closed are gone. It closes connections that have been idle for linger and, once the stop has
// lasted for linger, all idle ones and those on which no first request has begun to arrive for
// linger. The caller of a response that ends so late may not have been told to use another server,
// and little time would be left for its next request.
func (c *Conns) closeUnused(began, now time.Time, linger time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	drained := true
	for conn, current := range c.states {
		unused, stopping := now.Sub(current.since), now.Sub(began)
		newTooShort := min(unused, stopping) < linger
		idleTooShort := max(unused, stopping) < linger
		switch {
		case current.state == http.StateActive,
			current.state == http.StateNew && newTooShort,
			current.state == http.StateIdle && idleTooShort:
			drained = false
		case c.requestBegun(conn, stopping-linger):
			drained = false // it is served or refused when it is complete
		default:
			c.close(conn)
		}
	}
	c.keepReadsEnded()
	return drained
}

// requestBegun reports whether a part of a request has arrived on a new or idle connection since
// its state began, and is not overdue. What was read is overdue when waited has exceeded the
// header timeout: net/http applies that only from the fifth byte after a response on, so that a
// stray line end would hold a stop for the idle timeout.
func (c *Conns) requestBegun(conn net.Conn, waited time.Duration) bool {
	tracked := trackedConnOf(conn)
	if tracked == nil {
		return false
	}
	if tracked.hasUnread() { // before the count: bytes move from here to there
		return true
	}
	overdue := c.headerTimeout > 0 && waited > c.headerTimeout
	current := c.states[conn]
	return !overdue && (tracked.count() > current.bytesRead || current.holdsNextRequest(tracked))
}

// idleDeadlines is how many read deadlines net/http sets on an idle connection before it has four bytes
// of the next request: that of the idle timeout.
const idleDeadlines = 1

// holdsNextRequest reports whether net/http has begun to read the next request on an idle connection. Its
// bytes may have come together with the request before, so that none has been read since.
func (s connState) holdsNextRequest(tracked *trackedConn) bool {
	return s.state == http.StateIdle && tracked.deadlineCount()-s.deadlines > idleDeadlines
}

// CloseIdle closes an idle connection unless a part of a request has arrived on it.
func (c *Conns) CloseIdle(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current, open := c.states[conn]; open && current.state == http.StateIdle && !c.requestBegun(conn, 0) {
		c.close(conn)
	}
}

// close makes the server stop waiting for a request on a connection, which closes it. A request
// that the server has already read is refused with a response.
func (c *Conns) close(conn net.Conn) {
	delete(c.states, conn)
	c.closing[conn] = struct{}{}
	if tracked := trackedConnOf(conn); tracked != nil {
		tracked.endReads()
		return
	}
	interruptRead(conn)
}

// keepReadsEnded repeats what close did, since the server may have set another deadline meanwhile.
func (c *Conns) keepReadsEnded() {
	for conn := range c.closing {
		if tracked := trackedConnOf(conn); tracked != nil {
			tracked.keepReadsEnded()
		}
	}
}

// allClosed reports whether the server has closed all connections that closeUnused closed.
func (c *Conns) allClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.closing) == 0
}

// closeUnusedDuring closes unused connections for d, or until ctx ends.
func (c *Conns) closeUnusedDuring(ctx context.Context, d, linger time.Duration) {
	for began := time.Now(); time.Since(began) < d; {
		c.closeUnused(began, time.Now(), linger)
		if !wait.For(ctx, pollInterval) {
			return
		}
	}
}

// awaitDrained returns nil once all connections are closed, or ctx's error if ctx has ended.
func (c *Conns) awaitDrained(ctx context.Context, began time.Time, linger time.Duration) error {
	for !c.closeUnused(began, time.Now(), linger) || !c.allClosed() {
		if !wait.For(ctx, pollInterval) {
			return ctx.Err()
		}
	}
	return ctx.Err()
}
