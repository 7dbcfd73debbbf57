package breaker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedhoist/shedhoist/internal/breaker"
)

// TestBackoffLasts guards against a requested backoff that ends too early because of a success, a
// shorter request or a probe.
func TestBackoffLasts(t *testing.T) {
	const backoff = 3 * time.Second
	cases := []struct {
		name string
		act  func(s *breaker.Set)
		want time.Duration // end of the backoff
	}{
		{"nothing else", func(*breaker.Set) {}, backoff},
		{"a success", func(s *breaker.Set) { s.RecordResult("a", true) }, backoff},
		{"failures", func(s *breaker.Set) { s.RecordResult("a", false); s.RecordResult("a", false) }, backoff},
		{"an ejection after a refusal", func(s *breaker.Set) { s.Eject("a", time.Minute) }, backoff},
		{"a list of the ejected names", func(s *breaker.Set) { s.Eject("a", time.Millisecond); s.Ejected() }, backoff},
		{"a shorter request", func(s *breaker.Set) { s.RequestBackoff("a", time.Second) }, backoff},
		{"a longer request", func(s *breaker.Set) { s.RequestBackoff("a", 5*time.Second) }, 5 * time.Second},
		{"the name disappears for a while", func(s *breaker.Set) { s.Retain(func(string) bool { return false }) }, backoff},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(0, 0)
			now := start
			s := breaker.New(func() time.Time { return now })
			is.Equal(len(s.Backoffs()), 0)
			s.RequestBackoff("a", backoff)
			c.act(s)
			is.Equal(s.Backoffs(), map[string]time.Time{"a": start.Add(c.want)})
			now = start.Add(c.want - 1)
			is.True(s.InBackoff("a"))
			now = start.Add(c.want)
			is.True(!s.InBackoff("a"))
			is.Equal(len(s.Backoffs()), 0)
		})
	}
}

// TestBackoffEndsWithOneProbe guards against a burst of calls at the end of a backoff: one call
// probes the name, the others wait for its success.
func TestBackoffEndsWithOneProbe(t *testing.T) {
	for name, before := range map[string]func(s *breaker.Set){
		"no failure before":                      func(*breaker.Set) {},
		"refused":                                func(s *breaker.Set) { s.Eject("a", 100*time.Millisecond) },
		"refused, then a success":                func(s *breaker.Set) { s.Eject("a", 100*time.Millisecond); s.RecordResult("a", true) },
		"refused, then the ejected names listed": func(s *breaker.Set) { s.Eject("a", 0); s.Ejected() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(0, 0)
			s := breaker.New(func() time.Time { return now })
			s.RequestBackoff("a", time.Second)
			before(s)
			now = now.Add(time.Second)
			is.Equal(len(s.Ejected()), 0)        // one caller probes it
			is.Equal(s.Ejected(), []string{"a"}) // the others wait
			s.RecordResult("a", true)
			is.Equal(len(s.Ejected()), 0)
		})
	}
}

// TestBackoffChangeReports guards against a backoff whose end moves in small steps without a
// report, and against a report of each step.
func TestBackoffChangeReports(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s := breaker.New(func() time.Time { return now })
	until, changed := s.RequestBackoff("a", time.Second)
	is.Equal(until, now.Add(time.Second))
	is.True(changed)
	until, changed = s.RequestBackoff("a", time.Millisecond)
	is.Equal(until, now.Add(time.Second))
	is.True(!changed)
	changes := 0
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		if _, changed = s.RequestBackoff("a", time.Second); changed {
			changes++
		}
	}
	is.Equal(changes, 3) // the end moved by one second
	now = now.Add(time.Second)
	_, changed = s.RequestBackoff("a", time.Millisecond)
	is.True(changed) // the previous backoff is over
}

// TestBackoffEndsAtLatestRequest checks with random operations that a name is in backoff exactly
// until the latest end that it has requested.
func TestBackoffEndsAtLatestRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		s := breaker.New(func() time.Time { return now })
		ends := map[string]time.Time{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			d := time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 6).Draw(t, "act") {
			case 0:
				s.RequestBackoff(name, d)
				if end := now.Add(d); end.After(ends[name]) {
					ends[name] = end
				}
			case 1:
				s.RecordResult(name, rapid.Bool().Draw(t, "ok"))
			case 2:
				s.Eject(name, d)
			case 3:
				s.Ejected()
			case 4:
				s.Allow(name)
			case 5:
				s.Retain(func(n string) bool { return n != name })
			case 6:
				now = now.Add(d)
			}
			backoffs := s.Backoffs()
			for _, n := range []string{"a", "b", "c"} {
				inBackoff := now.Before(ends[n])
				if got, listed := backoffs[n]; s.InBackoff(n) != inBackoff || listed != inBackoff || inBackoff && got != ends[n] {
					t.Fatalf("%s is in backoff until %v; at %v: %v, listed until %v", n, ends[n], now, s.InBackoff(n), got)
				}
			}
		}
	})
}
