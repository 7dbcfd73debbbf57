package body_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/body"
)

// room is memory of a fixed size.
type room struct{ free, used, most int64 }

// Reserve implements body.Room.
func (r *room) Reserve(n int64) bool {
	if n > r.free {
		return false
	}
	r.free, r.used = r.free-n, r.used+n
	r.most = max(r.most, r.used)
	return true
}

// Release implements body.Room.
func (r *room) Release(n int64) { r.free, r.used = r.free+n, r.used-n }

// TestRead guards against bytes that are lost or changed between pieces, against room that is not given back, and
// against more room than a body needs: its bytes once, and a piece.
func TestRead(t *testing.T) {
	const piece = 64 << 10
	for _, size := range []int{0, 1, 4 << 10, 4<<10 + 1, 12 << 10, piece, 3*piece + 5, 1 << 20} {
		data := make([]byte, size)
		for i := range data {
			data[i] = byte(i * 7 >> 3)
		}
		for _, known := range []bool{true, false} {
			is := is.New(t)
			r := &room{free: 1 << 30}
			length := int64(-1)
			if known {
				length = int64(size)
			}
			b, err := body.Read(iotest.HalfReader(bytes.NewReader(data)), length, r)
			is.NoErr(err)
			is.Equal(b.Len(), size)
			if known {
				is.Equal(r.most, int64(size))
			} else {
				is.True(r.most <= 2*int64(size)+piece+4<<10)
			}
			read, err := io.ReadAll(b.Reader())
			is.NoErr(err)
			is.True(bytes.Equal(read, data))
			joined, err := b.Bytes()
			is.NoErr(err)
			is.True(bytes.Equal(joined, data))
			b.Close()
			is.Equal(r.used, int64(0))
		}
	}
}

// TestReadFails guards against a body that was cut off and is taken for whole, and against room that stays reserved for
// a body that could not be read.
func TestReadFails(t *testing.T) {
	is := is.New(t)
	data := make([]byte, 100<<10)
	r := &room{free: 1 << 20}
	_, err := body.Read(bytes.NewReader(data), int64(len(data))+1, r)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	_, err = body.Read(io.MultiReader(bytes.NewReader(data), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, r)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.Equal(r.used, int64(0))
	for _, length := range []int64{int64(len(data)), -1} {
		small := &room{free: 80 << 10}
		_, err = body.Read(bytes.NewReader(data), length, small)
		var full *body.FullError
		is.True(errors.As(err, &full))
		is.Equal(small.used, int64(0))
	}
}
