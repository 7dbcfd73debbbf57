// Package crowd_test runs a real process of the product against crowds of callers that keep to no limit, and
// checks that it lives, stays within its memory and its descriptors, and goes on to answer ordinary callers.
//
// The process has small limits, so that small crowds suffice. Run the package apart from other tests: go test
// ./internal/e2e/crowd
package crowd_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Limits of the process under test.
const (
	memoryMB       = 96
	maxDescriptors = 800
	// fileDescriptors are those of maxDescriptors that the platform keeps for files.
	fileDescriptors = 200
)

// Limits that the configuration sets for callers.
const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 4 << 20
)

// eventTimeout bounds the wait for an event that must happen. It is long enough for slow machines.
const eventTimeout = 60 * time.Second

var binary string // path of the daemon

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "shedhoistd")
	build := exec.Command("go", "build", "-o", binary, "github.com/shedhoist/shedhoist/cmd/shedhoistd")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return 1
	}
	return m.Run()
}

// settingsFormat is the format of the settings file.
const settingsFormat = `nodeName = "entry"
zone = "z1"
ip = %q
seedNodes = []
[listen]
front = %q
readyAddr = %q
control = %q
[provider]
address = %q
[limits]
memoryMb = %d
maxFds = %d
[bounds]
graceS = 8
`

// Ports of the process: below those that the kernel gives away.
const (
	callerPort  = 8749
	readyPort   = 8741
	peerPort    = 8745
	metricsPort = 9464
)

// instance is a process of the product.
type instance struct {
	t      *testing.T
	cmd    *exec.Cmd
	ip     string
	dir    string
	log    *os.File
	exited chan struct{} // closed when the process has ended

	remotes  map[string]bool // addresses that it connects to, as /proc/net/tcp writes them
	readyURL string
	head     func(method, path, id string) string // the first lines of a request that is served
	usage    *usage
}

// startInstance starts a process with a store and a target of its own, and waits until it is ready.
func startInstance(t *testing.T) *instance {
	s := newStandin(t)
	p := newInstance(t)
	p.remotes, p.head = hexAddresses(s.store, s.target), requestHead
	p.readyURL = "http://" + p.address(readyPort) + "/readiness"
	settings := p.write("settings.toml", fmt.Sprintf(settingsFormat, p.ip, p.address(callerPort), p.address(readyPort), p.address(peerPort), s.store, memoryMB, maxDescriptors))
	p.start("SHEDHOIST_CONFIG="+settings, "hosted")
	return p
}

func newInstance(t *testing.T) *instance {
	return &instance{t: t, ip: loopbackAddress(), exited: make(chan struct{}), dir: t.TempDir()}
}

// write writes a file for the process and returns its path.
func (p *instance) write(name, text string) string {
	path := filepath.Join(p.dir, name)
	must(p.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// start starts the process with an addition to the environment and waits until it is ready.
func (p *instance) start(env string, args ...string) {
	t := p.t
	var err error
	p.log, err = os.Create(filepath.Join(p.dir, "log"))
	must(t, err)
	// Sockets get what the files leave.
	limited := []string{"-c", `ulimit -n $0; exec "$@"`, strconv.Itoa(maxDescriptors - fileDescriptors), binary}
	p.cmd = exec.Command("sh", append(limited, args...)...)
	p.cmd.Env = append(os.Environ(), env)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	must(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(p.kill)
	p.eventually("the process is ready", p.isReady)
	p.usage = watchUsage(p)
}

var (
	addressMu   sync.Mutex
	addressSeen int
)

// loopbackAddress returns an address that no other process of the tests uses.
func loopbackAddress() string {
	addressMu.Lock()
	defer addressMu.Unlock()
	addressSeen++
	return fmt.Sprintf("127.77.%d.%d", os.Getpid()%250+1, addressSeen)
}

func (p *instance) address(port int) string { return net.JoinHostPort(p.ip, strconv.Itoa(port)) }

func (p *instance) kill() {
	_ = p.cmd.Process.Kill() // fails if it has ended
	<-p.exited
	p.usage.stopWatching()
	if p.t.Failed() {
		p.logTail()
	}
	p.log.Close()
}

// logTail shows the last lines of the process's log.
func (p *instance) logTail() {
	const shown = 2000 // bytes
	data, err := os.ReadFile(p.log.Name())
	if err != nil {
		return
	}
	if i := bytes.Index(data, []byte("\ngoroutine ")); i >= 0 {
		data = data[:i]
	}
	p.t.Logf("log ends with:\n%s", data[max(0, len(data)-shown):])
}

func (p *instance) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// eventually waits until condition returns true. It fails the test after eventTimeout, or if the process ends.
func (p *instance) eventually(what string, condition func() bool) {
	p.t.Helper()
	for deadline := time.Now().Add(eventTimeout); !condition(); time.Sleep(pollInterval) {
		if p.hasExited() {
			p.t.Fatalf("the process ended (%v) while the test waited for: %s", p.cmd.ProcessState, what)
		}
		if time.Now().After(deadline) {
			p.t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

func (p *instance) isReady() bool {
	resp, err := http.Get(p.readyURL)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ordinaryTimeout is how long an ordinary caller waits before it tries again.
const ordinaryTimeout = 4 * time.Second

// requestHead returns the head of a request up to its first own line.
func requestHead(method, path, id string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nShedhoist-Attempt-Id: " + id + "\r\nShedhoist-Request-Deadline-Ms: 20000\r\n"
}

// answers reports whether an ordinary caller gets the answer to a small request on a new connection.
func (p *instance) answers() bool {
	_, err := p.exchange(strings.NewReader(p.head("GET", "/open/x", "ordinary") + "\r\n"))
	return err == nil
}

// UnservedError reports a response that is not the target's.
type UnservedError struct{ Status int }

// Error implements error.
func (e *UnservedError) Error() string { return "status " + strconv.Itoa(e.Status) }

// exchange sends a request on a new connection and returns the body of a successful response.
func (p *instance) exchange(request io.Reader) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), ordinaryTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.address(callerPort))
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	deadline, _ := ctx.Deadline()
	must(p.t, conn.SetDeadline(deadline))
	if _, err := io.Copy(conn, request); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = &UnservedError{Status: resp.StatusCode}
	}
	return body, err
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
