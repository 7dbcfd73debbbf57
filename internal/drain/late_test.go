package drain

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Seen: a stopping instance took a request 7.46 s after its SIGTERM and cut it 40 ms later, when
// its time was over:
//
//	 7.000 front-dar-mikocheni-2 gets SIGTERM
//	14.458 request da9d8f1bcf4cf417 sent to front-dar-mikocheni-2
//	14.501 its run ends: cut
//	14.504 the connection is closed in the middle of the answer
//
// How it came about: the connection's stream had begun before the stop, so that its header did
// not end the connection. It ended seconds later, and the caller sent its next request there.
//
// Cause: a connection was kept for a second from the moment it fell unused, however late in
// the stop that was. The same day played again, with all lines, has such a request: it came
// 4.89 s after the SIGTERM (11.886, answered at 12.433), 0.3 s after a stream of before
// the stop had ended (11.591).

// TestNoneBeginsLate: a connection on which an answer ends late in a stop is not kept for a
// further request, for which no time is left.
func TestNoneBeginsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const linger = time.Second
		var c Conns
		conn := &net.TCPConn{}
		c.Note(conn, http.StateNew)
		is.True(c.begin(conn)) // a long answer, begun before the stop
		began := time.Now()
		time.Sleep(5 * linger)
		is.True(!c.quiet(began, time.Now(), linger))
		c.Note(conn, http.StateIdle)
		is.True(c.quiet(began, time.Now(), linger))
		is.True(!c.begin(conn))
	})
}
