package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/metric"
)

// Instances that lose their links to all targets, while callers, peers and the object store reach them.

// Path prefixes of the streams of a linkCodec: those to /chat/ can be resumed.
const (
	pathAudit     = "/audit/"
	pathResumable = "/chat/"
)

// trafficLastEvent is the header in which trafficCodec's targets get Attempt.LastEventID.
const trafficLastEvent = "Last-Event"

// Routes with pathOther lead to linkOtherService, the other ones to service s.
const (
	pathOther        = "/other/"
	linkOtherService = "other"
)

// linkRouteTimeout is the timeout of all routes of a linkCodec.
const linkRouteTimeout = 4 * time.Second

// Retry budget of a linkFleet: share of the requests, and a constant.
const (
	linkRetryShare = 0.2
	linkRetrySlack = 200
)

// linkCodec is trafficCodec with streams, and a second service.
type linkCodec struct{ trafficCodec }

// DecodeConfig implements Codec.
func (linkCodec) DecodeConfig(value []byte) (*catalog.Config, error) {
	var d storedConfig
	if err := json.Unmarshal(value, &d); err != nil {
		return nil, err
	}
	return catalog.NewConfig(linkConfig(d)), nil
}

// linkConfig returns the configuration of a linkCodec.
func linkConfig(d storedConfig) catalog.ConfigSpec {
	route := func(prefix string, kind catalog.RequestKind, attempts int, resumable bool) catalog.Route {
		return catalog.Route{Name: prefix, Host: anyHost, PathPrefix: prefix, Kind: kind, MaxAttempts: attempts, Resumable: resumable,
			Timeout: linkRouteTimeout, LatencyObjective: 500 * time.Millisecond, MaxEventGap: 300 * time.Millisecond, Backends: []catalog.Backend{{Service: "s", Weight: 1}}}
	}
	other := route(pathOther, catalog.AtMostOnce, 1, false)
	other.Backends = []catalog.Backend{{Service: linkOtherService, Weight: 1}}
	return catalog.ConfigSpec{Version: d.Version, Services: []catalog.Service{{Name: "s"}, {Name: linkOtherService}},
		Routes: []catalog.Route{other, route(pathOnce, catalog.AtMostOnce, 1, false), route(pathSafe, catalog.Idempotent, 2, false),
			route(pathAudit, catalog.Streaming, 2, false), route(pathResumable, catalog.Streaming, 2, true)},
		Customers: []catalog.CustomerKeys{{Customer: catalog.Customer{Name: "one"}, Keys: d.Keys}}}
}

// ForwardHeader implements Codec.
func (linkCodec) ForwardHeader(in http.Header, a Attempt) http.Header {
	return http.Header{trafficID: in[trafficID], trafficCustomer: {a.Customer}, trafficLastEvent: {a.LastEventID}}
}

// linkKeepAlive is how long the targets keep an idle connection open, as they announce.
const linkKeepAlive = 10 * time.Second

// ParseResponse implements Codec.
func (linkCodec) ParseResponse(_ int, h http.Header) TargetResponse {
	return TargetResponse{ID: h.Get(trafficID), Signed: true, KeepAliveTimeout: linkKeepAlive}
}

// Streams of the targets of a linkFleet.
const (
	linkEvents        = 6
	linkEventInterval = 40 * time.Millisecond
)

// linkEventStream returns the events after the first from ones of a stream.
func linkEventStream(from int) string {
	var out strings.Builder
	for i := from + 1; i <= linkEvents; i++ {
		fmt.Fprintf(&out, "id: %d\ndata: event %d\n\n", i, i)
	}
	return out.String()
}

// linkFleet is a fleet of instances in three zones, with targets that count the runs of each request.
type linkFleet struct {
	*trafficFleet
	log    *memoryLog
	rounds int // calls of sendToAny

	relayedBefore uint64 // connections that peers of earlier fleets have carried

	mu       sync.Mutex
	serve    func(m *memoryTarget, w http.ResponseWriter, r *http.Request) bool // see setServe
	arrivals map[string]int                                                     // by target
	runs     map[string]int                                                     // arrivals of requests to pathOnce and pathAudit at targets, by id
}

func newLinkFleet(t *testing.T, instances, targets int) *linkFleet {
	f := &linkFleet{runs: map[string]int{}, arrivals: map[string]int{}, log: &memoryLog{}, serve: serveLinkEvents, relayedBefore: metric.RelaysCarried.Get()}
	f.trafficFleet = newFleetWith(t, instances, 3, targets, fleetOptions{codec: linkCodec{}, onArrival: f.recordRun, serve: f.serveRequest, log: f.log,
		editSettings: func(s *Settings) { s.Retry.Share, s.Retry.Slack = linkRetryShare, linkRetrySlack }})
	return f
}

