package member

import "time"

// GoneMember is a member that is not alive.
type GoneMember struct {
	Name  string
	Since time.Time // when it got its present state
}

// Gone returns the members that are not alive, in no order. Those that are dead or have left count until they
// are removed.
func (m *Machine) Gone() []GoneMember {
	var out []GoneMember
	for _, r := range m.members {
		if r.State != Alive {
			out = append(out, GoneMember{Name: r.Name, Since: r.since})
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
