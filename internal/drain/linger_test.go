package drain

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestLateIdleConnIsClosed guards against a connection that stays open for another request late in
// a stop, when no time is left to serve it.
func TestLateIdleConnIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const linger = time.Second
		var c Conns
		conn := &net.TCPConn{}
		c.SetState(conn, http.StateNew)
		is.True(c.beginRequest(conn)) // a long response, begun before the stop
		began := time.Now()
		time.Sleep(5 * linger)
		is.True(!c.closeUnused(began, time.Now(), linger))
		c.SetState(conn, http.StateIdle)
		is.True(c.closeUnused(began, time.Now(), linger))
		is.True(!c.beginRequest(conn))
	})
}
