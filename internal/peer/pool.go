package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/netx"
)

// CallError says that a call to a peer failed.
type CallError struct {
	Address, Method string
	Cause           error
}

// Error implements error.
func (e *CallError) Error() string {
	return "peer " + e.Address + ": " + e.Method + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// Pool calls peers and reuses one connection to each peer.
type Pool struct {
	security Security
	dialFunc DialFunc
	now      func() time.Time
	mu       sync.Mutex
	conns    map[string]*pooledConn
}

// DialFunc opens a connection; it has the signature of net.Dialer.DialContext.
type DialFunc = netx.DialFunc

// pooledConn is a connection of the pool and its state.
type pooledConn struct {
	client   *rpc.Client
	lastUsed time.Time
	calls    int  // in progress
	retired  bool // takes no further calls; closed after the last one in progress
}

// maxIdleTime is how long an unused connection is kept. It is shorter than idleTimeout,
// so that no call uses a connection that the other side is about to close.
const maxIdleTime = idleTimeout / 2

// NewPool returns an empty pool.
func NewPool(sec Security, now func() time.Time) *Pool {
	return NewPoolWithDialer(nil, sec, now)
}

// NewPoolWithDialer returns an empty pool that opens connections with dial; nil selects
// this machine's network.
func NewPoolWithDialer(dial DialFunc, sec Security, now func() time.Time) *Pool {
	if dial == nil {
		dial = netx.Dialer(handshakeTimeout).DialContext
	}
	return &Pool{security: sec, dialFunc: dial, now: now, conns: map[string]*pooledConn{}}
}

// Call calls a method and waits for its reply until ctx ends. If a call fails without a
// reply, the connection may be dead and takes no further calls. Other calls in progress
// on it continue: on a congested link, one slow call would otherwise abort all of them.
// The reply is decoded into a separate value, so that a late reply never writes to
// memory that the caller already reads.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	pc, err := p.acquire(ctx, address)
	if err != nil {
		return &CallError{Address: address, Method: method, Cause: err}
	}
	defer p.release(pc)
	result := reflect.New(reflect.TypeOf(reply).Elem())
	call := pc.client.Go(method, args, result.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err == nil {
		reflect.ValueOf(reply).Elem().Set(result.Elem())
		return nil
	}
	if _, replied := err.(rpc.ServerError); !replied {
		p.retire(address, pc)
	}
	return &CallError{Address: address, Method: method, Cause: err}
}

// acquire returns a connection to a peer and counts a call on it.
func (p *Pool) acquire(ctx context.Context, address string) (*pooledConn, error) {
	p.mu.Lock()
	now := p.now()
	p.closeIdle(now)
	if pc := p.conns[address]; pc != nil {
		defer p.mu.Unlock()
		return pc.addCall(now), nil
	}
	p.mu.Unlock()
	conn, err := p.dial(ctx, address, roleCaller)
	if err != nil {
		return nil, err
	}
	client := rpc.NewClientWithCodec(clientCodec{newFrameConn(conn)})
	p.mu.Lock()
	defer p.mu.Unlock()
	if pc := p.conns[address]; pc != nil { // another goroutine dialled in the meantime
		client.Close()
		return pc.addCall(now), nil
	}
	pc := &pooledConn{client: client}
	p.conns[address] = pc
	return pc.addCall(now), nil
}

// addCall counts one more call on the connection. The lock of the pool must be held.
func (pc *pooledConn) addCall(now time.Time) *pooledConn {
	pc.lastUsed = now
	pc.calls++
	return pc
}

// release ends a call on a connection, and closes a retired one after its last call.
func (p *Pool) release(pc *pooledConn) {
	p.mu.Lock()
	pc.calls--
	last := pc.retired && pc.calls == 0
	p.mu.Unlock()
	if last {
		pc.client.Close()
	}
}

// closeIdle closes connections that were idle longer than maxIdleTime; p.mu must be held.
func (p *Pool) closeIdle(now time.Time) {
	for address, pc := range p.conns {
		if pc.calls == 0 && now.Sub(pc.lastUsed) > maxIdleTime {
			pc.client.Close()
			delete(p.conns, address)
		}
	}
}

// withContext runs an exchange on a connection, which ends as ctx does: the connection is closed then.
func withContext(ctx context.Context, conn net.Conn, exchange func() error) error {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	err := exchange()
	if !stop() && err == nil {
		err = ctx.Err()
	}
	return err
}

// dial opens and authenticates a connection. TLS knows connections for calls only.
func (p *Pool) dial(ctx context.Context, address string, r role) (net.Conn, error) {
	conn, err := p.dialFunc(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if p.security.TLS == nil {
		err := withContext(ctx, conn, func() error { return authenticateDialer(conn, p.security.Secret, r) })
		if err != nil {
			conn.Close()
			return nil, err
		}
		return conn, nil
	}
	t := tls.Client(conn, p.security.TLS.Client())
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := t.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, &AuthenticationError{Address: address, Cause: err}
	}
	return t, nil
}

// retire removes a connection from the pool, so that it takes no further calls.
func (p *Pool) retire(address string, pc *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pc.retired = true
	if p.conns[address] == pc {
		delete(p.conns, address)
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, pc := range p.conns {
		pc.client.Close()
		delete(p.conns, address)
	}
}
