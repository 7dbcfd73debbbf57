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
	Complete  bool     // Versions and Alone miss none, but for those listed in the last seconds
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
	// Current says that the known versions miss none that was listed before the stream was taken up.
	Current bool

	known       Knowledge // of all that answered
	answered    []string  // instances that answered
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
	q.answered = append(q.answered, instance)
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
	version, single := q.singleVersion()
	if !single || q.MayMissVersions() {
		return Binding{}, Unknown
	}
	return Binding{Service: q.Service, Software: version}, ByVersion
}

// AddUnreached adds that an instance does not answer the asking one.
func (q *Inquiry) AddUnreached(instance string) {
	q.known.Unreached = append(q.known.Unreached, instance)
}

// MayMissVersions reports whether the stream could go on at the only version that is known if it were known
// that there is no other: an instance that doesn't answer may have seen a newer one.
func (q *Inquiry) MayMissVersions() bool {
	_, single := q.singleVersion()
	answered := func(instance string) bool { return slices.Contains(q.answered, instance) }
	silent := slices.DeleteFunc(slices.Clone(q.known.Unreached), answered)
	return single && !q.Current && len(silent) > 0
}

// singleVersion returns the only version that is known of the service the stream began at, if there is one.
func (q *Inquiry) singleVersion() (version string, single bool) {
	versions := slices.Sorted(slices.Values(q.known.Versions))
	versions = slices.Compact(versions)
	if q.Service == "" || !q.known.Complete || len(versions) != 1 {
		return "", false
	}
	return versions[0], true
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
