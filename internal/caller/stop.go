package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/shedhoist/shedhoist/internal/drain"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/problem"
)

// stopRetryAfter is the Retry-After of a request refused because of a stop; the
// retry is meant to reach another instance.
const stopRetryAfter = time.Second

// SetStopSchedule makes the server refuse requests that a stop with this schedule could abort.
func (s *Server) SetStopSchedule(schedule *drain.Schedule) { s.stopSchedule.Store(schedule) }

// refuseIfStopping refuses a request that could still run when the stop aborts connections.
func (s *Server) refuseIfStopping(ctx context.Context, kind string, deadline time.Time) error {
	if !s.stopSchedule.Load().WouldAbort(s.Now(), deadline) {
		return nil
	}
	if w, ok := ctx.Value(responseWriterKey{}).(http.ResponseWriter); ok {
		w.Header().Set("Connection", "close") // the request may have begun to arrive before the stop
	}
	c := callFrom(ctx)
	metric.Requests(kind, string(problem.Draining)).Inc()
	s.Log.WithField("request", c.id).WithField("customer", c.customer.Name).Info("refused: the stop could abort it")
	p := problem.New(problem.Draining, "this instance stops before the request may end")
	p.RetryAfter = stopRetryAfter
	return p
}
