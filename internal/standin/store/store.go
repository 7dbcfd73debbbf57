// Package store is a small stand-in for a store instance: it keeps pieces of
// cache in a memory tier and a disk tier of limited size behind links of
// limited rate, and shows faults on request.
package store

import (
	"container/list"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/kvstore"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Options size the stand-in. Rates are in bytes per second; 0 is unlimited.
type Options struct {
	Name        string
	MemoryBytes int64
	DiskBytes   int64
	MemoryRate  float64
	DiskRate    float64
	TimeScale   float64 // 1 is real time, 0.1 is ten times as fast
}

// Faults are the failures to show.
type Faults struct {
	Down    bool    `json:"down"`      // every call's connection is cut
	Full    bool    `json:"full"`      // every write is refused with 507
	SlowMS  int     `json:"slow_ms"`   // added to each call
	Corrupt bool    `json:"corrupt"`   // pieces are read back damaged
	Lose    int     `json:"lose"`      // next n piece writes are acknowledged and dropped
	LinkX   float64 `json:"link_rate"` // factor on both links' rates, 0 means 1
}

// piece is one stored piece; a piece moves to disk when memory is full.
type piece struct {
	key   string
	data  []byte
	sum   string
	bytes int64 // size it stands for on links and in tiers
	tier  kvstore.Tier
	elem  *list.Element
}

// Server is the stand-in.
type Server struct {
	o         Options
	mu        sync.Mutex
	faults    Faults
	pieces    map[string]*piece
	manifests map[string]kvstore.Manifest
	listed    map[string]string // piece key -> a manifest that lists it
	memory    *list.List        // front is the most recently used
	disk      *list.List
	memUsed   int64
	diskUsed  int64
	free      map[kvstore.Tier]time.Time // when each link is next free
	moved     map[string]int64           // bytes by "in-memory", "out-disk", ...
}

// New returns an empty store.
func New(o Options) *Server {
	if o.TimeScale == 0 {
		o.TimeScale = 1
	}
	return &Server{o: o, pieces: map[string]*piece{}, manifests: map[string]kvstore.Manifest{}, listed: map[string]string{},
		memory: list.New(), disk: list.New(), free: map[kvstore.Tier]time.Time{}, moved: map[string]int64{}}
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Moved returns the bytes that went over each link, by direction and tier.
func (s *Server) Moved() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int64{}
	for k, n := range s.moved {
		out[k] = n
	}
	return out
}

// HeaderBytes states the size a piece stands for when its body is a token of it.
const HeaderBytes = "X-Piece-Bytes"

// Handler serves the store's API and, below /standin/, faults and counts.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/lookup", s.api(s.lookup))
	mux.HandleFunc("GET /v1/status", s.api(s.status))
	mux.HandleFunc("PUT /v1/pieces/{key}", s.api(s.putPiece))
	mux.HandleFunc("GET /v1/pieces/{key}", s.api(s.getPiece))
	mux.HandleFunc("PUT /v1/manifests/{key}", s.api(s.putManifest))
	mux.HandleFunc("GET /v1/manifests/{key}", s.api(s.getManifest))
	mux.HandleFunc("DELETE /v1/manifests/{key}", s.api(s.deleteManifest))
	mux.HandleFunc("POST /standin/faults", s.postFaults)
	mux.HandleFunc("GET /standin/moved", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Moved()) })
	return mux
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) api(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		if f.Down {
			panic(http.ErrAbortHandler)
		}
		wait.For(r.Context(), time.Duration(float64(f.SlowMS)*s.o.TimeScale)*time.Millisecond)
		if f.Full && r.Method == http.MethodPut {
			http.Error(w, "full", http.StatusInsufficientStorage)
			return
		}
		next(w, r)
	}
}

// transfer takes a turn on a tier's link: bytes queue behind one another.
func (s *Server) transfer(ctx context.Context, dir string, tier kvstore.Tier, bytes int64) {
	s.mu.Lock()
	s.moved[dir+"-"+string(tier)] += bytes
	rate := s.rate(tier)
	now := time.Now()
	start := s.free[tier]
	if start.Before(now) {
		start = now
	}
	var busy time.Duration
	if rate > 0 {
		busy = time.Duration(float64(bytes) / rate * float64(time.Second) * s.o.TimeScale)
	}
	end := start.Add(busy)
	s.free[tier] = end
	s.mu.Unlock()
	wait.For(ctx, end.Sub(now))
}

func (s *Server) rate(tier kvstore.Tier) float64 {
	factor := s.faults.LinkX
	if factor == 0 {
		factor = 1
	}
	if tier == kvstore.Disk {
		return s.o.DiskRate * factor
	}
	return s.o.MemoryRate * factor
}

// queueMS is how long a transfer would wait now, in modelled ms; s.mu is held.
func (s *Server) queueMS(tier kvstore.Tier) float64 {
	return max(0, float64(time.Until(s.free[tier]))/float64(time.Millisecond)/s.o.TimeScale)
}

