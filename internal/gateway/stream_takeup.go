package gateway

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/streamversion"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/problem"
)

// The stream of one request: which version of the targets' software it is bound to, see stream_versions.go.

// streamRecord returns the record of the stream that the request begins or takes up. A request without an
// id begins a stream that nobody can name, but that requests like it may take up.
func (x *exchange) streamRecord(b streamversion.Binding) streamversion.Record {
	var id streamversion.ID
	binary.LittleEndian.PutUint64(id[:], rand.Uint64())
	if name := cmp.Or(x.call.Resumes, x.call.ID); name != "" {
		id = streamversion.IDOf(x.customerName(), name)
	}
	return streamversion.Record{ID: id, Request: x.streamRequest(),
		Binding: b, Until: x.deadline.Add(takeUpTime)}
}

// streamRequest identifies the requests that are like this one.
func (x *exchange) streamRequest() streamversion.ID {
	return streamversion.IDOf(x.customerName(), x.quarantineKey().String())
}

// streamQuestion asks for the stream that the request takes up. A caller that doesn't name it is taken to
// have sent a request that is like this one.
func (x *exchange) streamQuestion() *StreamQuestion {
	q := &StreamQuestion{ID: x.streamRequest(), WindowMS: x.streamWindow().Milliseconds()}
	if x.call.Resumes != "" {
		q.ID, q.ByID = streamversion.IDOf(x.customerName(), x.call.Resumes), true
	}
	if len(x.route.Backends) == 1 {
		q.Service = x.service
	}
	return q
}

// takesUpStream reports whether the caller takes up a stream that an earlier request of it began.
func (x *exchange) takesUpStream() bool {
	return x.route.Kind == catalog.Streaming && (x.call.Resumes != "" || x.call.LastEventID != "")
}

// streamWindow is how long ago a stream of the route that can be taken up may have begun.
func (x *exchange) streamWindow() time.Duration {
	if x.route.Timeout > 0 {
		return x.route.Timeout + takeUpTime
	}
	return defaultTimeout + takeUpTime
}

// bindStream binds a stream that the caller takes up to the version that began it. It returns the problem
// for which it can't go on, or nil.
func (x *exchange) bindStream() *problem.Problem {
	if !x.takesUpStream() {
		return nil
	}
	b, how := x.g.streams.find(x.ctx, x.streamQuestion())
	if how != streamversion.Unknown && !x.route.SendsTo(b.Service) {
		how = streamMoved
	}
	metric.StreamsTakenUp(how).Inc()
	x.g.log.WithField("request", x.call.ID).WithField("resumes", x.call.Resumes).WithField("service", b.Service).WithField("software", b.Software).
		WithField("known", how).WithField("age_ms", x.elapsedMS()).Info("stream taken up")
	if how == streamversion.Unknown || how == streamMoved {
		return retryLater(problem.NoTarget, "the stream can't go on: "+streamRefusals[how], retryAfterShort)
	}
	x.service, x.binding = b.Service, &b
	x.g.streams.begin(x.streamRecord(b), x.streamWindow())
	return nil
}

// streamRefusals says why a stream can't go on.
var streamRefusals = map[string]string{
	streamversion.Unknown: "no instance knows the version of the software that began it",
	streamMoved:           "its route leads to another service",
}

// beginStream binds a stream to the version of the target that sends its first event.
func (x *exchange) beginStream(t *catalog.Target) {
	if x.binding != nil {
		return
	}
	x.binding = &streamversion.Binding{Service: t.Service, Software: t.Software}
	if x.route.Resumable {
		x.g.streams.begin(x.streamRecord(*x.binding), x.streamWindow())
	}
}

// isIncompatible reports whether the request's stream can't go on at a target.
func (x *exchange) isIncompatible(t *catalog.Target) bool {
	return x.binding != nil && t.Software != x.binding.Software
}

// lacksCompatible reports whether the request's stream can go on at none of its service's targets.
func (x *exchange) lacksCompatible() bool {
	return x.binding != nil && !slices.ContainsFunc(x.view.Serving[x.service], func(t *catalog.Target) bool { return !x.isIncompatible(t) })
}

// withStreamFields adds to a log line of a stream the version of the last tried target's software, and
// which stream the caller resumes.
func (x *exchange) withStreamFields(e *log.Entry) *log.Entry {
	if x.route == nil || x.route.Kind != catalog.Streaming {
		return e
	}
	e = e.WithField("software", x.software)
	if x.call.Resumes != "" {
		e = e.WithField("resumes", x.call.Resumes)
	}
	return e
}
