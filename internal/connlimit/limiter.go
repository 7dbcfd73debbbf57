// Package connlimit keeps what callers' connections use of a process's memory and descriptors within limits. It counts
// what each connection costs from its first byte to the end of its response: the connection itself, the head of a
// request as it arrives and as it is parsed, and what the handler reserves for the body and the response. When there
// is no room for more, package eviction decides which connections are closed.
//
// A Limiter wraps the connections of one listener and follows them by the hooks of net/http.
package connlimit

import (
	"net"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/shedhoist/shedhoist/internal/core/buffer"
	"github.com/shedhoist/shedhoist/internal/core/eviction"
	"github.com/shedhoist/shedhoist/internal/metric"
)

// Options configures a Limiter.
type Options struct {
	Name   string         // of the listener, in metrics and log lines
	Budget *buffer.Budget // shared by all listeners of the process
	// Essential connections are admitted whether there is room in the budget or not: those of a load balancer or
	// of operators, which MaxDescriptors keeps few.
	Essential bool
	// MaxDescriptors limits the open connections, each running request counted as one more: its connection to a target;
	// 0: no limit.
	MaxDescriptors int
	// HeaderBytes returns the size of the largest head in force; 0: defaultHeaderBytes. It may be nil.
	HeaderBytes func() int
	// HeaderTimeout returns how long a head may take from its first byte on; 0: as long as the server allows. It
	// may be nil.
	HeaderTimeout func() time.Duration
	Costs         Costs
	Log           log.Interface
	Now           func() time.Time
}

// Costs are what connections and requests cost, in bytes of memory.
type Costs struct {
	Conn    int64 // a connection: the goroutine that serves it, its buffers, and its entries in tables
	Request int64 // a request under work: a deeper stack, its state, and a connection to a target
	// HeadByte and HeadLine are those of a head, by its size: net/http makes an entry of a table and a string of
	// each line, and parses the request line into several strings; a table that grows has its old half beside
	// its new one.
	HeadByte, HeadLine int64
	CopiedLine         int64 // a line of the copy that is made to forward a head
	// Unread is what the kernel may hold of a connection that is not read as fast as bytes arrive: that of a caller while
	// its request arrives, and that to a target while its caller is slow.
	Unread int64
}

// DefaultCosts are those of a plain connection over TCP.
var DefaultCosts = Costs{Conn: 20 << 10, Request: 40 << 10, HeadByte: 3, HeadLine: 120, CopiedLine: 110, Unread: 2 * ReceiveBuffer}

// ofHead returns what a head costs while it is parsed.
func (c Costs) ofHead(s headSize) int64 { return c.HeadByte*s.bytes + c.HeadLine*s.lines }

// ofRequest returns what a request with a head costs that has been parsed and is forwarded.
func (c Costs) ofRequest(s headSize) int64 { return c.Request + c.ofHead(s) + c.CopiedLine*s.lines }

const (
	// roomTimeout bounds the wait for room.
	roomTimeout = time.Second
	// roomInterval is how often a connection that waits looks for others that have stalled meanwhile.
	roomInterval = 50 * time.Millisecond
	// evictedAhead is the share of the budget that is freed at a time, so that connections are ranked rarely.
	evictedAhead = 1.0 / 64
	// runningShare is the share of the descriptors that requests under work may use. The rest is for connections whose
	// requests are refused then, so that their callers learn when to come back.
	runningShare = 0.75
	// overdraft is the share of the budget by which new connections may exceed it until those that were evicted
	// for them have ended.
	overdraft = 1.0 / 16
	// reportInterval is the shortest time between two log lines about evicted connections.
	reportInterval = time.Second
)

// Limiter limits the connections of one listener.
type Limiter struct {
	options Options

	mu       sync.Mutex
	conns    map[*Conn]struct{} // open and not evicted
	running  int                // of conns
	evicting map[*Conn]struct{} // evicted, and not ended by the server yet
	waiters  int
	freed    chan struct{} // closed when bytes are released, while there are waiters
	evicted  int64         // connections evicted since the last log line
	reported time.Time     // when that was written
}

// New returns a limiter without connections.
func New(o Options) *Limiter {
	return &Limiter{options: o, conns: map[*Conn]struct{}{}, evicting: map[*Conn]struct{}{}, freed: make(chan struct{})}
}

// Listener returns a listener whose connections are limited.
func (l *Limiter) Listener(ln net.Listener) net.Listener { return &listener{Listener: ln, limiter: l} }

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (ln *listener) Accept() (net.Conn, error) {
	for {
		conn, err := ln.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := ln.limiter.admit(conn); c != nil {
			return c, nil
		}
		conn.Close()
	}
}

// admit takes up a new connection, or returns nil if there is no room for it. It doesn't wait: the bytes of those
// that are evicted for it are released soon.
func (l *Limiter) admit(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, limiter: l, holder: buffer.NewHolder(l.options.Budget), progressAt: l.options.Now(), evictedSignal: make(chan struct{})}
	c.startHead()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.freeDescriptor() {
		metric.ConnectionsRefused(l.options.Name, "descriptors").Inc()
		return nil
	}
	if cost := l.options.Costs.Conn; !c.tryReserve(cost) {
		if !l.evictFor(c, cost) || !l.mayOverdraw(cost) {
			metric.ConnectionsRefused(l.options.Name, "memory").Inc()
			return nil
		}
		c.holder.Add(cost)
	}
	l.conns[c] = struct{}{}
	return c
}

