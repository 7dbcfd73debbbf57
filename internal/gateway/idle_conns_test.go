package gateway

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// fakeConn notes that it was closed.
type fakeConn struct {
	net.Conn
	closed atomic.Bool
}

func (c *fakeConn) Close() error {
	c.closed.Store(true)
	return nil
}

// TestIdleConns guards against a connection closed under a request, or kept unused beyond the limit of its time.
func TestIdleConns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limit := 4 * time.Second
		c := &idleConns{limit: func() time.Duration { return limit }}
		unused, used := &fakeConn{}, &fakeConn{}
		c.state(unused, http.StateIdle)
		c.state(used, http.StateIdle)
		time.Sleep(4 * time.Second)
		is.True(!unused.closed.Load()) // within the slack
		c.state(used, http.StateActive)
		time.Sleep(time.Minute)
		is.True(unused.closed.Load())
		is.True(!used.closed.Load())
		limit = 0
		c.state(used, http.StateIdle)
		time.Sleep(time.Hour)
		is.True(!used.closed.Load())
	})
}

// TestLearnKeepAlive guards against connections kept for longer than targets keep theirs, or closed without need.
func TestLearnKeepAlive(t *testing.T) {
	is := is.New(t)
	u := newUpstream()
	idle := func(service string) time.Duration {
		return u.keepAliveClient(service).Transport.(*http.Transport).IdleConnTimeout
	}
	is.Equal(idle("a"), minTargetIdleTimeout)
	u.learnKeepAlive("a", 0)
	is.Equal(idle("a"), minTargetIdleTimeout)
	for _, said := range []time.Duration{time.Hour, 10 * time.Second, 5 * time.Second, 30 * time.Second} {
		u.learnKeepAlive("a", said)
		is.True(idle("a") <= min(said-idleCloseMargin, maxTargetIdleTimeout))
	}
	is.True(idle("a") > 3*time.Second)
	is.Equal(idle("b"), minTargetIdleTimeout)
	u.learnKeepAlive("a", time.Second)
	is.Equal(idle("a"), minTargetIdleTimeout)
	u.learnKeepAlive("b", time.Second)
	is.Equal(u.keepAliveClient("a"), u.keepAliveClient("b")) // one for equal times
}
