package place

import (
	"math"
	"time"
)

// Work is what one request asks of a target before its first answer.
type Work struct {
	ReadTokens int     // prompt tokens that the target must read
	FetchMS    float64 // nominal time to fetch the rest, by link speed alone; 0: nothing is fetched
	Link       string  // where it is fetched from
}

// Predictor predicts the time to a request's first answer. It knows nominal
// times only, and corrects them by what is seen: the speed of reading, and for
// each target and each link how much longer than predicted it takes of late.
// It is not safe for concurrent use.
type Predictor struct {
	readMS  float64 // ms to read one prompt token on an idle target
	targets map[string]*delay
	links   map[string]*delay
}

// delay is how much longer than nominal something takes, ms.
type delay struct {
	ms float64
	at time.Time
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
	return &Predictor{readMS: firstReadMS, targets: map[string]*delay{}, links: map[string]*delay{}}
}

// now is a delay's value at a time.
func (d *delay) now(at time.Time) float64 {
	if d == nil {
		return 0
	}
	return d.ms * math.Exp2(-float64(at.Sub(d.at))/float64(delayHalfLife))
}

// Target is the delay expected at a target.
func (p *Predictor) Target(id string, now time.Time) float64 { return p.targets[id].now(now) }

// Fetch is the time expected for a fetch.
func (p *Predictor) Fetch(w Work, now time.Time) float64 {
	if w.FetchMS <= 0 {
		return 0
	}
	return w.FetchMS + p.links[w.Link].now(now)
}

// Read is the time expected for reading tokens on an idle target.
func (p *Predictor) Read(tokens int) float64 { return float64(tokens) * p.readMS }

// First is the time expected from sending a request until its first answer.
func (p *Predictor) First(id string, w Work, now time.Time) float64 {
	return p.Target(id, now) + p.Fetch(w, now) + p.Read(w.ReadTokens)
}

// Observe takes how long a request took, and returns how much of it was not
// predicted, ms.
func (p *Predictor) Observe(id string, w Work, ms float64, now time.Time) (surprise float64) {
	surprise = ms - p.First(id, w, now)
	if w.ReadTokens >= leastRead && w.FetchMS <= 0 {
		p.learnRead(ms / float64(w.ReadTokens))
	}
	if w.FetchMS > 0 {
		p.links[w.Link] = p.links[w.Link].after(surprise*linkPart, now)
		p.targets[id] = p.targets[id].after(surprise*(1-linkPart), now)
		return surprise
	}
	p.targets[id] = p.targets[id].after(surprise, now)
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

// Keep forgets the targets and links that keep does not name.
func (p *Predictor) Keep(keep func(name string) bool) {
	for _, m := range [...]map[string]*delay{p.targets, p.links} {
		for name := range m {
			if !keep(name) {
				delete(m, name)
			}
		}
	}
}