func (f *linkFleet) recordRun(m *memoryTarget, r *http.Request) {
	f.mu.Lock()
	f.arrivals[m.name]++
	f.mu.Unlock()
	if strings.HasPrefix(r.URL.Path, pathSafe) || strings.HasPrefix(r.URL.Path, pathResumable) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[r.Header.Get(trafficID)]++
}

func (f *linkFleet) serveRequest(m *memoryTarget, w http.ResponseWriter, r *http.Request) bool {
	f.mu.Lock()
	serve := f.serve
	f.mu.Unlock()
	return serve(m, w, r)
}

// setServe changes how the targets answer.
func (f *linkFleet) setServe(serve func(m *memoryTarget, w http.ResponseWriter, r *http.Request) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serve = serve
}

// serveUntilLeft makes targets work on each request until its caller has left. The channel tells when.
func (f *linkFleet) serveUntilLeft() <-chan time.Time {
	left := make(chan time.Time, 8)
	f.setServe(func(_ *memoryTarget, _ http.ResponseWriter, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		left <- time.Now()
		return true
	})
	return left
}

// relayed returns how many connections peers have carried for others.
func (f *linkFleet) relayed() uint64 { return metric.RelaysCarried.Get() - f.relayedBefore }

// serveLinkEvents answers requests for streams.
func serveLinkEvents(_ *memoryTarget, w http.ResponseWriter, r *http.Request) bool {
	if !strings.HasPrefix(r.URL.Path, pathAudit) && !strings.HasPrefix(r.URL.Path, pathResumable) {
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	from := 0
	_, _ = fmt.Sscan(r.Header.Get(trafficLastEvent), &from)
	w.Header().Set(trafficID, r.Header.Get(trafficID))
	for i := from + 1; i <= linkEvents; i++ {
		time.Sleep(linkEventInterval)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i, i); err != nil {
			return true
		}
		w.(http.Flusher).Flush()
	}
	return true
}

// partition cuts an instance off from all targets, and sends requests to it until it has noticed.
func (f *linkFleet) partition(instance int) {
	f.cutLinks([]int{instance}, linkHangs)
	f.sendTo(instance, "detected", linkPaths, 2*time.Second)
}

// instancesIn returns the indexes of the instances in a zone, at most n.
func (f *linkFleet) instancesIn(zone string, n int) []int {
	var out []int
	for i, g := range f.gateways {
		if g.settings().Zone == zone && len(out) < n {
			out = append(out, i)
		}
	}
	return out
}

// linkRequest is a request of a caller and how it ended.
type linkRequest struct {
	path      string
	instance  int
	startedAt time.Time
	duration  time.Duration
	served    bool // status 200 and the whole body
	status    int
}

// linkCaller sends requests to one instance, one after another.
type linkCaller struct {
	f        *linkFleet
	name     string
	instance int
	keepConn bool // it uses one connection for all its requests
	conn     net.Conn
	r        *bufio.Reader
}

// send sends one request and reads its response.
func (c *linkCaller) send(path string, seq int) (out linkRequest) {
	out = linkRequest{path: path, instance: c.instance, startedAt: time.Now()}
	defer func() { out.duration = time.Since(out.startedAt) }()
	ctx, cancel := context.WithTimeout(c.f.t.Context(), 5*time.Second)
	defer cancel()
	if c.conn == nil {
		conn, err := c.f.net.dialFrom("caller")(ctx, "memory", c.f.gateways[c.instance].CallerAddr())
		if err != nil {
			return out
		}
		c.conn, c.r = conn, bufio.NewReader(conn)
	}
	id, body := fmt.Sprintf("%s-%d", c.name, seq), fmt.Sprintf("body %s %d", c.name, seq)
	want := body
	if path == pathAudit || path == pathResumable {
		want = linkEventStream(0)
	}
	fmt.Fprintf(c.conn, "POST %sx HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: key\r\nContent-Length: %d\r\n\r\n%s", path, anyHost, trafficID, id, trafficKey, len(body), body)
	resp, err := http.ReadResponse(c.r, nil)
	whole := false
	if err == nil {
		data, err := io.ReadAll(resp.Body)
		out.status, whole = resp.StatusCode, err == nil
		out.served = whole && resp.StatusCode == http.StatusOK && string(data) == want
	}
	if !c.keepConn || !whole || resp.Close {
		c.conn.Close()
		c.conn = nil
	}
	return out
}

