package cachestore_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shedhoist/shedhoist/internal/core/cachestore"
)

// modelBounds are small, so that few steps lead past them.
var modelBounds = cachestore.Bounds{SaveAge: 7 * tick, SaveTime: 5 * tick, FetchAge: 16 * tick, FetchTime: 10 * tick}

// tick is the model's granule of time.
const tick = time.Millisecond

// modelStore is a cache store: a save is complete some time after it began, and a log
// tells of it.
type modelStore struct {
	epoch   uint64
	held    map[cachestore.Key]bool
	writing map[cachestore.Key]time.Time // by when the write is over
	writer  map[cachestore.Key]int       // whose save it is
	log     []cachestore.Event
	lost    map[int]bool // events that are never told, by place in the log

	lateUntil map[cachestore.Key]time.Time // by when a late write is over
}

func newModelStore(epoch uint64) *modelStore {
	return &modelStore{epoch: epoch, held: map[cachestore.Key]bool{}, writing: map[cachestore.Key]time.Time{}, writer: map[cachestore.Key]int{}, lost: map[int]bool{}, lateUntil: map[cachestore.Key]time.Time{}}
}

func (s *modelStore) tells(e cachestore.Event, lost bool) {
	s.log = append(s.log, e)
	s.lost[len(s.log)-1] = lost
}

// modelAnswer is an answer of the store, or of another instance, that is on its way.
type modelAnswer struct {
	to     int
	from   int // an instance; -1: the store
	asked  time.Time
	word   cachestore.Response // Heard is set on arrival
	list   bool
	gap    bool
	held   []cachestore.StoredPart
	ages   []time.Duration // of held, by the teller's clock
	events []cachestore.Event
}

// modelInstance is an instance with a clock of its own.
type modelInstance struct {
	cachestore.Inventory
	ahead time.Duration // of its clock
	asks  bool          // an answer is on its way to it
	told  bool          // its knowledge is from another instance: to follow the store itself, it lists it first
}

// modelReport is what an instance last told another: up to where it knows the store, and which
// parts it had asked to save.
type modelReport struct {
	epoch, next uint64
	pending     map[cachestore.Key]bool
}

// modelWord is a report on its way.
type modelWord struct {
	from, to int
	report   modelReport
}

// modelSave is a save that was asked for and has not taken place.
type modelSave struct {
	owner int
	key   cachestore.Key
	told  time.Time // from then on all know that it is late
	until time.Time // by when it is over
}

// cacheModel is a store, instances with views of it that may be torn, and saves and fetches
// under way.
type cacheModel struct {
	t         *rapid.T
	now       time.Time
	store     *modelStore
	instances []*modelInstance
	answers   []modelAnswer
	saves     []modelSave
	fetches   map[cachestore.Key]time.Time // by when the last of them is over
	words     []modelWord                  // those of one instance to another stay in order
	reports   map[[2]int]modelReport       // by teller and hearer
	counts    map[string]int
}

func newCacheModel(t *rapid.T) *cacheModel {
	m := &cacheModel{t: t, now: time.Unix(1000, 0), store: newModelStore(1), fetches: map[cachestore.Key]time.Time{}, reports: map[[2]int]modelReport{}, counts: map[string]int{}}
	for i := range 3 {
		m.instances = append(m.instances, &modelInstance{ahead: time.Duration(i) * time.Hour})
	}
	return m
}

func (m *cacheModel) clock(i int) time.Time { return m.now.Add(m.instances[i].ahead) }

func (m *cacheModel) draw(name string, n int) int { return rapid.IntRange(0, n-1).Draw(m.t, name) }

func (m *cacheModel) key() cachestore.Key {
	return cachestore.Key{Salt: "s", Part: fmt.Sprint(m.draw("part", 2))}
}

// wait lets time pass: writes end.
func (m *cacheModel) wait(d time.Duration) {
	m.now = m.now.Add(d)
	for k, at := range m.store.writing {
		if at.After(m.now) {
			continue
		}
		delete(m.store.writing, k)
		m.store.held[k] = true
		m.store.tells(cachestore.Event{Key: k, Added: true, Tokens: 1}, m.chance("lost", 10))
	}
	for _, s := range m.saves {
		if !m.now.Before(s.until) {
			m.begin(s) // at the last moment at which it may
		}
	}
	m.saves = keep(m.saves, func(s modelSave) bool { return m.now.Before(s.until) })
}

