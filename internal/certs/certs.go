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

// credentials is the parsed content of Files. The pool is nil without a CA file.
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
	r := &Reloader{files: files, checkInterval: DefaultCheckInterval, now: now}
	creds, err := readFiles(files)
	if err != nil {
		return nil, err
	}
	r.loaded, r.modTimes, r.lastCheck = creds, r.readModTimes(), now()
	return r, nil
}

func readFiles(f Files) (credentials, error) {
	pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return credentials{}, &Error{File: f.Cert, Reason: "not a usable certificate and key", Cause: err}
	}
	creds := credentials{cert: &pair}
	if f.CA == "" {
		return creds, nil
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return credentials{}, &Error{File: f.CA, Reason: "not readable", Cause: err}
	}
	creds.pool = x509.NewCertPool()
	if !creds.pool.AppendCertsFromPEM(pem) {
		return credentials{}, &Error{File: f.CA, Reason: "contains no certificate"}
	}
	return creds, nil
}

// readModTimes returns the modification times of Cert, Key and CA, and the zero time
// for a file that can't be accessed.
func (r *Reloader) readModTimes() [3]time.Time {
	var out [3]time.Time
	for i, f := range [...]string{r.files.Cert, r.files.Key, r.files.CA} {
		if st, err := os.Stat(f); err == nil {
			out[i] = st.ModTime()
		}
	}
	return out
}

// current returns the credentials and reloads them first if a file has changed.
// If the new files are not usable, for instance because they are only partly
// written, the previous credentials stay in use and the next check tries again.
func (r *Reloader) current() credentials {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if now.Sub(r.lastCheck) < r.checkInterval {
		return r.loaded
	}
	r.lastCheck = now
	modTimes := r.readModTimes()
	if modTimes == r.modTimes {
		return r.loaded
	}
	creds, err := readFiles(r.files)
	r.reloadErr = err
	if err == nil {
		r.loaded, r.modTimes = creds, modTimes
	}
	return r.loaded
}

// Err returns the error of the last reload, or nil if it succeeded.
func (r *Reloader) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reloadErr
}

// Server returns a configuration for a listener. If Files has a CA, clients must
// present a certificate that it issued.
func (r *Reloader) Server() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		creds := r.current()
		c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*creds.cert}, NextProtos: []string{"http/1.1"}}
		if creds.pool != nil {
			c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, creds.pool
		}
		return c, nil
	}}
}

// Client returns a configuration for one outgoing connection. It verifies the
// certificate chain but no host name, because peers are addressed by IP address
// and all certificates are issued by the fleet's own CA.
func (r *Reloader) Client() *tls.Config {
	creds := r.current()
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*creds.cert},
		InsecureSkipVerify: true, VerifyConnection: func(cs tls.ConnectionState) error { return verifyChain(cs, creds.pool) }}
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
