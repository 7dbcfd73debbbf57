package loadreport

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
	s := NewUnresponsiveTargets(300 * time.Millisecond)
	is.True(s.Since(7, now).IsZero())
	s.Apply("a", 1, []TargetAge{{Target: 7, AgeMS: 600}, {Target: 8, AgeMS: 700}}, now)
	s.Apply("b", 1, []TargetAge{{Target: 7, AgeMS: 900}}, now)
	is.Equal(s.Since(7, now), now.Add(-900*time.Millisecond))
	is.Equal(s.Since(8, now), now.Add(-700*time.Millisecond))
	s.Apply("b", 2, nil, now)
	is.Equal(s.Since(7, now), now.Add(-600*time.Millisecond))
	s.Apply("a", 1, []TargetAge{{Target: 7, AgeMS: 5000}}, now) // not newer
	is.Equal(s.Since(7, now), now.Add(-600*time.Millisecond))
	later := now.Add(200 * time.Millisecond)
	is.Equal(len(s.Reports(later)["a"]), 2)
	is.True(s.Since(7, now.Add(300*time.Millisecond)).IsZero())
}

// TestSilencesInAnyOrder: a late older word does not bring back what a newer one has ended, and of
// two silences of a target in one word the longer counts.
func TestSilencesInAnyOrder(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := NewUnresponsiveTargets(300 * time.Millisecond)
	s.Apply("a", 2, nil, now)
	s.Apply("a", 1, []TargetAge{{Target: 7, AgeMS: 600}}, now)
	is.True(s.Since(7, now).IsZero())
	s.Apply("b", 1, []TargetAge{{Target: 7, AgeMS: 900}, {Target: 7, AgeMS: 600}}, now)
	is.Equal(s.Since(7, now), now.Add(-900*time.Millisecond))
}

// TestSilencesBounded: a word that names too many targets is cut.
func TestSilencesBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	told := make([]TargetAge, 10*MaxUnresponsive)
	for i := range told {
		told[i] = TargetAge{Target: Key(i), AgeMS: 600}
	}
	s := NewUnresponsiveTargets(time.Second)
	s.Apply("a", 1, told, now)
	is.Equal(len(s.Reports(now)["a"]), MaxUnresponsive)
}
