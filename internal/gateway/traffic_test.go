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
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/connlimit"
)

// An in-memory fleet with callers, and with targets that execute requests and may crash.

// trafficCodec is the Codec of the test's callers and targets.
type trafficCodec struct{ jsonCodec }

// Headers of trafficCodec.
const (
	trafficID       = "Id"
	trafficKey      = "Key"
	trafficCustomer = "Customer"
)

// Path prefixes of the routes: requests to /once/ run at most once, those to /safe/ may be
// repeated.
const (
	pathOnce = "/once/"
	pathSafe = "/safe/"
	anyHost  = "a.example"
)

// DecodeConfig implements Codec.
func (trafficCodec) DecodeConfig(value []byte) (*catalog.Config, error) {
	var d storedConfig
	if err := json.Unmarshal(value, &d); err != nil {
		return nil, err
	}
	route := catalog.Route{Host: anyHost, Timeout: 4 * time.Second, LatencyObjective: 500 * time.Millisecond, Backends: []catalog.Backend{{Service: "s", Weight: 1}}}
	once, safe := route, route
	once.Name, once.PathPrefix, once.Kind, once.MaxAttempts = "once", pathOnce, catalog.AtMostOnce, 1
	safe.Name, safe.PathPrefix, safe.Kind, safe.MaxAttempts = "safe", pathSafe, catalog.Idempotent, 2
	return catalog.NewConfig(catalog.ConfigSpec{Version: d.Version, Services: []catalog.Service{{Name: "s"}}, Routes: []catalog.Route{once, safe},
		Customers: []catalog.CustomerKeys{{Customer: catalog.Customer{Name: "one"}, Keys: d.Keys}}}), nil
}

// ParseRequest implements Codec.
func (trafficCodec) ParseRequest(h http.Header) (CallerRequest, error) {
	return CallerRequest{ID: h.Get(trafficID), APIKey: h.Get(trafficKey)}, nil
}

// ForwardHeader implements Codec.
func (trafficCodec) ForwardHeader(in http.Header, a Attempt) http.Header {
	return http.Header{trafficID: in[trafficID], trafficCustomer: {a.Customer}}
}

// ParseResponse implements Codec.
func (trafficCodec) ParseResponse(_ int, h http.Header) TargetResponse {
	return TargetResponse{ID: h.Get(trafficID), Signed: true}
}

// CallerResponseHeader implements Codec.
func (trafficCodec) CallerResponseHeader(in http.Header) http.Header { return in }

// trafficFleet is a fleet of instances with targets of one service.
type trafficFleet struct {
	*memoryFleet
	targets []*memoryTarget
	zones   int
	seq     int
	options fleetOptions
}

// fleetOptions are the optional settings of a trafficFleet.
type fleetOptions struct {
	codec        Codec                                  // trafficCodec if nil
	engines      Engines                                // of all instances; nil: none
	editSettings func(*Settings)                        // changes each instance's settings
	onArrival    func(m *memoryTarget, r *http.Request) // called when a request reaches a target
	log          log.Handler                            // of all instances; discard.Default if nil
	window       int                                    // of the network
	connCosts    *connlimit.Costs                       // of callers' connections; connlimit.DefaultCosts if nil
	// serve answers a request in place of the target's own answer; it returns false to leave it to that.
	serve func(m *memoryTarget, w http.ResponseWriter, r *http.Request) bool
}

// slowBody is the body of a request that takes slowTime to run.
const slowBody = "slow"

const (
	slowTime    = 2 * time.Second
	runTime     = 60 * time.Millisecond
	restartTime = 3 * time.Second
	// fleetOutage is the time between the kill of all instances and their restart.
	fleetOutage = time.Second
)

// newTrafficFleet starts n instances and a number of targets, spread over zones.
func newTrafficFleet(t *testing.T, n, zones, targets int) *trafficFleet {
	return newFleetWith(t, n, zones, targets, fleetOptions{})
}

// newFleetWith is newTrafficFleet with options.
func newFleetWith(t *testing.T, n, zones, targets int, o fleetOptions) *trafficFleet {
	f := &trafficFleet{memoryFleet: &memoryFleet{t: t, net: &memoryNetwork{listeners: map[string]*memoryListener{}, window: o.window}, store: newMemoryStore()}, zones: zones, options: o}
	f.store.set(memoryConfigs, memoryConfig, storedConfig{Version: 1, Keys: []string{"key"}})
	for i := range targets {
		mt := &memoryTarget{f: f, name: fmt.Sprintf("t-%02d", i), zone: fmt.Sprintf("z%d", i%zones)}
		f.targets = append(f.targets, mt)
		mt.start()
	}
	for range n {
		f.addInstance()
	}
	f.awaitReady(n)
	return f
}

