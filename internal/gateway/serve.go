package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/shedhoist/shedhoist/internal/body"
	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/connlimit"
	"github.com/shedhoist/shedhoist/internal/drain"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/problem"
)

// Values of Retry-After, by what the caller has to wait for.
const (
	retryAfterShort   = 250 * time.Millisecond // a queue to shrink, a load order to complete
	retryAfterStartup = 500 * time.Millisecond // a new process to learn the configuration
)

// serveCaller handles one request of a caller.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	x := &exchange{g: g, w: w, r: r, arrived: g.now(), view: g.view.Load(), conn: connlimit.FromRequest(r)}
	x.limitBodyTime(bodyTimeout)
	if x.view.Draining || x.view.Isolated || len(r.TransferEncoding) > 0 {
		// While this instance is draining or isolated, callers should reconnect elsewhere.
		// The connection is also closed after a chunked body: a message that states a
		// Content-Length too may smuggle another request (RFC 9112, section 6.1).
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
			x.endAfterPanic()
		}
		if x.headerSent && !r.ProtoAtLeast(1, 1) {
			drain.ResetOnClose(r) // without chunks the end of the connection is that of the response
		}
		panic(http.ErrAbortHandler) // closes the connection: a truncated response must not look complete
	}()
	if p := x.admit(); p != nil {
		x.refuse(p)
	} else {
		x.run()
	}
	limitLastWrite(w, g.now(), x.route)
}

// endAfterPanic ends a request whose handler has panicked. What its attempt holds has been released by then.
func (x *exchange) endAfterPanic() {
	x.possibleRuns = max(x.possibleRuns, len(x.triedTargets)) // the last attempt has no result
	x.endTrial()
	x.finish(0, outcomePanic, "")
}

// admit parses and authenticates the request, finds its route and reads its body. It
// returns the problem for which the request is refused, or nil.
func (x *exchange) admit() *problem.Problem {
	var err error
	x.call, err = x.g.codec.ParseRequest(x.r.Header)
	x.holdParts()
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
	return x.checkStop() // a stop may have begun while the body was read
}

// checkStop refuses a request whose deadline lies after the end of an ongoing shutdown.
func (x *exchange) checkStop() *problem.Problem {
	if !x.g.wouldAbort(x.deadline) {
		return nil
	}
	x.w.Header().Set("Connection", "close") // not set on arrival if the stop began later
	return retryLater(problem.Draining, "this instance stops before the request may end", retryAfterShort)
}

// headerSize returns the least size in bytes that a request's line and header had as they were sent, line ends included:
// the space after a colon may be left out, and the carriage return before a line feed too.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(" ")*2 + len(r.Proto) + len("\n") + len("Host:\n") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(":") + len(v) + len("\n")
		}
	}
	return n
}

// retryLater returns a problem that asks the caller to retry after a time.
func retryLater(k problem.Kind, detail string, after time.Duration) *problem.Problem {
	p := problem.New(k, detail)
	p.RetryAfter = after
	return p
}

// bodyTimeout is the longest time that a caller may take to send its body. The request's
// deadline may shorten it.
const bodyTimeout = 10 * time.Second

// readBody reads the whole body within the limits on size, time, and the memory for all bodies.
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
	x.limitBodyTime(min(bodyTimeout, x.deadline.Sub(x.g.now())))
	var err error
	if x.body, err = body.Read(http.MaxBytesReader(x.w, x.r.Body, limit), x.r.ContentLength, x.conn); err != nil {
		return x.bodyProblem(err)
	}
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{}) // fails only if the connection is closed
	if !x.conn.RequestWhole() {
		return x.noRoom()
	}
	return nil
}

// limitBodyTime bounds the time until the body has been read, also by net/http, which reads the rest of a body that was
// refused before it sends the response.
func (x *exchange) limitBodyTime(d time.Duration) {
	if x.r.ContentLength == 0 {
		return
	}
	if err := http.NewResponseController(x.w).SetReadDeadline(x.g.now().Add(d)); err != nil {
		x.g.log.WithError(err).WithField("request", x.call.ID).Warn("cannot set the read deadline for the body")
	}
}

// defaultMaxBodyBytes applies where the configuration sets no limit.
const defaultMaxBodyBytes = 8 << 20

// refuse ends the request with a problem response of the gateway itself.
func (x *exchange) refuse(p *problem.Problem) {
	x.endTrial()
	p.RequestID = x.call.ID
	// A status that implies "not executed" is allowed only if that is known.
	if p.Execution != problem.NotRun && impliesNotExecuted(p.Status()) {
		p.Kind = problem.TargetFailed
	}
	x.g.codec.ProblemHeader(x.w.Header(), x.call.ID, p.RetryAfter)
	x.finish(p.Status(), string(p.Kind), p.Detail)
	p.WriteBody(x.w)
}

// impliesNotExecuted reports whether a status tells the caller that its request has not
// been and will not be executed.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
