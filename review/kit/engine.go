package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	headerID          = "Shedhoist-Attempt-Id"
	headerSignature   = "Shedhoist-Response-Signature"
	headerNotExecuted = "Shedhoist-Not-Executed"
)

// run is one run of a request at a server.
type run struct {
	id, server string
	at         time.Time
}

// runs counts the runs of all requests at all servers.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(id, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, run{id, server, time.Now()})
}

func (r *runs) byID() map[string][]run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string][]run{}
	for _, one := range r.all {
		out[one.id] = append(out[one.id], one)
	}
	return out
}

// order is one order that a server got.
type order struct {
	Op, Model, SwitchMode, Holder   string
	Version, FencingToken, Expected uint64
	from                            string
	at                              time.Time
	status                          int
}

// server is a stand-in of a server: of a model server if model is set, of a plain service otherwise.
type server struct {
	f                        *fleet
	id, service, zone, model string
	slots                    int
	workTime                 time.Duration
	ln                       net.Listener
	runs                     *runs

	mu      sync.Mutex
	running int
	version uint64
	seq     uint64
	busy    bool
	orders  []order
	beats   int
	answers int // to requests, refusals too
	extras  int

	// onOrder takes an order over if it returns true: it is then neither carried out nor answered.
	onOrder func(o order) bool
	// loadTime is how long an order takes.
	loadTime time.Duration
	// extraShare is the share of its answers after which it sends the same answer once more, at the point
	// where the next one on the connection is expected.
	extraShare float64
	extraTimes [][2]time.Duration // when it does so, from extraFrom on
	extraFrom  time.Time
	// sheds makes it refuse what exceeds its slots; otherwise that waits.
	sheds bool
	// cache is how a model server uses the cache store; nil: not at all.
	cache *cacheRules
}

// addServer starts a server and writes its entry.
func (f *fleet) addServer(id, service, zone, model string, slots int, work time.Duration, all *runs) *server {
	s := &server{f: f, id: id, service: service, zone: zone, model: model, slots: slots, workTime: work, version: 1, runs: all, loadTime: 760 * time.Millisecond}
	ln, err := net.Listen("tcp", net.JoinHostPort(f.nextIP(), "0"))
	must(err)
	s.ln = ln
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	s.beat()
	return s
}

// beat writes the server's entry.
func (s *server) beat() {
	s.mu.Lock()
	s.beats++
	entry := map[string]any{"service": s.service, "address": s.ln.Addr().String(), "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
		"coldRemainingMs": 0, "seq": s.beats}
	if s.model != "" {
		entry["stage"] = "unified"
		entry["models"] = []any{map[string]any{"name": s.model, "version": s.version, "adapters": []any{}}}
	}
	s.mu.Unlock()
	s.f.store.set("servers", s.id, entry)
}

// answer is one answer of a server.
type answer struct {
	status int
	header [][2]string
	body   string
	events []string // a stream, in chunks
	pause  time.Duration
}

func (a answer) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	for _, h := range a.header {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	if a.events != nil {
		b.WriteString("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		return b.String()
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(a.body), a.body)
	return b.String()
}

func (a answer) write(w io.Writer) error {
	if _, err := io.WriteString(w, a.head()); err != nil || a.events == nil {
		return err
	}
	for _, e := range a.events {
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e); err != nil {
			return err
		}
		time.Sleep(a.pause)
	}
	_, err := io.WriteString(w, "0\r\n\r\n")
	return err
}

// serve serves one connection, one request at a time.
func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	late := "" // an extra answer that is due where the next one is expected
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if late != "" {
			s.f.rec.line("server %s sends an extra answer: %q, where that to request %s is due", s.id, late, req.Header.Get(headerID))
			if _, err := io.WriteString(conn, late); err != nil {
				return
			}
			late = ""
		}
		a, ok := s.handle(req, body, conn, r)
		if !ok {
			return
		}
		if err := a.write(conn); err != nil {
			return
		}
		if req.Header.Get(headerID) != "" && s.dueExtra(a) {
			late = a.head()
		}
	}
}

// dueExtra reports whether an extra answer follows this one. Only refusals are sent twice, and no more than
// the share of all answers allows.
func (s *server) dueExtra(a answer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, active := time.Since(s.extraFrom), false
	for _, t := range s.extraTimes {
		active = active || now >= t[0] && now < t[1]
	}
	if !active {
		return false
	}
	s.answers++ // the share counts within these times only
	if a.status != 503 || float64(s.extras+1) > s.extraShare*float64(s.answers) {
		return false
	}
	s.extras++
	return true
}

