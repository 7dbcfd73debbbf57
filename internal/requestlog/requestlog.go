// Package requestlog joins the log lines of several instances into the timeline of one
// request: its own lines, the state changes and orders that affected it, and the
// findings that follow. It does no I/O of its own: the caller opens the files.
package requestlog

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"iter"
	"slices"
	"time"
)

// Line is one line of an instance's log.
type Line struct {
	Time           time.Time `json:"time"` // by the clock of the instance
	Instance       string    `json:"instance"`
	Message        string    `json:"message"`
	Fields         Fields    `json:"fields"`
	OtherInstances int       `json:"others,omitempty"` // further instances that reported the same change of a target
}

// Fields holds the fields of a line, decoded from JSON.
type Fields map[string]any

// Text returns a string field, or "" if it is absent or of another type.
func (f Fields) Text(name string) string {
	s, _ := f[name].(string)
	return s
}

// Number returns a numeric field, or 0 if it is absent or of another type.
func (f Fields) Number(name string) float64 {
	n, _ := f[name].(float64)
	return n
}

// Names returns the strings of a list field.
func (f Fields) Names(name string) []string {
	list, _ := f[name].([]any)
	var out []string
	for _, x := range list {
		if s, ok := x.(string); ok {
			out = append(out, s)
		}
	}
	return out
}

// maxLineBytes is the maximum length of a line; Read fails on a longer one.
const maxLineBytes = 4 << 20

// Read parses the lines of one log file. It ignores whatever precedes the first brace
// of a line, such as a collector's timestamp, and skips lines without JSON.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		raw := lines.Bytes()
		start := bytes.IndexByte(raw, '{')
		if start < 0 {
			continue
		}
		var l struct {
			Timestamp time.Time
			Message   string
			Fields    Fields
		}
		if json.Unmarshal(raw[start:], &l) != nil || l.Message == "" {
			continue // not a log line of this system
		}
		out = append(out, Line{Time: l.Timestamp, Instance: l.Fields.Text("instance"), Message: l.Message, Fields: l.Fields})
	}
	return out, lines.Err()
}

// Timeline holds all that the logs say about one request.
type Timeline struct {
	Request  string   `json:"request"`
	Lines    []Line   `json:"lines"`    // lines that name the request, by time
	Related  []Line   `json:"around"`   // lines of its targets, instance and cache store, by time
	Findings []string `json:"findings"` // likely causes, most direct first
}

const (
	// Related lines are searched from lookback before the last line of a request to
	// lookahead after it. The margins also allow for clocks of instances that differ by
	// some seconds.
	lookback  = 10 * time.Second
	lookahead = 3 * time.Second
)

var (
	// Messages of lines that can explain the outcome of a request, by subject.
	targetMessages   = []string{"load ordered", "load ended", "target changed", "target gone", "target's entry vanished, held", "target gone, its entry did not return", "target serves newer weights", "target crashed", targetLeavesMessage}
	instanceMessages = []string{"object store lost", "object store reached", "configuration in force", "news taken from a peer", "settings reloaded", "stopping", "started"}
	storeMessages    = []string{"cache store lost", "cache store reached", "cache store started again, or events are lost: listing anew", "old cache freed"}
)

// Build builds the timeline of a request. It returns nil if no line names the request.
func Build(lines []Line, requestID string) *Timeline {
	t := &Timeline{Request: requestID}
	for _, l := range lines {
		if l.Fields.Text("request") == requestID {
			t.Lines = append(t.Lines, l)
		}
	}
	if len(t.Lines) == 0 {
		return nil
	}
	sortByTime(t.Lines)
	end := t.Lines[len(t.Lines)-1]
	targets := end.Fields.Names("targets")
	for _, l := range lines {
		if l.Time.Before(end.Time.Add(-lookback)) || l.Time.After(end.Time.Add(lookahead)) {
			continue
		}
		switch {
		case slices.Contains(targetMessages, l.Message) && slices.Contains(targets, l.Fields.Text("target")),
			slices.Contains(instanceMessages, l.Message) && l.Instance == end.Instance,
			slices.Contains(storeMessages, l.Message) && l.Fields.Text("address") == end.Fields.Text("link") && l.Instance == end.Instance:
			t.Related = append(t.Related, l)
		}
	}
	sortByTime(t.Related)
	t.Related = mergeDuplicates(t.Related, end.Instance)
	for _, find := range [...]func([]Line, *Timeline) []string{findStaleConfig, findQuarantine, findCrashes, findLoadOrders, findRemovedTargets, findCorrelatedFailures, findSlowResponse, findStoreOutage, findLeavingTargets, findPartition, findExcludedZones, findBackoffs, findBrittleTargets, findLimitedTargets, findStreamVersion, findExhaustedBudget, findRecentStart} {
		t.Findings = append(t.Findings, find(lines, t)...)
	}
	return t
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
}

// mergeDuplicates merges lines in which several instances report the same change of a
// target. It keeps the line of the given instance, or else the first one.
func mergeDuplicates(lines []Line, instance string) []Line {
	type eventKey struct {
		message, target string
		leaving         any
		version         any
	}
	indexByKey := map[eventKey]int{}
	var out []Line
	for _, l := range lines {
		if !slices.Contains(targetMessages, l.Message) {
			out = append(out, l)
			continue
		}
		key := eventKey{l.Message, l.Fields.Text("target"), l.Fields["leaving"], l.Fields["version"]}
		i, seen := indexByKey[key]
		if !seen {
			indexByKey[key] = len(out)
			out = append(out, l)
			continue
		}
		others := out[i].OtherInstances + 1
		if l.Instance == instance {
			out[i] = l
		}
		out[i].OtherInstances = others
	}
	return out
}

// end returns the last line of the request.
func (t *Timeline) end() Line { return t.Lines[len(t.Lines)-1] }

// isUnserved reports whether a line is the last one of a request that was not served.
func (l Line) isUnserved() bool { return l.Message == "request" && l.Fields.Text("outcome") != "done" }

// sameInstance returns the lines of an instance up to the time of one of them, in the order of the logs.
func sameInstance(lines []Line, end Line) iter.Seq[Line] {
	return func(yield func(Line) bool) {
		for _, l := range lines {
			if l.Instance == end.Instance && !l.Time.After(end.Time) && !yield(l) {
				return
			}
		}
	}
}
