// Package resources shares out the memory and the descriptors of a process among what it serves: callers get a share
// of each, so that they leave what the process needs for itself, for targets, for the object store and for its peers.
package resources

import (
	"runtime/debug"

	"golang.org/x/sys/unix"
)

const (
	// callerMemoryShare is the share of the memory limit that callers may make a process use: connections, heads,
	// bodies, buffered answers and data read ahead. The rest is for what the process knows, the program itself, and
	// what the collector has not freed yet.
	callerMemoryShare = 0.3125
	// programBytes is what the program itself occupies besides what its runtime manages.
	programBytes = 16 << 20
	// heapShare is the share of the memory limit that the runtime may manage, the program left out. The rest is
	// for what the kernel holds unread of connections.
	heapShare = 0.875
	// minHeapShare is the share that it may manage at least: with less it would do little but collect.
	minHeapShare = 0.5
)

// CallerMemory returns how many bytes of a memory limit callers may use; 0 is no limit.
func CallerMemory(memoryBytes int64) int64 { return int64(callerMemoryShare * float64(memoryBytes)) }

// LimitHeap makes the collector start early enough that the process stays within its memory limit, in bytes; 0 is none.
// Without it the heap grows to twice what is in use before a collection ends.
func LimitHeap(memoryBytes int64) {
	if memoryBytes > 0 {
		debug.SetMemoryLimit(heapLimit(memoryBytes))
	}
}

func heapLimit(memoryBytes int64) int64 {
	return max(int64(heapShare*float64(memoryBytes))-programBytes, int64(minHeapShare*float64(memoryBytes)))
}

// MaxAdminConns is how many connections a listener for the load balancer or for operators takes.
const MaxAdminConns = 32

const (
	// maxPeerDescriptors is the most connections that peers may open.
	maxPeerDescriptors = 1024
	// peerShare is the share of the descriptors that they may use at most.
	peerShare = 1.0 / 4
	// idleTargetShare is the share that is kept for idle connections to targets.
	idleTargetShare = 1.0 / 8
	// ownDescriptors are kept for the listeners, the object store, log and settings, and two listeners for the load
	// balancer and operators.
	ownDescriptors = 64 + 2*MaxAdminConns
)

// MinDescriptors is how many descriptors a process needs so that callers get more than a handful.
const MinDescriptors = 256

// Descriptors is how many descriptors each kind of connection may use; 0: no limit of its own.
type Descriptors struct {
	Callers int // of callers, with the connections to targets that their requests use
	Peers   int // that peers opened
}

// ShareDescriptors shares out the descriptors of a process. total is 0 if it is not limited.
func ShareDescriptors(total int) Descriptors {
	if total <= 0 {
		return Descriptors{Peers: maxPeerDescriptors}
	}
	peers := min(maxPeerDescriptors, int(peerShare*float64(total)))
	return Descriptors{Peers: peers, Callers: max(1, total-peers-int(idleTargetShare*float64(total))-ownDescriptors)}
}

// SystemDescriptors returns how many descriptors the system allows this process; 0: it does not say.
func SystemDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	const most = 1 << 30 // more than any process has; also stands for "unlimited"
	return int(min(limit.Cur, most))
}
