package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/breaker"
	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/registry"
)

// Headers of backoffCodec.
const (
	backoffHeader            = "Rest-Wanted"
	backoffNotExecutedHeader = "Not-Run"
	backoffRetryAfterHeader  = "Retry-After-Seconds"
)

// backoffCodec is the codec of targets that request backoffs.
type backoffCodec struct{ trafficCodec }

// DecodeConfig implements Codec.
func (backoffCodec) DecodeConfig(value []byte) (*catalog.Config, error) {
	return configWithStreams(value, 4*time.Second, 3)
}

// ParseResponse implements Codec.
func (backoffCodec) ParseResponse(_ int, h http.Header) TargetResponse {
	a := TargetResponse{ID: h.Get(trafficID), Signed: true, NotExecuted: h.Get(backoffNotExecutedHeader) != ""}
	if d, err := time.ParseDuration(h.Get(backoffHeader)); err == nil {
		a.RetryAfter, a.Notice.Backoff = d, d
	}
	return a
}

// ProblemHeader implements Codec.
func (backoffCodec) ProblemHeader(h http.Header, _ string, retryAfter time.Duration) {
	h.Set(backoffRetryAfterHeader, strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
}

// scriptedResponse is a target's response to one request.
type scriptedResponse struct {
	status       int
	notExecuted  bool
	backoff      time.Duration // requested; 0: none
	duration     time.Duration
	breaksStream bool // breaks the stream after its first event
}

// responseScript returns a target's response to its n-th request, at a time since the start of the test.
type responseScript func(since time.Duration, n int, body string) scriptedResponse

func serve(time.Duration, int, string) scriptedResponse {
	return scriptedResponse{status: http.StatusOK, duration: runTime}
}

// overloadedUntil refuses all requests until end, requesting a backoff each time, and then serves them.
func overloadedUntil(end, backoff time.Duration) responseScript {
	return func(since time.Duration, n int, body string) scriptedResponse {
		if since < end {
			return scriptedResponse{status: http.StatusServiceUnavailable, notExecuted: true, backoff: backoff}
		}
		return serve(since, n, body)
	}
}

// failEvery fails every k-th request.
func failEvery(k int) responseScript {
	return func(since time.Duration, n int, body string) scriptedResponse {
		if n%k == 0 {
			return scriptedResponse{status: http.StatusInternalServerError, duration: runTime}
		}
		return serve(since, n, body)
	}
}

// backoffPeriod is a period in which a target has requested a backoff.
type backoffPeriod struct {
	from, until time.Time
}

// backoffTarget is a target that responds by a script and records the requests it receives.
type backoffTarget struct {
	f      *backoffFleet
	name   string
	script responseScript

	mu        sync.Mutex
	srv       *http.Server
	startedAt int64
	received  []time.Time     // in this incarnation
	backoffs  []backoffPeriod // in this incarnation
}

// start starts a new incarnation of the target.
func (m *backoffTarget) start() {
	ln, err := m.f.net.listen(m.name + ":1")
	if err != nil {
		m.f.t.Fatal(err)
	}
	srv := &http.Server{Handler: m}
	m.mu.Lock()
	m.srv, m.startedAt, m.received, m.backoffs = srv, time.Now().UnixMilli(), nil, nil
	m.mu.Unlock()
	go func() { _ = srv.Serve(ln) }() // ends with the target
	m.writeEntry()
}

// writeEntry writes the entry of the current incarnation.
func (m *backoffTarget) writeEntry() {
	m.mu.Lock()
	startedAt := m.startedAt
	m.mu.Unlock()
	m.f.store.set(memoryTargets, m.name, catalog.Target{Service: "s", Address: m.name + ":1", Zone: "z0", Start: startedAt})
}

// stop ends the current incarnation.
func (m *backoffTarget) stop() {
	m.f.closeListeners(m.name + ":1")
	m.srv.Close()
}

// countRequest records a request and returns its number in this incarnation.
func (m *backoffTarget) countRequest() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.received = append(m.received, time.Now())
	return len(m.received)
}

func (m *backoffTarget) recordBackoff(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.backoffs = append(m.backoffs, backoffPeriod{from: time.Now(), until: time.Now().Add(d)})
}

// backoffPeriods returns the backoffs requested in this incarnation.
func (m *backoffTarget) backoffPeriods() []backoffPeriod {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.backoffs
}

