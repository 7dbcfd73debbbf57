package cachestore

// journalSize is how many changes a journal remembers at least, and half of what it
// remembers at most: some seconds of saves of a large fleet. Whoever is further
// behind takes whole stores instead.
const journalSize = 4096

// Journal numbers the changes of what the stores hold in the order in which this
// instance learned them, so that another instance can go on from where it was.
// The zero value is empty.
type Journal struct {
	seq     uint64 // of the last change
	changes []journaled
	whole   map[string]uint64 // by store: from which change on its contents are new
}

type journaled struct {
	store string
	Event
}

// Seq is the number of the last change.
func (j *Journal) Seq() uint64 { return j.seq }

// Append notes changes of a store.
func (j *Journal) Append(store string, events []Event) {
	for _, e := range events {
		j.seq++
		j.changes = append(j.changes, journaled{store: store, Event: e})
	}
	if len(j.changes) > 2*journalSize { // seldom, since it copies
		j.changes = append([]journaled(nil), j.changes[len(j.changes)-journalSize:]...)
	}
}

// MarkRelisted says that a store was listed anew: nothing told of it before counts.
func (j *Journal) MarkRelisted(store string) {
	j.seq++
	j.changes = append(j.changes, journaled{}) // keeps numbers and places in step
	if j.whole == nil {
		j.whole = map[string]uint64{}
	}
	j.whole[store] = j.seq
}

// Since returns a store's changes after seq, in order. whole says that they do
// not suffice: the asker needs all that the store holds.
func (j *Journal) Since(store string, seq uint64) (events []Event, whole bool) {
	first := j.seq - uint64(len(j.changes)) // the change before the oldest remembered
	if seq < first || seq > j.seq || seq < j.whole[store] {
		return nil, true
	}
	for _, c := range j.changes[seq-first:] {
		if c.store == store {
			events = append(events, c.Event)
		}
	}
	return events, false
}
