package placement_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/placement"
)

// TestPredictor checks that the predictor learns the prefill speed despite queueing, tells a
// slow target and a congested link from the others, and lowers their delays once they recover.
func TestPredictor(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(3, 4))
	p := placement.NewPredictor()
	now := time.Unix(0, 0)
	targets, links := []string{"a", "b", "slow"}, []string{"x", "congested"}
	const prefillMS = 0.0176
	observe := func(slowMS, congestedMS float64) {
		for range 600 {
			now = now.Add(20 * time.Millisecond)
			id, w := targets[r.IntN(3)], placement.PrefillWork{PrefillTokens: 200 + r.IntN(8000)}
			ms := float64(w.PrefillTokens)*prefillMS + 10*r.Float64()
			if id == "slow" {
				ms += slowMS
			}
			if r.IntN(2) == 0 {
				w.FetchMS, w.Link, w.PrefillTokens = 30, links[r.IntN(2)], 1500
				ms = float64(w.PrefillTokens)*prefillMS + w.FetchMS
				if id == "slow" {
					ms += slowMS
				}
				if w.Link == "congested" {
					ms += congestedMS
				}
			}
			pending := p.Start(id, w, now)
			p.Observe(pending, now.Add(time.Duration(ms*float64(time.Millisecond))))
		}
	}
	observe(200, 300)
	is.True(math.Abs(p.PrefillTime(1000)-1000*prefillMS) < 5)
	is.True(p.TargetDelay("slow", now) > p.TargetDelay("a", now)+60)
	fetch := func(link string) float64 { return p.FetchTime(placement.PrefillWork{FetchMS: 30, Link: link}, now) }
	is.True(fetch("congested") > fetch("x")+100)
	observe(0, 0)
	is.True(p.TargetDelay("slow", now) < 40)
	is.True(fetch("congested") < 80)
}

// TestDelayDecays checks that a delay decays without new observations, so that a target that
// was slow and gets no requests is tried again.
func TestDelayDecays(t *testing.T) {
	is := is.New(t)
	p := placement.NewPredictor()
	now := time.Unix(0, 0)
	p.Observe(p.Start("a", placement.PrefillWork{}, now), now.Add(time.Second))
	now = now.Add(time.Second)
	before := p.TargetDelay("a", now)
	is.True(before > 300)
	is.True(p.TargetDelay("a", now.Add(6*time.Second)) < before/3)
	p.Retain(func(string) bool { return false })
	is.Equal(p.TargetDelay("a", now), 0.0)
}

// TestOverdue checks that an overdue request raises the delay of its target and link before a
// response arrives, and that this ends as soon as the request is removed.
func TestOverdue(t *testing.T) {
	is := is.New(t)
	p := placement.NewPredictor()
	now := time.Unix(0, 0)
	fetch := placement.PrefillWork{FetchMS: 30, Link: "x"}
	unanswered, unansweredFetch := p.Start("a", placement.PrefillWork{}, now), p.Start("b", fetch, now)
	later := now.Add(500 * time.Millisecond)
	is.True(p.TargetDelay("a", later) > 400)
	is.True(p.FetchTime(fetch, later) > 250)
	is.True(p.TargetDelay("b", later) < p.TargetDelay("a", later))
	is.Equal(p.TargetDelay("c", later), 0.0)
	p.Remove(unanswered)
	p.Remove(unansweredFetch)
	is.Equal(p.TargetDelay("a", later), 0.0)
	is.Equal(p.FetchTime(fetch, later), 30.0)
}

// TestPrefillTokens checks that PrefillTokens is the inverse of PrefillTime, after the speed was
// learned too.
func TestPrefillTokens(t *testing.T) {
	is := is.New(t)
	p, now := placement.NewPredictor(), time.Unix(0, 0)
	for range 2 {
		is.Equal(p.PrefillTokens(time.Duration(p.PrefillTime(12_000)*float64(time.Millisecond))+time.Microsecond), 12_000)
		p.Observe(p.Start("t", placement.PrefillWork{PrefillTokens: 10_000}, now), now.Add(100*time.Millisecond))
	}
	is.Equal(p.PrefillTokens(0), 0)
}
