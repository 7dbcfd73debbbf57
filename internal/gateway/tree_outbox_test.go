package gateway

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/quarantine"
)

// TestOutbox checks that each neighbour gets one message of bounded size that omits the
// reports that came from it or that it receives directly, with the reports on most crashes
// first.
func TestOutbox(t *testing.T) {
	is := is.New(t)
	report := func(name string, crashes int) quarantine.Report {
		return quarantine.Report{Key: quarantine.KeyOf(quarantine.Request{URI: name}), Crashes: make([]quarantine.Crash, crashes)}
	}
	neighbours := []neighbour{
		{Member: member.Member{Name: "child"}, relayedFrom: map[string]bool{"parent": true}},
		{Member: member.Member{Name: "parent"}, relayedFrom: map[string]bool{"child": true}},
	}
	o := newTreeOutbox[quarantine.Key](suspectsDelay, newest[quarantine.Report])
	add := func(r quarantine.Report, from string) { o.add(from, r.Key, r) }
	drain := func() map[string][]quarantine.Report {
		out, pending := map[string][]quarantine.Report{}, o.take()
		for _, n := range neighbours {
			if reports := reportsFor(n, pending); len(reports) > 0 {
				out[n.Name] = quarantine.TopReports(reports)
			}
		}
		return out
	}
	is.Equal(len(drain()), 0)
	add(report("own", 1), "")
	add(report("x", 1), "child")
	add(report("x", 2), "child")
	reports := drain()
	is.Equal(reports["child"], []quarantine.Report{report("own", 1)})
	is.Equal(reports["parent"], []quarantine.Report{report("x", 2), report("own", 1)})
	is.Equal(len(drain()), 0)

	for i := range 1000 {
		add(report(fmt.Sprint(i), 1), "")
	}
	add(report("worst", 3), "")
	reports = drain()
	is.Equal(len(reports["child"]), quarantine.MaxReports)
	is.Equal(reports["child"][0], report("worst", 3))
}
