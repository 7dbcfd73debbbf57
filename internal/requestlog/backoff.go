package requestlog

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// findBackoffs reports the targets that rejected the request and requested a backoff.
// For a request that was not served, it also reports the backoffs still active on its
// instance.
func findBackoffs(lines []Line, t *Timeline) []string {
	var out []string
	for _, a := range t.failedAttempts() {
		if ms := a.Fields.Number("rest_ms"); ms > 0 {
			out = append(out, fmt.Sprintf("target %s rejected it and asked %s to back off for %.0f ms", a.Fields.Text("target"), a.Instance, ms))
		}
	}
	end := t.end()
	if !end.isUnserved() {
		return out
	}
	if n := end.Fields.Number("resting_targets"); n > 0 {
		out = append(out, fmt.Sprintf("%.0f eligible targets had asked %s to back off, the first for another %.0f ms", n, end.Instance, end.Fields.Number("rest_left_ms")))
	}
	backoffs := activeBackoffs(lines, end)
	for _, target := range slices.Sorted(maps.Keys(backoffs)) {
		out = append(out, fmt.Sprintf("target %s was in backoff for requests from %s for another %s", target, end.Instance, backoffs[target].Sub(end.Time).Round(time.Millisecond)))
	}
	return out
}

// activeBackoffs returns, by target, the end of each backoff that the instance of a line
// knew to be active at that time.
func activeBackoffs(lines []Line, end Line) map[string]time.Time {
	out := map[string]time.Time{}
	for l := range sameInstance(lines, end) {
		if l.Message != "target asks for rest" {
			continue
		}
		until := l.Time.Add(time.Duration(l.Fields.Number("rest_ms")) * time.Millisecond)
		if until.After(end.Time) {
			out[l.Fields.Text("target")] = until
		}
	}
	return out
}
