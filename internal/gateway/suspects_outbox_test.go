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
	var o outbox
	is.Equal(len(o.drain(neighbours)), 0)
	o.add([]quarantine.Report{report("own", 1)}, "")
	o.add([]quarantine.Report{report("x", 1)}, "child")
	o.add([]quarantine.Report{report("x", 2)}, "child")
	reports := o.drain(neighbours)
	is.Equal(reports["child"], []quarantine.Report{report("own", 1)})
	is.Equal(reports["parent"], []quarantine.Report{report("x", 2), report("own", 1)})
	is.Equal(len(o.drain(neighbours)), 0)

	for i := range 1000 {
		o.add([]quarantine.Report{report(fmt.Sprint(i), 1)}, "")
	}
	o.add([]quarantine.Report{report("worst", 3)}, "")
	reports = o.drain(neighbours)
	is.Equal(len(reports["child"]), quarantine.MaxReports)
	is.Equal(reports["child"][0], report("worst", 3))
}
