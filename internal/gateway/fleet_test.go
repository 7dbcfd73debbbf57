package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/peer"
	"github.com/shedhoist/shedhoist/internal/platform"
)

// A fleet of complete instances in one process, for tests with a fake clock. The instances exchange
// messages over an in-memory network and share an in-memory object store, so that times are exact and
// don't depend on the speed of the machine.

// memoryNetwork is an in-memory network of listeners, by address.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	isolated  map[string]bool // hosts that can't be reached and reach nobody
	cuts      map[[2]string]linkCut
	conns     map[*memoryConn]bool // open connections
	window    int                  // see memoryConn.Write; 0: no limit
}

// linkCut is what happens to connections from one host to another.
type linkCut int

// Values of linkCut.
const (
	linkIntact         linkCut = iota
	linkHangs                  // open connections deliver nothing, new ones are never established
	linkResets                 // open connections are reset, new ones are never established
	linkRefuses                // open connections are reset, new ones are refused
	linkRefusesNew             // open connections live on, new ones are refused
	linkConnectsSlowly         // open connections live on, new ones take slowConnect
)

// slowConnect is how long a connect takes over a slow link.
const slowConnect = 300 * time.Millisecond

// setCut cuts the link between two hosts for connections that the first one opens, or mends it.
func (n *memoryNetwork) setCut(from, to string, cut linkCut) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts == nil {
		n.cuts = map[[2]string]linkCut{}
	}
	hosts := [2]string{from, to}
	n.cuts[hosts] = cut
	if cut != linkResets && cut != linkRefuses {
		return
	}
	for c := range n.conns {
		if c.hosts == hosts {
			go c.reset()
		}
	}
}

// resetAll resets all connections of a host.
func (n *memoryNetwork) resetAll(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.hosts[0] == host || c.hosts[1] == host {
			go c.reset()
		}
	}
}

func (n *memoryNetwork) cutOf(hosts [2]string) linkCut {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[hosts]
}

// setIsolated isolates a host from the network, or reconnects it.
func (n *memoryNetwork) setIsolated(host string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isolated == nil {
		n.isolated = map[string]bool{}
	}
	n.isolated[host] = isolated
}

// isConnected reports whether neither of the hosts is isolated.
func (n *memoryNetwork) isConnected(hosts [2]string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.isolated[hosts[0]] && !n.isolated[hosts[1]] && n.cuts[hosts] != linkHangs
}

// dialFrom returns a dialer for connections from a host.
func (n *memoryNetwork) dialFrom(host string) peer.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		hosts := [2]string{host, to}
		switch cut := n.cutOf(hosts); {
		case cut == linkRefuses || cut == linkRefusesNew:
			return nil, syscall.ECONNREFUSED
		case cut == linkConnectsSlowly:
			time.Sleep(slowConnect)
		case cut == linkResets || !n.isConnected(hosts):
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return n.dial(ctx, hosts, address)
	}
}

// networkDelay is the time that a message takes from one host to another.
const networkDelay = 2 * time.Millisecond

func (n *memoryNetwork) listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	ln := &memoryListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = ln
	return ln, nil
}

func (n *memoryNetwork) dial(ctx context.Context, hosts [2]string, address string) (net.Conn, error) {
	n.mu.Lock()
	ln := n.listeners[address]
	n.mu.Unlock()
	if ln == nil {
		return nil, syscall.ECONNREFUSED
	}
	local, remote := net.Pipe()
	remoteConn := n.newConn(remote, hosts)
	select {
	case ln.conns <- remoteConn:
		return n.newConn(local, hosts), nil
	case <-ln.closed:
		remoteConn.Close()
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		remoteConn.Close()
		return nil, ctx.Err()
	}
}

type memoryListener struct {
	address string
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.address) }

type memoryAddr string

// Network implements net.Addr.
func (memoryAddr) Network() string { return "memory" }

// String implements net.Addr.
func (a memoryAddr) String() string { return string(a) }

