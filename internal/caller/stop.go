package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/shedhoist/shedhoist/internal/drain"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/problem"
)

// stopRetry is when a caller may come back, elsewhere, after a refusal by a stop.
const stopRetry = time.Second

// Stops has the edge refuse what a stop with these times could cut.
func (e *Edge) Stops(t *drain.Schedule) { e.stop.Store(t) }

// stopsFirst refuses a request that a stop could cut.
func (e *Edge) stopsFirst(ctx context.Context, kind string, deadline time.Time) error {
	if !e.stop.Load().WouldAbort(e.Now(), deadline) {
		return nil
	}
	if w, ok := ctx.Value(writerKey{}).(http.ResponseWriter); ok {
		w.Header().Set("Connection", "close") // the request may have begun to come before the stop
	}
	c := callOf(ctx)
	metric.Requests(kind, string(problem.Draining)).Inc()
	e.Log.WithField("request", c.id).WithField("customer", c.customer.Name).Info("refused: the stop could cut it")
	p := problem.New(problem.Draining, "this instance stops before the request may end")
	p.RetryAfter = stopRetry
	return p
}
