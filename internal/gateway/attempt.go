package gateway

import (
	"context"
	"errors"
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

// BadResponseError reports why a target's response can't be forwarded.
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

const (
	// refusalEjectTime is how long a target gets no requests after it refused one: its
	// queue is full, or it is loading weights.
	refusalEjectTime = 150 * time.Millisecond
	// A repeatable request is sent elsewhere if its first byte does not arrive within
	// attemptTimeoutFactor times the route's latency objective, or minAttemptTimeout if
	// that is longer.
	attemptTimeoutFactor = 3
	minAttemptTimeout    = time.Second
	// silenceThreshold is the time without any response after which a target counts as
	// silent. It is about one latency objective: in that time a target in use responds to
	// some request.
	silenceThreshold = 500 * time.Millisecond
)

// attemptState holds the state of an attempt in progress.
type attemptState struct {
	target       *catalog.Target
	cancel       context.CancelFunc // ends the attempt
	load         *inflight.Load
	endWork      func() // ends the counting of the request in load; may be called more than once
	startedAt    time.Time
	silenceTimer *time.Timer // abandons the attempt if the target stays silent; nil if it may not be
	startTimer   *time.Timer // abandons the attempt if it does not start in time; nil if there is no bound
	notStarted   atomic.Bool // it was abandoned by startTimer
	firstByteAt  time.Time
	retryPaid    atomic.Bool // the next attempt has been charged to the retry budget
	httpResponse *http.Response
	response     TargetResponse
	promptWork   promptWork
	pending      *placement.PendingRequest
	promptRead   bool        // the target has processed the prompt, or the attempt is over
	connObtained atomic.Bool // a connection to the target is established
}

// markPromptRead takes the prompt's tokens off the target's queued prefill work, once.
func (a *attemptState) markPromptRead() {
	if !a.promptRead {
		a.promptRead = true
		a.load.PrefillTokens.Add(-int64(a.promptWork.PrefillTokens))
	}
}

// tryTarget makes one attempt at a target and releases all its resources on return.
// If the response was not read to its end, its connection is closed, which makes the
// target drop the request.
func (x *exchange) tryTarget(t *catalog.Target) attemptResult {
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	at := &attemptState{cancel: cancel, target: t, load: x.g.upstream.inflight.Get(t.ID), startedAt: x.g.now(), promptWork: x.promptWork}
	releaseSlot := x.releaseWarmupSlot(t)
	defer releaseSlot()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { at.connObtained.Store(true) },
		WroteRequest: func(httptrace.WroteRequestInfo) { releaseSlot() },
	})
	if !x.relayed {
		defer x.g.zoneMonitor.trackAttempt(t.Zone, at, x.abandonUnreachable(at, cancel))()
		defer x.g.targetLinks.trackConnect(at, cancel)()
		if x.zoneLostSinceChoice(t) {
			cancel()
		}
	}
	at.endWork = x.countWork(t, at.load)
	defer at.endWork()
	at.load.PrefillTokens.Add(int64(x.promptWork.PrefillTokens))
	defer at.markPromptRead()
	at.pending = x.g.addPending(t.ID, at.promptWork.PrefillWork, at.startedAt)
	defer x.g.removePending(at.pending)
	x.triedTargets, x.software, x.lastZone, x.notice = append(x.triedTargets, t.ID), t.Software, t.Zone, Notice{}
	if x.mayAbandon() {
		at.silenceTimer = time.AfterFunc(x.attemptTimeout(), func() { x.abandon(at, cancel) })
		defer at.silenceTimer.Stop()
	}
	defer x.boundStart(at, cancel)()
	x.plan = cachePlan{}
	defer func() { x.endSave(saveAbandoned) }() // if it has not ended, after a panic
	out := x.buildRequest(t)
	at.load.Responses.RecordRequest(at.startedAt)
	resp, way, err := x.g.upstream.send(ctx, out)
	x.endSave(saveResultOf(way, err, ctx.Err() != nil))
	releaseSlot()
	if err != nil && ctx.Err() != nil {
		at.load.Responses.RecordAbandoned(at.startedAt, x.g.now(), silenceThreshold)
	} else {
		at.load.Responses.RecordActivity(x.g.now())
	}
	if errors.Is(err, syscall.ETIMEDOUT) && !x.relayed {
		x.g.zoneMonitor.connectSlow(t)
	}
	result := attemptResult{cause: err, event: attempt.FailedBeforeResponse, connBroken: way.MaybeSent}
	switch {
	case err != nil && !way.MaybeSent:
		result.event = attempt.NotSent
	case netx.IsInvalidResponse(err):
		result = attemptResult{event: attempt.FailedMidResponse, cause: &BadResponseError{Target: t.ID, Reason: "response can't be forwarded", Cause: err}}
	case err == nil:
		defer resp.Body.Close()
		at.httpResponse, at.response = resp, x.g.codec.ParseResponse(resp.StatusCode, resp.Header)
		x.conn.AddHeader(resp.Header)
		x.g.upstream.learnKeepAlive(t.Service, at.response.KeepAliveTimeout)
		if x.matchesResponse(at.response) {
			x.notice = at.response.Notice
			x.g.applyNotice(t, x.notice, registry.Source{Channel: string(fromAnswer), Reporter: x.call.ID, RequestSent: at.startedAt})
			if !x.notice.Limit.Named && !at.response.Misdirected {
				x.g.limits.observe(t, RateLimit{}, at.startedAt) // it may have named one before
			}
		}
		result = x.handleResponse(at)
	}
	if !result.delivered {
		result.event = x.attributeEnd(result.event)
	}
	result = x.withNotStarted(at, result)
	x.noteNewConnRetry(t, way, result, ctx.Err() == nil)
	result.retryPaid = at.retryPaid.Load()
	x.recordHealth(at, result)
	if result.connBroken && !x.endedByBound(at) && (result.event == attempt.FailedBeforeResponse || result.event == attempt.FailedMidResponse) {
		x.g.crashDetector.connBroken(t, x.asInterrupted())
	}
	return result
}

