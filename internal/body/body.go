// Package body reads request bodies of limited size into memory of limited size.
package body

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/shedhoist/shedhoist/internal/problem"
)

// Room is the memory that a body may use. Both methods take a number of bytes.
type Room interface {
	Reserve(n int64) bool // false if there is no room
	Release(n int64)
}

// FullError reports that there is no room for a body.
type FullError struct{}

// Error implements error.
func (*FullError) Error() string {
	return "the requests in hand use up this instance's memory for them"
}

// Sizes in bytes of the pieces of a body.
const (
	firstPiece = 4 << 10 // of a body of unknown length
	maxPiece   = 64 << 10
)

// Body is a request body, held in pieces: it grows without being copied, so that it never needs room for an old and a
// new half. The nil Body is empty.
type Body struct {
	pieces   [][]byte
	size     int64
	reserved int64
	room     Room
}

// Read reads to the end of r, or exactly size bytes if size is not negative. It reserves room for each piece before it
// reads it. If it fails, nothing remains reserved.
func Read(r io.Reader, size int64, room Room) (*Body, error) {
	b := &Body{room: room}
	var err error
	if size >= 0 {
		err = b.readExactly(r, size)
	} else {
		err = b.readAll(r)
	}
	if err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

// readExactly reads size bytes.
func (b *Body) readExactly(r io.Reader, size int64) error {
	for b.size < size {
		piece, err := b.grow(min(size-b.size, maxPiece))
		if err != nil {
			return err
		}
		n, err := io.ReadFull(r, piece)
		b.add(piece[:n])
		if err != nil {
			return err
		}
	}
	return nil
}

// readAll reads to the end.
func (b *Body) readAll(r io.Reader) error {
	for next := int64(firstPiece); ; next = min(2*next, maxPiece) {
		piece, err := b.grow(next)
		if err != nil {
			return err
		}
		n, err := fill(r, piece)
		b.add(piece[:n])
		if n == 0 {
			b.room.Release(next)
			b.reserved -= next
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// fill reads until p is full, or r returns an error. Unlike io.ReadFull it returns the errors of r as they are: io.EOF is
// the end, io.ErrUnexpectedEOF a body that was cut off.
func fill(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var more int
		more, err = r.Read(p[n:])
		n += more
	}
	return n, err
}

// grow reserves and returns n bytes.
func (b *Body) grow(n int64) ([]byte, error) {
	if !b.room.Reserve(n) {
		return nil, &FullError{}
	}
	b.reserved += n
	return make([]byte, n), nil
}

func (b *Body) add(piece []byte) {
	if len(piece) > 0 {
		b.pieces = append(b.pieces, piece)
		b.size += int64(len(piece))
	}
}

// Close returns the room. The body can't be used afterwards.
func (b *Body) Close() {
	if b != nil {
		b.room.Release(b.reserved)
		*b = Body{room: b.room}
	}
}

// Len returns the number of bytes.
func (b *Body) Len() int {
	if b == nil {
		return 0
	}
	return int(b.size)
}

// Pieces returns the bytes in order. They must not be changed.
func (b *Body) Pieces() [][]byte {
	if b == nil {
		return nil
	}
	return b.pieces
}

// Reader returns a reader of all bytes.
func (b *Body) Reader() io.Reader {
	pieces := b.Pieces()
	if len(pieces) == 1 {
		return bytes.NewReader(pieces[0])
	}
	readers := make([]io.Reader, len(pieces))
	for i, piece := range pieces {
		readers[i] = bytes.NewReader(piece)
	}
	return io.MultiReader(readers...)
}

// Bytes returns all bytes in one slice. It reserves room for a copy where there are several pieces, and gives up that of
// the pieces then.
func (b *Body) Bytes() ([]byte, error) {
	switch {
	case b.Len() == 0:
		return nil, nil
	case len(b.pieces) == 1:
		return b.pieces[0], nil
	}
	before := b.reserved
	joined, err := b.grow(b.size)
	if err != nil {
		return nil, err
	}
	at := joined
	for _, piece := range b.pieces {
		at = at[copy(at, piece):]
	}
	b.pieces = [][]byte{joined}
	b.room.Release(before)
	b.reserved -= before
	return joined, nil
}

// Problem maps an error from reading a request body to a problem.
func Problem(err error) *problem.Problem {
	var tooLarge *http.MaxBytesError
	var full *FullError
	var timeout net.Error
	switch {
	case errors.As(err, &tooLarge):
		return problem.New(problem.TooLarge, "the body is larger than this instance takes")
	case errors.As(err, &full):
		return problem.New(problem.Overloaded, full.Error())
	case errors.As(err, &timeout) && timeout.Timeout():
		return problem.New(problem.SlowSender, "the body did not arrive in time")
	}
	return problem.New(problem.BadRequest, "the body could not be read")
}
