package breaker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/breaker"
)

// TestSet checks that two consecutive failures eject a name for a time that doubles, that one call
// probes it at the end, that a success closes the breaker, and that a forgotten name is no longer
// ejected.
func TestSet(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s := breaker.New(func() time.Time { return now })
	s.RecordResult("a", false)
	is.Equal(len(s.Ejected()), 0)
	s.RecordResult("a", false)
	is.Equal(s.Ejected(), []string{"a"})
	now = now.Add(time.Second)
	is.Equal(len(s.Ejected()), 0)        // one request probes it
	is.Equal(s.Ejected(), []string{"a"}) // the others wait
	s.RecordResult("a", true)
	is.Equal(len(s.Ejected()), 0)
	s.Eject("b", 100*time.Millisecond)
	is.Equal(s.Ejected(), []string{"b"})
	s.Retain(func(name string) bool { return name == "a" })
	is.Equal(len(s.Ejected()), 0)
	is.True(s.Allow("b"))
}

// TestForgive guards against a name that stays ejected for failures that were not its own, and against the loss of
// what follows a backoff that it requested.
func TestForgive(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s := breaker.New(func() time.Time { return now })
	s.Forgive("unknown")
	s.RecordResult("a", false)
	s.RecordResult("a", false)
	s.RequestBackoff("b", time.Second)
	now = now.Add(time.Second)
	is.Equal(s.Backoffs(), nil)
	is.True(s.AllowProbe("b"))
	s.Forgive("a")
	s.Forgive("b")
	is.True(s.Allow("a"))
	is.True(!s.Allow("b")) // its probe is under way
}
