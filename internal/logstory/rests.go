package logstory

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// restsAsked tells which targets turned the request away and asked for rest, and, of a request
// that was not served, which had asked its instance for a rest that was not over.
func restsAsked(lines []Line, s *Story) []string {
	var out []string
	for _, a := range s.failed() {
		if ms := a.Fields.Number("rest_ms"); ms > 0 {
			out = append(out, fmt.Sprintf("target %s turned it away and asked %s for rest of %.0f ms", a.Fields.Text("target"), a.Instance, ms))
		}
	}
	end := s.end()
	if end.Message != "request" || end.Fields.Text("outcome") == "done" {
		return out
	}
	if n := end.Fields.Number("resting_targets"); n > 0 {
		out = append(out, fmt.Sprintf("%.0f targets that could take it had asked %s for rest, the first for another %.0f ms", n, end.Instance, end.Fields.Number("rest_left_ms")))
	}
	rests := restsAt(lines, end)
	for _, target := range slices.Sorted(maps.Keys(rests)) {
		out = append(out, fmt.Sprintf("target %s wanted no requests from %s for another %s", target, end.Instance, rests[target].Sub(end.Time).Round(time.Millisecond)))
	}
	return out
}

// restsAt are the ends of the rests that targets wanted from the instance of a line, as it knew
// them then.
func restsAt(lines []Line, end Line) map[string]time.Time {
	out := map[string]time.Time{}
	for _, l := range lines {
		if l.Message != "target asks for rest" || l.Instance != end.Instance || l.Time.After(end.Time) {
			continue
		}
		until := l.Time.Add(time.Duration(l.Fields.Number("rest_ms")) * time.Millisecond)
		if until.After(end.Time) {
			out[l.Fields.Text("target")] = until
		}
	}
	return out
}
