package gateway

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/attempt"
	"github.com/shedhoist/shedhoist/internal/core/placement"
	"github.com/shedhoist/shedhoist/internal/inflight"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/netx"
	"github.com/shedhoist/shedhoist/internal/registry"
)

// BadAnswerError says why an answer can't be passed on.
type BadAnswerError struct {
	Target string
	Reason string
	Cause  error
}

// Error implements error.
func (e *BadAnswerError) Error() string {
	msg := "target " + e.Target + ": " + e.Reason
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *BadAnswerError) Unwrap() error { return e.Cause }

// Times of an attempt.
const (
	// refusalRest keeps requests away from a target that refused one: its queue is
	// full, or it loads weights.
	refusalRest = 150 * time.Millisecond
	// patienceFactor times its latency objective is how long the first word of a
	// repeatable request is waited for, and leastPatience at least, before it is
	// sent elsewhere.
	patienceFactor = 3
	leastPatience  = time.Second
	// answerDue is how long a target may answer nothing before it is taken to be silent:
	// about a latency objective, in which one that is in use answers some request.
	answerDue = 500 * time.Millisecond
)

// work is an attempt under way.
type work struct {
	target *catalog.Target
	load   *inflight.Load
	began  time.Time
	watch  *time.Timer // ends the attempt if the target stays silent; nil: never
	paid   atomic.Bool // the attempt after this one is paid for from the retry budget
	resp   *http.Response
	answer Answer
	asked  cacheWork
	ticket *placement.PendingRequest
	done   bool // the prompt no longer waits at the target
	sent   atomic.Bool
}

// answered says that the prompt no longer waits to be read.
func (w *work) answered() {
	if !w.done {
		w.done = true
		w.load.PrefillTokens.Add(-int64(w.asked.PrefillTokens))
	}
}

// try makes one attempt at a target. All that it holds is let go when it returns:
// closing the connection of an answer that was not read to its end makes the
// target drop the request.
func (x *exchange) try(t *catalog.Target) ending {
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	at := &work{target: t, load: x.g.upstream.work.Get(t.ID), began: x.g.now(), asked: x.asks}
	leavePlace := x.leavePlace(t)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { at.sent.Store(true) },
		WroteRequest: func(httptrace.WroteRequestInfo) { leavePlace() },
	})
	defer x.g.dark.wait(t.Zone, at, x.leaveDark(at, cancel))()
	at.load.Requests.Add(1)
	defer at.load.Requests.Add(-1)
	at.load.PrefillTokens.Add(int64(x.asks.PrefillTokens))
	defer at.answered()
	keeps := int64(x.call.keeps())
	at.load.MemoryTokens.Add(keeps)
	defer at.load.MemoryTokens.Add(-keeps)
	at.ticket = x.g.beginTicket(t.ID, at.asked.PrefillWork, at.began)
	defer x.g.dropTicket(at.ticket)
	x.targets, x.lastZone, x.word = append(x.targets, t.ID), t.Zone, Word{}
	if x.mayLeave() {
		at.watch = time.AfterFunc(x.patience(), func() { x.leave(at, cancel) })
		defer at.watch.Stop()
	}
	x.plan = cachePlan{}
	out := x.outgoing(t)
	at.load.Responses.RecordRequest(at.began)
	resp, way, err := x.g.upstream.send(ctx, out)
	x.g.cache.endSave(x.plan.save, endOfSave(way, err, ctx.Err() != nil))
	leavePlace()
	if err != nil && ctx.Err() != nil {
		at.load.Responses.RecordAbandoned(at.began, x.g.now(), answerDue)
	} else {
		at.load.Responses.RecordActivity(x.g.now())
	}
	if errors.Is(err, syscall.ETIMEDOUT) {
		x.g.dark.silent(t)
	}
	end := ending{cause: err, event: attempt.FailedBeforeResponse, broken: way.Sent}
	switch {
	case err != nil && !way.Sent:
		end.event = attempt.NotSent
	case err == nil:
		defer resp.Body.Close()
		at.resp, at.answer = resp, x.g.codec.ReadAnswer(resp.StatusCode, resp.Header)
		x.g.upstream.learnKept(t.Service, at.answer.KeptFor)
		if x.answers(at.answer) {
			x.word = at.answer.Word
			x.g.hearWord(t, x.word, registry.Source{Channel: string(fromAnswer), Reporter: x.call.ID, RequestSent: at.began})
		}
		end = x.take(at)
	}
	if !end.delivered {
		end.event = x.whoEnded(end.event)
	}
	x.mayTryAgain(t, way, end, ctx.Err() == nil)
	end.paid = at.paid.Load()
	x.judge(at, end)
	if end.broken && (end.event == attempt.FailedBeforeResponse || end.event == attempt.FailedMidResponse) {
		x.g.crashes.broke(t, x.asBroken())
	}
	return end
}

