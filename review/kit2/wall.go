package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// The case "wall": clients whose requests take two seconds to arrive, and a configuration that isolates their tenants
// meanwhile.

const (
	wallTenants   = 6
	wallHost      = "pule25.example"
	wallPrefix    = "/cufi501/fi50/"
	wallBodyBytes = 20000
	configApply   = 2 * time.Second
)

// wallConfig returns a configuration with the tenants a0, a1, ... and b.
func wallConfig(version int, isolated bool) map[string]any {
	tenants := []any{map[string]any{"name": "b", "apiKeys": []string{"key-b"}, "priority": 1}}
	for i := range wallTenants {
		t := map[string]any{"name": fmt.Sprintf("a%d", i), "apiKeys": []string{fmt.Sprintf("key-a%d", i)}, "priority": 1}
		if isolated {
			t["isolated"] = true
		}
		tenants = append(tenants, t)
	}
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{"name": "r-1", "hostname": wallHost, "pathPrefix": wallPrefix, "routeType": "streaming", "timeoutMs": 12000, "targetLatencyMs": 300,
			"priority": 0, "service": "huvo11a", "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "gapTargetMs": 300}},
		"services": []any{map[string]any{"name": "huvo11a", "healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kvCapacityTokens": 41564, "kvTokenBytes": 18432, "linkMbps": 130000.0, "managed": true, "maxInflight": 12,
				"models": []any{map[string]any{"name": modelName}}}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	}
}

// head returns the head of a request whose prompt shares one part with others of the same number.
func wallHead(attempt, key string, number int) []byte {
	return fmt.Appendf(nil, "POST %s2f HTTP/1.1\r\nHost: %s\r\nShedhoist-Attempt-Id: %s\r\nShedhoist-Model: %s\r\nShedhoist-Token-Count: 1210,80\r\n"+
		"Shedhoist-Prompt-Prefix: %08x:800,%08x:410\r\nShedhoist-Request-Deadline-Ms: 12000\r\nShedhoist-Key: %s\r\nContent-Length: %d\r\n\r\n",
		wallPrefix, wallHost, attempt, modelName, 0x5c1e0000+number, 0xe4000000+len(attempt)*7919+number, key, wallBodyBytes)
}

// send sends a request whose body takes a time to arrive, and returns the status of the answer.
func send(rec *record, front, attempt string, head []byte, takes time.Duration) int {
	conn, err := net.Dial("tcp", front)
	check(err)
	defer conn.Close()
	const pieces = 20
	rec.line("client sends %s to %s, over %v", attempt, front, takes)
	_, err = conn.Write(head)
	for i := 0; i < pieces && err == nil; i++ {
		_, err = conn.Write(bytes.Repeat([]byte("x"), wallBodyBytes/pieces))
		time.Sleep(takes / pieces)
	}
	rec.line("client has sent all of %s", attempt)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		rec.line("client of %s: %v", attempt, err)
		return 0
	}
	body, err := io.ReadAll(resp.Body)
	rec.line("client of %s gets %d, %d bytes, error %v", attempt, resp.StatusCode, len(body), err)
	return resp.StatusCode
}

func playWall(root string, rec *record, trouble bool) (broken bool) {
	f := newFleet(root, 3)
	cleanup = f.stopAll
	// Without trouble the tenants are isolated from the start, and no configuration follows.
	f.store.set("config", "main", wallConfig(7, !trouble))
	f.store.set("versions", modelName, map[string]any{"model": modelName, "version": 1})
	var engines []*engine
	for i := range 3 {
		engines = append(engines, startEngine(f, rec, "huvo11a", fmt.Sprintf("z%d", i+1), i))
	}
	f.startAll()
	time.Sleep(2 * time.Second) // until the processes know each other

	var clients sync.WaitGroup
	for i := range wallTenants {
		attempt := fmt.Sprintf("a%d-slow", i)
		clients.Go(func() {
			if send(rec, f.instances[i%3].front, attempt, wallHead(attempt, fmt.Sprintf("key-a%d", i), i), 2*time.Second) != http.StatusOK {
				rec.line("%s was not served", attempt)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		f.store.set("config", "main", wallConfig(9, true))
		rec.line("the store has acknowledged version 9: the tenants a0 to a%d are isolated", wallTenants-1)
	}
	inForce := time.Now().Add(configApply)
	clients.Wait()
	time.Sleep(time.Until(inForce) + time.Second)

	// Tenant b sends prompts with the same shared parts, some to each instance.
	for i := range wallTenants {
		for k := range 3 {
			attempt := fmt.Sprintf("b-%d-%d", i, k)
			send(rec, f.instances[(i+k)%3].front, attempt, wallHead(attempt, "key-b", i), 0)
		}
	}
	served := 0
	for _, e := range engines {
		for _, r := range e.allRuns() {
			served++
			if r.at.Before(inForce) {
				continue
			}
			for part, made := range r.used {
				if made.tenant != r.tenant {
					broken = true
					rec.line("WALL: %s of tenant %s ran at %s on KV cache of part %s that %s of the isolated tenant %s made", r.attempt, r.tenant, r.server, part, made.attempt, made.tenant)
				}
			}
		}
	}
	if served < wallTenants*4 {
		cannotRun("only %d requests ran", served)
	}
	return broken
}
