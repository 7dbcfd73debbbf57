package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/attempt"
)

// The retries of a whole fleet, counted where they arrive, while instances restart, lose one another, and are
// added.

// The retry budget of these fleets.
const (
	fleetRetryShare  = 0.2
	fleetRetrySlack  = 50
	fleetRetryWindow = 10 * time.Second
)

// retryCounter counts the requests of callers and the arrivals at targets beyond the first of each request.
type retryCounter struct {
	mu       sync.Mutex
	arrived  map[string]bool
	requests []time.Time
	repeats  []time.Time
	served   int

	charged, free    int // retries, as the instances log them
	resumed, relayed int // of the failed attempts: followed by a resumption, and made through a peer
}

// HandleLog implements log.Handler. It counts the retries that instances say they have charged, and those that
// they let pass free.
func (c *retryCounter) HandleLog(e *log.Entry) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Message != "attempt failed" {
		return nil
	}
	if e.Fields["next"] == attempt.Resume.String() {
		c.resumed++
	}
	if e.Fields["relayed_by"] != nil {
		c.relayed++
	}
	switch e.Fields["budget"] {
	case string(budgetCharged):
		c.charged++
	case string(budgetFree):
		c.free++
	}
	return nil
}

// onArrival counts the arrival of a request at a target.
func (c *retryCounter) onArrival(_ *memoryTarget, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := r.Header.Get(trafficID)
	if c.arrived[id] {
		c.repeats = append(c.repeats, time.Now())
	}
	c.arrived[id] = true
}

// between returns how many of the times are in [from, to).
func between(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(to) {
			n++
		}
	}
	return n
}

// allowed returns the retries that the fleet may make in the window that starts at a time. The requests are
// counted in that window, in the one before it, or half a window before it, whichever has most.
func (c *retryCounter) allowed(start time.Time) float64 {
	most := 0
	for _, before := range []time.Duration{0, fleetRetryWindow / 2, fleetRetryWindow} {
		from := start.Add(-before)
		most = max(most, between(c.requests, from, from.Add(fleetRetryWindow)))
	}
	return fleetRetryShare*float64(most) + fleetRetrySlack
}

// worst returns the retries in the window that exceeds what is allowed by most, or comes closest to it.
func (c *retryCounter) worst() (repeats int, allowed float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	worst := 0.0
	for i, start := range c.repeats {
		n, limit := between(c.repeats, start, start.Add(fleetRetryWindow)), c.allowed(start)
		if over := float64(n) - limit; i == 0 || over > worst {
			worst, repeats, allowed = over, n, limit
		}
	}
	return repeats, allowed
}

// totals returns the arrivals beyond the first of each request, and what the instances say of their retries.
func (c *retryCounter) totals() (repeats, charged, free int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.repeats), c.charged, c.free
}

// retryFleet is a fleet that counts retries, and callers that send requests to it at a constant rate.
type retryFleet struct {
	*trafficFleet
	counter  *retryCounter
	path     string
	callers  sync.WaitGroup
	excluded map[int]bool // instances to which callers send nothing

	faultMu sync.Mutex
	fault   serveFunc // how the targets answer; nil: all requests
}

// serveFunc answers a request in place of a target, or returns false.
type serveFunc func(m *memoryTarget, w http.ResponseWriter, r *http.Request) bool

// Ways in which targets fail.
type targetFault string

const (
	targetsRefuse targetFault = "refuse"
	targetsBreak  targetFault = "break"
	targetsCut    targetFault = "cut their streams"
)

