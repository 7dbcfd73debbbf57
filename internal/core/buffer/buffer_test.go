package buffer_test

import (
	"sync"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedhoist/shedhoist/internal/core/buffer"
)

// TestRandomUse guards against sums that exceed the limit, a stream's bound or the share of all
// streams, against reservations that are refused although there is room, and against bytes that
// stay counted after they are released.
func TestRandomUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(0, 1000).Draw(t, "limit")
		bound := rapid.Int64Range(1, 400).Draw(t, "bound")
		b := buffer.New(limit)
		streams := make([]*buffer.Stream, 4)
		for i := range streams {
			streams[i] = buffer.NewStream(b, bound)
		}
		held := make([][]int64, len(streams)+1) // reserved sizes, by stream; the last are bodies
		most := make([]int64, len(streams))
		sum := func(sizes []int64) (total int64) {
			for _, n := range sizes {
				total += n
			}
			return total
		}
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				i := rapid.IntRange(0, len(streams)).Draw(t, "holder")
				n := rapid.Int64Range(0, 300).Draw(t, "bytes")
				all, ofStreams := int64(0), int64(0)
				for k, sizes := range held {
					all += sum(sizes)
					if k < len(streams) {
						ofStreams += sum(sizes)
					}
				}
				room := limit == 0 || all+n <= limit
				ok := false
				if i == len(streams) {
					ok = b.Reserve(n)
				} else {
					room = room && sum(held[i])+n <= bound && (limit/2 == 0 || ofStreams+n <= limit/2)
					ok = streams[i].Reserve(n)
				}
				if ok != room {
					t.Fatalf("reserved: %v, room: %v", ok, room)
				}
				if ok {
					held[i] = append(held[i], n)
					if i < len(streams) {
						most[i] = max(most[i], sum(held[i]))
					}
				}
			},
			"release": func(t *rapid.T) {
				i := rapid.IntRange(0, len(streams)).Draw(t, "holder")
				if len(held[i]) == 0 {
					return
				}
				if i == len(streams) {
					b.Release(held[i][0])
				} else {
					streams[i].Release(held[i][0])
				}
				held[i] = held[i][1:]
			},
			"": func(t *rapid.T) {
				all := sum(held[len(streams)])
				for i, s := range streams {
					all += sum(held[i])
					if s.Held() != sum(held[i]) || s.MostHeld() != most[i] {
						t.Fatalf("stream holds %d, most %d; want %d, most %d", s.Held(), s.MostHeld(), sum(held[i]), most[i])
					}
				}
				if b.Held() != all || b.HeldByStreams() != all-sum(held[len(streams)]) {
					t.Fatalf("%d bytes held, %d by streams; want %d", b.Held(), b.HeldByStreams(), all)
				}
			},
		})
	})
}

// TestConcurrentUse guards against sums that exceed the limit, or don't return to zero, while several
// goroutines reserve and release.
func TestConcurrentUse(t *testing.T) {
	const limit, rounds, users = 1000, 2000, 8
	b := buffer.New(limit)
	var wg sync.WaitGroup
	for i := range users {
		wg.Go(func() {
			s := buffer.NewStream(b, limit)
			for n := range rounds {
				size := int64(1 + (n*7+i)%200)
				if s.Reserve(size) {
					if b.HeldByStreams() > limit/2 {
						t.Errorf("streams hold %d", b.HeldByStreams())
					}
					s.Release(size)
				}
				if b.Reserve(size) {
					if b.Held() > limit {
						t.Errorf("%d held", b.Held())
					}
					b.Release(size)
				}
			}
		})
	}
	wg.Wait()
	is.New(t).Equal(b.Held()+b.HeldByStreams(), int64(0))
}

// TestSmallFitsBesideRefusedLarge guards against a small reservation that fails because a large one is
// being refused at the same time.
func TestSmallFitsBesideRefusedLarge(t *testing.T) {
	b := buffer.New(1000)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				b.Reserve(1001)
			}
		}
	})
	for range 20000 {
		if !b.Reserve(1) {
			t.Error("refused with 1000 bytes free")
			break
		}
		b.Release(1)
	}
	close(stop)
	wg.Wait()
}

// TestAllocations guards against decisions that allocate.
func TestAllocations(t *testing.T) {
	b := buffer.New(1000)
	s := buffer.NewStream(b, 500)
	is.New(t).Equal(testing.AllocsPerRun(100, func() {
		if s.Reserve(10) {
			s.Release(10)
		}
		if b.Reserve(10) {
			b.Release(10)
		}
	}), 0.0)
}
