package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// A part of prompts that crashes each target that begins to answer on it, whatever else the request holds.

// Limits on the harm of such a part: after maxPartCrashes crashes and the time in which all instances learn of
// them, at most maxLatePartArrivals requests with it may reach targets.
const (
	maxPartCrashes      = 5
	maxLatePartArrivals = 3
)

// trafficParts is the header with the parts of a prompt.
const trafficParts = "Parts"

// partModel is the model of all prompts.
const partModel = "m"

// partCodec is versionCodec with prompts.
type partCodec struct{ versionCodec }

// Keys of the customers of a partCodec beside the one with the key "key". The last one is isolated.
var partKeys = []string{"key-0", "key-1", "key-2", "key-3", "key-walled"}

// DecodeConfig implements Codec.
func (partCodec) DecodeConfig(value []byte) (*catalog.Config, error) {
	var d storedConfig
	if err := json.Unmarshal(value, &d); err != nil {
		return nil, err
	}
	spec := linkConfig(d)
	for i, key := range partKeys {
		spec.Customers = append(spec.Customers, catalog.CustomerKeys{Customer: catalog.Customer{Name: key, Isolated: i == len(partKeys)-1}, Keys: []string{key}})
	}
	return catalog.NewConfig(spec), nil
}

// ParseRequest implements Codec.
func (c partCodec) ParseRequest(h http.Header) (CallerRequest, error) {
	call, err := c.versionCodec.ParseRequest(h)
	call.Prompt = &Prompt{Model: partModel}
	for _, id := range strings.Split(h.Get(trafficParts), ",") {
		call.Prompt.Parts = append(call.Prompt.Parts, Part{ID: id, Tokens: 100})
		call.Prompt.Tokens += 100
	}
	return call, err
}

// ForwardHeader implements Codec.
func (c partCodec) ForwardHeader(in http.Header, a Attempt) http.Header {
	h := c.versionCodec.ForwardHeader(in, a)
	h[trafficParts] = in[trafficParts]
	return h
}

// crashingPart is the part that crashes targets.
const crashingPart = "bad"

// partCrash is what a target has sent when it crashes.
type partCrash int

const (
	crashBeforeHead partCrash = iota
	crashAfterHead
	crashAfterEvents
)

// partFleet is a fleet whose targets crash on crashingPart.
type partFleet struct {
	*trafficFleet
	crash     partCrash
	addresses []string // of the instances, for callers

	mu       sync.Mutex
	seq      int
	crashes  []time.Time
	arrivals []time.Time // of requests with crashingPart at targets
}

// newPartFleet starts n instances and 16 targets.
func newPartFleet(t *testing.T, n int, crash partCrash) *partFleet {
	f := &partFleet{crash: crash}
	f.trafficFleet = newFleetWith(t, n, 3, 0, fleetOptions{codec: partCodec{}, serve: f.serve,
		editSettings: func(s *Settings) { s.Retry.Share, s.Retry.Slack = linkRetryShare, linkRetrySlack }})
	for i := range 16 {
		m := &memoryTarget{f: f.trafficFleet, name: fmt.Sprintf("t-%02d", i), zone: fmt.Sprintf("z%d", i%f.zones),
			models: []catalog.ModelVersion{{Model: partModel, Version: 1}}}
		f.targets = append(f.targets, m)
		m.start()
	}
	for _, g := range f.gateways {
		f.addresses = append(f.addresses, g.settings().CallerListen)
	}
	time.Sleep(time.Second)
	return f
}

// serve answers requests for streams, and crashes on crashingPart.
func (f *partFleet) serve(m *memoryTarget, w http.ResponseWriter, r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	bad := strings.Contains(r.Header.Get(trafficParts), crashingPart)
	if bad {
		f.mu.Lock()
		f.arrivals = append(f.arrivals, time.Now())
		f.mu.Unlock()
	}
	w.Header().Set(trafficID, r.Header.Get(trafficID))
	for i := 1; i <= linkEvents; i++ {
		time.Sleep(linkEventInterval)
		if bad && (i == 1 && f.crash != crashAfterEvents || i == 3) {
			if f.crash == crashAfterHead {
				w.WriteHeader(http.StatusOK)
				w.(http.Flusher).Flush()
				time.Sleep(2 * networkDelay)
			}
			f.mu.Lock()
			f.crashes = append(f.crashes, time.Now())
			f.mu.Unlock()
			m.crash()
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", i); err != nil {
			return true
		}
		w.(http.Flusher).Flush()
	}
	return true
}

