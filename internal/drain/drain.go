// Package drain shuts an HTTP server down without losing a request that callers have sent.
//
// http.Server.Shutdown closes connections on which a request arrives after the call, without a
// response, and callers can't tell that the request did not run. This package therefore calls
// Shutdown only when no connection is in use any more. Requests that arrive before that are
// served, and their responses close the connections if the handler asks for it.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/wait"
)

// pollInterval is the interval at which Stop checks whether the connections are drained.
const pollInterval = 20 * time.Millisecond

// Conns tracks the open connections of a server. The zero value is ready for use. Attach must be
// called before the server serves.
type Conns struct {
	mu     sync.Mutex
	states map[net.Conn]connState
}

// connState is the state of a connection and the time when it began.
type connState struct {
	state http.ConnState
	since time.Time
}

// Attach installs hooks in the server that track its connections and abort requests that begin on
// a connection that was closed. The server's own ConnState hook is still called.
func (c *Conns) Attach(srv *http.Server) {
	hook, next := srv.ConnState, srv.Handler
	srv.ConnState = func(conn net.Conn, state http.ConnState) {
		if hook != nil {
			hook(conn, state)
		}
		c.SetState(conn, state)
	}
	srv.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connContextKey{}, conn)
	}
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connContextKey{}).(net.Conn)
		if !c.beginRequest(conn) {
			panic(http.ErrAbortHandler) // the caller has seen the connection close
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
		c.states = map[net.Conn]connState{}
	}
	_, open := c.states[conn]
	switch {
	case state == http.StateClosed, state == http.StateHijacked:
		delete(c.states, conn)
	case state == http.StateNew, open: // else closeUnused has closed it
		c.states[conn] = connState{state: state, since: time.Now()}
	}
}

// beginRequest marks a connection as active; it returns false if the connection was closed.
func (c *Conns) beginRequest(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	current, open := c.states[conn]
	if open && current.state != http.StateActive {
		c.states[conn] = connState{state: http.StateActive, since: time.Now()}
	}
	return open
}

// closeUnused closes unused connections in a stop that began at began, and returns whether none
// is left that has a request running or may still carry one. It closes connections that have
// been idle for linger and, once the stop has lasted for linger, all idle ones and those on
// which no first request has arrived for linger. The caller of a response that ends so late was
// not told to use another server, and little time would be left for its next request.
func (c *Conns) closeUnused(began, now time.Time, linger time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	drained := true
	for conn, current := range c.states {
		unused := now.Sub(current.since)
		switch {
		case current.state == http.StateActive,
			current.state == http.StateNew && min(unused, now.Sub(began)) < linger,
			current.state == http.StateIdle && max(unused, now.Sub(began)) < linger:
			drained = false
		default:
			conn.Close()
			delete(c.states, conn)
		}
	}
	return drained
}

// awaitDrained returns nil once all connections are closed, or ctx's error if ctx has ended.
func (c *Conns) awaitDrained(ctx context.Context, linger time.Duration) error {
	for began := time.Now(); !c.closeUnused(began, time.Now(), linger); {
		if !wait.For(ctx, pollInterval) {
			return ctx.Err()
		}
	}
	return ctx.Err()
}

// Stop shuts down a server that was already taken out of rotation.
//
// A connection that carries no request for linger is closed, and so is a new one on which no
// complete request has arrived by then: a caller that chose this server before it was taken out
// of rotation has sent its request within linger, unless its machine is stalled for longer.
// Connections that become idle after linger are closed at once. New connections are accepted for
// linger/2: a load balancer without another server to choose keeps opening them, and the running
// requests must not wait for them.
//
// If ctx ends first Stop returns ctx's error and the running requests continue; aborting them is
// up to the caller.
func Stop(ctx context.Context, srv *http.Server, ln net.Listener, conns *Conns, linger time.Duration) error {
	acceptCtx, cancel := context.WithTimeout(ctx, linger/2)
	defer cancel()
	_ = conns.awaitDrained(acceptCtx, linger) // callers may still connect; that is no failure
	ln.Close()
	if err := conns.awaitDrained(ctx, linger); err != nil {
		return err
	}
	return srv.Shutdown(ctx)
}
