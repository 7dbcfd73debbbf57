package gateway

import (
	"sync"
	"time"
)

// Limits on the time that a request waits for a new process to initialize.
const (
	// startupWait covers a start in which the object store responds: 20 ms for one
	// process, about a second for hundreds that start at a time.
	startupWait = time.Second
	// startupTime is the age from which on a process without a configuration doesn't let requests wait: the
	// object store and the peers have none for it.
	startupTime = 3 * time.Second
	// startupWaitShare is the share of the caller's timeout that the wait may take. The
	// rest is enough for a response, or for another attempt elsewhere.
	startupWaitShare = 1.0 / 3
)

// latch is opened once, and stays open.
type latch struct {
	opened chan struct{}
	once   sync.Once
}

func newLatch() *latch { return &latch{opened: make(chan struct{})} }

func (l *latch) open() { l.once.Do(func() { close(l.opened) }) }

// startupLatches are opened when a view first has what requests need.
type startupLatches struct {
	initialized      *latch // all requests
	versionsListed   *latch // prompts
	versionAgesKnown *latch // prompts
}

func newStartupLatches() startupLatches {
	return startupLatches{initialized: newLatch(), versionsListed: newLatch(), versionAgesKnown: newLatch()}
}

// open opens the latches whose condition a view meets.
func (s startupLatches) open(v *View) {
	if v.initialized() {
		s.initialized.open()
	}
	if v.VersionsListed {
		s.versionsListed.open()
	}
	if v.initialized() && v.VersionsListed && !v.VersionAgesMissing {
		s.versionAgesKnown.open()
	}
}

// awaitStartup waits, if the process has just started, until it knows the configuration and the targets, and, for
// a prompt, the named versions and their ages.
func (x *exchange) awaitStartup() {
	startedAt := x.g.startedAt
	if !x.view.initialized() {
		x.awaitLatch(x.g.startup.initialized, earlier(x.g.now().Add(startupWait), startedAt.Add(startupTime)))
	}
	if x.call.Prompt == nil {
		return
	}
	if !x.view.VersionsListed {
		x.awaitLatch(x.g.startup.versionsListed, startedAt.Add(startupWait))
	}
	if x.view.VersionAgesMissing {
		x.awaitLatch(x.g.startup.versionAgesKnown, startedAt.Add(versionAgesWait))
	}
}

// awaitLatch waits until a latch is open or a time has come, or startupWaitShare of the caller's timeout is over. It
// loads the view then.
func (x *exchange) awaitLatch(l *latch, until time.Time) {
	if x.call.Timeout > 0 {
		until = earlier(until, x.arrived.Add(time.Duration(startupWaitShare*float64(x.call.Timeout))))
	}
	timer := time.NewTimer(until.Sub(x.g.now()))
	defer timer.Stop()
	select {
	case <-l.opened:
	case <-timer.C:
	case <-x.r.Context().Done():
	}
	x.view = x.g.view.Load()
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
