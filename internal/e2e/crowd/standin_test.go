package crowd_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// standin is an object store with a fixed configuration, and a target.
type standin struct {
	store, target string // host:port
	received      atomic.Int64
	release       chan struct{} // closed to let the target answer slow requests
}

// largeAnswer is the size in bytes of an answer below /large/.
const largeAnswer = 900 << 10

func newStandin(t *testing.T) *standin {
	s := &standin{release: make(chan struct{})}
	target := httptest.NewServer(http.HandlerFunc(s.serveTarget))
	store := httptest.NewServer(http.HandlerFunc(s.serveStore))
	s.target, s.store = strings.TrimPrefix(target.URL, "http://"), strings.TrimPrefix(store.URL, "http://")
	t.Cleanup(func() {
		close(s.release)
		for _, server := range []*httptest.Server{target, store} {
			server.CloseClientConnections()
			server.Close()
		}
	})
	return s
}

// hexAddresses returns addresses as /proc/net/tcp writes them.
func hexAddresses(addresses ...string) map[string]bool {
	out := map[string]bool{}
	for _, address := range addresses {
		host, port, _ := net.SplitHostPort(address)
		n, _ := strconv.Atoi(port)
		out[hexAddress(host)+":"+strings.ToUpper(hex4(n))] = true
	}
	return out
}

func hex4(n int) string {
	s := strconv.FormatInt(int64(n), 16)
	return strings.Repeat("0", 4-len(s)) + s
}

func (s *standin) serveTarget(w http.ResponseWriter, r *http.Request) {
	n, _ := io.Copy(io.Discard, r.Body)
	w.Header().Set("Shedhoist-Attempt-Id", r.Header.Get("Shedhoist-Attempt-Id"))
	w.Header().Set("Shedhoist-Response-Signature", "s")
	switch {
	case strings.HasPrefix(r.URL.Path, "/slow/"):
		select {
		case <-s.release:
		case <-r.Context().Done():
		}
	case strings.HasPrefix(r.URL.Path, "/large/"):
		_, _ = w.Write(make([]byte, largeAnswer))
		return
	}
	s.received.Add(1)
	_, _ = io.WriteString(w, strconv.FormatInt(n, 10)) // the size of the body
}

type fields map[string]any

// objects returns the specs of the objects of a kind, by name.
func (s *standin) objects(kind string) map[string]fields {
	switch kind {
	case "config":
		return map[string]fields{"main": config()}
	case "servers":
		return map[string]fields{"i-1": {"service": "plain", "address": s.target, "zone": "z1", "slots": 1000, "state": "ready", "version": "v1", "coldRemainingMs": 0, "seq": 1}}
	}
	return nil
}

func config() fields {
	var routes []fields
	for _, prefix := range []string{"/open/", "/slow/", "/large/"} {
		routes = append(routes, route(prefix, true))
	}
	routes = append(routes, route("/keyed/", false))
	return fields{"version": 3, "routes": routes,
		"services": []fields{{"name": "plain", "healthPath": "/health", "maxConnections": 1000}},
		"limits":   fields{"maxBodyBytes": maxBodyBytes, "maxHeaderBytes": maxHeaderBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []fields{{"name": "one", "apiKeys": []string{"key-1"}}}}
}

func route(prefix string, public bool) fields {
	return fields{"name": prefix, "hostname": "a.example", "pathPrefix": prefix, "routeType": "idempotent", "timeoutMs": 20000, "targetLatencyMs": 500,
		"service": "plain", "maxAttempts": 1, "public": public}
}

// serveStore lists the objects and lets watches wait. It refuses to write.
func (s *standin) serveStore(w http.ResponseWriter, r *http.Request) {
	const revision = 10
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method != http.MethodGet:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case r.URL.Query().Has("watch"):
		s.holdWatch(r)
		writeJSON(w, fields{"events": []fields{}, "asOf": revision})
		return
	}
	items := []fields{}
	for object, spec := range s.objects(kind) {
		item := fields{"metadata": fields{"name": object, "revision": revision}, "spec": spec}
		if named && object == name {
			writeJSON(w, item)
			return
		}
		items = append(items, item)
	}
	if named {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, fields{"items": items, "truncated": false, "asOf": revision})
}

// holdWatch waits as long as the watch asks for.
func (s *standin) holdWatch(r *http.Request) {
	ms, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
	case <-r.Context().Done():
	case <-s.release:
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client is gone
}
