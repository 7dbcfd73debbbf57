package breaker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedhoist/shedhoist/internal/breaker"
)

// TestAsked guards against a rest that was asked for and ends too soon: by a success, by a
// shorter one, or by a trial.
func TestAsked(t *testing.T) {
	const rest = 3 * time.Second
	cases := []struct {
		name string
		act  func(s *breaker.Set)
		want time.Duration // the rest's end
	}{
		{"nothing else", func(*breaker.Set) {}, rest},
		{"a success", func(s *breaker.Set) { s.RecordResult("a", true) }, rest},
		{"failures", func(s *breaker.Set) { s.RecordResult("a", false); s.RecordResult("a", false) }, rest},
		{"a rest after a refusal", func(s *breaker.Set) { s.Eject("a", time.Minute) }, rest},
		{"a look at those that rest", func(s *breaker.Set) { s.Eject("a", time.Millisecond); s.Ejected() }, rest},
		{"a shorter one", func(s *breaker.Set) { s.RequestBackoff("a", time.Second) }, rest},
		{"a longer one", func(s *breaker.Set) { s.RequestBackoff("a", 5*time.Second) }, 5 * time.Second},
		{"it is gone for a while", func(s *breaker.Set) { s.Retain(func(string) bool { return false }) }, rest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			began := time.Unix(0, 0)
			now := began
			s := breaker.New(func() time.Time { return now })
			is.Equal(len(s.Backoffs()), 0)
			s.RequestBackoff("a", rest)
			c.act(s)
			is.Equal(s.Backoffs(), map[string]time.Time{"a": began.Add(c.want)})
			now = began.Add(c.want - 1)
			is.True(s.InBackoff("a"))
			now = began.Add(c.want)
			is.True(!s.InBackoff("a"))
			is.Equal(len(s.Backoffs()), 0)
		})
	}
}

// TestAskedIsOver guards against a crowd at the end of a rest: one call tries the name, the
// others wait for its success.
func TestAskedIsOver(t *testing.T) {
	for name, before := range map[string]func(s *breaker.Set){
		"well until then":            func(*breaker.Set) {},
		"refused":                    func(s *breaker.Set) { s.Eject("a", 100*time.Millisecond) },
		"refused, then a success":    func(s *breaker.Set) { s.Eject("a", 100*time.Millisecond); s.RecordResult("a", true) },
		"refused, with a look since": func(s *breaker.Set) { s.Eject("a", 0); s.Ejected() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(0, 0)
			s := breaker.New(func() time.Time { return now })
			s.RequestBackoff("a", time.Second)
			before(s)
			now = now.Add(time.Second)
			is.Equal(len(s.Ejected()), 0)        // one tries it
			is.Equal(s.Ejected(), []string{"a"}) // the others wait
			s.RecordResult("a", true)
			is.Equal(len(s.Ejected()), 0)
		})
	}
}

// TestAskedNews guards against a rest whose end moves unseen, bit by bit, and against news of
// each bit.
func TestAskedNews(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s := breaker.New(func() time.Time { return now })
	until, news := s.RequestBackoff("a", time.Second)
	is.Equal(until, now.Add(time.Second))
	is.True(news)
	until, news = s.RequestBackoff("a", time.Millisecond)
	is.Equal(until, now.Add(time.Second))
	is.True(!news)
	told := 0
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		if _, news = s.RequestBackoff("a", time.Second); news {
			told++
		}
	}
	is.Equal(told, 3) // it moved by a second
	now = now.Add(time.Second)
	_, news = s.RequestBackoff("a", time.Millisecond)
	is.True(news) // the one before is over
}

// TestAskedIsTheLatest: whatever else happens, a name rests exactly until the latest end that
// it has asked for.
func TestAskedIsTheLatest(t *testing.T) {
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
			asked := s.Backoffs()
			for _, n := range []string{"a", "b", "c"} {
				asks := now.Before(ends[n])
				if got, listed := asked[n]; s.InBackoff(n) != asks || listed != asks || asks && got != ends[n] {
					t.Fatalf("%s asks until %v, at %v: %v, listed until %v", n, ends[n], now, s.InBackoff(n), got)
				}
			}
		}
	})
}
