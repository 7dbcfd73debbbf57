package wait

import "sync"

// Group waits for goroutines. Unlike with a sync.WaitGroup, others may be started at any time, also while Wait
// returns. The zero value is an empty group.
type Group struct {
	mu      sync.Mutex
	running int
	empty   chan struct{} // closed when running becomes 0; nil: nobody waits
}

// Go runs f on a goroutine of the group.
func (g *Group) Go(f func()) {
	g.mu.Lock()
	g.running++
	g.mu.Unlock()
	go func() {
		defer g.end()
		f()
	}()
}

func (g *Group) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.running == 0 && g.empty != nil {
		close(g.empty)
		g.empty = nil
	}
}

// Wait returns once no goroutine of the group runs.
func (g *Group) Wait() {
	g.mu.Lock()
	if g.running == 0 {
		g.mu.Unlock()
		return
	}
	if g.empty == nil {
		g.empty = make(chan struct{})
	}
	empty := g.empty
	g.mu.Unlock()
	<-empty
}
