package logstory

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// targetLeaves is the message of an instance that learned that a target leaves, from an answer or
// a report of it, or from a peer.
const targetLeaves = "target leaves"

// leavers tells which of the request's targets had said that they leave before it came, and, if it
// got none, from which it was kept for that.
func leavers(lines []Line, s *Story) []string {
	end := s.end()
	came := end.Time.Add(-time.Duration(end.Fields.Number("ms") * float64(time.Millisecond)))
	own := learnedLeaving(lines, end.Time, func(instance string) bool { return instance == end.Instance })
	others := learnedLeaving(lines, end.Time, func(instance string) bool { return instance != end.Instance })
	var out []string
	for _, target := range end.Fields.Names("targets") {
		if l, known := own[target]; known && l.Time.Before(came) {
			out = append(out, fmt.Sprintf("sent to target %s, though %s had learned %s before it came that this leaves (%s)", target, end.Instance, ago(came, l), toldBy(l)))
		} else if l, known := others[target]; known && l.Time.Before(came) {
			out = append(out, fmt.Sprintf("sent to target %s, of which %s had learned %s before it came that it leaves; %s had not heard of it", target, l.Instance, ago(came, l), end.Instance))
		}
	}
	if end.Fields.Text("outcome") != "no-target" {
		return out
	}
	for _, target := range slices.Sorted(maps.Keys(own)) {
		out = append(out, fmt.Sprintf("kept from target %s, which leaves, as %s had learned %s before (%s)", target, end.Instance, ago(end.Time, own[target]), toldBy(own[target])))
	}
	return out
}

func ago(when time.Time, l Line) time.Duration { return when.Sub(l.Time).Round(time.Millisecond) }

// toldBy says by what an instance learned it.
func toldBy(l Line) string {
	return strings.TrimSpace("by " + l.Fields.Text("from") + " " + l.Fields.Text("by"))
}

// nameOf is the name of a target's life, which may stand before its start.
func nameOf(life string) string {
	name, _, _ := strings.Cut(life, "@")
	return name
}

// learnedLeaving has for each target the first line by which some instance learned that it leaves,
// unless the target was gone at the moment that is asked for.
func learnedLeaving(lines []Line, at time.Time, by func(instance string) bool) map[string]Line {
	out := map[string]Line{}
	for _, l := range lines {
		target := l.Fields.Text("target")
		if l.Time.After(at) || !by(l.Instance) {
			continue
		}
		switch l.Message {
		case targetLeaves:
			if first, known := out[target]; !known || l.Time.Before(first.Time) {
				out[target] = l
			}
		case "target gone":
			maps.DeleteFunc(out, func(life string, _ Line) bool { return nameOf(life) == target })
		}
	}
	return out
}
