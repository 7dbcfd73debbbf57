package gateway

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/placement"
	"github.com/shedhoist/shedhoist/internal/core/policy"
)

// Tests of admission by priority in a fleet of instances with model servers.

// Headers of priorityCodec.
const (
	priorityTokens  = "Tokens"
	priorityTimeout = "Timeout-Ms"
)

// priorityMemory is the size of a target's memory, in tokens.
const priorityMemory = 10_000

// priorityCodec is the codec of callers with prompts. The routes of pathOnce and pathSafe differ in
// priority unless oneLevel is set.
type priorityCodec struct {
	backoffCodec
	oneLevel bool
}

// DecodeConfig implements Codec.
func (c priorityCodec) DecodeConfig(value []byte) (*catalog.Config, error) {
	var d storedConfig
	if err := json.Unmarshal(value, &d); err != nil {
		return nil, err
	}
	urgent := catalog.Route{Name: "urgent", Host: anyHost, PathPrefix: pathOnce, Timeout: 20 * time.Second, LatencyObjective: 400 * time.Millisecond, MaxAttempts: 1, UsesModel: true, Backends: []catalog.Backend{{Service: "s", Weight: 1}}}
	middle, other := urgent, urgent
	middle.Name, middle.PathPrefix = "middle", "/middle/"
	other.Name, other.PathPrefix, other.LatencyObjective = "other", pathSafe, 2*time.Second
	if !c.oneLevel {
		middle.Priority, other.Priority = 1, 2
	}
	return catalog.NewConfig(catalog.ConfigSpec{Version: d.Version, Services: []catalog.Service{{Name: "s", Engine: &catalog.Engine{CacheTokens: priorityMemory}}}, Routes: []catalog.Route{urgent, middle, other},
		Customers: []catalog.CustomerKeys{{Customer: catalog.Customer{Name: "one"}, Keys: d.Keys}}}), nil
}

// ParseRequest implements Codec.
func (c priorityCodec) ParseRequest(h http.Header) (CallerRequest, error) {
	call, err := c.backoffCodec.ParseRequest(h)
	tokens, _ := strconv.Atoi(h.Get(priorityTokens))
	ms, _ := strconv.Atoi(h.Get(priorityTimeout))
	call.Timeout = time.Duration(ms) * time.Millisecond
	call.Prompt = &Prompt{Model: partModel, Tokens: tokens, Parts: []Part{{ID: "p", Tokens: tokens}}}
	return call, err
}

// priorityFleet is a fleet of two instances and one target, which answers when the test says so.
type priorityFleet struct {
	*trafficFleet
	release chan struct{}
	held    sync.WaitGroup
	ids     atomic.Int64
	arrived atomic.Int64 // prompts at the target

	mu      sync.Mutex
	refused log.Fields // of the last line of a prompt refused at full targets
}

func newPriorityFleet(t *testing.T, codec priorityCodec, without ...string) *priorityFleet {
	f := &priorityFleet{release: make(chan struct{})}
	f.trafficFleet = newFleetWith(t, 2, 1, 0, fleetOptions{codec: codec, log: log.HandlerFunc(f.recordRefusal), serve: f.serve, editSettings: func(s *Settings) {
		s.Policy, _ = policy.Default().Without(without...)
	}})
	m := &memoryTarget{f: f.trafficFleet, name: "t-00", zone: "z0", models: []catalog.ModelVersion{{Model: partModel, Version: 1}}}
	f.targets = append(f.targets, m)
	m.start()
	time.Sleep(2 * time.Second)
	return f
}

// serve answers a request once it is released.
func (f *priorityFleet) serve(_ *memoryTarget, w http.ResponseWriter, r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	f.arrived.Add(1)
	w.Header().Set(trafficID, r.Header.Get(trafficID))
	select {
	case <-f.release:
	case <-r.Context().Done():
	}
	return true
}

// priorityResponse is the head of a response.
type priorityResponse struct {
	status     int
	retryAfter time.Duration
}

