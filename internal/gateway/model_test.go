package gateway

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// TestServiceGone: a target whose service the newest configuration no longer
// declares has no known links, and breaks nothing.
func TestServiceGone(t *testing.T) {
	x := &exchange{view: &View{Config: catalog.NewConfig(catalog.Draft{})}}
	src := partSource{store: &catalog.CacheStore{LinkMbps: 1000}, tokens: 100}
	is.New(t).Equal(x.transferMS(src, &catalog.Target{Service: "gone"}), 0.0)
}
