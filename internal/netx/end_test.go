package netx

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

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
// request has taken the only error by which the kernel reports a reset, or fails only after that end.
func TestEndAfterFailedWrite(t *testing.T) {
	for name, head := range map[string]string{
		"no length": "HTTP/1.1 200 OK\r\n\r\n",
		"close":     "HTTP/1.1 404 Not Found\r\nConnection: close\r\n\r\n",
		"HTTP/1.0":  "HTTP/1.0 201 Created\r\n\r\n",
		"events":    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
	} {
		for what, writeErr := range map[string]error{"sound": nil, "reset": syscall.ECONNRESET, "broken pipe": syscall.EPIPE} {
			t.Run(name+" "+what, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					conn, written, resp := early(t, head+"a part", writeErr)
					close(conn.answered)
					<-written // or failed
					_, err := io.ReadAll(resp.Body)
					is.New(t).Equal(err == nil, writeErr == nil)
				})
			})
			t.Run(name+" "+what+" after the end", func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					conn, written, resp := early(t, head+"a part", writeErr)
					time.AfterFunc(time.Minute, func() { close(conn.answered) })
					_, err := io.ReadAll(resp.Body)
					<-written // or failed
					is.New(t).Equal(err == nil, writeErr == nil)
				})
			})
		}
	}
}

// TestEarlyBodyWithLength guards against a response that is held back although its length shows that it is whole.
func TestEarlyBodyWithLength(t *testing.T) {
	for name, rest := range map[string]string{"length": "Content-Length: 5\r\n\r\nwhole", "chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				conn, _, resp := early(t, "HTTP/1.1 200 OK\r\n"+rest, nil)
				defer close(conn.answered) // only then can the request be written
				body, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.Equal(string(body), "whole")
			})
		})
	}
}

// TestResponseWithoutBodyKeepsConn guards against a kept connection on which the end of a body is awaited that there is none of:
// net/http reads it for the next response meanwhile.
func TestResponseWithoutBodyKeepsConn(t *testing.T) {
	for name, head := range map[string]string{"no length": "\r\n", "chunks": "Transfer-Encoding: chunked\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			near, far := net.Pipe()
			defer far.Close()
			go func() {
				requests := bufio.NewReader(far)
				for {
					if _, err := http.ReadRequest(requests); err != nil {
						return // the test has ended
					}
					_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\n"+head) // the client sees what failed
				}
			}()
			var conns []*VerifiedConn
			dial := func(context.Context, string, string) (net.Conn, error) { return near, nil }
			ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
				conns = append(conns, info.Conn.(*VerifiedConn))
			}})
			transport := NewTransport(TransportOptions{MaxIdlePerHost: 1, Dial: dial})
			defer transport.CloseIdleConnections()
			for range 2 {
				req, err := http.NewRequestWithContext(ctx, http.MethodHead, "http://t/", nil)
				is.NoErr(err)
				resp, err := transport.RoundTrip(req)
				is.NoErr(err)
				resp.Body.Close()
			}
			is.Equal(conns[0], conns[1])
			is.True(conns[0].sent == nil)
		})
	}
}

// early sends a long request that is answered with response, of which its server has read the head alone. Writes of the rest
// wait until conn.answered is closed and end with writeErr; written is closed once that is so.
func early(t *testing.T, response string, writeErr error) (conn *endingConn, written chan struct{}, resp *http.Response) {
	is := is.New(t)
	near, far := net.Pipe()
	t.Cleanup(func() { far.Close() })
	conn = &endingConn{Conn: near, bytes: strings.NewReader(response), writeErr: writeErr, asked: make(chan struct{}), answered: make(chan struct{})}
	written = make(chan struct{})
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { close(written) }})
	transport := NewTransport(TransportOptions{Dial: func(context.Context, string, string) (net.Conn, error) { return conn, nil }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://t/", SingleUseBody(strings.NewReader(strings.Repeat("x", 1<<20))))
	is.NoErr(err)
	resp, err = transport.RoundTrip(req)
	is.NoErr(err)
	t.Cleanup(func() { resp.Body.Close() })
	return conn, written, resp
}

// TestEndOfTCP guards against a reset that is taken for the peer's end after another call has taken its error, and against
// an ordinary end that is taken for a reset.
func TestEndOfTCP(t *testing.T) {
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

// TestEndBeforeAcknowledgement guards against an end that is relied on while the peer may still reset the connection: it has
// not received all that was written.
func TestEndBeforeAcknowledgement(t *testing.T) {
	for name, c := range map[string]struct {
		goOn  func(c *net.TCPConn, unread int)
		clean bool
	}{
		"reads the rest": {func(c *net.TCPConn, unread int) { _, _ = io.CopyN(io.Discard, c, int64(unread)) }, true}, // the end shows whether it failed
		"resets":         {func(c *net.TCPConn, _ int) { reset(c) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dialled, accepted := tcpPair(t)
			unread := fill(t, dialled)
			is.NoErr(accepted.CloseWrite())
			sent := make(chan struct{})
			close(sent)
			conn := VerifyEnd(dialled)
			conn.awaitSent(sent)
			ended := make(chan error, 1)
			go func() {
				_, err := conn.Read(make([]byte, 1))
				ended <- err
			}()
			select {
			case err := <-ended:
				t.Fatalf("ended with %v before the peer went on", err)
			case <-time.After(20 * time.Millisecond):
			}
			c.goOn(accepted, unread)
			is.Equal(errors.Is(<-ended, io.EOF), c.clean)
		})
	}
}

// reset closes a connection so that its peer's is reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0) // fails only if it is closed
	c.Close()
}

// fill writes to a connection that is not read until the kernel takes no more, and returns how many bytes it took.
func fill(t *testing.T, conn *net.TCPConn) int {
	is := is.New(t)
	for total := 0; ; {
		is.NoErr(conn.SetWriteDeadline(time.Now().Add(50 * time.Millisecond)))
		n, err := conn.Write(make([]byte, 1<<20))
		total += n
		if n == 0 {
			is.True(errors.Is(err, os.ErrDeadlineExceeded))
			return total
		}
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
