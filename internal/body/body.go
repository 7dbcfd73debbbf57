// Package body reads callers' bodies within their bounds.
package body

import (
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/shedhoist/shedhoist/internal/problem"
)

// Read reads to the end, into one buffer of the announced size if that is known
// (not negative): a long prompt is not copied as a buffer grows.
func Read(r io.Reader, size int64) ([]byte, error) {
	if size < 0 {
		return io.ReadAll(r)
	}
	data := make([]byte, size)
	_, err := io.ReadFull(r, data)
	return data, err
}

// Problem names the failure to read a caller's body.
func Problem(err error) *problem.Problem {
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case errors.As(err, &tooLarge):
		return problem.New(problem.TooLarge, "the body is larger than this instance takes")
	case errors.As(err, &timeout) && timeout.Timeout():
		return problem.New(problem.SlowSender, "the body did not arrive in time")
	}
	return problem.New(problem.BadRequest, "the body could not be read")
}
