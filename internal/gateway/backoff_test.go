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

// Headers of the dialect of targets that ask for rest.
const (
	backoffHeader            = "Rest-Wanted"
	backoffNotExecutedHeader = "Not-Run"
	backoffRetryAfterHeader  = "Retry-After-Seconds"
)

// backoffCodec is the dialect of targets that ask for rest.
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

// scriptedResponse is how a target answers one request.
type scriptedResponse struct {
	status       int
	notExecuted  bool
	backoff      time.Duration // asked for; 0: none
	duration     time.Duration
	breaksStream bool // a stream that breaks behind its first event
}

// responseScript says how a target answers its n-th request, at a time since the play began.
type responseScript func(since time.Duration, n int, body string) scriptedResponse

func serve(time.Duration, int, string) scriptedResponse {
	return scriptedResponse{status: http.StatusOK, duration: runTime}
}

// overloadedUntil turns all away and asks for rest each time, until an end; then it serves.
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

// backoffPeriod is one wish of a target.
type backoffPeriod struct {
	from, until time.Time
}

// backoffTarget is a target that answers by a script and notes what reaches it.
type backoffTarget struct {
	f      *backoffFleet
	name   string
	script responseScript

	mu        sync.Mutex
	srv       *http.Server
	startedAt int64
	received  []time.Time     // in this life
	backoffs  []backoffPeriod // in this life
}

// start begins a life of the target.
func (m *backoffTarget) start() {
	ln, err := m.f.net.listen(m.name + ":1")
	if err != nil {
		m.f.t.Fatal(err)
	}
	srv := &http.Server{Handler: m}
	m.mu.Lock()
	m.srv, m.startedAt, m.received, m.backoffs = srv, time.Now().UnixMilli(), nil, nil
	m.mu.Unlock()
	go func() { _ = srv.Serve(ln) }() // it ends with the target
	m.writeEntry()
}

// writeEntry writes the entry of the target's life.
func (m *backoffTarget) writeEntry() {
	m.mu.Lock()
	startedAt := m.startedAt
	m.mu.Unlock()
	m.f.store.set(memoryTargets, m.name, catalog.Target{Service: "s", Address: m.name + ":1", Zone: "z0", Start: startedAt})
}

// stop ends the life.
func (m *backoffTarget) stop() {
	m.f.closeListeners(m.name + ":1")
	m.srv.Close()
}

// countRequest takes note of a request and returns its number in this life.
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

// backoffPeriods are the rests asked for in this life.
func (m *backoffTarget) backoffPeriods() []backoffPeriod {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.backoffs
}

// countBetween counts the requests of this life that came in a span of time.
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

