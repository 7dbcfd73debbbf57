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
	restWanted = "Rest-Wanted"
	restNotRun = "Not-Run"
	restRetry  = "Retry-After-Seconds"
)

// restCodec is the dialect of targets that ask for rest.
type restCodec struct{ trafficCodec }

// Config implements Codec.
func (restCodec) Config(value []byte) (*catalog.Config, error) {
	return configWithStreams(value, 4*time.Second, 3)
}

// ReadAnswer implements Codec.
func (restCodec) ReadAnswer(_ int, h http.Header) Answer {
	a := Answer{ID: h.Get(trafficID), Signed: true, NotRun: h.Get(restNotRun) != ""}
	if d, err := time.ParseDuration(h.Get(restWanted)); err == nil {
		a.RetryAfter, a.Word.Rest = d, d
	}
	return a
}

// RefuseHeader implements Codec.
func (restCodec) RefuseHeader(h http.Header, _ string, retryAfter time.Duration) {
	h.Set(restRetry, strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
}

// restReply is how a target answers one request.
type restReply struct {
	status int
	notRun bool
	rest   time.Duration // asked for; 0: none
	takes  time.Duration
	breaks bool // a stream that breaks behind its first event
}

// restScript says how a target answers its n-th request, at a time since the play began.
type restScript func(since time.Duration, n int, body string) restReply

func served(time.Duration, int, string) restReply {
	return restReply{status: http.StatusOK, takes: runTime}
}

// askingUntil turns all away and asks for rest each time, until an end; then it serves.
func askingUntil(end, rest time.Duration) restScript {
	return func(since time.Duration, n int, body string) restReply {
		if since < end {
			return restReply{status: http.StatusServiceUnavailable, notRun: true, rest: rest}
		}
		return served(since, n, body)
	}
}

// failing fails every k-th request.
func failing(k int) restScript {
	return func(since time.Duration, n int, body string) restReply {
		if n%k == 0 {
			return restReply{status: http.StatusInternalServerError, takes: runTime}
		}
		return served(since, n, body)
	}
}

// askedRest is one wish of a target.
type askedRest struct {
	at, until time.Time
}

// restTarget is a target that answers by a script and notes what reaches it.
type restTarget struct {
	f      *restFleet
	name   string
	script restScript

	mu      sync.Mutex
	srv     *http.Server
	born    int64
	reached []time.Time // in this life
	asked   []askedRest // in this life
}

// start begins a life of the target.
func (m *restTarget) start() {
	ln, err := m.f.net.listen(m.name + ":1")
	if err != nil {
		m.f.t.Fatal(err)
	}
	srv := &http.Server{Handler: m}
	m.mu.Lock()
	m.srv, m.born, m.reached, m.asked = srv, time.Now().UnixMilli(), nil, nil
	m.mu.Unlock()
	go func() { _ = srv.Serve(ln) }() // it ends with the target
	m.enter()
}

// enter writes the entry of the target's life.
func (m *restTarget) enter() {
	m.mu.Lock()
	born := m.born
	m.mu.Unlock()
	m.f.store.set(memoryTargets, m.name, catalog.Target{Service: "s", Address: m.name + ":1", Zone: "z0", Start: born})
}

// end ends the life.
func (m *restTarget) end() {
	m.f.unlisten(m.name + ":1")
	m.srv.Close()
}

// note takes note of a request and returns its number in this life.
func (m *restTarget) note() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reached = append(m.reached, time.Now())
	return len(m.reached)
}

func (m *restTarget) ask(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asked = append(m.asked, askedRest{at: time.Now(), until: time.Now().Add(d)})
}

// wishes are the rests asked for in this life.
func (m *restTarget) wishes() []askedRest {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.asked
}

