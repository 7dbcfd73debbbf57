package engine

import (
	"container/list"
	"crypto/sha256"
	"strconv"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/prefix"
	"github.com/shedhoist/shedhoist/internal/target"
)

// block is one piece of prefix cache. The identity beside the key lets the
// stand-in catch a wrong reuse.
type block struct {
	key    string
	salt   string
	owner  string // version and adapter
	digest [sha256.Size]byte
	elem   *list.Element
	pins   int
}

// cache is the prefix cache with its log of events.
type cache struct {
	capacity int
	blocks   map[string]*block
	order    *list.List // front is the most recently used
	seq      uint64
	log      []loggedEvent
	drop     int // events still to be lost
}

type loggedEvent struct {
	target.CacheEvent
	at time.Time
}

// maxLog bounds the events kept for readers that fall behind.
const maxLog = 8192

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, blocks: map[string]*block{}, order: list.New()}
}

// note logs an event; a lost one still takes a sequence number, as a gap.
func (c *cache) note(key string, removed bool, at time.Time) {
	c.seq++
	if c.drop > 0 {
		c.drop--
		return
	}
	c.log = append(c.log, loggedEvent{target.CacheEvent{Seq: c.seq, Key: key, Removed: removed}, at})
	if len(c.log) > maxLog {
		c.log = append([]loggedEvent(nil), c.log[len(c.log)/2:]...)
	}
}

// page returns the events behind after that are older than upTo.
func (c *cache) page(after string, upTo time.Time) target.Events {
	from, _ := strconv.ParseUint(after, 10, 64)
	out := target.Events{Next: from, Events: []target.CacheEvent{}}
	for _, e := range c.log {
		if e.Seq > from && !e.at.After(upTo) {
			out.Events = append(out.Events, e.CacheEvent)
			out.Next = e.Seq
		}
	}
	return out
}

func (c *cache) clear(at time.Time) {
	for key, b := range c.blocks {
		if b.pins == 0 {
			c.remove(b)
			c.note(key, true, at)
		}
	}
}

func (c *cache) remove(b *block) {
	delete(c.blocks, b.key)
	c.order.Remove(b.elem)
}

// put adds a block, evicting the least recently used ones that no run pins.
func (c *cache) put(b *block, at time.Time) {
	if c.blocks[b.key] != nil {
		return
	}
	b.elem = c.order.PushFront(b)
	c.blocks[b.key] = b
	c.note(b.key, false, at)
	for e := c.order.Back(); e != nil && len(c.blocks) > c.capacity; {
		old := e.Value.(*block)
		e = e.Prev()
		if old.pins == 0 && old != b {
			c.remove(old)
			c.note(old.key, true, at)
		}
	}
}

// digests hashes a prompt chunk by chunk, each over all before it.
func digests(canonical string) [][sha256.Size]byte {
	var out [][sha256.Size]byte
	var prev [sha256.Size]byte
	for len(canonical) >= prefix.ChunkBytes {
		h := sha256.New()
		h.Write(prev[:])
		h.Write([]byte(canonical[:prefix.ChunkBytes]))
		h.Sum(prev[:0])
		out = append(out, prev)
		canonical = canonical[prefix.ChunkBytes:]
	}
	return out
}