func (s *Server) lookup(w http.ResponseWriter, r *http.Request) {
	var q kvstore.LookupRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	var out kvstore.LookupResult
	for i, key := range q.Keys {
		p := s.pieces[key]
		if p == nil || s.listed[key] == "" {
			break
		}
		out.Covered = i + 1
		out.Manifest = s.listed[key]
		out.Bytes += p.bytes
		if out.Tier != kvstore.Disk {
			out.Tier = p.tier
		}
	}
	out.QueueMS = s.queueMS(out.Tier)
	s.mu.Unlock()
	writeJSON(w, out)
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	out := kvstore.Status{Name: s.o.Name, MemoryUsed: s.memUsed, MemoryTotal: s.o.MemoryBytes, DiskUsed: s.diskUsed,
		DiskTotal: s.o.DiskBytes, QueueMS: s.queueMS(kvstore.Memory), Manifests: len(s.manifests)}
	s.mu.Unlock()
	writeJSON(w, out)
}

// maxPiece bounds one piece's body, in bytes.
const maxPiece = 64 << 20

func (s *Server) putPiece(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPiece))
	if err != nil {
		return // a half-sent piece leaves nothing behind
	}
	key := r.PathValue("key")
	bytes := pieceBytes(r, len(body))
	s.transfer(r.Context(), "in", kvstore.Memory, bytes)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Lose > 0 {
		s.faults.Lose--
		return
	}
	if s.pieces[key] != nil {
		return
	}
	p := &piece{key: key, data: body, sum: sum(body), bytes: bytes, tier: kvstore.Memory}
	p.elem = s.memory.PushFront(p)
	s.pieces[key] = p
	s.memUsed += p.bytes
	s.shrink()
}

func pieceBytes(r *http.Request, body int) int64 {
	var n int64
	if err := json.Unmarshal([]byte(r.Header.Get(HeaderBytes)), &n); err != nil || n <= 0 {
		return int64(body)
	}
	return n
}

func sum(data []byte) string {
	h := sha256.Sum256(data)
	return hex.EncodeToString(h[:])
}

// shrink moves the least recently used pieces from memory to disk, and drops
// them from disk, until both tiers fit; s.mu is held.
func (s *Server) shrink() {
	for s.memUsed > s.o.MemoryBytes && s.memory.Len() > 0 {
		p := s.memory.Back().Value.(*piece)
		s.memory.Remove(p.elem)
		s.memUsed -= p.bytes
		p.tier = kvstore.Disk
		p.elem = s.disk.PushFront(p)
		s.diskUsed += p.bytes
	}
	for s.diskUsed > s.o.DiskBytes && s.disk.Len() > 0 {
		p := s.disk.Back().Value.(*piece)
		s.drop(p)
	}
}

// drop forgets a piece; s.mu is held.
func (s *Server) drop(p *piece) {
	if p.tier == kvstore.Memory {
		s.memory.Remove(p.elem)
		s.memUsed -= p.bytes
	} else {
		s.disk.Remove(p.elem)
		s.diskUsed -= p.bytes
	}
	delete(s.pieces, p.key)
	delete(s.listed, p.key)
}

func (s *Server) getPiece(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	p := s.pieces[r.PathValue("key")]
	if p == nil || s.listed[p.key] == "" {
		s.mu.Unlock()
		http.NotFound(w, r)
		return
	}
	data, bytes, tier, corrupt := p.data, p.bytes, p.tier, s.faults.Corrupt
	s.promote(p)
	s.mu.Unlock()
	s.transfer(r.Context(), "out", tier, bytes)
	if corrupt && len(data) > 0 {
		data = append([]byte(nil), data...)
		data[0] ^= 0xFF
	}
	_, _ = w.Write(data)
}

// promote marks a piece as used and brings it to memory; s.mu is held.
func (s *Server) promote(p *piece) {
	if p.tier == kvstore.Memory {
		s.memory.MoveToFront(p.elem)
		return
	}
	s.disk.Remove(p.elem)
	s.diskUsed -= p.bytes
	p.tier = kvstore.Memory
	p.elem = s.memory.PushFront(p)
	s.memUsed += p.bytes
	s.shrink()
}

// putManifest accepts a manifest only if every piece is there as it says.
func (s *Server) putManifest(w http.ResponseWriter, r *http.Request) {
	var m kvstore.Manifest
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil || m.Key != r.PathValue("key") {
		http.Error(w, "bad manifest", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, want := range m.Pieces {
		p := s.pieces[want.Key]
		if p == nil || p.sum != want.SHA256 {
			http.Error(w, "piece "+want.Key+" is missing or differs", http.StatusConflict)
			return
		}
	}
	s.manifests[m.Key] = m
	for _, p := range m.Pieces {
		if s.listed[p.Key] == "" || len(m.Pieces) > len(s.manifests[s.listed[p.Key]].Pieces) {
			s.listed[p.Key] = m.Key
		}
	}
}

func (s *Server) getManifest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	m, ok := s.manifests[r.PathValue("key")]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, m)
}

// deleteManifest frees the pieces that no other manifest lists.
func (s *Server) deleteManifest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.manifests[r.PathValue("key")]
	if !ok {
		http.NotFound(w, r)
		return
	}
	delete(s.manifests, m.Key)
	for _, want := range m.Pieces {
		p := s.pieces[want.Key]
		if p == nil || s.listed[want.Key] != m.Key {
			continue
		}
		if other := s.otherManifest(want.Key); other != "" {
			s.listed[want.Key] = other
			continue
		}
		s.drop(p)
	}
}

func (s *Server) otherManifest(key string) string {
	for name, m := range s.manifests {
		for _, p := range m.Pieces {
			if p.Key == key {
				return name
			}
		}
	}
	return ""
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