// endSave records how the attempt that carried a save ended, once.
func (x *exchange) endSave(result saveResult) {
	x.g.cache.endSave(x.plan.pendingSave, result)
	x.plan.pendingSave = nil
}

// saveResultOf returns the result of the saves that a request asked its target for.
func saveResultOf(way netx.SendInfo, err error, abandoned bool) saveResult {
	switch {
	case err != nil && !way.MaybeSent:
		return saveNotSent
	case abandoned || errors.Is(err, syscall.ETIMEDOUT):
		return saveAbandoned
	}
	return saveAnswered // also if the target closed the connection: it no longer works on the request
}

// noteNewConnRetry allows a retry at the same target over a new connection if the attempt
// failed on a reused connection that had been closed, or that held the response to another
// request: such a failure says nothing about the target. active is false if the attempt's
// context has ended, which then is the cause.
func (x *exchange) noteNewConnRetry(t *catalog.Target, way netx.SendInfo, result attemptResult, active bool) {
	x.newConnTarget = ""
	if way.Reused && active && (result.event == attempt.FailedBeforeResponse || result.event == attempt.Mismatched) {
		x.newConnTarget = t.ID
	}
}

// isExcluded reports whether the request may not be sent to a target again.
func (x *exchange) isExcluded(t *catalog.Target) bool {
	return slices.Contains(x.triedTargets[x.triedBefore:], t.ID) && t.ID != x.newConnTarget
}

// asInterrupted returns the request in the form that the crash detector records.
func (x *exchange) asInterrupted() interruptedRequest {
	return interruptedRequest{id: x.call.ID, suspects: x.suspects()}
}

// mayAbandon reports whether the request may be sent elsewhere if its target stays silent.
// The last attempt is never abandoned before the deadline: a target with a long prefill
// queue is silent for seconds, and a late response is better than none.
func (x *exchange) mayAbandon() bool {
	return x.route.Repeatable() && x.possibleRuns+1 < x.route.MaxAttempts
}

// abandon ends an attempt at a silent target if the retry budget allows another attempt.
func (x *exchange) abandon(at *attemptState, cancel context.CancelFunc) {
	if !x.g.retryBudgets.spendRetry(x.service) {
		return
	}
	at.retryPaid.Store(true)
	cancel()
}

// attemptTimeout returns the longest wait for the first byte of a repeatable request.
func (x *exchange) attemptTimeout() time.Duration {
	return max(attemptTimeoutFactor*x.route.LatencyObjective, minAttemptTimeout)
}

// attributeEnd returns CallerGone or TimedOut if the request's context has ended, since
// the connection's error then only follows from that. NotSent and Refused stay as they are.
func (x *exchange) attributeEnd(event attempt.Event) attempt.Event {
	if event == attempt.NotSent || event == attempt.Refused {
		return event
	}
	switch {
	case errors.Is(x.ctx.Err(), context.Canceled):
		return attempt.CallerGone
	case errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		return attempt.TimedOut
	}
	return event
}

// buildRequest builds the request to a target.
func (x *exchange) buildRequest(t *catalog.Target) upstreamRequest {
	a := Attempt{Target: t.Name, Remaining: x.remainingAtTarget(), LastEventID: x.call.LastEventID}
	a.Customer = x.customerName()
	if x.lastEventID != "" {
		a.LastEventID = x.lastEventID
	}
	if x.call.Prompt != nil {
		a.Model = x.modelAttempt(t)
	}
	return upstreamRequest{service: t.Service, targetID: t.ID, dial: x.dialTarget(t), method: x.r.Method, url: x.r.URL, host: x.r.Host,
		header: x.g.codec.ForwardHeader(x.r.Header, a), body: x.body, reuseConn: t.ID != x.newConnTarget && x.mayReuseConn(), relayed: x.relayed}
}