// between counts the requests of this life that came in a span of time.
func (m *restTarget) between(from, to time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, at := range m.reached {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// ServeHTTP answers by the script.
func (m *restTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := m.note()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // its caller is gone
	}
	reply := m.script(time.Since(m.f.began), n, string(body))
	time.Sleep(reply.takes)
	h := w.Header()
	h.Set(trafficID, r.Header.Get(trafficID))
	if reply.notRun {
		h.Set(restNotRun, "1")
	}
	if reply.rest > 0 {
		m.ask(reply.rest)
		h.Set(restWanted, reply.rest.String())
	}
	w.WriteHeader(reply.status)
	if !reply.breaks {
		fmt.Fprintf(w, "id: 1\ndata: %s\n\n", m.name)
		return
	}
	fmt.Fprint(w, "id: 1\ndata: x\n\n")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// restFleet is a fleet before targets that ask for rest.
type restFleet struct {
	*trafficFleet
	asking []*restTarget
	began  time.Time // of the play
}

func newRestFleet(t *testing.T, n int, scripts ...restScript) *restFleet {
	f := &restFleet{trafficFleet: newFleetWith(t, n, 1, 0, fleetOptions{codec: restCodec{}})}
	for i, s := range scripts {
		m := &restTarget{f: f, name: fmt.Sprintf("t-%02d", i), script: s}
		f.asking = append(f.asking, m)
		m.start()
	}
	time.Sleep(2 * time.Second)
	f.began = time.Now()
	return f
}

func (f *restFleet) end() {
	for _, m := range f.asking {
		m.end()
	}
	f.stop()
}

// restAnswer is what a caller got.
type restAnswer struct {
	status   int // 0: none
	body     string
	whole    bool
	retry    time.Duration // when to come back
	at, took time.Duration // at since the play began
}

// ours says whether the request was refused by the instance since targets rest.
func (a restAnswer) ours() bool {
	return a.status == http.StatusServiceUnavailable && strings.Contains(a.body, `"not-run"`) && strings.Contains(a.body, "asked for rest")
}

// send sends one request to instance i.
func (f *restFleet) send(i int, path, body string) restAnswer {
	ctx, cancel := context.WithTimeout(f.t.Context(), 5*time.Second)
	defer cancel()
	began := time.Now()
	a := restAnswer{at: began.Sub(f.began)}
	conn, err := f.net.dialFrom("caller")(ctx, "memory", f.gates[i].CallerAddr())
	if err != nil {
		return a
	}
	defer conn.Close()
	f.net.mu.Lock()
	f.seq++
	id := fmt.Sprintf("r-%d", f.seq)
	f.net.mu.Unlock()
	request := fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: key\r\nContent-Length: %d\r\n\r\n%s", path, hostAll, trafficID, id, trafficKey, len(body), body)
	if _, err := io.WriteString(conn, request); err != nil {
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a.status, a.body, a.whole, a.took = resp.StatusCode, string(data), err == nil, time.Since(began)
	if s, err := strconv.ParseFloat(resp.Header.Get(restRetry), 64); err == nil {
		a.retry = time.Duration(s * float64(time.Second))
	}
	return a
}

// press sends requests to the first instance for some time, and returns their answers in the
// order in which they were sent.
func (f *restFleet) press(path string, every, during time.Duration) []restAnswer {
	answers := make([]restAnswer, during/every)
	var all sync.WaitGroup
	for i := range answers {
		all.Go(func() { answers[i] = f.send(0, path, "x") })
		time.Sleep(every)
	}
	all.Wait()
	return answers
}

// grace is how long after a refusal requests may still come, and borneInRest how many in the
// rest of the time.
const (
	grace       = 500 * time.Millisecond
	borneInRest = 2
)

// check finds requests that reached targets in the rest that these had asked for: none may.
func (f *restFleet) check() {
	f.t.Helper()
	for _, m := range f.asking {
		broken, most := 0, 0
		for _, a := range m.wishes() {
			n := m.between(a.at.Add(grace), a.until)
			most = max(most, n)
			if n > borneInRest {
				broken++
			}
		}
		if most > 0 {
			f.t.Errorf("%s asked for rest %d times and got up to %d requests in such a time; %d times more than %d", m.name, len(m.wishes()), most, broken, borneInRest)
		}
	}
}

// count counts the answers for which something holds.
func count(answers []restAnswer, holds func(a restAnswer) bool) int {
	n := 0
	for _, a := range answers {
		if holds(a) {
			n++
		}
	}
	return n
}

// TestRestIsGiven guards against requests to a target in the rest that it asked the instance for.
func TestRestIsGiven(t *testing.T) {
	const (
		every = 20 * time.Millisecond
		slow  = 400 * time.Millisecond
	)
	isOK := func(a restAnswer) bool { return a.status == http.StatusOK && a.whole }
	cases := []struct {
		name    string
		scripts []restScript
		play    func(is *is.I, f *restFleet)
	}{
		{"the others fail at times", []restScript{askingUntil(7*time.Second, 3*time.Second), failing(3), failing(3)}, func(is *is.I, f *restFleet) {
			f.press(pathSafe, every, 8*time.Second)
		}},
		{"the other one fails always", []restScript{askingUntil(7*time.Second, 3*time.Second), failing(1)}, func(is *is.I, f *restFleet) {
			for _, a := range f.press(pathSafe, every, 6*time.Second) {
				if a.at > 200*time.Millisecond && a.at < 2900*time.Millisecond {
					is.Equal(a.status, http.StatusInternalServerError) // the target's own failure, not ours
				}
			}
		}},
		{"a success was under way", []restScript{func(since time.Duration, n int, body string) restReply {
			if body == "slow" {
				return restReply{status: http.StatusOK, takes: slow}
			}
			return askingUntil(slow/2, 3*time.Second)(since, n, body)
		}, served}, func(is *is.I, f *restFleet) {
			var all sync.WaitGroup
			defer all.Wait()
			for len(f.asking[0].reachedAll()) == 0 {
				all.Go(func() { f.send(0, pathSafe, "slow") })
				time.Sleep(every)
			}
			for len(f.asking[0].wishes()) == 0 {
				is.True(time.Since(f.began) < slow/2)
				all.Go(func() { f.send(0, pathSafe, "x") })
				time.Sleep(every / 4)
			}
			answers := f.press(pathSafe, every/10, 2*time.Second) // one target is too few for these
			is.Equal(count(answers, isOK), len(answers))
		}},
		{"a shorter rest after a longer one", []restScript{func(since time.Duration, n int, body string) restReply {
			switch n {
			case 1:
				return restReply{status: http.StatusServiceUnavailable, notRun: true, rest: 4 * time.Second, takes: 50 * time.Millisecond}
			case 2:
				return restReply{status: http.StatusServiceUnavailable, notRun: true, rest: time.Second, takes: 100 * time.Millisecond}
			}
			return served(since, n, body)
		}}, func(is *is.I, f *restFleet) {
			f.press(pathSafe, time.Millisecond, 2*time.Millisecond)
			is.Equal(len(f.asking[0].wishes()), 2)
			f.press(pathSafe, every, 5*time.Second)
		}},
		{"all targets ask", []restScript{askingUntil(4*time.Second, 2*time.Second), askingUntil(4*time.Second, 2*time.Second), askingUntil(4*time.Second, 2*time.Second)}, func(is *is.I, f *restFleet) {
			answers := f.press(pathSafe, every, 8*time.Second)
			for _, a := range answers {
				if a.at < 200*time.Millisecond || a.at > 1900*time.Millisecond {
					continue
				}
				is.True(a.ours())
				is.True(a.took < 50*time.Millisecond) // nothing is held
				is.True(a.retry >= comeBackSoon)
				is.True(a.retry <= 1500*time.Millisecond)
			}
			is.Equal(count(answers[len(answers)-50:], isOK), 50)
		}},
		{"the only target", []restScript{askingUntil(time.Second, 2*time.Second)}, func(is *is.I, f *restFleet) {
			answers := f.press(pathSafe, every, 4*time.Second)
			is.True(count(answers, restAnswer.ours) > 80)
			is.Equal(count(answers[len(answers)-50:], isOK), 50)
		}},
		{"the target starts again", []restScript{askingUntil(500*time.Millisecond, 20*time.Second)}, func(is *is.I, f *restFleet) {
			f.send(0, pathSafe, "x")
			f.check()
			f.asking[0].end()
			time.Sleep(time.Second)
			f.asking[0].start()
			time.Sleep(time.Second)
			answers := f.press(pathSafe, every, time.Second)
			is.Equal(count(answers, isOK), len(answers)) // what another life asked for is no wish of this one
		}},
		{"streams that break", []restScript{func(time.Duration, int, string) restReply {
			return restReply{status: http.StatusOK, takes: runTime, breaks: true}
		}, askingUntil(5*time.Second, 3*time.Second)}, func(is *is.I, f *restFleet) {
			f.press(pathStream, every, 4*time.Second)
		}},
		{"requests that may run once", []restScript{askingUntil(4*time.Second, 2*time.Second), failing(2)}, func(is *is.I, f *restFleet) {
			f.press(pathOnce, every, 4*time.Second)
		}},
		{"a request that may run once has run", []restScript{func(since time.Duration, n int, body string) restReply {
			if n == 1 {
				return restReply{status: http.StatusServiceUnavailable, rest: 2 * time.Second}
			}
			return served(since, n, body)
		}}, func(is *is.I, f *restFleet) {
			a := f.send(0, pathOnce, "x")
			is.Equal(a.status, http.StatusServiceUnavailable)
			is.True(!a.ours())
			answers := f.press(pathOnce, every, 3*time.Second)
			is.True(count(answers, restAnswer.ours) > 90)
			is.Equal(count(answers[len(answers)-40:], isOK), 40)
		}},
		{"the rest is over", []restScript{askingUntil(time.Second, 2*time.Second), served, served}, func(is *is.I, f *restFleet) {
			answers := f.press(pathSafe, 10*time.Millisecond, 8*time.Second)
			is.Equal(count(answers[20:], isOK), len(answers)-20)
			wishes := f.asking[0].wishes()
			is.True(len(wishes) > 0)
			over := wishes[len(wishes)-1].until
			is.True(f.asking[0].between(over, over.Add(runTime)) <= 2)           // few at first
			is.True(f.asking[0].between(over, over.Add(4*time.Second)) > 400/10) // then as before
		}},
		{"the target's entry vanishes and comes back", []restScript{func(since time.Duration, n int, body string) restReply {
			if n == 1 {
				return restReply{status: http.StatusServiceUnavailable, notRun: true, rest: time.Minute}
			}
			return served(since, n, body)
		}, served}, func(is *is.I, f *restFleet) {
			for len(f.asking[0].wishes()) == 0 {
				is.True(time.Since(f.began) < 5*time.Second)
				f.send(0, pathSafe, "x")
			}
			f.store.remove(memoryTargets, f.asking[0].name)
			time.Sleep(30 * time.Second) // all that forgets targets which are gone has run
			f.asking[0].enter()
			time.Sleep(time.Second)
			answers := f.press(pathSafe, every, 5*time.Second)
			is.Equal(count(answers, isOK), len(answers))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newRestFleet(t, 1, c.scripts...)
				defer f.end()
				defer f.check()
				c.play(is.New(t), f)
			})
		})
	}
}

// reachedAll are the times at which requests came in this life.
func (m *restTarget) reachedAll() []time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reached
}

