package resources

import (
	"testing"

	"github.com/matryer/is"
)

// TestShareDescriptors guards against callers and peers that leave no descriptors for targets and the object store, and
// against a process that takes no callers.
func TestShareDescriptors(t *testing.T) {
	is := is.New(t)
	for total := 200; total < 20_000; total += 100 {
		d := ShareDescriptors(total)
		is.True(d.Callers > 0 && d.Peers > 0)
		is.True(total < 400 || total-d.Callers-d.Peers >= total/8+ownDescriptors)
	}
	is.Equal(ShareDescriptors(0), Descriptors{Peers: maxPeerDescriptors})
	is.True(ShareDescriptors(MinDescriptors).Callers >= 32)
}

// TestHeapLimit guards against a heap and callers that together leave no room for the program.
func TestHeapLimit(t *testing.T) {
	is := is.New(t)
	for mb := int64(64); mb < 2048; mb *= 2 {
		total := mb << 20
		is.True(heapLimit(total) < total)
		is.True(CallerMemory(total) < heapLimit(total))
	}
}
