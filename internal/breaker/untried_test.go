package breaker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/breaker"
)

// TestUntried guards against a name that stays untried since callers that want another take its
// trials, and against one that is tried more often for it while it keeps refusing.
func TestUntried(t *testing.T) {
	const rest, most, look = 150 * time.Millisecond, 3 * time.Second, 10 * time.Millisecond
	for name, fail := range map[string]func(s *breaker.Set){
		"refused":       func(s *breaker.Set) { s.Eject("a", rest) },
		"and its trial": func(s *breaker.Set) { s.Eject("a", 0); s.EjectedForSelection(); s.Eject("a", rest) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(0, 0)
			s := breaker.New(func() time.Time { return now })
			// untried returns for how long every look finds the name resting or takes its trial.
			untried := func() time.Duration {
				fail(s)
				taken := 0
				for began := now; ; now = now.Add(look) {
					is.True(now.Sub(began) <= most)
					switch {
					case len(s.EjectedForSelection()) > 0:
					case len(s.EjectedForSelection()) > 0:
						taken++ // by the look before
					default:
						is.True(taken > 0)
						return now.Sub(began)
					}
				}
			}
			first := untried()
			is.True(s.AllowProbe("a"))
			is.Equal(s.EjectedForSelection(), []string{"a"}) // one tries it
			is.True(!s.AllowProbe("a"))                      // the others wait
			is.True(untried() >= first)                      // it refused again
			is.True(s.AllowProbe("a"))
			s.RecordResult("a", true)
			is.Equal(len(s.EjectedForSelection()), 0)
			for range 2 {
				is.True(s.AllowProbe("a"))
			}
		})
	}
}