// countBetween counts the requests received in this incarnation between two times.
func (m *backoffTarget) countBetween(from, to time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, at := range m.received {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// ServeHTTP implements http.Handler: it responds by the script.
func (m *backoffTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := m.countRequest()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller is gone
	}
	response := m.script(time.Since(m.f.startedAt), n, string(body))
	time.Sleep(response.duration)
	h := w.Header()
	h.Set(trafficID, r.Header.Get(trafficID))
	if response.notExecuted {
		h.Set(backoffNotExecutedHeader, "1")
	}
	if response.backoff > 0 {
		m.recordBackoff(response.backoff)
		h.Set(backoffHeader, response.backoff.String())
	}
	w.WriteHeader(response.status)
	if !response.breaksStream {
		fmt.Fprintf(w, "id: 1\ndata: %s\n\n", m.name)
		return
	}
	fmt.Fprint(w, "id: 1\ndata: x\n\n")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// backoffFleet is a fleet with targets that request backoffs.
type backoffFleet struct {
	*trafficFleet
	backoffTargets []*backoffTarget
	startedAt      time.Time // of the test's traffic
}

func newBackoffFleet(t *testing.T, n int, scripts ...responseScript) *backoffFleet {
	f := &backoffFleet{trafficFleet: newFleetWith(t, n, 1, 0, fleetOptions{codec: backoffCodec{}})}
	for i, s := range scripts {
		m := &backoffTarget{f: f, name: fmt.Sprintf("t-%02d", i), script: s}
		f.backoffTargets = append(f.backoffTargets, m)
		m.start()
	}
	time.Sleep(2 * time.Second)
	f.startedAt = time.Now()
	return f
}

func (f *backoffFleet) end() {
	for _, m := range f.backoffTargets {
		m.stop()
	}
	f.stop()
}

// backoffResponse is the response that a caller received.
type backoffResponse struct {
	status       int // 0: no response
	body         string
	complete     bool
	retryAfter   time.Duration
	at, duration time.Duration // at: when the request was sent, since backoffFleet.startedAt
}

// isBackoffRefusal reports whether the instance itself refused the request because targets are in backoff.
func (a backoffResponse) isBackoffRefusal() bool {
	return a.status == http.StatusServiceUnavailable && strings.Contains(a.body, `"not-run"`) && strings.Contains(a.body, "asked for rest")
}

// send sends one request to instance i.
func (f *backoffFleet) send(i int, path, body string) backoffResponse {
	ctx, cancel := context.WithTimeout(f.t.Context(), 5*time.Second)
	defer cancel()
	start := time.Now()
	a := backoffResponse{at: start.Sub(f.startedAt)}
	conn, err := f.net.dialFrom("caller")(ctx, "memory", f.gateways[i].CallerAddr())
	if err != nil {
		return a
	}
	defer conn.Close()
	f.net.mu.Lock()
	f.seq++
	id := fmt.Sprintf("r-%d", f.seq)
	f.net.mu.Unlock()
	request := fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: key\r\nContent-Length: %d\r\n\r\n%s", path, anyHost, trafficID, id, trafficKey, len(body), body)
	if _, err := io.WriteString(conn, request); err != nil {
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a.status, a.body, a.complete, a.duration = resp.StatusCode, string(data), err == nil, time.Since(start)
	if s, err := strconv.ParseFloat(resp.Header.Get(backoffRetryAfterHeader), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	return a
}

// sendLoad sends requests to the first instance for some time and returns the responses in the order of
// the requests.
func (f *backoffFleet) sendLoad(path string, every, during time.Duration) []backoffResponse {
	responses := make([]backoffResponse, during/every)
	var requests sync.WaitGroup
	for i := range responses {
		requests.Go(func() { responses[i] = f.send(0, path, "x") })
		time.Sleep(every)
	}
	requests.Wait()
	return responses
}

// backoffGrace is how long after a refusal requests may still arrive, and maxRequestsInBackoff how many
// may arrive in the rest of the backoff.
const (
	backoffGrace         = 500 * time.Millisecond
	maxRequestsInBackoff = 2
)

// checkBackoffs fails the test if requests reached a target during a backoff that it had requested.
func (f *backoffFleet) checkBackoffs() {
	f.t.Helper()
	for _, m := range f.backoffTargets {
		violations, maxRequests := 0, 0
		for _, period := range m.backoffPeriods() {
			received := m.countBetween(period.from.Add(backoffGrace), period.until)
			maxRequests = max(maxRequests, received)
			if received > maxRequestsInBackoff {
				violations++
			}
		}
		if maxRequests > 0 {
			f.t.Errorf("%s requested %d backoffs and received up to %d requests during one, and in %d of them more than %d", m.name, len(m.backoffPeriods()), maxRequests, violations, maxRequestsInBackoff)
		}
	}
}

// count counts the responses for which a condition holds.
func count(responses []backoffResponse, holds func(a backoffResponse) bool) int {
	n := 0
	for _, a := range responses {
		if holds(a) {
			n++
		}
	}
	return n
}

// TestRespectsBackoff guards against requests to a target during a backoff that it has requested of the
// instance.
func TestRespectsBackoff(t *testing.T) {
	const (
		every = 20 * time.Millisecond
		slow  = 400 * time.Millisecond
	)
	isOK := func(a backoffResponse) bool { return a.status == http.StatusOK && a.complete }
	cases := []struct {
		name    string
		scripts []responseScript
		run     func(is *is.I, f *backoffFleet)
	}{
		{"the other targets fail at times", []responseScript{overloadedUntil(7*time.Second, 3*time.Second), failEvery(3), failEvery(3)}, func(is *is.I, f *backoffFleet) {
			f.sendLoad(pathSafe, every, 8*time.Second)
		}},
		{"the other target always fails", []responseScript{overloadedUntil(7*time.Second, 3*time.Second), failEvery(1)}, func(is *is.I, f *backoffFleet) {
			for _, a := range f.sendLoad(pathSafe, every, 6*time.Second) {
				if a.at > 200*time.Millisecond && a.at < 2900*time.Millisecond {
					is.Equal(a.status, http.StatusInternalServerError) // the target's failure, not a refusal by the instance
				}
			}
		}},
		{"a successful request in flight", []responseScript{func(since time.Duration, n int, body string) scriptedResponse {
			if body == "slow" {
				return scriptedResponse{status: http.StatusOK, duration: slow}
			}
			return overloadedUntil(slow/2, 3*time.Second)(since, n, body)
		}, serve}, func(is *is.I, f *backoffFleet) {
			var requests sync.WaitGroup
			defer requests.Wait()
			for len(f.backoffTargets[0].receivedAll()) == 0 {
				requests.Go(func() { f.send(0, pathSafe, "slow") })
				time.Sleep(every)
			}
			for len(f.backoffTargets[0].backoffPeriods()) == 0 {
				is.True(time.Since(f.startedAt) < slow/2)
				requests.Go(func() { f.send(0, pathSafe, "x") })
				time.Sleep(every / 4)
			}
			responses := f.sendLoad(pathSafe, every/10, 2*time.Second) // too many for a single target
			is.Equal(count(responses, isOK), len(responses))
		}},
		{"a shorter backoff after a longer one", []responseScript{func(since time.Duration, n int, body string) scriptedResponse {
			switch n {
			case 1:
				return scriptedResponse{status: http.StatusServiceUnavailable, notExecuted: true, backoff: 4 * time.Second, duration: 50 * time.Millisecond}
			case 2:
				return scriptedResponse{status: http.StatusServiceUnavailable, notExecuted: true, backoff: time.Second, duration: 100 * time.Millisecond}
			}
			return serve(since, n, body)
		}}, func(is *is.I, f *backoffFleet) {
			f.sendLoad(pathSafe, time.Millisecond, 2*time.Millisecond)
			is.Equal(len(f.backoffTargets[0].backoffPeriods()), 2)
			f.sendLoad(pathSafe, every, 5*time.Second)
		}},
		{"backoff of all targets", []responseScript{overloadedUntil(4*time.Second, 2*time.Second), overloadedUntil(4*time.Second, 2*time.Second), overloadedUntil(4*time.Second, 2*time.Second)}, func(is *is.I, f *backoffFleet) {
			responses := f.sendLoad(pathSafe, every, 8*time.Second)
			for _, a := range responses {
				if a.at < 200*time.Millisecond || a.at > 1900*time.Millisecond {
					continue
				}
				is.True(a.isBackoffRefusal())
				is.True(a.duration < 50*time.Millisecond) // no request waits
				is.True(a.retryAfter >= retryAfterShort)
				is.True(a.retryAfter <= 1500*time.Millisecond)
			}
			is.Equal(count(responses[len(responses)-50:], isOK), 50)
		}},
		{"backoff of the only target", []responseScript{overloadedUntil(time.Second, 2*time.Second)}, func(is *is.I, f *backoffFleet) {
			responses := f.sendLoad(pathSafe, every, 4*time.Second)
			is.True(count(responses, backoffResponse.isBackoffRefusal) > 80)
			is.Equal(count(responses[len(responses)-50:], isOK), 50)
		}},
		{"the target restarts", []responseScript{overloadedUntil(500*time.Millisecond, 20*time.Second)}, func(is *is.I, f *backoffFleet) {
			f.send(0, pathSafe, "x")
			f.checkBackoffs()
			f.backoffTargets[0].stop()
			time.Sleep(time.Second)
			f.backoffTargets[0].start()
			time.Sleep(time.Second)
			responses := f.sendLoad(pathSafe, every, time.Second)
			is.Equal(count(responses, isOK), len(responses)) // the backoff of the previous incarnation doesn't apply
		}},
		{"broken streams", []responseScript{func(time.Duration, int, string) scriptedResponse {
			return scriptedResponse{status: http.StatusOK, duration: runTime, breaksStream: true}
		}, overloadedUntil(5*time.Second, 3*time.Second)}, func(is *is.I, f *backoffFleet) {
			f.sendLoad(pathStream, every, 4*time.Second)
		}},
		{"at-most-once requests", []responseScript{overloadedUntil(4*time.Second, 2*time.Second), failEvery(2)}, func(is *is.I, f *backoffFleet) {
			f.sendLoad(pathOnce, every, 4*time.Second)
		}},
		{"an at-most-once request was executed", []responseScript{func(since time.Duration, n int, body string) scriptedResponse {
			if n == 1 {
				return scriptedResponse{status: http.StatusServiceUnavailable, backoff: 2 * time.Second}
			}
			return serve(since, n, body)
		}}, func(is *is.I, f *backoffFleet) {
			a := f.send(0, pathOnce, "x")
			is.Equal(a.status, http.StatusServiceUnavailable)
			is.True(!a.isBackoffRefusal())
			responses := f.sendLoad(pathOnce, every, 3*time.Second)
			is.True(count(responses, backoffResponse.isBackoffRefusal) > 90)
			is.Equal(count(responses[len(responses)-40:], isOK), 40)
		}},
		{"the backoff ends", []responseScript{overloadedUntil(time.Second, 2*time.Second), serve, serve}, func(is *is.I, f *backoffFleet) {
			responses := f.sendLoad(pathSafe, 10*time.Millisecond, 8*time.Second)
			is.Equal(count(responses[20:], isOK), len(responses)-20)
			periods := f.backoffTargets[0].backoffPeriods()
			is.True(len(periods) > 0)
			end := periods[len(periods)-1].until
			is.True(f.backoffTargets[0].countBetween(end, end.Add(runTime)) <= 2)           // half-open probes only
			is.True(f.backoffTargets[0].countBetween(end, end.Add(4*time.Second)) > 400/10) // then its full share
		}},
		{"the target's entry is removed and written again", []responseScript{func(since time.Duration, n int, body string) scriptedResponse {
			if n == 1 {
				return scriptedResponse{status: http.StatusServiceUnavailable, notExecuted: true, backoff: time.Minute}
			}
			return serve(since, n, body)
		}, serve}, func(is *is.I, f *backoffFleet) {
			for len(f.backoffTargets[0].backoffPeriods()) == 0 {
				is.True(time.Since(f.startedAt) < 5*time.Second)
				f.send(0, pathSafe, "x")
			}
			f.store.remove(memoryTargets, f.backoffTargets[0].name)
			time.Sleep(30 * time.Second) // state of removed targets has been dropped
			f.backoffTargets[0].writeEntry()
			time.Sleep(time.Second)
			responses := f.sendLoad(pathSafe, every, 5*time.Second)
			is.Equal(count(responses, isOK), len(responses))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newBackoffFleet(t, 1, c.scripts...)
				defer f.end()
				defer f.checkBackoffs()
				c.run(is.New(t), f)
			})
		})
	}
}

// receivedAll returns the times at which requests were received in this incarnation.
func (m *backoffTarget) receivedAll() []time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.received
}

// TestRefusalWithoutBackoff guards against treating a refusal that requests no backoff as a backoff.
func TestRefusalWithoutBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newBackoffFleet(t, 1, func(time.Duration, int, string) scriptedResponse {
			return scriptedResponse{status: http.StatusServiceUnavailable, notExecuted: true}
		}, serve)
		defer f.end()
		f.sendLoad(pathSafe, 20*time.Millisecond, 3*time.Second)
		attempts := len(f.backoffTargets[0].receivedAll())
		is.True(attempts >= 5)
		is.True(attempts <= 20) // at most one per 150 ms
	})
}

