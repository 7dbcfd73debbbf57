package dispatch

import (
	"errors"
	"time"

	"github.com/shedhoist/shedhoist/internal/breaker"
	"github.com/shedhoist/shedhoist/internal/core/attempt"
	"github.com/shedhoist/shedhoist/internal/problem"
	"github.com/shedhoist/shedhoist/internal/target"
)

// giveRest notes how long a target wants nothing, if it refused a request and says so. Until
// then nothing is sent there, also if there is no other.
func (d *Dispatcher) giveRest(book *breaker.Set, name, request string, err error) {
	var refused *target.RefusedError
	if !errors.As(err, &refused) || refused.RetryAfter <= 0 {
		return
	}
	until, news := book.RequestBackoff(name, refused.RetryAfter)
	if !news {
		return
	}
	d.Log.WithField("target", name).WithField("request", request).WithField("rest_ms", refused.RetryAfter.Milliseconds()).
		WithField("until", until.UTC().Format(time.RFC3339Nano)).Info("target asks for rest")
}

// asking are the names of a book that want nothing now.
func asking(book *breaker.Set) []string {
	var out []string
	for name := range book.Backoffs() {
		out = append(out, name)
	}
	return out
}

// noTarget ends a request without a target left. One that ran nowhere, since targets ask for
// rest, was refused by them.
func noTarget(m *attempt.Request, asking bool) attempt.Verdict {
	v := m.NoTarget()
	if asking && v.Execution == problem.NotRun {
		v.Kind = problem.Overloaded
	}
	return v
}
