package drain

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestNoneBeginsLate guards against a connection kept for another request late in a stop, with no time left for it.
func TestNoneBeginsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const linger = time.Second
		var c Conns
		conn := &net.TCPConn{}
		c.SetState(conn, http.StateNew)
		is.True(c.begin(conn)) // a long answer, begun before the stop
		began := time.Now()
		time.Sleep(5 * linger)
		is.True(!c.quiet(began, time.Now(), linger))
		c.SetState(conn, http.StateIdle)
		is.True(c.quiet(began, time.Now(), linger))
		is.True(!c.begin(conn))
	})
}