// TestRequestedBackoffIsPerInstance guards against a backoff that is applied by an instance of which it
// was not requested, or ignored by the one of which it was.
func TestRequestedBackoffIsPerInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newBackoffFleet(t, 2, func(since time.Duration, n int, body string) scriptedResponse {
			if n == 1 {
				return scriptedResponse{status: http.StatusServiceUnavailable, notExecuted: true, backoff: 5 * time.Second}
			}
			return serve(since, n, body)
		})
		defer f.end()
		f.send(0, pathSafe, "x")
		time.Sleep(time.Second)
		is.Equal(f.send(1, pathSafe, "x").status, http.StatusOK)
		is.True(f.send(0, pathSafe, "x").isBackoffRefusal())
	})
}

// refusingEngines refuses report calls and requests a backoff.
type refusingEngines struct {
	Engines
	backoff time.Duration
}

// Report implements Engines.
func (e refusingEngines) Report(context.Context, string, string) (Report, error) {
	return Report{}, &CallError{Call: "report", Status: http.StatusServiceUnavailable, Notice: Notice{Backoff: e.backoff}}
}

// TestReportRequestsBackoff guards against requests to a target that has requested a backoff when it
// refused a report call.
func TestReportRequestsBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newBackoffFleet(t, 1, serve)
		defer f.end()
		g := f.gateways[0]
		g.engines = refusingEngines{backoff: 2 * time.Second}
		is.Equal(f.send(0, pathSafe, "x").status, http.StatusOK)
		for _, target := range g.view.Load().Targets {
			_, err := g.rollout.fetchReport(t.Context(), target)
			is.True(err != nil)
		}
		is.True(f.send(0, pathSafe, "x").isBackoffRefusal())
		time.Sleep(2 * time.Second)
		is.Equal(f.send(0, pathSafe, "x").status, http.StatusOK)
	})
}

