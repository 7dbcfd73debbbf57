package logstory

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// underCrash is the message of a request that was under way at a target that crashed. Its
// field key is the same for requests that are alike.
const underCrash = "target crashed under a request"

// crashesByKey lists the targets that crashed under requests, by the key of these, up to a
// moment.
func crashesByKey(lines []Line, until time.Time) map[string][]string {
	out := map[string][]string{}
	for _, l := range lines {
		key, target := l.Fields.Text("key"), l.Fields.Text("target")
		if l.Message == underCrash && !l.Time.After(until) && !slices.Contains(out[key], target) {
			out[key] = append(out[key], target)
		}
	}
	return out
}

// quarantined tells why a request was kept from targets.
func quarantined(lines []Line, s *Story) []string {
	end := s.end()
	if end.Fields.Text("outcome") != "quarantined" {
		return nil
	}
	key := end.Fields.Text("key")
	targets := crashesByKey(lines, end.Time.Add(after))[key]
	return []string{fmt.Sprintf("kept from targets for %s: %.0f crashed under requests like it, of customer, path and body (key %s; in these logs: %s)",
		time.Duration(end.Fields.Number("quarantined_ms"))*time.Millisecond, end.Fields.Number("crashes"), key, strings.Join(targets, ", "))}
}

// repeatedCrashes is how many targets must have crashed under requests that are alike to
// name these as a cause.
const repeatedCrashes = 3

// crashed tells of targets that crashed under the request, and which others were under way
// there that crashed more.
func crashed(lines []Line, s *Story) []string {
	var out []string
	all := crashesByKey(lines, s.end().Time.Add(before))
	for _, a := range s.failed() {
		target := a.Fields.Text("target")
		if !slices.ContainsFunc(s.Around, func(l Line) bool { return l.Message == "target crashed" && l.Fields.Text("target") == target }) {
			continue
		}
		out = append(out, fmt.Sprintf("target %s crashed: its address refused a new connection", target))
		for _, l := range lines {
			key := l.Fields.Text("key")
			if l.Message == underCrash && l.Fields.Text("target") == target && len(all[key]) >= repeatedCrashes {
				out = append(out, fmt.Sprintf("requests of key %s (customer %s, route %s) were under way at it, and at %d other targets that crashed",
					key, l.Fields.Text("customer"), l.Fields.Text("route"), len(all[key])-1))
			}
		}
	}
	return out
}
