package loads_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/loads"
)

const age = 400 * time.Millisecond

// TestHeard: neighbours' words add up, fade, and a late one replaces nothing.
func TestHeard(t *testing.T) {
	is := is.New(t)
	h := loads.NewHeard(age)
	now := time.Unix(0, 0)
	key := loads.KeyOf("t")
	take := func(from string, seq uint64, tokens int, at time.Time) {
		h.Take(from, seq, []loads.Load{{Target: key, Tokens: tokens, Memory: 2 * tokens}}, at)
	}
	at := func(now time.Time) loads.Amount {
		sum := loads.Sums{}
		for _, w := range h.Words(now) {
			sum.AddAll(w)
		}
		got := h.At([]loads.Key{loads.KeyOf("other"), key}, now)
		is.Equal(got[0], loads.Amount{})
		is.Equal(got[1], sum[key])
		return got[1]
	}
	take("a", 2, 1000, now)
	take("a", 1, 9000, now) // overtaken
	take("b", 1, 500, now)
	is.Equal(at(now), loads.Amount{Tokens: 1500, Memory: 3000})
	half := now.Add(age / 2)
	is.Equal(at(half), loads.Amount{Tokens: 750, Memory: 3000}) // what runs keep does not fade
	h.Take("a", 3, nil, half)
	is.Equal(at(half), loads.Amount{Tokens: 250, Memory: 1000})
	is.Equal(at(now.Add(2*age)), loads.Amount{})
	take("b", 1, 500, now.Add(2*age)) // a new process begins at 1
	is.Equal(at(now.Add(2*age)), loads.Amount{Tokens: 500, Memory: 1000})
}

// TestTold: what is worth telling is told with both its amounts.
func TestTold(t *testing.T) {
	is := is.New(t)
	s := loads.Sums{}
	s.Add(1, loads.Amount{Tokens: 255, Memory: 255})
	s.Add(2, loads.Amount{Memory: 256})
	is.Equal(s.Told(), []loads.Load{{Target: 2, Memory: 256}})
}

// BenchmarkAt is what a request asks: 64 candidates of 256 busy targets, 16 neighbours.
func BenchmarkAt(b *testing.B) {
	for _, targets := range []int{60, 256, 600} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			h, now := loads.NewHeard(age), time.Unix(0, 0)
			var told []loads.Load
			var keys []loads.Key
			for i := range targets {
				k := loads.KeyOf(fmt.Sprintf("i-%d", i))
				told = append(told, loads.Load{Target: k, Tokens: 1000, Memory: 9000})
				if i%(targets/60) == 0 && len(keys) < 64 {
					keys = append(keys, k)
				}
			}
			for i := range 16 {
				h.Take(fmt.Sprint(i), 1, told, now)
			}
			for b.Loop() {
				h.At(keys, now)
			}
		})
	}
}
