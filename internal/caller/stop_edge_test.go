package caller_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/caller"
	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/core/cache"
	"github.com/shedhoist/shedhoist/internal/core/route"
	"github.com/shedhoist/shedhoist/internal/dispatch"
	"github.com/shedhoist/shedhoist/internal/drain"
	"github.com/shedhoist/shedhoist/internal/explain"
	"github.com/shedhoist/shedhoist/internal/problem"
	"github.com/shedhoist/shedhoist/internal/target"
	"github.com/shedhoist/shedhoist/internal/view"
)

// What a stop takes at the edges of its times, to the nanosecond of a passed-in clock.

const (
	edgeKey    = "key"
	edgeLasts  = time.Minute // what models and services declare
	edgeSlow   = time.Second // how long a slow body takes to come
	edgePrompt = `{"model":"m","prompt":"x","stream":true}`
)

// admitAll has no limits.
type admitAll struct{ admitted int }

// Admit implements caller.Admission.
func (a *admitAll) Admit(*view.Customer, int, int) (func(int), error) {
	a.admitted++
	return func(int) {}, nil
}

// stopEdge is an edge towards callers, before one target that answers at once.
type stopEdge struct {
	*caller.Edge
	admit   admitAll
	now     time.Time
	reached int
}

func newStopEdge(t *testing.T) *stopEdge {
	s := &stopEdge{now: time.Now()}
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	address := strings.TrimPrefix(srv.URL, "http://")
	lasts := int(edgeLasts.Milliseconds())
	cfg, err := view.NewConfig(config.Head{}, &config.Bundle{
		Models:    []config.Model{{Name: "m", Version: "v", Versions: []string{"v"}, DeadlineMS: lasts}},
		Targets:   []config.Target{{Name: "t", Address: address, Zone: "z", Model: "m"}},
		Services:  []config.Service{{Name: "s", TimeoutMS: lasts, Instances: []config.ServiceInstance{{Name: "s1", Address: address, Zone: "z"}}}},
		Customers: []config.Customer{{Name: "c", KeyHashes: []string{view.KeyHash(edgeKey)}, Models: []string{"m"}, Services: []string{"s"}}},
		Policy:    &config.Policy{MaxAttempts: 1, NoStores: true, Candidates: 1},
	})
	if err != nil {
		t.Fatal(err)
	}
	clock := func() time.Time { return s.now }
	quiet := &log.Logger{Handler: discard.Default}
	v := &view.Holder{}
	v.Store(&view.View{Config: cfg, Instances: 1, Targets: route.NewSnapshot([]route.Target{{Name: "t", Address: address, Zone: "z", Model: "m", Version: "v", Slots: 1}}, nil)})
	d := &dispatch.Dispatcher{View: v, Targets: target.NewClient(time.Second), Hints: cache.NewHints(1), Explain: explain.NewLog(1), Log: quiet, Now: clock, StreamIdleTimeout: time.Minute, MaxResponseBytes: 1 << 20}
	d.Init(t.Context())
	t.Cleanup(d.Targets.Close)
	s.Edge = &caller.Edge{View: v, Dispatch: d, Admit: &s.admit, Log: quiet, Now: clock}
	s.Limits.BodyBytes, s.Limits.BodySeconds = 1<<10, 600
	return s
}

// ServeHTTP implements http.Handler: it is the target.
func (s *stopEdge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.reached++
	w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
	fmt.Fprint(w, `data: {"choices":[{"text":"a","finish_reason":"stop"}]}`+"\n\ndata: [DONE]\n\n")
}

// slowBody is a body at whose end so much time has passed.
type slowBody struct {
	io.Reader
	s     *stopEdge
	takes time.Duration
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	b.s.now = b.s.now.Add(b.takes)
	b.takes = 0
	return b.Reader.Read(p)
}

// TestStopTakesAtItsEdges guards against a request that a stop takes after the notice and cuts,
// and against one that is refused though it ends in time: a model's deadline counts from the
// arrival of its header, a service's from the end of its body.
func TestStopTakesAtItsEdges(t *testing.T) {
	for _, kind := range []string{"model", "service"} {
		for _, body := range []time.Duration{0, edgeSlow} {
			for _, late := range []time.Duration{-time.Second, 0, 1, time.Second} { // its end, after the notice
				for _, over := range []time.Duration{-time.Second, 0, 1, time.Second} { // its deadline, after the last that fits
					t.Run(fmt.Sprintf("%s/%v/%+v/%+v", kind, body, late, over), func(t *testing.T) {
						is := is.New(t)
						s := newStopEdge(t)
						whole := s.now.Add(body)
						path, deadline := "/v1/completions", s.now.Add(edgeLasts)
						if kind == "service" {
							path, deadline = "/services/s/x", whole.Add(edgeLasts)
						}
						s.Stops(&drain.Schedule{AcceptUntil: whole.Add(-late), AbortAt: deadline.Add(drain.ResponseMargin - over)})
						r := httptest.NewRequest(http.MethodPost, path, &slowBody{strings.NewReader(edgePrompt), s, body})
						r.Header.Set("Authorization", "Bearer "+edgeKey)
						w := httptest.NewRecorder()
						s.Handler().ServeHTTP(w, r)
						if late <= 0 || over <= 0 {
							is.Equal(w.Code, http.StatusOK)
							is.Equal(s.reached, 1)
							return
						}
						is.Equal(w.Code, http.StatusServiceUnavailable)
						is.Equal(w.Header().Get("Content-Type"), problem.ContentType)
						is.True(strings.Contains(w.Body.String(), `"`+string(problem.NotRun)+`"`))
						is.Equal(w.Header().Get("Connection"), "close")
						is.Equal(s.reached, 0)
						is.Equal(s.admit.admitted, 0) // it counts against no limit
					})
				}
			}
		}
	}
}
