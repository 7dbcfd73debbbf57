package main

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the platform's store.
type object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision,omitempty"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

type storeEvent struct {
	kind    string
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
}

// store is a stand-in of the platform's metadata store: kinds, revisions, conditional writes and watches.
type store struct {
	http    *http.Server
	address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []storeEvent
	wake     chan struct{}
}

func newStore(ip string) *store {
	s := &store{objects: map[string]map[string]object{}, wake: make(chan struct{}), revision: 100}
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	must(err)
	s.address = ln.Addr().String()
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(ln) }()
	return s
}

// set writes an object as the operator and the servers do, and returns when it is acknowledged.
func (s *store) set(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
}

func (s *store) write(kind, name string, data json.RawMessage) object {
	old, exists := s.objects[kind][name]
	if exists && string(old.Spec) == string(data) {
		return old
	}
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o := object{Spec: data}
	o.Metadata.Name, o.Metadata.Revision = name, s.revision
	s.objects[kind][name] = o
	s.notify(storeEvent{kind: kind, Object: o})
	return o
}

func (s *store) notify(e storeEvent) {
	s.history = append(s.history, e)
	close(s.wake)
	s.wake = make(chan struct{})
}

// reply answers a call, in 2 to 6 ms: 4 ms on average, as on the sheets of the small sites.
func reply(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	must(err)
	time.Sleep(2*time.Millisecond + rand.N(4*time.Millisecond))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, r, parts[0])
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, exists := s.objects[parts[0]][parts[1]]
		s.mu.Unlock()
		if !exists {
			w.WriteHeader(404)
			return
		}
		reply(w, 200, o)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.put(w, r, parts)
	default:
		w.WriteHeader(405)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	asOf := s.revision
	s.mu.Unlock()
	reply(w, 200, map[string]any{"items": items, "truncated": false, "asOf": asOf})
}

func (s *store) put(w http.ResponseWriter, r *http.Request, parts []string) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(400)
		return
	}
	status, result := s.change(r.Method, parts[0], o)
	reply(w, status, result)
}

// change carries out a write call and returns its answer.
func (s *store) change(method, kind string, o object) (status int, result object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][o.Metadata.Name]
	switch {
	case exists && method == http.MethodPost, exists && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		return 409, old
	case !exists && method == http.MethodPut:
		return 404, object{}
	}
	return 200, s.write(kind, o.Metadata.Name, o.Spec)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		wake, asOf, events := s.wake, s.revision, []storeEvent{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		over := false
		if len(events) == 0 {
			select {
			case <-wake:
				continue
			case <-timeout.C:
				over = true
			case <-r.Context().Done():
				return
			}
		}
		if over || len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "asOf": asOf})
			return
		}
	}
}
