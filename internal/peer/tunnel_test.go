package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/netx"
)

// tunnelFixture is a peer that opens tunnels to one target, and a pool that uses them.
type tunnelFixture struct {
	pool    *Pool
	server  *Server
	via     string
	target  net.Listener
	carried chan struct{} // gets a value for each tunnel that has ended

	wrapTarget func(net.Conn) net.Conn // wraps the peer's connections to the target; nil: none
}

func newTunnelFixture(t testing.TB, status TunnelStatus) *tunnelFixture {
	is := is.New(t)
	sec := Security{Secret: []byte("s")}
	f := &tunnelFixture{pool: NewPool(sec, time.Now), carried: make(chan struct{}, 8)}
	var err error
	f.target, err = net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	f.server, err = NewServerFor("Peer", &rpcService{pool: f.pool}, sec)
	is.NoErr(err)
	f.server.SetTunnels(func(ctx context.Context, address string) (net.Conn, TunnelStatus, func()) {
		done := func() { f.carried <- struct{}{} }
		if status != TunnelOpen {
			return nil, status, done
		}
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, TunnelRefused, done
		}
		if f.wrapTarget != nil {
			conn = f.wrapTarget(conn)
		}
		return conn, TunnelOpen, done
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	f.via = ln.Addr().String()
	go func() { _ = f.server.Serve(ln) }()
	t.Cleanup(func() {
		f.server.Close()
		ln.Close()
		f.target.Close()
	})
	return f
}

// open opens a tunnel and returns both ends.
func (f *tunnelFixture) open(t *testing.T) (user, target net.Conn) {
	is := is.New(t)
	user, err := f.pool.DialTunnel(t.Context(), f.via, f.target.Addr().String())
	is.NoErr(err)
	target, err = f.target.Accept()
	is.NoErr(err)
	t.Cleanup(func() { user.Close(); target.Close() })
	return user, target
}

// TestTunnelCarriesBothWays checks that bytes pass in both directions, more than one message of
// them, and that the target's end is an end for the user.
func TestTunnelCarriesBothWays(t *testing.T) {
	is := is.New(t)
	f := newTunnelFixture(t, TunnelOpen)
	user, target := f.open(t)
	question, answer := strings.Repeat("q", 3*maxTunnelMessage+1), strings.Repeat("a", 3*maxTunnelMessage+1)
	go func() { _, _ = io.WriteString(user, question) }()
	got := make([]byte, len(question))
	_, err := io.ReadFull(target, got)
	is.NoErr(err)
	is.Equal(string(got), question)
	go func() {
		_, _ = io.WriteString(target, answer)
		target.Close()
	}()
	whole, err := io.ReadAll(user)
	is.NoErr(err)
	is.Equal(string(whole), answer)
	user.Close()
	<-f.carried
}

// TestTunnelEndIsNotTargetsEnd guards against an answer without a length that looks whole though its
// target reset the connection, or the peer ended midway.
func TestTunnelEndIsNotTargetsEnd(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(f *tunnelFixture, target net.Conn)
	}{
		{"target resets", func(_ *tunnelFixture, target net.Conn) {
			_ = target.(*net.TCPConn).SetLinger(0)
			target.Close()
		}},
		{"peer ends", func(f *tunnelFixture, _ net.Conn) { f.server.Close() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newTunnelFixture(t, TunnelOpen)
			user, target := f.open(t)
			_, err := io.WriteString(target, "part")
			is.NoErr(err)
			_, err = io.ReadFull(user, make([]byte, len("part")))
			is.NoErr(err)
			c.end(f, target)
			_, err = user.Read(make([]byte, 1))
			is.True(err != nil)
			is.True(!errors.Is(err, io.EOF))
		})
	}
}

// resetConn is a connection that was reset. Its Write takes the only error by which the kernel reports that, and Read sees an
// ordinary end from then on, also before Write has returned.
type resetConn struct {
	*net.TCPConn
	errorTaken chan struct{} // closed once Write has taken it
}

// Write implements net.Conn.
func (c *resetConn) Write(p []byte) (n int, err error) {
	for err == nil {
		n, err = c.TCPConn.Write(p) // succeeds until the reset has arrived
	}
	close(c.errorTaken)
	return n, err
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	<-c.errorTaken
	return c.TCPConn.Read(p)
}

// NetConn returns the wrapped connection.
func (c *resetConn) NetConn() net.Conn { return c.TCPConn }

// TestTunnelEndAfterFailedWrite guards against a part of an answer that looks whole at the user of a tunnel: the target has
// reset the connection while the peer was writing to it.
func TestTunnelEndAfterFailedWrite(t *testing.T) {
	is := is.New(t)
	f := newTunnelFixture(t, TunnelOpen)
	f.wrapTarget = func(conn net.Conn) net.Conn {
		return &resetConn{TCPConn: conn.(*net.TCPConn), errorTaken: make(chan struct{})}
	}
	user, target := f.open(t)
	is.NoErr(target.(*net.TCPConn).SetLinger(0))
	target.Close()
	_, err := io.WriteString(user, "question")
	is.NoErr(err)
	_, err = user.Read(make([]byte, 1))
	is.True(err != nil)
	is.True(!errors.Is(err, io.EOF))
}

