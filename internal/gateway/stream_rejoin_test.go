package gateway

import (
	"slices"
	"testing"
	"time"
)

// rejoinScenarios are ways in which callers that don't name their streams take them up after whoever knew of
// these is gone, while requests like theirs have begun fresh streams.
var rejoinScenarios = []streamScenario{
	{"all instances are killed after one version has left", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		s := f.beginAlike(30, inTurn(0, 9))
		f.endVersion("v1")
		f.restartAll()
		f.awaitReady(9)
		f.beginAlike(9, inTurn(0, 9))
		f.takeUp(s, 0, inTurn(0, 9))
		return s
	}, 0, false},
	{"all instances are killed as one version leaves, two at a time are up", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		s := f.beginAlike(30, inTurn(0, 9))
		f.restartAll()
		f.awaitReady(9)
		f.endVersion("v1.1")
		f.beginAlike(2, inTurn(3, 2))
		f.takeUp(s, 0, inTurn(0, 9))
		return s
	}, 0, false},
	{"all instances are killed twice", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		s := f.beginAlike(30, inTurn(0, 9))
		f.endVersion("v1")
		f.restartAll()
		f.awaitReady(9)
		f.beginAlike(5, inTurn(0, 9))
		f.restartAll()
		f.awaitReady(9)
		f.beginAlike(9, inTurn(0, 9))
		f.takeUp(s, 0, inTurn(0, 9))
		return s
	}, 0, false},
	{"the only instance is killed", 1, 3, twoVersions, func(f *versionFleet) []*versionStream {
		s := f.beginAlike(10, inTurn(0, 1))
		f.endVersion("v1")
		f.restartAll()
		f.awaitReady(1)
		f.beginAlike(1, inTurn(0, 1))
		f.takeUp(s, 0, inTurn(0, 1))
		return s
	}, 0, false},
	{"two instances are killed", 2, 3, twoVersions, func(f *versionFleet) []*versionStream {
		s := f.beginAlike(10, inTurn(0, 2))
		f.endVersion("v1")
		f.restartAll()
		f.awaitReady(2)
		f.beginAlike(2, inTurn(0, 2))
		f.takeUp(s, 0, inTurn(0, 2))
		return s
	}, 0, false},
	{"one instance is killed before the second version comes", 9, 3, []string{"v1"}, func(f *versionFleet) []*versionStream {
		time.Sleep(time.Minute)
		s := f.beginAlike(20, inTurn(4, 1))
		f.kill(4)
		f.replaceBy("v1.1")
		f.beginAlike(5, inTurn(0, 4))
		f.takeUp(s, 0, inTurn(5, 4))
		return s
	}, 0, true},
	{"one instance is killed before the second version comes, and starts again", 9, 3, []string{"v1"}, func(f *versionFleet) []*versionStream {
		time.Sleep(time.Minute)
		s := f.beginAlike(20, inTurn(4, 1))
		f.kill(4)
		f.replaceBy("v1.1")
		f.start(4)
		f.awaitReady(9)
		f.beginAlike(5, inTurn(0, 9))
		f.takeUp(s, 0, inTurn(4, 1))
		return s
	}, 0, true},
	{"most instances are killed and replaced under other names", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		s := f.beginAlike(30, inTurn(1, 8))
		f.endVersion("v1")
		for i := 1; i < 9; i++ {
			f.kill(i)
		}
		for range 3 {
			f.addInstance()
		}
		time.Sleep(6 * time.Second)
		f.beginAlike(3, inTurn(9, 3))
		f.takeUp(s, 0, inTurn(9, 3))
		return s
	}, 0, false},
	{"each instance has lost its peers", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		s := f.beginAlike(30, inTurn(0, 4))
		f.endVersion("v1")
		f.cutPeers(eachAlone, linkHangs)
		f.beginAlike(5, inTurn(4, 5))
		f.takeUp(s, 0, inTurn(4, 5))
		return s
	}, 0, false},
	{"one instance has lost its peers", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		f.cutPeers(sideOf(4), linkHangs)
		s := f.beginAlike(20, inTurn(4, 1))
		f.takeUpAfterEnd(s)
		return s
	}, 0, false},
	{"one instance lost its peers long ago", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		f.cutPeers(sideOf(4), linkHangs)
		time.Sleep(10 * time.Second)
		s := f.beginAlike(20, inTurn(4, 1))
		f.takeUpAfterEnd(s)
		return s
	}, 0, false},
	{"one instance has lost its peers, and is killed", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		f.cutPeers(sideOf(4), linkHangs)
		s := f.beginAlike(20, inTurn(4, 1))
		f.kill(4)
		f.takeUpAfterEnd(s)
		return s
	}, 0, false},
	{"one instance has lost its peers, is killed, and starts with them", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		f.cutPeers(sideOf(4), linkHangs)
		s := f.beginAlike(20, inTurn(4, 1))
		time.Sleep(2 * time.Second)
		f.kill(4)
		f.cutPeers(sideOf(4), linkIntact)
		f.start(4)
		f.awaitReady(9)
		f.endVersion("v1")
		f.beginAlike(5, inTurn(0, 9))
		f.takeUp(s, 0, inTurn(0, 9))
		return s
	}, 0, false},
	{"a zone has lost the others", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		f.cutPeers(sideOf(0, 3, 6), linkHangs)
		s := f.beginAlike(30, func(k int) int { return k % 3 * 3 })
		f.endVersion("v1")
		f.beginAlike(5, inTurn(1, 2))
		f.takeUp(s, 0, inTurn(1, 2))
		return s
	}, 0, false},
	{"one instance had lost its peers for a while, and is killed", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		f.cutPeers(sideOf(4), linkHangs)
		s := f.begin(80, eventsBeforeLeave, inTurn(4, 1))
		f.cutPeers(sideOf(4), linkIntact)
		time.Sleep(5 * time.Second)
		f.kill(4)
		f.takeUp(s, 0, inTurn(5, 4))
		return s
	}, .9, false},
	{"two instances have just lost the object store and the others, the second version is new", 9, 3, []string{"v1"}, func(f *versionFleet) []*versionStream {
		time.Sleep(time.Minute)
		f.cutPeers(sideOf(7, 8), linkHangs)
		f.storeClients[7].setSilent(true)
		f.storeClients[8].setSilent(true)
		f.release("v1.1")
		s := f.begin(20, eventsBeforeLeave, inTurn(0, 7))
		f.takeUp(s, 0, inTurn(7, 2))
		return s
	}, 0, false},
	{"one version only, an instance has fallen silent", 9, 3, []string{"v1"}, func(f *versionFleet) []*versionStream {
		time.Sleep(time.Minute)
		s := f.begin(40, eventsBeforeLeave, inTurn(4, 1))
		f.cutPeers(sideOf(4), linkHangs)
		f.takeUp(s, 0, inTurn(5, 4))
		return s
	}, 1, false},
	{"one version only, an instance fell silent 10 s ago", 9, 3, []string{"v1"}, func(f *versionFleet) []*versionStream {
		time.Sleep(time.Minute)
		s := f.begin(40, eventsBeforeLeave, inTurn(4, 1))
		f.cutPeers(sideOf(4), linkHangs)
		time.Sleep(10 * time.Second)
		f.takeUp(s, 0, inTurn(5, 4))
		return s
	}, 1, false},
	{"sixty instances, none killed", 60, 3, twoVersions, func(f *versionFleet) []*versionStream {
		s := f.beginAlike(30, inTurn(0, 30))
		f.endVersion("v1")
		f.beginAlike(20, inTurn(30, 20))
		f.takeUp(s, 0, inTurn(50, 10))
		return s
	}, 0, false},
	{"one instance is killed, no requests are alike", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		f.awaitForgotten()
		s := f.beginUnnamed(80, inTurn(4, 1))
		f.kill(4)
		f.takeUp(s, 0, inTurn(5, 4))
		return s
	}, .9, false},
	{"one instance is killed and starts again, no requests are alike", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		f.awaitForgotten()
		s := f.beginUnnamed(80, inTurn(4, 1))
		f.kill(4)
		f.start(4)
		f.awaitReady(9)
		f.takeUp(s, 0, inTurn(0, 9))
		return s
	}, .9, false},
	{"a zone is killed, no requests are alike", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		f.awaitForgotten()
		s := f.beginUnnamed(80, inTurn(0, 9))
		for _, i := range []int{0, 3, 6} {
			f.kill(i)
		}
		f.takeUp(s, 0, func(k int) int { return []int{1, 2, 4, 5, 7, 8}[k%6] })
		return s
	}, .9, false},
	{"all instances are killed, and streams begin afterwards", 9, 3, twoVersions, func(f *versionFleet) []*versionStream {
		f.restartAll()
		f.awaitReady(9)
		f.awaitForgotten()
		s := f.beginUnnamed(80, inTurn(0, 9))
		f.takeUp(s, 0, inTurn(4, 5))
		return s
	}, .9, false},
}

