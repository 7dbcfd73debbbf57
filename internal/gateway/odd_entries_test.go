package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestOddEntryInLargeFleet guards against instances that rely on peers for the list of targets and no longer hear of
// targets, since an entry that can't be decoded is passed on with them.
func TestOddEntryInLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTrafficFleet(t, 30, 3, 3)
		defer f.stop()
		f.store.set(memoryTargets, "odd", []int{1})
		f.store.set(memoryTargets, f.targets[2].name, "not an entry")
		added := &memoryTarget{f: f, name: "t-99", zone: "z0"}
		f.targets = append(f.targets, added)
		added.start()
		f.addInstance()
		time.Sleep(5 * time.Second)
		for _, g := range f.gateways {
			serving := map[string]bool{}
			for _, m := range g.view.Load().Serving["s"] {
				serving[m.Name] = true
			}
			is.Equal(serving, map[string]bool{"t-00": true, "t-01": true, "t-99": true})
		}
	})
}