// TestRefusalWithoutRest guards against a rest that no target asked for when it turned requests away.
func TestRefusalWithoutRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRestFleet(t, 1, func(time.Duration, int, string) restReply {
			return restReply{status: http.StatusServiceUnavailable, notRun: true}
		}, served)
		defer f.end()
		f.press(pathSafe, 20*time.Millisecond, 3*time.Second)
		tries := len(f.asking[0].reachedAll())
		is.True(tries >= 5)
		is.True(tries <= 20) // at most one in 150 ms
	})
}

// TestRestIsAskedOfOneInstance guards against a rest given by those not asked for it, and not by the one that was.
func TestRestIsAskedOfOneInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRestFleet(t, 2, func(since time.Duration, n int, body string) restReply {
			if n == 1 {
				return restReply{status: http.StatusServiceUnavailable, notRun: true, rest: 5 * time.Second}
			}
			return served(since, n, body)
		})
		defer f.end()
		f.send(0, pathSafe, "x")
		time.Sleep(time.Second)
		is.Equal(f.send(1, pathSafe, "x").status, http.StatusOK)
		is.True(f.send(0, pathSafe, "x").ours())
	})
}

// refusingEngines refuse reports and ask for rest.
type refusingEngines struct {
	Engines
	rest time.Duration
}