// handle returns the answer to a request; false: none, and the connection is closed.
func (s *server) handle(r *http.Request, body []byte, conn net.Conn, in *bufio.Reader) (answer, bool) {
	if id := r.Header.Get("Shedhoist-Target-Instance"); id != "" && id != s.id {
		return answer{status: 421, header: [][2]string{{"Shedhoist-Instance-Id", s.id}}}, true
	}
	switch r.URL.Path {
	case "/report":
		return s.report(), true
	case "/order":
		return s.order(body, conn)
	}
	id := r.Header.Get(headerID)
	if id == "" {
		return answer{status: 400, header: [][2]string{{headerNotExecuted, "1"}}}, true
	}
	if want := r.Header.Get("Shedhoist-Expect-Version"); want != "" && want != fmt.Sprint(s.weights()) {
		return answer{status: 421, header: [][2]string{{headerNotExecuted, "1"}}}, true
	}
	s.mu.Lock()
	if s.busy || s.sheds && s.running >= s.slots {
		s.mu.Unlock()
		s.f.rec.line("server %s refuses request %s: full", s.id, id)
		return answer{status: 503, header: [][2]string{{headerNotExecuted, "1"}}}, true
	}
	s.running++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	time.Sleep(s.workTime)
	if s.cache != nil {
		s.cache.prompt(s.id, r.Header) // these servers don't drop a request whose connection is closed
	} else if isClosed(conn, in) {
		s.f.rec.line("server %s drops request %s: its connection is closed", s.id, id)
		return answer{}, false
	}
	s.runs.add(id, s.id)
	s.f.rec.line("server %s runs request %s: it has its first token", s.id, id)
	a := answer{status: 200, header: [][2]string{{headerID, id}, {headerSignature, s.id + "." + id}, {"Keep-Alive", "timeout=10"}}}
	if s.model == "" {
		a.body = "done " + id
		return a, true
	}
	a.header = append(a.header, [2]string{"Shedhoist-Weight-Versions", fmt.Sprint(s.weights())})
	for k := 1; k <= 4; k++ {
		a.events = append(a.events, fmt.Sprintf("id: %d\ndata: %s %d of 4\n\n", k, id, k))
	}
	a.pause = 5 * time.Millisecond
	return a, true
}

// isClosed reports whether the other side has closed a connection.
func isClosed(conn net.Conn, in *bufio.Reader) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := in.Peek(1)
	_ = conn.SetReadDeadline(time.Time{})
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

func (s *server) weights() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *server) report() answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, err := json.Marshal(map[string]any{"stage": "unified", "models": []any{map[string]any{"name": s.model, "version": s.version, "adapters": []any{}}},
		"busy": s.busy, "seq": s.seq, "queued": 0, "running": s.running, "kvUsed": 0, "kvTotal": 41564, "handles": 0})
	must(err)
	return answer{status: 200, header: [][2]string{{"Content-Type", "application/json"}}, body: string(body)}
}

func (s *server) order(body []byte, conn net.Conn) (answer, bool) {
	o := order{at: time.Now()}
	if json.Unmarshal(body, &o) != nil || o.Holder == "" {
		return answer{status: 400}, true
	}
	o.from, _, _ = net.SplitHostPort(conn.RemoteAddr().String())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.onOrder != nil && s.onOrder(o) {
		s.orders = append(s.orders, o)
		return answer{}, false
	}
	switch {
	case s.busy || o.Expected != s.seq:
		o.status = 409
	case o.Version <= s.version:
		o.status = 200
	default:
		o.status = 202
		s.seq++
		s.busy = true
		time.AfterFunc(s.loadTime, func() {
			s.mu.Lock()
			s.version, s.busy = o.Version, false
			s.mu.Unlock()
			s.beat()
		})
	}
	s.orders = append(s.orders, o)
	return answer{status: o.status}, true
}

// config writes the configuration, with the routes of the site zrs-shifts; onceStreams: also those of the streams
// that may not be resumed.
func (f *fleet) config(version int, onceStreams bool) {
	route := func(name, prefix, kind, service string, more map[string]any) map[string]any {
		out := map[string]any{"name": name, "hostname": "pule25.example", "pathPrefix": prefix, "routeType": kind, "timeoutMs": 4000, "targetLatencyMs": 500, "priority": 1,
			"service": service, "maxAttempts": 1, "public": false, "sticky": false, "resumable": false, "gapTargetMs": 0}
		for k, v := range more {
			out[k] = v
		}
		return out
	}
	routes := []any{
		route("swap-query", "/cufi501/fi50/", "streaming", "huvo11a", map[string]any{"sticky": true, "gapTargetMs": 300, "resumable": true, "maxAttempts": 2, "timeoutMs": 12000, "targetLatencyMs": 300, "priority": 0}),
		route("attend-confirm", "/defi252/", "non_idempotent", "ratiba", map[string]any{"timeoutMs": 1200, "targetLatencyMs": 150, "priority": 2}),
		route("shift-fetch", "/bobo563/lo7/", "idempotent", "ratiba", map[string]any{"timeoutMs": 1200, "targetLatencyMs": 150, "priority": 2, "maxAttempts": 2}),
	}
	if onceStreams {
		routes = append(routes, route("roster-audit", "/puxa400/", "streaming", "huvo11a", map[string]any{"sticky": true, "gapTargetMs": 300}))
	}
	f.store.set("config", "main", map[string]any{"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "huvo11a", "healthPath": "/health", "maxConnections": 360, "engine": map[string]any{"slots": 64, "kvCapacityTokens": 41564, "kvTokenBytes": 18432, "linkMbps": 130000.0, "maxInflight": 12, "managed": true}},
			map[string]any{"name": "ratiba", "healthPath": "/health", "maxConnections": 100},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
		"tenants": []any{map[string]any{"name": "jeye930", "apiKeys": []string{"nu6wsjnbanfqasnmgkcu"}, "priority": 1}},
	})
}
