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

// role is a side of a connection, and what the connection is for.
type role string

// Values of role. A dialer chooses what its connection is for.
const (
	roleCaller     role = "dialer" // of a connection for calls
	roleTunnelUser role = "tunnel dialer"
	roleAcceptor   role = "acceptor"
)

// computeMAC returns the MAC that one side sends. It covers both nonces and the side's
// role, so that no MAC can be replayed in another role.
func computeMAC(secret []byte, r role, dialerNonce, acceptorNonce []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte("shedhoist/peer/1/" + string(r)))
	mac.Write(dialerNonce)
	mac.Write(acceptorNonce)
	return mac.Sum(nil)
}

// authenticateDialer runs the dialer's side of the shared-secret handshake on a new connection.
// Each side sends a nonce; then the dialer sends its MAC first, so that an unauthenticated dialer
// receives nothing that depends on the secret.
func authenticateDialer(conn net.Conn, secret []byte, r role) error {
	local, remote, err := exchangeNonces(conn)
	if err != nil {
		return authenticationFailed(conn, err)
	}
	if _, err := conn.Write(computeMAC(secret, r, local, remote)); err != nil {
		return authenticationFailed(conn, err)
	}
	_, err = verifyMAC(conn, secret, local, remote, roleAcceptor)
	return err
}

// authenticateAcceptor runs the acceptor's side of the handshake, and returns the dialer's role.
func authenticateAcceptor(conn net.Conn, secret []byte) (role, error) {
	local, remote, err := exchangeNonces(conn)
	if err != nil {
		return "", authenticationFailed(conn, err)
	}
	dialer, err := verifyMAC(conn, secret, remote, local, roleCaller, roleTunnelUser)
	if err != nil {
		return "", err
	}
	if _, err := conn.Write(computeMAC(secret, roleAcceptor, remote, local)); err != nil {
		return "", authenticationFailed(conn, err)
	}
	return dialer, nil
}

func authenticationFailed(conn net.Conn, cause error) error {
	return &AuthenticationError{Address: conn.RemoteAddr().String(), Cause: cause}
}

// exchangeNonces sets the handshake deadline and exchanges nonces with the remote side.
func exchangeNonces(conn net.Conn) (local, remote []byte, err error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, nil, err
	}
	local, remote = make([]byte, nonceSize), make([]byte, nonceSize)
	if _, err := rand.Read(local); err != nil {
		return nil, nil, err
	}
	if _, err := conn.Write(local); err != nil {
		return nil, nil, err
	}
	_, err = io.ReadFull(conn, remote)
	return local, remote, err
}

// verifyMAC reads the MAC of the remote side, compares it in constant time with those of the
// roles that the side may have, and clears the handshake deadline. It returns the side's role.
func verifyMAC(conn net.Conn, secret, dialerNonce, acceptorNonce []byte, allowed ...role) (role, error) {
	got := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, got); err != nil {
		return "", authenticationFailed(conn, err)
	}
	for _, r := range allowed {
		if !hmac.Equal(got, computeMAC(secret, r, dialerNonce, acceptorNonce)) {
			continue
		}
		if err := conn.SetDeadline(time.Time{}); err != nil {
			return "", authenticationFailed(conn, err)
		}
		return r, nil
	}
	return "", authenticationFailed(conn, nil)
}
