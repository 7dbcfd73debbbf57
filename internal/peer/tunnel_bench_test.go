package peer

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Requests of the benchmark: a prompt and a stream of small events.
const (
	benchPrompt = 16 << 10 // bytes
	benchEvents = 128
	benchEvent  = 200 // bytes
)

// BenchmarkTunnel measures the processor time of one stream through a tunnel and on a connection of its own. It
// covers the processes of both ends and the target.
func BenchmarkTunnel(b *testing.B) {
	for _, relayed := range []bool{false, true} {
		name := map[bool]string{false: "direct", true: "relayed"}[relayed]
		b.Run(name, func(b *testing.B) {
			f := newTunnelFixture(b, TunnelOpen)
			go f.serveStreams()
			startedAt := processorTime(b)
			for b.Loop() {
				var conn net.Conn
				var err error
				if relayed {
					conn, err = f.pool.DialTunnel(b.Context(), f.via, f.target.Addr().String())
				} else {
					conn, err = net.Dial("tcp", f.target.Addr().String())
				}
				is.New(b).NoErr(err)
				readStream(b, conn)
				if relayed {
					<-f.carried
				}
			}
			b.ReportMetric(float64((processorTime(b)-startedAt).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// serveStreams answers each connection's prompt with events, each written by itself, and closes it.
func (f *tunnelFixture) serveStreams() {
	for {
		conn, err := f.target.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			if _, err := io.ReadFull(conn, make([]byte, benchPrompt)); err != nil {
				return
			}
			for range benchEvents {
				if _, err := conn.Write(make([]byte, benchEvent)); err != nil {
					return
				}
			}
		}()
	}
}

// readStream sends a prompt and reads the stream to its end.
func readStream(b *testing.B, conn net.Conn) {
	is := is.New(b)
	defer conn.Close()
	_, err := conn.Write(make([]byte, benchPrompt))
	is.NoErr(err)
	n, err := io.Copy(io.Discard, conn)
	is.NoErr(err)
	is.Equal(n, int64(benchEvents*benchEvent))
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	is.New(b).NoErr(syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
