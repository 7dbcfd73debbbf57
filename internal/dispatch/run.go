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

// Request is one model run, admitted.
type Request struct {
	ID        string
	Customer  *view.Customer
	View      *view.View
	Model     *config.Model
	Adapter   string
	Path      string // the engine's path
	Canonical string // prompt in canonical form; let go once the answer has begun
	Arrived   time.Time
	// Body builds the engine's request around what the run's attempt needs.
	Body func(target.Extension) target.Body
}

// Live is a run under way. It belongs to one goroutine.
type Live struct {
	d       *Dispatcher
	ctx     context.Context
	cancel  context.CancelFunc
	req     *Request
	view    *view.View
	version string
	keys    []prefix.Key
	names   []string // of the keys, in hexadecimal
	salt    string
	tokens  int
	machine *attempt.Request
	tried   []string
	retries int

	target *route.Target
	stream *target.Stream
	watch  *time.Timer
	load   *inflight.Load
	queued bool // its prompt still counts as queued at the target

	first   *target.Chunk // read ahead by Start
	text    strings.Builder
	rec     *explain.Record
	usage   target.Usage
	tokenMS float64 // when the last token came, ms after arrival
	ending  bool

	failedZone string   // zone of the last target that failed
	pinned     []string // versions that no target took the run with
	asking     bool     // targets asked for rest when it was placed last
}

// Deadline is when a run of a model ends at the latest that arrived at that time.
func Deadline(m *config.Model, arrived time.Time) time.Time {
	return arrived.Add(time.Duration(m.DeadlineMS) * time.Millisecond)
}

// Start places a run and returns when its first event is there, or the final
// problem. The caller must Close the run.
func (d *Dispatcher) Start(ctx context.Context, req *Request) (*Live, error) {
	ctx, cancel := context.WithDeadline(ctx, Deadline(req.Model, req.Arrived))
	l := &Live{d: d, ctx: ctx, cancel: cancel, req: req, view: req.View, tokens: prefix.EstimateTokens(len(req.Canonical)),
		machine: attempt.New(true, true, req.View.Policy.MaxAttempts)}
	l.rec = &explain.Record{ID: req.ID, Instance: d.Instance, Customer: req.Customer.Name, Kind: "model", Name: req.Model.Name,
		Adapter: req.Adapter, Generation: req.View.Head.Generation, Arrived: req.Arrived, PromptTokens: l.tokens}
	l.pin()
	d.earn(req.View.Policy.RetryShare)
	if err := l.attempt(); err != nil {
		l.Close()
		return nil, err
	}
	c, err := l.Next()
	if err != nil && !errors.Is(err, io.EOF) {
		l.Close()
		return nil, err
	}
	if err == nil {
		l.first = &c
	}
	return l, nil
}

// attempt places the run and starts its stream, as often as the machine says.
func (l *Live) attempt() error {
	for {
		att, ext, ok := l.place()
		if !ok && l.repin() {
			continue
		}
		if !ok {
			return l.fail(noTarget(l.machine, l.asking), nil)
		}
		if err := l.shed(att); err != nil {
			return err
		}
		stream, err := l.send(ext)
		if err == nil {
			l.stream = stream
			return nil
		}
		var rejected *target.RejectedError
		if errors.As(err, &rejected) {
			return l.reject(rejected)
		}
		if err := l.after(eventOf(l.ctx, err), err, att); err != nil {
			return err
		}
	}
}

// after takes an attempt's failed end. It returns nil if another attempt follows.
func (l *Live) after(ev attempt.Event, cause error, att *explain.Attempt) error {
	l.leave()
	l.d.judgeTarget(att.Target, ev)
	l.d.giveRest(l.d.ejected, att.Target, l.req.ID, cause)
	if ev != attempt.Refused {
		l.failedZone = l.target.Zone
	}
	att.Result = ev.String()
	metric.Attempts(att.Target, ev.String()).Inc()
	if ev == attempt.Mismatched {
		metric.MismatchedResponses.Inc()
	}
	v := l.machine.Step(ev, l.d.spend)
	l.d.Log.WithField("request", l.req.ID).WithField("target", att.Target).WithField("ended", att.Result).
		WithField("next", v.Action.String()).WithError(cause).Debug("attempt ended")
	if v.Action == attempt.Fail {
		return l.fail(v, cause)
	}
	att.Next = v.Action.String()
	if v.Action == attempt.Resume && l.text.Len() > 0 {
		metric.Resumes.Inc()
	} else {
		metric.Retries.Inc()
	}
	l.retries++
	backoff(l.ctx, l.retries)
	l.view = l.d.View.Load()
	return nil
}

