// Package platform is a small stand-in for the platform's object API:
// versions, conditional updates, watches, the lagging list, call counts, and
// faults that can be set while it runs. It keeps everything in memory.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/platform"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Faults are the failures to show. Zero values show none.
type Faults struct {
	Outage     bool `json:"outage"`      // every call fails with 503, unseen
	LoseWrites int  `json:"lose_writes"` // next n writes take effect, the connection is cut before the answer
	DropWrites int  `json:"drop_writes"` // next n writes are cut without effect
	SlowMS     int  `json:"slow_ms"`     // added to each call
	ListLagMS  int  `json:"list_lag_ms"` // age of the list of machines
}

// Server is the stand-in. Its zero value is not usable; call New.
type Server struct {
	mu       sync.Mutex
	rev      platform.Version
	objects  map[string]platform.Object
	deleted  map[string]platform.Version
	changed  chan struct{} // closed and replaced at each write
	calls    map[string]int
	faults   Faults
	machines map[string]platform.Machine
	listed   []platform.Machine // what the lagging list shows
	listedAt time.Time
	token    string
}

// New returns an empty platform. Calls must carry token if it is not empty.
func New(token string) *Server {
	return &Server{
		objects: map[string]platform.Object{}, deleted: map[string]platform.Version{},
		changed: make(chan struct{}), calls: map[string]int{},
		machines: map[string]platform.Machine{}, token: token,
	}
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the count of calls by kind: get, put, delete, list, watch, machines.
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.calls))
	for k, n := range s.calls {
		out[k] = n
	}
	return out
}

// SetMachine adds or changes a row of the list.
func (s *Server) SetMachine(m platform.Machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machines[m.Name] = m
}

// RemoveMachine takes a row off the list.
func (s *Server) RemoveMachine(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.machines, name)
}

// Handler serves the API and, below /standin/, the faults and the counts.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{key...}", s.api("get", s.get))
	mux.HandleFunc("PUT /v1/objects/{key...}", s.api("put", s.put))
	mux.HandleFunc("DELETE /v1/objects/{key...}", s.api("delete", s.del))
	mux.HandleFunc("GET /v1/objects", s.api("list", s.list))
	mux.HandleFunc("GET /v1/watch", s.api("watch", s.watch))
	mux.HandleFunc("GET /v1/machines", s.api("machines", s.listMachines))
	mux.HandleFunc("POST /standin/faults", s.postFaults)
	mux.HandleFunc("GET /standin/calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) })
	mux.HandleFunc("PUT /standin/machines", s.putMachine)
	mux.HandleFunc("DELETE /standin/machines/{name}", func(_ http.ResponseWriter, r *http.Request) { s.RemoveMachine(r.PathValue("name")) })
	return mux
}

func (s *Server) api(kind string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[kind]++
		f := s.faults
		s.mu.Unlock()
		wait.For(r.Context(), time.Duration(f.SlowMS)*time.Millisecond)
		if f.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if s.token != "" && r.Header.Get("Authorization") != "Bearer "+s.token {
			http.Error(w, "unauthorized", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.objects[r.PathValue("key")]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	setETag(w, o.Version)
	_, _ = w.Write(o.Value)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValue))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	s.change(w, r, func(key string) {
		s.objects[key] = platform.Object{Key: key, Version: s.rev, Value: body}
		delete(s.deleted, key)
	})
}

func (s *Server) del(w http.ResponseWriter, r *http.Request) {
	s.change(w, r, func(key string) {
		delete(s.objects, key)
		s.deleted[key] = s.rev
	})
}

// change applies one conditional write, or loses it as the faults say.
func (s *Server) change(w http.ResponseWriter, r *http.Request, apply func(key string)) {
	key := r.PathValue("key")
	s.mu.Lock()
	if s.faults.DropWrites > 0 {
		s.faults.DropWrites--
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	have := s.objects[key].Version
	if !holds(r, have) {
		s.mu.Unlock()
		setETag(w, have)
		http.Error(w, "version conflict", http.StatusPreconditionFailed)
		return
	}
	s.rev++
	apply(key)
	close(s.changed)
	s.changed = make(chan struct{})
	rev, lose := s.rev, s.faults.LoseWrites > 0
	if lose {
		s.faults.LoseWrites--
	}
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	setETag(w, rev)
	w.WriteHeader(http.StatusOK)
}

func holds(r *http.Request, have platform.Version) bool {
	if r.Header.Get("If-None-Match") == "*" {
		return have == 0
	}
	want := r.Header.Get("If-Match")
	if want == "" {
		return true
	}
	return have != 0 && want == `"`+strconv.FormatUint(uint64(have), 10)+`"`
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	out := s.since(r.URL.Query().Get("prefix"), 0, false)
	s.mu.Unlock()
	writeJSON(w, out)
}

// since gathers what changed below prefix after a revision; s.mu is held.
func (s *Server) since(prefix string, after platform.Version, withDeleted bool) platform.Listing {
	out := platform.Listing{Revision: s.rev, Objects: []platform.Meta{}}
	for k, o := range s.objects {
		if strings.HasPrefix(k, prefix) && o.Version > after {
			out.Objects = append(out.Objects, platform.Meta{Key: k, Version: o.Version})
		}
	}
	if withDeleted {
		for k, v := range s.deleted {
			if strings.HasPrefix(k, prefix) && v > after {
				out.Objects = append(out.Objects, platform.Meta{Key: k, Version: v, Deleted: true})
			}
		}
	}
	sort.Slice(out.Objects, func(i, j int) bool { return out.Objects[i].Key < out.Objects[j].Key })
	return out
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		out, changed, down := s.since(q.Get("prefix"), platform.Version(after), true), s.changed, s.faults.Outage
		s.mu.Unlock()
		if down {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if len(out.Objects) > 0 {
			writeJSON(w, out)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeJSON(w, out)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) listMachines(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lag := time.Duration(s.faults.ListLagMS) * time.Millisecond
	if now := time.Now(); s.listed == nil || now.Sub(s.listedAt) >= lag {
		s.listed, s.listedAt = make([]platform.Machine, 0, len(s.machines)), now
		for _, m := range s.machines {
			s.listed = append(s.listed, m)
		}
		sort.Slice(s.listed, func(i, j int) bool { return s.listed[i].Name < s.listed[j].Name })
	}
	writeJSON(w, s.listed)
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) putMachine(w http.ResponseWriter, r *http.Request) {
	var m platform.Machine
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil || m.Name == "" {
		http.Error(w, "want a machine with a name", http.StatusBadRequest)
		return
	}
	s.SetMachine(m)
}

func setETag(w http.ResponseWriter, v platform.Version) {
	w.Header().Set("ETag", `"`+strconv.FormatUint(uint64(v), 10)+`"`)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