// TestRequestedBackoffOfMostTargets guards against refusing requests while all candidates of the first
// selection are in backoff, but a few of the many other targets are not.
func TestRequestedBackoffOfMostTargets(t *testing.T) {
	const targets, others = 4 * maxCandidates, 2
	for status, script := range map[int]responseScript{http.StatusOK: serve, http.StatusInternalServerError: failEvery(1)} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newBackoffFleet(t, 1, slices.Repeat([]responseScript{overloadedUntil(time.Hour, time.Hour)}, targets)...)
				defer f.end()
				remaining := others
				for _, m := range f.backoffTargets {
					if remaining > 0 && !f.isCandidate(m.name) {
						m.script, remaining = script, remaining-1
					}
				}
				is.Equal(remaining, 0)
				f.sendLoad(pathSafe, 20*time.Millisecond, 10*time.Second) // puts all candidates of the first selection in backoff
				responses := f.sendLoad(pathSafe, 50*time.Millisecond, 5*time.Second)
				matching := count(responses, func(a backoffResponse) bool { return a.status == status })
				is.Equal(matching, len(responses))
				f.checkBackoffs()
			})
		})
	}
}

// isCandidate reports whether a target is among the candidates that the first instance considers before
// it widens the selection to all targets.
func (f *backoffFleet) isCandidate(name string) bool {
	return slices.ContainsFunc(f.gateways[0].view.Load().Candidates["s"], func(t *catalog.Target) bool { return t.Name == name })
}