// send starts the stream at the placed target.
func (l *Live) send(ext target.Extension) (*target.Stream, error) {
	l.load = l.d.load.Get(l.target.Name)
	l.load.Requests.Add(1)
	l.load.PrefillTokens.Add(int64(l.tokens))
	l.queued = true
	deadline, _ := l.ctx.Deadline()
	ctx, cancel := context.WithCancel(l.ctx)
	l.watch = time.AfterFunc(l.patience(), cancel)
	stream, err := l.d.Targets.Start(ctx, target.Run{Target: l.target.Name, Address: l.target.Address, Path: l.req.Path,
		ID: l.req.ID, Body: l.req.Body(ext), Deadline: deadline, Now: l.d.Now()})
	if err != nil {
		cancel()
	}
	return stream, err
}

// patience is the longest wait for the head of an answer: a long prompt may
// take longer than the silence allowed between events.
func (l *Live) patience() time.Duration {
	predicted := time.Duration(l.rec.Attempts[len(l.rec.Attempts)-1].PredictedMS * float64(time.Millisecond))
	return max(l.d.Stall, patienceFactor*predicted)
}

// patienceFactor is how many times its predicted first token an attempt may take.
const patienceFactor = 4

// leave ends the attempt's hold on its target.
func (l *Live) leave() {
	if l.watch != nil {
		l.watch.Stop()
	}
	if l.stream != nil {
		l.stream.Close()
		l.stream = nil
	}
	if l.load != nil {
		l.load.Requests.Add(-1)
		l.computed()
		l.load = nil
	}
}

// computed says that the prompt no longer waits at the target.
func (l *Live) computed() {
	if l.queued {
		l.load.PrefillTokens.Add(-int64(l.tokens))
		l.queued = false
	}
}

// Next returns the next event of the answer, across as many targets as it
// takes. io.EOF is the whole answer's end; any other error is a
// *problem.Problem.
func (l *Live) Next() (target.Chunk, error) {
	if c := l.first; c != nil {
		l.first = nil
		return *c, nil
	}
	if l.ending {
		return target.Chunk{}, io.EOF
	}
	for {
		c, err := l.stream.Next()
		if err == nil {
			l.watch.Reset(l.d.Stall)
			if l.note(&c) {
				return c, nil
			}
			continue
		}
		att := &l.rec.Attempts[len(l.rec.Attempts)-1]
		if errors.Is(err, io.EOF) {
			l.finish(att)
			return target.Chunk{}, io.EOF
		}
		if err := l.after(eventOf(l.ctx, err), err, att); err != nil {
			return target.Chunk{}, err
		}
		if err := l.attempt(); err != nil {
			return target.Chunk{}, err
		}
	}
}

// note takes an event into account; it returns false for one that the caller
// must not see twice, such as the opening event of a resumed stream.
func (l *Live) note(c *target.Chunk) bool {
	if l.queued {
		l.computed()
		l.learn()
		l.req.Canonical = "" // the version is settled: no key is made from it again
	}
	if c.Usage != nil {
		l.usage = *c.Usage
		return true
	}
	if c.Text == "" && c.FinishReason == "" && l.text.Len() > 0 {
		return false
	}
	if c.Text != "" {
		l.timeToken()
	}
	l.text.WriteString(c.Text)
	return true
}

// timeToken measures the time to the first token, and from token to token.
func (l *Live) timeToken() {
	at := l.sinceMS()
	if l.rec.FirstTokenMS == 0 {
		l.rec.FirstTokenMS = at
		metric.FirstToken.Update(at / 1000)
	} else {
		metric.BetweenTokens.Update((at - l.tokenMS) / 1000)
	}
	l.tokenMS = at
}

