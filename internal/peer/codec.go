// Package peer connects the system's own instances: net/rpc over TCP with CBOR
// (RFC 8949) messages of bounded size, a timeout for every call, and mutual
// authentication on every connection, by TLS or by a shared secret.
package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"net/rpc"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"github.com/shedhoist/shedhoist/internal/metric"
)

// MaxMessageBytes is the maximum size of one message between peers. The largest is the
// configuration sent to an instance that has just started.
const MaxMessageBytes = 16 << 20

// Limits on the decoded size of one message.
const (
	maxCollectionLength = 1 << 18
	maxNestedLevels     = 16
)

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: maxCollectionLength, MaxMapPairs: maxCollectionLength,
		MaxNestedLevels: maxNestedLevels, IndefLength: cbor.IndefLengthForbidden, UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}

// MessageSizeError says that a message exceeds MaxMessageBytes.
type MessageSizeError struct{ Size uint32 }

// Error implements error.
func (e *MessageSizeError) Error() string {
	return "peer: message of " + strconv.FormatUint(uint64(e.Size), 10) + " bytes is too large"
}

// frameConn reads and writes length-prefixed CBOR messages on one connection.
type frameConn struct {
	conn io.ReadWriteCloser
	r    *bufio.Reader
	w    *bufio.Writer
	buf  []byte
}

// frameBufferSize is the size in bytes of the read and write buffer of a connection.
const frameBufferSize = 4 << 10

func newFrameConn(conn io.ReadWriteCloser) *frameConn {
	return &frameConn{conn: conn, r: bufio.NewReaderSize(conn, frameBufferSize), w: bufio.NewWriterSize(conn, frameBufferSize)}
}

func (f *frameConn) write(method string, v any) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	if len(data) > MaxMessageBytes {
		return &MessageSizeError{Size: uint32(len(data))}
	}
	var prefix [4]byte
	binary.BigEndian.PutUint32(prefix[:], uint32(len(data)))
	metric.PeerBytes.Add(len(prefix) + len(data))
	metric.PeerMessages.Inc()
	metric.PeerCallBytes(method).Add(len(prefix) + len(data))
	if _, err := f.w.Write(prefix[:]); err != nil {
		return err
	}
	_, err = f.w.Write(data)
	return err
}

// send writes one message and flushes it.
func (f *frameConn) send(method string, v any) error {
	if err := f.write(method, v); err != nil {
		return err
	}
	return f.w.Flush()
}

// read decodes the next message into v; if v is nil, it discards the message. The buffer
// grows only as data arrives, so an announced size alone allocates no memory.
func (f *frameConn) read(v any) error {
	var prefix [4]byte
	if _, err := io.ReadFull(f.r, prefix[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > MaxMessageBytes {
		return &MessageSizeError{Size: size}
	}
	f.buf = f.buf[:0]
	for uint32(len(f.buf)) < size {
		step := min(size-uint32(len(f.buf)), frameBufferSize)
		start := len(f.buf)
		f.buf = append(f.buf, make([]byte, step)...)
		if _, err := io.ReadFull(f.r, f.buf[start:]); err != nil {
			return err
		}
	}
	if v == nil {
		return nil
	}
	err := decMode.Unmarshal(f.buf, v)
	if cap(f.buf) > 1<<20 {
		f.buf = nil
	}
	return err
}

// header is the header of net/rpc requests and responses.
type header struct {
	Method string `cbor:"1,keyasint,omitempty"`
	Seq    uint64 `cbor:"2,keyasint"`
	Error  string `cbor:"3,keyasint,omitempty"`
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct{ *frameConn }

// WriteRequest implements rpc.ClientCodec.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	if err := c.write(r.ServiceMethod, header{Method: r.ServiceMethod, Seq: r.Seq}); err != nil {
		return err
	}
	return c.send(r.ServiceMethod, body)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	var h header
	if err := c.read(&h); err != nil {
		return err
	}
	r.ServiceMethod, r.Seq, r.Error = h.Method, h.Seq, h.Error
	return nil
}

// ReadResponseBody implements rpc.ClientCodec.
func (c clientCodec) ReadResponseBody(body any) error { return c.read(body) }

// Close implements rpc.ClientCodec.
func (c clientCodec) Close() error { return c.conn.Close() }

// serverCodec implements rpc.ServerCodec.
type serverCodec struct{ *frameConn }

// ReadRequestHeader implements rpc.ServerCodec.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	var h header
	if err := c.read(&h); err != nil {
		return err
	}
	r.ServiceMethod, r.Seq = h.Method, h.Seq
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c serverCodec) ReadRequestBody(body any) error { return c.read(body) }

// WriteResponse implements rpc.ServerCodec.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	if err := c.write(r.ServiceMethod, header{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}); err != nil {
		return err
	}
	return c.send(r.ServiceMethod, body)
}

// Close implements rpc.ServerCodec.
func (c serverCodec) Close() error { return c.conn.Close() }