// mayOverdraw reports whether n more bytes may be held before those of evicted connections are released. l.mu is held.
func (l *Limiter) mayOverdraw(n int64) bool {
	limit := float64(l.options.Budget.Limit())
	return float64(l.options.Budget.Held()+n) <= limit+overdraft*limit
}

// freeDescriptor reports whether one more descriptor may be used, and evicts a connection for it if need be. l.mu is
// held.
func (l *Limiter) freeDescriptor() bool {
	if l.options.MaxDescriptors <= 0 || len(l.conns)+l.running < l.options.MaxDescriptors {
		return true
	}
	conns, candidates := l.candidates(nil)
	i, ok := eviction.ForConnection(candidates)
	return ok && l.evict(conns[i])
}

// candidates returns all connections but one, and what is known of each. l.mu is held.
func (l *Limiter) candidates(except *Conn) ([]*Conn, []eviction.Candidate) {
	conns, candidates := make([]*Conn, 0, len(l.conns)), make([]eviction.Candidate, 0, len(l.conns))
	now := l.options.Now()
	for c := range l.conns {
		if c != except {
			conns, candidates = append(conns, c), append(candidates, c.candidate(now))
		}
	}
	return conns, candidates
}

// evictFor evicts connections so that c may reserve n more bytes, and returns false if not enough of them may be. l.mu
// is held.
func (l *Limiter) evictFor(c *Conn, n int64) bool {
	lacks := c.holder.Lacks(n) - l.evictingBytes()
	if lacks <= 0 {
		return true
	}
	conns, candidates := l.candidates(c)
	held := c.holder.Held() + n
	ahead := int64(evictedAhead * float64(l.options.Budget.Limit()))
	victims := eviction.ForMemory(candidates, lacks+ahead, held)
	if victims == nil {
		victims = eviction.ForMemory(candidates, lacks, held)
	}
	for _, i := range victims {
		l.evict(conns[i])
	}
	return victims != nil
}

// evictingBytes returns how many bytes evicted connections have not released yet. l.mu is held.
func (l *Limiter) evictingBytes() (sum int64) {
	for c := range l.evicting {
		sum += c.holder.Held()
	}
	return sum
}

// evict closes a connection, unless its request has become whole since it was chosen. What it holds is released once
// the server has noticed. l.mu is held.
func (l *Limiter) evict(c *Conn) bool {
	phase, ok := c.markEvicted()
	if !ok {
		return false
	}
	delete(l.conns, c)
	l.evicting[c] = struct{}{}
	c.Conn.Close()
	metric.ConnectionsEvicted(l.options.Name, phase.String()).Inc()
	l.evicted++
	l.report()
	return true
}

// report logs how many connections were evicted, at most once in reportInterval. l.mu is held.
func (l *Limiter) report() {
	now := l.options.Now()
	if now.Sub(l.reported) < reportInterval {
		return
	}
	l.options.Log.WithField("listener", l.options.Name).WithField("evicted", l.evicted).WithField("open", len(l.conns)).WithField("running", l.running).
		WithField("held_bytes", l.options.Budget.Held()).WithField("limit_bytes", l.options.Budget.Limit()).Warn("connections evicted to make room")
	l.evicted, l.reported = 0, now
}

// makeRoom evicts connections so that c may reserve n more bytes, and waits until some bytes are released. It returns
// false if there will be no room until a deadline. A small request waits also while nothing may be evicted: what is in
// progress ends or stalls soon.
func (l *Limiter) makeRoom(c *Conn, n int64, deadline time.Time) bool {
	wait, freed := l.evictAndWatch(c, n, deadline)
	if wait <= 0 {
		return false
	}
	defer l.stopWatching()
	if c.holder.Lacks(n) == 0 { // released before this connection waited
		return true
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case <-freed:
		return true
	case <-c.evictedSignal:
		return false
	case <-timeout.C:
		return l.options.Now().Before(deadline)
	}
}

// evictAndWatch evicts connections for c, and returns how long it is to wait for room at a time, and a channel that is
// closed when bytes are released. The time is 0 if there will be no room; else stopWatching has to be called.
func (l *Limiter) evictAndWatch(c *Conn, n int64, deadline time.Time) (wait time.Duration, freed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.isEvicted() {
		return 0, nil
	}
	if !l.evictFor(c, n) && !c.holder.Small(n) {
		return 0, nil
	}
	wait = min(roomInterval, deadline.Sub(l.options.Now()))
	if wait > 0 {
		l.waiters++
	}
	return wait, l.freed
}

func (l *Limiter) stopWatching() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiters--
}

// wake lets those that wait for room look again. l.mu is held.
func (l *Limiter) wake() {
	if l.waiters > 0 {
		close(l.freed)
		l.freed = make(chan struct{})
	}
}

// mayRun reports whether one more request may be run: it uses two descriptors, its connection and the one to its target.
// l.mu is held.
func (l *Limiter) mayRun() bool {
	return l.options.MaxDescriptors <= 0 || float64(2*(l.running+1)) <= runningShare*float64(l.options.MaxDescriptors)
}

// requestEnded notes that a request has released what it held.
func (l *Limiter) requestEnded(wasRunning bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if wasRunning {
		l.running--
	}
	l.wake()
}

// bytesReleased notes that a request has released some of what it holds.
func (l *Limiter) bytesReleased() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wake()
}

// remove forgets a closed connection.
func (l *Limiter) remove(c *Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	delete(l.evicting, c)
	l.wake()
	l.mu.Unlock()
}

// Connections returns the number of open connections.
func (l *Limiter) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}
