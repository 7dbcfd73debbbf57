package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Streams at targets of several versions of their software. Each event names the version that wrote it.

// Headers of a versionCodec.
const (
	trafficResumes = "Resumes"
	trafficTarget  = "Target"
	trafficRefusal = "Not-Run"
)

// versionCodec is linkCodec with streams that callers take up, and requests that name their target.
type versionCodec struct{ linkCodec }

// ParseRequest implements Codec.
func (versionCodec) ParseRequest(h http.Header) (CallerRequest, error) {
	return CallerRequest{ID: h.Get(trafficID), APIKey: h.Get(trafficKey), LastEventID: h.Get(trafficLastEvent), Resumes: h.Get(trafficResumes)}, nil
}

// ForwardHeader implements Codec.
func (c versionCodec) ForwardHeader(in http.Header, a Attempt) http.Header {
	h := c.linkCodec.ForwardHeader(in, a)
	h.Set(trafficTarget, a.Target)
	return h
}

// ParseResponse implements Codec.
func (c versionCodec) ParseResponse(status int, h http.Header) TargetResponse {
	r := c.linkCodec.ParseResponse(status, h)
	r.NotExecuted = h.Get(trafficRefusal) != ""
	return r
}

// versionFleet is a fleet whose targets have several versions of their software.
type versionFleet struct {
	*trafficFleet

	mu      sync.Mutex
	fault   func(m *memoryTarget, event int) streamFault // what happens to a stream before an event; nil: nothing
	callers int
}

// streamFault is what a target does instead of sending an event.
type streamFault int

const (
	noStreamFault  streamFault = iota
	breaksStream               // it closes the connection
	silencesStream             // it sends nothing more
)

// newVersionFleet starts n instances, and some targets of each version.
func newVersionFleet(t *testing.T, n, each int, versions ...string) *versionFleet {
	f := &versionFleet{}
	f.trafficFleet = newFleetWith(t, n, 3, 0, fleetOptions{codec: versionCodec{}, serve: f.serve,
		editSettings: func(s *Settings) { s.Retry.Share, s.Retry.Slack = linkRetryShare, linkRetrySlack }})
	for _, v := range versions {
		for range each {
			f.addTarget(v)
		}
	}
	time.Sleep(time.Second)
	return f
}

// addTarget starts a target of a version.
func (f *versionFleet) addTarget(version string) *memoryTarget {
	return f.addTargetAt(version, "")
}

// addTargetAt starts a target of a version at an address.
func (f *versionFleet) addTargetAt(version, address string) *memoryTarget {
	i := len(f.targets)
	m := &memoryTarget{f: f.trafficFleet, name: fmt.Sprintf("t-%02d", i), address: address, zone: fmt.Sprintf("z%d", i%f.zones), software: version}
	f.targets = append(f.targets, m)
	m.start()
	return m
}

// of returns the targets of a version.
func (f *versionFleet) of(version string) []*memoryTarget {
	return slices.DeleteFunc(slices.Clone(f.targets), func(m *memoryTarget) bool { return m.software != version })
}

// end ends a target for good, and removes its entry.
func (m *memoryTarget) end() {
	m.mu.Lock()
	m.stopped = true
	srv := m.srv
	m.mu.Unlock()
	m.f.store.remove(memoryTargets, m.name)
	m.f.closeListeners(m.listenAddress())
	srv.Close()
}

