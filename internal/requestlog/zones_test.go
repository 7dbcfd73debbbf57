package requestlog_test

import (
	"testing"

	"github.com/matryer/is"
)

// TestExcludedZones checks that the findings for a refused request name the zones that
// its instance excluded.
func TestExcludedZones(t *testing.T) {
	refused := logLine(5000, "a", "request", `"request":"r","outcome":"no-target","status":503,"config":13`)
	evacuated := logLine(3000, "a", "evacuated zones changed", `"zones":["z1","z2"],"before":["z1"],"revision":40,"from":"store"`)
	cases := []struct {
		name  string
		lines []string
		want  []string // the findings about zones
	}{
		{"evacuated", []string{evacuated, refused}, []string{"zones [z1 z2] were evacuated; a had learned so 2s before"}},
		{"evacuation withdrawn", []string{evacuated, logLine(4000, "a", "evacuated zones changed", `"zones":[],"before":["z1","z2"]`), refused}, nil},
		{"known to another instance", []string{logLine(3000, "b", "evacuated zones changed", `"zones":["z1"]`), refused}, nil},
		{"unreachable", []string{logLine(4500, "a", "zone is silent", `"zone":"z3"`), refused}, []string{"zone z3 had been unreachable from a for 500ms"}},
		{"reachable again", []string{logLine(4500, "a", "zone is silent", `"zone":"z3"`), logLine(4900, "a", "zone answers again", `"zone":"z3"`), refused}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := findingsOn(t, c.lines, "zone")
			is.Equal(len(got), len(c.want))
			for i := range got {
				is.Equal(got[i], c.want[i])
			}
		})
	}
}
