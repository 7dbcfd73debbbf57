package connlimit

import (
	"context"
	"net"
	"net/http"

	"github.com/shedhoist/shedhoist/internal/core/eviction"
	"github.com/shedhoist/shedhoist/internal/metric"
)

// connKey is the key of the connection in a request's context.
type connKey struct{}

// Attach installs hooks in the server that follow its connections. A request for which there is no room goes to refuse,
// which must not run it; nil: its connection is closed. The server's own hooks are still called. It must be called before
// the server serves.
func (l *Limiter) Attach(srv *http.Server, refuse http.Handler) {
	if refuse == nil {
		refuse = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	}
	onState, onContext, next := srv.ConnState, srv.ConnContext, srv.Handler
	srv.ConnState = func(conn net.Conn, state http.ConnState) {
		if onState != nil {
			onState(conn, state)
		}
		if c, ok := conn.(*Conn); ok {
			c.setState(state)
		}
	}
	srv.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if onContext != nil {
			ctx = onContext(ctx, conn)
		}
		if c, ok := conn.(*Conn); ok {
			ctx = context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromRequest(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		c.handle(w, r, next, refuse)
	})
}

// handle serves a request that came on a connection.
func (c *Conn) handle(w http.ResponseWriter, r *http.Request, next, refuse http.Handler) {
	defer c.endRequest()
	if c.beginRequest(r) {
		next.ServeHTTP(w, r)
	} else {
		refuse.ServeHTTP(w, r)
	}
	if c.isEvicted() {
		panic(http.ErrAbortHandler) // the server would otherwise wait for the caller to notice the close
	}
}

// FromRequest returns the connection on which a request came, or nil if its server has no limiter. All methods that
// handlers use may be called on nil.
func FromRequest(r *http.Request) *Conn { return FromContext(r.Context()) }

// FromContext is FromRequest with the request's context.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// beginRequest replaces what was reserved for the head by what the request costs. It returns false if there is no room.
func (c *Conn) beginRequest(r *http.Request) bool {
	c.mu.Lock()
	held := c.parsedHeld
	c.mu.Unlock()
	costs, size := c.limiter.options.Costs, parsedSize(r)
	parsed, cost := costs.ofHead(size)+costs.Unread, costs.ofRequest(size)+costs.Unread
	c.setParsedHeld(min(held, parsed))
	if cost <= held {
		c.Release(held - cost)
	} else if !c.Reserve(cost - held) {
		return false
	}
	c.setParsedHeld(parsed)
	return r.ContentLength != 0 || c.RequestWhole()
}

func (c *Conn) setParsedHeld(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parsedHeld = n
}

// RequestWhole notes that the request on the connection has been received whole: the connection is not evicted from now
// on, until the response has been written. It returns false if the request can't be run: the connection has been evicted
// before, or requests under work use up the descriptors.
func (c *Conn) RequestWhole() bool {
	if c == nil {
		return true
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == eviction.Running:
		return true
	case c.evicted:
		return false
	case !c.limiter.mayRun():
		c.noDescriptor = true
		metric.RequestsRefused(c.limiter.options.Name, "descriptors").Inc()
		return false
	}
	c.phase = eviction.Running
	c.limiter.running++
	unread := c.limiter.options.Costs.Unread // CountUnread counts what there is from now on
	c.parsedHeld -= unread
	c.releaseBytes(unread)
	return true
}

// DescriptorsError reports that requests under work use up the descriptors.
type DescriptorsError struct{}

// Error implements error.
func (*DescriptorsError) Error() string {
	return "the requests in hand use up this instance's descriptors"
}

// LacksDescriptors reports whether the request on the connection can't be run since others use up the descriptors.
func (c *Conn) LacksDescriptors() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.noDescriptor
}

// endRequest releases all that the request holds, but its head: the server refers to that until it awaits the next one or
// has closed the connection, which takes half a second if the caller was to notice a refusal.
//
// The last of the response may not be written yet, so that a whole request remains safe from eviction.
func (c *Conn) endRequest() {
	c.mu.Lock()
	wasRunning, parsed := c.phase == eviction.Running, c.parsedHeld
	c.mu.Unlock()
	c.releaseBytes(c.requestHeld.Load() - parsed)
	c.limiter.requestEnded(wasRunning)
}