// addInstance starts another instance under a new name and returns its index.
func (f *trafficFleet) addInstance() int {
	i := len(f.gateways)
	name := fmt.Sprintf("e-%03d", i)
	set := (&Settings{Name: name, Zone: fmt.Sprintf("z%d", i%f.zones), CallerListen: name + ":1", ReadyListen: name + ":2", PeerListen: name + ":3",
		Seeds: []string{"e-000:3", "e-001:3", "e-002:3"}, PlatformAddress: "store:1"}).WithDefaults()
	if f.options.editSettings != nil {
		f.options.editSettings(set)
	}
	f.gateways, f.storeClients = append(f.gateways, nil), append(f.storeClients, &storeClient{store: f.store})
	f.startInstance(i, set)
	return i
}

func (f *trafficFleet) startInstance(i int, set *Settings) {
	var codec Codec = trafficCodec{}
	if f.options.codec != nil {
		codec = f.options.codec
	}
	var handler log.Handler = discard.Default
	if f.options.log != nil {
		handler = f.options.log
	}
	g, err := New(set, Ports{Codec: codec, Store: f.storeClients[i], Engines: f.options.engines, Listen: f.net.listen, Dial: f.net.dialFrom(set.Name), ConnCosts: f.options.connCosts}, &log.Logger{Handler: handler})
	if err != nil {
		f.t.Fatal(err)
	}
	g.Start()
	f.gateways[i] = g
}

// awaitReady waits until n instances are ready, and then until they know of one another.
func (f *trafficFleet) awaitReady(n int) {
	for f.readyCount() < n {
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
}

// kill ends an instance at once, with all its connections.
func (f *trafficFleet) kill(i int) {
	g := f.gateways[i]
	f.closeListeners(g.settings().CallerListen, g.settings().ReadyListen, g.settings().PeerListen)
	g.Kill()
	f.net.resetAll(g.settings().Name)
}

// start starts a killed instance again.
func (f *trafficFleet) start(i int) { f.startInstance(i, f.gateways[i].settings()) }

// restartAll kills all instances at once and starts them again after fleetOutage.
func (f *trafficFleet) restartAll() {
	for i := range f.gateways {
		f.kill(i)
	}
	time.Sleep(fleetOutage)
	for i := range f.gateways {
		f.start(i)
	}
}

// cutLinks cuts the links of instances to all targets, or mends them.
func (f *trafficFleet) cutLinks(instances []int, cut linkCut) {
	for _, i := range instances {
		for _, m := range f.targets {
			f.net.setCut(f.gateways[i].settings().Name, m.name, cut)
		}
	}
}

// cutPeers cuts the links between instances of different groups, or mends them.
func (f *trafficFleet) cutPeers(group func(instance int) int, cut linkCut) {
	for i, a := range f.gateways {
		for j, b := range f.gateways {
			if group(i) != group(j) {
				f.net.setCut(a.settings().Name, b.settings().Name, cut)
			}
		}
	}
}

// closeListeners makes connections to some addresses be refused.
func (f *trafficFleet) closeListeners(addresses ...string) {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	for _, a := range addresses {
		delete(f.net.listeners, a)
	}
}

// silenceStore makes the object store stop responding to the instances, or respond again.
func (f *trafficFleet) silenceStore(silent bool) {
	for _, d := range f.storeClients {
		d.setSilent(silent)
	}
}

// isolate cuts instances off from everything but callers, or reconnects them.
func (f *trafficFleet) isolate(instances []int, isolated bool) {
	for _, i := range instances {
		f.net.setIsolated(f.gateways[i].settings().Name, isolated)
		f.storeClients[i].setSilent(isolated)
	}
}

// setCrashOn sets the bodies on which the targets crash; nil means none.
func (f *trafficFleet) setCrashOn(crashesOn func(body string) bool) {
	for _, m := range f.targets {
		m.mu.Lock()
		m.crashesOn = crashesOn
		m.mu.Unlock()
	}
}

// memoryTarget is a target on the in-memory network.
type memoryTarget struct {
	f          *trafficFleet
	name, zone string
	address    string // name:1 if empty

	mu          sync.Mutex
	srv         *http.Server
	startedAt   int64                  // start of its incarnation, in Unix ms
	stopped     bool                   // it does not restart
	warmupMS    int64                  // in its registry entry from the next start on
	software    string                 // the same
	models      []catalog.ModelVersion // the same
	runs        int                    // requests in progress
	resetsConns bool                   // it closes connections instead of responding, and keeps running
	crashesOn   func(body string) bool // reports whether a body crashes it
}

// start begins a new incarnation of the target and writes its registry entry.
func (m *memoryTarget) start() {
	m.mu.Lock()
	stopped := m.stopped
	m.mu.Unlock()
	if stopped {
		return
	}
	address := m.listenAddress()
	ln, err := m.f.net.listen(address)
	if err != nil {
		m.f.t.Fatal(err)
	}
	srv := &http.Server{Handler: m}
	m.mu.Lock()
	m.srv, m.startedAt = srv, time.Now().UnixMilli()
	warmupMS, software, models := m.warmupMS, m.software, m.models
	m.mu.Unlock()
	go func() { _ = srv.Serve(ln) }() // ends with the target
	m.f.store.set(memoryTargets, m.name, catalog.Target{Service: "s", Address: address, Zone: m.zone, Start: m.startedAt, WarmupMS: warmupMS, Software: software, Models: models})
}

func (m *memoryTarget) listenAddress() string {
	if m.address != "" {
		return m.address
	}
	return m.name + ":1"
}

// leave marks the target as leaving in its registry entry.
func (m *memoryTarget) leave() {
	m.f.store.set(memoryTargets, m.name, catalog.Target{Service: "s", Address: m.listenAddress(), Zone: m.zone, Start: m.startedAt, Leaving: true, Software: m.software})
}

// crash stops the target and restarts it after restartTime.
func (m *memoryTarget) crash() {
	m.mu.Lock()
	srv := m.srv
	m.srv = nil
	m.mu.Unlock()
	if srv == nil {
		return // not running
	}
	m.f.closeListeners(m.listenAddress())
	srv.Close()
	time.AfterFunc(restartTime, m.start)
}

// busy reports whether the target is executing a request.
func (m *memoryTarget) busy() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runs > 0
}

