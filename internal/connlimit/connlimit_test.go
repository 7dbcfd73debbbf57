package connlimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/buffer"
)

// pipeListener is a listener in memory.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() net.Conn {
	near, far := net.Pipe()
	l.conns <- far
	return near
}

// server is a server whose handler reads the body, and reserves as much, before it answers.
type server struct {
	*pipeListener
	limiter *Limiter
	budget  *buffer.Budget
	http    *http.Server
	slow    chan struct{} // closed to let requests for /slow end
	release func()        // closes it
	delay   atomic.Int64  // ns by which the limiter's handler is called later
}

// stop ends all requests and connections.
func (s *server) stop() {
	s.release()
	s.http.Close()
	time.Sleep(2 * roomTimeout) // until the last that waits for room has ended
}

func newServer(limit int64, edit func(*Options)) *server {
	s := &server{pipeListener: newPipeListener(), budget: buffer.New(limit), slow: make(chan struct{})}
	s.release = sync.OnceFunc(func() { close(s.slow) })
	o := Options{Name: "test", Budget: s.budget, Costs: DefaultCosts, Log: &log.Logger{Handler: discard.Default}, Now: time.Now}
	if edit != nil {
		edit(&o)
	}
	s.limiter = New(o)
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), MaxHeaderBytes: MaxHeaderBytes, ReadHeaderTimeout: time.Minute}
	s.limiter.Attach(s.http, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	s.http.Handler = s.delayed(s.http.Handler)
	go s.http.Serve(s.limiter.Listener(s.pipeListener))
	return s
}

// delayed returns a handler that calls next after the delay, as one does that waits for a processor. Requests for /outside
// don't reach next, as those that a server refuses which stops.
func (s *server) delayed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(s.delay.Load()))
		if r.URL.Path != "/outside" {
			next.ServeHTTP(w, r)
			return
		}
		time.Sleep(longWork)
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler) // the caller is gone
		}
	})
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	conn := FromRequest(r)
	for piece := make([]byte, 1<<10); ; {
		n, err := r.Body.Read(piece)
		if !conn.Reserve(int64(n)) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if err != nil {
			break
		}
	}
	if !conn.RequestWhole() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/slow":
		<-s.slow
	case "/long":
		time.Sleep(longWork)
	}
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler) // the caller is gone
	}
}

// try sends a request on a new connection and returns the status, 0 if there is no response.
func (s *server) try(request string) int {
	conn := s.dial()
	defer conn.Close()
	return statusOf(conn, request)
}

func statusOf(conn net.Conn, request string) int {
	go io.WriteString(conn, request) // ends with the connection
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// longWork is the time that a request for /long takes.
const longWork = 10 * time.Second

const (
	smallRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	longRequest  = "GET /long HTTP/1.1\r\nHost: h\r\n\r\n"
	bodyStalls   = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"
)

// TestStalledGiveWay guards against callers that stop in the middle of a head or a body and keep others out, against a
// request under work that is closed for another, and against bytes that stay counted after their connections ended.
func TestStalledGiveWay(t *testing.T) {
	const memory = 1 << 20
	head := "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 1000)
	body := bodyStalls + strings.Repeat("x", 150<<10)
	for name, stalls := range map[string]string{"heads": head, "bodies": body} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newServer(memory, nil)
				defer s.stop()
				running := s.dial()
				defer running.Close()
				status := make(chan int, 1)
				go func() { status <- statusOf(running, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n") }()
				time.Sleep(time.Second)
				for range 40 {
					conn := s.dial()
					go io.WriteString(conn, stalls) // ends with the connection
					defer conn.Close()
					time.Sleep(10 * time.Millisecond)
					is.True(s.budget.Held() <= memory+memory/16) // until those that are evicted have ended
				}
				is.Equal(s.try(smallRequest), http.StatusOK)
				time.Sleep(time.Second)
				is.Equal(s.try(smallRequest), http.StatusOK)
				s.release()
				is.Equal(<-status, http.StatusOK)
				s.stop()
				is.Equal(s.budget.Held(), int64(0))
				is.Equal(s.limiter.Connections(), 0)
			})
		})
	}
}

