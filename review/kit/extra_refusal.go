package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["extra-refusal"] = extraRefusal }

// extraRefusal: one of two model servers sends some of its refusals twice, the second time where the next
// answer on the connection is expected. No request that isn't idempotent may run more than once, or run
// and be answered 503.
func extraRefusal(f *fleet, trouble bool) string {
	const clients, each = 16, 160
	all := &runs{}
	var faulty *server
	for k := 1; k <= 2; k++ {
		s := f.addServer(fmt.Sprintf("i-7f3a91c%d", k), "huvo11a", "dar-kariakoo", "daka510000", 4, 30*time.Millisecond, all)
		s.sheds = true
		if k == 1 {
			faulty = s
		}
		if k == 1 && trouble {
			s.extraShare = 0.03
			s.extraTimes = [][2]time.Duration{{time.Second, 6 * time.Second}, {8 * time.Second, 13 * time.Second}}
		}
	}
	f.store.set("versions", "daka510000", map[string]any{"model": "daka510000", "version": 1})
	f.config(7, true)
	entry := f.addInstance("front-dar-kariakoo-1", "dar-kariakoo")
	f.start(entry)
	f.awaitReady()
	faulty.mu.Lock()
	faulty.extraFrom = time.Now()
	faulty.mu.Unlock()
	var mu sync.Mutex
	outcomes := map[string]outcome{}
	var wait sync.WaitGroup
	for c := range clients {
		wait.Go(func() {
			client := f.newClient(entry)
			for n := range each {
				id := fmt.Sprintf("%04x%04x", c, n)
				o := client.send(request{id: id, path: "/puxa400/2f", method: "POST", deadline: 4 * time.Second, tokens: "1460,4", body: "prompt " + id,
					parts: fmt.Sprintf("5c1e07a2:800,91bd3f%02x:410,e44%s:250", c, id)})
				mu.Lock()
				outcomes[id] = o
				mu.Unlock()
				time.Sleep(40 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	twice, refused, ok := 0, 0, 0
	for id, ran := range all.byID() {
		if len(ran) > 1 {
			twice++
			f.rec.line("request %s ran %d times: at %s and %s, %d ms later", id, len(ran), ran[0].server, ran[1].server, ran[1].at.Sub(ran[0].at).Milliseconds())
		}
		if s := outcomes[id].status; s == 503 || s == 429 || s == 408 || s == 421 {
			refused++
			f.rec.line("request %s ran, and its client got status %d", id, s)
		}
	}
	for _, o := range outcomes {
		if o.status == 200 && o.err == nil {
			ok++
		}
	}
	f.rec.line("%d requests, %d served, %d run more than once, %d run and refused", len(outcomes), ok, twice, refused)
	if twice+refused == 0 {
		return ""
	}
	return fmt.Sprintf("%d requests that aren't idempotent ran more than once, %d ran and were answered as not run", twice, refused)
}
