package streamversion

import (
	"slices"
	"sync"
	"time"
)

// Contacts records which other instances did not answer of late though their process had not ended, as far as
// is known: they may have begun streams that they could not tell of. The zero value is ready for use. It is
// safe for concurrent use.
type Contacts struct {
	mu   sync.Mutex
	lost map[string]time.Time // by name, when the instance last did not answer
}

// contactRetention is how long it is kept that an instance did not answer.
const contactRetention = historyRetention

// Lose records that an instance did not answer.
func (c *Contacts) Lose(name string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost == nil {
		c.lost = map[string]time.Time{}
	}
	for other, at := range c.lost {
		if now.Sub(at) > contactRetention {
			delete(c.lost, other)
		}
	}
	c.lost[name] = now
}

// LostWithin returns the names of the instances that did not answer in a time before now, sorted.
func (c *Contacts) LostWithin(window time.Duration, now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for name, at := range c.lost {
		if now.Sub(at) <= window {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
