package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleSlack is the factor by which a connection may stay idle for longer than the configured
// limit: a request that the caller sends just within the limit must not meet a closed connection.
const idleSlack = 1.25

// idleConns closes callers' connections that stay idle beyond the limit of the current
// configuration. It exists because http.Server's own idle timeout is fixed when the server starts.
type idleConns struct {
	limit func() time.Duration // 0: none
	close func(net.Conn)       // unless a request has begun to arrive

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer // of the idle connections
}

// onStateChange is a ConnState hook of http.Server.
func (c *idleConns) onStateChange(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.timers[conn]; t != nil {
		t.Stop()
		delete(c.timers, conn)
	}
	limit := c.limit()
	if s != http.StateIdle || limit <= 0 {
		return
	}
	if c.timers == nil {
		c.timers = map[net.Conn]*time.Timer{}
	}
	var t *time.Timer
	t = time.AfterFunc(time.Duration(idleSlack*float64(limit)), func() { c.expire(conn, &t) })
	c.timers[conn] = t
}

// expire closes a connection unless it has been used since its timer was started.
func (c *idleConns) expire(conn net.Conn, t **time.Timer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timers[conn] == *t {
		delete(c.timers, conn)
		c.close(conn)
	}
}
