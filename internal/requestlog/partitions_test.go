package requestlog_test

import (
	"testing"

	"github.com/matryer/is"
)

// TestPartitionFromTargets checks that the findings tell an instance that lost its links from targets that are
// gone, and name the peers that carried the request.
func TestPartitionFromTargets(t *testing.T) {
	lost := logLine(3000, "a", "no target can be reached", `"service":"s","probed_targets":16`)
	links := logLine(3100, "a", "peers reach the targets: the links of this instance are gone", `"service":"s","peer":"b"`)
	targets := logLine(3100, "a", "no peer is known to reach the targets", `"service":"s"`)
	ended := logLine(4500, "a", "partition from the targets ended", `"service":"s"`)
	refused := logLine(5000, "a", "request", `"request":"r","service":"s","outcome":"no-target","status":503,"config":13`)
	carried := logLine(5000, "a", "request", `"request":"r","service":"s","outcome":"done","status":200,"config":13,"relayed_by":"b"`)
	cases := []struct {
		name  string
		lines []string
		want  []string
	}{
		{"targets gone", []string{lost, targets, refused}, []string{"a had reached no target of service s for 2s; no peer was known to reach them either"}},
		{"not known yet", []string{lost, refused}, []string{"a had reached no target of service s for 2s; whether its links or the targets were gone was not known yet"}},
		{"links gone", []string{lost, links, carried}, []string{"peer b carried it to its target", "a had reached no target of service s for 2s; a peer reached them: its own links were gone"}},
		{"ended", []string{lost, links, ended, refused}, nil},
		{"ended during the request", []string{lost, links, ended, carried}, []string{"peer b carried it to its target"}},
		{"of another instance", []string{logLine(3000, "b", "no target can be reached", `"service":"s"`), refused}, nil},
		{"of another service", []string{logLine(3000, "a", "no target can be reached", `"service":"other"`), refused}, nil},
		{"begun before the logs", []string{links, refused}, nil},
		{"failed on the way", []string{logLine(4900, "a", "attempt failed", `"request":"r","target":"t1","ended":"not sent","next":"retry","relayed_by":"b"`), refused},
			[]string{"an attempt at target t1 that peer b carried for a failed"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := findingsOn(t, c.lines, "peer", "reached no target")
			is.Equal(got, c.want)
		})
	}
}

// TestBrittleTarget checks that the findings name the brittle targets that were left alone.
func TestBrittleTarget(t *testing.T) {
	is := is.New(t)
	paused := logLine(4000, "a", "brittle target gets no requests", `"target":"t1","limit":5,"until":"`+logTime(5300)+`"`)
	over := logLine(2000, "a", "brittle target gets no requests", `"target":"t2","limit":5,"until":"`+logTime(3000)+`"`)
	elsewhere := logLine(4000, "b", "brittle target gets no requests", `"target":"t3","limit":5,"until":"`+logTime(9000)+`"`)
	refused := logLine(5000, "a", "request", `"request":"r","service":"s","outcome":"overloaded","status":503,"config":13`)
	got := findingsOn(t, []string{paused, over, elsewhere, refused}, "brittle")
	is.Equal(got, []string{"target t1 is brittle (it bears 5 refusals a second) and got no requests from a for another 300ms"})
}