// serve returns how the targets answer: one of so many requests fails, by fault.
func (fault targetFault) serve(oneOf int64) serveFunc {
	var arrivals atomic.Int64
	return func(_ *memoryTarget, w http.ResponseWriter, r *http.Request) bool {
		time.Sleep(20 * time.Millisecond)
		w.Header().Set(trafficID, r.Header.Get(trafficID))
		switch {
		case arrivals.Add(1)%oneOf != 0:
			return false
		case fault == targetsRefuse:
			w.Header().Set(brittleNotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		case fault == targetsCut:
			_, _ = w.Write([]byte("id: 1\ndata: x\n\n"))
			_ = http.NewResponseController(w).Flush()
		}
		panic(http.ErrAbortHandler)
	}
}

// newRetryFleet starts n instances and six targets that answer every request.
func newRetryFleet(t *testing.T, n int, fault targetFault) *retryFleet {
	c := &retryCounter{arrived: map[string]bool{}}
	f := &retryFleet{counter: c, path: pathSafe, excluded: map[int]bool{}}
	if fault == targetsCut {
		f.path = pathResumable
	}
	f.trafficFleet = newFleetWith(t, n, 3, 6, fleetOptions{codec: brittleCodec{}, onArrival: c.onArrival, log: c,
		editSettings: func(s *Settings) {
			s.Retry = RetryBudget{Share: fleetRetryShare, Slack: fleetRetrySlack, Window: fleetRetryWindow}
		},
		serve: f.serve})
	return f
}

// serve answers a request as set by fail or setFault.
func (f *retryFleet) serve(m *memoryTarget, w http.ResponseWriter, r *http.Request) bool {
	f.faultMu.Lock()
	fault := f.fault
	f.faultMu.Unlock()
	return fault != nil && fault(m, w, r)
}

func (f *retryFleet) setFault(fault serveFunc) {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	f.fault = fault
}

// fail makes one of so many requests fail at the targets.
func (f *retryFleet) fail(fault targetFault, oneOf int64) { f.setFault(fault.serve(oneOf)) }

// load sends requests at a rate for a time, to the instances in turn.
func (f *retryFleet) load(perSecond int, during time.Duration) {
	n := int(during.Seconds() * float64(perSecond))
	for k := range n {
		i := k % len(f.gateways)
		for f.excluded[i] {
			i = (i + 1) % len(f.gateways)
		}
		g := f.gateways[i]
		f.counter.mu.Lock()
		f.counter.requests = append(f.counter.requests, time.Now())
		f.counter.mu.Unlock()
		f.callers.Go(func() {
			if f.requestAt(g.settings().CallerListen, f.path, "x").status == http.StatusOK {
				f.counter.mu.Lock()
				f.counter.served++
				f.counter.mu.Unlock()
			}
		})
		time.Sleep(during / time.Duration(n))
	}
}

// forget forgets the requests so far.
func (f *retryFleet) forget() {
	f.callers.Wait()
	f.counter.mu.Lock()
	defer f.counter.mu.Unlock()
	f.counter.requests, f.counter.repeats, f.counter.served = nil, nil, 0
}

// eachAlone puts each instance into a group of its own.
func eachAlone(instance int) int { return instance }

// retryScenario is what happens to a fleet while its targets fail.
type retryScenario struct {
	name      string
	instances int
	perSecond int
	play      func(f *retryFleet, fault targetFault, perSecond int)
	relays    bool // attempts go through peers
}

// settled is how long a fleet works before its targets fail: all budgets are full by then.
const settled = 12 * time.Second

var retryScenarios = []retryScenario{
	{"nothing else", 9, 50, func(f *retryFleet, fault targetFault, perSecond int) {
		f.load(perSecond, settled)
		f.fail(fault, 1)
		f.load(perSecond, 11*time.Second)
	}, false},
	{"all restart, three times", 9, 20, func(f *retryFleet, fault targetFault, perSecond int) {
		f.load(perSecond, settled)
		f.fail(fault, 1)
		for range 3 {
			f.load(perSecond, 2*time.Second)
			f.restartAll()
		}
		f.load(perSecond, 2*time.Second)
	}, false},
	{"each restarts three times", 9, 33, func(f *retryFleet, fault targetFault, perSecond int) {
		f.load(perSecond, settled)
		f.fail(fault, 1)
		for k := range 3 * len(f.gateways) {
			f.kill(k % len(f.gateways))
			f.load(perSecond, 250*time.Millisecond)
			f.start(k % len(f.gateways))
		}
		f.load(perSecond, 4*time.Second)
	}, false},
	{"all lose their peers", 24, 40, func(f *retryFleet, fault targetFault, perSecond int) {
		f.load(perSecond, settled)
		f.cutPeers(eachAlone, linkRefuses)
		f.load(perSecond, 75*time.Second)
		f.fail(fault, 1)
		f.load(perSecond, 11*time.Second)
	}, false},
	{"all restart without their peers", 24, 40, func(f *retryFleet, fault targetFault, perSecond int) {
		f.load(perSecond, settled)
		f.cutPeers(eachAlone, linkRefuses)
		f.fail(fault, 1)
		f.restartAll()
		f.load(perSecond, 11*time.Second)
	}, false},
	{"instances are added", 6, 30, func(f *retryFleet, fault targetFault, perSecond int) {
		f.load(perSecond, settled)
		f.fail(fault, 1)
		for range 24 {
			f.addInstance()
			f.load(perSecond, 250*time.Millisecond)
		}
		f.load(perSecond, 5*time.Second)
	}, false},
	{"half are lost", 10, 60, func(f *retryFleet, fault targetFault, perSecond int) {
		f.load(perSecond, settled)
		f.fail(fault, 1)
		f.load(perSecond, 500*time.Millisecond)
		for i := range len(f.gateways) / 2 {
			f.excluded[i] = true
			f.kill(i)
		}
		f.load(perSecond, 11*time.Second)
	}, false},
	{"callers leave", 9, 150, func(f *retryFleet, fault targetFault, perSecond int) {
		f.load(perSecond, settled)
		f.load(perSecond/30, fleetRetryWindow)
		f.fail(fault, 1)
		f.load(perSecond/30, 11*time.Second)
	}, false},
	{"one has no links to the targets", 9, 50, func(f *retryFleet, fault targetFault, perSecond int) {
		f.load(perSecond, settled)
		f.cutLinks([]int{0}, linkHangs)
		f.load(perSecond, 3*time.Second)
		f.fail(fault, 1)
		f.load(perSecond, 11*time.Second)
	}, true},
}

// TestFleetRetriesStayWithinBudget guards against instances each of which keeps its own retry budget while the
// fleet makes more retries than it may.
func TestFleetRetriesStayWithinBudget(t *testing.T) {
	for _, s := range retryScenarios {
		for _, fault := range []targetFault{targetsRefuse, targetsBreak, targetsCut} {
			t.Run(fmt.Sprint(s.name, ", targets ", fault), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newRetryFleet(t, s.instances, fault)
					defer f.stop()
					s.play(f, fault, s.perSecond)
					f.callers.Wait()
					repeats, allowed := f.counter.worst()
					t.Logf("%d retries in the worst window, %.0f allowed", repeats, allowed)
					if float64(repeats) > allowed {
						t.Errorf("%d retries in a window, %.0f allowed", repeats, allowed)
					}
					if all, charged, free := f.counter.totals(); all > charged {
						t.Errorf("%d arrivals beyond the first, but %d retries charged (%d free)", all, charged, free)
					}
					f.counter.mu.Lock()
					defer f.counter.mu.Unlock()
					if fault == targetsCut && f.counter.resumed == 0 {
						t.Error("no stream was resumed")
					}
					if s.relays && f.counter.relayed == 0 {
						t.Error("no attempt went through a peer")
					}
				})
			})
		}
	}
}