// ServeHTTP answers by the script.
func (m *backoffTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := m.countRequest()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // its caller is gone
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

// backoffFleet is a fleet before targets that ask for rest.
type backoffFleet struct {
	*trafficFleet
	backoffTargets []*backoffTarget
	startedAt      time.Time // of the play
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

// backoffResponse is what a caller got.
type backoffResponse struct {
	status       int // 0: none
	body         string
	complete     bool
	retryAfter   time.Duration // when to come back
	at, duration time.Duration // at since the play began
}

// isBackoffRefusal says whether the request was refused by the instance since targets rest.
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

// sendLoad sends requests to the first instance for some time, and returns their answers in the
// order in which they were sent.
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

// grace is how long after a refusal requests may still come, and maxRequestsInBackoff how many in the
// rest of the time.
const (
	backoffGrace         = 500 * time.Millisecond
	maxRequestsInBackoff = 2
)

// checkBackoffs finds requests that reached targets in the rest that these had asked for: none may.
func (f *backoffFleet) checkBackoffs() {
	f.t.Helper()
	for _, m := range f.backoffTargets {
		violations, maxRequests := 0, 0
		for _, period := range m.backoffPeriods() {
			n := m.countBetween(period.from.Add(backoffGrace), period.until)
			maxRequests = max(maxRequests, n)
			if n > maxRequestsInBackoff {
				violations++
			}
		}
		if maxRequests > 0 {
			f.t.Errorf("%s asked for rest %d times and got up to %d requests in such a time; %d times more than %d", m.name, len(m.backoffPeriods()), maxRequests, violations, maxRequestsInBackoff)
		}
	}
}

// count counts the answers for which something holds.
func count(responses []backoffResponse, holds func(a backoffResponse) bool) int {
	n := 0
	for _, a := range responses {
		if holds(a) {
			n++
		}
	}
	return n
}

// TestRespectsBackoff guards against requests to a target in the rest that it asked the instance for.
func TestRespectsBackoff(t *testing.T) {
	const (
		every = 20 * time.Millisecond
		slow  = 400 * time.Millisecond
	)
	isOK := func(a backoffResponse) bool { return a.status == http.StatusOK && a.complete }
	cases := []struct {
		name    string
		scripts []responseScript
		play    func(is *is.I, f *backoffFleet)
	}{
		{"the others fail at times", []responseScript{overloadedUntil(7*time.Second, 3*time.Second), failEvery(3), failEvery(3)}, func(is *is.I, f *backoffFleet) {
			f.sendLoad(pathSafe, every, 8*time.Second)
		}},
		{"the other one fails always", []responseScript{overloadedUntil(7*time.Second, 3*time.Second), failEvery(1)}, func(is *is.I, f *backoffFleet) {
			for _, a := range f.sendLoad(pathSafe, every, 6*time.Second) {
				if a.at > 200*time.Millisecond && a.at < 2900*time.Millisecond {
					is.Equal(a.status, http.StatusInternalServerError) // the target's own failure, not ours
				}
			}
		}},
		{"a success was under way", []responseScript{func(since time.Duration, n int, body string) scriptedResponse {
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
			responses := f.sendLoad(pathSafe, every/10, 2*time.Second) // one target is too few for these
			is.Equal(count(responses, isOK), len(responses))
		}},
		{"a shorter rest after a longer one", []responseScript{func(since time.Duration, n int, body string) scriptedResponse {
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
		{"all targets ask", []responseScript{overloadedUntil(4*time.Second, 2*time.Second), overloadedUntil(4*time.Second, 2*time.Second), overloadedUntil(4*time.Second, 2*time.Second)}, func(is *is.I, f *backoffFleet) {
			responses := f.sendLoad(pathSafe, every, 8*time.Second)
			for _, a := range responses {
				if a.at < 200*time.Millisecond || a.at > 1900*time.Millisecond {
					continue
				}
				is.True(a.isBackoffRefusal())
				is.True(a.duration < 50*time.Millisecond) // nothing is held
				is.True(a.retryAfter >= retryAfterShort)
				is.True(a.retryAfter <= 1500*time.Millisecond)
			}
			is.Equal(count(responses[len(responses)-50:], isOK), 50)
		}},
		{"the only target", []responseScript{overloadedUntil(time.Second, 2*time.Second)}, func(is *is.I, f *backoffFleet) {
			responses := f.sendLoad(pathSafe, every, 4*time.Second)
			is.True(count(responses, backoffResponse.isBackoffRefusal) > 80)
			is.Equal(count(responses[len(responses)-50:], isOK), 50)
		}},
		{"the target starts again", []responseScript{overloadedUntil(500*time.Millisecond, 20*time.Second)}, func(is *is.I, f *backoffFleet) {
			f.send(0, pathSafe, "x")
			f.checkBackoffs()
			f.backoffTargets[0].stop()
			time.Sleep(time.Second)
			f.backoffTargets[0].start()
			time.Sleep(time.Second)
			responses := f.sendLoad(pathSafe, every, time.Second)
			is.Equal(count(responses, isOK), len(responses)) // what another life asked for is no wish of this one
		}},
		{"streams that break", []responseScript{func(time.Duration, int, string) scriptedResponse {
			return scriptedResponse{status: http.StatusOK, duration: runTime, breaksStream: true}
		}, overloadedUntil(5*time.Second, 3*time.Second)}, func(is *is.I, f *backoffFleet) {
			f.sendLoad(pathStream, every, 4*time.Second)
		}},
		{"requests that may run once", []responseScript{overloadedUntil(4*time.Second, 2*time.Second), failEvery(2)}, func(is *is.I, f *backoffFleet) {
			f.sendLoad(pathOnce, every, 4*time.Second)
		}},
		{"a request that may run once has run", []responseScript{func(since time.Duration, n int, body string) scriptedResponse {
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
		{"the rest is over", []responseScript{overloadedUntil(time.Second, 2*time.Second), serve, serve}, func(is *is.I, f *backoffFleet) {
			responses := f.sendLoad(pathSafe, 10*time.Millisecond, 8*time.Second)
			is.Equal(count(responses[20:], isOK), len(responses)-20)
			periods := f.backoffTargets[0].backoffPeriods()
			is.True(len(periods) > 0)
			end := periods[len(periods)-1].until
			is.True(f.backoffTargets[0].countBetween(end, end.Add(runTime)) <= 2)           // few at first
			is.True(f.backoffTargets[0].countBetween(end, end.Add(4*time.Second)) > 400/10) // then as before
		}},
		{"the target's entry vanishes and comes back", []responseScript{func(since time.Duration, n int, body string) scriptedResponse {
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
			time.Sleep(30 * time.Second) // all that forgets targets which are gone has run
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
				c.play(is.New(t), f)
			})
		})
	}
}

// receivedAll are the times at which requests came in this life.
func (m *backoffTarget) receivedAll() []time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.received
}

// TestRefusalWithoutBackoff guards against a rest that no target asked for when it turned requests away.
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
		is.True(attempts <= 20) // at most one in 150 ms
	})
}

// TestRequestedBackoffIsPerInstance guards against a rest given by those not asked for it, and not by the one that was.
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

// refusingEngines refuse reports and ask for rest.
type refusingEngines struct {
	Engines
	backoff time.Duration
}

// Report implements Engines.
func (e refusingEngines) Report(context.Context, string, string) (Report, error) {
	return Report{}, &CallError{Call: "report", Status: http.StatusServiceUnavailable, Notice: Notice{Backoff: e.backoff}}
}

// TestReportRequestsBackoff guards against requests to a target that refused a report and asked for rest then.
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

// TestRequestedBackoffOfMostTargets guards against a refusal while a few targets of many, not the first considered, ask for no rest.
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
				f.sendLoad(pathSafe, 20*time.Millisecond, 10*time.Second) // all that are asked first have asked for rest
				responses := f.sendLoad(pathSafe, 50*time.Millisecond, 5*time.Second)
				matching := count(responses, func(a backoffResponse) bool { return a.status == status })
				is.Equal(matching, len(responses))
				f.checkBackoffs()
			})
		})
	}
}

// isCandidate says whether a target is among those that the first instance considers for a
// request before it looks at all.
func (f *backoffFleet) isCandidate(name string) bool {
	return slices.ContainsFunc(f.gateways[0].view.Load().Candidates["s"], func(t *catalog.Target) bool { return t.Name == name })
}

// TestRequestedBackoffIsLogged guards against a log that says nothing of a wish for rest, or a line for each refusal.
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
	is.Equal(len(lines.Entries), 2) // it changes nothing
	now = now.Add(time.Minute)
	g.applyNotice(target, Notice{Backoff: time.Millisecond}, registry.Source{Channel: string(fromReport)})
	is.Equal(len(lines.Entries), 3) // a new one, however short
	is.Equal(lines.Entries[2].Fields.Get("from"), "report")
}
