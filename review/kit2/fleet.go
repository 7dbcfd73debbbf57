package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// instance is one process of the system, started as the deploy file says.
type instance struct {
	name, front, ready string
	settings           string
	cmd                *exec.Cmd
	log                *bytes.Buffer
	ended              chan error
}

// fleet is a small deployment: the store and the processes of the system.
type fleet struct {
	root, dir string // the repository, and a temporary folder
	store     *objectStore
	instances []*instance
}

// newFleet prepares n instances that find each other by their seeds. Each has a loopback address of its own.
func newFleet(root string, n int) *fleet {
	dir, err := os.MkdirTemp("", "review-2-")
	check(err)
	f := &fleet{root: root, dir: dir, store: startStore()}
	net := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))
	var seeds []string
	for i := range n {
		ip := fmt.Sprintf("%s.%d", net, i+1)
		ports := freePorts(ip, 3)
		in := &instance{name: fmt.Sprintf("front-z%d-1", i+1), front: ports[0], ready: ports[1]}
		if i < 3 {
			seeds = append(seeds, ports[2])
		}
		in.settings = filepath.Join(dir, in.name+".toml")
		f.instances = append(f.instances, in)
		check(os.WriteFile(in.settings, fmt.Appendf(nil, settingsText, in.name, ip, i+1, "%SEEDS%", in.front, in.ready, ports[2], f.store.address), 0o600))
	}
	quoted := ""
	for i, s := range seeds {
		if i > 0 {
			quoted += ","
		}
		quoted += `"` + s + `"`
	}
	for _, in := range f.instances {
		data, err := os.ReadFile(in.settings)
		check(err)
		check(os.WriteFile(in.settings, bytes.ReplaceAll(data, []byte("%SEEDS%"), []byte(quoted)), 0o600))
	}
	return f
}

// settingsText has the figures of sites/zrs-shifts.toml.
const settingsText = `nodeName = "%s"
role = "entry"
machineClass = "front"
serves = ["front","control"]
ip = "%s"
zone = "z%d"
region = "r"
portRange = [7580,7595]
seedNodes = [%s]
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[zones]
z1 = "r"
z2 = "r"
z3 = "r"
[listen]
front = "%s"
readyAddr = "%s"
control = "%s"
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
seedLagS = 3
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
[provider]
address = "%s"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`

func freePorts(ip string, n int) []string {
	var out []string
	var open []net.Listener
	for range n {
		ln := listenLoopback(ip)
		open, out = append(open, ln), append(out, ln.Addr().String())
	}
	for _, ln := range open {
		ln.Close()
	}
	return out
}

// start starts an instance with the command of the deploy file.
func (f *fleet) start(in *instance) {
	in.log, in.ended = &bytes.Buffer{}, make(chan error, 1)
	in.cmd = exec.Command("target/shedhoistd", "hosted")
	in.cmd.Dir = f.root
	in.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "LANG=C", "SHEDHOIST_CONFIG=" + in.settings}
	in.cmd.Stdout, in.cmd.Stderr = in.log, in.log
	check(in.cmd.Start())
	cmd, ended := in.cmd, in.ended
	go func() { ended <- cmd.Wait() }()
}

// startAll starts all instances and waits until each is ready.
func (f *fleet) startAll() {
	for _, in := range f.instances {
		f.start(in)
	}
	for _, in := range f.instances {
		f.awaitReady(in, 10*time.Second)
	}
}

func (f *fleet) awaitReady(in *instance, limit time.Duration) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for began := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + in.ready + "/readiness")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Since(began) > limit {
			fmt.Fprintln(os.Stderr, in.log.String())
			cannotRun("%s is not ready", in.name)
		}
	}
}

// stopAll ends all processes that the fleet started, waits for their end, and removes its folder. It is called once.
func (f *fleet) stopAll() {
	for _, in := range f.instances {
		if in.cmd != nil && in.cmd.Process != nil {
			_ = in.cmd.Process.Kill() // it may have ended
			<-in.ended
		}
	}
	os.RemoveAll(f.dir)
}
