// Package operator serves the operators' HTTP API: state of the process and of the
// fleet as JSON, metrics, and explain records. Every request needs a key.
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

// Fleet is the response of /v1/status. It shows whether all instances have the newest
// configuration generation that is in force on any of them.
type Fleet struct {
	Generation        uint64        `json:"generation"` // highest in force on any instance
	InForceEverywhere bool          `json:"in_force_everywhere"`
	Instances         []peer.Status `json:"instances"`
	Behind            []string      `json:"behind"`      // instances at a lower generation
	Unreachable       []string      `json:"unreachable"` // members that did not answer
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
	Name         string   `json:"name"`
	Address      string   `json:"address"`
	Zone         string   `json:"zone"`
	Model        string   `json:"model"`
	Version      string   `json:"weight_version"`
	Adapters     []string `json:"adapters"`
	State        string   `json:"state"`
	Running      int      `json:"running"`
	QueuedTokens int      `json:"queued_tokens"`
	ReportAgeMS  float64  `json:"report_age_ms"`
	RTTMS        float64  `json:"rtt_ms"`
}

// State gives the API access to the state of the process and of the fleet.
type State interface {
	View() *view.View
	Fleet(ctx context.Context) Fleet
	Members(ctx context.Context) []Member
	Targets() []Target
	Dump(ctx context.Context) any
	FindExplainRecord(ctx context.Context, id string) *explain.Record
}

// Edge serves the operators' HTTP API.
type Edge struct {
	State State
	Keys  []string // SHA-256 hashes of keys, in addition to those of the configuration
}

// requestTimeout is the deadline for one request of an operator.
const requestTimeout = 5 * time.Second

// Handler returns the handler of all endpoints, including /metrics. All require a key.
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
	return e.requireKey(mux)
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
	rec := e.State.FindExplainRecord(ctx, request.(string))
	if rec == nil {
		return nil, problem.New(problem.NotFound, "no instance that answers knows this request")
	}
	return rec, nil
}

// requireKey rejects requests without a valid key and sets the deadline of the others.
func (e *Edge) requireKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if key == "" || !e.authorized(key) {
			problem.New(problem.Unauthorized, "an operator's key is needed").Write(w)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// authorized reports whether key is listed in Keys or in the configuration.
func (e *Edge) authorized(key string) bool {
	hash := view.KeyHash(key)
	for _, allowed := range e.Keys {
		if subtle.ConstantTimeCompare([]byte(strings.ToLower(allowed)), []byte(hash)) == 1 {
			return true
		}
	}
	if v := e.State.View(); v.Config != nil {
		_, ok := v.Operator(key)
		return ok
	}
	return false
}

// Redact returns v as decoded JSON in which the values of the keys in secrets are
// replaced by "redacted", at any depth.
func Redact(v any, secrets ...string) (any, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	var out any
	if err := json.Unmarshal(data, &out); err != nil {
		return nil, err
	}
	redactKeys(out, secrets)
	return out, nil
}

func redactKeys(v any, keys []string) {
	switch node := v.(type) {
	case map[string]any:
		for _, key := range keys {
			if _, ok := node[key]; ok {
				node[key] = "redacted"
			}
		}
		for _, inner := range node {
			redactKeys(inner, keys)
		}
	case []any:
		for _, inner := range node {
			redactKeys(inner, keys)
		}
	}
}
