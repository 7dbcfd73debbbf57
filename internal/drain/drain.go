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

// Times after which a connection is taken to bring no request.
const (
	// lull is how long one that was used before must have been unused. A caller that chose
	// this server before it was taken out of rotation has sent by then, even on a machine
	// that is busy for some hundred ms; one that takes an old connection up at this very
	// moment must try again.
	lull = time.Second
	// newLimit is how long one on which no whole request came yet is waited for, from the
	// stop on: its caller sends at once, and may have begun to.
	newLimit = time.Second
	// acceptFor is how long connections are accepted from the stop on. Callers that are held
	// up come within it; where a balancer has nobody else to send them to they come without
	// end, and what is in hand must not wait for them.
	acceptFor = 500 * time.Millisecond
	// pollEvery is how often it is looked at.
	pollEvery = 20 * time.Millisecond
)

// Conns are the connections of a server. The zero value knows of none.
type Conns struct {
	mu sync.Mutex
	m  map[net.Conn]use
}

// use is what a connection does, and since when.
type use struct {
	state http.ConnState
	since time.Time
}

// Note is the server's http.Server.ConnState hook.
func (c *Conns) Note(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(c.m, conn)
		return
	}
	if c.m == nil {
		c.m = map[net.Conn]use{}
	}
	c.m[conn] = use{state: s, since: time.Now()}
}

// quiet says whether no connection has a request in hand or may bring one, in a stop that
// began at that time. It closes those that have brought none for long: while others have
// requests in hand they would take further ones, for which little time is left.
func (c *Conns) quiet(began, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	quiet := true
	for conn, u := range c.m {
		unused := now.Sub(u.since)
		switch {
		case u.state == http.StateActive,
			u.state == http.StateNew && min(unused, now.Sub(began)) < newLimit,
			u.state == http.StateIdle && unused < lull:
			quiet = false
		default:
			conn.Close()
			delete(c.m, conn)
		}
	}
	return quiet
}

// await returns once all is quiet, or with ctx's error.
func (c *Conns) await(ctx context.Context) error {
	for began := time.Now(); !c.quiet(began, time.Now()); {
		if !wait.For(ctx, pollEvery) {
			return ctx.Err()
		}
	}
	return ctx.Err()
}

// Stop ends a server whose callers were told to go elsewhere. It goes on accepting for a
// while, since callers may be on their way, and serves until all is quiet. If ctx ends first
// it returns ctx's error, and what is in hand goes on: it is the caller's to cut.
func Stop(ctx context.Context, srv *http.Server, ln net.Listener, conns *Conns) error {
	accept, cancel := context.WithTimeout(ctx, acceptFor)
	defer cancel()
	_ = conns.await(accept) // that callers still come is no failure
	ln.Close()
	if err := conns.await(ctx); err != nil {
		return err
	}
	return srv.Shutdown(ctx)
}
