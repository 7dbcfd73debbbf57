package streamversion

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestInquiry guards against a stream that goes on though others could have begun it than are known, and
// against one that is refused though none could.
func TestInquiry(t *testing.T) {
	oneListed := Knowledge{Versions: []string{"v1"}, Alone: []string{"v1"}, Complete: true, Remembers: true}
	twoListed := Knowledge{Versions: []string{"v1", "v2"}, Complete: true, Remembers: true}
	replaced := Knowledge{Versions: []string{"v1", "v2"}, Alone: []string{"v1", "v2"}, Complete: true, Remembers: true}
	started := Knowledge{Versions: []string{"v2"}, Alone: []string{"v2"}}
	silent := oneListed
	silent.Unreached = []string{"2"}
	partition := twoListed
	partition.Unreached = []string{"2"}
	noService := Knowledge{Complete: true, Remembers: true} // the question names no service, whose versions could be told
	found := func(k Knowledge, b Binding) Knowledge {
		k.Found, k.Binding = true, b
		return k
	}
	ambiguous := twoListed
	ambiguous.Ambiguous = true
	for _, c := range []struct {
		name    string
		members int
		named   bool
		answers []Knowledge // of the first members
		want    string
		at      Binding
	}{
		{"named, known", 5, true, []Knowledge{started, found(started, one)}, ByName, one},
		{"named, not known, one version", 2, true, []Knowledge{oneListed, oneListed}, ByVersion, one},
		{"named, not known, two versions", 2, true, []Knowledge{twoListed, twoListed}, Unknown, Binding{}},
		{"all remember", 3, false, []Knowledge{found(replaced, two), replaced, replaced}, ByRequest, two},
		{"two versions of requests alike", 3, false, []Knowledge{found(twoListed, one), found(twoListed, two), twoListed}, Unknown, Binding{}},
		{"two versions at one instance", 1, false, []Knowledge{ambiguous}, Unknown, Binding{}},
		{"one doesn't answer, always several versions", 4, false, []Knowledge{found(twoListed, two), twoListed, twoListed}, ByRequest, two},
		{"one doesn't answer, the version before was alone", 4, false, []Knowledge{found(replaced, two), replaced, replaced}, Unknown, Binding{}},
		{"one has started, the version was alone", 3, false, []Knowledge{found(oneListed, one), oneListed, started}, Unknown, Binding{}},
		{"one doesn't answer, the version was alone", 3, false, []Knowledge{found(oneListed, one), oneListed}, ByRequest, one},
		{"as many don't answer as hold a stream", 5, false, []Knowledge{found(twoListed, two)}, Unknown, Binding{}},
		{"one can't be reached, always several versions", 3, false, []Knowledge{found(twoListed, two), partition}, Unknown, Binding{}},
		{"one could not be reached, and has started", 3, false, []Knowledge{found(twoListed, two), partition, started}, Unknown, Binding{}},
		{"one could not be reached, and remembers", 3, false, []Knowledge{found(twoListed, two), partition, twoListed}, ByRequest, two},
		{"one can't be reached, another doesn't answer", 4, false, []Knowledge{found(twoListed, two), partition, twoListed}, ByRequest, two},
		{"all remember, several services", 2, false, []Knowledge{found(noService, two), noService}, ByRequest, two},
		{"one doesn't answer, several services", 3, false, []Knowledge{found(noService, two), noService}, Unknown, Binding{}},
		{"all have started", 3, false, []Knowledge{found(started, two), started, started}, Unknown, Binding{}},
		{"named, not known, one version, one can't be reached", 3, true, []Knowledge{oneListed, silent}, Unknown, Binding{}},
		{"named, not known, one version, one could not be reached", 3, true, []Knowledge{oneListed, silent, oneListed}, ByVersion, one},
		{"none is known, one version", 5, false, []Knowledge{oneListed}, ByVersion, one},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q := Inquiry{Service: "s", Holders: min(c.members, 4), Named: c.named}
			if len(c.answers[0].Versions) == 0 {
				q.Service = ""
			}
			for i := range c.members {
				q.Members = append(q.Members, strconv.Itoa(i))
			}
			for i, answer := range c.answers {
				is.Equal(q.Add(strconv.Itoa(i), answer), c.want == ByName && i == len(c.answers)-1)
			}
			at, how := q.Decide()
			is.Equal(how, c.want)
			is.Equal(at, c.at)
		})
	}
}

