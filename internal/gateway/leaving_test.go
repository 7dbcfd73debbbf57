package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// leavingBound is the time after which no request may be sent to a target that has said that it
// leaves, by an instance that passed such an answer on.
const leavingBound = 2 * time.Second

// Headers and paths of the dialect.
const (
	leavingHeader     = "Leaving"
	notExecutedHeader = "Not-Run"
	retryAfterHeader  = "Retry-After"
)

// leavingCodec is a dialect whose targets say in their answers that they leave.
type leavingCodec struct{ trafficCodec }

// DecodeConfig implements Codec.
func (leavingCodec) DecodeConfig(value []byte) (*catalog.Config, error) {
	return configWithStreams(value, 8*time.Second, 2)
}

// ParseResponse implements Codec.
func (leavingCodec) ParseResponse(_ int, h http.Header) TargetResponse {
	return TargetResponse{ID: h.Get(trafficID), Signed: true, NotExecuted: h.Get(notExecutedHeader) != "", Notice: Notice{Leaving: h.Get(leavingHeader) == "1"}}
}

// ProblemHeader implements Codec.
func (leavingCodec) ProblemHeader(h http.Header, _ string, retryAfter time.Duration) {
	if retryAfter > 0 {
		h.Set(retryAfterHeader, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
}

// leavingTarget is a target that says in its answers that it leaves.
type leavingTarget struct {
	f    *leavingFleet
	name string
	zone string

	mu                   sync.Mutex
	srv                  *http.Server
	startedAt            int64 // Unix ms of its life's start; 0: its entry does not tell
	leaving              bool
	handler              func(w http.ResponseWriter, r *http.Request, leaves bool) // nil: with its name
	firstLeavingResponse map[string]time.Time                                      // when it first said so to an instance
	lastRequestSent      map[string]time.Time                                      // when the last request that came by an instance was sent
	requestCounts        map[string]int                                            // requests that came by an instance
}

// start begins a life, with an entry of its own.
func (s *leavingTarget) start() {
	ln, err := s.f.net.listen(s.name + ":1")
	if err != nil {
		s.f.t.Fatal(err)
	}
	srv := &http.Server{Handler: s}
	s.mu.Lock()
	s.srv, s.leaving = srv, false
	if !s.f.noStartTime {
		s.startedAt = time.Now().UnixMilli()
	}
	s.firstLeavingResponse, s.lastRequestSent, s.requestCounts = map[string]time.Time{}, map[string]time.Time{}, map[string]int{}
	s.mu.Unlock()
	go func() { _ = srv.Serve(ln) }() // it ends with the life
	s.writeEntry(false)
}

// stop ends the life; its address refuses connections.
func (s *leavingTarget) stop() {
	s.f.closeListeners(s.name + ":1")
	s.mu.Lock()
	srv := s.srv
	s.mu.Unlock()
	srv.Close()
}

// writeEntry writes the target's entry.
func (s *leavingTarget) writeEntry(leaving bool) {
	s.f.store.set(memoryTargets, s.name, catalog.Target{Service: "s", Address: s.name + ":1", Zone: s.zone, Start: s.startedAt, Leaving: leaving,
		Models: []catalog.ModelVersion{{Model: "m", Version: 1}}})
}

// startLeaving has all answers from now on say so.
func (s *leavingTarget) startLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// setHandler replaces how requests are answered.
func (s *leavingTarget) setHandler(f func(w http.ResponseWriter, r *http.Request, leaves bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handler = f
}

// resetCounts drops what was noted of requests.
func (s *leavingTarget) resetCounts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.firstLeavingResponse)
	clear(s.lastRequestSent)
	clear(s.requestCounts)
}

// requestsExceptFrom is how many requests came by instances, but one of them.
func (s *leavingTarget) requestsExceptFrom(except string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for instance, received := range s.requestCounts {
		if instance != except {
			n += received
		}
	}
	return n
}

// requestsFrom is how many came by one instance.
func (s *leavingTarget) requestsFrom(instance string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestCounts[instance]
}

// ServeHTTP implements http.Handler.
func (s *leavingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // its caller is gone
	}
	instance, sentAt, _ := strings.Cut(string(body), " ")
	ns, err := strconv.ParseInt(sentAt, 10, 64)
	if err != nil {
		s.f.t.Error(err)
	}
	s.mu.Lock()
	s.requestCounts[instance]++
	if sent := time.Unix(0, ns); sent.After(s.lastRequestSent[instance]) {
		s.lastRequestSent[instance] = sent
	}
	s.mu.Unlock()
	time.Sleep(runTime)
	w.Header().Set(trafficID, r.Header.Get(trafficID))
	s.mu.Lock()
	leaving, handler := s.leaving, s.handler
	if _, announced := s.firstLeavingResponse[instance]; leaving && !announced {
		s.firstLeavingResponse[instance] = time.Now()
	}
	s.mu.Unlock()
	if leaving {
		w.Header().Set(leavingHeader, "1")
	}
	if handler != nil {
		handler(w, r, leaving)
		return
	}
	_, _ = io.WriteString(w, s.name) // a caller that is gone needs no answer
}

