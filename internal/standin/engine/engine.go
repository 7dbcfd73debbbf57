// Package engine is a small stand-in for a model engine: an OpenAI-style HTTP
// server with a prefix cache of limited size, lagging reports, late cache
// events with gaps, priorities, cancel and resume, cache export and import,
// and orders. Its text is a function of prompt, weight version and adapter, so
// a test can tell a whole answer from a torn one.
package engine

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/prefix"
	"github.com/shedhoist/shedhoist/internal/target"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Options size the stand-in. Times are modelled; TimeScale turns them into
// real ones (0.1 is ten times as fast as real).
type Options struct {
	Name        string
	Model       string
	Version     string
	Adapters    []string
	Slots       int     // runs at once
	CachePieces int     // pieces of prefix cache
	PrefillUS   float64 // per prompt token
	DecodeMS    float64 // per generated token
	LoadMS      float64 // to load weights
	KVBytes     int     // bytes of cache per token
	Fenced      bool    // checks fencing tokens
	LagMS       float64 // age of status reports
	EventLagMS  float64 // delay of cache events
	TimeScale   float64
	OnLoad      func(delta int) // called as a load begins (1) and ends (-1)
}

// Faults are the failures to show; counts are taken down by one when used.
type Faults struct {
	Refuse       int    `json:"refuse"`        // documented refusals to give
	Die          string `json:"die"`           // where runs die: half, headers, mid, terminator
	DieCount     int    `json:"die_count"`     // how many runs die so
	DieAfter     int    `json:"die_after"`     // tokens before a death at mid
	Crossed      int    `json:"crossed"`       // answers that carry another run's id
	Reset        bool   `json:"-"`             // every new connection is closed unread, this one's too: not by HTTP
	ResetMS      int    `json:"reset_ms"`      // the same for so long
	StallMS      int    `json:"stall_ms"`      // added before the head of each answer
	HideStatus   bool   `json:"hide_status"`   // /status and /events fail
	DropEvents   int    `json:"drop_events"`   // next n cache events are never shown
	BadVersion   string `json:"bad_version"`   // a load of this version fails
	FreezeReport bool   `json:"freeze_report"` // /status goes on showing its last report
}

// Where a run may die.
const (
	dieHalf       = "half"
	dieHeaders    = "headers"
	dieMid        = "mid"
	dieTerminator = "terminator"
)

// Counters are what the stand-in has seen; they only rise.
type Counters struct {
	Runs            int   `json:"runs"` // begun
	Finished        int   `json:"finished"`
	Cancelled       int   `json:"cancelled"`
	Refused         int   `json:"refused"`
	PromptTokens    int64 `json:"prompt_tokens"`
	ComputedTokens  int64 `json:"computed_tokens"`
	RestoredTokens  int64 `json:"restored_tokens"`
	GeneratedTokens int64 `json:"generated_tokens"`
	WrongBlocks     int   `json:"wrong_blocks"` // reuse of a block that is not the prompt's own: must stay 0
	ExportedBytes   int64 `json:"exported_bytes"`
	ImportedBytes   int64 `json:"imported_bytes"`
	Loads           int   `json:"loads"`
	StaleOrders     int   `json:"stale_orders"`
	Orders          int   `json:"orders"`
}

// Server is the stand-in.
type Server struct {
	o      Options
	http   *http.Client
	prefil *queue // one prompt is computed at a time
	slots  *queue

	mu       sync.Mutex
	faults   Faults
	counters Counters
	version  string
	loading  bool
	adapters []string
	role     string
	leaving  bool
	fence    uint64
	running  int
	waiting  int
	queued   int // prompt tokens waiting or being computed
	report   target.Status
	reportAt time.Time
	cache    *cache
	lastID   string
	active   map[string]context.CancelFunc

	resetUntil time.Time
}

// New returns an engine with its weights loaded.
func New(o Options) *Server {
	if o.Slots == 0 {
		o.Slots = 16
	}
	if o.CachePieces == 0 {
		o.CachePieces = 64
	}
	if o.TimeScale == 0 {
		o.TimeScale = 1
	}
	if o.KVBytes == 0 {
		o.KVBytes = 2048
	}
	return &Server{o: o, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
		prefil: newQueue(1), slots: newQueue(o.Slots), version: o.Version, adapters: slices.Clone(o.Adapters),
		role: "both", cache: newCache(o.CachePieces), active: map[string]context.CancelFunc{}}
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.resetUntil = time.Now().Add(time.Duration(f.ResetMS) * time.Millisecond)
	s.cache.drop = f.DropEvents
}

// Counters returns the counts so far.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// SetLeaving makes the engine say that it leaves.
func (s *Server) SetLeaving(v bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = v
}

// DropCache empties the prefix cache, as memory pressure of other work would.
func (s *Server) DropCache() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache.clear(s.now())
}

// Listener wraps a listener so that the fault Reset works.
func (s *Server) Listener(ln net.Listener) net.Listener { return &resetListener{Listener: ln, s: s} }

type resetListener struct {
	net.Listener
	s *Server
}

