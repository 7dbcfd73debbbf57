package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Targets that name a limit of requests a second, for all instances together, while instances restart, split, or
// were never told by the target.

// limitHeader is the header in which the targets of limitCodec name their limit.
const limitHeader = "Limit"

// limitCodec is brittleCodec with limits.
type limitCodec struct{ brittleCodec }

// ParseResponse implements Codec.
func (limitCodec) ParseResponse(status int, h http.Header) TargetResponse {
	r := brittleCodec{}.ParseResponse(status, h)
	if perSecond, err := strconv.ParseFloat(h.Get(limitHeader), 64); err == nil {
		r.Notice.Limit = RateLimit{Named: true, PerSecond: perSecond}
	}
	return r
}

// Bounds of what a limited target may get: over limitWindow, limitFactor times its limit and limitSlack more, from
// limitContact after it first named it, or after an instance has started.
const (
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
	limitContact = 3 * time.Second
)

// limitArrival is a request that reached a limited target.
type limitArrival struct {
	at       time.Time
	instance int
}

// limitResult is how a request ended for its caller.
type limitResult struct {
	sentAt   time.Time
	took     time.Duration
	instance int
	path     string
	status   int
}

// limitFleet is a fleet with targets that name limits.
type limitFleet struct {
	*trafficFleet
	limited map[string]bool // names of the targets that name the limit

	mu        sync.Mutex
	perSecond float64 // 0: none is named
	since     time.Time
	arrivals  map[string][]limitArrival // by target
	results   []limitResult
	started   map[int]time.Time // last start, by instance
	callers   sync.WaitGroup
	sent      int
	callersAt func(n int) int // instance that gets the n-th request; nil: the instances in turn
}

func newLimitFleet(t *testing.T, n, targets, limited int) *limitFleet {
	f := &limitFleet{limited: map[string]bool{}, arrivals: map[string][]limitArrival{}, started: map[int]time.Time{}}
	for i := range limited {
		f.limited[fmt.Sprintf("t-%02d", i)] = true
	}
	f.trafficFleet = newFleetWith(t, n, 3, targets, fleetOptions{codec: limitCodec{}, serve: f.serve, editSettings: func(s *Settings) {
		s.Seeds = s.Seeds[:min(n, len(s.Seeds))]
	}})
	return f
}

// setLimit makes the limited targets name a limit from now on; 0: none.
func (f *limitFleet) setLimit(perSecond float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.perSecond == 0 {
		f.since = time.Now()
	}
	f.perSecond = perSecond
}

// serve answers a request; its body names the instance that it was sent to.
func (f *limitFleet) serve(m *memoryTarget, w http.ResponseWriter, r *http.Request) bool {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return true
	}
	instance, _ := strconv.Atoi(string(body))
	f.mu.Lock()
	f.arrivals[m.name] = append(f.arrivals[m.name], limitArrival{at: time.Now(), instance: instance})
	perSecond := f.perSecond
	f.mu.Unlock()
	time.Sleep(runTime)
	w.Header().Set(trafficID, r.Header.Get(trafficID))
	if perSecond > 0 && f.limited[m.name] {
		w.Header().Set(limitHeader, strconv.FormatFloat(perSecond, 'f', -1, 64))
	}
	if strings.HasPrefix(r.URL.Path, pathAudit) || strings.HasPrefix(r.URL.Path, pathResumable) {
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\nid: 2\ndata: y\nevent: end\n\n")
		return true
	}
	_, _ = w.Write(body)
	return true
}

// limitPaths are requests of each kind of route.
var limitPaths = []string{pathOnce, pathSafe, pathAudit, pathResumable}

// load sends requests of all kinds at a rate for a time, to the instances in turn.
func (f *limitFleet) load(perSecond int, during time.Duration) {
	n := int(during.Seconds() * float64(perSecond))
	for range n {
		i, path := f.sent%len(f.gateways), limitPaths[f.sent/len(f.gateways)%len(limitPaths)]
		if f.callersAt != nil {
			i = f.callersAt(f.sent)
		}
		f.sent++
		address := f.gateways[i].settings().CallerListen
		f.callers.Go(func() {
			start := time.Now()
			resp := f.requestAt(address, path, strconv.Itoa(i))
			f.mu.Lock()
			defer f.mu.Unlock()
			f.results = append(f.results, limitResult{sentAt: start, took: time.Since(start), instance: i, path: path, status: resp.status})
		})
		time.Sleep(during / time.Duration(n))
	}
}

// restart kills an instance and starts it again at once.
func (f *limitFleet) restart(i int) {
	f.kill(i)
	f.start(i)
	f.noteStart(i)
}

// noteStart notes that an instance has just been started.
func (f *limitFleet) noteStart(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started[i] = time.Now()
}

// split cuts the links between the first instances and the others, or mends them.
func (f *limitFleet) split(first int, cut linkCut) {
	f.cutPeers(func(instance int) int { return min(instance/first, 1) }, cut)
}

