package netx

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// maxSilence is how long a sound peer may be silent: its connections stay open.
const maxSilence = 1500 * time.Millisecond

// TestSilentPeerKeepsConnections guards against connections that are closed under a peer that is silent
// for less than maxSilence. The peer falls silent when a connection has been idle for nearly
// keepAliveIdle, or when bytes have just been sent. On Linux, TCP_USER_TIMEOUT ends both the
// retransmissions and the keep-alive probes.
func TestSilentPeerKeepsConnections(t *testing.T) {
	is := is.New(t)
	ln, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	dialled, err := Dialer(time.Second).DialContext(t.Context(), "tcp", ln.Addr().String())
	is.NoErr(err)
	defer dialled.Close()
	accepted, err := ln.Accept()
	is.NoErr(err)
	defer accepted.Close()
	for _, conn := range []net.Conn{dialled, accepted} {
		option := func(name int) time.Duration { return time.Duration(socketOption(t, conn, name)) }
		userTimeout := option(unix.TCP_USER_TIMEOUT) * time.Millisecond
		idle, interval := option(unix.TCP_KEEPIDLE)*time.Second, option(unix.TCP_KEEPINTVL)*time.Second
		probes := option(unix.TCP_KEEPCNT)
		is.True(userTimeout >= maxSilence)      // bytes that were sent
		is.True(userTimeout-idle >= maxSilence) // probes, by the user timeout
		is.True(probes*interval >= maxSilence)  // probes, by their count
	}
}

// socketOption returns a TCP option of a connection's socket.
func socketOption(t *testing.T, conn net.Conn, name int) (value int) {
	is := is.New(t)
	raw, err := conn.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	var optionErr error
	is.NoErr(raw.Control(func(fd uintptr) { value, optionErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }))
	is.NoErr(optionErr)
	return value
}