// learn: the target has just computed, restored or reused the whole chain.
func (l *Live) learn() { l.d.Hints.Add(l.target.Name, l.keys) }

func (l *Live) sinceMS() float64 {
	return float64(l.d.Now().Sub(l.req.Arrived)) / float64(time.Millisecond)
}

// finish closes the books of a whole answer and decides whether to keep its cache.
func (l *Live) finish(att *explain.Attempt) {
	l.ending = true
	l.machine.Step(attempt.Done, l.d.spend)
	l.d.judgeTarget(att.Target, attempt.Done)
	att.Result = attempt.Done.String()
	metric.Attempts(att.Target, att.Result).Inc()
	u := l.usage
	l.rec.CachedTokens, l.rec.RestoredTokens, l.rec.GeneratedTokens = u.PromptDetails.CachedTokens, u.PromptDetails.RestoredTokens, u.CompletionTokens
	metric.PromptTokens.Add(u.PromptTokens)
	metric.CachedTokens.Add(u.PromptDetails.CachedTokens)
	metric.RestoredTokens.Add(u.PromptDetails.RestoredTokens)
	metric.GeneratedTokens.Add(u.CompletionTokens)
	if l.worthKeeping() && l.newToStore(att) {
		l.d.keep(l)
	}
	l.close("done", problem.Ran)
}

// worthKeeping says whether the prompt is long enough for a store.
func (l *Live) worthKeeping() bool {
	return len(l.keys) > 0 && !l.view.Policy.NoStores && len(l.keys)*prefix.ChunkBytes/prefix.BytesPerToken >= l.view.Policy.MinSaveTokens
}

// newToStore says whether the store may lack part of the chain: something was
// computed rather than restored.
func (l *Live) newToStore(att *explain.Attempt) bool {
	return l.usage.PromptTokens-l.usage.PromptDetails.CachedTokens >= prefix.ChunkBytes/prefix.BytesPerToken || att.Action == route.Recompute.String()
}

// fail closes the books of a request that ends in a problem.
func (l *Live) fail(v attempt.Verdict, cause error) error {
	l.ending = true
	l.close(string(v.Kind), v.Execution)
	return failure(l.req.ID, v, cause)
}

// reject passes on a target's own judgement of the request.
func (l *Live) reject(r *target.RejectedError) error {
	l.leave()
	l.ending = true
	att := &l.rec.Attempts[len(l.rec.Attempts)-1]
	att.Result = "rejected"
	p := problem.New(problem.BadRequest, "the engine rejected the request with status "+http.StatusText(r.Status))
	p.RequestID = l.req.ID
	l.close(string(p.Kind), p.Execution)
	return p
}

func (l *Live) close(outcome string, ex problem.Execution) {
	if l.rec.Outcome != "" {
		return
	}
	l.rec.Outcome, l.rec.Execution, l.rec.TotalMS = outcome, ex, l.sinceMS()
	metric.Requests("model", outcome).Inc()
	l.d.Why.Add(l.rec)
	l.d.Log.WithField("request", l.rec.ID).WithField("customer", l.rec.Customer).WithField("model", l.rec.Name).
		WithField("target", l.rec.LastTarget()).WithField("decision", l.rec.LastAction()).WithField("attempts", len(l.rec.Attempts)).
		WithField("outcome", outcome).WithField("execution", string(ex)).WithField("first_ms", l.rec.FirstTokenMS).
		WithField("total_ms", l.rec.TotalMS).Info("request")
}

// Usage is the count of tokens of a whole answer.
func (l *Live) Usage() target.Usage { return l.usage }

// Record is the run's why-record.
func (l *Live) Record() *explain.Record { return l.rec }

// Close ends the run. One that is not whole is cancelled at its target.
func (l *Live) Close() {
	l.leave()
	if !l.ending {
		l.ending = true
		l.machine.Step(attempt.CallerGone, l.d.spend)
		if n := len(l.rec.Attempts); n > 0 {
			l.rec.Attempts[n-1].Result = attempt.CallerGone.String()
		}
		l.close(string(problem.CallerGone), problem.MayHaveRun)
	}
	l.cancel()
}