// endOfSave says how a request that asks for saves ended.
func endOfSave(way netx.Way, err error, left bool) saveEnd {
	switch {
	case err != nil && !way.Sent:
		return saveNotSent
	case left || errors.Is(err, syscall.ETIMEDOUT):
		return saveLeft
	}
	return saveAnswered // or the target closed the connection, and works on it no more
}

// mayTryAgain lets a request go to the same target by a new connection, if it failed on a kept
// one that had ended, or on which the answer to another request lay: that says nothing of
// the target.
func (x *exchange) mayTryAgain(t *catalog.Target, way netx.Way, end ending, inTime bool) {
	x.freshTo = ""
	if way.Kept && inTime && (end.event == attempt.FailedBeforeResponse || end.event == attempt.Mismatched) {
		x.freshTo = t.ID
	}
}

// tried says whether a target is not to be tried any more.
func (x *exchange) tried(t *catalog.Target) bool {
	return slices.Contains(x.targets, t.ID) && t.ID != x.freshTo
}

func (x *exchange) asBroken() brokenRequest {
	return brokenRequest{id: x.call.ID, key: x.alike(), customer: x.customerName(), route: x.route.Name}
}

// mayLeave says whether the request may go on elsewhere if its target stays silent. A
// last attempt is left to come for as long as the caller waits: a target that has more
// to read than it can is silent for seconds, and its answer is worth more than none.
func (x *exchange) mayLeave() bool {
	return x.route.Repeatable() && x.ran+1 < x.route.MaxAttempts
}

// leave ends an attempt at a silent target, if the attempt that would follow can be paid
// for.
func (x *exchange) leave(at *work, cancel context.CancelFunc) {
	if !x.g.budgets.retry(x.service) {
		return
	}
	at.paid.Store(true)
	cancel()
}

// leaveDark returns what ends an attempt whose target's zone turns out to be silent: one that
// was not sent goes elsewhere, and so does one that may run again.
func (x *exchange) leaveDark(at *work, cancel context.CancelFunc) func() {
	mayLeave := x.mayLeave()
	return func() {
		switch {
		case !at.sent.Load():
			cancel()
		case mayLeave:
			x.leave(at, cancel)
		}
	}
}

// patience is the longest wait for the first word of a repeatable request.
func (x *exchange) patience() time.Duration {
	return max(patienceFactor*x.route.LatencyObjective, leastPatience)
}

// whoEnded lets the end of the request's own time, or of its caller, go before
// what the connection reports of it. Nothing sent stays nothing sent.
func (x *exchange) whoEnded(ev attempt.Event) attempt.Event {
	if ev == attempt.NotSent || ev == attempt.Refused {
		return ev
	}
	switch {
	case errors.Is(x.ctx.Err(), context.Canceled):
		return attempt.CallerGone
	case errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		return attempt.TimedOut
	}
	return ev
}

// outgoing builds the request to a target.
func (x *exchange) outgoing(t *catalog.Target) outgoing {
	a := Attempt{Target: t.Name, Remaining: x.deadline.Sub(x.g.now()), LastEvent: x.call.LastEvent}
	a.Customer = x.customerName()
	if x.lastEvent != "" {
		a.LastEvent = x.lastEvent
	}
	if x.call.Prompt != nil {
		a.Model = x.modelAttempt(t)
	}
	return outgoing{service: t.Service, target: t.ID, address: t.Address, slow: func() { x.g.dark.silent(t) }, method: x.r.Method, url: x.r.URL, host: x.r.Host,
		header: x.g.codec.ForwardHeader(x.r.Header, a), body: x.body, reuse: t.ID != x.freshTo && x.mayReuse()}
}

// mayReuse says whether the request may go over a kept connection. One that may run only
// once is lost if its target closes the connection at that very moment, since it may have
// run then; it is not sent again. For prompts the risk is small beside what a new
// connection takes of a target's time each time: 1 ms, and a slot meanwhile.
func (x *exchange) mayReuse() bool {
	return x.route.Repeatable() || (x.call.Prompt != nil && x.g.settings().Policy.StreamConnReuse)
}

// take reads an answer and passes it on as far as it may be.
func (x *exchange) take(at *work) ending {
	bad := func(ev attempt.Event, reason string, cause error) ending {
		return ending{event: ev, cause: &BadAnswerError{Target: at.target.ID, Reason: reason, Cause: cause}}
	}
	a, status := at.answer, at.resp.StatusCode
	if !x.answers(a) {
		metric.MismatchedResponses.Inc()
		return bad(attempt.Mismatched, "answer to request "+strconv.Quote(a.ID), nil)
	}
	if a.NotRun {
		return ending{event: attempt.Refused, retryAfter: min(a.RetryAfter, longestComeBack),
			cause: &BadAnswerError{Target: at.target.ID, Reason: "refused with status " + strconv.Itoa(status)}}
	}
	x.learnWeights(at)
	success := isSuccess(status)
	switch {
	case a.Encoded:
		return bad(attempt.FailedMidResponse, "answer with an encoded body", nil)
	case success && !a.Signed:
		return bad(attempt.FailedMidResponse, "success that the target does not vouch for", nil)
	case success && x.route.Kind == catalog.Streaming:
		return x.stream(at)
	}
	return x.whole(at)
}