// memoryConn buffers writes and delivers each after networkDelay, including those made before Close.
type memoryConn struct {
	net.Conn
	network *memoryNetwork
	hosts   [2]string
	once    sync.Once
	closed  chan struct{}
	written chan struct{} // signals that writes are pending
	ended   chan struct{} // closed when nothing more will be delivered

	mu            sync.Mutex
	pending       [][]byte
	pendingBytes  int
	room          chan struct{} // signals that there may be room for a write
	writeDeadline time.Time
}

func (n *memoryNetwork) newConn(c net.Conn, hosts [2]string) *memoryConn {
	m := &memoryConn{Conn: c, network: n, hosts: hosts, closed: make(chan struct{}), written: make(chan struct{}, 1), room: make(chan struct{}, 1), ended: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns == nil {
		n.conns = map[*memoryConn]bool{}
	}
	n.conns[m] = true
	go m.deliverWrites()
	return m
}

// reset ends a connection at once; writes that are not delivered yet are lost.
func (m *memoryConn) reset() {
	m.mu.Lock()
	m.pending = nil
	m.mu.Unlock()
	m.Conn.Close()
	m.Close()
}

func (m *memoryConn) deliverWrites() {
	defer func() {
		close(m.ended)
		m.Conn.Close()
		m.network.mu.Lock()
		defer m.network.mu.Unlock()
		delete(m.network.conns, m)
	}()
	for {
		select {
		case <-m.written:
			if !m.deliverAll() {
				return
			}
		case <-m.closed:
			m.deliverAll()
			return
		}
	}
}

// deliverAll delivers the pending writes, one per networkDelay. It returns false if the other end is closed.
func (m *memoryConn) deliverAll() bool {
	for {
		p, ok := m.next()
		if !ok {
			return true
		}
		if !m.deliver(p) {
			return false
		}
	}
}

// next removes the oldest pending write and returns it.
func (m *memoryConn) next() (p []byte, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.pending) == 0 {
		return nil, false
	}
	p, m.pending = m.pending[0], m.pending[1:]
	return p, true
}

// signalRoom wakes up a write that waits for room.
func (m *memoryConn) signalRoom() {
	select {
	case m.room <- struct{}{}:
	default: // already signalled
	}
}

// deliver delivers one write after networkDelay, or drops it if a host is isolated. It returns false if the
// other end is closed.
func (m *memoryConn) deliver(p []byte) bool {
	time.Sleep(networkDelay)
	if !m.network.isConnected(m.hosts) {
		return true // the write is lost, the connection stays open
	}
	_, err := m.Conn.Write(p)
	m.mu.Lock()
	m.pendingBytes -= len(p)
	m.mu.Unlock()
	m.signalRoom()
	return err == nil
}

// SetWriteDeadline implements net.Conn. As on a network, the deadline is that of Write, not of what
// was written before.
func (m *memoryConn) SetWriteDeadline(t time.Time) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writeDeadline = t
	m.signalRoom()
	return nil
}

// awaitRoom waits until fewer bytes than the network's window are not delivered.
func (m *memoryConn) awaitRoom() error {
	for m.network.window > 0 {
		m.mu.Lock()
		full, deadline := m.pendingBytes >= m.network.window, m.writeDeadline
		m.mu.Unlock()
		var timeout <-chan time.Time
		if !deadline.IsZero() {
			left := time.Until(deadline)
			if left <= 0 {
				return os.ErrDeadlineExceeded
			}
			timeout = time.After(left)
		}
		if !full {
			return nil
		}
		select {
		case <-m.room:
		case <-timeout:
		case <-m.closed:
			return net.ErrClosed
		case <-m.ended:
			return syscall.EPIPE
		}
	}
	return nil
}

// Write implements net.Conn. It blocks while as many bytes as the network's window are not delivered,
// for example since the other end does not read.
func (m *memoryConn) Write(p []byte) (int, error) {
	if err := m.awaitRoom(); err != nil {
		return 0, err
	}
	select {
	case <-m.closed:
		return 0, net.ErrClosed
	default:
	}
	m.mu.Lock()
	m.pending = append(m.pending, append([]byte(nil), p...))
	m.pendingBytes += len(p)
	m.mu.Unlock()
	select {
	case m.written <- struct{}{}:
	default: // already signalled
	}
	return len(p), nil
}

