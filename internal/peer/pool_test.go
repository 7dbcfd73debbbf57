package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/why"
)

// answers is a peer that answers as its caller gives up.
type answers struct{ giveUp chan context.CancelFunc }

func (a answers) Ping(Ping) Pong {
	(<-a.giveUp)()
	return Pong{Generation: 7}
}
func (answers) Config(ConfigRequest) (ConfigReply, error) { return ConfigReply{}, nil }
func (answers) Explain(string) *why.Record                { return nil }
func (answers) Status() Status                            { return Status{} }
func (answers) Claim(Claim) (Claimed, error)              { return Claimed{}, nil }
func (answers) Settle(Settle)                             {}

// TestLateReply: a call that was given up leaves its reply alone, though the
// answer comes in while the caller reads it. Before each call had a reply of its
// own, the race detector found the two at once.
func TestLateReply(t *testing.T) {
	is := is.New(t)
	a := answers{make(chan context.CancelFunc, 1)}
	sec := Security{Secret: []byte("s")}
	pool := NewPool(sec, time.Now)
	defer pool.Close()
	srv, err := NewServer(a, sec, pool)
	is.NoErr(err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	defer srv.Close()
	go func() { _ = srv.Serve(ln) }()
	for range 300 {
		ctx, cancel := context.WithCancel(t.Context())
		a.giveUp <- cancel
		var late Pong
		err := pool.Call(ctx, ln.Addr().String(), "Peer.Ping", &Ping{}, &late)
		for range 1000 {
			is.Equal(late.Generation == 0, err != nil)
		}
	}
}
