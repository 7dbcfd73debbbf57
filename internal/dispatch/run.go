package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/core/attempt"
	"github.com/shedhoist/shedhoist/internal/core/prefix"
	"github.com/shedhoist/shedhoist/internal/core/route"
	"github.com/shedhoist/shedhoist/internal/explain"
	"github.com/shedhoist/shedhoist/internal/inflight"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/problem"
	"github.com/shedhoist/shedhoist/internal/target"
	"github.com/shedhoist/shedhoist/internal/view"
)

// Request is an admitted request for a model run.
type Request struct {
	ID        string
	Customer  *view.Customer
	View      *view.View
	Model     *config.Model
	Adapter   string
	Path      string // path at the engine
	Canonical string // prompt in canonical form; released when the response starts
	Arrived   time.Time
	// Body builds the engine's request for an attempt with the given parameters.
	Body func(target.Extension) target.Body
}

// Run is a model run in progress. It is not safe for concurrent use.
type Run struct {
	d            *Dispatcher
	ctx          context.Context
	cancel       context.CancelFunc
	req          *Request
	view         *view.View
	version      string
	keys         []prefix.Key
	keyNames     []string // keys in hexadecimal
	salt         string
	promptTokens int
	machine      *attempt.Request
	triedTargets []string
	retries      int

	target         *route.Target
	stream         *target.Stream
	idleTimer      *time.Timer
	load           *inflight.Load
	prefillPending bool // the prompt still counts as queued at the target

	firstChunk    *target.Chunk // read by Start, not yet returned by Next
	deliveredText strings.Builder
	rec           *explain.Record
	usage         target.Usage
	lastTokenMS   float64 // time of the last token, ms after arrival
	ended         bool

	failedZone    string   // zone of the last target that failed
	triedVersions []string // versions for which no target was left
	inBackoff     bool     // at the last placement a target in backoff could have served the run
}

// Deadline returns the deadline of a run of model m that arrived at the given time.
func Deadline(m *config.Model, arrived time.Time) time.Time {
	return arrived.Add(time.Duration(m.DeadlineMS) * time.Millisecond)
}

// Start places a run and returns when its first event has arrived, or returns the final
// problem. The caller must Close the run.
func (d *Dispatcher) Start(ctx context.Context, req *Request) (*Run, error) {
	ctx, cancel := context.WithDeadline(ctx, Deadline(req.Model, req.Arrived))
	r := &Run{d: d, ctx: ctx, cancel: cancel, req: req, view: req.View, promptTokens: prefix.EstimateTokens(len(req.Canonical)),
		machine: attempt.New(true, true, req.View.Policy.MaxAttempts)}
	r.rec = &explain.Record{ID: req.ID, Instance: d.Instance, Customer: req.Customer.Name, Kind: "model", Name: req.Model.Name,
		Adapter: req.Adapter, Generation: req.View.Head.Generation, Arrived: req.Arrived, PromptTokens: r.promptTokens}
	r.pinVersion()
	d.creditRetryBudget(req.View.Policy.RetryShare)
	if err := r.startStream(); err != nil {
		r.Close()
		return nil, err
	}
	c, err := r.Next()
	if err != nil && !errors.Is(err, io.EOF) {
		r.Close()
		return nil, err
	}
	if err == nil {
		r.firstChunk = &c
	}
	return r, nil
}

// startStream places the run and opens its stream. It makes as many attempts as the
// state machine allows.
func (r *Run) startStream() error {
	for {
		att, ext, ok := r.placeAttempt()
		if !ok && r.switchVersion() {
			continue
		}
		if !ok {
			return r.fail(noTargetVerdict(r.machine, r.inBackoff), nil)
		}
		if err := r.shedIfLate(att); err != nil {
			return err
		}
		stream, err := r.openStream(ext)
		if err == nil {
			r.stream = stream
			return nil
		}
		var rejection *target.RejectedError
		if errors.As(err, &rejection) {
			return r.reject(rejection)
		}
		if err := r.attemptFailed(attemptEvent(r.ctx, err), err, att); err != nil {
			return err
		}
	}
}