// send sends a prompt to an instance and returns the head of the response.
func (f *priorityFleet) send(i int, path string, tokens, timeoutMS int) priorityResponse {
	conn, err := f.net.dialFrom("caller")(f.t.Context(), "memory", f.gateways[i].CallerAddr())
	if err != nil {
		return priorityResponse{}
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: %s\r\n%s: r-%d\r\n%s: key\r\n%s: %d\r\n%s: %d\r\nContent-Length: 1\r\n\r\nx", path, anyHost, trafficID, f.ids.Add(1), trafficKey, priorityTokens, tokens, priorityTimeout, timeoutMS); err != nil {
		return priorityResponse{}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return priorityResponse{}
	}
	defer resp.Body.Close()
	seconds, _ := strconv.ParseFloat(resp.Header.Get(backoffRetryAfterHeader), 64)
	return priorityResponse{status: resp.StatusCode, retryAfter: time.Duration(seconds * float64(time.Second))}
}

// hold sends a prompt that keeps its memory until the fleet ends, waits until the peers have the
// load report, and tells whether the prompt reached the target.
func (f *priorityFleet) hold(i int, path string, tokens int) bool {
	before := f.arrived.Load()
	f.held.Go(func() { f.send(i, path, tokens, 0) })
	time.Sleep(300 * time.Millisecond)
	return f.arrived.Load() == before+1
}

// end releases all requests and stops the fleet.
func (f *priorityFleet) end() {
	close(f.release)
	f.held.Wait()
	f.stop()
}

// recordRefusal implements log.Handler.
func (f *priorityFleet) recordRefusal(e *log.Entry) error {
	if e.Fields["full_targets"] != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.refused = e.Fields
	}
	return nil
}

// lastRefusal returns the fields of the last line of a prompt refused at full targets.
func (f *priorityFleet) lastRefusal() log.Fields {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused
}

// TestHeadroom guards against less urgent prompts that fill the memory which urgent ones need:
// a target that is used to 0.75 by the prompts of another instance takes an urgent prompt, and no
// less urgent one. The refusal's line names the limits, and Retry-After grows with the overload.
func TestHeadroom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newPriorityFleet(t, priorityCodec{})
		defer f.end()
		is.True(f.hold(1, pathSafe, 3500))
		is.True(f.hold(1, pathOnce, 4000))
		refused := f.send(0, pathSafe, 500, 0)
		is.Equal(refused.status, http.StatusServiceUnavailable)
		is.True(refused.retryAfter >= time.Second && refused.retryAfter <= 3*time.Second)
		line := f.lastRefusal()
		is.Equal(line["level"], 2)
		is.Equal(line["memory_share"], 0.72)
		is.Equal(line["limits_relaxed"], false)
		is.Equal(line["waited"], false)
		is.Equal(line["overload_ms"], int64(0))
		is.True(line["max_queued_tokens"].(int) > 0)
		for range 12 {
			time.Sleep(400 * time.Millisecond)
			refused = f.send(0, pathSafe, 500, 5000)
		}
		is.Equal(refused.status, http.StatusServiceUnavailable)
		is.True(refused.retryAfter >= 5*time.Second/6 && refused.retryAfter <= 5*time.Second/3) // a third of the time left
		is.Equal(f.lastRefusal()["waited"], true)
		is.True(f.lastRefusal()["overload_ms"].(int64) > 4500)
		is.True(f.hold(0, pathOnce, 500))
	})
}

// TestHeadroomOff checks that prompts of all routes share the whole memory where the routes have one
// priority or the policy leaves the mechanism out, and that their refusals are as they were.
func TestHeadroomOff(t *testing.T) {
	for name, f := range map[string]func(*testing.T) *priorityFleet{
		"one priority": func(t *testing.T) *priorityFleet { return newPriorityFleet(t, priorityCodec{oneLevel: true}) },
		"left out":     func(t *testing.T) *priorityFleet { return newPriorityFleet(t, priorityCodec{}, "rank-admission") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := f(t)
				defer f.end()
				is.True(f.hold(1, pathSafe, 7000))
				is.True(f.hold(0, pathSafe, 2900))
				refused := f.send(0, pathSafe, 500, 1000)
				is.Equal(refused.status, http.StatusServiceUnavailable)
				is.True(refused.retryAfter >= 500*time.Millisecond && refused.retryAfter <= 1500*time.Millisecond)
				line := f.lastRefusal()
				is.True(line != nil)
				is.Equal(line["memory_share"], nil)
				is.Equal(line["level"], nil)
			})
		})
	}
}

