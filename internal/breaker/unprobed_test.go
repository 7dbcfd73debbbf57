package breaker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/breaker"
)

// TestUnprobed guards against a name that stays unprobed because callers that select another name
// claim its probes, and against one that is probed more often because of that while it keeps
// refusing.
func TestUnprobed(t *testing.T) {
	const ejection, limit, interval = 150 * time.Millisecond, 3 * time.Second, 10 * time.Millisecond
	for name, fail := range map[string]func(s *breaker.Set){
		"refused":                    func(s *breaker.Set) { s.Eject("a", ejection) },
		"refused, and its probe too": func(s *breaker.Set) { s.Eject("a", 0); s.EjectedForSelection(); s.Eject("a", ejection) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(0, 0)
			s := breaker.New(func() time.Time { return now })
			// unprobed returns for how long every call of EjectedForSelection returns the name or
			// claims its probe.
			unprobed := func() time.Duration {
				fail(s)
				claimed := 0
				for start := now; ; now = now.Add(interval) {
					is.True(now.Sub(start) <= limit)
					switch {
					case len(s.EjectedForSelection()) > 0:
					case len(s.EjectedForSelection()) > 0:
						claimed++ // claimed by the call above
					default:
						is.True(claimed > 0)
						return now.Sub(start)
					}
				}
			}
			first := unprobed()
			is.True(s.AllowProbe("a"))
			is.Equal(s.EjectedForSelection(), []string{"a"}) // one caller probes it
			is.True(!s.AllowProbe("a"))                      // the others wait
			is.True(unprobed() >= first)                     // its probe was refused
			is.True(s.AllowProbe("a"))
			s.RecordResult("a", true)
			is.Equal(len(s.EjectedForSelection()), 0)
			for range 2 {
				is.True(s.AllowProbe("a"))
			}
		})
	}
}
