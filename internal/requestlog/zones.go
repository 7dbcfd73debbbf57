package requestlog

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// findExcludedZones reports the zones that the instance excluded when the request ended:
// those evacuated by operators and those that were unreachable.
func findExcludedZones(lines []Line, t *Timeline) []string {
	end := t.end()
	var evacuated []string
	var changed time.Time
	unreachable := map[string]time.Time{}
	for l := range sameInstance(lines, end) {
		switch l.Message {
		case "evacuated zones changed":
			evacuated, changed = l.Fields.Names("zones"), l.Time
		case "zone is silent":
			unreachable[l.Fields.Text("zone")] = l.Time
		case "zone answers again":
			delete(unreachable, l.Fields.Text("zone"))
		}
	}
	var out []string
	if len(evacuated) > 0 {
		out = append(out, fmt.Sprintf("zones %v were evacuated; %s had learned so %s before", evacuated, end.Instance, end.Time.Sub(changed).Round(time.Millisecond)))
	}
	for _, zone := range slices.Sorted(maps.Keys(unreachable)) {
		out = append(out, fmt.Sprintf("zone %s had been unreachable from %s for %s", zone, end.Instance, end.Time.Sub(unreachable[zone]).Round(time.Millisecond)))
	}
	return out
}
