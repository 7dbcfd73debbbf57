package crowd_test

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// crowdSize is the number of callers in a crowd.
const crowdSize = 400

// sendTimeout is how long a caller of a crowd tries to send what the process does not read.
const sendTimeout = 4 * time.Second

// stay is how long a caller that returns keeps its connection open after it has sent, unless it is closed.
const stay = time.Second

// member is what one caller of a crowd sends on its connection. n numbers the callers. It ends when it has sent
// what it means to, or can't send more; the connection stays open.
type member func(conn net.Conn, n int)

// crowdCase is a crowd that a process has to bear.
type crowdCase struct {
	name    string
	port    int // 0: that of callers
	size    int // 0: crowdSize
	returns bool
	member  member
}

// run lets the crowd come to a process and checks what the process does.
func (tt crowdCase) run(t *testing.T, p *instance) {
	port, size := cmp.Or(tt.port, callerPort), cmp.Or(tt.size, crowdSize)
	c := gather(p, port, size, tt.returns, tt.member)
	c.senders.Wait()
	p.awaitSettled()
	tries := 0
	p.eventually("an ordinary caller is answered beside the crowd", func() bool {
		tries++
		return p.answers()
	})
	t.Logf("an ordinary caller was answered at try %d", tries)
	c.leave()
	p.eventually("an ordinary caller is answered after the crowd", p.answers)
	p.eventually("the process is ready after the crowd", p.isReady)
	p.usage.check()
}

// crowd is a number of callers that keep their connections open.
type crowd struct {
	p       *instance
	port    int
	stop    chan struct{}
	senders sync.WaitGroup // callers that still send for the first time
	callers sync.WaitGroup
}

// gather lets size callers connect and send. If they return, each closes its connection when it has sent, and
// connects anew.
func gather(p *instance, port, size int, returns bool, m member) *crowd {
	c := &crowd{p: p, port: port, stop: make(chan struct{})}
	for n := range size {
		c.callers.Add(1)
		c.senders.Add(1)
		go func() {
			defer c.callers.Done()
			sent := sync.OnceFunc(c.senders.Done)
			defer sent()
			for again := true; again && !c.stopped(); again = returns {
				c.visit(m, n, sent, returns)
			}
		}()
	}
	return c
}

// visit connects, sends, and keeps the connection open unless the caller returns.
func (c *crowd) visit(m member, n int, sent func(), returns bool) {
	conn, err := net.DialTimeout("tcp", c.p.address(c.port), sendTimeout)
	if err != nil {
		sent()
		time.Sleep(pollInterval)
		return
	}
	defer conn.Close()
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout)) // fails only if the connection is closed
	m(conn, n)
	sent()
	if !returns {
		<-c.stop
	}
}

func (c *crowd) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// leave ends all callers.
func (c *crowd) leave() {
	close(c.stop)
	c.callers.Wait()
}

// send writes text as often as times says, or until it fails.
func send(conn net.Conn, text string, times int) {
	for range times {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// awaitClose waits until the process closes the connection, for stay at most.
func awaitClose(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(stay)) // fails only if the connection is closed
	_, _ = io.Copy(io.Discard, conn)
}

// endless is how many bytes stand for "without end": more than any limit on a head.
const endless = 1 << 20

// shortLines returns about size bytes of header lines with short names, each of its own.
func shortLines(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

const (
	ownLines = 700                       // bytes of a head that are kept for the lines that a request needs
	legal    = maxHeaderBytes - ownLines // bytes of a head that are left for others
	piece    = 64 << 10                  // bytes of a large chunk
)

func id(n int) string { return fmt.Sprint("c", n) }

// chunked begins a request with a chunked body.
func chunked(conn net.Conn, path string, n int) {
	send(conn, requestHead("POST", path, id(n))+"Transfer-Encoding: chunked\r\n\r\n", 1)
}

func chunk(size int) string { return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)) }

