package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/atmostonce"
	"github.com/shedhoist/shedhoist/internal/core/limit"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/observe"
	"github.com/shedhoist/shedhoist/internal/explain"
	"github.com/shedhoist/shedhoist/internal/metric"
)

// TLSConfig provides the TLS configurations of both sides of a connection.
type TLSConfig interface {
	Server() *tls.Config
	Client() *tls.Config
}

// Ping probes a peer and carries membership, target and demand updates.
type Ping struct {
	From       member.Member    `cbor:"1,keyasint"`
	Generation uint64           `cbor:"2,keyasint"`
	Updates    []member.Member  `cbor:"3,keyasint"`
	Join       bool             `cbor:"4,keyasint,omitempty"` // the reply shall list all members and targets
	Targets    []observe.Digest `cbor:"5,keyasint,omitempty"`
	Demand     []limit.Demand   `cbor:"6,keyasint,omitempty"`
}

// Pong is the reply to a Ping, with updates in the other direction.
type Pong struct {
	Generation uint64           `cbor:"1,keyasint"`
	Updates    []member.Member  `cbor:"2,keyasint"`
	Targets    []observe.Digest `cbor:"3,keyasint,omitempty"`
	Demand     []limit.Demand   `cbor:"4,keyasint,omitempty"`
}

// IndirectRequest asks a peer to probe another peer.
type IndirectRequest struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// IndirectReply is the reply to an IndirectRequest.
type IndirectReply struct {
	Reachable bool `cbor:"1,keyasint"`
}

// ConfigRequest asks a peer for the generation that it has in force, without the buckets
// that the requester already holds.
type ConfigRequest struct {
	KnownBuckets []string `cbor:"1,keyasint"` // hashes of the buckets that the requester holds
}

// ConfigReply holds a generation: its head as stored, and the missing buckets.
type ConfigReply struct {
	Head    []byte            `cbor:"1,keyasint"` // JSON; empty: none in force
	Buckets map[string][]byte `cbor:"2,keyasint"` // by hash
}

// ExplainRequest asks a peer for the record that explains a request.
type ExplainRequest struct {
	ID string `cbor:"1,keyasint"`
}

// ExplainReply is the reply to an ExplainRequest.
type ExplainReply struct {
	Record *explain.Record `cbor:"1,keyasint"` // nil: the peer has no record
}

// StatusRequest asks a peer for a summary of its state.
type StatusRequest struct{}

// Status summarizes the state of a peer.
type Status struct {
	Name       string `cbor:"1,keyasint" json:"name"`
	Zone       string `cbor:"2,keyasint" json:"zone"`
	Generation uint64 `cbor:"3,keyasint" json:"generation"`
	Ready      bool   `cbor:"4,keyasint" json:"ready"`
	Draining   bool   `cbor:"5,keyasint" json:"draining"`
	InFlight   int64  `cbor:"6,keyasint" json:"requests_in_hand"`
	PlatformOK bool   `cbor:"7,keyasint" json:"platform_ok"`
	Version    string `cbor:"8,keyasint" json:"version"`
}

// ClaimRequest asks a ledger keeper to make a claim durable.
type ClaimRequest struct {
	Entry atmostonce.Entry `cbor:"1,keyasint"`
}

// ClaimReply is the reply to a ClaimRequest.
type ClaimReply struct {
	Verdict atmostonce.Verdict  `cbor:"1,keyasint"`
	Outcome *atmostonce.Outcome `cbor:"2,keyasint,omitempty"`
}

// SettleRequest sends the outcome of a claim to a ledger keeper.
type SettleRequest struct {
	ID      atmostonce.ID      `cbor:"1,keyasint"`
	Nonce   atmostonce.Nonce   `cbor:"2,keyasint"`
	Outcome atmostonce.Outcome `cbor:"3,keyasint"`
}

// SettleReply is the empty reply to a SettleRequest.
type SettleReply struct{}

// Handler handles calls from peers. Its methods must be safe for concurrent use.
type Handler interface {
	Ping(Ping) Pong
	Config(ConfigRequest) (ConfigReply, error)
	Explain(id string) *explain.Record
	Status() Status
	Claim(ClaimRequest) (ClaimReply, error)
	Settle(SettleRequest)
}

// rpcService exposes a Handler with the method signatures that net/rpc requires.
type rpcService struct {
	handler Handler
	pool    *Pool
}

// Ping handles a probe.
func (s *rpcService) Ping(req *Ping, out *Pong) error {
	*out = s.handler.Ping(*req)
	return nil
}

// Indirect probes another peer on behalf of the caller.
func (s *rpcService) Indirect(req *IndirectRequest, out *IndirectReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), indirectTimeout)
	defer cancel()
	var st Status
	out.Reachable = s.pool.Call(ctx, req.Address, "Peer.Status", &StatusRequest{}, &st) == nil && st.Name == req.Name
	return nil
}

