package buffer_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedhoist/shedhoist/internal/core/buffer"
)

// TestHolders guards against holders that exceed the limit, against large ones that use up what is kept for small ones,
// and against bytes that stay counted, or are lacking although there is room for them.
func TestHolders(t *testing.T) {
	const limit, small = 1 << 20, 128 << 10
	rapid.Check(t, func(t *rapid.T) {
		b := buffer.New(limit)
		holders := make([]*buffer.Holder, 8)
		for i := range holders {
			holders[i] = buffer.NewHolder(b)
		}
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				h := rapid.SampledFrom(holders).Draw(t, "holder")
				n := rapid.Int64Range(1, 300<<10).Draw(t, "bytes")
				own := int64(limit)
				if h.Held()+n > small {
					own = limit * 3 / 4
				}
				room := b.Held()+n <= own
				if lacks := h.Lacks(n); (lacks == 0) != room || lacks > 0 && lacks != b.Held()+n-own {
					t.Fatalf("lacks %d, room %v", lacks, room)
				}
				if h.Possible(n) != (h.Held()+n <= own) {
					t.Fatalf("possible %v for %d more than %d", h.Possible(n), n, h.Held())
				}
				if h.Reserve(n) != room {
					t.Fatalf("room %v", room)
				}
			},
			"release": func(t *rapid.T) {
				h := rapid.SampledFrom(holders).Draw(t, "holder")
				h.Release(rapid.Int64Range(0, h.Held()).Draw(t, "bytes"))
			},
			"": func(t *rapid.T) {
				sum := int64(0)
				for _, h := range holders {
					sum += h.Held()
				}
				if sum != b.Held() || sum > limit {
					t.Fatalf("%d held, %d by holders", b.Held(), sum)
				}
			},
		})
	})
}

// TestHeldWithoutRoom guards against bytes that are held already and are not counted for want of room.
func TestHeldWithoutRoom(t *testing.T) {
	is := is.New(t)
	b := buffer.New(100)
	h := buffer.NewHolder(b)
	h.Add(150)
	is.Equal(b.Held(), int64(150))
	is.Equal(h.Lacks(10), int64(60))
	is.True(!h.Reserve(10))
	h.Release(150)
	is.True(h.Reserve(10))
}
