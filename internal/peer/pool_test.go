package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/explain"
)

// answers is a peer that answers as its caller gives up.
type answers struct{ giveUp chan context.CancelFunc }

func (a answers) Ping(Ping) Pong {
	(<-a.giveUp)()
	return Pong{Generation: 7}
}
func (answers) Config(ConfigRequest) (ConfigReply, error) { return ConfigReply{}, nil }
func (answers) Explain(string) *explain.Record            { return nil }
func (answers) Status() Status                            { return Status{} }
func (answers) Claim(Claim) (Claimed, error)              { return Claimed{}, nil }
func (answers) Settle(Settle)                             {}

// serve starts a peer and returns a pool to call it with, and its address.
func serve(t *testing.T, h Handler) (*Pool, string) {
	is := is.New(t)
	sec := Security{Secret: []byte("s")}
	pool := NewPool(sec, time.Now)
	t.Cleanup(pool.Close)
	srv, err := NewServer(h, sec, pool)
	is.NoErr(err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() {
		srv.Close()
		ln.Close()
	})
	go func() { _ = srv.Serve(ln) }()
	return pool, ln.Addr().String()
}

// TestLateReply: a call that was given up leaves its reply alone, though the
// answer comes in while the caller reads it. Before each call had a reply of its
// own, the race detector found the two at once.
func TestLateReply(t *testing.T) {
	is := is.New(t)
	a := answers{make(chan context.CancelFunc, 1)}
	pool, address := serve(t, a)
	for range 300 {
		ctx, cancel := context.WithCancel(t.Context())
		a.giveUp <- cancel
		var late Pong
		err := pool.Call(ctx, address, "Peer.Ping", &Ping{}, &late)
		for range 1000 {
			is.Equal(late.Generation == 0, err != nil)
		}
	}
}

// slow is a peer that explains only once it is told to.
type slow struct {
	answers
	asked, goOn chan struct{}
}

func (s slow) Explain(id string) *explain.Record {
	s.asked <- struct{}{}
	<-s.goOn
	return &explain.Record{ID: id}
}

// TestOthersGoOn: a call that takes too long ends for itself. The others under way on its
// connection go on, and further ones get a new connection.
func TestOthersGoOn(t *testing.T) {
	is := is.New(t)
	p := slow{answers{make(chan context.CancelFunc, 1)}, make(chan struct{}), make(chan struct{})}
	pool, address := serve(t, p)

	var out Explained
	ended := make(chan error, 1)
	go func() {
		ended <- pool.Call(t.Context(), address, "Peer.Explain", &Explain{ID: "r"}, &out)
	}()
	<-p.asked
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-p.asked
		cancel()
	}()
	var none Explained
	is.True(pool.Call(ctx, address, "Peer.Explain", &Explain{ID: "given up"}, &none) != nil)
	var st Status
	is.NoErr(pool.Call(t.Context(), address, "Peer.Status", &StatusRequest{}, &st))
	close(p.goOn)
	is.NoErr(<-ended)
	is.Equal(out.Record.ID, "r")
}
