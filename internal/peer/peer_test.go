package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net/rpc"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/member"
)

// readOnlyConn is a connection whose peer sent some bytes and then nothing.
type readOnlyConn struct{ io.Reader }

// Write discards the data.
func (readOnlyConn) Write(p []byte) (int, error) { return len(p), nil }

// Close does nothing.
func (readOnlyConn) Close() error { return nil }

func encodeFrame(data []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)
}

// TestTextThatIsNotUTF8 guards against a message that peers can't read since one text in it, which a caller's header
// brought, is not UTF-8.
func TestTextThatIsNotUTF8(t *testing.T) {
	is := is.New(t)
	var sent bytes.Buffer
	is.NoErr(newFrameConn(struct {
		io.ReadCloser
		io.Writer
	}{io.NopCloser(&sent), &sent}).send("", header{Method: "m", Error: "part \xff\xfe"}))
	var got header
	is.NoErr(newFrameConn(readOnlyConn{&sent}).read(&got))
	is.Equal(got.Error, "part \xff\xfe")
}

// TestMessageSizeLimit checks that a message whose announced size exceeds the limit is
// refused, and that one which is announced but never sent allocates no memory.
func TestMessageSizeLimit(t *testing.T) {
	is := is.New(t)
	var size *MessageSizeError
	big := binary.BigEndian.AppendUint32(nil, MaxMessageBytes+1)
	is.True(errors.As(newFrameConn(readOnlyConn{bytes.NewReader(big)}).read(nil), &size))

	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	announced := binary.BigEndian.AppendUint32(nil, MaxMessageBytes)
	is.True(newFrameConn(readOnlyConn{bytes.NewReader(announced)}).read(nil) != nil)
	runtime.ReadMemStats(&after)
	is.True(after.TotalAlloc-before.TotalAlloc < 1<<20)
}

// FuzzFrames checks that any bytes from a peer are read as messages or fail with an
// error, and never cause a panic.
func FuzzFrames(f *testing.F) {
	head, err := cbor.Marshal(header{Method: "Peer.Ping", Seq: 1})
	if err != nil {
		f.Fatal(err)
	}
	body, err := cbor.Marshal(Ping{From: member.Member{Name: "a", Address: "x"}, Updates: []member.Member{{Name: "b"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(append(encodeFrame(head), encodeFrame(body)...))
	f.Add(encodeFrame([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})) // an array of 2^64-1
	f.Add([]byte{0, 0, 0, 1})
	f.Fuzz(func(_ *testing.T, data []byte) {
		c := serverCodec{newFrameConn(readOnlyConn{bytes.NewReader(data)})}
		var r rpc.Request
		for range 4 {
			if c.ReadRequestHeader(&r) != nil {
				return
			}
			var p Ping
			_ = c.ReadRequestBody(&p)
		}
	})
}

// BenchmarkPing measures the cost of encoding and decoding one probe, and its size.
func BenchmarkPing(b *testing.B) {
	p := Ping{From: member.Member{Name: "entry-101", Address: "10.20.30.40:7000", Zone: "dar-a", Incarnation: 1 << 40}, Generation: 1800}
	for i := range 8 {
		m := p.From
		m.Incarnation += uint64(i)
		p.Updates = append(p.Updates, m)
	}
	b.ReportAllocs()
	for b.Loop() {
		data, err := cbor.Marshal(p)
		if err != nil {
			b.Fatal(err)
		}
		var out Ping
		if err := decMode.Unmarshal(data, &out); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "bytes/message")
	}
}
