// Package operator is the edge towards operators: state of the process and of
// the fleet as JSON, metrics, and why-records, for those who show a key.
package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"github.com/shedhoist/shedhoist/internal/explain"
	"github.com/shedhoist/shedhoist/internal/peer"
	"github.com/shedhoist/shedhoist/internal/problem"
	"github.com/shedhoist/shedhoist/internal/view"
)

// Fleet is the answer of /v1/status: whether the newest generation known is in
// force everywhere.
type Fleet struct {
	Generation uint64        `json:"generation"` // the highest any instance has in force
	Everywhere bool          `json:"in_force_everywhere"`
	Instances  []peer.Status `json:"instances"`
	Behind     []string      `json:"behind"`      // instances at a lower generation
	Unreached  []string      `json:"unreachable"` // members that did not answer
}

// Member is one row of /v1/members.
type Member struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
}

// Target is one row of /v1/targets.
type Target struct {
	Name     string   `json:"name"`
	Address  string   `json:"address"`
	Zone     string   `json:"zone"`
	Model    string   `json:"model"`
	Version  string   `json:"weight_version"`
	Adapters []string `json:"adapters"`
	State    string   `json:"state"`
	Running  int      `json:"running"`
	Queued   int      `json:"queued_tokens"`
	ReportMS float64  `json:"report_age_ms"`
	RTTMS    float64  `json:"rtt_ms"`
}

// State is the process as operators see it.
type State interface {
	View() *view.View
	Fleet(ctx context.Context) Fleet
	Members(ctx context.Context) []Member
	Targets() []Target
	Dump(ctx context.Context) any
	ExplainAnywhere(ctx context.Context, id string) *explain.Record
}

// Edge serves operators.
type Edge struct {
	State State
	Keys  []string // SHA-256 of keys beside those of the configuration
}

// opTimeout bounds one operator's request.
const opTimeout = 5 * time.Second

// Handler serves the operators' endpoints. All demand a key.
func (e *Edge) Handler() http.Handler {
	mux := http.NewServeMux()
	get := func(path string, f func(ctx context.Context) any) {
		mux.Handle("GET "+path, e.server(func(ctx context.Context, _ any) (any, error) { return f(ctx), nil }))
	}
	get("/v1/status", func(ctx context.Context) any { return e.State.Fleet(ctx) })
	get("/v1/members", func(ctx context.Context) any { return e.State.Members(ctx) })
	get("/v1/targets", func(context.Context) any { return e.State.Targets() })
	get("/v1/dump", func(ctx context.Context) any { return e.State.Dump(ctx) })
	mux.Handle("GET /v1/explain/{id}", e.server(e.explain))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return e.guard(mux)
}

func (e *Edge) server(ep endpoint.Endpoint) http.Handler {
	return kithttp.NewServer(ep, decode, kithttp.EncodeJSONResponse, kithttp.ServerErrorEncoder(encodeError))
}

func decode(_ context.Context, r *http.Request) (any, error) { return r.PathValue("id"), nil }

func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	p, ok := err.(*problem.Problem)
	if !ok {
		p = problem.New(problem.Internal, "internal error")
	}
	p.Write(w)
}

func (e *Edge) explain(ctx context.Context, request any) (any, error) {
	rec := e.State.ExplainAnywhere(ctx, request.(string))
	if rec == nil {
		return nil, problem.New(problem.NotFound, "no instance that answers knows this request")
	}
	return rec, nil
}

// guard lets nobody in without a key.
func (e *Edge) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if key == "" || !e.known(key) {
			problem.New(problem.Unauthorized, "an operator's key is needed").Write(w)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), opTimeout)
		defer cancel()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func (e *Edge) known(key string) bool {
	hash := view.KeyHash(key)
	for _, have := range e.Keys {
		if subtle.ConstantTimeCompare([]byte(strings.ToLower(have)), []byte(hash)) == 1 {
			return true
		}
	}
	if v := e.State.View(); v.Config != nil {
		_, ok := v.Operator(key)
		return ok
	}
	return false
}

// Redact returns v as JSON data without the members that hold secrets.
func Redact(v any, secrets ...string) (any, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	var out any
	if err := json.Unmarshal(data, &out); err != nil {
		return nil, err
	}
	strip(out, secrets)
	return out, nil
}

func strip(v any, secrets []string) {
	switch x := v.(type) {
	case map[string]any:
		for _, s := range secrets {
			if _, ok := x[s]; ok {
				x[s] = "redacted"
			}
		}
		for _, inner := range x {
			strip(inner, secrets)
		}
	case []any:
		for _, inner := range x {
			strip(inner, secrets)
		}
	}
}
