package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const modelName = "daka510000"

// madePart is a part of a prompt that a server keeps.
type madePart struct{ tenant, attempt string }

// run is one request that a server ran.
type run struct {
	server, attempt, tenant, salt string
	at                            time.Time
	used                          map[string]madePart // by part: KV cache that the run found, and who made it
}

// engine is a sound model server: it streams events, and keeps parts under the salt of the request.
type engine struct {
	id, address string
	rec         *record
	// onRun is called before each run; nil: none.
	onRun func(r *http.Request)

	mu    sync.Mutex
	parts map[string]madePart // by salt and part
	runs  []run
}

// startEngine starts a model server and enters it into the store.
func startEngine(f *fleet, rec *record, service, zone string, n int) *engine {
	ln := listenLoopback("127.0.0.1")
	e := &engine{id: fmt.Sprintf("i-%08x", 0xa0000000+n), address: ln.Addr().String(), rec: rec, parts: map[string]madePart{}}
	go func() { _ = http.Serve(ln, e) }()
	go func() {
		for seq := 1; ; seq++ {
			f.store.set("servers", e.id, map[string]any{"service": service, "address": e.address, "zone": zone, "version": "v1", "slots": 64, "state": "ready",
				"coldRemainingMs": 0, "stage": "unified", "models": []any{map[string]any{"name": modelName, "version": 1, "adapters": []any{}}}, "seq": seq})
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return e
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch target := r.Header.Get("Shedhoist-Target-Instance"); {
	case target != "" && target != e.id:
		w.Header().Set("Shedhoist-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.URL.Path == "/health":
		w.Header().Set("Shedhoist-Instance-Id", e.id)
	case r.URL.Path == "/report":
		writeJSON(w, http.StatusOK, map[string]any{"stage": "unified", "models": []any{map[string]any{"name": modelName, "version": 1, "adapters": []any{}}},
			"busy": false, "seq": 0, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 41564, "handles": 0})
	default:
		e.serve(w, r)
	}
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if e.onRun != nil {
		e.onRun(r)
	}
	found := e.prefill(r)
	e.rec.line("server %s runs %s of tenant %s, %d bytes, salt %s, KV cache used: %v", e.id, found.attempt, found.tenant, len(body), found.salt, found.used)
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Shedhoist-Attempt-Id", found.attempt)
	h.Set("Shedhoist-Response-Signature", "sig."+e.id)
	h.Set("Shedhoist-Weight-Versions", "1")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for id := first + 1; id <= 5; id++ {
		fmt.Fprintf(w, "id: %d\ndata: token-%d\n\n", id, id)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// prefill finds the parts that are kept, as long as all before them are, and keeps the others.
func (e *engine) prefill(r *http.Request) run {
	h := r.Header
	out := run{server: e.id, attempt: h.Get("Shedhoist-Attempt-Id"), tenant: h.Get("Shedhoist-Tenant"), salt: h.Get("Shedhoist-Cache-Salt"), at: time.Now(), used: map[string]madePart{}}
	e.mu.Lock()
	defer e.mu.Unlock()
	missing := false // a part before is not kept
	for _, part := range strings.Split(h.Get("Shedhoist-Prompt-Prefix"), ",") {
		id, _, _ := strings.Cut(part, ":")
		key := out.salt + "/" + id
		made, kept := e.parts[key]
		if missing = missing || !kept; missing {
			e.parts[key] = madePart{tenant: out.tenant, attempt: out.attempt}
			continue
		}
		out.used[id] = made
	}
	e.runs = append(e.runs, out)
	return out
}

func (e *engine) allRuns() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]run(nil), e.runs...)
}