// endVersion ends the targets of a version, and waits until that is known.
func (f *versionFleet) endVersion(version string) {
	f.replaceVersion(version, func(*memoryTarget) string { return "" })
}

// takeUpAfterEnd takes streams up at four instances, after the first version has ended and fresh streams have begun
// at four others.
func (f *versionFleet) takeUpAfterEnd(streams []*versionStream) {
	f.endVersion("v1")
	f.beginAlike(5, inTurn(0, 4))
	f.takeUp(streams, 0, inTurn(5, 4))
}

// awaitForgotten waits until no stream of before can be taken up.
func (f *versionFleet) awaitForgotten() { time.Sleep(linkRouteTimeout + takeUpTime + 2*maxHistoryAge) }

// sideOf puts some instances on one side of a partition, and all others on the other.
func sideOf(instances ...int) func(instance int) int {
	return func(instance int) int {
		if slices.Contains(instances, instance) {
			return 1
		}
		return 0
	}
}

// replaceBy replaces all targets by ones of another version.
func (f *versionFleet) replaceBy(version string) {
	f.replaceVersion("v1", func(*memoryTarget) string { return version })
}

// beginUnnamed is begin with callers that won't name the streams.
func (f *versionFleet) beginUnnamed(n int, from func(k int) int) []*versionStream {
	out := f.begin(n, eventsBeforeLeave, from)
	for _, s := range out {
		s.unnamed = true
	}
	return out
}

// TestStreamsOfBeforeAreNotJoined guards against a stream that goes on at the version of other streams of
// requests like it, while it is not known which version began it.
func TestStreamsOfBeforeAreNotJoined(t *testing.T) { playStreams(t, rejoinScenarios) }