// TestConnectionsGiveWay guards against callers that only connect and keep others out, and against more descriptors than
// the limit.
func TestConnectionsGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newServer(0, func(o *Options) { o.MaxDescriptors = 10 })
		defer s.stop()
		for range 30 {
			defer s.dial().Close()
			time.Sleep(time.Millisecond)
			is.True(s.limiter.Connections() <= 10)
		}
		is.Equal(s.try(smallRequest), http.StatusOK)
	})
}

// TestRequestsUnderWork guards against requests under work that leave no descriptors for other connections: further
// requests are refused, not cut off.
func TestRequestsUnderWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newServer(0, func(o *Options) { o.MaxDescriptors = 20 })
		defer s.stop()
		statuses := make(chan int, 12)
		for range cap(statuses) {
			go func() { statuses <- s.try("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n") }()
			time.Sleep(time.Millisecond)
		}
		is.Equal(s.try(smallRequest), http.StatusServiceUnavailable)
		s.release()
		count := map[int]int{}
		for range cap(statuses) {
			count[<-statuses]++
		}
		is.Equal(count, map[int]int{http.StatusOK: 7, http.StatusServiceUnavailable: 5})
		is.Equal(s.try(smallRequest), http.StatusOK)
	})
}

// TestHeadLimits guards against heads that are read beyond the limit or the time that the configuration sets, also after
// these have changed, and against heads within them that are refused.
func TestHeadLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limit, timeout := 8<<10, 2*time.Second
		s := newServer(0, func(o *Options) {
			o.HeaderBytes, o.HeaderTimeout = func() int { return limit }, func() time.Duration { return timeout }
		})
		defer s.stop()
		head := func(bytes int) string {
			return "GET / HTTP/1.1\r\nHost: h\r\na: " + strings.Repeat("x", bytes) + "\r\n\r\n"
		}
		is.Equal(s.try(head(7<<10)), http.StatusOK)
		is.Equal(s.try(head(17<<10)), http.StatusRequestHeaderFieldsTooLarge)
		limit = 200 << 10
		is.Equal(s.try(head(199<<10)), http.StatusOK)

		conn := s.dial()
		defer conn.Close()
		for kept := range 2 { // a new connection, and one that has carried a request
			_, err := io.WriteString(conn, smallRequest[:10])
			is.NoErr(err)
			time.Sleep(timeout / 2)
			is.Equal(statusOf(conn, smallRequest[10:]), http.StatusOK)
			time.Sleep(time.Duration(kept) * timeout) // idle connections are no heads
		}
		began := time.Now()
		is.Equal(statusOf(conn, smallRequest[:10]), http.StatusRequestTimeout)
		is.True(time.Since(began) <= 2*timeout) // the clock is the test's own
	})
}

// TestHeadEndsBeforeHandler guards against the head of a request that is being handled and counts as one that still arrives,
// since net/http's read behind it comes before the handler: the connection was closed at the end of the head's time.
func TestHeadEndsBeforeHandler(t *testing.T) {
	const post = "POST /long HTTP/1.1\r\nHost: h\r\n"
	for name, c := range map[string]struct{ request, next string }{
		"GET":                   {longRequest, longRequest},
		"POST, no length":       {post + "\r\n", longRequest},
		"POST, length 0":        {post + "Content-Length: 0\r\n\r\n", longRequest},
		"POST, body":            {post + "Content-Length: 1\r\n\r\nx", longRequest},
		"POST, chunks":          {post + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", longRequest},
		"byte of the next head": {longRequest + longRequest[:1], longRequest[1:]},
		"part of the next head": {longRequest + longRequest[:12], longRequest[12:]},
		"whole next head":       {longRequest + longRequest, ""},
		"blank line behind":     {post + "\r\n\r\n", longRequest},
		"refused by the server": {"GET /outside HTTP/1.1\r\nHost: h\r\n\r\n", longRequest},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newServer(0, func(o *Options) { o.HeaderTimeout = func() time.Duration { return longWork / 4 } })
				defer s.stop()
				s.delay.Store(int64(time.Second)) // the read behind the head has begun by then
				conn := s.dial()
				defer conn.Close()
				go io.WriteString(conn, c.request) // ends with the connection
				responses := bufio.NewReader(conn)
				for _, next := range []string{c.next, longRequest, ""} {
					resp, err := http.ReadResponse(responses, nil)
					is.NoErr(err)
					is.Equal(resp.StatusCode, http.StatusOK)
					go io.WriteString(conn, next) // ends with the connection
				}
			})
		})
	}
}

