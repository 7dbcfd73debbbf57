package requestlog

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// targetLeavesMessage is the message logged by an instance that learned that a target
// leaves, from a response or report of the target or from a peer.
const targetLeavesMessage = "target leaves"

// findLeavingTargets reports targets that received the request although their leaving
// notice was known before it arrived. For a request that reached no target it reports
// the targets that were excluded because they leave.
func findLeavingTargets(lines []Line, t *Timeline) []string {
	end := t.end()
	arrived := end.Time.Add(-time.Duration(end.Fields.Number("ms") * float64(time.Millisecond)))
	ownNotices := firstLeavingNotices(lines, end.Time, func(instance string) bool { return instance == end.Instance })
	peerNotices := firstLeavingNotices(lines, end.Time, func(instance string) bool { return instance != end.Instance })
	var out []string
	for _, target := range end.Fields.Names("targets") {
		if l, known := ownNotices[target]; known && l.Time.Before(arrived) {
			out = append(out, fmt.Sprintf("sent to target %s, although %s had learned %s before the request arrived that the target leaves (%s)", target, end.Instance, elapsed(arrived, l), noticeSource(l)))
		} else if l, known := peerNotices[target]; known && l.Time.Before(arrived) {
			out = append(out, fmt.Sprintf("sent to target %s; %s had learned %s before the request arrived that the target leaves, %s had not received notice of it", target, l.Instance, elapsed(arrived, l), end.Instance))
		}
	}
	if end.Fields.Text("outcome") != "no-target" {
		return out
	}
	for _, target := range slices.Sorted(maps.Keys(ownNotices)) {
		out = append(out, fmt.Sprintf("not sent to target %s, which leaves: %s had learned so %s before (%s)", target, end.Instance, elapsed(end.Time, ownNotices[target]), noticeSource(ownNotices[target])))
	}
	return out
}

// elapsed returns the time from a line to a later moment.
func elapsed(when time.Time, l Line) time.Duration { return when.Sub(l.Time).Round(time.Millisecond) }

// noticeSource describes how an instance learned that a target leaves.
func noticeSource(l Line) string {
	return strings.TrimSpace("by " + l.Fields.Text("from") + " " + l.Fields.Text("by"))
}

// targetName returns the target name of an incarnation ("name" or "name@start").
func targetName(incarnation string) string {
	name, _, _ := strings.Cut(incarnation, "@")
	return name
}

// firstLeavingNotices returns, for each target, the first line in which an included
// instance learned that it leaves. Targets that were gone by the given time are left out.
func firstLeavingNotices(lines []Line, at time.Time, include func(instance string) bool) map[string]Line {
	out := map[string]Line{}
	for _, l := range lines {
		target := l.Fields.Text("target")
		if l.Time.After(at) || !include(l.Instance) {
			continue
		}
		switch l.Message {
		case targetLeavesMessage:
			if first, known := out[target]; !known || l.Time.Before(first.Time) {
				out[target] = l
			}
		case "target gone":
			maps.DeleteFunc(out, func(incarnation string, _ Line) bool { return targetName(incarnation) == target })
		}
	}
	return out
}
