package quarantine

import "time"

// recent remembers when requests were last answered whole. Of more than it holds, those that
// came only once go first: what it is for are requests that come often.
type recent struct {
	seen  map[Key]answer
	order []Key // ring, in the order in which they came to it
	next  int   // of order, to be looked at when room is needed
}

type answer struct {
	at    time.Time
	again bool // answered again since its place was last looked at
}

func newRecent(size int) recent {
	return recent{seen: make(map[Key]answer), order: make([]Key, 0, size)}
}

// put notes an answer.
func (r *recent) put(k Key, now time.Time) {
	if _, known := r.seen[k]; known {
		r.seen[k] = answer{at: now, again: true}
		return
	}
	r.seen[k] = answer{at: now}
	if len(r.order) < cap(r.order) {
		r.order = append(r.order, k)
		return
	}
	for old := r.seen[r.order[r.next]]; old.again; old = r.seen[r.order[r.next]] {
		old.again = false
		r.seen[r.order[r.next]] = old
		r.next = (r.next + 1) % len(r.order)
	}
	delete(r.seen, r.order[r.next])
	r.order[r.next] = k
	r.next = (r.next + 1) % len(r.order)
}

// at is when a request was last answered; zero: not lately.
func (r *recent) at(k Key) time.Time { return r.seen[k].at }
