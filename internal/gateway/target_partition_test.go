package gateway

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestServesWhilePartitionedFromTargets guards against first tries that fail at instances which reach no
// target, while the others do: such an instance stays in rotation, and with most of its zone in the same
// state the balancer uses it whatever it says of itself.
func TestServesWhilePartitionedFromTargets(t *testing.T) {
	cuts := []struct {
		name string
		cut  linkCut
	}{
		{"connections hang", linkHangs},
		{"connections are reset, new ones hang", linkResets},
		{"connections are reset, new ones refused", linkRefuses},
		{"connections live on, new ones are refused", linkRefusesNew},
	}
	groups := []struct {
		name  string
		count int
	}{{"one instance", 1}, {"most of a zone", 2}, {"all of a zone", 3}}
	for _, c := range cuts {
		for _, g := range groups {
			t.Run(c.name+", "+g.name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { checkPartition(t, c.cut, g.count) })
			})
		}
	}
}

// checkPartition cuts off instances of a zone from all targets and checks that requests which start
// maxDetectionTime later or more are served at once, and that no request runs twice.
func checkPartition(t *testing.T, cut linkCut, count int) {
	f := newLinkFleet(t, 9, 9)
	defer f.stop()
	f.sendAll("before", 2*time.Second)
	instances := f.instancesIn("z1", count)
	f.cutLinks(instances, cut)
	cutAt := time.Now()
	checked, failed, slow := 0, 0, 0
	for _, r := range f.sendAll("cut", 5*time.Second) {
		if r.startedAt.Sub(cutAt) < maxDetectionTime {
			continue
		}
		checked++
		if !r.served {
			failed++
			if failed <= 5 {
				t.Logf("%s at instance %d: status %d after %v, %v after the cut", r.path, r.instance, r.status, r.duration, r.startedAt.Sub(cutAt))
			}
		}
		if r.duration > maxUnreachableDelay {
			slow++
		}
	}
	if checked == 0 || failed > 0 || slow > 0 {
		t.Errorf("of %d requests that started %v or more after the cut, %d failed and %d took more than %v", checked, maxDetectionTime, failed, slow, maxUnreachableDelay)
	}
	f.cutLinks(instances, linkIntact)
	time.Sleep(maxDetectionTime)
	for _, r := range f.sendAll("mended", 2*time.Second) {
		if !r.served {
			t.Errorf("%s at instance %d failed %v after the links came back, status %d", r.path, r.instance, maxDetectionTime, r.status)
		}
	}
	f.checkRuns()
}
