package cachestore_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shedhoist/shedhoist/internal/core/cachestore"
)

// modelBounds are short, so that a run of few steps exceeds them.
var modelBounds = cachestore.Bounds{SaveAge: 7 * tick, SaveTime: 5 * tick, FetchAge: 16 * tick, FetchTime: 10 * tick}

// tick is the time unit of the model.
const tick = time.Millisecond

// modelStore is a cache store: a write takes time to complete, and its completion is
// appended to an event log.
type modelStore struct {
	epoch        uint64
	held         map[cachestore.Key]bool
	writingUntil map[cachestore.Key]time.Time // when the write ends
	writers      map[cachestore.Key]int       // instance that requested the write
	log          []cachestore.Event
	lostEvents   map[int]bool // events that are never delivered, by index in the log

	lateUntil map[cachestore.Key]time.Time // when a late write ends
}

func newModelStore(epoch uint64) *modelStore {
	return &modelStore{epoch: epoch, held: map[cachestore.Key]bool{}, writingUntil: map[cachestore.Key]time.Time{}, writers: map[cachestore.Key]int{}, lostEvents: map[int]bool{}, lateUntil: map[cachestore.Key]time.Time{}}
}

func (s *modelStore) record(e cachestore.Event, lost bool) {
	s.log = append(s.log, e)
	s.lostEvents[len(s.log)-1] = lost
}

// modelResponse is an in-flight response of the store or of another instance.
type modelResponse struct {
	to          int
	from        int // instance, or -1 for the store
	requestedAt time.Time
	response    cachestore.Response // Received is set on delivery
	list        bool
	gap         bool
	held        []cachestore.StoredPart
	ages        []time.Duration // of held, by the sender's clock
	events      []cachestore.Event
}

// modelInstance is an instance with a clock of its own.
type modelInstance struct {
	cachestore.Inventory
	clockOffset     time.Duration // ahead of the model's clock
	awaitsResponse  bool          // a response to it is in flight
	learnedFromPeer bool          // its state is from another instance; it must list the store before it applies the store's events
}

// modelReport is what an instance last reported to another: how far it has followed the store's
// events, and the parts of which it has a pending save.
type modelReport struct {
	epoch, next uint64
	pending     map[cachestore.Key]bool
}

// modelMessage is a report in flight.
type modelMessage struct {
	from, to int
	report   modelReport
}

// modelSave is a save that was requested but not yet executed.
type modelSave struct {
	owner  int
	key    cachestore.Key
	lateAt time.Time // from then on all instances know that it is late
	until  time.Time // latest time of its execution
}

// cacheModel is a store, instances whose views of it may be inconsistent, and the saves and
// fetches in progress.
type cacheModel struct {
	t            *rapid.T
	now          time.Time
	store        *modelStore
	instances    []*modelInstance
	responses    []modelResponse
	saves        []modelSave
	fetchesUntil map[cachestore.Key]time.Time // when the last of them ends
	messages     []modelMessage               // delivered in order between any two instances
	reports      map[[2]int]modelReport       // by sender and receiver
	counts       map[string]int
}

func newCacheModel(t *rapid.T) *cacheModel {
	m := &cacheModel{t: t, now: time.Unix(1000, 0), store: newModelStore(1), fetchesUntil: map[cachestore.Key]time.Time{}, reports: map[[2]int]modelReport{}, counts: map[string]int{}}
	for i := range 3 {
		m.instances = append(m.instances, &modelInstance{clockOffset: time.Duration(i) * time.Hour})
	}
	return m
}

func (m *cacheModel) clock(i int) time.Time { return m.now.Add(m.instances[i].clockOffset) }

func (m *cacheModel) draw(name string, n int) int { return rapid.IntRange(0, n-1).Draw(m.t, name) }

func (m *cacheModel) key() cachestore.Key {
	return cachestore.Key{Salt: "s", Part: fmt.Sprint(m.draw("part", 2))}
}

// advance moves the clock forward: due writes complete, and saves whose time is up are executed.
func (m *cacheModel) advance(d time.Duration) {
	m.now = m.now.Add(d)
	for k, until := range m.store.writingUntil {
		if until.After(m.now) {
			continue
		}
		delete(m.store.writingUntil, k)
		m.store.held[k] = true
		m.store.record(cachestore.Event{Key: k, Added: true, Tokens: 1}, m.chance("lost", 10))
	}
	for _, s := range m.saves {
		if !m.now.Before(s.until) {
			m.beginWrite(s) // at the latest possible time
		}
	}
	m.saves = filter(m.saves, func(s modelSave) bool { return m.now.Before(s.until) })
}

// filter returns the elements that accept returns true for.
func filter[T any](in []T, accept func(T) bool) (out []T) {
	for _, x := range in {
		if accept(x) {
			out = append(out, x)
		}
	}
	return out
}