func (f *versionFleet) setFault(fault func(m *memoryTarget, event int) streamFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// serve answers requests for streams. A request for another target is refused.
func (f *versionFleet) serve(m *memoryTarget, w http.ResponseWriter, r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(trafficID, r.Header.Get(trafficID))
	if r.Header.Get(trafficTarget) != m.name {
		w.Header().Set(trafficRefusal, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return true
	}
	from := 0
	_, _ = fmt.Sscan(r.Header.Get(trafficLastEvent), &from)
	for i := from + 1; i <= linkEvents; i++ {
		time.Sleep(linkEventInterval)
		f.mu.Lock()
		fault := f.fault
		f.mu.Unlock()
		if fault != nil {
			switch fault(m, i) {
			case breaksStream:
				panic(http.ErrAbortHandler)
			case silencesStream:
				<-r.Context().Done()
				return true
			}
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, m.software); err != nil {
			return true
		}
		w.(http.Flusher).Flush()
	}
	return true
}

// versionStream is a stream of a caller, over all its tries.
type versionStream struct {
	path     string   // below the route's
	first    string   // id of the try that brought the first event
	last     string   // id of the last event
	versions []string // of all events
	whole    bool
	unnamed  bool          // its caller doesn't name it
	refused  time.Duration // how long the last try took until it was refused; 0: it was not
	status   int           // of the last try
}

// isMixed reports whether the stream holds events of two versions.
func (s *versionStream) isMixed() bool { return len(slices.Compact(slices.Clone(s.versions))) > 1 }

// try begins the stream at an instance, or takes it up there, and leaves it after so many events; 0: not
// before its end.
func (f *versionFleet) try(s *versionStream, instance, leaveAfter int) {
	f.mu.Lock()
	f.callers++
	id := fmt.Sprintf("stream-%d", f.callers)
	f.mu.Unlock()
	began := time.Now()
	s.status, s.refused = 0, 0
	ctx, cancel := context.WithTimeout(f.t.Context(), 5*time.Second)
	defer cancel()
	conn, err := f.net.dialFrom("caller")(ctx, "memory", f.gateways[instance].settings().CallerListen)
	if err != nil {
		return
	}
	defer conn.Close()
	resp := f.sendTry(conn, id, s)
	if resp == nil {
		return
	}
	defer resp.Body.Close()
	if s.status = resp.StatusCode; s.status != http.StatusOK {
		s.refused = time.Since(began)
		return
	}
	if s.first == "" {
		s.first = id
	}
	s.read(resp.Body, leaveAfter)
}

// sendTry sends the request of a try and returns the response, or nil if there is none.
func (f *versionFleet) sendTry(conn net.Conn, id string, s *versionStream) *http.Response {
	resumes := ""
	if s.first != "" {
		resumes = fmt.Sprintf("%s: %s\r\n", trafficLastEvent, s.last)
	}
	if s.first != "" && !s.unnamed {
		resumes += fmt.Sprintf("%s: %s\r\n", trafficResumes, s.first)
	}
	fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: key\r\n%sContent-Length: 1\r\n\r\nx", pathResumable, s.path, anyHost, trafficID, id, trafficKey, resumes)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil
	}
	return resp
}

// read reads events until the stream ends, or so many have come in this try.
func (s *versionStream) read(body io.Reader, leaveAfter int) {
	lines := bufio.NewScanner(body)
	for n := 0; lines.Scan(); {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			s.last = id
		}
		if version, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			s.versions = append(s.versions, version)
			if n++; n == leaveAfter {
				return
			}
		}
	}
	s.whole = lines.Err() == nil
}

// streamInterval is the time between the beginnings of two streams.
const streamInterval = 30 * time.Millisecond

// begin begins n streams, at the instances that from names, and leaves each after some events.
func (f *versionFleet) begin(n, leaveAfter int, from func(k int) int) []*versionStream {
	out := make([]*versionStream, n)
	var callers sync.WaitGroup
	for k := range out {
		out[k] = &versionStream{path: fmt.Sprint(k)}
		callers.Go(func() { f.try(out[k], from(k), leaveAfter) })
		time.Sleep(streamInterval)
	}
	callers.Wait()
	return out
}

// beginAlike is begin with requests that are all alike, of callers that won't name the streams.
func (f *versionFleet) beginAlike(n int, from func(k int) int) []*versionStream {
	out := make([]*versionStream, n)
	for k := range out {
		out[k] = &versionStream{unnamed: true}
		f.try(out[k], from(k), eventsBeforeLeave)
	}
	return out
}

// takeUp takes up all streams, at the instances that from names.
func (f *versionFleet) takeUp(streams []*versionStream, leaveAfter int, from func(k int) int) {
	var callers sync.WaitGroup
	for k, s := range streams {
		callers.Go(func() { f.try(s, from(k), leaveAfter) })
		time.Sleep(streamInterval)
	}
	callers.Wait()
}