// attemptFailed records a failed attempt. It returns nil if another attempt follows, or
// else the final problem.
func (r *Run) attemptFailed(ev attempt.Event, cause error, att *explain.Attempt) error {
	r.releaseTarget()
	r.d.recordTargetResult(att.Target, ev)
	r.d.recordBackoff(r.d.targetBreakers, att.Target, r.req.ID, cause)
	if ev != attempt.Refused {
		r.failedZone = r.target.Zone
	}
	att.Result = ev.String()
	metric.Attempts(att.Target, ev.String()).Inc()
	if ev == attempt.Mismatched {
		metric.MismatchedResponses.Inc()
	}
	v := r.machine.Step(ev, r.d.takeRetry)
	r.d.Log.WithField("request", r.req.ID).WithField("target", att.Target).WithField("ended", att.Result).
		WithField("next", v.Action.String()).WithError(cause).Debug("attempt ended")
	if v.Action == attempt.Fail {
		return r.fail(v, cause)
	}
	att.Next = v.Action.String()
	if v.Action == attempt.Resume && r.deliveredText.Len() > 0 {
		metric.Resumes.Inc()
	} else {
		metric.Retries.Inc()
	}
	r.retries++
	waitBackoff(r.ctx, r.retries)
	r.view = r.d.View.Load()
	return nil
}

// openStream starts the request at the chosen target.
func (r *Run) openStream(ext target.Extension) (*target.Stream, error) {
	r.load = r.d.loads.Get(r.target.Name)
	r.load.Requests.Add(1)
	r.load.PrefillTokens.Add(int64(r.promptTokens))
	r.prefillPending = true
	deadline, _ := r.ctx.Deadline()
	ctx, cancel := context.WithCancel(r.ctx)
	r.idleTimer = time.AfterFunc(r.headTimeout(), cancel)
	stream, err := r.d.Targets.Start(ctx, target.Run{Target: r.target.Name, Address: r.target.Address, Path: r.req.Path,
		ID: r.req.ID, Body: r.req.Body(ext), Deadline: deadline, Now: r.d.Now()})
	if err != nil {
		cancel()
	}
	return stream, err
}

// headTimeout returns the longest wait for the start of a response. A long prompt may
// take longer to compute than StreamIdleTimeout allows between events.
func (r *Run) headTimeout() time.Duration {
	predicted := time.Duration(r.rec.Attempts[len(r.rec.Attempts)-1].PredictedMS * float64(time.Millisecond))
	return max(r.d.StreamIdleTimeout, headTimeoutFactor*predicted)
}

// headTimeoutFactor limits the wait for the start of a response to a multiple of the
// predicted time to the first token.
const headTimeoutFactor = 4

// releaseTarget closes the stream of the attempt and removes its load from the target.
func (r *Run) releaseTarget() {
	if r.idleTimer != nil {
		r.idleTimer.Stop()
	}
	if r.stream != nil {
		r.stream.Close()
		r.stream = nil
	}
	if r.load != nil {
		r.load.Requests.Add(-1)
		r.prefillDone()
		r.load = nil
	}
}

// prefillDone removes the prompt from the tokens queued at the target.
func (r *Run) prefillDone() {
	if r.prefillPending {
		r.load.PrefillTokens.Add(-int64(r.promptTokens))
		r.prefillPending = false
	}
}

// Next returns the next event of the response, which may come from several targets in
// turn. io.EOF marks the end of the complete response; any other error is a
// *problem.Problem.
func (r *Run) Next() (target.Chunk, error) {
	if c := r.firstChunk; c != nil {
		r.firstChunk = nil
		return *c, nil
	}
	if r.ended {
		return target.Chunk{}, io.EOF
	}
	for {
		c, err := r.stream.Next()
		if err == nil {
			r.idleTimer.Reset(r.d.StreamIdleTimeout)
			if r.acceptChunk(&c) {
				return c, nil
			}
			continue
		}
		att := &r.rec.Attempts[len(r.rec.Attempts)-1]
		if errors.Is(err, io.EOF) {
			r.finish(att)
			return target.Chunk{}, io.EOF
		}
		if err := r.attemptFailed(attemptEvent(r.ctx, err), err, att); err != nil {
			return target.Chunk{}, err
		}
		if err := r.startStream(); err != nil {
			return target.Chunk{}, err
		}
	}
}

// acceptChunk records an event. It returns false for an event that the caller must not
// see twice, such as the opening event of a resumed stream.
func (r *Run) acceptChunk(chunk *target.Chunk) bool {
	if r.prefillPending {
		r.prefillDone()
		r.recordResidency()
		r.req.Canonical = "" // the version is final, so no more keys are derived from it
	}
	if chunk.Usage != nil {
		r.usage = *chunk.Usage
		return true
	}
	if chunk.Text == "" && chunk.FinishReason == "" && r.deliveredText.Len() > 0 {
		return false
	}
	if chunk.Text != "" {
		r.recordTokenTime()
	}
	r.deliveredText.WriteString(chunk.Text)
	return true
}

