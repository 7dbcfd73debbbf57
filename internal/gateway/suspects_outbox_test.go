package gateway

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/quarantine"
)

// TestOutbox: each neighbour gets one message of bounded size, with what did not come from
// it or by way of it, the words on most crashes first.
func TestOutbox(t *testing.T) {
	is := is.New(t)
	word := func(name string, crashes int) quarantine.Report {
		return quarantine.Report{Key: quarantine.KeyOf(quarantine.Request{URI: name}), Crashes: make([]quarantine.Crash, crashes)}
	}
	near := []neighbour{
		{Member: member.Member{Name: "child"}, relayedFrom: map[string]bool{"parent": true}},
		{Member: member.Member{Name: "parent"}, relayedFrom: map[string]bool{"child": true}},
	}
	var o outbox
	is.Equal(len(o.drain(near)), 0)
	o.add([]quarantine.Report{word("own", 1)}, "")
	o.add([]quarantine.Report{word("x", 1)}, "child")
	o.add([]quarantine.Report{word("x", 2)}, "child")
	told := o.drain(near)
	is.Equal(told["child"], []quarantine.Report{word("own", 1)})
	is.Equal(told["parent"], []quarantine.Report{word("x", 2), word("own", 1)})
	is.Equal(len(o.drain(near)), 0)

	for i := range 1000 {
		o.add([]quarantine.Report{word(fmt.Sprint(i), 1)}, "")
	}
	o.add([]quarantine.Report{word("worst", 3)}, "")
	told = o.drain(near)
	is.Equal(len(told["child"]), quarantine.MaxReports)
	is.Equal(told["child"][0], word("worst", 3))
}
