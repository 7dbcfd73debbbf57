// Package logstory joins the log lines of several instances into the story of one
// request: its own lines, the changes of belief and the orders that concern it, and
// what follows from them. It is pure: the caller reads the files.
package logstory

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"
)

// Line is one line of an instance's log.
type Line struct {
	Time     time.Time `json:"time"` // by the instance's own clock
	Instance string    `json:"instance"`
	Message  string    `json:"message"`
	Fields   Fields    `json:"fields"`
	Others   int       `json:"others,omitempty"` // instances that wrote the same of a target
}

// Fields are a line's fields as JSON has them.
type Fields map[string]any

// Text returns a field that is text; "" if there is none.
func (f Fields) Text(name string) string {
	s, _ := f[name].(string)
	return s
}

// Number returns a field that is a number; 0 if there is none.
func (f Fields) Number(name string) float64 {
	n, _ := f[name].(float64)
	return n
}

// Names returns a field that is a list of texts.
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

// maxLine bounds one line, in bytes; a longer one ends the reading with an error.
const maxLine = 4 << 20

// Read reads the lines of one file. What stands before the first brace of a line,
// such as a collector's own time stamp, and lines without JSON are passed over.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		raw := lines.Bytes()
		at := bytes.IndexByte(raw, '{')
		if at < 0 {
			continue
		}
		var l struct {
			Timestamp time.Time
			Message   string
			Fields    Fields
		}
		if json.Unmarshal(raw[at:], &l) != nil || l.Message == "" {
			continue // not a line of ours
		}
		out = append(out, Line{Time: l.Timestamp, Instance: l.Fields.Text("instance"), Message: l.Message, Fields: l.Fields})
	}
	return out, lines.Err()
}

// Story is what is known of one request.
type Story struct {
	Request  string   `json:"request"`
	Lines    []Line   `json:"lines"`    // its own, by time
	Around   []Line   `json:"around"`   // of its targets, its instance and its cache store, by time
	Findings []string `json:"findings"` // what follows, most direct first
}

// around is how far before a request's last line a cause is looked for, and after it
// its echo: clocks of instances may differ by some seconds.
const (
	before = 10 * time.Second
	after  = 3 * time.Second
)

// messages of lines that explain others, by what they are about.
var (
	aboutTarget   = []string{"load ordered", "load ended", "target changed", "target gone", "target's entry vanished, held", "target gone, its entry did not return", "target serves newer weights", "target crashed", targetLeaves}
	aboutInstance = []string{"object store lost", "object store reached", "configuration in force", "news taken from a peer", "settings reloaded", "stopping", "started"}
	aboutStore    = []string{"cache store lost", "cache store reached", "cache store started again, or events are lost: listing anew", "old cache freed"}
)

// Tell builds the story of a request; nil if no line names it.
func Tell(lines []Line, request string) *Story {
	s := &Story{Request: request}
	for _, l := range lines {
		if l.Fields.Text("request") == request {
			s.Lines = append(s.Lines, l)
		}
	}
	if len(s.Lines) == 0 {
		return nil
	}
	byTime(s.Lines)
	end := s.Lines[len(s.Lines)-1]
	targets := end.Fields.Names("targets")
	for _, l := range lines {
		if l.Time.Before(end.Time.Add(-before)) || l.Time.After(end.Time.Add(after)) {
			continue
		}
		switch {
		case slices.Contains(aboutTarget, l.Message) && slices.Contains(targets, l.Fields.Text("target")),
			slices.Contains(aboutInstance, l.Message) && l.Instance == end.Instance,
			slices.Contains(aboutStore, l.Message) && l.Fields.Text("address") == end.Fields.Text("link") && l.Instance == end.Instance:
			s.Around = append(s.Around, l)
		}
	}
	byTime(s.Around)
	s.Around = merge(s.Around, end.Instance)
	for _, find := range [...]func([]Line, *Story) []string{staleConfig, quarantined, crashed, ownOrders, vanished, together, slowAnswer, storeAway, leavers, zonesLeftOut, restsAsked, young} {
		s.Findings = append(s.Findings, find(lines, s)...)
	}
	return s
}

func byTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
}

// merge leaves one line of those in which several instances tell the same of a
// target: the given instance's, else the first.
func merge(lines []Line, instance string) []Line {
	type news struct {
		message, target string
		leaving         any
		version         any
	}
	at := map[news]int{}
	var out []Line
	for _, l := range lines {
		if !slices.Contains(aboutTarget, l.Message) {
			out = append(out, l)
			continue
		}
		n := news{l.Message, l.Fields.Text("target"), l.Fields["leaving"], l.Fields["version"]}
		i, told := at[n]
		if !told {
			at[n] = len(out)
			out = append(out, l)
			continue
		}
		others := out[i].Others + 1
		if l.Instance == instance {
			out[i] = l
		}
		out[i].Others = others
	}
	return out
}

// end is the last line of the request.
func (s *Story) end() Line { return s.Lines[len(s.Lines)-1] }