// Close implements net.Conn.
func (m *memoryConn) Close() error {
	m.once.Do(func() {
		close(m.closed)
		_ = m.Conn.SetReadDeadline(time.Unix(1, 0))                   // ends pending reads; pending writes are still delivered,
		_ = m.Conn.SetWriteDeadline(time.Now().Add(shutdownWait / 2)) // but not forever: the other end may have stopped reading
	})
	return nil
}

// memoryStore is an in-memory object store.
type memoryStore struct {
	mu          sync.Mutex
	revision    platform.Version
	objects     map[string]map[string]platform.NamedObject
	history     []memoryChange
	truncatedAt platform.Version // history up to this revision is gone
	changed     chan struct{}    // closed at the next change
}

type memoryChange struct {
	kind string
	platform.NamedObject
	deleted bool
}

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: map[string]map[string]platform.NamedObject{}, changed: make(chan struct{})}
}

// set writes an object unconditionally, as operators and targets do.
func (s *memoryStore) set(kind, name string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
}

func (s *memoryStore) write(kind, name string, value []byte) platform.Version {
	s.revision++
	o := platform.NamedObject{Name: name, Version: s.revision, Value: value}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]platform.NamedObject{}
	}
	s.objects[kind][name] = o
	s.notify(memoryChange{kind: kind, NamedObject: o})
	return s.revision
}

// notify appends a change to the history and wakes the pending watches.
func (s *memoryStore) notify(c memoryChange) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// remove deletes an object.
func (s *memoryStore) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := s.objects[kind][name]
	o.Version = s.revision
	delete(s.objects[kind], name)
	s.notify(memoryChange{kind: kind, NamedObject: o, deleted: true})
}

// truncateHistory drops the history up to now.
func (s *memoryStore) truncateHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.truncatedAt = nil, s.revision
}

// Duration of a call to the store, and the timeouts of calls that get no response, as in the client of
// the object store.
const (
	storeLatency       = 4 * time.Millisecond
	storeCallTimeout   = 2 * time.Second
	watchTimeoutMargin = 600 * time.Millisecond // on top of the wait time of the watch
)

// storeClient is the store client of one instance.
type storeClient struct {
	store  *memoryStore
	mu     sync.Mutex
	silent bool // calls get no response
	calls  int
	// answerDelay is the time between a write and its response: watches may report the write first.
	answerDelay time.Duration
}

// setSilent sets whether calls get no response.
func (d *storeClient) setSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
}

// countCall returns how many calls were made through the client.
func (d *storeClient) countCall() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// awaitResponse waits until a call is answered, or fails it after the timeout if the client is silent.
func (d *storeClient) awaitResponse(ctx context.Context, op, key string, timeout time.Duration) error {
	d.mu.Lock()
	silent := d.silent
	d.calls++
	d.mu.Unlock()
	latency := storeLatency
	if silent {
		latency = timeout
	}
	select {
	case <-time.After(latency):
	case <-ctx.Done():
		return ctx.Err()
	}
	if silent {
		return &platform.UnavailableError{Op: op, Key: key, Cause: errors.ErrUnsupported}
	}
	return nil
}

// List implements platform.Kinds.
func (d *storeClient) List(ctx context.Context, kind string) (platform.Snapshot, error) {
	if err := d.awaitResponse(ctx, "list", kind, storeCallTimeout); err != nil {
		return platform.Snapshot{}, err
	}
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	out := platform.Snapshot{Revision: d.store.revision}
	for _, o := range d.store.objects[kind] {
		out.Objects = append(out.Objects, o)
	}
	return out, nil
}

