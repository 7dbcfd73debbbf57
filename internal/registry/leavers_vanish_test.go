package registry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// TestLeaversThatVanishAreNoLapse guards against entries that are held for a return since others
// vanished with them that had said that they leave.
func TestLeaversThatVanishAreNoLapse(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c"}
	for leavers, held := range map[int]bool{0: true, 2: false} {
		tt := table()
		var targets []catalog.Target
		for i, name := range names {
			targets = append(targets, life(name, 100, uint64(i+1)))
		}
		tt.ApplyList(5, targets, nil, at0)
		for i := range leavers {
			tt.ApplyLeavingNotice(IncarnationOf(&targets[i]), byAnswer, at0)
		}
		tt.ApplyChanges(6, nil, names, at0)
		is.Equal(tt.Entry("c") != nil, held)
	}
}
