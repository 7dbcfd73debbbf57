package member

import "time"

// Gone returns when each member that is not alive got its present state, in no order. Those that are dead
// or have left count until they are removed.
func (m *Machine) Gone() []time.Time {
	var out []time.Time
	for _, r := range m.members {
		if r.State != Alive {
			out = append(out, r.since)
		}
	}
	return out
}

// LiveCount returns the number of live members, this one included.
func (m *Machine) LiveCount() int {
	n := 0
	if m.self.State == Alive {
		n = 1
	}
	for _, r := range m.members {
		if r.State == Alive {
			n++
		}
	}
	return n
}