// TestCurrentList guards against a stream that is refused though the list of versions was read after it was taken up, and
// against a list that is read in vain.
func TestCurrentList(t *testing.T) {
	is := is.New(t)
	q := Inquiry{Service: "s", Members: []string{"a", "b", "c"}, Holders: 3, Named: true}
	k := Knowledge{Versions: []string{"v1"}, Complete: true, Remembers: true}
	q.Add("a", k)
	is.True(!q.MayMissVersions())
	q.AddUnreached("b")
	is.True(q.MayMissVersions())
	q.Current = true
	is.True(!q.MayMissVersions())
	at, how := q.Decide()
	is.Equal(how, ByVersion)
	is.Equal(at, Binding{Service: "s", Software: "v1"})
	q.Current, k.Versions = false, []string{"v2"}
	q.Add("a", k)
	is.True(!q.MayMissVersions()) // there are two versions anyway
}

// TestRemember guards against an instance that takes its records for whole, though streams began before it
// started, or found no room.
func TestRemember(t *testing.T) {
	is := is.New(t)
	var r Records
	r.Start(at(0))
	is.True(!r.Remember(5*time.Second, at(4)))
	is.True(r.Remember(5*time.Second, at(5)))
	r.NoneBefore()
	is.True(r.Remember(5*time.Second, at(1)))
	for i := range maxRecords + 1 {
		r.Bind(Record{ID: ID{byte(i), byte(i >> 8), byte(i >> 16)}, Binding: one, Until: at(100)}, false, at(10))
	}
	is.True(!r.Remember(5*time.Second, at(14)))
	is.True(r.Remember(5*time.Second, at(15)))
}

// TestVersionsAlone checks which versions were the only one of their service of late.
func TestVersionsAlone(t *testing.T) {
	is := is.New(t)
	var h History
	h.Observe(map[string][]string{"s": {"v1"}}, at(0))
	is.Equal(h.Alone("s", time.Second, at(20)), []string{"v1"})
	h.Observe(map[string][]string{"s": {"v1", "v2"}}, at(20))
	is.Equal(h.Alone("s", 5*time.Second, at(25)), []string{"v1"})
	is.Equal(len(h.Alone("s", 5*time.Second, at(26))), 0)
	h.Observe(map[string][]string{"s": {"v2"}}, at(30))
	is.Equal(h.Alone("s", 20*time.Second, at(40)), []string{"v1", "v2"})
}

// TestNothingBefore guards against a history that misses versions of before it began, though no stream had
// begun then, and against one that misses versions since.
func TestNothingBefore(t *testing.T) {
	is := is.New(t)
	var h History
	h.NoneBefore()
	_, complete := h.Within("s", time.Minute, at(0))
	is.True(!complete) // nothing is listed
	h.Observe(map[string][]string{"s": {"v1"}}, at(0))
	_, complete = h.Within("s", time.Minute, at(1))
	is.True(complete)
	h.Interrupt(at(2))
	_, complete = h.Within("s", time.Minute, at(3))
	is.True(!complete)
}

// TestContacts guards against an instance that is taken to have told of its streams while it did not answer, and
// against one that is never taken so again.
func TestContacts(t *testing.T) {
	is := is.New(t)
	var c Contacts
	is.Equal(len(c.LostWithin(time.Minute, at(0))), 0)
	c.Lose("b", at(0))
	c.Lose("a", at(5))
	is.Equal(c.LostWithin(10*time.Second, at(10)), []string{"a", "b"})
	is.Equal(c.LostWithin(10*time.Second, at(11)), []string{"a"})
	c.Lose("b", at(20))
	is.Equal(c.LostWithin(10*time.Second, at(20)), []string{"b"})
}
