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

// BadResponseError says why an answer can't be passed on.
type BadResponseError struct {
	Target string
	Reason string
	Cause  error
}

// Error implements error.
func (e *BadResponseError) Error() string {
	msg := "target " + e.Target + ": " + e.Reason
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *BadResponseError) Unwrap() error { return e.Cause }

// Times of an attempt.
const (
	// refusalEjectTime keeps requests away from a target that refused one: its queue is
	// full, or it loads weights.
	refusalEjectTime = 150 * time.Millisecond
	// attemptTimeoutFactor times its latency objective is how long the first word of a
	// repeatable request is waited for, and minAttemptTimeout at least, before it is
	// sent elsewhere.
	attemptTimeoutFactor = 3
	minAttemptTimeout    = time.Second
	// silenceThreshold is how long a target may answer nothing before it is taken to be silent:
	// about a latency objective, in which one that is in use answers some request.
	silenceThreshold = 500 * time.Millisecond
)

// attemptState is an attempt under way.
type attemptState struct {
	target       *catalog.Target
	load         *inflight.Load
	startedAt    time.Time
	silenceTimer *time.Timer // ends the attempt if the target stays silent; nil: never
	retryPaid    atomic.Bool // the attempt after this one is paid for from the retry budget
	httpResponse *http.Response
	response     TargetResponse
	promptWork   promptWork
	ticket       *placement.PendingRequest
	promptRead   bool // the prompt no longer waits at the target
	connObtained atomic.Bool
}

// markPromptRead says that the prompt no longer waits to be read.
func (w *attemptState) markPromptRead() {
	if !w.promptRead {
		w.promptRead = true
		w.load.PrefillTokens.Add(-int64(w.promptWork.PrefillTokens))
	}
}

// tryTarget makes one attempt at a target. All that it holds is let go when it returns:
// closing the connection of an answer that was not read to its end makes the
// target drop the request.
func (x *exchange) tryTarget(t *catalog.Target) attemptResult {
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	at := &attemptState{target: t, load: x.g.upstream.inflight.Get(t.ID), startedAt: x.g.now(), promptWork: x.promptWork}
	leavePlace := x.releaseWarmupSlot(t)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { at.connObtained.Store(true) },
		WroteRequest: func(httptrace.WroteRequestInfo) { leavePlace() },
	})
	defer x.g.zoneMonitor.trackAttempt(t.Zone, at, x.abandonUnreachable(at, cancel))()
	at.load.Requests.Add(1)
	defer at.load.Requests.Add(-1)
	at.load.PrefillTokens.Add(int64(x.promptWork.PrefillTokens))
	defer at.markPromptRead()
	keeps := int64(x.call.memoryTokens())
	at.load.MemoryTokens.Add(keeps)
	defer at.load.MemoryTokens.Add(-keeps)
	at.ticket = x.g.beginTicket(t.ID, at.promptWork.PrefillWork, at.startedAt)
	defer x.g.dropTicket(at.ticket)
	x.triedTargets, x.lastZone, x.notice = append(x.triedTargets, t.ID), t.Zone, Notice{}
	if x.mayAbandon() {
		at.silenceTimer = time.AfterFunc(x.attemptTimeout(), func() { x.abandon(at, cancel) })
		defer at.silenceTimer.Stop()
	}
	x.plan = cachePlan{}
	out := x.buildRequest(t)
	at.load.Responses.RecordRequest(at.startedAt)
	resp, way, err := x.g.upstream.send(ctx, out)
	x.g.cache.endSave(x.plan.pendingSave, saveResultOf(way, err, ctx.Err() != nil))
	leavePlace()
	if err != nil && ctx.Err() != nil {
		at.load.Responses.RecordAbandoned(at.startedAt, x.g.now(), silenceThreshold)
	} else {
		at.load.Responses.RecordActivity(x.g.now())
	}
	if errors.Is(err, syscall.ETIMEDOUT) {
		x.g.zoneMonitor.connectSlow(t)
	}
	end := attemptResult{cause: err, event: attempt.FailedBeforeResponse, connBroken: way.MaybeSent}
	switch {
	case err != nil && !way.MaybeSent:
		end.event = attempt.NotSent
	case err == nil:
		defer resp.Body.Close()
		at.httpResponse, at.response = resp, x.g.codec.ParseResponse(resp.StatusCode, resp.Header)
		x.g.upstream.learnKeepAlive(t.Service, at.response.KeepAliveTimeout)
		if x.matchesResponse(at.response) {
			x.notice = at.response.Notice
			x.g.applyNotice(t, x.notice, registry.Source{Channel: string(fromAnswer), Reporter: x.call.ID, RequestSent: at.startedAt})
		}
		end = x.handleResponse(at)
	}
	if !end.delivered {
		end.event = x.attributeEnd(end.event)
	}
	x.noteNewConnRetry(t, way, end, ctx.Err() == nil)
	end.retryPaid = at.retryPaid.Load()
	x.recordHealth(at, end)
	if end.connBroken && (end.event == attempt.FailedBeforeResponse || end.event == attempt.FailedMidResponse) {
		x.g.crashDetector.connBroken(t, x.asInterrupted())
	}
	return end
}

