// Package keys loads TLS certificates from files and follows their changes:
// new connections get the new certificate, open ones go on undisturbed.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"
)

// Error says that a certificate, key or CA file can't be used.
type Error struct {
	File   string
	Reason string
	Cause  error
}

// Error implements error.
func (e *Error) Error() string {
	msg := "keys: " + e.File + ": " + e.Reason
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Files names one pair, and the CA of the other side where that must show a
// certificate too.
type Files struct {
	Cert, Key, CA string
}

// material is what the files held when they were last read whole.
type material struct {
	cert *tls.Certificate
	pool *x509.CertPool
}

// Source hands out TLS configurations that follow the files.
type Source struct {
	files Files
	check time.Duration
	now   func() time.Time

	mu     sync.Mutex
	cur    material
	stamp  [3]time.Time
	looked time.Time
	failed error
}

// DefaultCheck is how often the files are looked at, at most.
const DefaultCheck = time.Second

// Load reads the files; they must be usable now.
func Load(files Files, now func() time.Time) (*Source, error) {
	s := &Source{files: files, check: DefaultCheck, now: now}
	m, err := read(files)
	if err != nil {
		return nil, err
	}
	s.cur, s.stamp, s.looked = m, s.stamps(), now()
	return s, nil
}

func read(f Files) (material, error) {
	pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return material{}, &Error{File: f.Cert, Reason: "not a usable certificate and key", Cause: err}
	}
	m := material{cert: &pair}
	if f.CA == "" {
		return m, nil
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return material{}, &Error{File: f.CA, Reason: "not readable", Cause: err}
	}
	m.pool = x509.NewCertPool()
	if !m.pool.AppendCertsFromPEM(pem) {
		return material{}, &Error{File: f.CA, Reason: "holds no certificate"}
	}
	return m, nil
}

func (s *Source) stamps() [3]time.Time {
	var out [3]time.Time
	for i, f := range [...]string{s.files.Cert, s.files.Key, s.files.CA} {
		if st, err := os.Stat(f); err == nil {
			out[i] = st.ModTime()
		}
	}
	return out
}

// current returns the material, reading changed files again. Files that are
// half written leave the old material in use until they are whole.
func (s *Source) current() material {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.looked) < s.check {
		return s.cur
	}
	s.looked = now
	stamp := s.stamps()
	if stamp == s.stamp {
		return s.cur
	}
	m, err := read(s.files)
	s.failed = err
	if err == nil {
		s.cur, s.stamp = m, stamp
	}
	return s.cur
}

// Err is the failure of the last reload, nil if it succeeded.
func (s *Source) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// Server returns a configuration for a listener. With a CA it demands a
// certificate of the other side.
func (s *Source) Server() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		m := s.current()
		c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*m.cert}, NextProtos: []string{"http/1.1"}}
		if m.pool != nil {
			c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, m.pool
		}
		return c, nil
	}}
}

// Client returns a configuration for one dial. Peers are known by IP number
// and all certificates come from the fleet's own CA, so the chain is verified
// but no host name is.
func (s *Source) Client() *tls.Config {
	m := s.current()
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*m.cert},
		InsecureSkipVerify: true, VerifyConnection: func(cs tls.ConnectionState) error { return verifyChain(cs, m.pool) }}
}

func verifyChain(cs tls.ConnectionState, pool *x509.CertPool) error {
	if len(cs.PeerCertificates) == 0 {
		return &Error{File: "", Reason: "the other side shows no certificate"}
	}
	opts := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
	for _, c := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(opts)
	return err
}