// crowds are kinds of callers that keep to no limit, or use up what the limits allow.
var crowds = []crowdCase{
	{name: "many short header lines", member: func(conn net.Conn, n int) {
		send(conn, requestHead("POST", "/open/x", id(n))+shortLines(legal)+"Content-Length: 2\r\n\r\nx", 1)
	}},
	{name: "many header lines of one name", member: func(conn net.Conn, n int) {
		send(conn, requestHead("POST", "/open/x", id(n))+strings.Repeat("a:\r\n", legal/4)+"Content-Length: 2\r\n\r\nx", 1)
	}},
	{name: "many short header lines at a target", member: func(conn net.Conn, n int) {
		send(conn, requestHead("GET", "/slow/x", id(n))+shortLines(legal)+"\r\n", 1)
	}},
	{name: "heads over the limit that stop short", member: func(conn net.Conn, n int) {
		send(conn, requestHead("GET", "/open/x", id(n))+shortLines(60<<10), 1)
	}},
	{name: "heads over the limit, again and again", returns: true, member: func(conn net.Conn, n int) {
		send(conn, requestHead("GET", "/open/x", id(n))+shortLines(60<<10)+"\r\n", 1)
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, 1))
	}},
	{name: "heads without end", returns: true, member: func(conn net.Conn, n int) {
		send(conn, requestHead("GET", "/open/x", id(n)), 1)
		send(conn, shortLines(piece), endless/piece)
	}},
	{name: "header lines without end", member: func(conn net.Conn, n int) {
		send(conn, requestHead("GET", "/open/x", id(n))+"a: ", 1)
		send(conn, strings.Repeat("x", piece), endless/piece)
	}},
	{name: "folded lines without end", member: func(conn net.Conn, n int) {
		send(conn, requestHead("GET", "/open/x", id(n))+"a: ", 1)
		send(conn, strings.Repeat("\r\n x", piece/4), endless/piece)
	}},
	{name: "heads that stop short, again and again", returns: true, member: func(conn net.Conn, n int) {
		send(conn, requestHead("GET", "/open/x", id(n))+shortLines(legal), 1)
		awaitClose(conn)
	}},
	{name: "many short header lines, again and again", returns: true, member: func(conn net.Conn, n int) {
		send(conn, requestHead("POST", "/open/x", id(n))+shortLines(legal)+"Content-Length: 2\r\n\r\nx", 1)
		awaitClose(conn)
	}},
	{name: "many short header lines without a key", member: func(conn net.Conn, n int) {
		send(conn, requestHead("POST", "/keyed/x", id(n))+shortLines(legal)+"Content-Length: 2\r\n\r\nx", 1)
	}},
	{name: "five whole requests of many short header lines", member: func(conn net.Conn, n int) {
		send(conn, requestHead("GET", "/slow/x", id(n))+shortLines(legal)+"\r\n", 5)
	}},
	{name: "request lines without end", member: func(conn net.Conn, _ int) {
		send(conn, "GET /open/", 1)
		send(conn, strings.Repeat("%41", piece/3), endless/piece)
	}},
	{name: "empty lines without end", member: func(conn net.Conn, _ int) { send(conn, strings.Repeat("\r\n", piece/2), endless/piece) }},
	{name: "empty lines without end after a request", member: func(conn net.Conn, n int) {
		send(conn, requestHead("POST", "/open/x", id(n))+"Content-Length: 1\r\n\r\nx", 1)
		send(conn, strings.Repeat("\r\n", piece/2), endless/piece)
	}},
	{name: "bodies in large chunks that stop short", member: func(conn net.Conn, n int) {
		chunked(conn, "/open/x", n)
		send(conn, chunk(piece), maxBodyBytes/piece-1)
	}},
	{name: "bodies in large chunks, again and again", returns: true, member: func(conn net.Conn, n int) {
		chunked(conn, "/open/x", n)
		send(conn, chunk(piece), maxBodyBytes/piece-1)
		awaitClose(conn)
	}},
	{name: "bodies in small chunks that stop short", member: func(conn net.Conn, n int) {
		chunked(conn, "/open/x", n)
		send(conn, strings.Repeat(chunk(1), 4<<10), 64)
	}},
	{name: "bodies of known length that stop short", member: func(conn net.Conn, n int) {
		send(conn, requestHead("POST", "/open/x", id(n))+fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes), 1)
		send(conn, strings.Repeat("x", piece), maxBodyBytes/piece-1)
	}},
	{name: "bodies of known length, again and again", returns: true, member: func(conn net.Conn, n int) {
		send(conn, requestHead("POST", "/open/x", id(n))+fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes), 1)
		send(conn, strings.Repeat("x", piece), maxBodyBytes/piece-1)
		awaitClose(conn)
	}},
	{name: "bodies in small chunks, again and again", returns: true, member: func(conn net.Conn, n int) {
		chunked(conn, "/open/x", n)
		send(conn, strings.Repeat(chunk(1), 4<<10), 16)
		awaitClose(conn)
	}},
	{name: "bodies of known length without a byte", member: func(conn net.Conn, n int) {
		send(conn, requestHead("POST", "/open/x", id(n))+fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes), 1)
	}},
	{name: "refused bodies without end", member: func(conn net.Conn, n int) {
		send(conn, requestHead("POST", "/keyed/x", id(n))+fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes), 1)
		send(conn, strings.Repeat("x", piece), maxBodyBytes/piece-1)
	}},
	{name: "chunk extensions without end", member: func(conn net.Conn, n int) {
		chunked(conn, "/open/x", n)
		send(conn, "1;"+strings.Repeat("x", piece), endless/piece)
	}},
	{name: "trailers without end", member: func(conn net.Conn, n int) {
		chunked(conn, "/open/x", n)
		send(conn, chunk(1)+"0\r\n", 1)
		send(conn, shortLines(piece), endless/piece)
	}},
	{name: "whole bodies at a target", member: func(conn net.Conn, n int) {
		chunked(conn, "/slow/x", n)
		send(conn, chunk(piece), 16)
		send(conn, "0\r\n\r\n", 1)
	}},
	{name: "requests behind a slow one", member: func(conn net.Conn, n int) {
		send(conn, requestHead("GET", "/slow/x", id(n))+"\r\n", 1)
		send(conn, strings.Repeat(requestHead("GET", "/open/x", id(n))+"\r\n", piece/150), 4*endless/piece)
	}},
	{name: "answers that are not read", member: func(conn net.Conn, n int) {
		send(conn, strings.Repeat(requestHead("GET", "/large/x", id(n))+"\r\n", 8), 1)
	}},
	{name: "answers to many short header lines that are not read", member: func(conn net.Conn, n int) {
		send(conn, requestHead("GET", "/large/x", id(n))+shortLines(legal)+"\r\n", 8)
	}},
	{name: "connections without a request, again and again", size: 1200, returns: true, member: func(conn net.Conn, _ int) { awaitClose(conn) }},
	{name: "connections without a request", size: 1200, member: func(net.Conn, int) {}},
	{name: "heads without end at the readiness listener", port: readyPort, member: func(conn net.Conn, n int) {
		send(conn, requestHead("GET", "/readiness", id(n))+shortLines(endless-piece), 1)
	}},
	{name: "connections without a request at the readiness listener", port: readyPort, size: 1200, member: func(net.Conn, int) {}},
	{name: "heads without end at the metrics listener", port: metricsPort, member: func(conn net.Conn, n int) {
		send(conn, requestHead("GET", "/metrics", id(n))+shortLines(endless-piece), 1)
	}},
	{name: "strangers at the peer listener", port: peerPort, size: 1200, member: func(conn net.Conn, _ int) {
		send(conn, strings.Repeat("x", 31), 1)
	}},
	{name: "bytes without end at the peer listener", port: peerPort, member: func(conn net.Conn, _ int) {
		send(conn, strings.Repeat("x", piece), endless/piece)
	}},
}

// TestCrowds guards against a process that ends, hangs, or uses more than its memory and its descriptors while a
// crowd of callers sends what no limit allows, or as much as the limits allow.
func TestCrowds(t *testing.T) {
	for _, tt := range crowds {
		t.Run(tt.name, func(t *testing.T) { tt.run(t, startInstance(t)) })
	}
}
