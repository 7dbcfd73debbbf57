// Package certs loads TLS certificates from files and reloads them when the files
// change. New connections use the new certificate, open ones are not affected.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"
)

// Error reports an unusable certificate, key or CA file, or a peer that presents
// no certificate.
type Error struct {
	File   string
	Reason string
	Cause  error
}

// Error implements error.
func (e *Error) Error() string {
	msg := "certs: " + e.File + ": " + e.Reason
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Files holds the paths of a certificate and its key. CA is the file of the
// authorities that peers' certificates are verified against; it is empty for a
// listener that demands no client certificates.
type Files struct {
	Cert, Key, CA string
}

// credentials is the parsed content of Files.
type credentials struct {
	cert *tls.Certificate
	pool *x509.CertPool
}

// Reloader returns TLS configurations with the current content of the files. It
// is safe for concurrent use.
type Reloader struct {
	files         Files
	checkInterval time.Duration
	now           func() time.Time

	mu        sync.Mutex
	loaded    credentials
	modTimes  [3]time.Time
	lastCheck time.Time
	reloadErr error
}

// DefaultCheckInterval is the minimum time between two checks for changed files.
const DefaultCheckInterval = time.Second

// Load reads the files. It fails if they are not usable.
func Load(files Files, now func() time.Time) (*Reloader, error) {
	s := &Reloader{files: files, checkInterval: DefaultCheckInterval, now: now}
	m, err := readFiles(files)
	if err != nil {
		return nil, err
	}
	s.loaded, s.modTimes, s.lastCheck = m, s.readModTimes(), now()
	return s, nil
}

func readFiles(f Files) (credentials, error) {
	pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return credentials{}, &Error{File: f.Cert, Reason: "not a usable certificate and key", Cause: err}
	}
	m := credentials{cert: &pair}
	if f.CA == "" {
		return m, nil
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return credentials{}, &Error{File: f.CA, Reason: "not readable", Cause: err}
	}
	m.pool = x509.NewCertPool()
	if !m.pool.AppendCertsFromPEM(pem) {
		return credentials{}, &Error{File: f.CA, Reason: "contains no certificate"}
	}
	return m, nil
}

func (s *Reloader) readModTimes() [3]time.Time {
	var out [3]time.Time
	for i, f := range [...]string{s.files.Cert, s.files.Key, s.files.CA} {
		if st, err := os.Stat(f); err == nil {
			out[i] = st.ModTime()
		}
	}
	return out
}

// current returns the credentials and reloads them first if a file has changed.
// If the new files are not usable, for instance because they are only partly
// written, the previous credentials stay in use and the next check tries again.
func (s *Reloader) current() credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.lastCheck) < s.checkInterval {
		return s.loaded
	}
	s.lastCheck = now
	modTimes := s.readModTimes()
	if modTimes == s.modTimes {
		return s.loaded
	}
	m, err := readFiles(s.files)
	s.reloadErr = err
	if err == nil {
		s.loaded, s.modTimes = m, modTimes
	}
	return s.loaded
}

// Err returns the error of the last reload, or nil if it succeeded.
func (s *Reloader) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reloadErr
}

// Server returns a configuration for a listener. If Files has a CA, clients must
// present a certificate that it issued.
func (s *Reloader) Server() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		m := s.current()
		c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*m.cert}, NextProtos: []string{"http/1.1"}}
		if m.pool != nil {
			c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, m.pool
		}
		return c, nil
	}}
}

// Client returns a configuration for one outgoing connection. It verifies the
// certificate chain but no host name, because peers are addressed by IP address
// and all certificates are issued by the fleet's own CA.
func (s *Reloader) Client() *tls.Config {
	m := s.current()
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*m.cert},
		InsecureSkipVerify: true, VerifyConnection: func(cs tls.ConnectionState) error { return verifyChain(cs, m.pool) }}
}

func verifyChain(cs tls.ConnectionState, pool *x509.CertPool) error {
	if len(cs.PeerCertificates) == 0 {
		return &Error{File: "", Reason: "peer presented no certificate"}
	}
	opts := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
	for _, c := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(opts)
	return err
}
