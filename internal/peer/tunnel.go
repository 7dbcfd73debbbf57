package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shedhoist/shedhoist/internal/netx"
)

// A tunnel carries the bytes of one connection to a target through a peer that reaches it. It uses
// a connection of its own, with messages of the codec: TunnelRequest, TunnelReply, and then
// tunnelData in both directions. The end of the target's bytes is a message, so that the end of
// the tunnel itself, as when the peer is killed, is never taken for it. A user that has to know whether
// the target has received its bytes sends their end. The peer then sends a delivered end once the target
// has received them all, after the target's end or in its place, and closes the tunnel if it can't.

// TunnelStatus says whether a tunnel was opened, and why not.
type TunnelStatus uint8

// Values of TunnelStatus.
const (
	TunnelOpen       TunnelStatus = iota + 1
	TunnelRefused                 // the target's host refused the connection
	TunnelUnanswered              // the target did not answer in time
	TunnelDenied                  // the peer knows no target at the address that gets requests
	TunnelUnable                  // the peer reaches no target itself, or is stopping
	TunnelBusy                    // the peer carries as many tunnels as it may
)

// String returns the status as it appears in logs.
func (s TunnelStatus) String() string {
	switch s {
	case TunnelOpen:
		return "open"
	case TunnelRefused:
		return "the target refused"
	case TunnelUnanswered:
		return "the target did not answer"
	case TunnelDenied:
		return "the peer sends nothing to the target"
	case TunnelUnable:
		return "the peer reaches no target, or stops"
	case TunnelBusy:
		return "the peer has too many tunnels"
	}
	return "unknown"
}

// TunnelError says why a tunnel was not opened. The zero Status: the peer did not say.
type TunnelError struct {
	Peer, Address string
	Status        TunnelStatus
	Cause         error
}

// Error implements error.
func (e *TunnelError) Error() string {
	msg := "tunnel through " + e.Peer + " to " + e.Address + ": " + e.Status.String()
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *TunnelError) Unwrap() error { return e.Cause }

// TunnelRequest asks for a connection to a target.
type TunnelRequest struct {
	Address string `cbor:"1,keyasint"`
}

// TunnelReply answers a TunnelRequest.
type TunnelReply struct {
	Status           TunnelStatus `cbor:"1,keyasint"`
	VerifiesDelivery bool         `cbor:"2,keyasint,omitempty"` // the peer sends delivered ends
}

// tunnelData carries bytes in order. End says that the sender has no more of them.
type tunnelData struct {
	Bytes     []byte `cbor:"1,keyasint,omitempty"`
	End       bool   `cbor:"2,keyasint,omitempty"`
	Delivered bool   `cbor:"3,keyasint,omitempty"` // with End, from the peer: the target has received all of the user's bytes
}

// Names under which the bytes of tunnels are counted, see frameConn.write.
const (
	tunnelOpening = "Tunnel.Open"
	tunnelBytes   = "Tunnel.Data"
)

const (
	// maxTunnelMessage is the number of bytes of a connection in one message.
	maxTunnelMessage = 16 << 10
	// tunnelLinger bounds the wait for the user's next message, or for the user to close the tunnel,
	// after an end was sent: closing first, with unread bytes, would reset the connection and lose
	// the end.
	tunnelLinger = 2 * time.Second
)

// OpenTunnelFunc opens the connection that a peer asked for. Unless the status is TunnelOpen there
// is none. done is called when the tunnel has ended.
type OpenTunnelFunc func(ctx context.Context, address string) (conn net.Conn, status TunnelStatus, done func())

// SetTunnels lets peers open tunnels. It must be called before Serve.
func (s *Server) SetTunnels(open OpenTunnelFunc) { s.openTunnel = open }

// DialTunnel connects to address through the peer at via. Errors are *TunnelError; nothing was sent
// to the target then.
func (p *Pool) DialTunnel(ctx context.Context, via, address string) (net.Conn, error) {
	fail := func(status TunnelStatus, cause error) (net.Conn, error) {
		return nil, &TunnelError{Peer: via, Address: address, Status: status, Cause: cause}
	}
	conn, err := p.dial(ctx, via, roleTunnelUser)
	if err != nil {
		return fail(0, err)
	}
	frames := newFrameConn(conn)
	var reply TunnelReply
	err = withContext(ctx, conn, func() error {
		return errors.Join(frames.send(tunnelOpening, TunnelRequest{Address: address}), frames.read(&reply))
	})
	if err != nil || reply.Status != TunnelOpen {
		conn.Close()
		return fail(reply.Status, err)
	}
	return &tunnelConn{Conn: conn, frames: frames, peerVerifies: reply.VerifiesDelivery}, nil
}

// sendBytes writes data as messages of bounded size.
func (f *frameConn) sendBytes(data []byte) (n int, err error) {
	for n < len(data) {
		chunk := data[n:min(n+maxTunnelMessage, len(data))]
		if err := f.write(tunnelBytes, tunnelData{Bytes: chunk}); err != nil {
			return n, err
		}
		n += len(chunk)
	}
	return n, f.w.Flush()
}

// tunnelConn is the user's end of a tunnel. Its deadlines are those of the connection to the peer.
type tunnelConn struct {
	net.Conn
	frames       *frameConn
	peerVerifies bool // see TunnelReply

	writing   sync.Mutex
	rest      []byte // received and not read yet
	ended     bool
	delivered bool // see tunnelData
}

