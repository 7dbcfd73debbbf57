package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/atmostonce"
	"github.com/shedhoist/shedhoist/internal/core/limit"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/observe"
	"github.com/shedhoist/shedhoist/internal/explain"
)

// TLSConfig gives the configurations of both sides of a connection.
type TLSConfig interface {
	Server() *tls.Config
	Client() *tls.Config
}

// Ping probes a peer and carries news both ways.
type Ping struct {
	From       member.Member    `cbor:"1,keyasint"`
	Generation uint64           `cbor:"2,keyasint"`
	Updates    []member.Member  `cbor:"3,keyasint"`
	Join       bool             `cbor:"4,keyasint,omitempty"` // answer with all members and targets
	Targets    []observe.Digest `cbor:"5,keyasint,omitempty"`
	Demand     []limit.Demand   `cbor:"6,keyasint,omitempty"`
}

// Pong is the answer to a Ping.
type Pong struct {
	Generation uint64           `cbor:"1,keyasint"`
	Updates    []member.Member  `cbor:"2,keyasint"`
	Targets    []observe.Digest `cbor:"3,keyasint,omitempty"`
	Demand     []limit.Demand   `cbor:"4,keyasint,omitempty"`
}

// Indirect asks a peer to probe another one.
type Indirect struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// Reached is the answer to an Indirect.
type Reached struct {
	OK bool `cbor:"1,keyasint"`
}

// ConfigRequest asks for the generation in force at a peer, without the
// buckets that the asker has.
type ConfigRequest struct {
	Have []string `cbor:"1,keyasint"` // hashes
}

// ConfigReply is a generation: its head as stored, and the missing buckets.
type ConfigReply struct {
	Head    []byte            `cbor:"1,keyasint"` // JSON; empty: none in force
	Buckets map[string][]byte `cbor:"2,keyasint"` // by hash
}

// Explain asks for a why-record.
type Explain struct {
	ID string `cbor:"1,keyasint"`
}

// Explained is the answer to Explain.
type Explained struct {
	Record *explain.Record `cbor:"1,keyasint"` // nil: not known here
}

// StatusRequest asks a peer for its state in brief.
type StatusRequest struct{}

// Status is a peer's state in brief.
type Status struct {
	Name       string `cbor:"1,keyasint" json:"name"`
	Zone       string `cbor:"2,keyasint" json:"zone"`
	Generation uint64 `cbor:"3,keyasint" json:"generation"`
	Ready      bool   `cbor:"4,keyasint" json:"ready"`
	Draining   bool   `cbor:"5,keyasint" json:"draining"`
	InHand     int64  `cbor:"6,keyasint" json:"requests_in_hand"`
	PlatformOK bool   `cbor:"7,keyasint" json:"platform_ok"`
	Version    string `cbor:"8,keyasint" json:"version"`
}

// Claim asks a keeper to make a claim durable.
type Claim struct {
	Entry atmostonce.Entry `cbor:"1,keyasint"`
}

// Claimed is the answer to a Claim.
type Claimed struct {
	Verdict atmostonce.Verdict  `cbor:"1,keyasint"`
	Outcome *atmostonce.Outcome `cbor:"2,keyasint,omitempty"`
}

// Settle brings a keeper a claim's outcome.
type Settle struct {
	ID      atmostonce.ID      `cbor:"1,keyasint"`
	Nonce   atmostonce.Nonce   `cbor:"2,keyasint"`
	Outcome atmostonce.Outcome `cbor:"3,keyasint"`
}

// Settled is the answer to a Settle.
type Settled struct{}

// Handler answers peers. Its methods are called from many goroutines.
type Handler interface {
	Ping(Ping) Pong
	Config(ConfigRequest) (ConfigReply, error)
	Explain(id string) *explain.Record
	Status() Status
	Claim(Claim) (Claimed, error)
	Settle(Settle)
}

// service is the net/rpc face of a Handler. net/rpc wants these signatures.
type service struct {
	h    Handler
	pool *Pool
}

// Ping answers a probe.
func (s *service) Ping(req *Ping, out *Pong) error {
	*out = s.h.Ping(*req)
	return nil
}

// Indirect probes another peer for the asker.
func (s *service) Indirect(req *Indirect, out *Reached) error {
	ctx, cancel := context.WithTimeout(context.Background(), indirectTimeout)
	defer cancel()
	var st Status
	out.OK = s.pool.Call(ctx, req.Address, "Peer.Status", &StatusRequest{}, &st) == nil && st.Name == req.Name
	return nil
}

// Config hands out the generation in force.
func (s *service) Config(req *ConfigRequest, out *ConfigReply) (err error) {
	*out, err = s.h.Config(*req)
	return err
}

// Explain looks up a why-record.
func (s *service) Explain(req *Explain, out *Explained) error {
	out.Record = s.h.Explain(req.ID)
	return nil
}

// Claim makes a claim durable for a peer.
func (s *service) Claim(req *Claim, out *Claimed) (err error) {
	*out, err = s.h.Claim(*req)
	return err
}

// Settle takes a claim's outcome from a peer.
func (s *service) Settle(req *Settle, _ *Settled) error {
	s.h.Settle(*req)
	return nil
}

// Status tells this instance's state.
func (s *service) Status(_ *StatusRequest, out *Status) error {
	*out = s.h.Status()
	return nil
}

// Bounds of calls between peers.
const (
	indirectTimeout = 500 * time.Millisecond
	idleClose       = time.Minute
	maxInbound      = 1024 // connections accepted at once
)

// Server accepts peers.
type Server struct {
	rpc   *rpc.Server
	sec   Security
	slots chan struct{}
	mu    sync.Mutex
	conns map[net.Conn]bool
	done  bool
}

// NewServer answers peers by h. Indirect probes go out through pool.
func NewServer(h Handler, sec Security, pool *Pool) (*Server, error) {
	return NewServerOf("Peer", &service{h: h, pool: pool}, sec)
}

// NewServerOf answers peers by a receiver of net/rpc's kind, under name.
func NewServerOf(name string, receiver any, sec Security) (*Server, error) {
	s := &Server{rpc: rpc.NewServer(), sec: sec, slots: make(chan struct{}, maxInbound), conns: map[net.Conn]bool{}}
	return s, s.rpc.RegisterName(name, receiver)
}

// Serve accepts on ln until it is closed.
func (s *Server) Serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		select {
		case s.slots <- struct{}{}:
			go s.serve(conn)
		default:
			conn.Close()
		}
	}
}

func (s *Server) serve(conn net.Conn) {
	defer func() { <-s.slots }()
	defer conn.Close()
	if !s.track(conn, true) {
		return
	}
	defer s.track(conn, false)
	secured, err := s.secure(conn)
	if err != nil {
		return
	}
	s.rpc.ServeCodec(serverCodec{newFrames(idleConn{secured})})
}

// track keeps the open connections, to close them when the server closes.
func (s *Server) track(conn net.Conn, open bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open && s.done {
		return false
	}
	if open {
		s.conns[conn] = true
	} else {
		delete(s.conns, conn)
	}
	return true
}

// Close cuts all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	for c := range s.conns {
		c.Close()
	}
}

func (s *Server) secure(conn net.Conn) (net.Conn, error) {
	if s.sec.TLS == nil {
		return conn, prove(conn, s.sec.Secret, false)
	}
	t := tls.Server(conn, s.sec.TLS.Server())
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	return t, t.HandshakeContext(ctx)
}

// idleConn closes a connection that says nothing for a while.
type idleConn struct{ net.Conn }

// Read implements io.Reader.
func (c idleConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleClose)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}
