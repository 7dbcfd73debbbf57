package requestlog

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// crashedUnderRequest is the message logged for a request that was running on a target
// when it crashed. Requests with the same customer, path and body share the field "key"; lines with the field
// "part" are about all requests with that part in their prompts.
const crashedUnderRequest = "target crashed under a request"

// crashedTargetsByKey lists, for each request key, the targets that crashed while they
// ran requests with that key, up to a point in time.
func crashedTargetsByKey(lines []Line, until time.Time) map[string][]string {
	out := map[string][]string{}
	for _, l := range lines {
		key, target := l.Fields.Text("key"), l.Fields.Text("target")
		if l.Message == crashedUnderRequest && !l.Time.After(until) && !slices.Contains(out[key], target) {
			out[key] = append(out[key], target)
		}
	}
	return out
}

// findQuarantine explains why a request was quarantined.
func findQuarantine(lines []Line, t *Timeline) []string {
	end := t.end()
	if end.Fields.Text("outcome") != "quarantined" {
		return nil
	}
	key, alike := end.Fields.Text("key"), "the same customer, path and body"
	if part := end.Fields.Text("part"); part != "" {
		key, alike = end.Fields.Text("part_key"), "part "+part+" in their prompts"
	}
	targets := crashedTargetsByKey(lines, end.Time.Add(lookahead))[key]
	return []string{fmt.Sprintf("quarantined for %s: %.0f targets crashed while running requests with %s (key %s; in these logs: %s)",
		time.Duration(end.Fields.Number("quarantined_ms"))*time.Millisecond, end.Fields.Number("crashes"), alike, key, strings.Join(targets, ", "))}
}

// minCrashedTargets is the number of targets that must have crashed while they ran
// requests with the same key before these are named as a possible cause.
const minCrashedTargets = 3

// findCrashes reports the targets that crashed while they ran the request, and the other
// requests running there whose key is linked to more crashes.
func findCrashes(lines []Line, t *Timeline) []string {
	var out []string
	crashedTargets := crashedTargetsByKey(lines, t.end().Time.Add(lookback))
	for _, a := range t.failedAttempts() {
		target := a.Fields.Text("target")
		if !slices.ContainsFunc(t.Related, func(l Line) bool { return l.Message == "target crashed" && l.Fields.Text("target") == target }) {
			continue
		}
		out = append(out, fmt.Sprintf("target %s crashed: its address refused a new connection", target))
		for _, l := range lines {
			key := l.Fields.Text("key")
			if l.Message == crashedUnderRequest && l.Fields.Text("target") == target && len(crashedTargets[key]) >= minCrashedTargets {
				out = append(out, fmt.Sprintf("requests with %s (customer %s, route %s) were running on it and on %d other targets that crashed",
					describeKey(l), l.Fields.Text("customer"), l.Fields.Text("route"), len(crashedTargets[key])-1))
			}
		}
	}
	return out
}

// describeKey names what the requests of a line with a key have in common.
func describeKey(l Line) string {
	key := "key " + l.Fields.Text("key")
	if part := l.Fields.Text("part"); part != "" {
		return "part " + part + " (" + key + ")"
	}
	return key
}
