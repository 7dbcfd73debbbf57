package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func must(err error) {
	if err != nil {
		panic(unable{err})
	}
}

// unable says that the case could not run.
type unable struct{ err error }

func (u unable) Error() string { return u.err.Error() }

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	must(err)
	return &record{file: f, began: time.Now()}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// instance is one machine of the system: a process of the program of the deploy file.
type instance struct {
	name, ip, zone      string
	front, ready, peers string
	settings            string
	logs                *os.File
	cmd                 *exec.Cmd
	ended               chan struct{}
}

// fleet is a small deployment: the platform's store and some machines of the system.
type fleet struct {
	rec       *record
	dir       string
	root      string
	net       string // first three bytes of all addresses
	lastIP    int
	store     *store
	instances []*instance
	seeds     []string
	bounds    string
	stopping  sync.Once
}

// siteBounds are those of the site zrs-shifts.
const siteBounds = `seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 54
recoveryS = 12
transitMs = 120
retryAfterS = 20
fencingRequired = false
leaseMs = 3000
thawSlackMs = 300
versionMs = 10000
versionAllMs = 14000
`

func newFleet(rec *record) *fleet {
	root, err := os.Getwd()
	must(err)
	dir, err := os.MkdirTemp("", "review")
	must(err)
	f := &fleet{rec: rec, dir: dir, root: root, bounds: siteBounds}
	for try := 0; ; try++ {
		f.net = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
		ln, err := net.Listen("tcp", f.net+".2:9464")
		if err == nil {
			ln.Close()
			break
		}
		if try == 20 {
			must(err)
		}
	}
	f.lastIP = 1
	f.store = newStore(f.nextIP())
	return f
}

func (f *fleet) nextIP() string {
	f.lastIP++
	return fmt.Sprintf("%s.%d", f.net, f.lastIP)
}

func freePort(ip string) string {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	must(err)
	defer ln.Close()
	return ln.Addr().String()
}

// addInstance prepares a machine. Its zone follows from its name.
func (f *fleet) addInstance(name, zone string) *instance {
	ip := f.nextIP()
	i := &instance{name: name, ip: ip, zone: zone, front: freePort(ip), ready: freePort(ip), peers: freePort(ip)}
	i.settings = filepath.Join(f.dir, fmt.Sprintf("%s-%s.toml", name, ip))
	f.instances = append(f.instances, i)
	if len(f.seeds) < 3 {
		f.seeds = append(f.seeds, i.peers)
	}
	return i
}

func (f *fleet) writeSettings(i *instance) {
	quoted := make([]string, len(f.seeds))
	for k, s := range f.seeds {
		quoted[k] = fmt.Sprintf("%q", s)
	}
	text := fmt.Sprintf(`nodeName = %q
role = "entry"
machineClass = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "dar"
portRange = [7580,7595]
seedNodes = [%s]
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[zones]
dar-kariakoo = "dar"
dar-mikocheni = "dar"
dar-kurasini = "dar"
[listen]
front = %q
readyAddr = %q
control = %q
[limits]
cpuShare = 0.4
cpuCores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
%s[provider]
address = %q
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`, i.name, i.ip, i.zone, strings.Join(quoted, ","), i.front, i.ready, i.peers, f.bounds, f.store.address)
	must(os.WriteFile(i.settings, []byte(text), 0o600))
}

// start starts the process of a machine, as the deploy file says.
func (f *fleet) start(i *instance) {
	f.writeSettings(i)
	logs, err := os.OpenFile(i.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	i.logs = logs
	cmd := exec.Command(filepath.Join(f.root, "target", "shedhoistd"), "hosted")
	cmd.Dir = f.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SHEDHOIST_CONFIG=" + i.settings}
	cmd.Stdout, cmd.Stderr = logs, logs
	must(cmd.Start())
	i.cmd, i.ended = cmd, make(chan struct{})
	ended := i.ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	f.rec.line("machine %s at %s: process started", i.name, i.ip)
}

// kill ends the process of a machine with SIGKILL.
func (f *fleet) kill(i *instance) {
	f.signal(i, syscall.SIGKILL)
	<-i.ended
}

func (f *fleet) signal(i *instance, sig syscall.Signal) {
	f.rec.line("machine %s at %s: %v", i.name, i.ip, sig)
	_ = i.cmd.Process.Signal(sig)
}

// awaitReady waits until all started machines say that they are ready.
func (f *fleet) awaitReady() {
	for _, i := range f.instances {
		if i.cmd == nil {
			continue
		}
		for try := 0; ; try++ {
			resp, err := http.Get("http://" + i.ready + "/readiness")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					break
				}
			}
			if try == 100 {
				must(fmt.Errorf("machine %s does not become ready", i.name))
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// stop ends all processes and removes the temporary folder.
func (f *fleet) stop() { f.stopping.Do(f.end) }

func (f *fleet) end() {
	for _, i := range f.instances {
		if i.cmd == nil {
			continue
		}
		_ = i.cmd.Process.Signal(syscall.SIGCONT)
		_ = i.cmd.Process.Kill()
		<-i.ended
		i.logs.Close()
	}
	_ = f.store.http.Shutdown(context.Background())
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}
