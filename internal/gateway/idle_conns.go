package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleSlack is how much longer than the configured limit a connection may stay
// unused: a request that its caller still thinks in time must not meet a close.
const idleSlack = 1.25

// idleConns closes callers' connections that stay unused beyond the limit of the
// configuration in force. http.Server's own limits are fixed at its start.
type idleConns struct {
	limit func() time.Duration // 0: none

	mu sync.Mutex
	m  map[net.Conn]*time.Timer // of those that are unused
}

// state is http.Server's ConnState hook.
func (c *idleConns) state(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.m[conn]; t != nil {
		t.Stop()
		delete(c.m, conn)
	}
	limit := c.limit()
	if s != http.StateIdle || limit <= 0 {
		return
	}
	if c.m == nil {
		c.m = map[net.Conn]*time.Timer{}
	}
	var t *time.Timer
	t = time.AfterFunc(time.Duration(idleSlack*float64(limit)), func() { c.expire(conn, &t) })
	c.m[conn] = t
}

// expire closes a connection unless it was used since its timer was set.
func (c *idleConns) expire(conn net.Conn, t **time.Timer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.m[conn] == *t {
		delete(c.m, conn)
		conn.Close()
	}
}