// lateArrivals returns the arrivals of requests with the part, later than propagationTime after the
// maxPartCrashes-th crash, and the time of that crash, or of the last one if there are fewer.
func (f *partFleet) lateArrivals() (late int, last time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	last = f.crashes[min(len(f.crashes), maxPartCrashes)-1]
	for _, at := range f.arrivals {
		if len(f.crashes) >= maxPartCrashes && at.Sub(last) > propagationTime {
			late++
		}
	}
	return late, last
}

// partRequest is a request and when it was sent.
type partRequest struct {
	sentAt time.Time
	served bool
}

// send sends one request, with an own last part. It reports whether its whole answer came.
func (f *partFleet) send(instance int, path string, parts ...string) bool {
	return f.sendWithKey(instance, "key", path, parts...)
}

// sendWithKey is send for the customer with an API key.
func (f *partFleet) sendWithKey(instance int, key, path string, parts ...string) bool {
	f.mu.Lock()
	f.seq++
	seq := f.seq
	f.mu.Unlock()
	parts = slices.Concat(parts, []string{fmt.Sprint("own-", seq)})
	ctx, cancel := context.WithTimeout(f.t.Context(), 5*time.Second)
	defer cancel()
	conn, err := f.net.dialFrom("caller")(ctx, "memory", f.addresses[instance])
	if err != nil {
		return false
	}
	defer conn.Close()
	body := fmt.Sprint("body ", seq)
	fmt.Fprintf(conn, "POST %s%d HTTP/1.1\r\nHost: %s\r\n%s: p-%d\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", path, seq, anyHost, trafficID, seq, trafficKey, key,
		trafficParts, strings.Join(parts, ","), len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// sendEvery sends requests with parts at an interval to the instances in turn, for a time.
func (f *partFleet) sendEvery(path string, every, during time.Duration, parts func(k int) []string) []partRequest {
	out := make([]partRequest, during/every)
	var callers sync.WaitGroup
	for k := range out {
		callers.Go(func() {
			sentAt := time.Now()
			out[k] = partRequest{sentAt, f.send(k%len(f.gateways), path, parts(k)...)}
		})
		time.Sleep(every)
	}
	callers.Wait()
	return out
}

// partCase is how a part crashes targets.
type partCase struct {
	name      string
	instances int
	path      string
	parts     []string // shared ones
	perSecond int
	crash     partCrash
	during    func(f *partFleet) // beside the requests
}

var partCases = []partCase{
	{"resumable, first part, 7 a second", 3, pathResumable, []string{crashingPart, "a", "b"}, 7, crashAfterHead, nil},
	{"resumable, middle part, 7 a second, some events", 3, pathResumable, []string{"a", crashingPart, "b"}, 7, crashAfterEvents, nil},
	{"not resumable, middle part, 7 a second, nine instances", 9, pathAudit, []string{"a", crashingPart, "b"}, 7, crashAfterHead, nil},
	{"not resumable, first part, one a second", 3, pathAudit, []string{crashingPart, "a"}, 1, crashBeforeHead, nil},
	{"resumable, deep part, one a second, nine instances", 9, pathResumable, []string{"a", "b", "c", "d", "e", crashingPart}, 1, crashAfterEvents, nil},
	{"idempotent, middle part, 7 a second", 9, pathSafe, []string{"a", crashingPart, "b"}, 7, crashBeforeHead, nil},
	{"not resumable, one a second, sixty instances", 60, pathAudit, []string{"a", crashingPart, "b"}, 1, crashAfterHead, nil},
	{"all instances restart", 9, pathAudit, []string{"a", crashingPart, "b"}, 7, crashAfterHead, func(f *partFleet) {
		time.Sleep(8 * time.Second)
		f.restartAll()
	}},
	{"the object store is silent", 9, pathAudit, []string{"a", crashingPart, "b"}, 7, crashAfterHead, func(f *partFleet) { f.silenceStore(true) }},
}

// partTime is how long requests with a crashing part come.
const partTime = 20 * time.Second

// TestDeadlyPart guards against a part of prompts that crashes one target after the other though no two
// requests with it are alike, and against sound requests that are refused for it though they lack it.
func TestDeadlyPart(t *testing.T) {
	for _, c := range partCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { checkCrashingPart(t, c) })
		})
	}
}

