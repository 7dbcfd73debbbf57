package cachestore

// minJournalSize is the number of most recent changes that a journal always retains; it
// retains at most twice as many. This covers several seconds of saves in a large fleet.
// An instance that is further behind requests the full contents of the stores instead.
const minJournalSize = 4096

// Journal numbers the changes to the stores' contents in the order in which this
// instance received them, so that another instance can resume from the last change it has.
// The zero value is an empty journal.
type Journal struct {
	seq        uint64 // sequence number of the last change
	changes    []journalEntry
	relistedAt map[string]uint64 // by store: sequence number of its last full relisting
}

// journalEntry is a change to one store; a placeholder has no store.
type journalEntry struct {
	store string
	Event
}

// Seq returns the sequence number of the last change.
func (j *Journal) Seq() uint64 { return j.seq }

// Append records changes to a store's contents.
func (j *Journal) Append(store string, events []Event) {
	for _, e := range events {
		j.seq++
		j.changes = append(j.changes, journalEntry{store: store, Event: e})
	}
	if len(j.changes) > 2*minJournalSize { // truncates in batches because it copies
		j.changes = append([]journalEntry(nil), j.changes[len(j.changes)-minJournalSize:]...)
	}
}

// MarkRelisted records that a store was relisted: its earlier changes no longer apply.
func (j *Journal) MarkRelisted(store string) {
	j.seq++
	j.changes = append(j.changes, journalEntry{}) // placeholder: keeps sequence numbers aligned with indexes
	if j.relistedAt == nil {
		j.relistedAt = map[string]uint64{}
	}
	j.relistedAt[store] = j.seq
}

// Since returns a store's changes after seq, in order. relist reports that they are
// not available or do not suffice: the caller needs the full contents of the store.
func (j *Journal) Since(store string, seq uint64) (events []Event, relist bool) {
	oldest := j.seq - uint64(len(j.changes)) // sequence number just before the oldest retained change
	if seq < oldest || seq > j.seq || seq < j.relistedAt[store] {
		return nil, true
	}
	for _, c := range j.changes[seq-oldest:] {
		if c.store == store {
			events = append(events, c.Event)
		}
	}
	return events, false
}
