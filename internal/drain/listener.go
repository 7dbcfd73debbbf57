package drain

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/shedhoist/shedhoist/internal/netx"
)

const (
	// handshakeTime is how long handshakes under way may take to end: some round trips between
	// two zones.
	handshakeTime = 20 * time.Millisecond
	// maxQueued is the number of connections that the kernel queues for a listener (default of
	// net.core.somaxconn).
	maxQueued = 4096
)

// queue is what the kernel holds of a listener: handshakes and connections to be accepted.
type queue interface {
	// SetDeadline makes Accept fail with os.ErrDeadlineExceeded from a time on.
	SetDeadline(time.Time) error
	// stopHandshakes makes the kernel ignore new attempts to connect.
	stopHandshakes() error
	// hasQueued reports whether a connection can be accepted.
	hasQueued() (bool, error)
}

// tcpListener is what a net.TCPListener offers to control its queue.
type tcpListener interface {
	syscall.Conn
	SetDeadline(time.Time) error
}

// tcpQueue implements queue.
type tcpQueue struct{ tcpListener }

func (q tcpQueue) stopHandshakes() error    { return netx.StopHandshakes(q.tcpListener) }
func (q tcpQueue) hasQueued() (bool, error) { return netx.Readable(q.tcpListener) }

// queueOf returns the queue of a listener; nil: the kernel queues nothing for it.
func queueOf(ln net.Listener) queue {
	switch ln := ln.(type) {
	case queue:
		return ln
	case tcpListener:
		return tcpQueue{ln}
	}
	return nil
}

// listener is a net.Listener whose intake ends without resetting established connections.
type listener struct {
	net.Listener
	queue  queue
	log    log.Interface
	ending atomic.Bool

	// Used by Accept alone, which has one caller at a time.
	handshakesOver bool // handshakeTime has passed since endIntake
	queueAccepts   int  // attempts to accept a connection since then
}

func newListener(ln net.Listener, logger log.Interface) *listener {
	return &listener{Listener: ln, queue: queueOf(ln), log: logger}
}

// endIntake makes Accept return the established connections that are left and then net.ErrClosed.
func (l *listener) endIntake() {
	if l.queue == nil {
		l.Close()
		return
	}
	if err := l.queue.stopHandshakes(); err != nil {
		l.log.WithError(err).Warn("callers that connect at the very end of the stop may be reset")
	}
	l.ending.Store(true)
	l.interruptAccept(handshakeTime)
}

// interruptAccept makes Accept return within d.
func (l *listener) interruptAccept(d time.Duration) {
	if err := l.queue.SetDeadline(time.Now().Add(d)); err != nil {
		l.Close() // which interrupts it too
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.accept()
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn}, nil
}

func (l *listener) accept() (net.Conn, error) {
	for !l.handshakesOver {
		conn, err := l.Listener.Accept()
		if !l.ending.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		l.handshakesOver = true
	}
	return l.acceptQueued()
}

// acceptQueued returns the next connection of the queue. When none is left it closes the listener
// and returns net.ErrClosed.
func (l *listener) acceptQueued() (net.Conn, error) {
	for l.queueAccepts < maxQueued && l.hasQueued() {
		l.interruptAccept(handshakeTime)
		conn, err := l.Listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		l.queueAccepts++
		return conn, err
	}
	l.log.WithField("queued", l.queueAccepts).Info("accepts no more connections")
	l.Close()
	return nil, net.ErrClosed
}

// hasQueued reports whether a connection can be accepted.
func (l *listener) hasQueued() bool {
	queued, err := l.queue.hasQueued()
	if err != nil {
		l.log.WithError(err).Warn("callers whose connections are queued may be reset")
	}
	return queued
}
