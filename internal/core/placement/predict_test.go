package placement_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/placement"
)

// TestPredictor: over targets and links of hidden speeds and queues, the
// predictor finds the speed of reading, tells a slow target and a slow link from
// the others, and believes them again once they are well.
func TestPredictor(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(3, 4))
	p := placement.NewPredictor()
	now := time.Unix(0, 0)
	targets, links := []string{"a", "b", "slow"}, []string{"x", "thin"}
	const readMS = 0.0176
	round := func(slowMS, thinMS float64) {
		for range 600 {
			now = now.Add(20 * time.Millisecond)
			id, w := targets[r.IntN(3)], placement.PrefillWork{PrefillTokens: 200 + r.IntN(8000)}
			ms := float64(w.PrefillTokens)*readMS + 10*r.Float64()
			if id == "slow" {
				ms += slowMS
			}
			if r.IntN(2) == 0 {
				w.FetchMS, w.Link, w.PrefillTokens = 30, links[r.IntN(2)], 1500
				ms = float64(w.PrefillTokens)*readMS + w.FetchMS
				if id == "slow" {
					ms += slowMS
				}
				if w.Link == "thin" {
					ms += thinMS
				}
			}
			ticket := p.Start(id, w, now)
			p.Observe(ticket, now.Add(time.Duration(ms*float64(time.Millisecond))))
		}
	}
	round(200, 300)
	is.True(math.Abs(p.PrefillTime(1000)-1000*readMS) < 5)
	is.True(p.TargetDelay("slow", now) > p.TargetDelay("a", now)+60)
	fetch := func(link string) float64 { return p.FetchTime(placement.PrefillWork{FetchMS: 30, Link: link}, now) }
	is.True(fetch("thin") > fetch("x")+100)
	round(0, 0)
	is.True(p.TargetDelay("slow", now) < 40)
	is.True(fetch("thin") < 80)
}

// TestForget: what nothing confirms is forgotten, so that a target that got no
// requests since it was slow is tried again.
func TestForget(t *testing.T) {
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

// TestOverdue: a target or a link that stays silent is distrusted before it
// answers, and at once no longer when the request is dropped.
func TestOverdue(t *testing.T) {
	is := is.New(t)
	p := placement.NewPredictor()
	now := time.Unix(0, 0)
	fetch := placement.PrefillWork{FetchMS: 30, Link: "x"}
	silent, stuck := p.Start("a", placement.PrefillWork{}, now), p.Start("b", fetch, now)
	later := now.Add(500 * time.Millisecond)
	is.True(p.TargetDelay("a", later) > 400)
	is.True(p.FetchTime(fetch, later) > 250)
	is.True(p.TargetDelay("b", later) < p.TargetDelay("a", later))
	is.Equal(p.TargetDelay("c", later), 0.0)
	p.Remove(silent)
	p.Remove(stuck)
	is.Equal(p.TargetDelay("a", later), 0.0)
	is.Equal(p.FetchTime(fetch, later), 30.0)
}
