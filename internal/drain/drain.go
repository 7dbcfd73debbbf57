// Package drain ends an HTTP server without losing a request that its callers have sent.
//
// http.Server.Shutdown closes connections on which a request is read after it was called,
// without an answer, and callers can't tell that the request did not run. So nothing is
// shut down here before the server is quiet: requests that come meanwhile are served, and
// their answers end their connections if the handler says so.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/wait"
)

// pollEvery is how often a stop looks whether the server is quiet.
const pollEvery = 20 * time.Millisecond

// Conns are the connections of a server. The zero value knows of none. Attach must be called
// before the server serves.
type Conns struct {
	mu sync.Mutex
	m  map[net.Conn]use
}

// use is what a connection does, and since when.
type use struct {
	state http.ConnState
	since time.Time
}

// Attach makes the server tell of its connections, and lets no request begin on one that was
// closed. It calls the server's own ConnState hook as well.
func (c *Conns) Attach(srv *http.Server) {
	hook, next := srv.ConnState, srv.Handler
	srv.ConnState = func(conn net.Conn, s http.ConnState) {
		if hook != nil {
			hook(conn, s)
		}
		c.SetState(conn, s)
	}
	srv.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connKey{}).(net.Conn)
		if !c.begin(conn) {
			panic(http.ErrAbortHandler) // its caller has seen the connection end
		}
		next.ServeHTTP(w, r)
	})
}

// connKey is the context's key of a request's connection.
type connKey struct{}

// SetState takes a change of a connection's state.
func (c *Conns) SetState(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.m == nil {
		c.m = map[net.Conn]use{}
	}
	_, open := c.m[conn]
	switch {
	case s == http.StateClosed, s == http.StateHijacked:
		delete(c.m, conn)
	case s == http.StateNew, open: // else it was closed by a stop
		c.m[conn] = use{state: s, since: time.Now()}
	}
}

// begin notes that a request begins on a connection; it returns false if that was closed.
func (c *Conns) begin(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	u, open := c.m[conn]
	if open && u.state != http.StateActive {
		c.m[conn] = use{state: http.StateActive, since: time.Now()}
	}
	return open
}

// quiet says whether no connection has a request in hand or may bring one, in a stop that
// began at that time. It closes those that have brought none for as long as linger, and once
// the stop has lasted as long each that is unused: an answer that ends later leaves a
// connection whose caller was not told to go elsewhere, and little time for what it would send.
func (c *Conns) quiet(began, now time.Time, linger time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	quiet := true
	for conn, u := range c.m {
		unused := now.Sub(u.since)
		switch {
		case u.state == http.StateActive,
			u.state == http.StateNew && min(unused, now.Sub(began)) < linger,
			u.state == http.StateIdle && max(unused, now.Sub(began)) < linger:
			quiet = false
		default:
			conn.Close()
			delete(c.m, conn)
		}
	}
	return quiet
}

// await returns once all is quiet, or with ctx's error.
func (c *Conns) await(ctx context.Context, linger time.Duration) error {
	for began := time.Now(); !c.quiet(began, time.Now(), linger); {
		if !wait.For(ctx, pollEvery) {
			return ctx.Err()
		}
	}
	return ctx.Err()
}

// Stop ends a server whose callers were told to go elsewhere. A connection that is unused for
// as long as linger is closed, and so is one on which no whole request has come by then: a
// caller that chose this server before it was taken out of rotation has sent by then, unless
// its machine is held up for longer. One that falls unused later is closed at once. New ones
// are accepted for half as long: where a balancer has nobody else to send callers to they come
// without end, and what is in hand must not wait for them. If ctx ends first Stop returns
// ctx's error, and what is in hand goes on: it is the caller's to cut.
func Stop(ctx context.Context, srv *http.Server, ln net.Listener, conns *Conns, linger time.Duration) error {
	accept, cancel := context.WithTimeout(ctx, linger/2)
	defer cancel()
	_ = conns.await(accept, linger) // that callers still come is no failure
	ln.Close()
	if err := conns.await(ctx, linger); err != nil {
		return err
	}
	return srv.Shutdown(ctx)
}