// lateSenders lists the instances by which the target was sent requests later than bound after it had
// first told them that it leaves; together: after it had first told any.
func (s *leavingTarget) lateSenders(bound time.Duration, byAny bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var first time.Time
	for _, at := range s.firstLeavingResponse {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	var out []string
	for instance, sent := range s.lastRequestSent {
		announced := s.firstLeavingResponse[instance]
		if byAny {
			announced = first
		}
		if !announced.IsZero() && sent.Sub(announced) > bound {
			out = append(out, fmt.Sprintf("%s %v", instance, sent.Sub(announced)))
		}
	}
	return out
}

// leavingFleet is a fleet before targets that say in their answers that they leave.
type leavingFleet struct {
	*trafficFleet
	leavingTargets  []*leavingTarget
	noStartTime     bool // the targets' entries don't tell when their lives started
	pendingRequests sync.WaitGroup

	mu     sync.Mutex
	failed int
}

// newLeavingFleet starts n instances and some targets in two zones.
func newLeavingFleet(t *testing.T, n, targets int) *leavingFleet {
	return newFleetWithoutStartTimes(t, n, targets, false)
}

// newFleetWithoutStartTimes is newLeavingFleet with targets whose entries don't tell their starts.
func newFleetWithoutStartTimes(t *testing.T, n, targets int, noStartTime bool) *leavingFleet {
	f := &leavingFleet{trafficFleet: newFleetWith(t, n, 2, 0, fleetOptions{codec: leavingCodec{}}), noStartTime: noStartTime}
	for i := range targets {
		s := &leavingTarget{f: f, name: fmt.Sprintf("t-%02d", i), zone: fmt.Sprintf("z%d", i%2)}
		f.leavingTargets = append(f.leavingTargets, s)
		s.start()
	}
	time.Sleep(time.Second)
	return f
}

func (f *leavingFleet) end() {
	f.pendingRequests.Wait()
	for _, s := range f.leavingTargets {
		s.stop()
	}
	f.stop()
}

// sendOne sends a request to an instance.
func (f *leavingFleet) sendOne(i int, path string) trafficResponse {
	name := fmt.Sprintf("e-%03d", i)
	return f.requestAt(name+":1", path, name+" "+strconv.FormatInt(time.Now().UnixNano(), 10))
}

// sendLoad sends requests to instances in turn for a while, and returns when all are sent.
func (f *leavingFleet) sendLoad(instances []int, path string, every, duration time.Duration) {
	for i := 0; time.Duration(i)*every < duration; i++ {
		f.pendingRequests.Add(1)
		go func() {
			defer f.pendingRequests.Done()
			if f.sendOne(instances[i%len(instances)], path).status != http.StatusOK {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.failed++
			}
		}()
		time.Sleep(every)
	}
}

// failures is how many of these were not served.
func (f *leavingFleet) failures() int {
	f.pendingRequests.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failed
}

// allInstances are the instances.
func (f *leavingFleet) allInstances() []int {
	out := make([]int, len(f.gateways))
	for i := range out {
		out[i] = i
	}
	return out
}

// refuseIfLeaving answers that the request did not run, once the target leaves.
func refuseIfLeaving(w http.ResponseWriter, _ *http.Request, leaves bool) {
	if leaves {
		w.Header().Set(notExecutedHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// failSomeIfLeaving answers every eighth request with a failure, once the target leaves.
func failSomeIfLeaving() func(http.ResponseWriter, *http.Request, bool) {
	var mu sync.Mutex
	n := 0
	return func(w http.ResponseWriter, _ *http.Request, leaves bool) {
		mu.Lock()
		defer mu.Unlock()
		if n++; leaves && n%8 == 0 {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}
}

// Streams of the targets.
const (
	streamEvents = 15
	streamGap    = 200 * time.Millisecond // the whole lasts longer than leavingBound
)

// streamAll answers with a stream.
func streamAll(w http.ResponseWriter, _ *http.Request, _ bool) { writeEvents(w, streamEvents) }

// breakStream breaks a stream off in the middle.
func breakStream(w http.ResponseWriter, _ *http.Request, _ bool) {
	writeEvents(w, streamEvents/2)
	panic(http.ErrAbortHandler)
}

func writeEvents(w http.ResponseWriter, n int) {
	for i := range n {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1) // a caller that is gone needs no answer
		_ = http.NewResponseController(w).Flush()
		time.Sleep(streamGap)
	}
}

// TestLeavingByOwnNotice guards against requests to a target that has said that it leaves, whatever its entry says.
func TestLeavingByOwnNotice(t *testing.T) {
	const every = 5 * time.Millisecond
	silenceStore := func(f *leavingFleet) { f.silenceStore(true) }
	cases := []struct {
		name     string
		n        int
		path     string
		every    time.Duration
		answers  func(http.ResponseWriter, *http.Request, bool)
		before   func(f *leavingFleet)                   // right before the target's first word
		after    func(f *leavingFleet, s *leavingTarget) // while requests come
		unborn   bool                                    // starts are not told
		failures bool                                    // some may fail: targets break them, or the retry budget is used up
	}{
		{name: "the store is well, and the entry says ready", n: 3},
		{name: "the store is silent", n: 3, before: silenceStore},
		{name: "the store is silent to a large fleet", n: 40, before: silenceStore},
		{name: "one instance alone", n: 1, before: silenceStore},
		{name: "requests that run once", n: 3, path: pathOnce, before: silenceStore},
		{name: "it refuses", n: 3, answers: refuseIfLeaving, before: silenceStore, failures: true},
		{name: "it fails at times", n: 3, path: pathOnce, answers: failSomeIfLeaving(), before: silenceStore, failures: true},
		{name: "streams that last longer than the bound", n: 3, path: pathStream, every: 40 * time.Millisecond, answers: streamAll, before: silenceStore},
		{name: "streams that break and go on elsewhere", n: 3, path: pathStream, every: 40 * time.Millisecond, answers: streamAll, failures: true, before: func(f *leavingFleet) {
			f.silenceStore(true)
			f.leavingTargets[1].setHandler(breakStream)
		}},
		{name: "the entry is written again, as ready", n: 3, after: func(_ *leavingFleet, s *leavingTarget) { s.writeEntry(false) }},
		{name: "the entry says it, and is written again as ready", n: 3, before: func(f *leavingFleet) { f.leavingTargets[0].writeEntry(true) },
			after: func(_ *leavingFleet, s *leavingTarget) { s.writeEntry(false) }},
		{name: "the entry vanishes and returns", n: 3, after: func(f *leavingFleet, s *leavingTarget) {
			f.store.remove(memoryTargets, s.name)
			time.Sleep(500 * time.Millisecond)
			s.writeEntry(false)
		}},
		{name: "starts are not told", n: 3, unborn: true, before: silenceStore},
		{name: "starts are not told, and the entry vanishes and returns", n: 3, unborn: true, after: func(f *leavingFleet, s *leavingTarget) {
			f.store.remove(memoryTargets, s.name)
			time.Sleep(2 * time.Second)
			s.writeEntry(false)
		}},
		{name: "the entry can't be read for a while", n: 3, after: func(f *leavingFleet, s *leavingTarget) {
			f.store.set(memoryTargets, s.name, "no entry")
			time.Sleep(500 * time.Millisecond)
			s.writeEntry(false)
		}},
		{name: "history is lost", n: 3, after: func(f *leavingFleet, s *leavingTarget) {
			f.store.truncateHistory()
			s.writeEntry(false)
		}},
		{name: "the store returns", n: 3, before: silenceStore, after: func(f *leavingFleet, s *leavingTarget) {
			f.silenceStore(false)
			time.Sleep(500 * time.Millisecond)
			s.writeEntry(false)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleetWithoutStartTimes(t, c.n, 3, c.unborn)
				defer f.end()
				path, interval := c.path, c.every
				if path == "" {
					path = pathSafe
				}
				if interval == 0 {
					interval = every
				}
				for _, s := range f.leavingTargets {
					s.setHandler(c.answers)
				}
				s := f.leavingTargets[0]
				f.sendLoad(f.allInstances(), path, interval, time.Second)
				if s.requestsExceptFrom("") == 0 {
					t.Error("the target was not used")
				}
				s.startLeaving()
				if c.before != nil {
					c.before(f)
				}
				f.sendLoad(f.allInstances(), path, interval, time.Second)
				if c.after != nil {
					c.after(f, s)
				}
				f.sendLoad(f.allInstances(), path, interval, 3*leavingBound)
				if lateSenders := s.lateSenders(leavingBound, true); len(lateSenders) > 0 {
					t.Errorf("requests were sent to it after it had said that it leaves: %v", lateSenders)
				}
				if n := f.failures(); n > 0 && !c.failures {
					t.Errorf("%d requests were not served", n)
				}
			})
		})
	}
}

// TestLeavingByPeerReport guards against requests to a target that has said that it leaves to another instance only.
func TestLeavingByPeerReport(t *testing.T) {
	startWithoutStore := func(f *leavingFleet) { f.storeClients[f.addInstance()].setSilent(true) }
	cases := []struct {
		name   string
		n      int
		unborn bool                  // starts are not told
		more   func(f *leavingFleet) // instances that start after the word
	}{
		{"a small fleet", 3, false, nil},
		{"a large fleet", 40, false, nil},
		{"starts are not told", 40, true, nil},
		{"an instance starts, and the store answers it", 3, false, func(f *leavingFleet) {
			f.silenceStore(false)
			f.addInstance()
		}},
		{"an instance starts, and only peers can tell it", 3, false, startWithoutStore},
		{"an instance starts, only peers can tell it, and starts are not told", 3, true, startWithoutStore},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleetWithoutStartTimes(t, c.n, 3, c.unborn)
				defer f.end()
				f.silenceStore(true)
				f.leavingTargets[0].startLeaving()
				f.sendLoad([]int{0}, pathSafe, 10*time.Millisecond, time.Second)
				is.True(f.leavingTargets[0].requestsExceptFrom("") > 0)
				if c.more != nil {
					c.more(f)
					time.Sleep(2 * time.Second) // it knows the targets
				}
				f.sendLoad(f.allInstances(), pathSafe, 5*time.Millisecond, leavingBound)
				is.Equal(f.leavingTargets[0].requestsExceptFrom("e-000"), 0)
				is.Equal(f.failures(), 0)
			})
		})
	}
}