// Config returns the generation in force.
func (s *rpcService) Config(req *ConfigRequest, out *ConfigReply) (err error) {
	*out, err = s.handler.Config(*req)
	return err
}

// Explain returns the record that explains a request.
func (s *rpcService) Explain(req *ExplainRequest, out *ExplainReply) error {
	out.Record = s.handler.Explain(req.ID)
	return nil
}

// Claim makes a claim durable on behalf of a peer.
func (s *rpcService) Claim(req *ClaimRequest, out *ClaimReply) (err error) {
	*out, err = s.handler.Claim(*req)
	return err
}

// Settle records the outcome of a claim.
func (s *rpcService) Settle(req *SettleRequest, _ *SettleReply) error {
	s.handler.Settle(*req)
	return nil
}

// Status returns the state of this instance.
func (s *rpcService) Status(_ *StatusRequest, out *Status) error {
	*out = s.handler.Status()
	return nil
}

// Limits on calls and connections between peers.
const (
	indirectTimeout = 500 * time.Millisecond
	idleTimeout     = time.Minute
	maxInboundConns = 1024 // open connections from peers, unless SetMaxConns sets another number
)

// Server accepts connections from peers and serves their calls.
type Server struct {
	rpc      *rpc.Server
	security Security

	mu        sync.Mutex
	conns     map[net.Conn]bool
	strangers []net.Conn // of conns: not authenticated yet, the oldest first
	maxConns  int
	closed    bool

	openTunnel OpenTunnelFunc // nil: peers get no tunnels
}

// NewServer returns a server that passes calls to h. It sends indirect probes through pool.
func NewServer(h Handler, sec Security, pool *Pool) (*Server, error) {
	return NewServerFor("Peer", &rpcService{handler: h, pool: pool}, sec)
}

// NewServerFor returns a server for a net/rpc receiver, registered under name.
func NewServerFor(name string, receiver any, sec Security) (*Server, error) {
	s := &Server{rpc: rpc.NewServer(), security: sec, maxConns: maxInboundConns, conns: map[net.Conn]bool{}}
	return s, s.rpc.RegisterName(name, receiver)
}

// SetMaxConns limits the open connections from peers. It must be called before Serve.
func (s *Server) SetMaxConns(n int) { s.maxConns = n }

// acceptPause is the pause after a temporary error of Accept, for example too many open files.
const acceptPause = 50 * time.Millisecond

// Serve accepts connections on ln until it is closed.
func (s *Server) Serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		var failed interface{ Temporary() bool }
		if errors.As(err, &failed) && failed.Temporary() {
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			return err
		}
		if s.admit(conn) {
			go s.serve(conn)
		} else {
			conn.Close()
		}
	}
}

func (s *Server) serve(conn net.Conn) {
	defer s.forget(conn)
	defer conn.Close()
	secured, dialer, err := s.secure(conn)
	if err != nil {
		return
	}
	s.noteAuthenticated(conn)
	if dialer == roleTunnelUser {
		s.serveTunnel(secured)
		return
	}
	s.rpc.ServeCodec(serverCodec{newFrameConn(idleConn{secured})})
}

// admit tracks a new connection, so that Close can close it. Where there are too many, it closes the one that has gone
// longest without authentication: a peer needs some round trips for it, and strangers can't keep peers out. It returns
// false if there is no room, or the server is closed.
func (s *Server) admit(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if len(s.conns) >= s.maxConns {
		if len(s.strangers) == 0 {
			return false
		}
		oldest := s.strangers[0]
		s.strangers = s.strangers[1:]
		delete(s.conns, oldest)
		oldest.Close()
		metric.PeerStrangersClosed.Inc()
	}
	s.conns[conn] = true
	s.strangers = append(s.strangers, conn)
	return true
}

// noteAuthenticated notes that a connection is a peer's.
func (s *Server) noteAuthenticated(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.strangers = slices.DeleteFunc(s.strangers, func(c net.Conn) bool { return c == conn })
}

// forget ends the tracking of a connection.
func (s *Server) forget(conn net.Conn) {
	s.noteAuthenticated(conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Close closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
}

func (s *Server) secure(conn net.Conn) (net.Conn, role, error) {
	if s.security.TLS == nil {
		dialer, err := authenticateAcceptor(conn, s.security.Secret)
		return conn, dialer, err
	}
	t := tls.Server(conn, s.security.TLS.Server())
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	return t, roleCaller, t.HandshakeContext(ctx)
}

// idleConn is a connection whose reads time out after idleTimeout.
type idleConn struct{ net.Conn }

// Read implements io.Reader.
func (c idleConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}
