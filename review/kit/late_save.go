package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["late-save"] = lateSave }

// keptPart is a part under its salt.
type keptPart struct{ salt, id string }

// keep is a stand-in of a store of kept KV cache, with `managed`.
type keep struct {
	f       *fleet
	address string
	began   time.Time

	mu      sync.Mutex
	http    *http.Server
	epoch   uint64
	last    uint64
	held    map[keptPart]int
	writing map[keptPart]int
	events  []any
	wake    chan struct{}
}

func (f *fleet) addKeep() *keep {
	k := &keep{f: f, began: time.Now(), epoch: 77120}
	k.address = freePort(f.nextIP())
	k.start()
	return k
}

// start starts the store, empty.
func (k *keep) start() {
	ln, err := net.Listen("tcp", k.address)
	must(err)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.epoch++
	k.last, k.held, k.writing, k.events, k.wake = 0, map[keptPart]int{}, map[keptPart]int{}, nil, make(chan struct{})
	k.http = &http.Server{Handler: k}
	server := k.http
	go func() { _ = server.Serve(ln) }()
	k.f.rec.line("the cache store starts, empty, epoch %d", k.epoch)
}

// crash ends the store; its connections are closed.
func (k *keep) crash() {
	k.mu.Lock()
	server := k.http
	k.http, k.held, k.writing = nil, nil, nil
	k.mu.Unlock()
	_ = server.Close()
	k.f.rec.line("the cache store is down")
}

// clock is the servers' clock, in ms.
func (k *keep) clock() float64 {
	return 50000 + float64(time.Since(k.began))/float64(time.Millisecond)
}

// ServeHTTP implements http.Handler.
func (k *keep) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/kv-list":
		k.mu.Lock()
		held, partial := []any{}, []any{}
		for p, n := range k.held {
			held = append(held, []any{p.salt, p.id, n, "daka510000"})
		}
		for p, n := range k.writing {
			partial = append(partial, []any{p.salt, p.id, 0, n})
		}
		out := map[string]any{"bootEpoch": k.epoch, "nextToken": k.last, "held": held, "partial": partial, "clock_ms": k.clock()}
		k.mu.Unlock()
		replyNow(w, out)
	case "/kv-events":
		since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
		ms, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		timeout := time.NewTimer(time.Duration(ms) * time.Millisecond)
		defer timeout.Stop()
		for over := false; ; {
			k.mu.Lock()
			events := []any{}
			for _, e := range k.events {
				if e.([]any)[0].(uint64) > since {
					events = append(events, e)
				}
			}
			out, wake := map[string]any{"bootEpoch": k.epoch, "nextToken": k.last, "lost": false, "events": events, "clock_ms": k.clock()}, k.wake
			k.mu.Unlock()
			if len(events) > 0 || over {
				replyNow(w, out)
				return
			}
			select {
			case <-wake:
			case <-timeout.C:
				over = true
			case <-r.Context().Done():
				return
			}
		}
	default:
		replyNow(w, map[string]any{})
	}
}

