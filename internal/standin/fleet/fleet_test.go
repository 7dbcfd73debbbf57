package fleet_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/standin/engine"
	"github.com/shedhoist/shedhoist/internal/standin/fleet"
)

// TestDemo does the main job: a prompt returns after its cache left
// accelerator memory and is answered from kept cache.
func TestDemo(t *testing.T) {
	is := is.New(t)
	f, err := fleet.Start(t.Context(), fleet.Options{Engine: engine.Options{PrefillUS: 1, TimeScale: 0.01}})
	is.NoErr(err)
	defer f.Close()
	var out bytes.Buffer
	is.NoErr(f.Demo(t.Context(), &out))
	is.True(strings.Contains(out.String(), "prompt work saved on the return: 99.9%"))
}
