package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"
)

// Security is how peers prove who they are. With TLS set its certificates are
// the proof; else both sides show that they know Secret, without sending it.
type Security struct {
	Secret []byte
	TLS    TLSConfig // nil: plain TCP
}

// handshakeTimeout bounds the proof on a new connection.
const handshakeTimeout = 2 * time.Second

// IdentityError says that the other side did not prove that it is a peer.
type IdentityError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *IdentityError) Error() string {
	msg := "peer: " + e.Address + " did not prove that it is a peer"
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *IdentityError) Unwrap() error { return e.Cause }

const nonceSize = 32

// proof binds the answer to both nonces and to the side that gives it, so that
// neither side's proof can be played back as the other's.
func proof(secret []byte, side string, a, b []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte("shedhoist/peer/1/" + side))
	mac.Write(a)
	mac.Write(b)
	return mac.Sum(nil)
}

// prove runs the shared-secret proof on a fresh connection. Each side sends a
// nonce; then the dialer proves first, so that a stranger who dials learns
// nothing that depends on the secret.
func prove(conn net.Conn, secret []byte, dialer bool) error {
	fail := func(err error) error { return &IdentityError{Address: conn.RemoteAddr().String(), Cause: err} }
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return fail(err)
	}
	mine, theirs := make([]byte, nonceSize), make([]byte, nonceSize)
	if _, err := rand.Read(mine); err != nil {
		return fail(err)
	}
	if _, err := conn.Write(mine); err != nil {
		return fail(err)
	}
	if _, err := io.ReadFull(conn, theirs); err != nil {
		return fail(err)
	}
	d, a := mine, theirs
	if !dialer {
		d, a = theirs, mine
	}
	dialerProof, acceptorProof := proof(secret, "dialer", d, a), proof(secret, "acceptor", d, a)
	if dialer {
		if _, err := conn.Write(dialerProof); err != nil {
			return fail(err)
		}
		return checkThenClear(conn, acceptorProof, fail)
	}
	if err := checkThenClear(conn, dialerProof, fail); err != nil {
		return err
	}
	if _, err := conn.Write(acceptorProof); err != nil {
		return fail(err)
	}
	return nil
}

func checkThenClear(conn net.Conn, want []byte, fail func(error) error) error {
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
