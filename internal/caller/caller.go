// Package caller is the edge towards callers: OpenAI-style model endpoints and
// plain services over HTTP. It authenticates, decodes, admits, and hands on to
// package dispatch; every failure is a problem document with its execution.
package caller

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/google/uuid"

	"github.com/shedhoist/shedhoist/internal/dispatch"
	"github.com/shedhoist/shedhoist/internal/drain"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/problem"
	"github.com/shedhoist/shedhoist/internal/settings"
	"github.com/shedhoist/shedhoist/internal/target"
	"github.com/shedhoist/shedhoist/internal/view"
)

// Admission lets a customer's request in, or refuses it with a *problem.Problem.
type Admission interface {
	// Admit returns what must be called once when the request ends, with the
	// number of tokens it generated.
	Admit(c *view.Customer, promptTokens, instances int) (release func(generated int), err error)
}

// Edge serves callers.
type Edge struct {
	View     *view.Holder
	Dispatch *dispatch.Dispatcher
	Admit    Admission
	Limits   settings.Limits
	Log      log.Interface
	Now      func() time.Time

	inHand atomic.Int64
	stop   atomic.Pointer[drain.Schedule] // nil: the process does not stop
}

// InHand is the number of requests being served.
func (e *Edge) InHand() int64 { return e.inHand.Load() }

// Handler serves the callers' endpoints.
func (e *Edge) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/completions", e.server(e.model, e.decodeModel(false)))
	mux.Handle("POST /v1/chat/completions", e.server(e.model, e.decodeModel(true)))
	mux.Handle("GET /v1/models", e.server(e.models, e.decodeBare))
	mux.Handle("/services/{name}/{path...}", e.server(e.service, e.decodeService))
	mux.HandleFunc("/", e.unknown)
	return e.guard(mux)
}

func (e *Edge) unknown(w http.ResponseWriter, r *http.Request) {
	p := problem.New(problem.NotFound, "no such endpoint: "+r.Method+" "+r.URL.Path)
	p.RequestID = w.Header().Get(target.HeaderRequestID)
	p.Write(w)
}

// server joins an endpoint to HTTP. Every endpoint sits behind authentication.
func (e *Edge) server(ep endpoint.Endpoint, dec kithttp.DecodeRequestFunc) http.Handler {
	return kithttp.NewServer(e.authenticate(ep), dec, encode, kithttp.ServerErrorEncoder(encodeError),
		kithttp.ServerErrorHandler(quiet{}), kithttp.ServerBefore(e.before))
}

// quiet: failures are logged where they are decided, once.
type quiet struct{}

// Handle implements go-kit's transport.ErrorHandler.
func (quiet) Handle(context.Context, error) {}

// call is what every request carries through the endpoints.
type call struct {
	id       string
	key      string
	arrived  time.Time
	view     *view.View
	customer *view.Customer
	bodyRead bool
}

type callKey struct{}

func callOf(ctx context.Context) *call { return ctx.Value(callKey{}).(*call) }

// before notes the request's identity, key and the view it is served under.
func (e *Edge) before(ctx context.Context, r *http.Request) context.Context {
	c := &call{id: r.Header.Get(target.HeaderRequestID), arrived: e.Now(), view: e.View.Load()}
	c.key, _ = strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return context.WithValue(ctx, callKey{}, c)
}

// authenticate finds the customer, and only then decodes the body further.
func (e *Edge) authenticate(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := callOf(ctx)
		if err := c.authenticate(); err != nil {
			return nil, err
		}
		return next(ctx, request)
	}
}

func (c *call) authenticate() error {
	if c.customer != nil {
		return nil
	}
	if c.view.Config == nil {
		p := problem.New(problem.Draining, "this instance has no configuration yet")
		p.RetryAfter = time.Second
		return p
	}
	if c.key == "" {
		return problem.New(problem.Unauthorized, "a bearer key is needed")
	}
	if c.customer = c.view.Authenticate(c.key); c.customer == nil {
		return problem.New(problem.Unauthorized, "the key is not known")
	}
	return nil
}

// maxRequestID bounds an id that a caller gives.
const maxRequestID = 128

// guard stands around everything: it gives each request its id, counts those
// in hand, and turns a panic into an honest failure.
func (e *Edge) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.inHand.Add(1)
		defer e.inHand.Add(-1)
		// Ids are ours: a caller's own could repeat and cross two answers.
		id := uuid.NewString()
		if theirs := r.Header.Get(target.HeaderRequestID); theirs != "" && len(theirs) <= maxRequestID {
			w.Header().Set("X-Caller-Request-Id", theirs)
		}
		r.Header.Set(target.HeaderRequestID, id)
		w.Header().Set(target.HeaderRequestID, id)
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				metric.Panics.Inc()
				e.Log.WithField("request", id).WithField("panic", v).Error("panic in a request")
			}
			panic(http.ErrAbortHandler) // cut, so that no half answer looks whole
		}()
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), writerKey{}, w)))
	})
}

// encodeError writes a failure. What is not a problem already is our fault.
func encodeError(ctx context.Context, err error, w http.ResponseWriter) {
	var p *problem.Problem
	if !errors.As(err, &p) {
		p = problem.New(problem.Internal, "internal error")
		p.Execution = problem.MayHaveRun
	}
	out := *p
	out.RequestID = w.Header().Get(target.HeaderRequestID)
	if !callOf(ctx).bodyRead {
		abandonBody(w)
	}
	out.Write(w)
}

// abandonBody gives up the rest of a request's body. Without it net/http would
// wait for that rest before it sends the answer, as long as the sender likes.
func abandonBody(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
}