// TestRequestedBackoffIsLogged guards against requested backoffs that are not logged, and against a log
// line for every refusal.
func TestRequestedBackoffIsLogged(t *testing.T) {
	is := is.New(t)
	now, lines := time.Unix(0, 0), memory.New()
	clock := func() time.Time { return now }
	g := &Gateway{now: clock, breaker: breaker.New(clock), log: &log.Logger{Handler: lines}}
	target := &catalog.Target{ID: "t@1"}
	for range 40 { // 10 ms apart
		g.applyNotice(target, Notice{Backoff: 3 * time.Second}, registry.Source{Channel: string(fromAnswer), Reporter: "r"})
		now = now.Add(10 * time.Millisecond)
	}
	is.Equal(len(lines.Entries), 2) // the first, and one 300 ms later
	is.Equal(lines.Entries[0].Fields, log.Fields{"target": "t@1", "rest_ms": int64(3000), "until": "1970-01-01T00:00:03Z", "from": "answer", "by": "r"})
	g.applyNotice(target, Notice{Backoff: time.Millisecond}, registry.Source{Channel: string(fromAnswer), Reporter: "r"})
	is.Equal(len(lines.Entries), 2) // the end of the backoff doesn't change
	now = now.Add(time.Minute)
	g.applyNotice(target, Notice{Backoff: time.Millisecond}, registry.Source{Channel: string(fromReport)})
	is.Equal(len(lines.Entries), 3) // a new backoff is logged, however short
	is.Equal(lines.Entries[2].Fields.Get("from"), "report")
}
