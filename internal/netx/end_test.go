package netx

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// endingConn is a connection on which some bytes arrive before its end. The body of a request is not taken.
type endingConn struct {
	net.Conn // its other methods do nothing of note
	bytes    io.Reader
	writeErr error         // of writes behind the head; nil: they succeed
	asked    chan struct{} // closed by the write of the head; reads wait for it
	answered chan struct{} // writes behind the head wait until it is closed
}

// Read implements net.Conn.
func (c *endingConn) Read(p []byte) (int, error) {
	<-c.asked
	return c.bytes.Read(p)
}

// Write implements net.Conn.
func (c *endingConn) Write(p []byte) (int, error) {
	if strings.HasPrefix(string(p), http.MethodPost) {
		close(c.asked)
		return len(p), nil
	}
	<-c.answered
	if c.writeErr == nil {
		return len(p), nil
	}
	return 0, c.writeErr
}

// TestEndAfterFailedWrite guards against a part of a response that looks whole since its connection ends: the write of the
// request has taken the only error by which the kernel reports a reset.
func TestEndAfterFailedWrite(t *testing.T) {
	for name, head := range map[string]string{
		"no length": "HTTP/1.1 200 OK\r\n\r\n",
		"close":     "HTTP/1.1 404 Not Found\r\nConnection: close\r\n\r\n",
		"HTTP/1.0":  "HTTP/1.0 201 Created\r\n\r\n",
		"events":    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
	} {
		for what, writeErr := range map[string]error{"sound": nil, "reset": syscall.ECONNRESET, "broken pipe": syscall.EPIPE} {
			t.Run(name+" "+what, func(t *testing.T) {
				is := is.New(t)
				near, far := net.Pipe()
				defer far.Close()
				conn := &endingConn{Conn: near, bytes: strings.NewReader(head + "a part"), writeErr: writeErr,
					asked: make(chan struct{}), answered: make(chan struct{})}
				written := make(chan struct{})
				ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { close(written) }})
				transport := NewTransport(TransportOptions{Dial: func(context.Context, string, string) (net.Conn, error) { return conn, nil }})
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://t/", SingleUseBody(strings.NewReader(strings.Repeat("x", 1<<20))))
				is.NoErr(err)
				resp, err := transport.RoundTrip(req)
				is.NoErr(err)
				defer resp.Body.Close()
				close(conn.answered)
				<-written // or failed
				_, err = io.ReadAll(resp.Body)
				is.Equal(err == nil, writeErr == nil)
			})
		}
	}
}

// TestEndOfTCP guards against a reset that is taken for the peer's end after another call has taken its error, and against
// an ordinary end that is taken for a reset.
func TestEndOfTCP(t *testing.T) {
	reset := func(c *net.TCPConn) {
		_ = c.SetLinger(0) // fails only if it is closed
		c.Close()
	}
	for name, c := range map[string]struct {
		end   func(*net.TCPConn)
		clean bool
	}{
		"closed":        {func(c *net.TCPConn) { c.Close() }, true},
		"half closed":   {func(c *net.TCPConn) { _ = c.CloseWrite() }, true}, // the read shows whether it failed
		"reset":         {reset, false},
		"end and reset": {func(c *net.TCPConn) { _ = c.CloseWrite(); reset(c) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dialled, accepted := tcpPair(t)
			c.end(accepted)
			for !c.clean { // takes the error past the wrapper
				if _, err := dialled.Write([]byte("x")); err != nil {
					break
				}
			}
			_, err := VerifyEnd(dialled).Read(make([]byte, 1))
			is.Equal(errors.Is(err, io.EOF), c.clean)
			var abrupt *AbruptEndError
			is.Equal(errors.As(err, &abrupt), !c.clean)
		})
	}
}

// tcpPair returns both ends of a connection.
func tcpPair(t *testing.T) (dialled, accepted *net.TCPConn) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	near, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	far, err := ln.Accept()
	is.NoErr(err)
	t.Cleanup(func() { near.Close(); far.Close() })
	return near.(*net.TCPConn), far.(*net.TCPConn)
}