// TestSlowHeadsEnd guards against a head that may stay unfinished: the first on its connection, a later one, and one that
// began together with the request before it.
func TestSlowHeadsEnd(t *testing.T) {
	const timeout = 2 * time.Second
	for name, sent := range map[string]struct {
		first, part string
	}{
		"first":    {"", smallRequest[:10]},
		"later":    {smallRequest, smallRequest[:10]},
		"together": {smallRequest + smallRequest[:10], ""},
		"a byte":   {smallRequest + smallRequest[:1], smallRequest[1:10]},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newServer(0, func(o *Options) { o.HeaderTimeout = func() time.Duration { return timeout } })
				defer s.stop()
				conn := s.dial()
				defer conn.Close()
				responses := bufio.NewReader(conn)
				if sent.first != "" {
					go io.WriteString(conn, sent.first) // ends with the connection
					resp, err := http.ReadResponse(responses, nil)
					is.NoErr(err)
					is.Equal(resp.StatusCode, http.StatusOK)
				}
				began := time.Now()
				go io.WriteString(conn, sent.part) // ends with the connection
				resp, err := http.ReadResponse(responses, nil)
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusRequestTimeout)
				is.True(time.Since(began) >= timeout && time.Since(began) <= 2*timeout) // the clock is the test's own
			})
		})
	}
}

// TestHeadTimeChanges guards against a head under way for which the time holds that was configured as it began.
func TestHeadTimeChanges(t *testing.T) {
	for name, c := range map[string]struct {
		before, after time.Duration
		status        int
	}{
		"shorter": {time.Minute, 2 * time.Second, http.StatusRequestTimeout},
		"longer":  {2 * time.Second, 30 * time.Second, http.StatusOK},
		"none":    {2 * time.Second, 0, http.StatusOK},
		"first":   {0, 2 * time.Second, http.StatusRequestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var timeout atomic.Int64
				timeout.Store(int64(c.before))
				s := newServer(0, func(o *Options) { o.HeaderTimeout = func() time.Duration { return time.Duration(timeout.Load()) } })
				defer s.stop()
				conn := s.dial()
				var rest sync.WaitGroup
				defer rest.Wait()
				defer conn.Close()
				_, err := io.WriteString(conn, smallRequest[:10])
				is.NoErr(err)
				rest.Go(func() {
					time.Sleep(10 * time.Second)
					_, _ = io.WriteString(conn, smallRequest[10:]) // fails once the head is refused
				})
				time.Sleep(time.Second)
				timeout.Store(int64(c.after))
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				is.NoErr(err)
				is.Equal(resp.StatusCode, c.status)
			})
		})
	}
}

// TestHeadCosts guards against heads that cost more memory than is counted for them.
func TestHeadCosts(t *testing.T) {
	const heads, size = 100, 16 << 10
	lines := func(format string) string {
		var b strings.Builder
		for i := 0; b.Len() < size; i++ {
			fmt.Fprintf(&b, format, i)
		}
		return b.String()
	}
	for name, text := range map[string]string{
		"usual": "User-Agent: some agent\r\nAccept: text/event-stream\r\n", "short lines": lines("%x:\r\n"), "line feeds": lines("%x:\n"), "values": lines("%x: v%[1]d\r\n"),
		"one name": strings.Repeat("a:\r\n", size/4), "one line": "a: " + strings.Repeat("x", size) + "\r\n", "folded": "a: x" + strings.Repeat("\r\n x", size/4) + "\r\n",
		"long names": lines("a-rather-long-name-of-a-header-%d: v\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			var requests [heads]*http.Request
			var copies [heads]http.Header
			held := heapBytes()
			for i := range requests {
				r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET / HTTP/1.1\r\nHost: h\r\n" + text + "\r\n")))
				if err != nil {
					t.Fatal(err)
				}
				requests[i], copies[i] = r, r.Header.Clone()
			}
			held = heapBytes() - held
			counted := DefaultCosts.ofRequest(parsedSize(requests[0]))
			if held/heads > counted {
				t.Errorf("holds %d bytes, %d are counted", held/heads, counted)
			}
			runtime.KeepAlive(copies)
		})
	}
}

// heapBytes returns the size of what is in use on the heap.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC() // pools are emptied by the second
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
