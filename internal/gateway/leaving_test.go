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

// leavingBound is the time after a target's first leaving notice until which all instances that have
// received the notice must have stopped sending it requests.
const leavingBound = 2 * time.Second

// Headers of leavingCodec and its problem responses.
const (
	leavingHeader     = "Leaving"
	notExecutedHeader = "Not-Run"
	retryAfterHeader  = "Retry-After"
)

// leavingCodec is the codec of targets whose responses carry leaving notices.
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

// leavingTarget is a target that announces in its responses that it leaves.
type leavingTarget struct {
	f    *leavingFleet
	name string
	zone string

	mu                   sync.Mutex
	srv                  *http.Server
	startedAt            int64 // start of its incarnation, Unix ms; 0: not in its entry
	leaving              bool
	handler              func(w http.ResponseWriter, r *http.Request, leaving bool) // nil: responds with its name
	firstLeavingResponse map[string]time.Time                                       // time of the first response with a notice, by instance
	lastRequestSent      map[string]time.Time                                       // when the last request received was sent, by instance
	requestCounts        map[string]int                                             // requests received, by instance
}

// start starts a new incarnation and writes its entry.
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
	go func() { _ = srv.Serve(ln) }() // ends with the incarnation
	s.writeEntry(false)
}

// stop ends the incarnation; its address refuses connections from then on.
func (s *leavingTarget) stop() {
	s.f.closeListeners(s.name + ":1")
	s.mu.Lock()
	srv := s.srv
	s.mu.Unlock()
	srv.Close()
}

// writeEntry writes the target's entry, with its leaving flag.
func (s *leavingTarget) writeEntry(leaving bool) {
	s.f.store.set(memoryTargets, s.name, catalog.Target{Service: "s", Address: s.name + ":1", Zone: s.zone, Start: s.startedAt, Leaving: leaving,
		Models: []catalog.ModelVersion{{Model: "m", Version: 1}}})
}

// startLeaving makes all responses from now on carry a leaving notice.
func (s *leavingTarget) startLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// setHandler replaces the handler of requests.
func (s *leavingTarget) setHandler(handler func(w http.ResponseWriter, r *http.Request, leaving bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handler = handler
}

// resetCounts forgets all received requests and the notices sent.
func (s *leavingTarget) resetCounts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.firstLeavingResponse)
	clear(s.lastRequestSent)
	clear(s.requestCounts)
}

// requestsExceptFrom returns how many requests came from all instances except one.
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

// requestsFrom returns how many requests came from an instance.
func (s *leavingTarget) requestsFrom(instance string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestCounts[instance]
}

// ServeHTTP implements http.Handler.
func (s *leavingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller is gone
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
	_, _ = io.WriteString(w, s.name) // fails only if the caller is gone
}

// lateSenders lists the instances that sent requests to the target more than bound after its first notice
// to them, or, with byAny, after its first notice to any instance.
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

// leavingFleet is a fleet with targets that announce in their responses that they leave.
type leavingFleet struct {
	*trafficFleet
	leavingTargets  []*leavingTarget
	noStartTime     bool // the targets' entries have no start times
	pendingRequests sync.WaitGroup

	mu     sync.Mutex
	failed int
}

// newLeavingFleet starts n instances and a number of targets in two zones.
func newLeavingFleet(t *testing.T, n, targets int) *leavingFleet {
	return newLeavingFleetWith(t, n, targets, false)
}