// beginWrite executes a save: the part is incomplete until the write ends.
func (m *cacheModel) beginWrite(s modelSave) {
	if m.store.held[s.key] {
		return
	}
	if _, writing := m.store.writingUntil[s.key]; writing {
		return
	}
	m.counts["write"]++
	until := s.lateAt            // ends on time
	if !m.now.Before(s.lateAt) { // late: reported as such until it ends
		until = m.now.Add(2 * tick)
		m.store.lateUntil[s.key] = until
		m.counts["late"]++
	}
	m.store.writingUntil[s.key], m.store.writers[s.key] = until, s.owner
	m.check()
}

// check fails the test if a part is fetched while it is written.
func (m *cacheModel) check() {
	for k, until := range m.store.writingUntil {
		if m.fetchesUntil[k].After(m.now) && until.After(m.now) {
			m.t.Fatalf("%s is fetched until %v while it is written until %v", k.Part, m.fetchesUntil[k].Sub(m.now), until.Sub(m.now))
		}
	}
}

// request sends an instance's request to the store and puts the response in flight.
func (m *cacheModel) request(i int) {
	instance := m.instances[i]
	if instance.awaitsResponse {
		return
	}
	instance.awaitsResponse = true
	_, next, known := instance.Position()
	resp := modelResponse{to: i, from: -1, requestedAt: m.clock(i), response: cachestore.Response{Epoch: m.store.epoch, NextEvent: uint64(len(m.store.log))}, list: !known || instance.HasGap() || instance.learnedFromPeer}
	if resp.list {
		for k := range m.store.held {
			resp.held = append(resp.held, cachestore.StoredPart{Key: k, Tokens: 1})
		}
	} else {
		for n := int(next); n < len(m.store.log); n++ {
			if m.store.lostEvents[n] {
				resp.gap = true
				continue
			}
			resp.events = append(resp.events, m.store.log[n])
		}
	}
	m.responses = append(m.responses, resp)
}

// relay sends the full inventory of one instance to another.
func (m *cacheModel) relay(from, to int) {
	source, destination := m.instances[from], m.instances[to]
	epoch, next, known := source.Position()
	if from == to || destination.awaitsResponse || !known {
		return
	}
	destination.awaitsResponse = true
	resp := modelResponse{to: to, from: from, requestedAt: m.clock(to), response: cachestore.Response{Epoch: epoch, NextEvent: next}, list: true, held: source.All()}
	resp.response.AsOf = m.clock(to).Add(-m.clock(from).Sub(source.AsOf()))
	resp.response.CompleteAsOf = m.clock(to).Add(-m.clock(from).Sub(source.CompleteAsOf()))
	for _, h := range resp.held {
		resp.ages = append(resp.ages, m.clock(from).Sub(h.CompletedAt))
	}
	m.responses = append(m.responses, resp)
}

// deliver delivers one of the responses in flight.
func (m *cacheModel) deliver(n int) {
	resp := m.responses[n]
	m.responses = append(m.responses[:n:n], m.responses[n+1:]...)
	instance, now := m.instances[resp.to], m.clock(resp.to)
	instance.awaitsResponse, instance.learnedFromPeer = false, resp.from >= 0
	if resp.from < 0 {
		resp.response.AsOf, resp.response.CompleteAsOf = resp.requestedAt, resp.requestedAt
	}
	for i := range resp.ages {
		resp.held[i].CompletedAt = now.Add(-resp.ages[i])
	}
	resp.response.Received = now
	if resp.list {
		instance.Replace(resp.response, resp.held)
		return
	}
	instance.Apply(resp.response, resp.gap, resp.events)
}

// save makes an instance request a save of a part, if that is allowed.
func (m *cacheModel) save(i int) {
	k := m.key()
	if !m.instances[i].Savable(k, m.clock(i), modelBounds) {
		return
	}
	m.counts["save"]++
	s := modelSave{owner: i, key: k, lateAt: m.now.Add(modelBounds.SaveTime), until: m.now.Add(modelBounds.SaveTime)}
	if m.chance("delayed", 4) {
		s.until = s.until.Add(time.Duration(m.draw("delay", 60)) * tick)
	}
	m.saves = append(m.saves, s)
}

// fetch makes an instance fetch a part, if that is allowed.
func (m *cacheModel) fetch(i int) {
	k := m.key()
	instance := m.instances[i]
	early := false
	known := func(epoch, event uint64) bool {
		early = m.reportedByAll(i, k, epoch, event)
		return early
	}
	if m.isLate(k) || instance.Fetchable(k, m.clock(i), modelBounds.FetchAge, modelBounds, known) == 0 {
		return
	}
	if early {
		m.counts["early fetch"]++
	}
	m.counts["fetch"]++
	if until := m.now.Add(modelBounds.FetchTime); until.After(m.fetchesUntil[k]) {
		m.fetchesUntil[k] = until
	}
	m.check()
}

