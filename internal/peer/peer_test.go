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

// oneWay is a connection whose peer has sent some bytes and then nothing.
type oneWay struct{ io.Reader }

// Write swallows what this side says.
func (oneWay) Write(p []byte) (int, error) { return len(p), nil }

// Close does nothing.
func (oneWay) Close() error { return nil }

func frame(data []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)
}

// TestOversize: a message over the bound is refused by its announced size, and
// one that is announced but never sent costs no memory.
func TestOversize(t *testing.T) {
	is := is.New(t)
	var size *MessageSizeError
	big := binary.BigEndian.AppendUint32(nil, MaxMessage+1)
	is.True(errors.As(newFrames(oneWay{bytes.NewReader(big)}).read(nil), &size))

	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	announced := binary.BigEndian.AppendUint32(nil, MaxMessage)
	is.True(newFrames(oneWay{bytes.NewReader(announced)}).read(nil) != nil)
	runtime.ReadMemStats(&after)
	is.True(after.TotalAlloc-before.TotalAlloc < 1<<20)
}

// FuzzFrames: whatever bytes a peer sends, reading them ends in an error or a
// message, never in a panic.
func FuzzFrames(f *testing.F) {
	head, err := cbor.Marshal(head{Method: "Peer.Ping", Seq: 1})
	if err != nil {
		f.Fatal(err)
	}
	body, err := cbor.Marshal(Ping{From: member.Member{Name: "a", Address: "x"}, Updates: []member.Member{{Name: "b"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(append(frame(head), frame(body)...))
	f.Add(frame([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})) // an array of 2^64-1
	f.Add([]byte{0, 0, 0, 1})
	f.Fuzz(func(_ *testing.T, data []byte) {
		c := serverCodec{newFrames(oneWay{bytes.NewReader(data)})}
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

// BenchmarkPing is the size and cost of one probe's message.
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
