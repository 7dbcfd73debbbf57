package loadreport

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUnresponsiveTargets checks that the earliest time of all reports counts, that a later report
// of the same instance replaces its earlier one, and that the reports of an instance that has
// stopped reporting expire.
func TestUnresponsiveTargets(t *testing.T) {
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

// TestUnresponsiveTargetsReordered guards against an older report that arrives late and undoes a
// newer one. Of two times for a target in one report the earlier counts.
func TestUnresponsiveTargetsReordered(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := NewUnresponsiveTargets(300 * time.Millisecond)
	s.Apply("a", 2, nil, now)
	s.Apply("a", 1, []TargetAge{{Target: 7, AgeMS: 600}}, now)
	is.True(s.Since(7, now).IsZero())
	s.Apply("b", 1, []TargetAge{{Target: 7, AgeMS: 900}, {Target: 7, AgeMS: 600}}, now)
	is.Equal(s.Since(7, now), now.Add(-900*time.Millisecond))
}

// TestUnresponsiveTargetsBounded checks that a report which names too many targets is truncated.
func TestUnresponsiveTargetsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	reported := make([]TargetAge, 10*MaxUnresponsive)
	for i := range reported {
		reported[i] = TargetAge{Target: Key(i), AgeMS: 600}
	}
	s := NewUnresponsiveTargets(time.Second)
	s.Apply("a", 1, reported, now)
	is.Equal(len(s.Reports(now)["a"]), MaxUnresponsive)
}
