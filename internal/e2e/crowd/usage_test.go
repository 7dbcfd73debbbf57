package crowd_test

import (
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pollInterval is how often the tests look at a process.
const pollInterval = 10 * time.Millisecond

// usage is the most that a process has used at a time.
type usage struct {
	p    *instance
	stop chan struct{}
	done chan struct{}
	once sync.Once

	mu          sync.Mutex
	samples     int
	unchanged   int   // samples since one was the most so far
	memory      int64 // bytes, resident and unread together
	resident    int64 // bytes of it at that time
	descriptors int
}

// watchUsage samples what a process uses until it ends.
func watchUsage(p *instance) *usage {
	u := &usage{p: p, stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(u.done)
		tick := time.NewTicker(pollInterval)
		defer tick.Stop()
		for {
			select {
			case <-u.stop:
				return
			case <-tick.C:
				u.sample()
			}
		}
	}()
	return u
}

func (u *usage) stopWatching() {
	if u == nil {
		return
	}
	u.once.Do(func() { close(u.stop) })
	<-u.done
}

func (u *usage) sample() {
	proc := fmt.Sprintf("/proc/%d/", u.p.cmd.Process.Pid)
	resident := residentBytes(proc)
	memory := resident + unreadBytes(u.p)
	entries, err := os.ReadDir(proc + "fd")
	u.mu.Lock()
	defer u.mu.Unlock()
	u.samples++
	u.unchanged++
	if memory > u.memory {
		u.memory, u.resident, u.unchanged = memory, resident, 0
	}
	if err == nil && len(entries) > u.descriptors {
		u.descriptors, u.unchanged = len(entries), 0
	}
}

const (
	// settledSamples is how many samples in a row have to show no more than was used before.
	settledSamples = 50
	// maxSamples is after how many samples a process is looked at no longer: beside callers that come back again
	// and again some sample shows a little more for long.
	maxSamples = 1000
)

// awaitSettled waits until the process has seen the crowd. The wait ends with a number of samples, whose time depends on what
// else the machine does. It fails the test if the process ends.
func (p *instance) awaitSettled() {
	p.t.Helper()
	for !p.usage.hasSettled() {
		if p.hasExited() {
			p.t.Fatalf("the process ended (%v) while the test waited for it to see the crowd", p.cmd.ProcessState)
		}
		time.Sleep(pollInterval)
	}
}

// hasSettled reports whether the process uses no more than it has used for a while.
func (u *usage) hasSettled() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.unchanged >= settledSamples || u.samples >= maxSamples
}

// residentBytes returns the resident memory of a process, 0 if it has ended.
func residentBytes(proc string) int64 {
	data, err := os.ReadFile(proc + "statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// Columns of /proc/net/tcp (proc(5)).
const (
	localColumn  = 1
	remoteColumn = 2
	stateColumn  = 3
	queueColumn  = 4

	stateListen = "0A"
)

// unreadBytes returns the bytes that the kernel holds for a process and the process has not read: of all
// connections to its listeners, accepted or not, and of those that it opened to the stand-ins.
func unreadBytes(p *instance) (sum int64) {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	own := hexAddress(p.ip)
	for _, line := range strings.Split(string(data), "\n")[1:] {
		fields := strings.Fields(line)
		if len(fields) <= queueColumn || fields[stateColumn] == stateListen {
			continue
		}
		if host, _, _ := strings.Cut(fields[localColumn], ":"); host != own && !p.remotes[fields[remoteColumn]] {
			continue
		}
		_, unread, _ := strings.Cut(fields[queueColumn], ":")
		n, err := strconv.ParseInt(unread, 16, 64)
		if err == nil {
			sum += n
		}
	}
	return sum
}

// hexAddress returns an IPv4 address as /proc/net/tcp writes it on a little-endian machine.
func hexAddress(ip string) string {
	b := net.ParseIP(ip).To4()
	return strings.ToUpper(hex.EncodeToString([]byte{b[3], b[2], b[1], b[0]}))
}

// check fails the test if the process has ended or has used more than its limits.
func (u *usage) check() {
	u.p.t.Helper()
	if u.p.hasExited() {
		u.p.t.Errorf("the process ended: %v", u.p.cmd.ProcessState)
	}
	u.checkMost()
}

// checkMost fails the test if the process has used more than its limits.
func (u *usage) checkMost() {
	u.p.t.Helper()
	u.stopWatching()
	u.sample()
	t := u.p.t
	t.Logf("most at a time: %d MB (%d MB resident), %d descriptors", u.memory>>20, u.resident>>20, u.descriptors)
	if u.memory > memoryMB<<20 {
		t.Errorf("used %d MB of memory, limit %d MB", u.memory>>20, memoryMB)
	}
	if limit := maxDescriptors - fileDescriptors; u.descriptors >= limit {
		t.Errorf("used %d descriptors, limit %d", u.descriptors, limit)
	}
}
