package gateway

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/netx"
)

// fakeConn records that it was closed.
type fakeConn struct {
	net.Conn
	closed atomic.Bool
}

func (c *fakeConn) Close() error {
	c.closed.Store(true)
	return nil
}

// TestIdleConns guards against a connection that is closed during a request, or stays idle beyond the
// configured limit.
func TestIdleConns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limit := 4 * time.Second
		c := &idleConns{limit: func() time.Duration { return limit }, close: func(conn net.Conn) { conn.Close() }}
		unused, used := &fakeConn{}, &fakeConn{}
		c.onStateChange(unused, http.StateIdle)
		c.onStateChange(used, http.StateIdle)
		time.Sleep(4 * time.Second)
		is.True(!unused.closed.Load()) // within the slack
		c.onStateChange(used, http.StateActive)
		time.Sleep(time.Minute)
		is.True(unused.closed.Load())
		is.True(!used.closed.Load())
		limit = 0
		c.onStateChange(used, http.StateIdle)
		time.Sleep(time.Hour)
		is.True(!used.closed.Load())
	})
}

// TestLearnKeepAlive guards against idle connections that are kept for longer than the targets keep
// them, or closed needlessly early.
func TestLearnKeepAlive(t *testing.T) {
	is := is.New(t)
	u := newUpstream()
	idle := func(service string) time.Duration {
		return u.keepAliveClient(service).Transport.(*netx.Transport).IdleConnTimeout
	}
	is.Equal(idle("a"), minTargetIdleTimeout)
	u.learnKeepAlive("a", 0)
	is.Equal(idle("a"), minTargetIdleTimeout)
	for _, announced := range []time.Duration{time.Hour, 10 * time.Second, 5 * time.Second, 30 * time.Second} {
		u.learnKeepAlive("a", announced)
		is.True(idle("a") <= min(announced-idleCloseMargin, maxTargetIdleTimeout))
	}
	is.True(idle("a") > 3*time.Second)
	is.Equal(idle("b"), minTargetIdleTimeout)
	u.learnKeepAlive("a", time.Second)
	is.Equal(idle("a"), minTargetIdleTimeout)
	u.learnKeepAlive("b", time.Second)
	is.Equal(u.keepAliveClient("a"), u.keepAliveClient("b")) // services with equal timeouts share a client
}