func replyNow(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	must(err)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// save writes a part, which takes a time. A part that the store holds stays as it was first made.
func (k *keep) save(p keptPart, tokens int, takes time.Duration, by string) {
	k.mu.Lock()
	if k.http == nil {
		k.mu.Unlock()
		return
	}
	_, held := k.held[p]
	_, writing := k.writing[p]
	if held || writing {
		k.mu.Unlock()
		return
	}
	epoch := k.epoch
	k.writing[p] = tokens
	k.mu.Unlock()
	k.f.rec.line("part %s is being written in epoch %d, for request %s", p.id, epoch, by)
	time.Sleep(takes)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.http == nil || k.epoch != epoch {
		return
	}
	delete(k.writing, p)
	k.held[p] = tokens
	k.last++
	k.events = append(k.events, []any{k.last, "+", p.salt, p.id, tokens, "daka510000"})
	close(k.wake)
	k.wake = make(chan struct{})
}

// cacheRules says how a model server uses the cache store for a request.
type cacheRules struct {
	keep  *keep
	queue func(id string) time.Duration // how long a request waits in the server's queue

	mu     sync.Mutex
	fetch  int // parts that were there, whole
	miss   int
	broken []string
}

// transfer is how long a part takes between a server and a store of 29,000 Mbit/s in another zone, at 18.432 KB a token.
func transfer(tokens int) time.Duration {
	return time.Duration(2 * float64(tokens) * 18432 * 8 / 29e9 * float64(time.Second))
}

// prompt lets a request wait in the queue, then fetch and, once it is read, save as its headers say.
func (c *cacheRules) prompt(server string, h http.Header) {
	id, salt := h.Get(headerID), h.Get("Shedhoist-Cache-Salt")
	time.Sleep(c.queue(id))
	parts := strings.Split(h.Get("Shedhoist-Prompt-Prefix"), ",")
	until, _ := strconv.ParseFloat(h.Get("Shedhoist-Kv-Until"), 64)
	for n, source := range strings.Split(h.Get("Shedhoist-Kv-Fetch"), ",") {
		address, _, _ := strings.Cut(source, "/")
		if address != c.keep.address || c.keep.clock() > until {
			continue
		}
		part, size, _ := strings.Cut(parts[n], ":")
		tokens, _ := strconv.Atoi(size)
		p := keptPart{salt, part}
		c.keep.mu.Lock()
		_, held := c.keep.held[p]
		_, writing := c.keep.writing[p]
		epoch := c.keep.epoch
		c.keep.mu.Unlock()
		c.mu.Lock()
		switch {
		case held:
			c.fetch++
		case writing:
			c.broken = append(c.broken, fmt.Sprintf("request %s at %s takes part %s from the store in epoch %d, where it is being written", id, server, part, epoch))
			c.keep.f.rec.line("%s", c.broken[len(c.broken)-1])
		default:
			c.miss++
		}
		c.mu.Unlock()
		if held {
			time.Sleep(transfer(tokens))
		}
	}
	time.Sleep(20 * time.Millisecond) // the rest of the prompt is read
	for n, to := range strings.Split(h.Get("Shedhoist-Kv-Save"), ",") {
		if to != c.keep.address {
			continue
		}
		part, size, _ := strings.Cut(parts[n], ":")
		tokens, _ := strconv.Atoi(size)
		go c.keep.save(keptPart{salt, part}, tokens, transfer(tokens), id)
	}
}

// lateSave: a machine is killed while its requests wait in the servers' queues; then the cache store crashes
// and returns empty. No request may take a part from the store that is being written there.
func lateSave(f *fleet, trouble bool) string {
	const shared, tokens = 16, 7520
	all, zones := &runs{}, []string{"dar-kariakoo", "dar-mikocheni", "dar-kurasini"}
	k := f.addKeep()
	busy := false      // guarded by k.mu
	var less time.Time // from then on the servers have less to do; guarded by k.mu
	isLess := func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return !less.IsZero()
	}
	rules := &cacheRules{keep: k, queue: func(id string) time.Duration {
		if n, late := strings.CutPrefix(id, "1a7e"); late {
			for try := 0; try < 1000 && !isLess(); try++ { // 10 s at most
				time.Sleep(10 * time.Millisecond)
			}
			i, _ := strconv.ParseInt(n, 16, 64)
			return 20*time.Millisecond + time.Duration(i)*90*time.Millisecond
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		if busy {
			return rand.N(2 * time.Second)
		}
		return 5 * time.Millisecond
	}}
	for n := range 14 {
		s := f.addServer(fmt.Sprintf("i-7f3a91c%x", n), "huvo11a", zones[n%3], "daka510000", 64, 0, all)
		s.cache = rules
	}
	f.store.set("versions", "daka510000", map[string]any{"model": "daka510000", "version": 1})
	f.configWithKeep(7, k)
	for n, zone := range zones {
		f.start(f.addInstance(fmt.Sprintf("front-%s-%d", zone, n+1), zone))
	}
	f.awaitReady()
	time.Sleep(7 * time.Second) // the machines know one another, and the cache store for long enough to save there
	var wait sync.WaitGroup
	send := func(to *instance, id, path string, n int) {
		wait.Go(func() {
			f.newClient(to).send(request{id: id, path: path, method: "POST", deadline: 12 * time.Second, tokens: fmt.Sprintf("%d,4", tokens+250), body: "p " + id,
				parts: fmt.Sprintf("5c1e07%02x:%d,%s:250", n, tokens, id)})
		})
	}
	first := f.instances[0]
	for n := range shared {
		send(first, fmt.Sprintf("1a7e%04x", n), "/night-digest/2f", n)
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		f.kill(first)
		time.Sleep(500 * time.Millisecond)
		f.start(first)
	} else {
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(700 * time.Millisecond)
	for n := range shared {
		send(f.instances[1], fmt.Sprintf("5eed%04x", n), "/bundle-digest/2f", n)
	}
	time.Sleep(2 * time.Second) // 3.5 s after the first requests
	k.mu.Lock()
	busy = true
	k.mu.Unlock()
	for round := range 20 {
		for n := range shared {
			send(f.instances[1+round%2], fmt.Sprintf("%04x%04x", round, n), "/bundle-digest/2f", n)
		}
		time.Sleep(15 * time.Millisecond)
	}
	if trouble {
		k.crash()
		time.Sleep(500 * time.Millisecond)
		k.start()
	}
	k.mu.Lock()
	less = time.Now()
	k.mu.Unlock()
	time.Sleep(3 * time.Second)
	wait.Wait()
	f.rec.line("%d parts were fetched whole, %d were not there, %d were being written", rules.fetch, rules.miss, len(rules.broken))
	fmt.Printf("%d parts were fetched whole, %d were not there, %d were being written\n", rules.fetch, rules.miss, len(rules.broken))
	if len(rules.broken) > 0 {
		return rules.broken[0]
	}
	return ""
}

// configWithKeep writes a configuration with a cache store.
func (f *fleet) configWithKeep(version int, k *keep) {
	f.config(version, true)
	f.store.mu.Lock()
	var c map[string]any
	must(json.Unmarshal(f.store.objects["config"]["main"].Spec, &c))
	f.store.mu.Unlock()
	c["version"] = version + 2
	digest := func(name string, priority int) map[string]any {
		return map[string]any{"name": name, "hostname": "pule25.example", "pathPrefix": "/" + name + "/", "routeType": "streaming", "timeoutMs": 12000, "targetLatencyMs": 1000,
			"priority": priority, "service": "huvo11a", "maxAttempts": 1, "public": false, "sticky": true, "resumable": false, "gapTargetMs": 800}
	}
	c["routes"] = append(c["routes"].([]any), digest("bundle-digest", 0), digest("night-digest", 3))
	services := c["services"].([]any)
	services[0].(map[string]any)["engine"].(map[string]any)["kvCapacityTokens"] = 109953
	c["services"] = append(services, map[string]any{"name": "kumbuka", "kvStoreAddr": k.address, "zone": "dar-mikocheni", "kvCapacityTokens": 1887172, "linkMbps": 29000.0,
		"maxInflight": 12, "managed": true, "first_ms": 6.0})
	f.store.set("config", "main", c)
}