// checkLimit checks that, until a time, the sum over all instances kept to the limit at each limited target.
func (f *limitFleet) checkLimit(until time.Time) {
	f.t.Helper()
	f.callers.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	allowed := limitFactor*limitWindow.Seconds()*f.perSecond + limitSlack
	for name := range f.limited {
		worst := 0
		var counted []limitArrival
		for _, a := range f.arrivals[name] {
			if a.at.Sub(f.since) >= limitContact && a.at.Before(until) && a.at.Sub(f.started[a.instance]) >= limitContact {
				counted = append(counted, a)
			}
		}
		for i, first := range counted {
			n := 0
			for _, a := range counted[i:] {
				if a.at.Sub(first.at) < limitWindow {
					n++
				}
			}
			worst = max(worst, n)
		}
		f.t.Logf("%s: %d requests in the worst %v, %.0f allowed", name, worst, limitWindow, allowed)
		if float64(worst) > allowed {
			f.t.Errorf("%s: %d requests in %v, %.0f allowed", name, worst, limitWindow, allowed)
		}
	}
}

// arrivedSince returns how many requests reached the limited targets from a time on.
func (f *limitFleet) arrivedSince(from time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for name := range f.limited {
		for _, a := range f.arrivals[name] {
			if !a.at.Before(from) {
				n++
			}
		}
	}
	return n
}

// checkUse checks that the limited targets got at least a share of what they allow, from a time until now.
func (f *limitFleet) checkUse(from time.Time, share float64) {
	f.t.Helper()
	got, allows := f.arrivedSince(from), f.perSecond*float64(len(f.limited))*time.Since(from).Seconds()
	f.t.Logf("%d requests at limited targets, which allow %.0f", got, allows)
	if float64(got) < share*allows {
		f.t.Errorf("%d requests at limited targets, which allow %.0f: less than %.0f%%", got, allows, share*100)
	}
}

// checkResults checks how requests sent from a time on ended: refused ones at once, and at least a share served.
func (f *limitFleet) checkResults(from time.Time, share float64) {
	f.t.Helper()
	const maxRefusalTime = 300 * time.Millisecond
	f.callers.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	served, all := 0, 0
	for _, r := range f.results {
		if r.sentAt.Before(from) || r.sentAt.Sub(f.started[r.instance]) < limitContact {
			continue
		}
		all++
		switch {
		case r.status == http.StatusOK:
			served++
		case r.status != http.StatusServiceUnavailable || r.took > maxRefusalTime:
			f.t.Errorf("%s at instance %d: status %d after %v", r.path, r.instance, r.status, r.took)
		}
	}
	f.t.Logf("%d of %d requests served", served, all)
	if float64(served) < share*float64(all) {
		f.t.Errorf("%d of %d requests served, less than %.0f%%", served, all, share*100)
	}
}

// limitScenario is what happens to a fleet whose targets name a limit.
type limitScenario struct {
	name               string
	instances, targets int
	limited            int
	perSecond          float64
	play               func(f *limitFleet)
}

const (
	limitLoad = 60 // requests a second
	// mostOfLimit is the share of what a limit allows that is used where callers want more.
	mostOfLimit = 0.6
)

// limitedFor lets the targets name the limit for a time under load, and checks it.
func limitedFor(f *limitFleet, during time.Duration) {
	f.load(limitLoad, during)
	f.checkLimit(time.Now())
}