// TestLeavingAfterInstanceRestart guards against instances that have just started going on after the first such answer.
func TestLeavingAfterInstanceRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLeavingFleet(t, 3, 3)
		defer f.end()
		f.leavingTargets[0].startLeaving()
		f.restartAll()
		time.Sleep(time.Second)
		f.leavingTargets[0].resetCounts()
		f.sendLoad(f.allInstances(), pathSafe, 5*time.Millisecond, 3*leavingBound)
		is.True(f.leavingTargets[0].requestsExceptFrom("") > 0)
		is.Equal(f.leavingTargets[0].lateSenders(leavingBound, false), nil)
	})
}

// TestNewIncarnationAfterLeaving guards against a target's next life being left out for what the one before said.
func TestNewIncarnationAfterLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLeavingFleet(t, 3, 3)
		defer f.end()
		s := f.leavingTargets[0]
		s.startLeaving()
		f.sendLoad(f.allInstances(), pathSafe, 5*time.Millisecond, time.Second)
		s.stop()
		time.Sleep(100 * time.Millisecond)
		s.start()
		time.Sleep(time.Second)
		f.sendLoad(f.allInstances(), pathSafe, 5*time.Millisecond, time.Second)
		for _, g := range f.gateways {
			is.True(s.requestsFrom(g.settings().Name) > 0)
		}
	})
}

