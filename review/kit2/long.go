package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case "long": requests without a body that take longer than a head may take to arrive, on connections that their
// clients keep.

const (
	longHost    = "pule25.example"
	longPrefix  = "/defi252/"
	longTakes   = 5 * time.Second       // that a server works on the first request of a connection
	shortTakes  = 20 * time.Millisecond // and on the next ones
	longPerS    = 150                   // connections opened each second, at the same moment
	longFor     = 40 * time.Second
	longServers = 12
	// maxUnanswered is how many requests that were passed on a machine may leave without an answer.
	maxUnanswered = 3
)

// plainServer is a sound server without a model.
type plainServer struct {
	id     string
	rec    *record
	passed *sync.Map // the attempts that reached a server
}

func startPlainServer(f *fleet, rec *record, service, zone string, n int, passed *sync.Map) *plainServer {
	ln := listenLoopback("127.0.0.1")
	s := &plainServer{id: fmt.Sprintf("i-%08x", 0xc0000000+n), rec: rec, passed: passed}
	go func() { _ = http.Serve(ln, s) }()
	go func() {
		for seq := 1; ; seq++ {
			f.store.set("servers", s.id, map[string]any{"service": service, "address": ln.Addr().String(), "zone": zone, "version": "v1", "slots": 100, "state": "ready",
				"coldRemainingMs": 0, "seq": seq})
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return s
}

func (s *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if target := r.Header.Get("Shedhoist-Target-Instance"); target != "" && target != s.id {
		w.Header().Set("Shedhoist-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	attempt, takes := r.Header.Get("Shedhoist-Attempt-Id"), shortTakes
	if strings.HasSuffix(r.URL.Path, "/long") {
		takes = longTakes
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.passed.Store(attempt, true)
	s.rec.line("server %s runs %s", s.id, attempt)
	select {
	case <-time.After(takes):
	case <-r.Context().Done():
		s.rec.line("server %s: the connection of %s was closed while it worked", s.id, attempt)
		return
	}
	w.Header().Set("Shedhoist-Attempt-Id", attempt)
	w.Header().Set("Shedhoist-Response-Signature", "sig."+attempt)
	fmt.Fprint(w, "done")
}

// longConfig allows a time for heads.
func longConfig(version, headerTimeoutMs int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{"name": "r-1", "hostname": longHost, "pathPrefix": longPrefix, "routeType": "non_idempotent", "timeoutMs": 12000, "targetLatencyMs": 6000,
			"priority": 0, "service": "kafi81c", "maxAttempts": 1, "public": false, "sticky": false, "resumable": false}},
		"services": []any{map[string]any{"name": "kafi81c", "healthPath": "/health", "maxConnections": 400, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": headerTimeoutMs, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "b", "apiKeys": []string{"key-b"}, "priority": 1}},
	}
}

// longClient opens a connection and sends two requests on it, one after the other. It reports which got an answer, if only
// its beginning.
func longClient(rec *record, front string, number int, ended func(request int, attempt string, answered bool)) {
	conn, err := net.Dial("tcp", front)
	check(err)
	defer conn.Close()
	in := bufio.NewReader(conn)
	for i, path := range []string{"long", "short"} {
		attempt := fmt.Sprintf("c%05d-%d", number, i)
		rec.line("client sends %s to %s", attempt, front)
		_, err := fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\nShedhoist-Attempt-Id: %s\r\nShedhoist-Request-Deadline-Ms: 12000\r\nShedhoist-Key: key-b\r\n\r\n",
			longPrefix, path, longHost, attempt)
		check(err)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			rec.line("LOST: the connection ends without an answer to %s: %v", attempt, err)
			ended(i, attempt, false)
			return
		}
		_, err = io.Copy(io.Discard, resp.Body)
		ended(i, attempt, true)
		rec.line("client gets %d for %s, error %v", resp.StatusCode, attempt, err)
		if resp.Close || err != nil {
			return
		}
	}
}

func playLong(root string, rec *record, trouble bool) (broken bool) {
	f := newFleet(root, 3)
	cleanup = f.stopAll
	f.store.set("config", "main", longConfig(7, 10000))
	var passed sync.Map
	for i := range longServers {
		startPlainServer(f, rec, "kafi81c", fmt.Sprintf("z%d", i%3+1), i, &passed)
	}
	f.startAll()
	time.Sleep(2 * time.Second) // until the processes know each other
	if trouble {
		f.store.set("config", "main", longConfig(9, 3000))
		rec.line("the store has acknowledged version 9: a head may take 3 s instead of 10 s to arrive")
	}
	time.Sleep(configApply)

	var unanswered [3]atomic.Int64 // by machine; requests that a server got
	var answered [2]atomic.Int64   // by request of a connection
	var clients sync.WaitGroup
	for second := range int(longFor.Seconds()) {
		for k := range longPerS {
			n := second*longPerS + k
			clients.Go(func() {
				longClient(rec, f.instances[n%3].front, n, func(request int, attempt string, ok bool) {
					if ok {
						answered[request].Add(1)
					} else if _, got := passed.Load(attempt); got {
						unanswered[n%3].Add(1)
					}
				})
			})
		}
		time.Sleep(time.Second)
	}
	clients.Wait()
	most, all := int64(0), int64(0)
	for i := range unanswered {
		most, all = max(most, unanswered[i].Load()), all+unanswered[i].Load()
	}
	rec.line("%d connections, %d of them ended without an answer to a request that was passed on, %d at one machine at most; answered: %d first requests, %d second ones",
		int(longFor.Seconds()*longPerS), all, most, answered[0].Load(), answered[1].Load())
	return most > maxUnanswered
}
