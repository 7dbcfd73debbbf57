// Package body reads request bodies of limited size.
package body

import (
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/shedhoist/shedhoist/internal/problem"
)

// Read reads to the end of r. If size is not negative, it reads exactly size bytes into
// one buffer, which saves copying a long prompt as a buffer grows.
func Read(r io.Reader, size int64) ([]byte, error) {
	if size < 0 {
		return io.ReadAll(r)
	}
	data := make([]byte, size)
	_, err := io.ReadFull(r, data)
	return data, err
}

// Problem maps an error from reading a request body to a problem.
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