// TestWrongResponseCarriesNotice guards against a target being left out for good by another request's answer.
func TestWrongResponseCarriesNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLeavingFleet(t, 1, 2)
		defer f.end()
		s := f.leavingTargets[0]
		var once sync.Once
		s.setHandler(func(w http.ResponseWriter, _ *http.Request, _ bool) {
			once.Do(func() {
				w.Header().Set(trafficID, "another")
				w.Header().Set(leavingHeader, "1")
			})
		})
		f.sendLoad(f.allInstances(), pathSafe, 5*time.Millisecond, time.Second)
		s.resetCounts()
		f.sendLoad(f.allInstances(), pathSafe, 5*time.Millisecond, time.Second)
		is.True(s.requestsExceptFrom("") > 0)
	})
}

// TestLeavingOfAllTargets guards against requests that wait, or run, where all targets have said that they leave.
func TestLeavingOfAllTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLeavingFleet(t, 3, 3)
		defer f.end()
		f.silenceStore(true)
		for _, s := range f.leavingTargets {
			s.startLeaving()
		}
		f.sendLoad(f.allInstances(), pathSafe, 5*time.Millisecond, time.Second)
		f.pendingRequests.Wait()
		for _, s := range f.leavingTargets {
			s.resetCounts()
		}
		for i := range 6 {
			start := time.Now()
			conn := f.dialCaller(i % 3)
			body := fmt.Sprintf("e-%03d %d", i%3, start.UnixNano())
			_, err := fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: %s\r\n%s: all-%d\r\n%s: key\r\nContent-Length: %d\r\n\r\n%s", pathOnce, anyHost, trafficID, i, trafficKey, len(body), body)
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			is.True(resp.Header.Get(retryAfterHeader) != "")
			data, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.True(strings.Contains(string(data), `"not-run"`))
			is.True(time.Since(start) < 50*time.Millisecond)
		}
		for _, s := range f.leavingTargets {
			is.Equal(s.requestsExceptFrom(""), 0)
		}
	})
}

