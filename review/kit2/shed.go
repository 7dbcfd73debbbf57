package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// The case "shed": model servers that are full now and then, some of which send a refusal twice: the second time late,
// where the answer to the next request on the connection is expected.

const (
	shedServers   = 5
	shedFaulty    = 3    // share 0.6
	shedExtra     = 0.05 // of the answers of a faulty server, at most
	shedSlots     = 4    // requests that a server runs at once
	shedQueue     = 2    // that wait there
	shedClients   = 40
	shedHost      = "pule25.example"
	shedPrefix    = "/puxa400/"
	shedBodyBytes = 2000
	shedWindow    = 5 * time.Second // of the fault
)

// refusal is what a full server answers, as the example of the wire has it.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nShedhoist-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// shedServer is a model server that speaks HTTP by itself, since it has to send bytes that belong to no request.
type shedServer struct {
	id, address string
	rec         *record
	faulty      func() bool // some of its refusals are sent twice now

	places  chan struct{} // of slots and queue
	slots   chan struct{}
	answers atomic.Int64 // since some of them are followed by a second one
	chosen  atomic.Int64 // of these, those that are to be
	extras  atomic.Int64 // and those that were

	mu   sync.Mutex
	runs map[string]int // by attempt
}

func startShedServer(f *fleet, rec *record, service, zone string, n int, faulty func() bool) *shedServer {
	ln := listenLoopback("127.0.0.1")
	s := &shedServer{id: fmt.Sprintf("i-%08x", 0xb0000000+n), address: ln.Addr().String(), rec: rec, faulty: faulty,
		places: make(chan struct{}, shedSlots+shedQueue), slots: make(chan struct{}, shedSlots), runs: map[string]int{}}
	go func() {
		for {
			conn, err := ln.Accept()
			check(err)
			go s.serve(conn)
		}
	}()
	go func() {
		for seq := 1; ; seq++ {
			f.store.set("servers", s.id, map[string]any{"service": service, "address": s.address, "zone": zone, "version": "v1", "slots": shedSlots, "state": "ready",
				"coldRemainingMs": 0, "stage": "unified", "models": []any{map[string]any{"name": modelName, "version": 1, "adapters": []any{}}}, "seq": seq})
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return s
}

// serve serves one connection, one request at a time.
func (s *shedServer) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	late := "" // an answer that is sent once more before the next one
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		attempt := r.Header.Get("Shedhoist-Attempt-Id")
		if late != "" {
			s.rec.line("server %s sends its last refusal once more, where the answer to %s is due", s.id, attempt)
			s.extras.Add(1)
			_, _ = io.WriteString(conn, late) // an error shows in the next write
			late = ""
		}
		switch target := r.Header.Get("Shedhoist-Target-Instance"); {
		case target != "" && target != s.id:
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nShedhoist-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
			continue
		case r.URL.Path == "/report":
			body := `{"stage":"unified","models":[{"name":"` + modelName + `","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"running":0,"kvUsed":0,"kvTotal":41564,"handles":0}`
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			continue
		}
		answers, faulty := s.answers.Load(), s.faulty()
		if faulty {
			answers = s.answers.Add(1)
		}
		select {
		case s.places <- struct{}{}:
		default:
			s.rec.line("server %s is full and refuses %s", s.id, attempt)
			if _, err := io.WriteString(conn, refusal); err != nil {
				return
			}
			if faulty && float64(s.chosen.Load()+1) <= shedExtra*float64(answers) {
				s.chosen.Add(1)
				late = refusal
			}
			continue
		}
		err = s.run(conn, attempt)
		<-s.places
		if err != nil {
			return
		}
	}
}

// run works on a request, and streams its answer.
func (s *shedServer) run(conn net.Conn, attempt string) error {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	s.mu.Lock()
	s.runs[attempt]++
	s.mu.Unlock()
	s.rec.line("server %s runs %s", s.id, attempt)
	time.Sleep(60 * time.Millisecond) // reads the prompt
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nShedhoist-Attempt-Id: " + attempt + "\r\nShedhoist-Response-Signature: sig." + s.id + "." + attempt +
		"\r\nShedhoist-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	for id := 1; id <= 3; id++ {
		event := fmt.Sprintf("id: %d\ndata: token-%d\n\n", id, id)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
		time.Sleep(10 * time.Millisecond)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}

func shedConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{"name": "r-1", "hostname": shedHost, "pathPrefix": shedPrefix, "routeType": "streaming", "timeoutMs": 4000, "targetLatencyMs": 500,
			"priority": 1, "service": "huvo11a", "maxAttempts": 1, "public": false, "sticky": true, "resumable": false, "gapTargetMs": 300}},
		"services": []any{map[string]any{"name": "huvo11a", "healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": shedSlots, "kvCapacityTokens": 41564, "kvTokenBytes": 18432, "linkMbps": 130000.0, "managed": true, "maxInflight": 12,
				"models": []any{map[string]any{"name": modelName}}}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "b", "apiKeys": []string{"key-b"}, "priority": 1}},
	}
}

// shedClient sends one request after the other until a time, each with an id of its own.
func shedClient(rec *record, front string, number int, until time.Time, answered func(attempt string, status int)) {
	client := &http.Client{Timeout: 5 * time.Second}
	for i := 0; time.Now().Before(until); i++ {
		attempt := fmt.Sprintf("c%02d-%05d", number, i)
		r, err := http.NewRequest(http.MethodPost, "http://"+front+shedPrefix+"2f", io.NopCloser(io.LimitReader(zeros{}, shedBodyBytes)))
		check(err)
		r.Host, r.ContentLength = shedHost, shedBodyBytes
		for name, value := range map[string]string{"Shedhoist-Attempt-Id": attempt, "Shedhoist-Model": modelName, "Shedhoist-Token-Count": "210,9",
			"Shedhoist-Prompt-Prefix": fmt.Sprintf("%08x:100,%08x:110", 0x5c1e0000+i%20, 0x70000000+number*100000+i), "Shedhoist-Request-Deadline-Ms": "4000", "Shedhoist-Key": "key-b"} {
			r.Header.Set(name, value)
		}
		resp, err := client.Do(r)
		status, pause := 0, time.Duration(0)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			status = resp.StatusCode
			if after, failed := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); failed == nil {
				pause = min(time.Duration(after*float64(time.Second)), time.Second)
			}
		}
		rec.line("client gets %d for %s, error %v", status, attempt, err)
		answered(attempt, status)
		time.Sleep(pause)
	}
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

func playShed(root string, rec *record, trouble bool) (broken bool) {
	f := newFleet(root, 3)
	cleanup = f.stopAll
	f.store.set("config", "main", shedConfig())
	f.store.set("versions", modelName, map[string]any{"model": modelName, "version": 1})
	var faultyNow atomic.Bool
	var servers []*shedServer
	for i := range shedServers {
		faulty := func() bool { return i < shedFaulty && faultyNow.Load() }
		servers = append(servers, startShedServer(f, rec, "huvo11a", fmt.Sprintf("z%d", i%3+1), i, faulty))
	}
	f.startAll()
	time.Sleep(2 * time.Second) // until the processes know each other

	var mu sync.Mutex
	statuses := map[string]int{}
	until := time.Now().Add(10 * time.Second)
	var clients sync.WaitGroup
	for n := range shedClients {
		clients.Go(func() {
			shedClient(rec, f.instances[n%3].front, n, until, func(attempt string, status int) {
				mu.Lock()
				defer mu.Unlock()
				statuses[attempt] = status
			})
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		rec.line("the servers 0 to %d send some of their refusals twice for %v", shedFaulty-1, shedWindow)
		faultyNow.Store(true)
	}
	time.Sleep(shedWindow)
	faultyNow.Store(false)
	clients.Wait()
	time.Sleep(300 * time.Millisecond) // what was sent still runs

	runs, served := map[string]int{}, 0
	for _, s := range servers {
		s.mu.Lock()
		for attempt, n := range s.runs {
			runs[attempt] += n
		}
		s.mu.Unlock()
		rec.line("server %s: %d answers during the fault, %d of them followed by a second one", s.id, s.answers.Load(), s.extras.Load())
	}
	for attempt, status := range statuses {
		if status == http.StatusOK {
			served++
		}
		if runs[attempt] > 1 {
			broken = true
			rec.line("TWICE: %s, which may run once at most, ran %d times", attempt, runs[attempt])
		}
		if runs[attempt] > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
			broken = true
			rec.line("REFUSED: %s was answered %d, and has run", attempt, status)
		}
	}
	rec.line("%d requests, %d served", len(statuses), served)
	if served < 100 {
		cannotRun("only %d requests were served", served)
	}
	return broken
}
