package placement

import (
	"math"
	"time"
)

// PrefillWork is what one request asks of a target before its first answer.
type PrefillWork struct {
	PrefillTokens int // prompt tokens that the target must read
	// QueuedTokens are those of other requests that it must read before.
	QueuedTokens int
	FetchMS      float64 // nominal time to fetch the rest, by link speed alone; 0: nothing is fetched
	Link         string  // where it is fetched from
}

// Predictor predicts the time to a request's first answer. It knows nominal
// times only, and corrects them by what is seen: the speed of reading, and for
// each target and each link how much longer than predicted it takes of late.
// Requests that are overdue count before they are answered. It is not safe for
// concurrent use.
type Predictor struct {
	readMS  float64 // ms to read one prompt token on an idle target
	targets map[string]*delay
	links   map[string]*delay
	waiting waiting // by target
	fetches waiting // those that fetch, by link
}

// waiting is the requests that wait for their first answer, by what they wait for.
type waiting map[string]map[*PendingRequest]struct{}

func (w waiting) add(name string, t *PendingRequest) {
	if w[name] == nil {
		w[name] = map[*PendingRequest]struct{}{}
	}
	w[name][t] = struct{}{}
}

func (w waiting) drop(name string, t *PendingRequest) {
	delete(w[name], t)
	if len(w[name]) == 0 {
		delete(w, name)
	}
}

// delay is how much longer than nominal something takes, ms.
type delay struct {
	ms float64
	at time.Time
}

// PendingRequest is a request that waits for its first answer.
type PendingRequest struct {
	target    string
	work      PrefillWork
	began     time.Time
	predicted float64 // ms
}

// Constants of learning.
const (
	// firstReadMS is the speed of reading assumed before anything was seen.
	firstReadMS = 0.02
	// readDown and readUp make the speed follow the fastest twentieth of what is
	// seen: the rest waited in a queue.
	readDown = 0.2
	readUp   = 0.01
	// leastRead is the smallest prompt that says anything about that speed, tokens.
	leastRead = 1000
	// distrust and trust are the gains of a delay that grows and that shrinks: a
	// slow target or link is left fast and believed again slowly.
	distrust = 0.35
	trust    = 0.12
	// delayHalfLife is how fast a delay is forgotten that nothing confirms.
	delayHalfLife = 3 * time.Second
	// linkPart is the part of a surprise that is put down to the link, if one was
	// used; the rest is the target's.
	linkPart = 0.6
)

// NewPredictor returns a predictor that has seen nothing.
func NewPredictor() *Predictor {
	return &Predictor{readMS: firstReadMS, targets: map[string]*delay{}, links: map[string]*delay{}, waiting: waiting{}, fetches: waiting{}}
}

// now is a delay's value at a time.
func (d *delay) now(at time.Time) float64 {
	if d == nil {
		return 0
	}
	return d.ms * math.Exp2(-float64(at.Sub(d.at))/float64(delayHalfLife))
}

// TargetDelay is the delay expected at a target.
func (p *Predictor) TargetDelay(id string, now time.Time) float64 {
	out := p.targets[id].now(now)
	for t := range p.waiting[id] {
		out = math.Max(out, t.overdue(now)*t.targetPart())
	}
	return out
}

// overdue is how much longer than predicted a request has waited, ms.
func (t *PendingRequest) overdue(now time.Time) float64 {
	return float64(now.Sub(t.began))/float64(time.Millisecond) - t.predicted
}

// targetPart is the part of a surprise that is put down to the target.
func (t *PendingRequest) targetPart() float64 {
	if t.work.FetchMS > 0 {
		return 1 - linkPart
	}
	return 1
}

// FetchTime is the time expected for a fetch.
func (p *Predictor) FetchTime(w PrefillWork, now time.Time) float64 {
	if w.FetchMS <= 0 {
		return 0
	}
	late := p.links[w.Link].now(now)
	for t := range p.fetches[w.Link] {
		late = math.Max(late, t.overdue(now)*linkPart)
	}
	return w.FetchMS + late
}

// PrefillTime is the time expected for reading tokens on an idle target.
func (p *Predictor) PrefillTime(tokens int) float64 { return float64(tokens) * p.readMS }

// FirstResponseTime is the time expected from sending a request until its first answer.
func (p *Predictor) FirstResponseTime(id string, w PrefillWork, now time.Time) float64 {
	return p.TargetDelay(id, now) + p.FetchTime(w, now) + p.PrefillTime(w.PrefillTokens+w.QueuedTokens)
}

// NominalTime is First for a target and a link that are as fast as they should be.
func (p *Predictor) NominalTime(w PrefillWork) float64 {
	return w.FetchMS + p.PrefillTime(w.PrefillTokens+w.QueuedTokens)
}

// Start notes a request that is sent now.
func (p *Predictor) Start(id string, w PrefillWork, now time.Time) *PendingRequest {
	t := &PendingRequest{target: id, work: w, began: now, predicted: p.FirstResponseTime(id, w, now)}
	p.waiting.add(id, t)
	if w.FetchMS > 0 {
		p.fetches.add(w.Link, t)
	}
	return t
}

// Remove forgets a request that ended without an answer, or was answered.
func (p *Predictor) Remove(t *PendingRequest) {
	p.waiting.drop(t.target, t)
	p.fetches.drop(t.work.Link, t)
}

// Observe takes a request's first answer, and returns how much of the time it
// took was not predicted, ms.
func (p *Predictor) Observe(t *PendingRequest, now time.Time) (surprise float64) {
	p.Remove(t)
	w, id := t.work, t.target
	surprise = t.overdue(now)
	ms := surprise + t.predicted
	if w.PrefillTokens >= leastRead && w.FetchMS <= 0 && w.QueuedTokens == 0 {
		p.learnRead(ms / float64(w.PrefillTokens))
	}
	if w.FetchMS > 0 {
		p.links[w.Link] = p.links[w.Link].after(surprise*linkPart, now)
	}
	p.targets[id] = p.targets[id].after(surprise*t.targetPart(), now)
	return surprise
}

func (p *Predictor) learnRead(msPerToken float64) {
	gain := readUp
	if msPerToken < p.readMS {
		gain = readDown
	}
	p.readMS += gain * (msPerToken - p.readMS)
}

// after is a delay corrected by a surprise. It never falls below none.
func (d *delay) after(surprise float64, now time.Time) *delay {
	gain := trust
	if surprise > 0 {
		gain = distrust
	}
	return &delay{ms: math.Max(d.now(now)+gain*surprise, 0), at: now}
}

// Retain forgets the targets and links that keep does not name.
func (p *Predictor) Retain(keep func(name string) bool) {
	for _, m := range [...]map[string]*delay{p.targets, p.links} {
		for name := range m {
			if !keep(name) {
				delete(m, name)
			}
		}
	}
}
