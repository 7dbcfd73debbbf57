package drain

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/netx"
)

// TestStopIgnoresConnectsWhileQueueIsEmptied guards against a stop that adds to the queue which it
// empties.
func TestStopIgnoresConnectsWhileQueueIsEmptied(t *testing.T) {
	inBubble(t, func(t *testing.T, o *stopOrder) {
		o.ln.hold(inKernel)
		o.stop()
		time.Sleep(orderLinger * 3 / 4) // the time for new connections is over
		client, _ := o.ln.dial()
		is.New(t).True(client == nil)
	})
}

// TestStopHandshakesKeepsEstablished guards against a filter that drops packets of established
// connections.
func TestStopHandshakesKeepsEstablished(t *testing.T) {
	is := is.New(t)
	ln, err := netx.ListenDefault("127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	defer client.Close()
	is.NoErr(netx.StopHandshakes(ln.(syscall.Conn)))
	server, err := ln.Accept()
	is.NoErr(err)
	defer server.Close()
	_, err = io.WriteString(client, "a")
	is.NoErr(err)
	_ = server.SetReadDeadline(time.Now().Add(10 * heldBack)) // a right filter doesn't wait for it
	_, err = io.ReadFull(server, make([]byte, 1))
	is.NoErr(err)
}