// chance returns true with a probability of 1/n.
func (m *cacheModel) chance(name string, n int) bool { return m.draw(name, n) == 0 }

// report sends an instance's report to another.
func (m *cacheModel) report(from, to int) {
	instance := m.instances[from]
	epoch, next, known := instance.Position()
	if from == to || !known || instance.learnedFromPeer || instance.HasGap() {
		return
	}
	r := modelReport{epoch: epoch, next: next, pending: map[cachestore.Key]bool{}}
	for _, s := range m.saves {
		r.pending[s.key] = r.pending[s.key] || s.owner == from
	}
	for k := range m.store.writingUntil {
		r.pending[k] = r.pending[k] || m.store.writers[k] == from
	}
	m.messages = append(m.messages, modelMessage{from: from, to: to, report: r})
}

// deliverReport delivers the oldest report in flight from one instance to another.
func (m *cacheModel) deliverReport(from, to int) {
	for n, msg := range m.messages {
		if msg.from == from && msg.to == to {
			m.reports[[2]int{from, to}] = msg.report
			m.messages = append(m.messages[:n:n], m.messages[n+1:]...)
			return
		}
	}
}

// reportedByAll reports whether all other instances have reported to an instance that they know an
// event, and no instance has a pending save of the part.
func (m *cacheModel) reportedByAll(to int, k cachestore.Key, epoch, event uint64) bool {
	for from := range m.instances {
		r := m.reports[[2]int{from, to}]
		if from != to && (r.epoch != epoch || r.next < event || r.pending[k]) {
			return false
		}
	}
	for _, s := range m.saves {
		if s.key == k && s.owner == to {
			return false
		}
	}
	_, writing := m.store.writingUntil[k]
	return !writing || m.store.writers[k] != to
}

// isLate reports whether a save of a part is known to be late.
func (m *cacheModel) isLate(k cachestore.Key) bool {
	for _, s := range m.saves {
		if s.key == k && !m.now.Before(s.lateAt) {
			return true
		}
	}
	return m.now.Before(m.store.lateUntil[k])
}

// step sends some requests, delivers some responses and reports, and performs one random action.
func (m *cacheModel) step() {
	for i := range m.instances {
		if m.chance("ask", 3) {
			m.request(i)
		}
	}
	for n := len(m.responses) - 1; n >= 0; n-- {
		if m.chance("deliver", 4) {
			m.deliver(n)
		}
	}
	for from := range m.instances {
		for to := range m.instances {
			if from != to && m.chance("report", 3) {
				m.report(from, to)
			}
			if from != to && m.chance("deliver report", 2) {
				m.deliverReport(from, to)
			}
		}
	}
	switch i := m.draw("instance", len(m.instances)); m.draw("step", 8) {
	case 0:
		m.relay(i, m.draw("to", len(m.instances)))
	case 1, 2:
		m.save(i)
	case 3, 4:
		m.fetch(i)
	case 5:
		if len(m.saves) > 0 {
			n := m.draw("pending save", len(m.saves))
			s := m.saves[n]
			m.saves = append(m.saves[:n:n], m.saves[n+1:]...)
			m.beginWrite(s)
		}
	case 6:
		if m.chance("restart", m.restartChance()) {
			m.counts["restart"]++
			m.store = newModelStore(m.store.epoch + 1)
		}
	case 7:
		if k := m.key(); m.store.held[k] && m.knownByAll(k) && m.chance("free", 3) {
			m.counts["free"]++
			delete(m.store.held, k)
			m.store.record(cachestore.Event{Key: k}, m.chance("lost", 10))
		}
	}
	m.advance(time.Duration(m.draw("wait", 4)) * tick / 2)
}

// knownByAll reports whether all instances know that a part is held. Stores only free parts that
// have been complete for long.
func (m *cacheModel) knownByAll(k cachestore.Key) bool {
	for i, instance := range m.instances {
		if epoch, _, _ := instance.Position(); epoch != m.store.epoch || instance.Tokens(k, m.clock(i), time.Hour) == 0 {
			return false
		}
	}
	return true
}

// restartChance makes restarts likely while a save of a held part is pending, since only then
// can a restart lead to a rewrite during a fetch.
func (m *cacheModel) restartChance() int {
	for _, s := range m.saves {
		if m.store.held[s.key] {
			return 1
		}
	}
	return 20
}

// TestNoFetchDuringWrite guards against a fetch of a part while it is rewritten by a save of
// another instance that does not know that the part was held or that its store restarted.
func TestNoFetchDuringWrite(t *testing.T) {
	total := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := newCacheModel(t)
		for range 1000 {
			m.step()
		}
		for k, n := range m.counts {
			total[k] += n
		}
	})
	t.Log("totals", total)
	for _, k := range []string{"save", "write", "fetch", "restart", "free", "late", "early fetch"} {
		if total[k] == 0 {
			t.Error("the model never reached this event:", k)
		}
	}
}