// saveResultOf says how a request that asks for saves ended.
func saveResultOf(way netx.SendInfo, err error, left bool) saveResult {
	switch {
	case err != nil && !way.MaybeSent:
		return saveNotSent
	case left || errors.Is(err, syscall.ETIMEDOUT):
		return saveAbandoned
	}
	return saveAnswered // or the target closed the connection, and works on it no more
}

// noteNewConnRetry lets a request go to the same target by a new connection, if it failed on a kept
// one that had ended, or on which the answer to another request lay: that says nothing of
// the target.
func (x *exchange) noteNewConnRetry(t *catalog.Target, way netx.SendInfo, end attemptResult, inTime bool) {
	x.newConnTarget = ""
	if way.Reused && inTime && (end.event == attempt.FailedBeforeResponse || end.event == attempt.Mismatched) {
		x.newConnTarget = t.ID
	}
}

// isExcluded says whether a target is not to be tried any more.
func (x *exchange) isExcluded(t *catalog.Target) bool {
	return slices.Contains(x.triedTargets, t.ID) && t.ID != x.newConnTarget
}

func (x *exchange) asInterrupted() interruptedRequest {
	return interruptedRequest{id: x.call.ID, key: x.quarantineKey(), customer: x.customerName(), route: x.route.Name}
}

// mayAbandon says whether the request may go on elsewhere if its target stays silent. A
// last attempt is left to come for as long as the caller waits: a target that has more
// to read than it can is silent for seconds, and its answer is worth more than none.
func (x *exchange) mayAbandon() bool {
	return x.route.Repeatable() && x.possibleRuns+1 < x.route.MaxAttempts
}

// abandon ends an attempt at a silent target, if the attempt that would follow can be paid
// for.
func (x *exchange) abandon(at *attemptState, cancel context.CancelFunc) {
	if !x.g.retryBudgets.spendRetry(x.service) {
		return
	}
	at.retryPaid.Store(true)
	cancel()
}

// abandonUnreachable returns what ends an attempt whose target's zone turns out to be silent: one that
// was not sent goes elsewhere, and so does one that may run again.
func (x *exchange) abandonUnreachable(at *attemptState, cancel context.CancelFunc) func() {
	mayLeave := x.mayAbandon()
	return func() {
		switch {
		case !at.connObtained.Load():
			cancel()
		case mayLeave:
			x.abandon(at, cancel)
		}
	}
}

// attemptTimeout is the longest wait for the first word of a repeatable request.
func (x *exchange) attemptTimeout() time.Duration {
	return max(attemptTimeoutFactor*x.route.LatencyObjective, minAttemptTimeout)
}

