// Package dark holds what is believed of zones that fall silent as a whole. One silent connect
// raises a question, which a few connects to other targets of the zone answer; what they show
// holds until a connect is accepted there again. It is pure.
//
// Invariant: a zone is dark only by connects of this instance, whatever others tell: where an
// instance sees a zone, it uses it.
package zonehealth

import (
	"sync"
	"time"
)

// Times of looking.
const (
	// lookGap is the least time between two looks at a zone that is not dark: silence of one
	// target, or a lossy link, raises the question again and again.
	lookGap = time.Second
)

// zone is what is believed of one.
type zone struct {
	looking bool
	looked  time.Time // when the last look began
	dark    bool
}

// Tracker are the zones. The zero value knows of none. It is safe for use by several goroutines.
type Tracker struct {
	mu sync.Mutex
	m  map[string]*zone
}

func (z *Tracker) of(name string) *zone {
	if z.m == nil {
		z.m = map[string]*zone{}
	}
	if z.m[name] == nil {
		z.m[name] = &zone{}
	}
	return z.m[name]
}

// BeginProbe says whether the caller shall look at a zone now. Looked must follow then.
func (z *Tracker) BeginProbe(name string, now time.Time) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	one := z.of(name)
	if one.looking || one.dark || now.Sub(one.looked) < lookGap {
		return false
	}
	one.looking, one.looked = true, now
	return true
}

// EndProbe takes what a look showed: whether anything answered. It says whether the belief
// changed.
func (z *Tracker) EndProbe(name string, answers bool) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	one := z.of(name)
	one.looking = false
	changed := one.dark == answers
	one.dark = !answers
	return changed
}

// Unreachable names the zones that are dark. The common answer is none.
func (z *Tracker) Unreachable() map[string]bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	var out map[string]bool
	for name, one := range z.m {
		if !one.dark {
			continue
		}
		if out == nil {
			out = map[string]bool{}
		}
		out[name] = true
	}
	return out
}
