package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"
)

// Security holds the credentials for mutual authentication of peers. If TLS is set, its
// certificates authenticate both sides; otherwise both sides prove knowledge of Secret
// without sending it.
type Security struct {
	Secret []byte
	TLS    TLSConfig // nil: plain TCP
}

// handshakeTimeout bounds the authentication of a new connection.
const handshakeTimeout = 2 * time.Second

// AuthenticationError reports that the remote side was not authenticated as a peer.
type AuthenticationError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *AuthenticationError) Error() string {
	msg := "peer: " + e.Address + " failed authentication"
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *AuthenticationError) Unwrap() error { return e.Cause }

// nonceSize is the length of a nonce in bytes.
const nonceSize = 32

// computeMAC returns the MAC that one side sends. It covers both nonces and the side's
// role, "dialer" or "acceptor", so that neither side's MAC can be replayed as the other's.
func computeMAC(secret []byte, role string, dialerNonce, acceptorNonce []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte("shedhoist/peer/1/" + role))
	mac.Write(dialerNonce)
	mac.Write(acceptorNonce)
	return mac.Sum(nil)
}

// authenticate runs the shared-secret handshake on a new connection. Each side sends a
// nonce; then the dialer sends its MAC first, so that an unauthenticated dialer receives
// nothing that depends on the secret.
func authenticate(conn net.Conn, secret []byte, dialer bool) error {
	fail := func(err error) error { return &AuthenticationError{Address: conn.RemoteAddr().String(), Cause: err} }
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return fail(err)
	}
	localNonce, remoteNonce := make([]byte, nonceSize), make([]byte, nonceSize)
	if _, err := rand.Read(localNonce); err != nil {
		return fail(err)
	}
	if _, err := conn.Write(localNonce); err != nil {
		return fail(err)
	}
	if _, err := io.ReadFull(conn, remoteNonce); err != nil {
		return fail(err)
	}
	dialerNonce, acceptorNonce := localNonce, remoteNonce
	if !dialer {
		dialerNonce, acceptorNonce = remoteNonce, localNonce
	}
	dialerMAC, acceptorMAC := computeMAC(secret, "dialer", dialerNonce, acceptorNonce), computeMAC(secret, "acceptor", dialerNonce, acceptorNonce)
	if dialer {
		if _, err := conn.Write(dialerMAC); err != nil {
			return fail(err)
		}
		return verifyMAC(conn, acceptorMAC, fail)
	}
	if err := verifyMAC(conn, dialerMAC, fail); err != nil {
		return err
	}
	if _, err := conn.Write(acceptorMAC); err != nil {
		return fail(err)
	}
	return nil
}

// verifyMAC reads the MAC of the remote side, compares it in constant time and clears
// the handshake deadline.
func verifyMAC(conn net.Conn, want []byte, fail func(error) error) error {
	got := make([]byte, len(want))
	if _, err := io.ReadFull(conn, got); err != nil {
		return fail(err)
	}
	if !hmac.Equal(got, want) {
		return fail(nil)
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return fail(err)
	}
	return nil
}