// Report implements Engines.
func (e refusingEngines) Report(context.Context, string, string) (Report, error) {
	return Report{}, &CallError{Call: "report", Status: http.StatusServiceUnavailable, Word: Word{Rest: e.rest}}
}

// TestReportAsksForRest guards against requests to a target that refused a report and asked for rest then.
func TestReportAsksForRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRestFleet(t, 1, served)
		defer f.end()
		g := f.gates[0]
		g.engines = refusingEngines{rest: 2 * time.Second}
		is.Equal(f.send(0, pathSafe, "x").status, http.StatusOK)
		for _, target := range g.view.Load().Targets {
			_, err := g.rollout.report(t.Context(), target)
			is.True(err != nil)
		}
		is.True(f.send(0, pathSafe, "x").ours())
		time.Sleep(2 * time.Second)
		is.Equal(f.send(0, pathSafe, "x").status, http.StatusOK)
	})
}

// TestRestOfMost guards against a refusal while a few targets of many, not the first considered, ask for no rest.
func TestRestOfMost(t *testing.T) {
	const targets, others = 4 * mostCandidates, 2
	for status, script := range map[int]restScript{http.StatusOK: served, http.StatusInternalServerError: failing(1)} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newRestFleet(t, 1, slices.Repeat([]restScript{askingUntil(time.Hour, time.Hour)}, targets)...)
				defer f.end()
				left := others
				for _, m := range f.asking {
					if left > 0 && !f.considered(m.name) {
						m.script, left = script, left-1
					}
				}
				is.Equal(left, 0)
				f.press(pathSafe, 20*time.Millisecond, 10*time.Second) // all that are asked first have asked for rest
				answers := f.press(pathSafe, 50*time.Millisecond, 5*time.Second)
				got := count(answers, func(a restAnswer) bool { return a.status == status })
				is.Equal(got, len(answers))
				f.check()
			})
		})
	}
}