// TestStreamAtLeavingTarget guards against a stream being cut as its target says that it leaves.
func TestStreamAtLeavingTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLeavingFleet(t, 3, 1)
		defer f.end()
		s := f.leavingTargets[0]
		s.setHandler(streamAll)
		got := make(chan trafficResponse, 1)
		go func() { got <- f.sendOne(0, pathStream) }()
		time.Sleep(time.Second)
		s.setHandler(nil)
		s.startLeaving()
		f.sendLoad([]int{0}, pathSafe, 50*time.Millisecond, time.Second)
		a := <-got
		is.Equal(a.status, http.StatusOK)
		is.Equal(strings.Count(a.body, "id: "), streamEvents)
	})
}

// TestLeavingIsNoCrash guards against the end of a target that said that it leaves being taken for a crash.
func TestLeavingIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLeavingFleet(t, 3, 3)
		defer f.end()
		f.silenceStore(true)
		s := f.leavingTargets[0]
		s.setHandler(streamAll)
		var requests sync.WaitGroup
		for i := range 9 {
			requests.Add(1)
			go func() {
				defer requests.Done()
				f.sendOne(i%3, pathStream)
			}()
		}
		time.Sleep(500 * time.Millisecond)
		is.True(s.requestsExceptFrom("") > 0)
		s.setHandler(nil)
		s.startLeaving()
		f.sendLoad(f.allInstances(), pathSafe, 5*time.Millisecond, time.Second)
		s.stop()
		requests.Wait()
		time.Sleep(time.Second)
		for _, g := range f.gateways {
			is.True(g.quarantine.Empty())
		}
	})
}

// leavingEngines are targets whose reports say that they leave.
type leavingEngines struct {
	Engines
	startedAt int64
}

// Report implements Engines.
func (e leavingEngines) Report(context.Context, string, string) (Report, error) {
	return Report{Start: e.startedAt, Models: []catalog.ModelVersion{{Model: "m", Version: 1}}, Notice: Notice{Leaving: true}}, nil
}

// TestLeavingByOwnReport guards against requests, and loads, for a target whose report says that it leaves.
func TestLeavingByOwnReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLeavingFleet(t, 3, 3)
		defer f.end()
		s := f.leavingTargets[0]
		target := f.gateways[0].view.Load().Targets[catalog.Target{Name: s.name, Start: s.startedAt}.WithID().ID]
		f.gateways[0].engines = leavingEngines{startedAt: s.startedAt}
		_, err := f.gateways[0].rollout.fetchReport(t.Context(), target)
		is.NoErr(err)
		time.Sleep(time.Second)
		f.sendLoad(f.allInstances(), pathSafe, 5*time.Millisecond, time.Second)
		is.Equal(s.requestsExceptFrom(""), 0)
		is.Equal(f.failures(), 0)
	})
}

// TestReportOfAnotherIncarnation guards against a target being left out for what another of its lives reports.
func TestReportOfAnotherIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLeavingFleet(t, 1, 2)
		defer f.end()
		s := f.leavingTargets[0]
		target := f.gateways[0].view.Load().Targets[catalog.Target{Name: s.name, Start: s.startedAt}.WithID().ID]
		f.gateways[0].engines = leavingEngines{startedAt: s.startedAt - 1000}
		_, err := f.gateways[0].rollout.fetchReport(t.Context(), target)
		is.True(err != nil)
		time.Sleep(time.Second)
		f.sendLoad(f.allInstances(), pathSafe, 5*time.Millisecond, time.Second)
		is.True(s.requestsExceptFrom("") > 0)
	})
}