func (m *memoryTarget) addRuns(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs += n
}

// ServeHTTP executes a request: it takes runTime, and slowTime more for slowBody, and
// returns the request's body.
func (m *memoryTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if arrived := m.f.options.onArrival; arrived != nil {
		arrived(m, r)
	}
	if serve := m.f.options.serve; serve != nil && serve(m, w, r) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the client is gone
	}
	m.addRuns(1)
	defer m.addRuns(-1)
	if time.Sleep(runTime); string(body) == slowBody {
		time.Sleep(slowTime)
	}
	m.mu.Lock()
	crashesOn, resetsConns := m.crashesOn, m.resetsConns
	m.mu.Unlock()
	if resetsConns {
		panic(http.ErrAbortHandler)
	}
	if crashesOn != nil && crashesOn(string(body)) {
		m.crash()
		panic(http.ErrAbortHandler) // a crashed process sends no response
	}
	w.Header().Set(trafficID, r.Header.Get(trafficID))
	_, _ = w.Write(body) // fails only if the client is gone
}

// stop stops all targets and instances.
func (f *trafficFleet) stop() {
	for _, m := range f.targets {
		m.mu.Lock()
		m.stopped = true
		if m.srv != nil {
			f.closeListeners(m.listenAddress())
			m.srv.Close()
		}
		m.mu.Unlock()
	}
	f.memoryFleet.stop()
}

// trafficResponse is the response that a caller received.
type trafficResponse struct {
	status int    // 0 if there was no response
	body   string // empty unless it was read to its end
}

// request sends one request to instance i and returns the response.
func (f *trafficFleet) request(i int, path, body string) trafficResponse {
	return f.requestAt(f.gateways[i].CallerAddr(), path, body)
}

// requestAt is like request, for the instance at an address.
func (f *trafficFleet) requestAt(address, path, body string) trafficResponse {
	ctx, cancel := context.WithTimeout(f.t.Context(), 5*time.Second)
	defer cancel()
	conn, err := f.net.dialFrom("caller")(ctx, "memory", address)
	if err != nil {
		return trafficResponse{}
	}
	defer conn.Close()
	f.net.mu.Lock()
	f.seq++
	id := fmt.Sprintf("r-%d", f.seq)
	f.net.mu.Unlock()
	return roundTrip(conn, fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: key\r\nContent-Length: %d\r\n\r\n%s", path, anyHost, trafficID, id, trafficKey, len(body), body))
}

// roundTrip writes a request to conn and reads the response. Its status is 0 if that fails.
func roundTrip(conn net.Conn, request string) trafficResponse {
	if _, err := io.Copy(conn, strings.NewReader(request)); err != nil {
		return trafficResponse{}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return trafficResponse{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return trafficResponse{}
	}
	return trafficResponse{status: resp.StatusCode, body: string(data)}
}
