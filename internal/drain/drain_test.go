package drain

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestNoRequestBeginsOnClosedConn guards against a request that begins on a connection that a stop
// has just closed.
func TestNoRequestBeginsOnClosedConn(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var c Conns
	first, second := &net.TCPConn{}, &net.TCPConn{}
	for _, conn := range []net.Conn{first, second} {
		c.SetState(conn, http.StateNew)
		c.SetState(conn, http.StateIdle)
		is.True(c.beginRequest(conn))
		c.SetState(conn, http.StateIdle)
	}
	is.True(c.beginRequest(first))
	is.True(!c.closeUnused(now, now.Add(time.Hour), time.Second)) // a request runs on first
	is.True(c.beginRequest(first))
	is.True(!c.beginRequest(second)) // closeUnused has closed it
	c.SetState(first, http.StateIdle)
	is.True(!c.closeUnused(now, time.Now(), time.Hour)) // it became idle just now
	is.True(c.closeUnused(now, time.Now().Add(time.Hour), time.Second))
	is.True(!c.beginRequest(first))
}
