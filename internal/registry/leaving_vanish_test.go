package registry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// TestLeavingTargetsAreNoMassExpiry guards against holding entries for a return because targets
// that had announced that they leave vanished with them.
func TestLeavingTargetsAreNoMassExpiry(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c"}
	for leaving, held := range map[int]bool{0: true, 2: false} {
		tt := newTable()
		var targets []catalog.Target
		for i, name := range names {
			targets = append(targets, newTarget(name, 100, uint64(i+1)))
		}
		tt.ApplyList(5, targets, nil, baseTime)
		for i := range leaving {
			tt.ApplyLeavingNotice(IncarnationOf(&targets[i]), fromResponse, baseTime)
		}
		tt.ApplyChanges(6, nil, names, baseTime)
		is.Equal(tt.Entry("c") != nil, held)
	}
}
