package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/registry"
)

// controlWithTargets returns the control state of an instance that knows n targets, and their incarnations.
func controlWithTargets(n int) (*controlState, []registry.Incarnation) {
	c := controlOf("e-0", "z0")
	targets := targetsOf(n, 3)
	c.targets.ApplyList(registryRevision, targets, nil, at0)
	incarnations := make([]registry.Incarnation, n)
	for i := range targets {
		incarnations[i] = registry.IncarnationOf(&targets[i])
	}
	return c, incarnations
}

// registryRevision is later than the revisions of the entries of targetsOf.
const registryRevision = 10_000

func memberNamed(name string) member.Member { return member.Member{Name: name} }

// TestLeavingIsReportedInPages guards against messages that grow with the number of leaving targets, and
// against leaving targets that are never reported.
func TestLeavingIsReportedInPages(t *testing.T) {
	is := is.New(t)
	c, incarnations := controlWithTargets(600)
	is.Equal(len(c.reportLeaving()), 0)
	for _, l := range incarnations[:40] {
		targetLeaving{incarnation: l}.apply(c)
	}
	reported := map[registry.Incarnation]bool{}
	for range 3 {
		page := c.reportLeaving()
		is.True(len(page) <= maxLeavingTargets)
		for _, l := range page {
			reported[l] = true
		}
	}
	is.Equal(len(reported), 40)
	targetLeaving{incarnation: incarnations[500]}.apply(c)
	is.Equal(c.reportLeaving()[0], incarnations[500]) // the latest notice goes first
}

// TestLeavingIsRelayedOnce guards against reports that peers send to and fro: a peer's report of a leaving
// target is an update once, and the same report from other peers changes nothing.
func TestLeavingIsRelayedOnce(t *testing.T) {
	is := is.New(t)
	lines := memory.New()
	a, incarnations := controlWithTargets(3)
	b, _ := controlWithTargets(3)
	b.targets = registry.New(registry.Options{Log: &log.Logger{Handler: lines, Level: log.InfoLevel}, Rank: func(string) uint64 { return 1 }})
	b.targets.ApplyList(registryRevision, targetsOf(3, 3), nil, at0)
	targetLeaving{incarnation: incarnations[1], source: registry.Source{Channel: string(fromAnswer), Reporter: "r-1"}}.apply(a)
	is.Equal(a.leavingReports, leavingReports{received: 1, observed: 1})
	linesBefore := len(lines.Entries)
	for range 5 {
		b.receiveLeaving(a.reportLeaving(), memberNamed("e-a"))
		a.receiveLeaving(b.reportLeaving(), memberNamed("e-b"))
	}
	is.Equal(a.leavingReports.received, uint64(1))
	is.Equal(b.leavingReports.received, uint64(1))
	is.Equal(b.leavingReports.observed, uint64(0))
	is.Equal(len(lines.Entries), linesBefore+1)
	line := lines.Entries[linesBefore]
	is.Equal(line.Message, "target leaves")
	is.Equal(line.Fields["from"], "peer")
	is.Equal(line.Fields["by"], "e-a")
}

// TestLeavingIsGossiped guards against a leaving notice that isn't sent to peers before the next probe: the
// instance that received it from the target sends it on as the first source.
func TestLeavingIsGossiped(t *testing.T) {
	is := is.New(t)
	c, incarnations := controlWithTargets(3)
	v, mark := &View{}, c.updateMark() // not a watcher
	c.receiveLeaving(LeavingTargets{incarnations[0]}, memberNamed("e-a"))
	c.noteUpdates(v, mark)
	is.True(c.pendingUpdates.changed && !c.pendingUpdates.firstSource)
	c.pendingUpdates, mark = pendingUpdates{}, c.updateMark()
	targetLeaving{incarnation: incarnations[1]}.apply(c)
	c.noteUpdates(v, mark)
	is.True(c.pendingUpdates.changed && c.pendingUpdates.firstSource)
	c.pendingUpdates, mark = pendingUpdates{}, c.updateMark()
	targetLeaving{incarnation: incarnations[1]}.apply(c)
	c.noteUpdates(v, mark)
	is.True(!c.pendingUpdates.changed && !c.pendingUpdates.firstSource)
}

// TestLeavingTargetGetsNoOrders guards against ordering a leaving target to load weights, and against using
// it to probe its zone.
func TestLeavingTargetGetsNoOrders(t *testing.T) {
	is := is.New(t)
	c, incarnations := controlWithTargets(3)
	versionsNamed{revision: 1, changed: 1, versions: []catalog.ModelVersion{{Model: "m", Version: 2}}, from: fromStore}.apply(c)
	is.Equal(len(c.buildView().Outdated), 3)
	targetLeaving{incarnation: incarnations[0]}.apply(c)
	v := c.buildView()
	is.Equal(len(v.Outdated), 2)
	is.Equal(len(v.Serving["s"]), 2)
	is.Equal(len(v.targetsInZone("z0")), 0)
	is.True(v.Targets["i-0000"] != nil) // requests in flight there may end
}

