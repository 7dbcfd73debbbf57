package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// order is one order that a server got.
type order struct {
	Op, Model, SwitchMode, Holder   string
	Version, FencingToken, Expected uint64
	from                            string
	at                              time.Time
	status                          int
}

// server is a stand-in of a model server that takes orders.
type server struct {
	f                        *fleet
	id, service, zone, model string
	slots                    int
	ln                       net.Listener

	mu      sync.Mutex
	version uint64
	seq     uint64
	busy    bool
	orders  []order
	beats   int

	// onOrder takes an order over if it returns true: it is then neither carried out nor answered.
	onOrder func(o order) bool
	// loadTime is how long an order takes.
	loadTime time.Duration
}

// addServer starts a server and writes its entry.
func (f *fleet) addServer(id, service, zone, model string, slots int) *server {
	s := &server{f: f, id: id, service: service, zone: zone, model: model, slots: slots, version: 1, loadTime: 760 * time.Millisecond}
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
}

func (a answer) write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	for _, h := range a.header {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(a.body), a.body)
	_, err := io.WriteString(w, b.String())
	return err
}

// serve serves one connection, one call at a time.
func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		a, ok := s.handle(req, body, conn)
		if !ok || a.write(conn) != nil {
			return
		}
	}
}

// handle returns the answer to a call; false: none, and the connection is closed. No client sends requests here.
func (s *server) handle(r *http.Request, body []byte, conn net.Conn) (answer, bool) {
	if id := r.Header.Get("Shedhoist-Target-Instance"); id != "" && id != s.id {
		return answer{status: 421, header: [][2]string{{"Shedhoist-Instance-Id", s.id}}}, true
	}
	switch r.URL.Path {
	case "/report":
		return s.report(), true
	case "/order":
		return s.order(body, conn)
	}
	return answer{status: 404}, true
}

func (s *server) report() answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, err := json.Marshal(map[string]any{"stage": "unified", "models": []any{map[string]any{"name": s.model, "version": s.version, "adapters": []any{}}},
		"busy": s.busy, "seq": s.seq, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 41564, "handles": 0})
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
		s.mu.Unlock()
		_, _ = conn.Read(make([]byte, 1)) // no answer, until the sender gives up
		s.mu.Lock()
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