var limitScenarios = []limitScenario{
	{"one target of six", 9, 6, 1, 1, func(f *limitFleet) {
		limitedFor(f, 12*time.Second)
		f.checkResults(f.since.Add(limitContact), 0.99)
	}},
	{"one target of six, one instance", 1, 6, 1, 1.7, func(f *limitFleet) {
		limitedFor(f, 12*time.Second)
		f.checkResults(f.since.Add(limitContact), 0.99)
	}},
	{"one target of six, many instances", 60, 6, 1, 2, func(f *limitFleet) {
		limitedFor(f, 12*time.Second)
		f.checkResults(f.since.Add(limitContact), 0.99)
	}},
	{"all targets", 9, 6, 6, 2, func(f *limitFleet) {
		limitedFor(f, 12*time.Second)
		f.checkUse(f.since.Add(limitContact), mostOfLimit)
		f.checkResults(f.since.Add(limitContact), 0.1)
	}},
	{"all targets, many instances", 60, 6, 6, 2, func(f *limitFleet) {
		limitedFor(f, 12*time.Second)
		f.checkUse(f.since.Add(limitContact), mostOfLimit)
		f.checkResults(f.since.Add(limitContact), 0.1)
	}},
	{"all targets, one instance", 1, 3, 3, 5, func(f *limitFleet) {
		limitedFor(f, 12*time.Second)
		f.checkUse(f.since.Add(limitContact), mostOfLimit)
		f.checkResults(f.since.Add(limitContact), 0.1)
	}},
	{"all targets, less than one a second", 9, 3, 3, 0.3, func(f *limitFleet) {
		limitedFor(f, 30*time.Second)
		f.checkUse(f.since.Add(limitContact), mostOfLimit)
		f.checkResults(f.since.Add(limitContact), 0)
	}},
	{"all targets, limits that bind little", 9, 3, 3, 15, func(f *limitFleet) {
		limitedFor(f, 12*time.Second)
		f.checkUse(f.since.Add(limitContact), mostOfLimit)
		f.checkResults(f.since.Add(limitContact), 0.5)
	}},
	{"the limit changes", 9, 3, 3, 6, func(f *limitFleet) {
		limitedFor(f, 8*time.Second)
		f.setLimit(1)
		f.load(limitLoad, 2*time.Second)
		f.since = time.Now().Add(-limitContact)
		limitedFor(f, 8*time.Second)
		f.setLimit(4)
		f.load(limitLoad, 3*time.Second)
		raised := time.Now()
		limitedFor(f, 8*time.Second)
		f.checkUse(raised, mostOfLimit)
	}},
	{"the limit ends", 9, 6, 2, 1, func(f *limitFleet) {
		limitedFor(f, 8*time.Second)
		f.setLimit(0)
		f.load(limitLoad, 3*time.Second)
		ended := time.Now()
		f.load(limitLoad, 6*time.Second)
		f.callers.Wait()
		fair := limitLoad * 6 * len(f.limited) / len(f.targets)
		if got := f.arrivedSince(ended); got < fair/2 {
			f.t.Errorf("%d requests at targets whose limit ended, %d were their part", got, fair)
		}
		f.checkResults(ended, 1)
	}},
	{"the limit of all ends", 9, 3, 3, 0.5, func(f *limitFleet) {
		limitedFor(f, 8*time.Second)
		f.setLimit(0)
		f.load(limitLoad, 4*time.Second)
		ended := time.Now()
		f.load(limitLoad, 4*time.Second)
		f.checkResults(ended, 1)
	}},
	{"each instance restarts", 9, 3, 3, 2, func(f *limitFleet) {
		f.load(limitLoad, 4*time.Second)
		for i := range f.gateways {
			f.restart(i)
			f.load(limitLoad, time.Second)
		}
		limitedFor(f, 8*time.Second)
		f.checkUse(f.since.Add(limitContact), mostOfLimit)
	}},
	{"all instances restart", 9, 3, 3, 2, func(f *limitFleet) {
		f.load(limitLoad, 4*time.Second)
		f.restartAll()
		for i := range f.gateways {
			f.noteStart(i)
		}
		f.load(limitLoad, limitContact)
		settled := time.Now()
		limitedFor(f, 10*time.Second)
		f.checkUse(settled.Add(limitContact), mostOfLimit)
	}},
	{"most are told by a peer only", 9, 3, 3, 2, func(f *limitFleet) {
		f.callersAt = func(int) int { return 0 }
		f.load(limitLoad, limitContact)
		f.callersAt = func(n int) int { return 1 + n%(len(f.gateways)-1) } // their first requests since the limit
		limitedFor(f, 8*time.Second)
		f.checkUse(f.since.Add(limitContact), mostOfLimit)
	}},
	{"instances are added", 6, 3, 3, 2, func(f *limitFleet) {
		f.load(limitLoad, 4*time.Second)
		for range 6 {
			f.noteStart(f.addInstance())
			f.load(limitLoad, 500*time.Millisecond)
		}
		limitedFor(f, 10*time.Second)
		f.checkUse(f.since.Add(limitContact), mostOfLimit)
	}},
	{"the fleet splits", 9, 3, 3, 2, func(f *limitFleet) {
		f.load(limitLoad, 4*time.Second)
		f.split(4, linkHangs)
		limitedFor(f, 20*time.Second)
		f.checkUse(f.since.Add(limitContact+4*time.Second), mostOfLimit)
		f.split(4, linkIntact)
		limitedFor(f, 8*time.Second)
	}},
	{"one instance has lost its peers", 9, 3, 3, 2, func(f *limitFleet) {
		f.split(1, linkHangs)
		limitedFor(f, 20*time.Second)
		f.checkUse(f.since.Add(limitContact), mostOfLimit)
	}},
	{"one instance has lost its targets", 9, 3, 3, 2, func(f *limitFleet) {
		f.cutLinks([]int{0}, linkHangs)
		limitedFor(f, 12*time.Second)
		f.checkUse(f.since.Add(limitContact), mostOfLimit)
	}},
}

// TestLimitsHoldForAllInstances guards against instances that send a target more requests a second, all together,
// than it takes, and against limited targets that stand idle while requests are refused.
func TestLimitsHoldForAllInstances(t *testing.T) {
	for _, s := range limitScenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newLimitFleet(t, s.instances, s.targets, s.limited)
				defer f.stop()
				f.load(limitLoad, time.Second)
				f.setLimit(s.perSecond)
				s.play(f)
				f.callers.Wait()
			})
		})
	}
}
