package netx

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// dropSYN is a socket filter that drops the packets which open a connection (SYN without ACK) and
// passes all others. The filter of a TCP socket sees packets from their TCP header on.
var dropSYN = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
	{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: tcpSYN | tcpACK},
	{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: tcpSYN, Jt: 0, Jf: 1},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: passWholePacket},
}

// Parts of a TCP header (RFC 9293, section 3.1) and of a filter's result.
const (
	tcpFlagsOffset  = 13 // in bytes
	tcpSYN          = 0x02
	tcpACK          = 0x10
	passWholePacket = 1<<32 - 1 // the number of bytes to pass
)

// StopHandshakes makes a TCP listener ignore new attempts to connect. Handshakes under way still
// end, and established connections stay in the queue for Accept. It fails where the kernel has no
// socket filters for the listener, for example for Multipath TCP.
func StopHandshakes(ln syscall.Conn) error {
	return control(ln, func(fd int) error {
		filter := &unix.SockFprog{Len: uint16(len(dropSYN)), Filter: &dropSYN[0]}
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, filter)
	})
}

// Readable reports whether a connection has bytes, or its end, to be read, or a listener has a
// connection to be accepted.
func Readable(c syscall.Conn) (readable bool, err error) {
	err = control(c, func(fd int) error {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		for err == unix.EINTR {
			n, err = unix.Poll(fds, 0)
		}
		readable = n > 0
		return err
	})
	return readable, err
}

// control calls f with the file descriptor of c.
func control(c syscall.Conn, f func(fd int) error) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = f(int(fd)) }); err != nil {
		return err
	}
	return failed
}
