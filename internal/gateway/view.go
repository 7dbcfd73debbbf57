package gateway

import (
	"sync/atomic"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// Named is the newest weight version named of a model.
type Named struct {
	Version uint64
	Since   time.Time // when this instance learned it
}

// View is the picture that request goroutines read. Nobody changes one after
// it was published.
type View struct {
	Config    *catalog.Config              // nil: none yet
	Targets   map[string]*catalog.Target   // by id
	Serving   map[string][]*catalog.Target // by service: those that take new requests, sorted by id
	Named     map[string]Named             // by model
	Instances int                          // known of, this one included, the lately lost too
	Alive     []string                     // names of live instances, this one included, sorted
	Listed    bool                         // targets were listed at least once
	Draining  bool                         // this instance is stopping
	StoreOK   bool                         // the object store answers
}

// viewHolder publishes views.
type viewHolder struct{ p atomic.Pointer[View] }

// Load returns the latest view; never nil.
func (h *viewHolder) Load() *View {
	if v := h.p.Load(); v != nil {
		return v
	}
	return &View{Instances: 1}
}

// Store publishes a view.
func (h *viewHolder) Store(v *View) { h.p.Store(v) }