// answers says whether an answer belongs to the request; one that refuses it need not say so.
func (x *exchange) answers(a Answer) bool { return a.ID == x.call.ID || a.ID == "" && a.NotRun }

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// learnWeights notes the weights that the target's answer was made with.
func (x *exchange) learnWeights(at *work) {
	p := x.call.Prompt
	if p == nil || at.answer.WeightVersion <= at.target.WeightVersion(p.Model) {
		return
	}
	x.g.send(targetServes{id: at.target.ID, at: catalog.ModelVersion{Model: p.Model, Version: at.answer.WeightVersion}})
}

// largestHeld is the largest answer that is read whole before it is passed on,
// in bytes; of a larger one, a failure midway cuts the caller's connection.
const largestHeld = 1 << 20

// whole passes on an answer that is not a stream, once it is there in full.
func (x *exchange) whole(at *work) ending {
	data, err := io.ReadAll(io.LimitReader(at.resp.Body, largestHeld+1))
	if err != nil {
		return ending{event: attempt.FailedMidResponse, broken: true, cause: &BadAnswerError{Target: at.target.ID, Reason: "answer is not whole", Cause: err}}
	}
	x.observe(at)
	status := at.resp.StatusCode
	spare := &spareAnswer{status: status, header: at.resp.Header, body: data}
	if len(data) > largestHeld {
		return x.large(at, spare)
	}
	if status >= http.StatusInternalServerError && x.route.Repeatable() && !x.begun {
		x.spare = spare
		return ending{event: attempt.FailedMidResponse, cause: &BadAnswerError{Target: at.target.ID, Reason: "failed with status " + strconv.Itoa(status)}}
	}
	if x.begun { // it was to continue a stream
		return ending{event: attempt.FailedMidResponse, cause: &BadAnswerError{Target: at.target.ID, Reason: "no continuation, status " + strconv.Itoa(status)}}
	}
	spare.deliver(x)
	return ending{delivered: true, status: status}
}

// large passes on an answer piece by piece.
func (x *exchange) large(at *work, head *spareAnswer) ending {
	x.writeHeader(head.status, head.header, at.resp.ContentLength)
	if _, err := x.w.Write(head.body); err != nil {
		return ending{event: attempt.CallerGone, cause: err}
	}
	if _, err := io.Copy(x.w, at.resp.Body); err != nil {
		return ending{event: attempt.FailedMidResponse, broken: true, cause: &BadAnswerError{Target: at.target.ID, Reason: "answer is not whole", Cause: err}}
	}
	return ending{delivered: true, status: head.status}
}

// spareAnswer is a target's whole answer, held.
type spareAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (s *spareAnswer) deliver(x *exchange) {
	x.writeHeader(s.status, s.header, int64(len(s.body)))
	_, _ = x.w.Write(s.body) // a caller that is gone needs no answer
}

// writeHeader passes on a target's status and header. length -1 is not known.
func (x *exchange) writeHeader(status int, from http.Header, length int64) {
	x.begun = true
	h := x.w.Header()
	for name, values := range x.g.codec.AnswerHeader(from) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // or net/http would guess one
	}
	h.Del("Content-Length")
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.w.WriteHeader(status)
}

// observe notes how long the target took to its first word.
func (x *exchange) observe(at *work) {
	if at.watch != nil {
		at.watch.Stop()
	}
	at.answered()
	x.g.predictorMu.Lock()
	surprise := x.g.predictor.Observe(at.ticket, x.g.now())
	x.g.predictorMu.Unlock()
	metric.PredictionError.Update(math.Abs(surprise) / 1000)
	if x.firstMS == 0 {
		x.firstMS = x.sinceMS()
		metric.FirstToken.Update(x.firstMS / 1000)
	}
}

// judge counts an attempt for or against its target. What the caller did, or its
// time, is no sign of the target's health; silence until the end of that time is.
func (x *exchange) judge(at *work, end ending) {
	id := at.target.ID
	switch {
	case end.delivered:
		x.g.ejected.RecordResult(id, true)
	case end.event == attempt.Refused:
		x.g.ejected.Eject(id, refusalRest)
	case end.event == attempt.CallerGone:
	default:
		x.g.ejected.RecordResult(id, false)
	}
}