// TestQueryWithoutLevels checks that placement gets no limits where prompts do not differ in
// priority, whatever priority a customer has, nor for requests without a prompt.
func TestQueryWithoutLevels(t *testing.T) {
	oneLevel := []catalog.Route{{UsesModel: true, Priority: 1, Backends: []catalog.Backend{{Service: "s"}}}, {Priority: 2, Backends: []catalog.Backend{{Service: "s"}}}}
	twoLevels := append(oneLevel[:1:1], catalog.Route{UsesModel: true, Priority: 2, LatencyObjective: time.Second, Backends: []catalog.Backend{{Service: "s"}}})
	threeLevels := append(twoLevels[:2:2], catalog.Route{UsesModel: true, Priority: 3, LatencyObjective: time.Second, Backends: []catalog.Backend{{Service: "s"}}})
	cases := []struct {
		name    string
		routes  []catalog.Route
		prompt  *Prompt
		without []string
		limited bool
	}{
		{"one level", oneLevel, &Prompt{}, nil, false},
		{"two levels", twoLevels, &Prompt{}, nil, false},
		{"three levels", threeLevels, &Prompt{}, nil, true},
		{"no prompt", threeLevels, nil, nil, false},
		{"left out", threeLevels, &Prompt{}, []string{"rank-admission"}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := &Gateway{now: time.Now, predictor: placement.NewPredictor()}
			set := (&Settings{}).WithDefaults()
			set.Policy, _ = policy.Default().Without(c.without...)
			g.currentSettings.Store(set)
			cfg := catalog.NewConfig(catalog.ConfigSpec{Services: []catalog.Service{{Name: "s"}}, Routes: c.routes})
			x := &exchange{g: g, view: &View{Config: cfg}, service: "s", route: &c.routes[0], call: CallerRequest{Prompt: c.prompt}, customer: &catalog.Customer{Priority: 7, HasPriority: true}}
			q := placement.Query{}
			x.setAdmissionLimits(&q)
			is.Equal(q.MemoryShare > 0, c.limited)
			is.Equal(q.MaxQueuedTokens > 0, false) // the more urgent route has no objective
			is.Equal(x.admission.MemoryShare > 0, c.limited)
		})
	}
}

// TestLateRank guards against late prompts that fall behind less urgent ones at the targets: in a
// large fleet, where the routes to a service differ in priority, a late prompt ranks behind those
// of its own priority and before those of the next.
func TestLateRank(t *testing.T) {
	start := time.Unix(0, 0)
	routes := []catalog.Route{{UsesModel: true, Priority: 0, LatencyObjective: 500 * time.Millisecond, Backends: []catalog.Backend{{Service: "s"}}}, {UsesModel: true, Priority: 1, LatencyObjective: 500 * time.Millisecond, Backends: []catalog.Backend{{Service: "s"}}},
		{UsesModel: true, Priority: 2, LatencyObjective: 500 * time.Millisecond, Backends: []catalog.Backend{{Service: "s"}}}}
	cfg := catalog.NewConfig(catalog.ConfigSpec{Services: []catalog.Service{{Name: "s"}}, Routes: routes})
	for _, c := range []struct {
		route     int
		predicted float64
		fleet     int
		without   []string
		want      int
	}{
		{0, 100, 17, nil, 0},
		{0, 400, 17, nil, 1},
		{1, 100, 17, nil, 2},
		{1, 400, 17, nil, 3},
		{0, 400, 16, nil, 0},
		{1, 400, 16, nil, 1},
		{0, 400, 17, []string{"rank-admission"}, 4},
		{1, 400, 17, []string{"late-behind"}, 1},
	} {
		g := &Gateway{now: func() time.Time { return start }}
		set := (&Settings{}).WithDefaults()
		set.Policy, _ = policy.Default().Without(c.without...)
		g.currentSettings.Store(set)
		x := &exchange{g: g, arrived: start, view: &View{Alive: make([]string, c.fleet), Config: cfg}, service: "s", predictedMS: c.predicted, route: &routes[c.route], call: CallerRequest{Prompt: &Prompt{}}}
		is.New(t).Equal(x.effectiveRank(), c.want)
	}
}
