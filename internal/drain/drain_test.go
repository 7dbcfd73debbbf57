package drain

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Seen: a stopping instance closed a caller's connection, on which a request had come 94 ms
// before and had not been read yet, and then passed the request on to a server:
//
//	 9.502 front-riga-c-1 gets SIGTERM
//	11.712 request 5099f56e7354e384 sent to front-riga-c-1
//	11.806 the connection is closed with no answer
//	11.809 reaches server i-5335eb6c5b from front-riga-c-1
//
// Cause: that a connection is unused was looked at, and the connection closed, while the
// request was being read; nothing kept the handler from it.

// TestClosedBringsNothing: a request either keeps its connection open or is not begun.
func TestClosedBringsNothing(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var c Conns
	first, second := &net.TCPConn{}, &net.TCPConn{}
	for _, conn := range []net.Conn{first, second} {
		c.Note(conn, http.StateNew)
		c.Note(conn, http.StateIdle)
		is.True(c.begin(conn))
		c.Note(conn, http.StateIdle)
	}
	is.True(c.begin(first))
	is.True(!c.quiet(now, now.Add(time.Hour), time.Second)) // first has a request in hand
	is.True(c.begin(first))
	is.True(!c.begin(second)) // it was closed before
	c.Note(first, http.StateIdle)
	is.True(!c.quiet(now, time.Now(), time.Hour)) // it was used just now
	is.True(c.quiet(now, time.Now().Add(time.Hour), time.Second))
	is.True(!c.begin(first))
}