func keep[T any](in []T, ok func(T) bool) (out []T) {
	for _, x := range in {
		if ok(x) {
			out = append(out, x)
		}
	}
	return out
}

// begin lets a save take place: the part is incomplete until the save is over.
func (m *cacheModel) begin(s modelSave) {
	if m.store.held[s.key] {
		return
	}
	if _, writing := m.store.writing[s.key]; writing {
		return
	}
	m.counts["write"]++
	until := s.told            // over in time
	if !m.now.Before(s.told) { // it is told until it is over
		until = m.now.Add(2 * tick)
		m.store.lateUntil[s.key] = until
		m.counts["late"]++
	}
	m.store.writing[s.key], m.store.writer[s.key] = until, s.owner
	m.check()
}

// check wants that no part is fetched while it is written.
func (m *cacheModel) check() {
	for k, over := range m.store.writing {
		if m.fetches[k].After(m.now) && over.After(m.now) {
			m.t.Fatalf("%s is fetched until %v while it is written until %v", k.Part, m.fetches[k].Sub(m.now), over.Sub(m.now))
		}
	}
}

// ask sends an instance's question, and the store's answer on its way.
func (m *cacheModel) ask(i int) {
	x := m.instances[i]
	if x.asks {
		return
	}
	x.asks = true
	_, next, known := x.Position()
	a := modelAnswer{to: i, from: -1, asked: m.clock(i), word: cachestore.Response{Epoch: m.store.epoch, NextEvent: uint64(len(m.store.log))}, list: !known || x.HasGap() || x.told}
	if a.list {
		for k := range m.store.held {
			a.held = append(a.held, cachestore.StoredPart{Key: k, Tokens: 1})
		}
	} else {
		for n := int(next); n < len(m.store.log); n++ {
			if m.store.lost[n] {
				a.gap = true
				continue
			}
			a.events = append(a.events, m.store.log[n])
		}
	}
	m.answers = append(m.answers, a)
}

// relay sends all that one instance knows to another.
func (m *cacheModel) relay(from, to int) {
	x, y := m.instances[from], m.instances[to]
	epoch, next, known := x.Position()
	if from == to || y.asks || !known {
		return
	}
	y.asks = true
	a := modelAnswer{to: to, from: from, asked: m.clock(to), word: cachestore.Response{Epoch: epoch, NextEvent: next}, list: true, held: x.All()}
	a.word.AsOf = m.clock(to).Add(-m.clock(from).Sub(x.AsOf()))
	a.word.CompleteAsOf = m.clock(to).Add(-m.clock(from).Sub(x.CompleteAsOf()))
	for _, h := range a.held {
		a.ages = append(a.ages, m.clock(from).Sub(h.CompletedAt))
	}
	m.answers = append(m.answers, a)
}

// arrive hands over one of the answers on their way.
func (m *cacheModel) arrive(n int) {
	a := m.answers[n]
	m.answers = append(m.answers[:n:n], m.answers[n+1:]...)
	x, now := m.instances[a.to], m.clock(a.to)
	x.asks, x.told = false, a.from >= 0
	if a.from < 0 {
		a.word.AsOf, a.word.CompleteAsOf = a.asked, a.asked
	}
	for i := range a.ages {
		a.held[i].CompletedAt = now.Add(-a.ages[i])
	}
	a.word.Received = now
	if a.list {
		x.Replace(a.word, a.held)
		return
	}
	x.Apply(a.word, a.gap, a.events)
}

// save lets an instance decide to save a part, if it may.
func (m *cacheModel) save(i int) {
	k := m.key()
	if !m.instances[i].Savable(k, m.clock(i), modelBounds) {
		return
	}
	m.counts["save"]++
	s := modelSave{owner: i, key: k, told: m.now.Add(modelBounds.SaveTime), until: m.now.Add(modelBounds.SaveTime)}
	if m.chance("held up", 4) {
		s.until = s.until.Add(time.Duration(m.draw("held up for", 60)) * tick)
	}
	m.saves = append(m.saves, s)
}

