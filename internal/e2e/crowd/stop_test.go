package crowd_test

import (
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestStopAmidCrowd guards against a stop that hangs, or takes more memory than there is, while callers come again and
// again with requests that stop short; and against callers with whole requests that are not answered meanwhile.
func TestStopAmidCrowd(t *testing.T) {
	p := startInstance(t)
	c := gather(p, callerPort, crowdSize, true, func(conn net.Conn, n int) {
		if n%2 == 0 {
			send(conn, requestHead("GET", "/open/x", id(n))+shortLines(legal), 1)
		} else {
			chunked(conn, "/open/x", n)
			send(conn, chunk(piece), maxBodyBytes/piece-1)
		}
		awaitClose(conn)
	})
	defer c.leave()
	p.awaitSettled()
	must(t, p.cmd.Process.Signal(syscall.SIGTERM))
	_, err := p.exchange(strings.NewReader(requestHead("GET", "/open/x", "ordinary") + "\r\n"))
	if err != nil {
		t.Errorf("a whole request at the begin of the stop: %v", err)
	}
	select {
	case <-p.exited:
	case <-time.After(eventTimeout):
		t.Fatal("the process did not end after SIGTERM")
	}
	if code := p.cmd.ProcessState.ExitCode(); code < 0 {
		t.Errorf("the process ended by a signal: %v", p.cmd.ProcessState)
	}
	p.usage.checkMost()
}