// streamScenario is a way in which streams go on.
type streamScenario struct {
	name      string
	instances int
	each      int // targets of each version
	versions  []string
	play      func(f *versionFleet) []*versionStream
	goOn      float64 // least share of the streams that becomes whole
	refused   bool    // none may go on
}

// inTurn spreads streams over n instances, from one on.
func inTurn(first, n int) func(int) int { return func(k int) int { return first + k%n } }

// eventsBeforeLeave is how many events a caller reads before it leaves.
const eventsBeforeLeave = 3

// maxRefusalTime is how long a stream that can't go on may take to be refused: a question to peers that are
// gone has to time out.
const maxRefusalTime = 250 * time.Millisecond

var twoVersions = []string{"v1", "v1.1"}

var streamScenarios = []streamScenario{
	{"streams break within one answer", 3, 5, twoVersions, func(f *versionFleet) []*versionStream {
		f.setFault(breakEvery(7))
		return f.begin(60, 0, inTurn(0, 3))
	}, .9, false},
	{"streams fall silent within one answer", 3, 5, twoVersions, func(f *versionFleet) []*versionStream {
		f.setFault(func(m *memoryTarget, event int) streamFault {
			if event == 4 && m == f.of("v1")[0] {
				return silencesStream
			}
			return noStreamFault
		})
		return f.begin(60, 0, inTurn(0, 3))
	}, .9, false},
	{"three versions, within one answer", 3, 2, []string{"v1", "v1.1", "v1.2"}, func(f *versionFleet) []*versionStream {
		f.setFault(breakEvery(9))
		return f.begin(60, 0, inTurn(0, 3))
	}, .9, false},
	{"at the same instance", 1, 3, twoVersions, func(f *versionFleet) []*versionStream {
		s := f.begin(40, eventsBeforeLeave, inTurn(0, 1))
		f.takeUp(s, 0, inTurn(0, 1))
		return s
	}, 1, false},
	{"at another instance", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		s := f.begin(80, eventsBeforeLeave, inTurn(0, 9))
		f.takeUp(s, 0, inTurn(4, 5))
		return s
	}, 1, false},
	{"at another instance, at once", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		s := make([]*versionStream, 40)
		var callers sync.WaitGroup
		for k := range s {
			s[k] = &versionStream{}
			callers.Go(func() {
				f.try(s[k], k%9, 1)
				f.try(s[k], (k+1)%9, 0)
			})
			time.Sleep(streamInterval)
		}
		callers.Wait()
		return s
	}, .9, false},
	{"by callers that don't name them", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		s := f.begin(80, eventsBeforeLeave, inTurn(0, 9))
		for _, s := range s {
			s.unnamed = true
		}
		f.takeUp(s, 0, inTurn(4, 5))
		return s
	}, .9, false},
	{"by callers that don't name them, requests are alike", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		s := f.beginAlike(80, inTurn(0, 9))
		f.takeUp(s, 0, inTurn(4, 5))
		return s
	}, 0, false},
	{"twice, at a second and a third instance", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		s := f.begin(80, 2, inTurn(0, 3))
		f.takeUp(s, 2, inTurn(3, 3))
		f.takeUp(s, 0, inTurn(6, 3))
		return s
	}, 1, false},
	{"at an instance that has just started", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		s := f.begin(80, eventsBeforeLeave, inTurn(0, 9))
		i := f.addInstance()
		f.awaitReady(i + 1)
		f.takeUp(s, 0, inTurn(i, 1))
		return s
	}, .9, false},
	{"the instance that began them is killed", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		s := f.begin(80, eventsBeforeLeave, inTurn(4, 1))
		f.kill(4)
		f.takeUp(s, 0, inTurn(5, 4))
		return s
	}, .9, false},
	{"the instance that began them is killed, and takes them up", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		s := f.begin(80, eventsBeforeLeave, inTurn(4, 1))
		f.kill(4)
		time.Sleep(time.Second)
		f.start(4)
		f.awaitReady(9)
		f.takeUp(s, 0, inTurn(4, 1))
		return s
	}, .9, false},
	{"the instance that began them and a zone are killed", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		s := f.begin(80, eventsBeforeLeave, inTurn(4, 1))
		for _, i := range []int{4, 0, 3, 6} {
			f.kill(i)
		}
		f.takeUp(s, 0, func(k int) int { return []int{1, 2, 5, 7, 8}[k%5] })
		return s
	}, .9, false},
	{"sixty instances, the one that began them is killed", 60, 3, twoVersions, func(f *versionFleet) []*versionStream {
		s := f.begin(80, eventsBeforeLeave, inTurn(4, 1))
		f.kill(4)
		f.takeUp(s, 0, inTurn(5, 55))
		return s
	}, .9, false},
	{"the second version came after they began", 9, 3, []string{"v1"}, func(f *versionFleet) []*versionStream {
		time.Sleep(time.Minute)
		s := f.begin(40, eventsBeforeLeave, inTurn(4, 1))
		for range 3 {
			f.addTarget("v1.1")
		}
		time.Sleep(time.Second)
		f.kill(4)
		f.takeUp(s, 0, inTurn(5, 4))
		return s
	}, .9, false},
	{"the object store is silent", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		f.silenceStore(true)
		time.Sleep(5 * time.Second)
		s := f.begin(80, eventsBeforeLeave, inTurn(0, 9))
		f.takeUp(s, 0, inTurn(4, 5))
		return s
	}, .9, false},
	{"each instance has lost its peers, at the same one", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		f.cutPeers(eachAlone, linkHangs)
		time.Sleep(5 * time.Second)
		s := f.begin(80, eventsBeforeLeave, inTurn(0, 9))
		f.takeUp(s, 0, inTurn(0, 9))
		return s
	}, .9, false},
	{"each instance has lost its peers, at another one", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		f.cutPeers(eachAlone, linkHangs)
		time.Sleep(5 * time.Second)
		s := f.begin(80, eventsBeforeLeave, inTurn(0, 9))
		f.takeUp(s, 0, inTurn(1, 9-1))
		return s
	}, 0, false},
	{"through peers, at an instance without links to the targets", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		s := f.begin(40, eventsBeforeLeave, inTurn(0, 9))
		f.cutLinks([]int{1}, linkRefuses)
		f.begin(20, 0, inTurn(1, 1))
		f.takeUp(s, 0, inTurn(1, 1))
		return s
	}, .9, false},
	{"the version that began them has left", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		f.replaceVersion("v1", func(*memoryTarget) string { return "" })
		s := f.begin(40, eventsBeforeLeave, inTurn(0, 9))
		for _, m := range f.of("v1.1") {
			m.end()
		}
		for range 3 {
			f.addTarget("v1.2")
		}
		time.Sleep(time.Second)
		f.takeUp(s, 0, inTurn(0, 9))
		return s
	}, 0, true},
	{"the version that began them has left, at an instance that has just started", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		for _, m := range f.of("v1.1") {
			m.end()
		}
		s := f.begin(40, eventsBeforeLeave, inTurn(0, 3))
		for range 3 {
			f.addTarget("v1.1")
		}
		time.Sleep(time.Second)
		for _, m := range f.of("v1") {
			m.end()
		}
		for i := range 9 { // whoever knew of the version is gone
			f.kill(i)
		}
		time.Sleep(fleetOutage)
		for i := range 9 {
			f.start(i)
		}
		f.awaitReady(9)
		f.takeUp(s, 0, inTurn(0, 9))
		return s
	}, 0, true},
	{"targets are reborn at their addresses with the other version", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		s := f.begin(40, eventsBeforeLeave, inTurn(0, 9))
		old := map[string][]*memoryTarget{"v1": f.of("v1")[:2], "v1.1": f.of("v1.1")[:2]}
		for version, targets := range old {
			other := twoVersions[0]
			if version == other {
				other = twoVersions[1]
			}
			for _, m := range targets {
				m.end()
				f.addTargetAt(other, m.listenAddress())
			}
		}
		f.takeUp(s, 0, inTurn(4, 5))
		return s
	}, .9, false},
	{"an instance has just lost the object store and its peers, the second version is new", 9, 3, []string{"v1"}, func(f *versionFleet) []*versionStream {
		time.Sleep(time.Minute)
		f.cutPeers(func(instance int) int { return max(instance, 7) }, linkHangs)
		f.storeClients[8].setSilent(true)
		f.release("v1.1")
		s := f.begin(20, eventsBeforeLeave, inTurn(0, 7))
		f.takeUp(s, 0, inTurn(8, 1))
		return s
	}, 0, false},
	{"one version only, for long", 9, 3, []string{"v1"}, func(f *versionFleet) []*versionStream {
		time.Sleep(time.Minute)
		s := f.begin(40, eventsBeforeLeave, inTurn(4, 1))
		f.kill(4)
		f.takeUp(s, 0, inTurn(5, 4))
		return s
	}, 1, false},
	{"one version only, for long, at an instance that has just started", 9, 3, []string{"v1"}, func(f *versionFleet) []*versionStream {
		time.Sleep(time.Minute)
		s := f.begin(40, eventsBeforeLeave, inTurn(4, 1))
		f.kill(4)
		f.start(4)
		f.awaitReady(9)
		f.takeUp(s, 0, inTurn(4, 1))
		return s
	}, 1, false},
	{"one version only", 9, 3, []string{"v1"}, func(f *versionFleet) []*versionStream {
		s := f.begin(40, eventsBeforeLeave, inTurn(4, 1))
		f.kill(4)
		f.takeUp(s, 0, inTurn(5, 4))
		return s
	}, 1, false},
}