// attributeEnd lets the end of the request's own time, or of its caller, go before
// what the connection reports of it. Nothing sent stays nothing sent.
func (x *exchange) attributeEnd(ev attempt.Event) attempt.Event {
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

// buildRequest builds the request to a target.
func (x *exchange) buildRequest(t *catalog.Target) upstreamRequest {
	a := Attempt{Target: t.Name, Remaining: x.deadline.Sub(x.g.now()), LastEventID: x.call.LastEventID}
	a.Customer = x.customerName()
	if x.lastEventID != "" {
		a.LastEventID = x.lastEventID
	}
	if x.call.Prompt != nil {
		a.Model = x.modelAttempt(t)
	}
	return upstreamRequest{service: t.Service, targetID: t.ID, address: t.Address, onSlow: func() { x.g.zoneMonitor.connectSlow(t) }, method: x.r.Method, url: x.r.URL, host: x.r.Host,
		header: x.g.codec.ForwardHeader(x.r.Header, a), body: x.body, reuseConn: t.ID != x.newConnTarget && x.mayReuseConn()}
}

// mayReuseConn says whether the request may go over a kept connection. One that may run only
// once is lost if its target closes the connection at that very moment, since it may have
// run then; it is not sent again. For prompts the risk is small beside what a new
// connection takes of a target's time each time: 1 ms, and a slot meanwhile.
func (x *exchange) mayReuseConn() bool {
	return x.route.Repeatable() || (x.call.Prompt != nil && x.g.settings().Policy.StreamConnReuse)
}

// handleResponse reads an answer and passes it on as far as it may be.
func (x *exchange) handleResponse(at *attemptState) attemptResult {
	bad := func(ev attempt.Event, reason string, cause error) attemptResult {
		return attemptResult{event: ev, cause: &BadResponseError{Target: at.target.ID, Reason: reason, Cause: cause}}
	}
	a, status := at.response, at.httpResponse.StatusCode
	if !x.matchesResponse(a) {
		metric.MismatchedResponses.Inc()
		return bad(attempt.Mismatched, "answer to request "+strconv.Quote(a.ID), nil)
	}
	if a.NotExecuted {
		return attemptResult{event: attempt.Refused, retryAfter: min(a.RetryAfter, maxRetryAfter),
			cause: &BadResponseError{Target: at.target.ID, Reason: "refused with status " + strconv.Itoa(status)}}
	}
	x.learnWeightVersion(at)
	success := isSuccess(status)
	switch {
	case a.Encoded:
		return bad(attempt.FailedMidResponse, "answer with an encoded body", nil)
	case success && !a.Signed:
		return bad(attempt.FailedMidResponse, "success that the target does not vouch for", nil)
	case success && x.route.Kind == catalog.Streaming:
		return x.relayStream(at)
	}
	return x.relayBuffered(at)
}

// matchesResponse says whether an answer belongs to the request; one that refuses it need not say so.
func (x *exchange) matchesResponse(a TargetResponse) bool {
	return a.ID == x.call.ID || a.ID == "" && a.NotExecuted
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// learnWeightVersion notes the weights that the target's answer was made with.
func (x *exchange) learnWeightVersion(at *attemptState) {
	p := x.call.Prompt
	if p == nil || at.response.WeightVersion <= at.target.WeightVersion(p.Model) {
		return
	}
	x.g.sendEvent(targetWeightsObserved{id: at.target.ID, serves: catalog.ModelVersion{Model: p.Model, Version: at.response.WeightVersion}})
}

// maxBufferedResponse is the largest answer that is read whole before it is passed on,
// in bytes; of a larger one, a failure midway cuts the caller's connection.
const maxBufferedResponse = 1 << 20

// relayBuffered passes on an answer that is not a stream, once it is there in full.
func (x *exchange) relayBuffered(at *attemptState) attemptResult {
	data, err := io.ReadAll(io.LimitReader(at.httpResponse.Body, maxBufferedResponse+1))
	if err != nil {
		return attemptResult{event: attempt.FailedMidResponse, connBroken: true, cause: &BadResponseError{Target: at.target.ID, Reason: "answer is not whole", Cause: err}}
	}
	x.recordFirstByte(at)
	status := at.httpResponse.StatusCode
	spare := &bufferedResponse{status: status, header: at.httpResponse.Header, body: data}
	if len(data) > maxBufferedResponse {
		return x.relayLarge(at, spare)
	}
	if status >= http.StatusInternalServerError && x.route.Repeatable() && !x.headerSent {
		x.fallback = spare
		return attemptResult{event: attempt.FailedMidResponse, cause: &BadResponseError{Target: at.target.ID, Reason: "failed with status " + strconv.Itoa(status)}}
	}
	if x.headerSent { // it was to continue a stream
		return attemptResult{event: attempt.FailedMidResponse, cause: &BadResponseError{Target: at.target.ID, Reason: "no continuation, status " + strconv.Itoa(status)}}
	}
	spare.deliver(x)
	return attemptResult{delivered: true, status: status}
}

// relayLarge passes on an answer piece by piece.
func (x *exchange) relayLarge(at *attemptState, head *bufferedResponse) attemptResult {
	x.writeHeader(head.status, head.header, at.httpResponse.ContentLength)
	if _, err := x.w.Write(head.body); err != nil {
		return attemptResult{event: attempt.CallerGone, cause: err}
	}
	if _, err := io.Copy(x.w, at.httpResponse.Body); err != nil {
		return attemptResult{event: attempt.FailedMidResponse, connBroken: true, cause: &BadResponseError{Target: at.target.ID, Reason: "answer is not whole", Cause: err}}
	}
	return attemptResult{delivered: true, status: head.status}
}

// bufferedResponse is a target's whole answer, held.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

func (s *bufferedResponse) deliver(x *exchange) {
	x.writeHeader(s.status, s.header, int64(len(s.body)))
	_, _ = x.w.Write(s.body) // a caller that is gone needs no answer
}

// writeHeader passes on a target's status and header. length -1 is not known.
func (x *exchange) writeHeader(status int, from http.Header, length int64) {
	x.headerSent = true
	h := x.w.Header()
	for name, values := range x.g.codec.CallerResponseHeader(from) {
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

// recordFirstByte notes how long the target took to its first word.
func (x *exchange) recordFirstByte(at *attemptState) {
	if at.silenceTimer != nil {
		at.silenceTimer.Stop()
	}
	at.markPromptRead()
	x.g.predictorMu.Lock()
	surprise := x.g.predictor.Observe(at.ticket, x.g.now())
	x.g.predictorMu.Unlock()
	metric.PredictionError.Update(math.Abs(surprise) / 1000)
	if x.firstByteMS == 0 {
		x.firstByteMS = x.elapsedMS()
		metric.FirstToken.Update(x.firstByteMS / 1000)
	}
}

// recordHealth counts an attempt for or against its target. What the caller did, or its
// time, is no sign of the target's health; silence until the end of that time is.
func (x *exchange) recordHealth(at *attemptState, end attemptResult) {
	id := at.target.ID
	switch {
	case end.delivered:
		x.g.breaker.RecordResult(id, true)
	case end.event == attempt.Refused:
		x.g.breaker.Eject(id, refusalEjectTime)
	case end.event == attempt.CallerGone:
	default:
		x.g.breaker.RecordResult(id, false)
	}
}