// Watch implements platform.Kinds. If the client becomes silent while the watch waits, the response is
// lost.
func (d *storeClient) Watch(ctx context.Context, kind string, after platform.Version, wait time.Duration) (platform.Changes, error) {
	began, end := time.Now(), time.After(wait)
	if err := d.awaitResponse(ctx, "watch", kind, wait+watchTimeoutMargin); err != nil {
		return platform.Changes{}, err
	}
	for expired := false; ; {
		d.store.mu.Lock()
		out, changed, historyLost := platform.Changes{Revision: d.store.revision}, d.store.changed, after < d.store.truncatedAt
		for _, c := range d.store.history {
			if c.kind == kind && c.Version > after {
				out.Changes = append(out.Changes, platform.Change{NamedObject: c.NamedObject, Deleted: c.deleted})
			}
		}
		d.store.mu.Unlock()
		if historyLost {
			return platform.Changes{}, &platform.HistoryLostError{Kind: kind, After: after}
		}
		if expired || len(out.Changes) > 0 {
			d.mu.Lock()
			silent := d.silent
			d.mu.Unlock()
			if !silent {
				return out, nil
			}
			select {
			case <-time.After(wait + watchTimeoutMargin - time.Since(began)):
			case <-ctx.Done():
			}
			return platform.Changes{}, &platform.UnavailableError{Op: "watch", Key: kind, Cause: errors.ErrUnsupported}
		}
		select {
		case <-changed:
		case <-end:
			expired = true
		case <-ctx.Done():
			return platform.Changes{}, ctx.Err()
		}
	}
}

// Get implements platform.Kinds.
func (d *storeClient) Get(ctx context.Context, kind, name string) (platform.NamedObject, error) {
	if err := d.awaitResponse(ctx, "get", kind+"/"+name, storeCallTimeout); err != nil {
		return platform.NamedObject{}, err
	}
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	o, ok := d.store.objects[kind][name]
	if !ok {
		return o, &platform.NotFoundError{Key: kind + "/" + name}
	}
	return o, nil
}

// Put implements platform.Kinds.
func (d *storeClient) Put(ctx context.Context, kind, name string, value []byte, want platform.Version) (platform.Version, error) {
	if err := d.awaitResponse(ctx, "put", kind+"/"+name, storeCallTimeout); err != nil {
		return 0, err
	}
	version, err := d.store.put(kind, name, value, want)
	d.mu.Lock()
	delay := d.answerDelay
	d.mu.Unlock()
	time.Sleep(delay)
	return version, err
}

// put writes an object on condition of its version. A write of the present value changes nothing.
func (s *memoryStore) put(kind, name string, value []byte, want platform.Version) (platform.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	have := s.objects[kind][name]
	if have.Version != want {
		return 0, &platform.ConflictError{Key: kind + "/" + name, Want: want, Have: have.Version}
	}
	if have.Version != 0 && bytes.Equal(have.Value, value) {
		return have.Version, nil
	}
	return s.write(kind, name, value), nil
}

// jsonCodec is the codec of the in-memory store.
type jsonCodec struct{ Codec }

// Kinds of objects in the in-memory store, and the name of the configuration.
const (
	memoryConfigs  = "configs"
	memoryTargets  = "targets"
	memoryVersions = "versions"
	memoryConfig   = "main"
)

// storedConfig is the stored form of a configuration.
type storedConfig struct {
	Version uint64
	Keys    []string
}

// Kinds implements Codec.
func (jsonCodec) Kinds() (config, targets, versions string) {
	return memoryConfigs, memoryTargets, memoryVersions
}

// ConfigName implements Codec.
func (jsonCodec) ConfigName() string { return memoryConfig }

// DecodeConfig implements Codec.
func (jsonCodec) DecodeConfig(value []byte) (*catalog.Config, error) {
	var d storedConfig
	if err := json.Unmarshal(value, &d); err != nil {
		return nil, err
	}
	return catalog.NewConfig(catalog.ConfigSpec{Version: d.Version, Services: []catalog.Service{{Name: "s"}},
		Customers: []catalog.CustomerKeys{{Customer: catalog.Customer{Name: "one"}, Keys: d.Keys}}}), nil
}