// recordTokenTime measures the time to the first token and between tokens.
func (r *Run) recordTokenTime() {
	nowMS := r.elapsedMS()
	if r.rec.FirstTokenMS == 0 {
		r.rec.FirstTokenMS = nowMS
		metric.FirstToken.Update(nowMS / 1000)
	} else {
		metric.BetweenTokens.Update((nowMS - r.lastTokenMS) / 1000)
	}
	r.lastTokenMS = nowMS
}

// recordResidency records that the target holds the whole chain, which it has just
// computed, restored or reused.
func (r *Run) recordResidency() { r.d.Hints.Add(r.target.Name, r.keys) }

func (r *Run) elapsedMS() float64 {
	return float64(r.d.Now().Sub(r.req.Arrived)) / float64(time.Millisecond)
}

// finish completes the record of a complete response, and saves its cache in a store if
// that is worthwhile.
func (r *Run) finish(att *explain.Attempt) {
	r.ended = true
	r.machine.Step(attempt.Done, r.d.takeRetry)
	r.d.recordTargetResult(att.Target, attempt.Done)
	att.Result = attempt.Done.String()
	metric.Attempts(att.Target, att.Result).Inc()
	u := r.usage
	r.rec.CachedTokens, r.rec.RestoredTokens, r.rec.GeneratedTokens = u.PromptDetails.CachedTokens, u.PromptDetails.RestoredTokens, u.CompletionTokens
	metric.PromptTokens.Add(u.PromptTokens)
	metric.CachedTokens.Add(u.PromptDetails.CachedTokens)
	metric.RestoredTokens.Add(u.PromptDetails.RestoredTokens)
	metric.GeneratedTokens.Add(u.CompletionTokens)
	if r.shouldSave() && r.storeMayLackChunks(att) {
		r.d.saveCache(r)
	}
	r.closeRecord("done", problem.Ran)
}

// shouldSave reports whether the prompt is long enough to be saved in a store.
func (r *Run) shouldSave() bool {
	return len(r.keys) > 0 && !r.view.Policy.NoStores && len(r.keys)*prefix.ChunkBytes/prefix.BytesPerToken >= r.view.Policy.MinSaveTokens
}

// storeMayLackChunks reports whether a store may lack part of the chain, because part of
// it was computed rather than restored.
func (r *Run) storeMayLackChunks(att *explain.Attempt) bool {
	return r.usage.PromptTokens-r.usage.PromptDetails.CachedTokens >= prefix.ChunkBytes/prefix.BytesPerToken || att.Action == route.Recompute.String()
}

// fail completes the record of a run that ends in a problem.
func (r *Run) fail(v attempt.Verdict, cause error) error {
	r.ended = true
	r.closeRecord(string(v.Kind), v.Execution)
	return newProblem(r.req.ID, v, cause)
}

// reject ends a run that the engine rejected as invalid.
func (r *Run) reject(rejection *target.RejectedError) error {
	r.releaseTarget()
	r.ended = true
	att := &r.rec.Attempts[len(r.rec.Attempts)-1]
	att.Result = "rejected"
	p := problem.New(problem.BadRequest, "the engine rejected the request with status "+http.StatusText(rejection.Status))
	p.RequestID = r.req.ID
	r.closeRecord(string(p.Kind), p.Execution)
	return p
}

// closeRecord completes the record of the run and logs it, the first time it is called.
func (r *Run) closeRecord(outcome string, execution problem.Execution) {
	if r.rec.Outcome != "" {
		return
	}
	r.rec.Outcome, r.rec.Execution, r.rec.TotalMS = outcome, execution, r.elapsedMS()
	metric.Requests("model", outcome).Inc()
	r.d.Explain.Add(r.rec)
	r.d.Log.WithField("request", r.rec.ID).WithField("customer", r.rec.Customer).WithField("model", r.rec.Name).
		WithField("target", r.rec.LastTarget()).WithField("decision", r.rec.LastAction()).WithField("attempts", len(r.rec.Attempts)).
		WithField("outcome", outcome).WithField("execution", string(execution)).WithField("first_ms", r.rec.FirstTokenMS).
		WithField("total_ms", r.rec.TotalMS).Info("request")
}

// Usage returns the token counts of a complete response.
func (r *Run) Usage() target.Usage { return r.usage }

// Record returns the run's explain record.
func (r *Run) Record() *explain.Record { return r.rec }

// Close ends the run. If the response is not complete, the request is cancelled at its
// target.
func (r *Run) Close() {
	r.releaseTarget()
	if !r.ended {
		r.ended = true
		r.machine.Step(attempt.CallerGone, r.d.takeRetry)
		if n := len(r.rec.Attempts); n > 0 {
			r.rec.Attempts[n-1].Result = attempt.CallerGone.String()
		}
		r.closeRecord(string(problem.CallerGone), problem.MayHaveRun)
	}
	r.cancel()
}
