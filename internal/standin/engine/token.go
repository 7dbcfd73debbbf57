package engine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Token returns the n-th token that an engine generates for a prompt.
func Token(canonical string, version, adapter string, n int) string {
	sum := sha256.Sum256([]byte(canonical))
	return tokenOf(sum, version, adapter, n)
}

func token(j *job, n int) string {
	return tokenOf(sha256.Sum256([]byte(j.canonical)), j.version, j.ext.Adapter, n)
}

func tokenOf(sum [sha256.Size]byte, version, adapter string, n int) string {
	h := sha256.New()
	h.Write(sum[:])
	h.Write([]byte(version + "\x00" + adapter))
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(n))
	h.Write(b[:])
	return " " + hex.EncodeToString(h.Sum(nil)[:3])
}