// dialTarget returns the parameters of a connect to a target.
func (x *exchange) dialTarget(t *catalog.Target) dialTarget {
	return dialTarget{address: t.Address, zone: t.Zone,
		onSlow: func() {
			x.g.zoneMonitor.connectSlow(t)
			x.g.targetLinks.connectFailed(t) // until it succeeds after all
		},
		onEnd:   func(err error) { x.g.targetLinks.connectEnded(t, err) },
		onRelay: func(peer string) { x.relay.Store(&peer) },
	}
}

// mayReuseConn reports whether the request may use a keep-alive connection. If the target
// closes the connection at that moment, a request that may run only once fails: it may
// have run, so it is not retried. For prompts this risk is small compared with the cost of
// a new connection, which takes 1 ms of the target's time, and a slot meanwhile.
func (x *exchange) mayReuseConn() bool {
	return x.route.Repeatable() || (x.call.Prompt != nil && x.g.settings().Policy.StreamConnReuse)
}

// handleResponse checks a target's response and forwards it to the caller if it is valid.
func (x *exchange) handleResponse(at *attemptState) attemptResult {
	failed := func(event attempt.Event, reason string, cause error) attemptResult {
		return attemptResult{event: event, cause: &BadResponseError{Target: at.target.ID, Reason: reason, Cause: cause}}
	}
	resp, status := at.response, at.httpResponse.StatusCode
	if !x.matchesResponse(resp) {
		metric.MismatchedResponses.Inc()
		return failed(attempt.Mismatched, "response belongs to request "+strconv.Quote(resp.ID), nil)
	}
	if resp.NotExecuted {
		if limit := resp.Notice.Brittle; limit > 0 {
			x.g.brittle.turnedAway(at.target, limit)
		}
		return attemptResult{event: attempt.Refused, retryAfter: min(resp.RetryAfter, maxRetryAfter),
			cause: &BadResponseError{Target: at.target.ID, Reason: "refused with status " + strconv.Itoa(status)}}
	}
	x.learnWeightVersion(at)
	success := isSuccess(status)
	switch {
	case resp.Encoded:
		return failed(attempt.FailedMidResponse, "response body has a content encoding", nil)
	case success && !resp.Signed:
		return failed(attempt.FailedMidResponse, "successful response is not signed", nil)
	case success && x.route.Kind == catalog.Streaming:
		return x.relayStream(at)
	}
	return x.relayBuffered(at)
}

// matchesResponse reports whether a response belongs to the request. A refusal may omit
// the request's id.
func (x *exchange) matchesResponse(resp TargetResponse) bool {
	return resp.ID == x.call.ID || resp.ID == "" && resp.NotExecuted
}

// incompleteResponse returns the result of an attempt whose response began and can't be read to its end.
func incompleteResponse(at *attemptState, reason string, cause error) attemptResult {
	return attemptResult{event: attempt.FailedMidResponse, connBroken: !netx.IsInvalidResponse(cause),
		cause: &BadResponseError{Target: at.target.ID, Reason: reason, Cause: cause}}
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// learnWeightVersion records the weight version that the response was generated with, if
// it is newer than the one known of the target.
func (x *exchange) learnWeightVersion(at *attemptState) {
	p := x.call.Prompt
	if p == nil || at.response.WeightVersion <= at.target.WeightVersion(p.Model) {
		return
	}
	x.g.sendEvent(targetWeightsObserved{id: at.target.ID, serves: catalog.ModelVersion{Model: p.Model, Version: at.response.WeightVersion}})
}

// writeHeader forwards a target's status and header. length is -1 if it is not known.
func (x *exchange) writeHeader(status int, from http.Header, length int64) {
	x.headerSent = true
	h := x.w.Header()
	for name, values := range x.g.codec.CallerResponseHeader(from) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	h.Del("Content-Length")
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.w.WriteHeader(status)
}

// recordFirstByte records the target's time to first byte and the error of its prediction.
func (x *exchange) recordFirstByte(at *attemptState) {
	if at.silenceTimer != nil {
		at.silenceTimer.Stop()
	}
	if at.startTimer != nil {
		at.startTimer.Stop()
	}
	at.firstByteAt = x.g.now()
	at.markPromptRead()
	x.g.predictorMu.Lock()
	predictionErrorMS := x.g.predictor.Observe(at.pending, x.g.now())
	x.g.predictorMu.Unlock()
	metric.PredictionError.Update(math.Abs(predictionErrorMS) / 1000)
	if x.firstByteMS == 0 {
		x.firstByteMS = x.elapsedMS()
		metric.FirstToken.Update(x.firstByteMS / 1000)
	}
}
