package streamversion

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var at0 = time.Unix(1000, 0)

func at(seconds int) time.Time { return at0.Add(time.Duration(seconds) * time.Second) }

var (
	one = Binding{Service: "s", Software: "v1"}
	two = Binding{Service: "s", Software: "v2"}
)

// TestFirstBindingHolds guards against a stream that is bound anew to another version.
func TestFirstBindingHolds(t *testing.T) {
	is := is.New(t)
	var r Records
	id := IDOf("customer", "request")
	is.True(r.Bind(Record{ID: id, Binding: one, Until: at(10)}, true, at(0)))
	is.True(r.Bind(Record{ID: id, Binding: two, Until: at(20)}, false, at(1)))
	b, found := r.Find(id, at(15)) // the later time holds
	is.True(found)
	is.Equal(b, one)
	_, found = r.Find(id, at(20))
	is.True(!found)
	is.True(r.Bind(Record{ID: id, Binding: two, Until: at(40)}, true, at(30)))
	b, _ = r.Find(id, at(31))
	is.Equal(b, two) // the first has been forgotten
}

// TestIDsOfCustomersDiffer guards against a customer that binds, or asks for, another's stream.
func TestIDsOfCustomersDiffer(t *testing.T) {
	is := is.New(t)
	is.True(IDOf("a", "request") != IDOf("b", "request"))
	is.True(IDOf("a", "b") != IDOf("", "ab"))
}

// TestOwnStreams checks that the streams told when a second version comes are those that went through this instance.
func TestOwnStreams(t *testing.T) {
	is := is.New(t)
	var r Records
	names := []string{"own", "a peer's", "old", "other service"}
	for _, name := range names {
		b, until := one, at(10)
		if name == "other service" {
			b.Service = "other"
		}
		if name == "old" {
			until = at(2)
		}
		is.True(r.Bind(Record{ID: IDOf("", name), Binding: b, Until: until}, name != "a peer's", at(0)))
	}
	is.Equal(r.Own("s", at(5)), []Record{{ID: IDOf("", "own"), Binding: one, Until: at(10)}})
	is.Equal(r.Len(), len(names))
	r.Expire(at(5))
	is.Equal(r.Len(), len(names)-1)
}

// TestRequestsThatAreAlike guards against a stream that is taken for another one of an equal request.
func TestRequestsThatAreAlike(t *testing.T) {
	is := is.New(t)
	var r Records
	bind := func(name string, b Binding, from, until int) {
		r.Bind(Record{ID: IDOf("", name), Request: IDOf("", "alike"), Binding: b, Until: at(until)}, true, at(from))
	}
	find := func(now int) (Binding, bool, bool) { return r.FindRequest(IDOf("", "alike"), at(now)) }
	bind("first", one, 0, 10)
	bind("second", one, 1, 12)
	b, found, ambiguous := find(11)
	is.True(found && !ambiguous)
	is.Equal(b, one)
	bind("third", two, 11, 15)
	_, found, ambiguous = find(12)
	is.True(!found && ambiguous) // which of them is taken up can't be told
	bind("fourth", two, 20, 30)
	b, found, ambiguous = find(21)
	is.True(found && !ambiguous)
	is.Equal(b, two)
}

// TestRecordsAreBounded guards against streams that fill the memory.
func TestRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	var r Records
	bind := func(i int, now time.Time) bool {
		return r.Bind(Record{ID: ID{byte(i), byte(i >> 8), byte(i >> 16)}, Binding: one, Until: now.Add(time.Second)}, false, now)
	}
	for i := range maxRecords {
		is.True(bind(i, at(0)))
	}
	is.True(!bind(maxRecords, at(0)))
	is.Equal(r.Len(), maxRecords)
	is.True(bind(maxRecords, at(1))) // the others have expired
	is.Equal(r.Len(), 1)
}

// TestHistory checks which versions may have begun a stream, and whether others are ruled out.
func TestHistory(t *testing.T) {
	is := is.New(t)
	var h History
	versions, complete := h.Within("s", time.Second, at(0))
	is.Equal(len(versions), 0)
	is.True(!complete)
	is.Equal(h.Observe(map[string][]string{"s": {"v1"}}, at(0)), nil)
	is.Equal(h.Observe(map[string][]string{"s": {"v1", "v2"}}, at(10)), []string{"s"})
	is.Equal(h.Observe(map[string][]string{"s": {"v2", "v1"}}, at(11)), nil)
	is.Equal(h.Observe(map[string][]string{"s": {"v2"}}, at(20)), nil)
	versions, complete = h.Within("s", 5*time.Second, at(25))
	is.Equal(versions, []string{"v1", "v2"})
	is.True(complete)
	versions, _ = h.Within("s", 5*time.Second, at(26))
	is.Equal(versions, []string{"v2"})
	_, complete = h.Within("s", 30*time.Second, at(26))
	is.True(!complete)
	h.Interrupt(at(30))
	_, complete = h.Within("s", 5*time.Second, at(34))
	is.True(!complete)
	_, complete = h.Within("s", 5*time.Second, at(35))
	is.True(complete)
}

// TestHistoryMissesNothing checks with random lists that a window that is complete names every version listed in it.
func TestHistoryMissesNothing(t *testing.T) {
	all := []string{"v1", "v2", "v3"}
	rapid.Check(t, func(t *rapid.T) {
		var h History
		lists := rapid.SliceOfN(rapid.SliceOfNDistinct(rapid.SampledFrom(all), 0, len(all), rapid.ID), 1, 20).Draw(t, "lists")
		for i, list := range lists {
			h.Observe(map[string][]string{"s": list}, at(i))
		}
		window, now := rapid.IntRange(0, 25).Draw(t, "window"), len(lists)
		got, complete := h.Within("s", time.Duration(window)*time.Second, at(now))
		if complete != (window <= now) {
			t.Fatalf("complete: %v, for a window of %d s after %d s", complete, window, now)
		}
		named := map[string]bool{}
		for _, v := range got {
			named[v] = true
		}
		for i, list := range lists {
			if i+1 < now-window { // it was replaced before the window
				continue
			}
			for _, v := range list {
				if !named[v] {
					t.Fatalf("version %s of second %d is missing in the last %d s of %d: %v", v, i, window, now, got)
				}
			}
		}
	})
}
