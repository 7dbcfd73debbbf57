package peer

import (
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStrangersGiveWay guards against connections that are never authenticated and keep peers out, and against peers'
// connections that are closed for them.
func TestStrangersGiveWay(t *testing.T) {
	is := is.New(t)
	sec := Security{Secret: []byte("s")}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s, err := NewServerFor("Peer", &rpcService{pool: NewPool(sec, time.Now)}, sec)
	is.NoErr(err)
	s.SetMaxConns(3)
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	defer func() {
		ln.Close()
		s.Close()
		<-served
	}()
	stranger := func() {
		conn, err := net.Dial("tcp", ln.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { conn.Close() })
	}
	awaitAuthenticated := func(n int) { // the dialer's side of the handshake ends first
		for counted := false; !counted; runtime.Gosched() {
			s.mu.Lock()
			counted = len(s.conns)-len(s.strangers) == n
			s.mu.Unlock()
		}
	}
	pool := NewPool(sec, time.Now)
	for n := range 3 { // the third takes the place of the last stranger
		for range 5 {
			stranger()
		}
		conn, err := pool.dial(t.Context(), ln.Addr().String(), roleCaller)
		is.NoErr(err) // authenticated
		defer conn.Close()
		awaitAuthenticated(n + 1)
	}
	_, err = pool.dial(t.Context(), ln.Addr().String(), roleCaller)
	is.True(err != nil) // three peers are connected, and stay so
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(len(s.conns), 3)
	is.Equal(len(s.strangers), 0)
}