// considered says whether a target is among those that the first instance considers for a
// request before it looks at all.
func (f *restFleet) considered(name string) bool {
	return slices.ContainsFunc(f.gates[0].view.Load().Candidates["s"], func(t *catalog.Target) bool { return t.Name == name })
}

// TestRestLines guards against a log that says nothing of a wish for rest, or a line for each refusal.
func TestRestLines(t *testing.T) {
	is := is.New(t)
	now, lines := time.Unix(0, 0), memory.New()
	clock := func() time.Time { return now }
	g := &Gateway{now: clock, ejected: breaker.New(clock), log: &log.Logger{Handler: lines}}
	target := &catalog.Target{ID: "t@1"}
	for range 40 { // 10 ms apart
		g.hearWord(target, Word{Rest: 3 * time.Second}, registry.Source{Channel: string(fromAnswer), Reporter: "r"})
		now = now.Add(10 * time.Millisecond)
	}
	is.Equal(len(lines.Entries), 2) // the first, and one 300 ms later
	is.Equal(lines.Entries[0].Fields, log.Fields{"target": "t@1", "rest_ms": int64(3000), "until": "1970-01-01T00:00:03Z", "from": "answer", "by": "r"})
	g.hearWord(target, Word{Rest: time.Millisecond}, registry.Source{Channel: string(fromAnswer), Reporter: "r"})
	is.Equal(len(lines.Entries), 2) // it changes nothing
	now = now.Add(time.Minute)
	g.hearWord(target, Word{Rest: time.Millisecond}, registry.Source{Channel: string(fromReport)})
	is.Equal(len(lines.Entries), 3) // a new one, however short
	is.Equal(lines.Entries[2].Fields.Get("from"), "report")
}