// TestLeavingNoticesAreCheap guards against work for each response of a leaving target, since all of them
// carry the notice.
func TestLeavingNoticesAreCheap(t *testing.T) {
	is := is.New(t)
	c, incarnations := controlWithTargets(1)
	g := &Gateway{events: make(chan event, 4)}
	target := &c.targets.Entries()[0].Target
	g.view.Store(c.buildView())
	g.applyNotice(target, Notice{Leaving: true}, registry.Source{})
	is.Equal(len(g.events), 1)
	targetLeaving{incarnation: incarnations[0]}.apply(c)
	g.view.Store(c.buildView())
	is.Equal(testing.AllocsPerRun(100, func() {
		g.applyNotice(target, Notice{Leaving: true}, registry.Source{Channel: string(fromAnswer), Reporter: "r-1"})
	}), 0.0)
	is.Equal(len(g.events), 1)
}

// TestOwnNoticeBesideEntry guards against ignoring a target's own leaving notice because its entry says the
// same: a later entry may say that it is ready.
func TestOwnNoticeBesideEntry(t *testing.T) {
	is := is.New(t)
	c, _ := controlWithTargets(1)
	draining := targetsOf(1, 3)
	draining[0].Leaving, draining[0].Revision = true, registryRevision+1
	c.targets.ApplyChanges(registryRevision+1, draining, nil, at0)
	g := &Gateway{events: make(chan event, 4)}
	g.view.Store(c.buildView())
	g.applyNotice(&draining[0], Notice{Leaving: true}, registry.Source{})
	is.Equal(len(g.events), 1)
	(<-g.events).apply(c)
	is.Equal(c.leavingReports, leavingReports{}) // not reported to peers: the entry tells them
	ready := targetsOf(1, 3)
	ready[0].Revision = registryRevision + 2
	c.targets.ApplyChanges(registryRevision+2, ready, nil, at0)
	is.Equal(len(c.buildView().Serving["s"]), 0)
}

// TestUnreadableLeavingTargets guards against an item that can't be decoded invalidating other items or its
// message.
func TestUnreadableLeavingTargets(t *testing.T) {
	is := is.New(t)
	valid := registry.Incarnation{Name: "i-1", Start: 7}
	for name, items := range map[string]any{
		"a text":          "words",
		"a map":           map[int]int{1: 2},
		"nothing":         nil,
		"one of all":      []any{"x", map[int]any{1: 7}, map[int]any{1: "i", 2: "soon"}, map[int]any{1: "i", 2: -1}, map[int]any{}, []int{1}, nil, valid},
		"of more fields":  []any{map[int]any{1: "i-1", 2: 7, 3: "later"}},
		"more than bound": slices.Repeat([]any{valid}, 10*maxLeavingTargets),
	} {
		data, err := cbor.Marshal(map[int]any{1: member.Member{Name: "e-1"}, 8: 5, 9: items})
		is.NoErr(err)
		var h HelloRequest
		is.NoErr(cbor.Unmarshal(data, &h))
		is.Equal(h.From.Name, "e-1")
		is.Equal(h.LiveMembers, 5)
		is.True(len(h.Leaving) <= maxLeavingTargets)
		for _, l := range h.Leaving {
			is.Equal(l, valid)
		}
		is.Equal(len(h.Leaving) > 0, name[0] == 'o' || name[0] == 'm')
	}
}

// maxLeavingBytes is the maximum size of the leaving targets in a message.
const maxLeavingBytes = 600

// TestLeavingTargetsAreBounded guards against control messages that exceed an instance's traffic budget.
func TestLeavingTargetsAreBounded(t *testing.T) {
	is := is.New(t)
	var targets LeavingTargets
	for i := range maxLeavingTargets {
		targets = append(targets, registry.Incarnation{Name: fmt.Sprintf("i-%010x", i), Start: time.Now().UnixMilli()})
	}
	with, err := cbor.Marshal(HelloRequest{Leaving: targets})
	is.NoErr(err)
	without, err := cbor.Marshal(HelloRequest{})
	is.NoErr(err)
	is.True(len(with)-len(without) <= maxLeavingBytes)
	var h HelloRequest
	is.NoErr(cbor.Unmarshal(with, &h))
	is.Equal(h.Leaving, targets)
}

// FuzzLeavingTargets checks that, whatever the field of the leaving targets holds, the rest of the message
// is decoded, and the targets are valid and bounded in number.
func FuzzLeavingTargets(f *testing.F) {
	for _, items := range []any{"x", []any{registry.Incarnation{Name: "i-1", Start: 7}}, []any{1, nil}} {
		data, err := cbor.Marshal(items)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, items []byte) {
		data, err := cbor.Marshal(map[int]any{1: member.Member{Name: "e-1"}, 9: cbor.RawMessage(items)})
		if err != nil || cbor.Wellformed(data) != nil {
			return // not a valid message
		}
		var h HelloRequest
		if err := cbor.Unmarshal(data, &h); err != nil || h.From.Name != "e-1" || len(h.Leaving) > maxLeavingTargets {
			t.Fatalf("%v %+v", err, h)
		}
		for _, l := range h.Leaving {
			if l.Name == "" || l.Start < 0 {
				t.Fatalf("%+v", l)
			}
		}
	})
}