// newLeavingFleetWith is newLeavingFleet, with targets whose entries have no start times if noStartTime
// is set.
func newLeavingFleetWith(t *testing.T, n, targets int, noStartTime bool) *leavingFleet {
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

// sendLoad sends requests to instances in turn for some time, and returns when all are sent.
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

// failures waits for the requests of sendLoad and returns how many were not served.
func (f *leavingFleet) failures() int {
	f.pendingRequests.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failed
}

// allInstances returns the indexes of all instances.
func (f *leavingFleet) allInstances() []int {
	out := make([]int, len(f.gateways))
	for i := range out {
		out[i] = i
	}
	return out
}

// refuseIfLeaving responds that the request was not executed, once the target leaves.
func refuseIfLeaving(w http.ResponseWriter, _ *http.Request, leaving bool) {
	if leaving {
		w.Header().Set(notExecutedHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// failSomeIfLeaving fails every eighth request, once the target leaves.
func failSomeIfLeaving() func(http.ResponseWriter, *http.Request, bool) {
	var mu sync.Mutex
	n := 0
	return func(w http.ResponseWriter, _ *http.Request, leaving bool) {
		mu.Lock()
		defer mu.Unlock()
		if n++; leaving && n%8 == 0 {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}
}

// Streams that targets send.
const (
	streamEvents = 15
	streamGap    = 200 * time.Millisecond // a stream lasts longer than leavingBound
)

// streamAll responds with a complete stream.
func streamAll(w http.ResponseWriter, _ *http.Request, _ bool) { writeEvents(w, streamEvents) }

// breakStream breaks a stream in the middle.
func breakStream(w http.ResponseWriter, _ *http.Request, _ bool) {
	writeEvents(w, streamEvents/2)
	panic(http.ErrAbortHandler)
}

func writeEvents(w http.ResponseWriter, n int) {
	for i := range n {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1) // fails only if the caller is gone
		_ = http.NewResponseController(w).Flush()
		time.Sleep(streamGap)
	}
}

// TestLeavingByOwnNotice guards against requests to a target that has announced in its responses that it
// leaves, whatever its entry says.
func TestLeavingByOwnNotice(t *testing.T) {
	const every = 5 * time.Millisecond
	silenceStore := func(f *leavingFleet) { f.silenceStore(true) }
	cases := []struct {
		name     string
		n        int
		path     string
		every    time.Duration
		handler  func(http.ResponseWriter, *http.Request, bool)
		before   func(f *leavingFleet)                   // right after the target starts to send notices
		after    func(f *leavingFleet, s *leavingTarget) // one second after that; requests continue afterwards
		noStart  bool                                    // entries have no start times
		failures bool                                    // requests may fail: targets break them, or the retry budget is used up
	}{
		{name: "the store is reachable, and the entry says ready", n: 3},
		{name: "the store is silent", n: 3, before: silenceStore},
		{name: "the store is silent, large fleet", n: 40, before: silenceStore},
		{name: "a single instance", n: 1, before: silenceStore},
		{name: "at-most-once requests", n: 3, path: pathOnce, before: silenceStore},
		{name: "the target refuses requests", n: 3, handler: refuseIfLeaving, before: silenceStore, failures: true},
		{name: "the target fails some requests", n: 3, path: pathOnce, handler: failSomeIfLeaving(), before: silenceStore, failures: true},
		{name: "streams longer than the bound", n: 3, path: pathStream, every: 40 * time.Millisecond, handler: streamAll, before: silenceStore},
		{name: "broken streams resumed at another target", n: 3, path: pathStream, every: 40 * time.Millisecond, handler: streamAll, failures: true, before: func(f *leavingFleet) {
			f.silenceStore(true)
			f.leavingTargets[1].setHandler(breakStream)
		}},
		{name: "the entry is rewritten as ready", n: 3, after: func(_ *leavingFleet, s *leavingTarget) { s.writeEntry(false) }},
		{name: "the entry says leaving, and is rewritten as ready", n: 3, before: func(f *leavingFleet) { f.leavingTargets[0].writeEntry(true) },
			after: func(_ *leavingFleet, s *leavingTarget) { s.writeEntry(false) }},
		{name: "the entry is removed and written again", n: 3, after: func(f *leavingFleet, s *leavingTarget) {
			f.store.remove(memoryTargets, s.name)
			time.Sleep(500 * time.Millisecond)
			s.writeEntry(false)
		}},
		{name: "no start times", n: 3, noStart: true, before: silenceStore},
		{name: "no start times, and the entry is removed and written again", n: 3, noStart: true, after: func(f *leavingFleet, s *leavingTarget) {
			f.store.remove(memoryTargets, s.name)
			time.Sleep(2 * time.Second)
			s.writeEntry(false)
		}},
		{name: "the entry is unreadable for a while", n: 3, after: func(f *leavingFleet, s *leavingTarget) {
			f.store.set(memoryTargets, s.name, "no entry")
			time.Sleep(500 * time.Millisecond)
			s.writeEntry(false)
		}},
		{name: "watch history is lost", n: 3, after: func(f *leavingFleet, s *leavingTarget) {
			f.store.truncateHistory()
			s.writeEntry(false)
		}},
		{name: "the store becomes reachable again", n: 3, before: silenceStore, after: func(f *leavingFleet, s *leavingTarget) {
			f.silenceStore(false)
			time.Sleep(500 * time.Millisecond)
			s.writeEntry(false)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newLeavingFleetWith(t, c.n, 3, c.noStart)
				defer f.end()
				path, interval := c.path, c.every
				if path == "" {
					path = pathSafe
				}
				if interval == 0 {
					interval = every
				}
				for _, s := range f.leavingTargets {
					s.setHandler(c.handler)
				}
				s := f.leavingTargets[0]
				f.sendLoad(f.allInstances(), path, interval, time.Second)
				if s.requestsExceptFrom("") == 0 {
					t.Error("the target received no requests before it left")
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
					t.Errorf("requests sent too late after the first leaving notice: %v", lateSenders)
				}
				if n := f.failures(); n > 0 && !c.failures {
					t.Errorf("%d requests were not served", n)
				}
			})
		})
	}
}

// TestLeavingByPeerReport guards against requests to a target that has announced that it leaves to another
// instance only.
func TestLeavingByPeerReport(t *testing.T) {
	startWithoutStore := func(f *leavingFleet) { f.storeClients[f.addInstance()].setSilent(true) }
	cases := []struct {
		name    string
		n       int
		noStart bool                  // entries have no start times
		add     func(f *leavingFleet) // starts instances after the notice
	}{
		{"a small fleet", 3, false, nil},
		{"a large fleet", 40, false, nil},
		{"no start times", 40, true, nil},
		{"an instance starts, and the store is reachable", 3, false, func(f *leavingFleet) {
			f.silenceStore(false)
			f.addInstance()
		}},
		{"an instance starts and learns from peers only", 3, false, startWithoutStore},
		{"an instance starts and learns from peers only, no start times", 3, true, startWithoutStore},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLeavingFleetWith(t, c.n, 3, c.noStart)
				defer f.end()
				f.silenceStore(true)
				f.leavingTargets[0].startLeaving()
				f.sendLoad([]int{0}, pathSafe, 10*time.Millisecond, time.Second)
				is.True(f.leavingTargets[0].requestsExceptFrom("") > 0)
				if c.add != nil {
					c.add(f)
					time.Sleep(2 * time.Second) // until it knows the targets
				}
				f.sendLoad(f.allInstances(), pathSafe, 5*time.Millisecond, leavingBound)
				is.Equal(f.leavingTargets[0].requestsExceptFrom("e-000"), 0)
				is.Equal(f.failures(), 0)
			})
		})
	}
}

// TestLeavingAfterInstanceRestart guards against restarted instances that continue to send requests to a
// target after its first leaving notice to them.
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

// TestNewIncarnationAfterLeaving guards against excluding a target's new incarnation because of the
// notice of the previous one.
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

// TestWrongResponseCarriesNotice guards against excluding a target for good because of a notice in the
// response to another request.
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

// TestLeavingOfAllTargets guards against requests that wait, or are executed, after all targets have
// announced that they leave.
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

// TestStreamAtLeavingTarget guards against cutting a stream when its target announces that it leaves.
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

// TestLeavingIsNoCrash guards against treating the end of a target that has announced that it leaves
// as a crash.
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

// leavingEngines returns reports that say that the target leaves.
type leavingEngines struct {
	Engines
	startedAt int64
}

// Report implements Engines.
func (e leavingEngines) Report(context.Context, string, string) (Report, error) {
	return Report{Start: e.startedAt, Models: []catalog.ModelVersion{{Model: "m", Version: 1}}, Notice: Notice{Leaving: true}}, nil
}

// TestLeavingByOwnReport guards against requests to a target whose report says that it leaves, and against
// loading weights there.
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

// TestReportOfAnotherIncarnation guards against excluding a target because of the report of another of its
// incarnations.
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
