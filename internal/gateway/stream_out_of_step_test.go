package gateway

import (
	"fmt"
	"testing"
	"time"
)

// outOfStep is how one instance misses what the others learn while targets of a new version join.
type outOfStep struct {
	name         string
	peers, store bool          // it has lost them
	back         time.Duration // streams are taken up so long after it is back; 0: it isn't back
	releases     int
	unnamed      bool // callers don't name their streams
}

// play lets streams begin at targets of new versions through other instances, and takes them up at the one
// that is out of step.
func (o outOfStep) play(f *versionFleet) []*versionStream {
	last := len(f.gateways) - 1
	alone := func(instance int) int { return instance / max(last, 1) }
	time.Sleep(time.Minute)
	if o.peers {
		f.cutPeers(alone, linkHangs)
	}
	f.storeClients[last].setSilent(o.store)
	var streams []*versionStream
	for i := range o.releases {
		f.release(fmt.Sprintf("v1.%d", i+1))
		begin := func() []*versionStream { return f.begin(20, eventsBeforeLeave, inTurn(0, last)) }
		if o.unnamed {
			begin = func() []*versionStream { return f.beginAlike(20, inTurn(0, last)) }
		}
		streams = append(streams, begin()...)
	}
	if o.back > 0 {
		f.cutPeers(alone, linkIntact)
		f.storeClients[last].setSilent(false)
		time.Sleep(o.back)
	}
	f.takeUp(streams, 0, inTurn(last, 1))
	return streams
}

// outOfStepScenarios returns the scenarios for fleets of a size.
func outOfStepScenarios(instances int, losses ...outOfStep) (out []streamScenario) {
	for _, lost := range losses {
		for _, back := range []time.Duration{0, time.Millisecond, 300 * time.Millisecond} {
			for _, unnamed := range []bool{false, true} {
				o := lost
				o.back, o.unnamed = back, unnamed
				out = append(out, streamScenario{name: fmt.Sprintf("%d instances, one has lost %s, back for %v, %d releases, unnamed %v", instances, o.name, back, o.releases, unnamed),
					instances: instances, each: 3, versions: []string{"v1"}, play: o.play})
			}
		}
	}
	return out
}

// TestStreamsAtInstanceOutOfStep guards against streams of a new version that go on at another one since they are taken up
// at an instance that has missed the new version's targets, or has just learned of them.
func TestStreamsAtInstanceOutOfStep(t *testing.T) {
	peers, store := outOfStep{name: "its peers", peers: true, releases: 1}, outOfStep{name: "the store", store: true, releases: 1}
	both := outOfStep{name: "both", peers: true, store: true, releases: 1}
	twoReleases := both
	twoReleases.releases = 2
	playStreams(t, outOfStepScenarios(3, peers, store, both, twoReleases))
	playStreams(t, outOfStepScenarios(9, both, twoReleases))
	playStreams(t, outOfStepScenarios(30, both)) // relies on peers for the list
}