// TestTunnelEarlyEnd guards against a part of an answer that looks whole at the user of a tunnel, since its target ends its
// bytes and resets the connection later, while the peer is still writing to it; and against a whole answer that is refused
// since the rest of the request takes long, or its user is slow to read it.
func TestTunnelEarlyEnd(t *testing.T) {
	readRest := func(target *net.TCPConn) { _, _ = io.Copy(io.Discard, target) } // ends as the user closes the tunnel
	reset := func(target *net.TCPConn) {
		<-time.After(5 * time.Millisecond)
		_ = target.SetLinger(0) // fails only if the connection is closed
	}
	for name, c := range map[string]struct {
		readFirst bool // the target reads the whole request before it answers
		end       func(target *net.TCPConn)
		pause     time.Duration // before the user reads the answer
		want      bool
	}{
		"reset":                   {end: reset},
		"reset, answer read late": {end: reset, pause: 2 * tunnelLinger},
		"reads the rest":          {end: readRest, want: true},
		"reads the rest slowly": {end: func(target *net.TCPConn) {
			for range 5 {
				<-time.After(tunnelLinger / 4)
				_, _ = io.CopyN(io.Discard, target, 1<<20) // the user sees what failed
			}
			readRest(target)
		}, want: true},
		"answer read late":               {readFirst: true, end: readRest, pause: 2 * tunnelLinger, want: true},
		"early answer read late":         {end: readRest, pause: 2 * tunnelLinger, want: true},
		"answer of a target that closes": {readFirst: true, end: func(*net.TCPConn) {}, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newTunnelFixture(t, TunnelOpen)
			go func() {
				target, err := f.target.Accept()
				if err != nil {
					return // the test has ended
				}
				defer target.Close()
				req, err := http.ReadRequest(bufio.NewReader(target))
				if err != nil {
					return // the same
				}
				if c.readFirst {
					_, _ = io.Copy(io.Discard, req.Body) // the user sees what failed
				}
				_, _ = io.WriteString(target, "HTTP/1.1 200 OK\r\n\r\na part") // the same
				_ = target.(*net.TCPConn).CloseWrite()                         // the same
				c.end(target.(*net.TCPConn))
			}()
			transport := netx.NewTransport(netx.TransportOptions{Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
				return f.pool.DialTunnel(ctx, f.via, address)
			}})
			const upload = 32 << 20 // more than the kernel holds
			body := netx.SingleUseBody(strings.NewReader(strings.Repeat("x", upload)))
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.target.Addr().String(), body)
			is.NoErr(err)
			req.ContentLength = upload
			resp, err := transport.RoundTrip(req)
			if err == nil {
				<-time.After(c.pause)
				_, err = io.ReadAll(resp.Body)
				resp.Body.Close()
			}
			if (err == nil) != c.want {
				t.Errorf("the answer ended with %v", err)
			}
			<-f.carried
		})
	}
}

// TestTunnelUserLeaves checks that a user that closes its end closes the connection to the target.
func TestTunnelUserLeaves(t *testing.T) {
	is := is.New(t)
	f := newTunnelFixture(t, TunnelOpen)
	user, target := f.open(t)
	user.Close()
	_, err := target.Read(make([]byte, 1))
	is.True(errors.Is(err, io.EOF))
	<-f.carried
}

// TestTunnelNotOpened checks that a user learns why it gets no tunnel.
func TestTunnelNotOpened(t *testing.T) {
	for _, status := range []TunnelStatus{TunnelRefused, TunnelUnanswered, TunnelDenied, TunnelUnable, TunnelBusy} {
		t.Run(status.String(), func(t *testing.T) {
			is := is.New(t)
			f := newTunnelFixture(t, status)
			_, err := f.pool.DialTunnel(t.Context(), f.via, "127.0.0.1:0")
			var refused *TunnelError
			is.True(errors.As(err, &refused))
			is.Equal(refused.Status, status)
		})
	}
}

// TestTunnelPeerSilent checks that a context ends the wait for a peer that accepts and says nothing.
func TestTunnelPeerSilent(t *testing.T) {
	is := is.New(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer silent.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		if conn, err := silent.Accept(); err == nil {
			defer conn.Close()
			_, _ = io.ReadFull(conn, make([]byte, nonceSize)) // the user waits for its answer
			cancel()
			_, _ = io.Copy(io.Discard, conn)
		}
	}()
	_, err = NewPool(Security{Secret: []byte("s")}, time.Now).DialTunnel(ctx, silent.Addr().String(), "127.0.0.1:0")
	var failed *TunnelError
	is.True(errors.As(err, &failed))
	is.Equal(failed.Status, TunnelStatus(0))
}
