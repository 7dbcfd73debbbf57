package route

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Snapshot is an immutable view of all targets, indexed so that one decision
// costs the same whatever their number.
type Snapshot struct {
	Targets []Target
	pools   map[poolKey]*pool
	models  map[string]modelCount
}

// modelCount counts a model's targets, for the why-record.
type modelCount struct{ total, ready int }

type poolKey struct{ model, version string }

// pool is the ready targets of one model at one version. Prompt roots fall
// into buckets; for each bucket the targets with the highest rendezvous scores
// are worked out once, when the pool's members change, not at each decision.
type pool struct {
	ready   []int32
	members uint64  // fingerprint of ready: indices and names
	table   []int32 // buckets * homesKept indices, best first; -1: no more
}

// Bounds of a pool's table: 4096 * 8 * 4 bytes = 128 KiB a model and version.
const (
	buckets   = 4096
	homesKept = 8
)

// NewSnapshot indexes targets; the slice must not change afterwards. Tables of
// pools that have the same members in prev are taken over from it.
func NewSnapshot(targets []Target, prev *Snapshot) *Snapshot {
	s := &Snapshot{Targets: targets, pools: map[poolKey]*pool{}, models: map[string]modelCount{}}
	for i := range targets {
		t := &targets[i]
		c := s.models[t.Model]
		c.total++
		if t.State == Ready {
			c.ready++
			s.pool(t).ready = append(s.pool(t).ready, int32(i))
		}
		s.models[t.Model] = c
	}
	for key, p := range s.pools {
		p.members = fingerprint(targets, p.ready)
		if prev != nil && prev.pools[key] != nil && prev.pools[key].members == p.members {
			p.table = prev.pools[key].table
			continue
		}
		p.table = homeTable(targets, p.ready)
	}
	return s
}

func (s *Snapshot) pool(t *Target) *pool {
	key := poolKey{t.Model, t.Version}
	p := s.pools[key]
	if p == nil {
		p = &pool{}
		s.pools[key] = p
	}
	return p
}

func fingerprint(targets []Target, ready []int32) uint64 {
	var h xxhash.Digest
	h.Reset()
	var b [4]byte
	for _, i := range ready {
		binary.LittleEndian.PutUint32(b[:], uint32(i))
		_, _ = h.Write(b[:])
		_, _ = h.WriteString(targets[i].Name)
	}
	return h.Sum64()
}

type scored struct {
	score uint64
	index int32
}

// homeTable works out the best targets of each bucket.
func homeTable(targets []Target, ready []int32) []int32 {
	hashes := make([]uint64, len(ready))
	for n, i := range ready {
		hashes[n] = xxhash.Sum64String(targets[i].Name)
	}
	table := make([]int32, buckets*homesKept)
	for b := range buckets {
		var top [homesKept]scored
		n := 0
		root := mix(uint64(b))
		for k, i := range ready {
			n = insert(&top, n, scored{mix(root ^ hashes[k]), i})
		}
		row := table[b*homesKept : (b+1)*homesKept]
		for k := range row {
			row[k] = -1
			if k < n {
				row[k] = top[k].index
			}
		}
	}
	return table
}

// insert keeps top sorted by falling score.
func insert(top *[homesKept]scored, n int, s scored) int {
	if n == homesKept && s.score <= top[n-1].score {
		return n
	}
	if n < homesKept {
		n++
	}
	i := n - 1
	for i > 0 && top[i-1].score < s.score {
		top[i] = top[i-1]
		i--
	}
	top[i] = s
	return n
}

// homes returns the indices of a root's targets, best first, padded with -1.
func (p *pool) homes(root uint64) []int32 {
	b := int(root % buckets)
	return p.table[b*homesKept : (b+1)*homesKept]
}

// passedOver counts what never was a candidate.
func (s *Snapshot) passedOver(model string, p *pool) Filtered {
	c := s.models[model]
	in := 0
	if p != nil {
		in = len(p.ready)
	}
	return Filtered{State: c.total - c.ready, Version: c.ready - in}
}

// Find returns the target with the given name, or nil.
func (s *Snapshot) Find(name string) *Target {
	i := slices.IndexFunc(s.Targets, func(t Target) bool { return t.Name == name })
	if i < 0 {
		return nil
	}
	return &s.Targets[i]
}

// Serves says whether any ready target serves a model at a version.
func (s *Snapshot) Serves(model, version string) bool {
	return s.pools[poolKey{model, version}] != nil
}

// Version picks the weight version of a new request. While a rollout is under
// way several allowed versions are served; a prompt takes the wanted one if its
// root falls into that version's share of the ready targets. So load follows
// capacity, and as the share grows each prompt changes version once.
func Version(s *Snapshot, model, wanted string, allowed []string, root uint64) string {
	total, other := 0, ""
	for _, v := range allowed {
		p := s.pools[poolKey{model, v}]
		if p == nil {
			continue
		}
		total += len(p.ready)
		if v != wanted && (other == "" || v < other) {
			other = v
		}
	}
	if other == "" {
		return wanted
	}
	atWanted := 0
	if p := s.pools[poolKey{model, wanted}]; p != nil {
		atWanted = len(p.ready)
	}
	if mix(root)%uint64(total) < uint64(atWanted) {
		return wanted
	}
	return other
}