// linkPaths are the paths of all kinds of routes.
var linkPaths = []string{pathOnce, pathSafe, pathAudit, pathResumable}

// callerPause is the time between two requests of one caller.
const callerPause = 60 * time.Millisecond

// sendAll has two callers of each kind of route at each instance send requests for a duration: one
// keeps its connection, the other opens one for each request. It returns all requests.
func (f *linkFleet) sendAll(name string, during time.Duration) []linkRequest {
	return f.send(name, linkPaths, during)
}

// send is sendAll with routes of some kinds.
func (f *linkFleet) send(name string, paths []string, during time.Duration) []linkRequest {
	all := make([]int, len(f.gateways))
	for i := range all {
		all[i] = i
	}
	return f.sendToAny(all, name, paths, during)
}

// sendTo is send to one instance.
func (f *linkFleet) sendTo(instance int, name string, paths []string, during time.Duration) []linkRequest {
	return f.sendToAny([]int{instance}, name, paths, during)
}

// sendToAny is send to some instances.
func (f *linkFleet) sendToAny(instances []int, name string, paths []string, during time.Duration) []linkRequest {
	f.rounds++
	name = fmt.Sprint(name, f.rounds, "-")
	var mu sync.Mutex
	var out []linkRequest
	var callers sync.WaitGroup
	until := time.Now().Add(during)
	for _, i := range instances {
		for _, path := range paths {
			for _, keepConn := range []bool{true, false} {
				c := &linkCaller{f: f, name: fmt.Sprint(name, i, path, keepConn), instance: i, keepConn: keepConn}
				callers.Go(func() {
					for seq := 0; time.Now().Before(until); seq++ {
						r := c.send(path, seq)
						mu.Lock()
						out = append(out, r)
						mu.Unlock()
						time.Sleep(callerPause)
					}
					if c.conn != nil {
						c.conn.Close()
					}
				})
			}
		}
	}
	callers.Wait()
	return out
}

// sendOpenLoop sends requests to an instance at an interval, each on a connection of its own, whether or not
// earlier ones have been answered.
func (f *linkFleet) sendOpenLoop(instance int, name, path string, every, during time.Duration) []linkRequest {
	f.rounds++
	name = fmt.Sprint(name, f.rounds, "-")
	out := make([]linkRequest, during/every)
	var requests sync.WaitGroup
	for i := range out {
		requests.Go(func() {
			c := &linkCaller{f: f, name: name, instance: instance}
			out[i] = c.send(path, i)
		})
		time.Sleep(every)
	}
	requests.Wait()
	return out
}

// checkRuns checks that no request ran more often than it may.
func (f *linkFleet) checkRuns() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, n := range f.runs {
		if n > 1 {
			f.t.Errorf("request %s reached targets %d times", id, n)
		}
	}
}

// memoryLog keeps the lines of all instances.
type memoryLog struct {
	mu      sync.Mutex
	entries []*log.Entry
}

// HandleLog implements log.Handler.
func (l *memoryLog) HandleLog(e *log.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, e)
	return nil
}

// logged returns the names of the instances that logged a message.
func (f *linkFleet) logged(message string) map[string]bool {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	out := map[string]bool{}
	for _, e := range f.log.entries {
		if name, ok := e.Fields["instance"].(string); ok && e.Message == message {
			out[name] = true
		}
	}
	return out
}

// TestLogsTellLostLinksFromLostTargets guards against logs that look the same whether an instance has lost
// its links to the targets or the targets themselves are gone.
func TestLogsTellLostLinksFromLostTargets(t *testing.T) {
	for _, all := range []bool{false, true} {
		t.Run(fmt.Sprint("all instances: ", all), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLinkFleet(t, 6, 6)
				cut := []int{1}
				if all {
					cut = []int{0, 1, 2, 3, 4, 5}
				}
				f.cutLinks(cut, linkHangs)
				f.sendAll("cut", 2*time.Second)
				is.Equal(len(f.logged("no target can be reached")), len(cut))
				is.Equal(f.logged("peers reach the targets: the links of this instance are gone")["e-001"], !all)
				is.Equal(len(f.logged("no peer is known to reach the targets")) > 0, all)
				f.cutLinks(cut, linkIntact)
				time.Sleep(maxDetectionTime)
				is.Equal(len(f.logged("partition from the targets ended")), len(cut))
				f.stop()
			})
		})
	}
}
