package requestlog

import (
	"fmt"
	"time"
)

// partition is what an instance knows of the loss of all targets of a service.
type partition struct {
	since   time.Time
	verdict string // what peers say of the targets; "" while none has answered
}

// findPartition reports that the instance reached no target of the request's service when the request ended,
// whose fault that was, and which peer carried the request. It also reports attempts that peers carried and
// that failed.
func findPartition(lines []Line, t *Timeline) []string {
	end := t.end()
	var out []string
	for _, a := range t.failedAttempts() {
		if peer := a.Fields.Text("relayed_by"); peer != "" {
			out = append(out, fmt.Sprintf("an attempt at target %s that peer %s carried for %s failed", a.Fields.Text("target"), peer, a.Instance))
		}
	}
	if peer := end.Fields.Text("relayed_by"); peer != "" {
		out = append(out, fmt.Sprintf("peer %s carried it to its target", peer))
	}
	p := currentPartition(lines, end)
	if p == nil {
		return out
	}
	return append(out, fmt.Sprintf("%s had reached no target of service %s for %s; %s", end.Instance, end.Fields.Text("service"),
		end.Time.Sub(p.since).Round(time.Millisecond), p.verdict))
}

// currentPartition returns the partition that the instance of a request's last line was in at that time, or nil.
func currentPartition(lines []Line, end Line) *partition {
	var p *partition
	for l := range sameInstance(lines, end) {
		if l.Fields.Text("service") != end.Fields.Text("service") {
			continue
		}
		switch l.Message {
		case "no target can be reached":
			p = &partition{since: l.Time, verdict: "whether its links or the targets were gone was not known yet"}
		case "partition from the targets ended":
			p = nil
		case "peers reach the targets: the links of this instance are gone":
			p.conclude("a peer reached them: its own links were gone")
		case "no peer is known to reach the targets":
			p.conclude("no peer was known to reach them either")
		}
	}
	return p
}

// conclude records what peers said. The logs may not go back to the beginning of the partition.
func (p *partition) conclude(verdict string) {
	if p != nil {
		p.verdict = verdict
	}
}
