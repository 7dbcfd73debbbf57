package route

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Snapshot is an immutable view of all targets, indexed so that the time of a
// decision does not depend on their number.
type Snapshot struct {
	Targets []Target
	pools   map[poolKey]*targetPool
	models  map[string]modelCounts
}

// modelCounts counts a model's targets, for the counts of filtered targets in the
// explain record.
type modelCounts struct{ total, ready int }

type poolKey struct{ model, version string }

// targetPool is the set of ready targets of one model at one weight version.
// Prompt roots are hashed to buckets. The targets with the highest rendezvous
// scores of each bucket are computed when the pool's members change, not at each
// decision.
type targetPool struct {
	ready       []int32
	fingerprint uint64  // hash of the indices and names in ready
	homeTable   []int32 // bucketCount rows of homesPerBucket indices, best first; -1: none
}

// Size of a pool's home table: 4096 * 8 * 4 bytes = 128 KiB for each model and
// version.
const (
	bucketCount    = 4096
	homesPerBucket = 8
)

// NewSnapshot indexes targets; the slice must not change afterwards. Home tables
// of pools with the same members in prev are reused.
func NewSnapshot(targets []Target, prev *Snapshot) *Snapshot {
	s := &Snapshot{Targets: targets, pools: map[poolKey]*targetPool{}, models: map[string]modelCounts{}}
	for i := range targets {
		t := &targets[i]
		c := s.models[t.Model]
		c.total++
		if t.State == Ready {
			c.ready++
			s.poolFor(t).ready = append(s.poolFor(t).ready, int32(i))
		}
		s.models[t.Model] = c
	}
	for key, p := range s.pools {
		p.fingerprint = readyFingerprint(targets, p.ready)
		if prev != nil && prev.pools[key] != nil && prev.pools[key].fingerprint == p.fingerprint {
			p.homeTable = prev.pools[key].homeTable
			continue
		}
		p.homeTable = buildHomeTable(targets, p.ready)
	}
	return s
}

func (s *Snapshot) poolFor(t *Target) *targetPool {
	key := poolKey{t.Model, t.Version}
	p := s.pools[key]
	if p == nil {
		p = &targetPool{}
		s.pools[key] = p
	}
	return p
}

func readyFingerprint(targets []Target, ready []int32) uint64 {
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

type scoredTarget struct {
	score uint64
	index int32
}

// buildHomeTable computes the best targets of each bucket.
func buildHomeTable(targets []Target, ready []int32) []int32 {
	hashes := make([]uint64, len(ready))
	for n, i := range ready {
		hashes[n] = xxhash.Sum64String(targets[i].Name)
	}
	table := make([]int32, bucketCount*homesPerBucket)
	for b := range bucketCount {
		var top [homesPerBucket]scoredTarget
		n := 0
		root := splitMix64(uint64(b))
		for k, i := range ready {
			n = insertByScore(&top, n, scoredTarget{splitMix64(root ^ hashes[k]), i})
		}
		row := table[b*homesPerBucket : (b+1)*homesPerBucket]
		for k := range row {
			row[k] = -1
			if k < n {
				row[k] = top[k].index
			}
		}
	}
	return table
}

// insertByScore inserts into the first n entries of top, sorted by descending
// score, and returns their new number.
func insertByScore(top *[homesPerBucket]scoredTarget, n int, target scoredTarget) int {
	if n == homesPerBucket && target.score <= top[n-1].score {
		return n
	}
	if n < homesPerBucket {
		n++
	}
	i := n - 1
	for i > 0 && top[i-1].score < target.score {
		top[i] = top[i-1]
		i--
	}
	top[i] = target
	return n
}

// homesFor returns the indices of a root's homes, best first, padded with -1.
func (p *targetPool) homesFor(root uint64) []int32 {
	b := int(root % bucketCount)
	return p.homeTable[b*homesPerBucket : (b+1)*homesPerBucket]
}

// filteredByPool counts the model's targets outside the pool, by reason.
func (s *Snapshot) filteredByPool(model string, p *targetPool) FilterCounts {
	c := s.models[model]
	inPool := 0
	if p != nil {
		inPool = len(p.ready)
	}
	return FilterCounts{State: c.total - c.ready, Version: c.ready - inPool}
}

// Find returns the target with the given name, or nil.
func (s *Snapshot) Find(name string) *Target {
	i := slices.IndexFunc(s.Targets, func(t Target) bool { return t.Name == name })
	if i < 0 {
		return nil
	}
	return &s.Targets[i]
}

// Serves reports whether any ready target serves a model at a version.
func (s *Snapshot) Serves(model, version string) bool {
	return s.pools[poolKey{model, version}] != nil
}

// ChooseVersion picks the weight version of a new request. During a rollout
// several allowed versions are served, and a prompt takes the wanted version if
// its root hash falls into that version's share of the ready targets. So load
// follows capacity, and each prompt changes version only once as the share grows.
func ChooseVersion(s *Snapshot, model, wanted string, allowed []string, root uint64) string {
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
	readyAtWanted := 0
	if p := s.pools[poolKey{model, wanted}]; p != nil {
		readyAtWanted = len(p.ready)
	}
	if splitMix64(root)%uint64(total) < uint64(readyAtWanted) {
		return wanted
	}
	return other
}
