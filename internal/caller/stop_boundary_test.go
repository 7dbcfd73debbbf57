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

// Tests of which requests are accepted during a stop, to the nanosecond (fake clock).

const (
	testKey         = "key"
	declaredTimeout = time.Minute // deadline of the model, timeout of the service
	slowBodyDelay   = time.Second // how long a slow body takes to arrive
	promptBody      = `{"model":"m","prompt":"x","stream":true}`
)

// countingAdmission admits every request and counts them.
type countingAdmission struct{ admitted int }

// Admit implements caller.Admission.
func (a *countingAdmission) Admit(*view.Customer, int, int) (func(int), error) {
	a.admitted++
	return func(int) {}, nil
}

// stopFixture is a server for callers with one target, which responds at once.
type stopFixture struct {
	*caller.Server
	admission      countingAdmission
	now            time.Time
	targetRequests int
}

func newStopFixture(t *testing.T) *stopFixture {
	s := &stopFixture{now: time.Now()}
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	address := strings.TrimPrefix(srv.URL, "http://")
	timeoutMS := int(declaredTimeout.Milliseconds())
	cfg, err := view.NewConfig(config.Head{}, &config.Bundle{
		Models:    []config.Model{{Name: "m", Version: "v", Versions: []string{"v"}, DeadlineMS: timeoutMS}},
		Targets:   []config.Target{{Name: "t", Address: address, Zone: "z", Model: "m"}},
		Services:  []config.Service{{Name: "s", TimeoutMS: timeoutMS, Instances: []config.ServiceInstance{{Name: "s1", Address: address, Zone: "z"}}}},
		Customers: []config.Customer{{Name: "c", KeyHashes: []string{view.KeyHash(testKey)}, Models: []string{"m"}, Services: []string{"s"}}},
		Policy:    &config.Policy{MaxAttempts: 1, NoStores: true, Candidates: 1},
	})
	if err != nil {
		t.Fatal(err)
	}
	clock := func() time.Time { return s.now }
	logger := &log.Logger{Handler: discard.Default}
	v := &view.Holder{}
	v.Store(&view.View{Config: cfg, Instances: 1, Targets: route.NewSnapshot([]route.Target{{Name: "t", Address: address, Zone: "z", Model: "m", Version: "v", Slots: 1}}, nil)})
	d := &dispatch.Dispatcher{View: v, Targets: target.NewClient(time.Second), Hints: cache.NewHints(1), Explain: explain.NewLog(1), Log: logger, Now: clock, StreamIdleTimeout: time.Minute, MaxResponseBytes: 1 << 20}
	d.Init(t.Context())
	t.Cleanup(d.Targets.Close)
	s.Server = &caller.Server{View: v, Dispatch: d, Admission: &s.admission, Log: logger, Now: clock}
	s.Limits.BodyBytes, s.Limits.BodySeconds = 1<<10, 600
	return s
}

// ServeHTTP implements http.Handler as the target does.
func (s *stopFixture) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.targetRequests++
	w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
	fmt.Fprint(w, `data: {"choices":[{"text":"a","finish_reason":"stop"}]}`+"\n\ndata: [DONE]\n\n")
}

// slowBody advances the fixture's clock by delay on its first read.
type slowBody struct {
	io.Reader
	fixture *stopFixture
	delay   time.Duration
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	b.fixture.now = b.fixture.now.Add(b.delay)
	b.delay = 0
	return b.Reader.Read(p)
}

// TestStopAdmissionBoundaries guards against requests that are accepted after the notice period and
// then aborted, and against refusals of requests that end in time. A model's deadline counts from
// the arrival of the header, a service's from the end of the body.
func TestStopAdmissionBoundaries(t *testing.T) {
	for _, kind := range []string{"model", "service"} {
		for _, bodyDelay := range []time.Duration{0, slowBodyDelay} {
			for _, sinceNotice := range []time.Duration{-time.Second, 0, 1, time.Second} { // end of the body, relative to the end of the notice period
				for _, pastLatest := range []time.Duration{-time.Second, 0, 1, time.Second} { // deadline, relative to the latest accepted one
					t.Run(fmt.Sprintf("%s/%v/%+v/%+v", kind, bodyDelay, sinceNotice, pastLatest), func(t *testing.T) {
						is := is.New(t)
						s := newStopFixture(t)
						bodyRead := s.now.Add(bodyDelay)
						path, deadline := "/v1/completions", s.now.Add(declaredTimeout)
						if kind == "service" {
							path, deadline = "/services/s/x", bodyRead.Add(declaredTimeout)
						}
						s.SetStopSchedule(&drain.Schedule{AcceptUntil: bodyRead.Add(-sinceNotice), AbortAt: deadline.Add(drain.ResponseMargin - pastLatest)})
						r := httptest.NewRequest(http.MethodPost, path, &slowBody{strings.NewReader(promptBody), s, bodyDelay})
						r.Header.Set("Authorization", "Bearer "+testKey)
						w := httptest.NewRecorder()
						s.Handler().ServeHTTP(w, r)
						if sinceNotice <= 0 || pastLatest <= 0 {
							is.Equal(w.Code, http.StatusOK)
							is.Equal(s.targetRequests, 1)
							return
						}
						is.Equal(w.Code, http.StatusServiceUnavailable)
						is.Equal(w.Header().Get("Content-Type"), problem.ContentType)
						is.True(strings.Contains(w.Body.String(), `"`+string(problem.NotRun)+`"`))
						is.Equal(w.Header().Get("Connection"), "close")
						is.Equal(s.targetRequests, 0)
						is.Equal(s.admission.admitted, 0) // a refused request counts against no limit
					})
				}
			}
		}
	}
}
