package drain

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/netx"
)

// TestSlowReaderOverTCP guards against connections that the kernel closes since their caller reads nothing for
// longer than netx.UnackedTimeout, where SetUnackedTimeout allows that. Linux closed such a connection after
// 3.0 s. The machine can only lengthen the pause, and the timeout is far beyond it.
func TestSlowReaderOverTCP(t *testing.T) {
	t.Parallel()
	const size, pause, allowed = 32 << 20, 4 * time.Second, 2 * time.Minute
	is := is.New(t)
	ln, err := netx.Listen("127.0.0.1:0")
	is.NoErr(err)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := SetUnackedTimeout(r, allowed); err != nil {
			t.Error(err)
		}
		buf := make([]byte, 1<<20)
		for range size / len(buf) {
			if _, err := w.Write(buf); err != nil {
				t.Error(err)
				return
			}
		}
	})
	s := NewServer(&http.Server{Handler: handler}, ln, nil, &log.Logger{Handler: discard.Default})
	go func() { _ = s.Serve() }() // ends with Close
	defer s.Close()
	conn, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
	is.NoErr(err)
	time.Sleep(pause)
	n, err := io.Copy(io.Discard, conn)
	is.NoErr(err)
	is.True(n > size)
}
