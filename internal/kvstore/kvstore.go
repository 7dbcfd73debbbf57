// Package kvstore is the client of the cache stores, which hold cache outside
// accelerators in a memory tier and a disk tier. Cache bytes never pass through
// an entry instance: this client only queries what a store holds, and engines
// transfer the bytes. docs/STANDINS.md, "store", describes the protocol.
package kvstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/shedhoist/shedhoist/internal/netx"
)

// Tier is the storage tier in which a store holds a manifest's pieces.
type Tier string

// The tiers of a store.
const (
	Memory Tier = "memory"
	Disk   Tier = "disk"
)

// Piece is one piece of a stored chain: about a thousand tokens of cache.
type Piece struct {
	Key    string `json:"key"`
	Bytes  int64  `json:"bytes"`
	SHA256 string `json:"sha256"`
}

// Manifest lists the pieces of a stored chain. It is written after all of them, and
// only pieces that a manifest lists may be read.
type Manifest struct {
	Key     string  `json:"key"` // last key of the chain
	Model   string  `json:"model"`
	Version string  `json:"weight_version"`
	Adapter string  `json:"adapter,omitempty"`
	Salt    string  `json:"cache_salt"`
	Pieces  []Piece `json:"pieces"`
}

// LookupRequest asks how much of a chain is stored.
type LookupRequest struct {
	Keys []string `json:"cache_keys"`
}

// LookupResult is the response to a LookupRequest. Covered is the number of leading
// keys that are stored under Manifest; 0 means none.
type LookupResult struct {
	Covered  int     `json:"covered"`
	Manifest string  `json:"manifest,omitempty"`
	Tier     Tier    `json:"tier,omitempty"`
	Bytes    int64   `json:"bytes"`
	QueueMS  float64 `json:"queue_ms"` // queueing delay of the tier's link
}

// Status is a store's report of itself.
type Status struct {
	Name        string  `json:"name"`
	MemoryUsed  int64   `json:"memory_used"` // bytes
	MemoryTotal int64   `json:"memory_total"`
	DiskUsed    int64   `json:"disk_used"`
	DiskTotal   int64   `json:"disk_total"`
	QueueMS     float64 `json:"queue_ms"`
	Manifests   int     `json:"manifests"`
}

// Error reports that a request to a store failed.
type Error struct {
	Store, Path string
	Status      int
	Cause       error
}

// Error implements error.
func (e *Error) Error() string {
	msg := fmt.Sprintf("store %s: %s failed", e.Store, e.Path)
	if e.Status != 0 {
		msg += fmt.Sprintf(" with status %d", e.Status)
	}
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Client queries what stores hold.
type Client struct{ http *http.Client }

// maxResponseBytes is the maximum size of a store's response.
const maxResponseBytes = 1 << 20

// NewClient returns a client whose connection setup is limited to connectTimeout.
func NewClient(connectTimeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &Client{http: &http.Client{Transport: netx.NewTransport(netx.TransportOptions{Dial: dialer.DialContext, MaxIdlePerHost: 32, IdleTimeout: time.Minute})}}
}

// Lookup queries how much of a chain a store holds.
func (c *Client) Lookup(ctx context.Context, address string, keys []string) (LookupResult, error) {
	body, err := json.Marshal(LookupRequest{Keys: keys})
	if err != nil {
		return LookupResult{}, &Error{Store: address, Path: "/v1/lookup", Cause: err}
	}
	var out LookupResult
	return out, c.call(ctx, http.MethodPost, address, "/v1/lookup", body, &out)
}

// Status returns a store's status report.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	var out Status
	return out, c.call(ctx, http.MethodGet, address, "/v1/status", nil, &out)
}

// call sends a request to a store and decodes the JSON response into out.
func (c *Client) call(ctx context.Context, method, address, path string, body []byte, out any) error {
	fail := func(status int, err error) error {
		return &Error{Store: address, Path: path, Status: status, Cause: err}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fail(0, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fail(0, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fail(resp.StatusCode, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fail(resp.StatusCode, nil)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fail(resp.StatusCode, err)
	}
	return nil
}

// NewClientWithHTTP returns a client that uses the given HTTP client.
func NewClientWithHTTP(httpClient *http.Client) *Client { return &Client{http: httpClient} }