// DecodeTarget implements Codec.
func (jsonCodec) DecodeTarget(name string, value []byte) (catalog.Target, error) {
	t := catalog.Target{Service: "s"}
	err := json.Unmarshal(value, &t)
	t.Name = name
	return t, err
}

// DecodeNamedVersion implements Codec.
func (jsonCodec) DecodeNamedVersion(name string, value []byte) (catalog.ModelVersion, error) {
	v, err := strconv.ParseUint(string(value), 10, 64)
	return catalog.ModelVersion{Model: name, Version: v}, err
}

// ParseRequest implements Codec.
func (jsonCodec) ParseRequest(http.Header) (CallerRequest, error) { return CallerRequest{}, nil }

// ProblemHeader implements Codec.
func (jsonCodec) ProblemHeader(http.Header, string, time.Duration) {}

// memoryFleet is a set of instances with their network and object store.
type memoryFleet struct {
	t            *testing.T
	net          *memoryNetwork
	store        *memoryStore
	gateways     []*Gateway
	storeClients []*storeClient
}

// newMemoryFleet starts n instances, spread over the zones, and waits until they all know one another.
func newMemoryFleet(t *testing.T, n, zones int) *memoryFleet {
	f := &memoryFleet{t: t, net: &memoryNetwork{listeners: map[string]*memoryListener{}}, store: newMemoryStore()}
	f.store.set(memoryConfigs, memoryConfig, storedConfig{Version: 1, Keys: []string{"key"}})
	f.store.set(memoryTargets, "i-1", catalog.Target{Address: "10.1.0.1:1"})
	for i := range n {
		f.add(fmt.Sprintf("e-%03d", i), fmt.Sprintf("z%d", i%zones))
	}
	for f.readyCount() < n {
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(5 * time.Second) // until the background work of startup is done
	return f
}

// add starts another instance.
func (f *memoryFleet) add(name, zone string) {
	set := (&Settings{Name: name, Zone: zone, CallerListen: name + ":1", ReadyListen: name + ":2", PeerListen: name + ":3",
		Seeds: []string{"e-000:3", "e-001:3", "e-002:3"}, PlatformAddress: "store:1"}).WithDefaults()
	d := &storeClient{store: f.store}
	g, err := New(set, Ports{Codec: jsonCodec{}, Store: d, Listen: f.net.listen, Dial: f.net.dialFrom(name)}, &log.Logger{Handler: discard.Default})
	if err != nil {
		f.t.Fatal(err)
	}
	g.Start()
	f.gateways, f.storeClients = append(f.gateways, g), append(f.storeClients, d)
}

// readyCount returns how many instances are ready and know all others as alive.
func (f *memoryFleet) readyCount() int {
	n := 0
	for _, g := range f.gateways {
		if g.Alive() == len(f.gateways) && g.Ready() {
			n++
		}
	}
	return n
}

// shutdownWait is longer than any operation that is still running when an instance ends.
const shutdownWait = time.Minute

// stop kills all instances and returns when all that they started has ended.
func (f *memoryFleet) stop() {
	for _, g := range f.gateways {
		g.Kill()
	}
	for _, g := range f.gateways {
		g.goroutines.Wait()
	}
	time.Sleep(shutdownWait)
}

// dialCaller opens a caller's connection to an instance.
func (f *memoryFleet) dialCaller(i int) net.Conn {
	conn, err := f.net.dialFrom("caller")(f.t.Context(), "memory", f.gateways[i].CallerAddr())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { conn.Close() })
	return conn
}

// indexesByRank returns the indexes of the instances, ordered by their rank for a role.
func (f *memoryFleet) indexesByRank(role string) []int {
	var names []string
	for _, m := range f.gateways[0].view.Load().Peers {
		if m.State == member.Alive {
			names = append(names, m.Name)
		}
	}
	out := make([]int, len(names))
	for i, g := range f.gateways {
		out[rankOf(names, g.settings().Name, role)] = i
	}
	return out
}
