package crowd_test

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/shedhoist/shedhoist/internal/standin/fleet"
)

// daemonSettings is the format of the settings file of a daemon that is not hosted.
const daemonSettings = `name = "crowded"
zone = "dar-a"
[listen]
callers = %q
operators = %q
peers = %q
[platform]
url = %q
[peers]
secret = "%s"
[limits]
memory_mb = %d
header_bytes = %d
body_bytes = %d
`

// startDaemon starts a daemon with a settings file of its own beside a fleet of stand-ins, and waits until it is ready.
func startDaemon(t *testing.T) *instance {
	f, err := fleet.Start(t.Context(), fleet.Options{Instances: 1})
	must(t, err)
	t.Cleanup(f.Close)
	p := newInstance(t)
	p.remotes = hexAddresses(append(f.ServiceAddrs, f.EngineAddrs...)...)
	p.readyURL = "http://" + p.address(callerPort) + "/readyz"
	p.head = func(method, _, id string) string {
		return method + " /services/" + fleet.Service + "/shifts HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer " + f.Keys[0] + "\r\nX-Request-Id: " + id + "\r\n"
	}
	p.start("", "--settings", p.write("settings.toml", fmt.Sprintf(daemonSettings, p.address(callerPort), p.address(readyPort), p.address(peerPort),
		f.PlatformURL, fleet.PeerSecret(), memoryMB, maxHeaderBytes, maxBodyBytes)))
	return p
}

// TestDaemonCrowds guards against the same failures as TestCrowds in a daemon with a settings file of its own.
func TestDaemonCrowds(t *testing.T) {
	head := func(p *instance, n int) string { return p.head("POST", "", id(n)) }
	for _, tt := range []struct {
		crowdCase
		member func(p *instance, conn net.Conn, n int)
	}{
		{crowdCase{name: "many short header lines"}, func(p *instance, conn net.Conn, n int) {
			send(conn, head(p, n)+shortLines(legal)+"Content-Length: 2\r\n\r\nx", 1)
		}},
		{crowdCase{name: "heads that stop short, again and again", returns: true}, func(p *instance, conn net.Conn, n int) {
			send(conn, head(p, n)+shortLines(legal), 1)
			awaitClose(conn)
		}},
		{crowdCase{name: "bodies in large chunks that stop short"}, func(p *instance, conn net.Conn, n int) {
			send(conn, head(p, n)+"Transfer-Encoding: chunked\r\n\r\n", 1)
			send(conn, chunk(piece), maxBodyBytes/piece-1)
		}},
		{crowdCase{name: "bodies of known length, again and again", returns: true}, func(p *instance, conn net.Conn, n int) {
			send(conn, head(p, n)+fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes), 1)
			send(conn, strings.Repeat("x", piece), maxBodyBytes/piece-1)
			awaitClose(conn)
		}},
		{crowdCase{name: "messages of a byte", returns: true}, func(p *instance, conn net.Conn, n int) {
			body := `{"model":"` + fleet.Model + `","messages":[` + strings.Repeat("1,", maxBodyBytes/2-100) + `1]}`
			text := strings.Replace(head(p, n), "/services/"+fleet.Service+"/shifts", "/v1/chat/completions", 1)
			send(conn, text+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), 1)
			awaitClose(conn)
		}},
		{crowdCase{name: "connections without a request", size: 1200}, func(*instance, net.Conn, int) {}},
		{crowdCase{name: "heads without end at the operator listener", port: readyPort}, func(p *instance, conn net.Conn, n int) {
			send(conn, p.head("GET", "", id(n))+shortLines(endless-piece), 1)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := startDaemon(t)
			tt.crowdCase.member = func(conn net.Conn, n int) { tt.member(p, conn, n) }
			tt.run(t, p)
		})
	}
}
