package peer

import (
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// shortListener has no file descriptor for the first connection at its first attempt.
type shortListener struct {
	net.Listener
	once sync.Once
}

// Accept implements net.Listener.
func (l *shortListener) Accept() (conn net.Conn, err error) {
	l.once.Do(func() { err = &net.OpError{Op: "accept", Err: syscall.EMFILE} })
	if err != nil {
		return nil, err
	}
	return l.Listener.Accept()
}

// TestServeGoesOnAfterLackOfDescriptors guards against a server that leaves connections in its
// queue for ever after a temporary error.
func TestServeGoesOnAfterLackOfDescriptors(t *testing.T) {
	is := is.New(t)
	sec := Security{Secret: []byte("s")}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s, err := NewServerFor("Peer", &rpcService{pool: NewPool(sec, time.Now)}, sec)
	is.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(&shortListener{Listener: ln}) }()
	conn, err := NewPool(sec, time.Now).dial(t.Context(), ln.Addr().String(), roleCaller)
	is.NoErr(err) // authenticated
	conn.Close()
	ln.Close()
	s.Close()
	<-served
}
