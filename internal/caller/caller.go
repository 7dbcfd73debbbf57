// Package caller serves callers over HTTP: OpenAI-compatible model endpoints and
// plain services. It authenticates, decodes and admits requests and passes them
// to package dispatch. Every failure is returned as a problem document that
// states whether the request was executed.
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

	"github.com/shedhoist/shedhoist/internal/body"
	"github.com/shedhoist/shedhoist/internal/connlimit"
	"github.com/shedhoist/shedhoist/internal/dispatch"
	"github.com/shedhoist/shedhoist/internal/drain"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/problem"
	"github.com/shedhoist/shedhoist/internal/settings"
	"github.com/shedhoist/shedhoist/internal/target"
	"github.com/shedhoist/shedhoist/internal/view"
)

// Admission admits a customer's request, or refuses it with a *problem.Problem.
type Admission interface {
	// Admit returns a function that must be called exactly once when the request
	// ends, with the number of tokens it generated. The customer's limits are shared
	// by all live instances, whose number is instances.
	Admit(c *view.Customer, promptTokens, instances int) (release func(generated int), err error)
}

// Server handles the callers' requests.
type Server struct {
	View      *view.Holder
	Dispatch  *dispatch.Dispatcher
	Admission Admission
	Limits    settings.Limits
	Log       log.Interface
	Now       func() time.Time

	inFlight     atomic.Int64
	stopSchedule atomic.Pointer[drain.Schedule] // nil while no stop is scheduled
}

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Handler returns the handler of all endpoints for callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/completions", s.newHandler(s.serveModel, s.decodeModel(false)))
	mux.Handle("POST /v1/chat/completions", s.newHandler(s.serveModel, s.decodeModel(true)))
	mux.Handle("GET /v1/models", s.newHandler(s.listModels, s.decodeNothing))
	mux.Handle("/services/{name}/{path...}", s.newHandler(s.serveService, s.decodeService))
	mux.HandleFunc("/", s.notFound)
	return s.instrument(mux)
}

func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	p := problem.New(problem.NotFound, "no such endpoint: "+r.Method+" "+r.URL.Path)
	p.RequestID = w.Header().Get(target.HeaderRequestID)
	p.Write(w)
}

// newHandler serves an endpoint over HTTP. Every endpoint requires authentication.
func (s *Server) newHandler(next endpoint.Endpoint, decode kithttp.DecodeRequestFunc) http.Handler {
	return kithttp.NewServer(s.authenticate(next), decode, encode, kithttp.ServerErrorEncoder(encodeError),
		kithttp.ServerErrorHandler(ignoreErrors{}), kithttp.ServerBefore(s.attachCall))
}

// ignoreErrors discards go-kit's errors: failures are already logged where they arise.
type ignoreErrors struct{}

// Handle implements go-kit's transport.ErrorHandler.
func (ignoreErrors) Handle(context.Context, error) {}

// call is the state of one request, carried in its context.
type call struct {
	id       string
	key      string
	arrived  time.Time
	view     *view.View
	customer *view.Customer
	bodyRead bool // if false when the request fails, the connection is closed instead of reading the rest
}

type callContextKey struct{}

func callFrom(ctx context.Context) *call { return ctx.Value(callContextKey{}).(*call) }

// attachCall stores the request's ID, its key and the current view in the context.
func (s *Server) attachCall(ctx context.Context, r *http.Request) context.Context {
	c := &call{id: r.Header.Get(target.HeaderRequestID), arrived: s.Now(), view: s.View.Load()}
	c.key, _ = strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return context.WithValue(ctx, callContextKey{}, c)
}

// authenticate calls next only for requests of a known customer.
func (s *Server) authenticate(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := callFrom(ctx)
		if err := c.authenticate(); err != nil {
			return nil, err
		}
		return next(ctx, request)
	}
}

// authenticate looks up the customer of the key. After a successful call, further calls
// have no effect.
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

// maxCallerRequestID is the longest request ID of a caller, in bytes, that is echoed.
const maxCallerRequestID = 128

// instrument wraps all endpoints: it assigns request IDs, counts requests in
// flight, and logs panics and closes the connection after them.
func (s *Server) instrument(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		// Request IDs are assigned here: an ID from the caller may repeat, and two
		// responses could then be mixed up.
		id := uuid.NewString()
		if callerID := r.Header.Get(target.HeaderRequestID); callerID != "" && len(callerID) <= maxCallerRequestID {
			w.Header().Set("X-Caller-Request-Id", callerID)
		}
		r.Header.Set(target.HeaderRequestID, id)
		w.Header().Set(target.HeaderRequestID, id)
		defer func() {
			recovered := recover()
			if recovered == nil {
				return
			}
			if err, ok := recovered.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				metric.Panics.Inc()
				s.Log.WithField("request", id).WithField("panic", recovered).Error("panic in a request")
			}
			panic(http.ErrAbortHandler) // close the connection, so that a partial response can't pass for a complete one
		}()
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), responseWriterKey{}, w)))
	})
}

// RefuseForRoom refuses a request that there was no room to begin.
func RefuseForRoom(w http.ResponseWriter, r *http.Request) {
	abandonBody(w)
	noRoom(connlimit.FromRequest(r)).Write(w)
}

// noRoom returns the problem of a request for which there are no memory or descriptors.
func noRoom(conn *connlimit.Conn) *problem.Problem {
	if !conn.LacksDescriptors() {
		return bodyProblem(&body.FullError{})
	}
	p := problem.New(problem.Overloaded, (&connlimit.DescriptorsError{}).Error())
	p.RetryAfter = fullRetryAfter
	return p
}

// encodeError writes a problem document. An error that is not a problem is
// reported as an internal error after which the request may have run.
func encodeError(ctx context.Context, err error, w http.ResponseWriter) {
	var p *problem.Problem
	if !errors.As(err, &p) {
		p = problem.New(problem.Internal, "internal error")
		p.Execution = problem.MayHaveRun
	}
	out := *p
	out.RequestID = w.Header().Get(target.HeaderRequestID)
	if !callFrom(ctx).bodyRead {
		abandonBody(w)
	}
	out.Write(w)
}

// abandonBody stops reading the request's body. Otherwise net/http reads the
// rest of it before it sends the response, and a slow sender could delay that
// without limit.
func abandonBody(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) // in the past: reads fail at once
}