// fetch lets an instance decide to fetch a part, if it may.
func (m *cacheModel) fetch(i int) {
	k := m.key()
	x := m.instances[i]
	soon := false
	known := func(epoch, event uint64) bool {
		soon = m.allReported(i, k, epoch, event)
		return soon
	}
	if m.isLate(k) || x.Fetchable(k, m.clock(i), modelBounds.FetchAge, modelBounds, known) == 0 {
		return
	}
	if soon {
		m.counts["fetch at once"]++
	}
	m.counts["fetch"]++
	if over := m.now.Add(modelBounds.FetchTime); over.After(m.fetches[k]) {
		m.fetches[k] = over
	}
	m.check()
}

// chance is true once in n times.
func (m *cacheModel) chance(name string, n int) bool { return m.draw(name, n) == 0 }

// report sends an instance's report to another.
func (m *cacheModel) report(from, to int) {
	x := m.instances[from]
	epoch, next, known := x.Position()
	if from == to || !known || x.told || x.HasGap() {
		return
	}
	r := modelReport{epoch: epoch, next: next, pending: map[cachestore.Key]bool{}}
	for _, s := range m.saves {
		r.pending[s.key] = r.pending[s.key] || s.owner == from
	}
	for k := range m.store.writing {
		r.pending[k] = r.pending[k] || m.store.writer[k] == from
	}
	m.words = append(m.words, modelWord{from: from, to: to, report: r})
}

// hearWord hands over the first report on its way from an instance to another.
func (m *cacheModel) hearWord(from, to int) {
	for n, w := range m.words {
		if w.from == from && w.to == to {
			m.reports[[2]int{from, to}] = w.report
			m.words = append(m.words[:n:n], m.words[n+1:]...)
			return
		}
	}
}

// allReported says whether all others told an instance that they know an event, and that no
// save of a part which they asked for before may be under way.
func (m *cacheModel) allReported(to int, k cachestore.Key, epoch, event uint64) bool {
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
	_, writes := m.store.writing[k]
	return !writes || m.store.writer[k] != to
}

// isLate says whether a save of a part is known to be late.
func (m *cacheModel) isLate(k cachestore.Key) bool {
	for _, s := range m.saves {
		if s.key == k && !m.now.Before(s.told) {
			return true
		}
	}
	return m.now.Before(m.store.lateUntil[k])
}

// step lets some instances ask, some answers arrive, and one more thing happen.
func (m *cacheModel) step() {
	for i := range m.instances {
		if m.chance("ask", 3) {
			m.ask(i)
		}
	}
	for n := len(m.answers) - 1; n >= 0; n-- {
		if m.chance("arrive", 4) {
			m.arrive(n)
		}
	}
	for from := range m.instances {
		for to := range m.instances {
			if from != to && m.chance("report", 3) {
				m.report(from, to)
			}
			if from != to && m.chance("hear", 2) {
				m.hearWord(from, to)
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
			n := m.draw("under way", len(m.saves))
			s := m.saves[n]
			m.saves = append(m.saves[:n:n], m.saves[n+1:]...)
			m.begin(s)
		}
	case 6:
		if m.chance("restart", m.restartChance()) {
			m.counts["restart"]++
			m.store = newModelStore(m.store.epoch + 1)
		}
	case 7:
		if k := m.key(); m.store.held[k] && m.allKnow(k) && m.chance("free", 3) {
			m.counts["free"]++
			delete(m.store.held, k)
			m.store.tells(cachestore.Event{Key: k}, m.chance("lost", 10))
		}
	}
	m.wait(time.Duration(m.draw("wait", 4)) * tick / 2)
}

// allKnow says whether all instances have heard that a part is held: a store drops parts that
// were complete for long.
func (m *cacheModel) allKnow(k cachestore.Key) bool {
	for i, x := range m.instances {
		if epoch, _, _ := x.Position(); epoch != m.store.epoch || x.Tokens(k, m.clock(i), time.Hour) == 0 {
			return false
		}
	}
	return true
}

// restartChance makes restarts likely where a save is under way of what is held: there
// something may go wrong.
func (m *cacheModel) restartChance() int {
	for _, s := range m.saves {
		if m.store.held[s.key] {
			return 1
		}
	}
	return 20
}

// TestNoFetchOfWhatIsWritten guards against a part that one instance fetches while another,
// which has not heard that it was held or that its store has started again, has it written.
func TestNoFetchOfWhatIsWritten(t *testing.T) {
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
	t.Log("in all", total)
	for _, k := range []string{"save", "write", "fetch", "restart", "free", "late", "fetch at once"} {
		if total[k] == 0 {
			t.Error("the model never came to a", k)
		}
	}
}
