// Package drain stops HTTP servers without losing a request that callers have sent.
//
// Closing a listener resets the connections that the kernel has established and the process has
// not accepted yet, and http.Server.Shutdown closes connections on which a request arrives after
// the call, without a response. In both cases callers can't tell that the request did not run.
// A Server therefore accepts all established connections before it closes its listener, and calls
// Shutdown only when no connection is left.
package drain

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/shedhoist/shedhoist/internal/problem"
)

// pollInterval is the interval at which Stop checks whether the connections are drained.
const pollInterval = 20 * time.Millisecond

// Server is an HTTP server with one listener.
type Server struct {
	http   *http.Server
	ln     *listener
	tls    *tls.Config // nil: plain HTTP
	log    log.Interface
	wrap   func(net.Listener) net.Listener // nil: none
	conns  Conns
	served chan struct{} // closed when Serve returns

	stopping   atomic.Bool
	closesIdle atomic.Bool // connections are closed as they become idle
}

// NewServer returns a server that will accept connections from ln, with TLS if tlsConfig is not
// nil. It adds hooks to srv; srv's own ConnState hook is still called.
func NewServer(srv *http.Server, ln net.Listener, tlsConfig *tls.Config, logger log.Interface) *Server {
	s := &Server{http: srv, ln: newListener(ln, logger), tls: tlsConfig, log: logger, served: make(chan struct{})}
	srv.Handler = s.closeAfterResponse(srv.Handler)
	s.conns.Attach(srv, http.HandlerFunc(s.refuse))
	return s
}

// closeAfterResponse tells callers to use another connection for the next request, in the responses
// to requests that begin during a stop and in those that begin when idle connections are closed.
func (s *Server) closeAfterResponse(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		writer := &closeAnnouncer{ResponseWriter: w, closesIdle: &s.closesIdle}
		next.ServeHTTP(writer, r)
		writer.announce() // of a response without a body
	})
}

// Serve accepts and serves connections until the listener is closed. It must be called once.
func (s *Server) Serve() error {
	defer close(s.served)
	var ln net.Listener = s.ln
	if s.tls != nil {
		ln = tls.NewListener(ln, s.tls)
	}
	if s.wrap != nil {
		ln = s.wrap(ln)
	}
	return s.http.Serve(ln)
}

// WrapListener sets a function that wraps the listener from which the server takes its connections, with TLS if it has
// it. Connections that it wraps must have a method NetConn, as those of crypto/tls. It must be called before Serve.
func (s *Server) WrapListener(wrap func(net.Listener) net.Listener) { s.wrap = wrap }

// Close closes the listener and all connections without waiting for requests.
func (s *Server) Close() error {
	_ = s.ln.Close() // Serve may not have begun; an error means that it is closed
	return s.http.Close()
}

// CloseIdle closes an idle connection unless a part of a request has arrived on it.
func (s *Server) CloseIdle(conn net.Conn) { s.conns.CloseIdle(conn) }

// Stop shuts down a server that was already taken out of rotation. It always takes these steps:
//
//  1. From now on responses close their connections. For linger/2 it goes on accepting
//     connections: a load balancer that has no other server, or is late, still opens them. The
//     running requests must not wait for them for longer.
//  2. It ignores new attempts to connect, accepts the connections that are established, closes
//     the listener and waits until each of the accepted ones is tracked.
//  3. It waits until no connection is left. Those that carry no request for linger are closed:
//     a caller that chose this server before it was taken out of rotation has begun to send by
//     then, unless its machine is stalled for longer. Connections that become idle later than
//     linger are closed at once, which responses that begin then announce. One on which a part
//     of a request has arrived stays open until the request is complete, or the server's
//     ReadHeaderTimeout ends it. Here linger counts from the end of step 1.
//
// If ctx ends first Stop returns ctx's error and the running requests continue; aborting them is
// up to the caller.
func (s *Server) Stop(ctx context.Context, linger time.Duration) error {
	s.stopping.Store(true)
	s.conns.closeUnusedDuring(ctx, linger/2, linger)
	s.ln.endIntake()
	began := time.Now()
	lingerOver := time.AfterFunc(linger, func() { s.closesIdle.Store(true) })
	defer lingerOver.Stop()
	if err := s.awaitServed(ctx, began, linger); err != nil {
		return err
	}
	if err := s.conns.awaitDrained(ctx, began, linger); err != nil {
		return err
	}
	return s.http.Shutdown(ctx)
}

// Times of StopAdmin.
const (
	adminLinger  = 100 * time.Millisecond
	adminTimeout = time.Second
)

// StopAdmin stops the servers whose requests are short and come from operators, monitoring or a
// load balancer's health check, all at the same time. It closes those that have not stopped within
// adminTimeout or when ctx ends. A nil server is ignored.
func StopAdmin(ctx context.Context, servers ...*Server) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	var stops sync.WaitGroup
	for _, s := range servers {
		if s != nil {
			stops.Go(func() { s.stopOrClose(ctx, adminLinger) })
		}
	}
	stops.Wait()
}

// stopOrClose stops the server and closes it if ctx ends first.
func (s *Server) stopOrClose(ctx context.Context, linger time.Duration) {
	if err := s.Stop(ctx, linger); err != nil {
		s.log.WithError(err).WithField("address", s.ln.Addr().String()).Warn("server closed before its requests ended")
		s.Close()
	}
}

// awaitServed waits until Serve has returned. By then net/http has reported each accepted
// connection as http.StateNew, so all of them are tracked. Meanwhile it closes unused
// connections: Accept may need their file descriptors.
func (s *Server) awaitServed(ctx context.Context, began time.Time, linger time.Duration) error {
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		select {
		case <-s.served:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case now := <-poll.C:
			s.conns.closeUnused(began, now, linger)
		}
	}
}

// retryAfter is the Retry-After of a refused request: another instance can take it at once.
const retryAfter = time.Second

// refuse responds to a request that arrived while its connection was being closed for lack of use.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request) {
	s.log.WithField("caller", r.RemoteAddr).WithField("path", r.URL.Path).Info("refused: its connection was being closed")
	w.Header().Set("Connection", "close")
	p := problem.New(problem.Draining, "this connection is being closed")
	p.RetryAfter = retryAfter
	p.Write(w)
}