// Read implements net.Conn. It returns io.EOF only where the target has closed its side.
func (c *tunnelConn) Read(p []byte) (int, error) {
	for len(c.rest) == 0 {
		if c.ended {
			return 0, io.EOF
		}
		var m tunnelData
		err := c.frames.read(&m)
		if errors.Is(err, io.EOF) {
			return 0, io.ErrUnexpectedEOF
		}
		if err != nil {
			return 0, err
		}
		c.rest, c.ended, c.delivered = m.Bytes, m.End, m.Delivered
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *tunnelConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.frames.sendBytes(p)
}

// EndWrites implements netx.DeliveryVerifier.
func (c *tunnelConn) EndWrites() error {
	if !c.peerVerifies {
		return nil
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.frames.send(tunnelBytes, tunnelData{End: true})
}

// VerifyDelivery implements netx.DeliveryVerifier. It returns nil if the peer can't tell.
func (c *tunnelConn) VerifyDelivery() error {
	if !c.peerVerifies || c.delivered {
		return nil
	}
	err := c.frames.read(nil) // the delivered end
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// serveTunnel opens the connection that a peer asks for and carries its bytes until both sides have
// ended. A user that closes its end ends the connection to the target, which drops its request then.
func (s *Server) serveTunnel(user net.Conn) {
	frames := newFrameConn(user)
	var req TunnelRequest
	if err := user.SetReadDeadline(time.Now().Add(handshakeTimeout)); err != nil || frames.read(&req) != nil {
		return
	}
	_ = user.SetReadDeadline(time.Time{}) // fails only if the connection is closed
	reply := TunnelReply{Status: TunnelUnable, VerifiesDelivery: true}
	var target net.Conn
	if s.openTunnel != nil {
		ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
		var done func()
		target, reply.Status, done = s.openTunnel(ctx, req.Address)
		cancel()
		defer done()
	}
	if target != nil {
		defer target.Close()
	}
	if err := frames.send(tunnelOpening, reply); err != nil || target == nil {
		return
	}
	t := &carriedTunnel{user: user, frames: frames, target: netx.VerifyEnd(target), userEnded: make(chan struct{}), userGone: make(chan struct{})}
	t.carry()
}

// carriedTunnel is a tunnel that this instance carries for a user.
type carriedTunnel struct {
	user        net.Conn
	frames      *frameConn // of user
	target      *netx.VerifiedConn
	targetEnded atomic.Bool   // the user has been told that the target has ended its bytes
	userEnded   chan struct{} // closed once the user has ended its bytes and all were written to the target
	userGone    chan struct{} // closed once no more is read from the user
}

// carry returns once both sides have ended.
func (t *carriedTunnel) carry() {
	go func() {
		defer close(t.userGone)
		defer t.target.Close()
		t.carryToTarget()
	}()
	if !t.carryFromTarget() || !t.sendEnds() {
		t.user.Close() // without the end: the user must not take the bytes for all
	}
	<-t.userGone
}

// carryToTarget passes the user's bytes on until the user closes its end. Bytes that the target does
// not take are dropped: its answer may still be on its way.
func (t *carriedTunnel) carryToTarget() {
	for taken := true; ; {
		if t.targetEnded.Load() {
			t.limitWait()
		}
		var m tunnelData
		if t.frames.read(&m) != nil {
			return
		}
		if m.End {
			break
		}
		if taken {
			_, err := t.target.Write(m.Bytes)
			taken = err == nil
		}
	}
	close(t.userEnded)
	_ = t.frames.read(nil) // fails once the user has closed its end
}

// limitWait limits the wait for the user's next message.
func (t *carriedTunnel) limitWait() {
	_ = t.user.SetReadDeadline(time.Now().Add(tunnelLinger)) // fails only if the connection is closed
}

// carryFromTarget passes the target's bytes on. It reports whether they ended cleanly and all were passed on.
func (t *carriedTunnel) carryFromTarget() bool {
	buf := make([]byte, maxTunnelMessage)
	for {
		n, err := t.target.Read(buf)
		if _, sendErr := t.frames.sendBytes(buf[:n]); sendErr != nil {
			return false
		}
		if err != nil {
			return errors.Is(err, io.EOF)
		}
	}
}

// sendEnds tells the user that the target has ended its bytes, and that the target has received all of the user's once the
// user has ended them. It reports false if the target can't receive them, or the user could not be told.
func (t *carriedTunnel) sendEnds() bool {
	select {
	case <-t.userEnded:
		return t.sendDeliveredEnd()
	default:
	}
	t.targetEnded.Store(true)
	t.limitWait()
	if t.frames.send(tunnelBytes, tunnelData{End: true}) != nil {
		return false
	}
	select {
	case <-t.userEnded:
		return t.sendDeliveredEnd()
	case <-t.userGone:
		return true
	}
}

// sendDeliveredEnd is called once the user has ended its bytes, and has to be waited for no more.
func (t *carriedTunnel) sendDeliveredEnd() bool {
	_ = t.user.SetReadDeadline(time.Time{}) // fails only if the connection is closed
	if t.target.VerifyDelivery() != nil {
		return false
	}
	defer t.limitWait()
	return t.frames.send(tunnelBytes, tunnelData{End: true, Delivered: true}) == nil
}
