package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/explain"
)

// cancellingHandler replies to a Ping just as it cancels the caller's context.
type cancellingHandler struct{ cancels chan context.CancelFunc }

func (a cancellingHandler) Ping(Ping) Pong {
	(<-a.cancels)()
	return Pong{Generation: 7}
}
func (cancellingHandler) Config(ConfigRequest) (ConfigReply, error) { return ConfigReply{}, nil }
func (cancellingHandler) Explain(string) *explain.Record            { return nil }
func (cancellingHandler) Status() Status                            { return Status{} }
func (cancellingHandler) Claim(ClaimRequest) (ClaimReply, error)    { return ClaimReply{}, nil }
func (cancellingHandler) Settle(SettleRequest)                      {}

// startServer starts a server and returns a pool to call it with, and its address.
func startServer(t *testing.T, h Handler) (*Pool, string) {
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

// TestLateReply guards against a data race: a reply that arrives after its call was
// cancelled must not write to the caller's value while the caller reads it. The race
// detector found this when calls decoded directly into that value.
func TestLateReply(t *testing.T) {
	is := is.New(t)
	a := cancellingHandler{make(chan context.CancelFunc, 1)}
	pool, address := startServer(t, a)
	for range 300 {
		ctx, cancel := context.WithCancel(t.Context())
		a.cancels <- cancel
		var late Pong
		err := pool.Call(ctx, address, "Peer.Ping", &Ping{}, &late)
		for range 1000 {
			is.Equal(late.Generation == 0, err != nil)
		}
	}
}

// blockingHandler blocks in Explain until proceed is closed.
type blockingHandler struct {
	cancellingHandler
	entered, proceed chan struct{}
}

func (s blockingHandler) Explain(id string) *explain.Record {
	s.entered <- struct{}{}
	<-s.proceed
	return &explain.Record{ID: id}
}

// TestTimeoutKeepsOtherCalls checks that a call which times out ends alone: other calls
// in progress on its connection complete, and new ones get a new connection.
func TestTimeoutKeepsOtherCalls(t *testing.T) {
	is := is.New(t)
	p := blockingHandler{cancellingHandler{make(chan context.CancelFunc, 1)}, make(chan struct{}), make(chan struct{})}
	pool, address := startServer(t, p)

	var out ExplainReply
	ended := make(chan error, 1)
	go func() {
		ended <- pool.Call(t.Context(), address, "Peer.Explain", &ExplainRequest{ID: "r"}, &out)
	}()
	<-p.entered
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-p.entered
		cancel()
	}()
	var none ExplainReply
	is.True(pool.Call(ctx, address, "Peer.Explain", &ExplainRequest{ID: "given up"}, &none) != nil)
	var st Status
	is.NoErr(pool.Call(t.Context(), address, "Peer.Status", &StatusRequest{}, &st))
	close(p.proceed)
	is.NoErr(<-ended)
	is.Equal(out.Record.ID, "r")
}
