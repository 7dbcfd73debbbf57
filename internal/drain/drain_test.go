package drain

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestClosedBringsNothing guards against a request that is begun though its connection was closed.
func TestClosedBringsNothing(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var c Conns
	first, second := &net.TCPConn{}, &net.TCPConn{}
	for _, conn := range []net.Conn{first, second} {
		c.SetState(conn, http.StateNew)
		c.SetState(conn, http.StateIdle)
		is.True(c.begin(conn))
		c.SetState(conn, http.StateIdle)
	}
	is.True(c.begin(first))
	is.True(!c.quiet(now, now.Add(time.Hour), time.Second)) // first has a request in hand
	is.True(c.begin(first))
	is.True(!c.begin(second)) // it was closed before
	c.SetState(first, http.StateIdle)
	is.True(!c.quiet(now, time.Now(), time.Hour)) // it was used just now
	is.True(c.quiet(now, time.Now().Add(time.Hour), time.Second))
	is.True(!c.begin(first))
}
