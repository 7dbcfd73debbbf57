package requestlog

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// findBrittleTargets reports, for a request that was not served, the brittle targets to which its instance
// sent nothing at that time.
func findBrittleTargets(lines []Line, t *Timeline) []string {
	end := t.end()
	if !end.isUnserved() {
		return nil
	}
	paused := map[string]Line{}
	for l := range sameInstance(lines, end) {
		if l.Message == "brittle target gets no requests" {
			paused[l.Fields.Text("target")] = l
		}
	}
	var out []string
	for _, target := range slices.Sorted(maps.Keys(paused)) {
		until, err := time.Parse(time.RFC3339Nano, paused[target].Fields.Text("until"))
		if err != nil || !until.After(end.Time) {
			continue // a line of another version, or over
		}
		out = append(out, fmt.Sprintf("target %s is brittle (it bears %.0f refusals a second) and got no requests from %s for another %s",
			target, paused[target].Fields.Number("limit"), end.Instance, until.Sub(end.Time).Round(time.Millisecond)))
	}
	return out
}
