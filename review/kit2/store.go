package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    uint64   `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type storeEvent struct {
	kind    string
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
}

// objectStore is a sound stand-in of the platform's store: linearizable, with lists, watches
// and conditional writes.
type objectStore struct {
	address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []storeEvent
	changed  chan struct{} // closed at each change
}

func startStore() *objectStore {
	s := &objectStore{objects: map[string]map[string]object{}, changed: make(chan struct{})}
	ln := listenLoopback("127.0.0.1")
	s.address = ln.Addr().String()
	go func() { _ = http.Serve(ln, s) }()
	return s
}

// set writes an object without a condition, as the operator and the servers do.
func (s *objectStore) set(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
}

func (s *objectStore) write(kind, name string, spec json.RawMessage) object {
	old, exists := s.objects[kind][name]
	if exists && string(old.Spec) == string(spec) {
		return old
	}
	s.revision++
	o := old
	o.Metadata.Name, o.Metadata.Revision, o.Spec = name, s.revision, spec
	if !exists {
		o.Metadata.Created, o.Metadata.Finalizers, o.Status = s.revision, []string{}, json.RawMessage("null")
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.record(storeEvent{kind: kind, Object: o})
	return o
}

func (s *objectStore) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.objects[kind][name]
	if !exists {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.record(storeEvent{kind: kind, Deleted: true, Object: o})
}

func (s *objectStore) record(e storeEvent) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *objectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond) // an answer takes 4 ms
	path := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && q.Has("watch"):
		s.watch(w, r, path[0])
	case r.Method == http.MethodGet && len(path) == 1:
		s.list(w, path[0], q.Get("after"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[path[0]][path[1]]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, o)
	default:
		s.put(w, r, path[0])
	}
}

func (s *objectStore) list(w http.ResponseWriter, kind, after string) {
	const pageSize = 500
	s.mu.Lock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	truncated := len(items) > pageSize
	writeJSON(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageSize)], "truncated": truncated, "asOf": asOf})
}

func (s *objectStore) put(w http.ResponseWriter, r *http.Request, kind string) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][o.Metadata.Name]
	switch {
	case r.Method == http.MethodPost && exists, exists && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		writeJSON(w, http.StatusConflict, old)
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	default:
		writeJSON(w, http.StatusOK, s.write(kind, o.Metadata.Name, o.Spec))
	}
}

func (s *objectStore) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeEvent{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may be gone
}

func listenLoopback(ip string) net.Listener {
	ln, err := net.Listen("tcp", ip+":0")
	check(err)
	return ln
}