// release starts targets of a new version while the others begin to leave, and waits until most instances know.
func (f *versionFleet) release(version string) {
	for _, m := range f.targets {
		m.leave()
	}
	for range 3 {
		f.addTarget(version)
	}
	time.Sleep(200 * time.Millisecond)
}

// replaceVersion ends all targets of a version, and starts those of the versions that next names; "": none.
func (f *versionFleet) replaceVersion(version string, next func(*memoryTarget) string) {
	for _, m := range f.of(version) {
		if v := next(m); v != "" {
			f.addTarget(v)
		}
		m.end()
	}
	time.Sleep(time.Second)
}

// breakEvery breaks one of n streams before its fourth event.
func breakEvery(n int) func(*memoryTarget, int) streamFault {
	var mu sync.Mutex
	streams := 0
	return func(_ *memoryTarget, event int) streamFault {
		if event != 4 {
			return noStreamFault
		}
		mu.Lock()
		defer mu.Unlock()
		if streams++; streams%n == 0 {
			return breaksStream
		}
		return noStreamFault
	}
}

// TestStreamsStayAtTheirVersion guards against streams that go on at targets of another version of the
// software than began them, and against those that could go on at their version and don't.
func TestStreamsStayAtTheirVersion(t *testing.T) { playStreams(t, streamScenarios) }

