package streamversion

import "slices"

// Knowledge is what one instance knows of a stream that a caller takes up.
type Knowledge struct {
	Binding   Binding // valid if Found
	Found     bool
	Ambiguous bool // requests like the one in question began streams at several versions
	// Remembers says that the instance's records miss no stream that began through it, or that it was told
	// of, within the window in which the stream in question may have begun.
	Remembers bool
	Versions  []string // of the service's targets within the window
	Alone     []string // versions that were the only one of the service at some time within the window
	Complete  bool     // Versions and Alone miss none
	// Unreached are instances that did not answer the one that knows this within the window, though their
	// process had not ended, as far as is known.
	Unreached []string
}

// Inquiry gathers what instances know of a stream, and decides where it may go on.
type Inquiry struct {
	// Service is the only one that the stream can have begun at, or "".
	Service string
	// Members are the names of the instances that there are, and were within the window, the asking one
	// included.
	Members []string
	// Holders is how many instances know of a stream that began while the service had several versions.
	Holders int
	// Named says that the caller names the stream, and is asked for that one.
	Named bool

	known       Knowledge // of all that answered
	remembering []string  // instances that answered and remember the window
}

// Ways in which it is known where a stream may go on.
const (
	Unknown = "unknown"
	// ByName: an instance has the record of the stream that the caller names.
	ByName = "named"
	// ByRequest: the caller doesn't name the stream, and all streams of requests like this one, of which none
	// is missed, have this version.
	ByRequest = "request"
	// ByVersion: no other version can have begun the stream.
	ByVersion = "single"
)

// Add adds what one instance knows. It reports whether that settles the question.
func (q *Inquiry) Add(instance string, k Knowledge) (settled bool) {
	all := &q.known
	all.Ambiguous = all.Ambiguous || k.Ambiguous || all.Found && k.Found && all.Binding != k.Binding
	if k.Found {
		all.Found, all.Binding = true, k.Binding
	}
	all.Versions, all.Alone = append(all.Versions, k.Versions...), append(all.Alone, k.Alone...)
	all.Complete = all.Complete || k.Complete
	all.Unreached = append(all.Unreached, k.Unreached...)
	if k.Remembers {
		q.remembering = append(q.remembering, instance)
	}
	return q.Named && k.Found
}

// Decide returns where the stream may go on, and how that is known.
func (q *Inquiry) Decide() (b Binding, how string) {
	k := &q.known
	switch {
	case q.Named && k.Found:
		return k.Binding, ByName
	case k.Ambiguous:
		return Binding{}, Unknown
	case k.Found && q.missesNone(k.Binding):
		return k.Binding, ByRequest
	}
	slices.Sort(k.Versions)
	versions := slices.Compact(k.Versions)
	if q.Service == "" || !k.Complete || len(versions) != 1 {
		return Binding{}, Unknown
	}
	return Binding{Service: q.Service, Software: versions[0]}, ByVersion
}

// missesNone reports whether every stream of the requests in question is known or has the binding b. A
// stream is forgotten with the instance that it went through, if that one had not told of it: while its
// service had one version, or while it did not reach its peers. Else it is forgotten with all its holders.
func (q *Inquiry) missesNone(b Binding) bool {
	lost := q.Lost()
	if len(lost) == 0 {
		return true
	}
	others := func(version string) bool { return version != b.Software }
	unreached := func(instance string) bool { return slices.Contains(q.known.Unreached, instance) }
	return q.Service != "" && len(lost) < q.Holders && q.known.Complete && !slices.ContainsFunc(q.known.Alone, others) && !slices.ContainsFunc(lost, unreached)
}

// Unreached returns the instances that another one did not reach within the window.
func (q *Inquiry) Unreached() []string {
	return slices.Compact(slices.Sorted(slices.Values(q.known.Unreached)))
}

// Lost returns the instances whose streams may be forgotten: they don't answer, are gone, or have started of
// late.
func (q *Inquiry) Lost() []string {
	return slices.DeleteFunc(slices.Clone(q.Members), func(instance string) bool { return slices.Contains(q.remembering, instance) })
}
