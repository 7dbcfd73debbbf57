package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/shedhoist/shedhoist/internal/body"
	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/problem"
)

// Advice on when to come back, by what has to change meanwhile.
const (
	retryAfterShort   = 250 * time.Millisecond // a queue to shrink, an order to be carried out
	retryAfterStartup = 500 * time.Millisecond // a new process to learn the configuration
)

// serveCaller is the whole of one request.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	x := &exchange{g: g, w: w, r: r, arrived: g.now(), view: g.view.Load()}
	if x.view.Draining || x.view.Isolated || len(r.TransferEncoding) > 0 {
		// While stopping, or cut off, callers shall connect anew elsewhere. After a chunked body
		// the connection is not read further either: a message that also states a
		// length may hide another request behind its end (RFC 9112, section 6.1).
		w.Header().Set("Connection", "close")
	}
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
			metric.Panics.Inc()
			g.log.WithField("request", x.call.ID).WithField("panic", v).Error("panic in a request")
		}
		panic(http.ErrAbortHandler) // cut, so that no half answer looks whole
	}()
	if p := x.admit(); p != nil {
		x.refuse(p)
		return
	}
	x.run()
}

// admit finds out what the request is and whether it may pass.
func (x *exchange) admit() *problem.Problem {
	var err error
	x.call, err = x.g.codec.ParseRequest(x.r.Header)
	x.awaitStartup()
	if x.view.Config == nil {
		return retryLater(problem.Draining, "this instance has no configuration yet", retryAfterStartup)
	}
	if !x.view.TargetsListed {
		return retryLater(problem.Draining, "this instance has no list of targets yet", retryAfterStartup)
	}
	if x.view.EvacuationsUnknown {
		return retryLater(problem.Draining, "this instance has no list of evacuated zones yet", retryAfterStartup)
	}
	if x.view.Isolated {
		return retryLater(problem.CutOff, "this instance hears neither the platform nor its peers: it can't know whether its configuration holds", retryAfterShort)
	}
	cfg := x.view.Config
	if l := cfg.Limits.HeaderBytes; l > 0 && headerSize(x.r) > l {
		return problem.New(problem.HeaderTooLarge, "the header is larger than allowed")
	}
	if x.route = cfg.Route(x.r.Host, x.r.URL.EscapedPath()); x.route == nil {
		return problem.New(problem.NotFound, "no route takes this host and path")
	}
	x.deadline = x.arrived.Add(x.timeout())
	if p := x.checkStop(); p != nil {
		return p
	}
	if cfg.RequiresKey(x.route) {
		if x.customer = cfg.Customer(x.call.APIKey); x.customer == nil {
			return problem.New(problem.Unauthorized, "the key is not known")
		}
	}
	if err != nil {
		return problem.New(problem.BadRequest, err.Error())
	}
	if p := x.readBody(cfg.Limits); p != nil {
		return p
	}
	return x.checkStop() // time has passed
}

// checkStop refuses a request that a stop could cut.
func (x *exchange) checkStop() *problem.Problem {
	if !x.g.wouldAbort(x.deadline) {
		return nil
	}
	x.w.Header().Set("Connection", "close") // the request may have begun to come before the stop
	return retryLater(problem.Draining, "this instance stops before the request may end", retryAfterShort)
}

// Bounds of the wait of a request that meets a new process.
const (
	// startupWait is long enough for a start in which the object store answers: 20 ms for
	// one process, about a second for hundreds at a time.
	startupWait = time.Second
	// startupWaitShare is the part of the caller's patience that the wait may take: what is
	// left is enough for an answer, or for another try elsewhere.
	startupWaitShare = 1.0 / 3
)

// awaitStartup lets a request that comes in a process's first moments wait until the
// process knows the configuration and the targets.
func (x *exchange) awaitStartup() {
	if x.view.initialized() {
		return
	}
	limit := startupWait
	if x.call.Timeout > 0 {
		limit = min(limit, time.Duration(startupWaitShare*float64(x.call.Timeout)))
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-x.g.initialized:
	case <-timer.C:
	case <-x.r.Context().Done():
	}
	x.view = x.g.view.Load()
}

// headerSize is the size of a request's header in bytes, line ends included.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(" ")*2 + len(r.Proto) + len("\r\n") + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(": ") + len(v) + len("\r\n")
		}
	}
	return n
}

func retryLater(k problem.Kind, detail string, after time.Duration) *problem.Problem {
	p := problem.New(k, detail)
	p.RetryAfter = after
	return p
}

// bodyTimeout is the longest time that a caller may take to send its body, within the request's
// deadline.
const bodyTimeout = 10 * time.Second

// readBody reads the whole body within its limits.
func (x *exchange) readBody(l catalog.Limits) *problem.Problem {
	limit := l.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if x.r.ContentLength > limit {
		return problem.New(problem.TooLarge, "the body is larger than allowed")
	}
	if x.r.ContentLength == 0 {
		return nil
	}
	rc := http.NewResponseController(x.w)
	until := x.g.now().Add(bodyTimeout)
	if x.deadline.Before(until) {
		until = x.deadline
	}
	if err := rc.SetReadDeadline(until); err != nil {
		x.g.log.WithError(err).WithField("request", x.call.ID).Warn("no bound on the time for the body")
	}
	var err error
	if x.body, err = body.Read(http.MaxBytesReader(x.w, x.r.Body, limit), x.r.ContentLength); err != nil {
		return body.Problem(err)
	}
	_ = rc.SetReadDeadline(time.Time{}) // a connection on which this fails is gone
	return nil
}

// defaultMaxBodyBytes bounds a body where the configuration does not, in bytes.
const defaultMaxBodyBytes = 8 << 20

// refuse gives the final answer of our own, at once.
func (x *exchange) refuse(p *problem.Problem) {
	x.endTrial()
	p.RequestID = x.call.ID
	// A status that promises "not run" may be given only if that is known.
	if p.Execution != problem.NotRun && impliesNotExecuted(p.Status()) {
		p.Kind = problem.TargetFailed
	}
	x.g.codec.ProblemHeader(x.w.Header(), x.call.ID, p.RetryAfter)
	x.finish(p.Status(), string(p.Kind), p.Detail)
	p.WriteBody(x.w)
}

// impliesNotExecuted says which statuses tell a caller that its request has not run
// and never will.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
