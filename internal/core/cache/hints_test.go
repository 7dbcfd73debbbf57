package cache_test

import (
	"encoding/binary"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/cache"
	"github.com/shedhoist/shedhoist/internal/core/prefix"
)

func key(n int) (k prefix.Key) {
	binary.BigEndian.PutUint64(k[:], uint64(n))
	return k
}

func keys(from, n int) []prefix.Key {
	out := make([]prefix.Key, n)
	for i := range out {
		out[i] = key(from + i)
	}
	return out
}

// TestEvents covers events that are in order, lost, replayed or reordered.
func TestEvents(t *testing.T) {
	type event struct {
		seq     uint64
		key     int
		removed bool
	}
	cases := []struct {
		name   string
		events []event
		want   int // leading keys of 0, 1, 2 assumed resident
	}{
		{"in order", []event{{1, 0, false}, {2, 1, false}, {3, 2, false}}, 3},
		{"removed", []event{{1, 0, false}, {2, 1, false}, {3, 0, true}}, 0},
		{"replayed", []event{{1, 0, false}, {2, 0, true}, {1, 0, false}}, 0},
		{"a gap drops all keys", []event{{1, 0, false}, {2, 1, false}, {4, 2, false}}, 0},
		{"events after a gap are applied", []event{{1, 5, false}, {3, 0, false}, {4, 1, false}}, 2},
		{"no events", nil, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := cache.NewHints(100)
			for _, e := range c.events {
				h.ApplyEvent("t", e.seq, key(e.key), e.removed)
			}
			is.Equal(h.ResidentPrefix("t", keys(0, 3)), c.want)
		})
	}
}

// TestBounds guards against unbounded memory with many keys and targets. The newest
// keys are retained, and an evicted key counts as not resident.
func TestBounds(t *testing.T) {
	is := is.New(t)
	h := cache.NewHints(10)
	h.Add("t", keys(0, 25))
	is.Equal(h.KeyCount(), 10)
	is.Equal(h.ResidentPrefix("t", keys(15, 10)), 10)
	is.Equal(h.ResidentPrefix("t", keys(0, 5)), 0)
	h.Remove("t", keys(15, 1))
	is.Equal(h.ResidentPrefix("t", keys(15, 10)), 0)
	h.RemoveTarget("t")
	is.Equal(h.KeyCount(), 0)

	h = cache.NewHints(cache.DefaultHintKeys)
	for i := range 600 {
		h.Add(fmt.Sprint("t", i), keys(i*10_000, 4000))
		is.True(i%50 != 0 || h.KeyCount() <= cache.MaxHintKeys)
	}
	is.True(h.KeyCount() <= cache.MaxHintKeys)
	is.Equal(h.ResidentPrefix("t0", keys(0, 4000)), 0) // its oldest keys were evicted
}
