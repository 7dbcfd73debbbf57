package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["handover"] = handover }

// handover: servers leave half of their orders unanswered, and the machine that gives the orders is killed
// within 0.4 s of one of these; it starts again a second later. No server may get orders of two holders within
// leaseMs, nor a lower fencing token after a higher one.
func handover(f *fleet, trouble bool) string {
	const leaseMs, lateFor = 3000, 7 * time.Second
	var servers []*server
	zones := []string{"dar-kariakoo", "dar-mikocheni", "dar-kurasini"}
	lost := make(chan order, 100)
	orders, lateUntil := 0, time.Time{} // guarded by the store's lock
	late := func(s *server) func(o order) bool {
		return func(o order) bool {
			f.store.mu.Lock()
			defer f.store.mu.Unlock()
			orders++
			if orders%2 == 0 || !time.Now().Before(lateUntil) {
				return false
			}
			f.rec.line("server %s leaves an order of %s unanswered (version %d, token %d)", s.id, o.Holder, o.Version, o.FencingToken)
			lost <- o
			time.AfterFunc(8*time.Second, func() { s.carryOutLate(o) })
			return true
		}
	}
	for k := range 3 {
		servers = append(servers, f.addServer(fmt.Sprintf("i-7f3a91c%d", k), "huvo11a", zones[k%3], "daka510000", 64))
	}
	f.store.set("versions", "daka510000", map[string]any{"model": "daka510000", "version": 1})
	f.config(7, false)
	for k, zone := range zones {
		f.start(f.addInstance(fmt.Sprintf("front-%s-%d", zone, k+1), zone))
	}
	f.awaitReady()
	time.Sleep(3 * time.Second) // the machines know one another
	for round := range 3 {
		if trouble {
			f.store.mu.Lock()
			lateUntil = time.Now().Add(lateFor)
			f.store.mu.Unlock()
			for _, s := range servers {
				s.mu.Lock()
				s.onOrder = late(s)
				s.mu.Unlock()
			}
		}
		f.rec.line("the operator names version %d", round+2)
		f.store.set("versions", "daka510000", map[string]any{"model": "daka510000", "version": round + 2})
		if trouble {
			select {
			case o := <-lost:
				time.Sleep(rand.N(400 * time.Millisecond))
				for _, i := range f.instances {
					if i.name == o.Holder {
						f.kill(i)
						time.Sleep(time.Second)
						f.start(i)
					}
				}
			case <-time.After(lateFor):
				f.rec.line("no order was left unanswered")
			}
		}
		time.Sleep(20 * time.Second)
		for len(lost) > 0 {
			<-lost
		}
	}
	broken := ""
	for _, s := range servers {
		s.mu.Lock()
		for k, o := range s.orders {
			f.rec.line("server %s got at %.3f s an order of %s: version %d, token %d, expected %d, status %d", s.id, o.at.Sub(f.rec.began).Seconds(), o.Holder, o.Version, o.FencingToken, o.Expected, o.status)
			if k == 0 {
				continue
			}
			before := s.orders[k-1]
			gap := o.at.Sub(before.at).Milliseconds()
			if before.Holder != o.Holder && gap < leaseMs {
				broken = fmt.Sprintf("server %s got orders of %s and %s within %d ms", s.id, before.Holder, o.Holder, gap)
				f.rec.line("%s", broken)
			}
			if o.FencingToken < before.FencingToken {
				broken = fmt.Sprintf("server %s got token %d after %d", s.id, o.FencingToken, before.FencingToken)
				f.rec.line("%s", broken)
			}
		}
		s.mu.Unlock()
	}
	return broken
}

// carryOutLate carries out an order that got no answer, if it is still expected.
func (s *server) carryOutLate(o order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.f.rec.line("server %s takes up the unanswered order of %s: expected %d, seq %d", s.id, o.Holder, o.Expected, s.seq)
	if s.busy || o.Expected != s.seq || o.Version <= s.version {
		return
	}
	s.seq++
	s.busy = true
	time.AfterFunc(s.loadTime, func() {
		s.mu.Lock()
		s.version, s.busy = o.Version, false
		s.mu.Unlock()
		s.beat()
	})
}
