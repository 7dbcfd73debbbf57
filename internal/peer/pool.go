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

// Pool calls peers and keeps a connection to each one lately called.
type Pool struct {
	sec   Security
	open  Dial
	now   func() time.Time
	mu    sync.Mutex
	conns map[string]*pooled
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

type pooled struct {
	client  *rpc.Client
	used    time.Time
	calls   int  // under way
	dropped bool // it gets no further calls, and is closed after those under way
}

// keepIdle is how long an unused connection is kept: less than idleClose, so
// that a call does not meet a connection the other side is about to close.
const keepIdle = idleClose / 2

// NewPool returns a pool without connections.
func NewPool(sec Security, now func() time.Time) *Pool {
	return NewPoolOver(nil, sec, now)
}

// NewPoolOver is NewPool on another network; nil is this machine's.
func NewPoolOver(open Dial, sec Security, now func() time.Time) *Pool {
	if open == nil {
		open = netx.Dialer(handshakeTimeout).DialContext
	}
	return &Pool{sec: sec, open: open, now: now, conns: map[string]*pooled{}}
}

// Call calls a method and waits for its reply until ctx ends. A call that
// fails on the way drops its connection, which may be dead. Others that are under
// way on it go on to their own ends: where a link is busy, one that was too slow
// would else take all of them along. It decodes into a value of the call's own, so
// that an answer that comes late never writes to a reply which its caller has gone
// on to read.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	e, err := p.take(ctx, address)
	if err != nil {
		return &CallError{Address: address, Method: method, Cause: err}
	}
	defer p.release(e)
	own := reflect.New(reflect.TypeOf(reply).Elem())
	call := e.client.Go(method, args, own.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err == nil {
		reflect.ValueOf(reply).Elem().Set(own.Elem())
		return nil
	}
	if _, answered := err.(rpc.ServerError); !answered {
		p.drop(address, e)
	}
	return &CallError{Address: address, Method: method, Cause: err}
}

// take returns a connection to a peer with one more call on it.
func (p *Pool) take(ctx context.Context, address string) (*pooled, error) {
	p.mu.Lock()
	now := p.now()
	p.closeIdle(now)
	if e := p.conns[address]; e != nil {
		defer p.mu.Unlock()
		return e.taken(now), nil
	}
	p.mu.Unlock()
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := rpc.NewClientWithCodec(clientCodec{newFrames(conn)})
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.conns[address]; e != nil { // another goroutine dialled meanwhile
		c.Close()
		return e.taken(now), nil
	}
	e := &pooled{client: c}
	p.conns[address] = e
	return e.taken(now), nil
}

// taken counts one more call; the pool's lock is held.
func (e *pooled) taken(now time.Time) *pooled {
	e.used = now
	e.calls++
	return e
}

// release ends a call on a connection.
func (p *Pool) release(e *pooled) {
	p.mu.Lock()
	e.calls--
	last := e.dropped && e.calls == 0
	p.mu.Unlock()
	if last {
		e.client.Close()
	}
}

// closeIdle drops what was long unused; p.mu is held.
func (p *Pool) closeIdle(now time.Time) {
	for a, e := range p.conns {
		if e.calls == 0 && now.Sub(e.used) > keepIdle {
			e.client.Close()
			delete(p.conns, a)
		}
	}
}

func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := p.open(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if p.sec.TLS == nil {
		if err := prove(conn, p.sec.Secret, true); err != nil {
			conn.Close()
			return nil, err
		}
		return conn, nil
	}
	t := tls.Client(conn, p.sec.TLS.Client())
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := t.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, &IdentityError{Address: address, Cause: err}
	}
	return t, nil
}

// drop gives a connection no further calls.
func (p *Pool) drop(address string, e *pooled) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.dropped = true
	if p.conns[address] == e {
		delete(p.conns, address)
	}
}

// Close drops all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, e := range p.conns {
		e.client.Close()
		delete(p.conns, a)
	}
}
