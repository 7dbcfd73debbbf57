package loads

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSilences: the earliest word counts, a later one of the same instance replaces it, an
// instance that tells nothing any more has no say.
func TestSilences(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := NewSilences(300 * time.Millisecond)
	is.True(s.Since(7, now).IsZero())
	s.Take("a", 1, []Silent{{Target: 7, MS: 600}, {Target: 8, MS: 700}}, now)
	s.Take("b", 1, []Silent{{Target: 7, MS: 900}}, now)
	is.Equal(s.Since(7, now), now.Add(-900*time.Millisecond))
	is.Equal(s.Since(8, now), now.Add(-700*time.Millisecond))
	s.Take("b", 2, nil, now)
	is.Equal(s.Since(7, now), now.Add(-600*time.Millisecond))
	s.Take("a", 1, []Silent{{Target: 7, MS: 5000}}, now) // not newer
	is.Equal(s.Since(7, now), now.Add(-600*time.Millisecond))
	later := now.Add(200 * time.Millisecond)
	is.Equal(len(s.Words(later)["a"]), 2)
	is.True(s.Since(7, now.Add(300*time.Millisecond)).IsZero())
}

// TestSilencesInAnyOrder: a late older word does not bring back what a newer one has ended, and of
// two silences of a target in one word the longer counts.
func TestSilencesInAnyOrder(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := NewSilences(300 * time.Millisecond)
	s.Take("a", 2, nil, now)
	s.Take("a", 1, []Silent{{Target: 7, MS: 600}}, now)
	is.True(s.Since(7, now).IsZero())
	s.Take("b", 1, []Silent{{Target: 7, MS: 900}, {Target: 7, MS: 600}}, now)
	is.Equal(s.Since(7, now), now.Add(-900*time.Millisecond))
}

// TestSilencesBounded: a word that names too many targets is cut.
func TestSilencesBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	told := make([]Silent, 10*MostSilent)
	for i := range told {
		told[i] = Silent{Target: Key(i), MS: 600}
	}
	s := NewSilences(time.Second)
	s.Take("a", 1, told, now)
	is.Equal(len(s.Words(now)["a"]), MostSilent)
}