// Accept implements net.Listener.
func (l *resetListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.s.mu.Lock()
		reset := l.s.faults.Reset || time.Now().Before(l.s.resetUntil)
		l.s.mu.Unlock()
		if !reset {
			return conn, nil
		}
		conn.Close()
	}
}

// Handler serves the engine's dialect and, below /standin/, faults and counts.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.run)
	mux.HandleFunc("POST /v1/chat/completions", s.run)
	mux.HandleFunc("POST /cancel/{id}", s.cancel)
	mux.HandleFunc("GET /status", s.status)
	mux.HandleFunc("GET /events", s.events)
	mux.HandleFunc("POST /orders", s.order)
	mux.HandleFunc("POST /kv/export", s.export)
	mux.HandleFunc("POST /standin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	})
	mux.HandleFunc("POST /standin/drop-cache", func(http.ResponseWriter, *http.Request) { s.DropCache() })
	mux.HandleFunc("POST /standin/leaving", func(http.ResponseWriter, *http.Request) { s.SetLeaving(true) })
	mux.HandleFunc("GET /standin/counters", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Counters()) })
	return mux
}

func (s *Server) now() time.Time { return time.Now() }

// scaled turns modelled milliseconds into real time.
func (s *Server) scaled(ms float64) time.Duration {
	return time.Duration(ms * s.o.TimeScale * float64(time.Millisecond))
}

// status shows the report, renewed only when it is older than the lag.
func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	if s.faults.HideStatus {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	now := s.now()
	if s.reportAt.IsZero() || (!s.faults.FreezeReport && now.Sub(s.reportAt) >= s.scaled(s.o.LagMS)) {
		s.report, s.reportAt = s.observe(), now
	}
	out := s.report
	out.AgeMS = float64(now.Sub(s.reportAt)) / float64(time.Millisecond)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

// observe is the true state; s.mu is held.
func (s *Server) observe() target.Status {
	out := target.Status{Name: s.o.Name, Model: s.o.Model, Version: s.version, Adapters: slices.Clone(s.adapters), Role: s.role,
		Leaving: s.leaving, Loading: s.loading, Running: s.running, Waiting: s.waiting, QueuedTokens: s.queued,
		FencingToken: s.fence, EventSeq: s.cache.seq}
	if s.loading {
		out.Version = ""
	}
	return out
}

func (s *Server) events(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	hidden := s.faults.HideStatus
	page := s.cache.page(r.URL.Query().Get("after"), s.now().Add(-s.scaled(s.o.EventLagMS)))
	s.mu.Unlock()
	if hidden {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, page)
}

// order carries out an absolute order and answers with the true status.
func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o target.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.counters.Orders++
	if o.FencingToken < s.fence {
		s.counters.StaleOrders++
		if s.o.Fenced {
			have := s.fence
			s.mu.Unlock()
			writeJSON(w, http.StatusPreconditionFailed, map[string]uint64{"fence": have})
			return
		}
	}
	s.fence = max(s.fence, o.FencingToken)
	s.mu.Unlock()
	if !s.obey(r.Context(), o) {
		http.Error(w, "load failed", http.StatusUnprocessableEntity)
		return
	}
	s.mu.Lock()
	out := s.observe()
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

func (s *Server) obey(ctx context.Context, o target.Order) bool {
	switch o.Kind {
	case target.OrderLoad:
		return s.load(ctx, o.Version)
	case target.OrderAdapter:
		s.mu.Lock()
		defer s.mu.Unlock()
		if !slices.Contains(s.adapters, o.Adapter) {
			s.adapters = append(s.adapters, o.Adapter)
		}
	case target.OrderDropAdapter:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.adapters = slices.DeleteFunc(s.adapters, func(a string) bool { return a == o.Adapter })
	case target.OrderRole:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.role = o.Role
	default:
		return false
	}
	return true
}

// load swaps the weights. Runs in hand keep their version; the prefix cache of
// the old version is dropped.
func (s *Server) load(ctx context.Context, version string) bool {
	s.mu.Lock()
	if s.version == version && !s.loading {
		s.mu.Unlock()
		return true
	}
	bad := s.faults.BadVersion != "" && s.faults.BadVersion == version
	s.loading = true
	s.counters.Loads++
	s.mu.Unlock()
	if s.o.OnLoad != nil {
		s.o.OnLoad(1)
		defer s.o.OnLoad(-1)
	}
	wait.For(ctx, s.scaled(s.o.LoadMS))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading = false
	if bad {
		return false
	}
	s.version = version
	s.cache.clear(s.now())
	return true
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	stop := s.active[r.PathValue("id")]
	s.mu.Unlock()
	if stop == nil {
		http.NotFound(w, r)
		return
	}
	stop()
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Resident is the true number of leading keys in memory.
func (s *Server) Resident(keys []prefix.Key) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, k := range keys {
		if s.cache.blocks[k.String()] == nil {
			return i
		}
	}
	return len(keys)
}

// Load is the true load: runs, and prompt tokens waiting or being computed.
func (s *Server) Load() (runs, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running + s.waiting, s.queued
}