// playStreams plays scenarios, each in a fleet of its own, and checks how their streams end.
func playStreams(t *testing.T, scenarios []streamScenario) {
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newVersionFleet(t, c.instances, c.each, c.versions...)
				defer f.stop()
				checkStreams(t, c, c.play(f))
			})
		})
	}
}

// checkStreams checks how the streams of a scenario ended.
func checkStreams(t *testing.T, c streamScenario, streams []*versionStream) {
	mixed, whole, slow := 0, 0, 0
	statuses := map[int]int{}
	for _, s := range streams {
		statuses[s.status]++
		if s.isMixed() {
			mixed++
		}
		if s.whole {
			whole++
		}
		if s.refused > maxRefusalTime {
			slow++
		}
	}
	t.Logf("%d streams, %d whole, %d of two versions, %d refused late, last statuses %v", len(streams), whole, mixed, slow, statuses)
	if mixed > 0 {
		t.Errorf("%d of %d streams are of two versions", mixed, len(streams))
	}
	if float64(whole) < c.goOn*float64(len(streams)) {
		t.Errorf("%d of %d streams went on to their end, want %.2f of them", whole, len(streams), c.goOn)
	}
	if c.refused && whole > 0 {
		t.Errorf("%d streams went on though their version is gone", whole)
	}
	if slow > 0 {
		t.Errorf("%d streams were refused after more than %v", slow, maxRefusalTime)
	}
}