// TestTransportRepeatsNothing guards against requests that net/http sends again by itself, without a charge: GET requests
// without a body, on kept connections that their target closes instead of answering.
func TestTransportRepeatsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRetryFleet(t, 1, targetsBreak)
		defer f.stop()
		get := func(id string) trafficResponse {
			conn := f.dialCaller(0)
			defer conn.Close()
			return roundTrip(conn, fmt.Sprintf("GET %sx HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: key\r\n\r\n", pathSafe, anyHost, trafficID, id, trafficKey))
		}
		for i := range 20 { // to each target, on a connection that stays
			is.Equal(get(fmt.Sprint("before ", i)).status, http.StatusOK)
		}
		set := *f.gateways[0].settings()
		set.Retry = RetryBudget{Window: fleetRetryWindow} // no retry of the instance's own
		f.gateways[0].Reload(&set)
		f.fail(targetsBreak, 1)
		for i := range 20 {
			is.True(get(fmt.Sprint("broken ", i)).status != http.StatusOK)
		}
		repeats, charged, _ := f.counter.totals()
		is.Equal(repeats, 0)
		is.Equal(charged, 0)
	})
}

// TestRetriesHelpCallers guards against a retry budget that is kept by giving up the retries that callers need: of
// requests that fail here and there, of those to one target that fails, and of those to instances that have just
// started.
func TestRetriesHelpCallers(t *testing.T) {
	oneFails := func(m *memoryTarget, w http.ResponseWriter, r *http.Request) bool {
		return m.name == "t-00" && targetsBreak.serve(1)(m, w, r)
	}
	cases := []struct {
		name             string
		instances, rate  int
		minServedPerCent int
		play             func(f *retryFleet, rate int)
	}{
		{"one in ten fails", 9, 40, 97, func(f *retryFleet, rate int) {
			f.fail(targetsBreak, 10)
			f.load(rate, 20*time.Second)
		}},
		{"one target fails", 9, 60, 98, func(f *retryFleet, rate int) {
			f.load(rate, settled)
			f.forget()
			f.setFault(oneFails)
			f.load(rate, 10*time.Second)
		}},
		{"one in ten fails, few requests", 9, 3, 97, func(f *retryFleet, rate int) {
			f.fail(targetsBreak, 10)
			f.load(rate, 60*time.Second)
		}},
		{"one in ten fails, many instances", 60, 40, 92, func(f *retryFleet, rate int) {
			f.fail(targetsBreak, 10)
			f.load(rate, 50*time.Second)
		}},
		{"one in ten fails, all have just started", 9, 40, 93, func(f *retryFleet, rate int) {
			f.load(rate, settled)
			f.forget()
			f.fail(targetsBreak, 10)
			f.restartAll()
			time.Sleep(time.Second)
			f.load(rate, 3*time.Second)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newRetryFleet(t, c.instances, targetsBreak)
				defer f.stop()
				c.play(f, c.rate)
				f.callers.Wait()
				requests := len(f.counter.requests)
				t.Logf("%d of %d requests served, %d retries", f.counter.served, requests, len(f.counter.repeats))
				is.True(f.counter.served*100 >= c.minServedPerCent*requests)
			})
		})
	}
}
