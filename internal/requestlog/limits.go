package requestlog

import "fmt"

// findLimitedTargets reports, for a request that was not served, the targets that could not take it because of the
// limits that they had named.
func findLimitedTargets(_ []Line, t *Timeline) []string {
	end := t.end()
	n := end.Fields.Number("limited_targets")
	if !end.isUnserved() || n == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%.0f eligible targets had named limits of requests a second, which were used up by all instances together", n)}
}