func checkCrashingPart(t *testing.T, c partCase) {
	f := newPartFleet(t, c.instances, c.crash)
	defer f.stop()
	sound := make([]string, 0, len(c.parts))
	for _, p := range c.parts {
		if p != crashingPart {
			sound = append(sound, p)
		}
	}
	var served []partRequest
	var senders sync.WaitGroup
	senders.Go(func() {
		served = f.sendEvery(c.path, 60*time.Millisecond, partTime, func(int) []string { return sound })
	})
	senders.Go(func() {
		f.sendEvery(c.path, time.Second/time.Duration(c.perSecond), partTime, func(int) []string { return c.parts })
	})
	if c.during != nil {
		senders.Go(func() { c.during(f) })
	}
	senders.Wait()
	late, last := f.lateArrivals()
	after, ok := 0, 0
	for _, r := range served {
		if r.sentAt.Sub(last) < 2*propagationTime {
			continue
		}
		after++
		if r.served {
			ok++
		}
	}
	t.Logf("%d crashes, %d late arrivals, %d of %d sound requests served afterwards", len(f.crashes), late, ok, after)
	if late > maxLatePartArrivals {
		t.Errorf("%d requests with the part reached targets later than %v after the fifth crash", late, propagationTime)
	}
	if c.during == nil && ok < after*19/20 {
		t.Errorf("%d of %d sound requests were served", ok, after)
	}
}

// TestDeadlyPartOfCustomers guards against a part that crashes targets for each customer anew, and against
// a customer that has others refused: by requests that share a part with theirs and crash targets by another.
func TestDeadlyPartOfCustomers(t *testing.T) {
	t.Run("several customers send it", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newPartFleet(t, 9, crashAfterHead)
			defer f.stop()
			for _, key := range partKeys[:4] {
				for i := range 7 {
					go f.sendWithKey(i, key, pathAudit, "a", crashingPart)
					time.Sleep(time.Second)
				}
			}
			late, _ := f.lateArrivals()
			t.Logf("%d crashes, %d late arrivals", len(f.crashes), late)
			if late > maxLatePartArrivals {
				t.Errorf("%d requests with the part reached targets later than %v after the fifth crash", late, propagationTime)
			}
		})
	})
	t.Run("one customer crashes targets with a part that others use", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newPartFleet(t, 9, crashAfterHead)
			defer f.stop()
			for k := range 20 { // nobody else has used the part "rule" lately
				go f.sendWithKey(k%9, partKeys[0], pathAudit, "rule", crashingPart)
				time.Sleep(300 * time.Millisecond)
			}
			time.Sleep(5 * time.Second)
			var callers sync.WaitGroup
			for _, key := range partKeys[1:] {
				callers.Go(func() {
					if !f.sendWithKey(4, key, pathAudit, "rule") {
						t.Errorf("customer %s is refused", key)
					}
				})
			}
			callers.Wait()
		})
	})
}

// TestSeldomPartsAreServed guards against sound requests that are refused since a part of theirs, which few others
// have, was at several targets as these crashed.
func TestSeldomPartsAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPartFleet(t, 9, crashAfterHead)
		defer f.stop()
		var served []partRequest
		var senders sync.WaitGroup
		senders.Go(func() {
			served = f.sendEvery(pathAudit, 50*time.Millisecond, partTime, func(k int) []string { return []string{"a", fmt.Sprint("seldom-", k/4%40)} })
		})
		senders.Go(func() {
			f.sendEvery(pathAudit, 150*time.Millisecond, partTime, func(int) []string { return []string{"a", crashingPart} })
		})
		senders.Wait()
		_, fifth := f.lateArrivals()
		after, ok := 0, 0
		for _, r := range served {
			if r.sentAt.Sub(fifth) >= 2*propagationTime {
				after++
				if r.served {
					ok++
				}
			}
		}
		t.Logf("%d crashes, %d of %d sound requests served afterwards", len(f.crashes), ok, after)
		if ok < after*19/20 {
			t.Errorf("%d of %d sound requests were served", ok, after)
		}
	})
}
