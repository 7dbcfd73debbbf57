package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedhoist/shedhoist/internal/platform"
)

// Keys of the configuration in the platform's object API.
const (
	HeadKey      = "config/head"
	bucketPrefix = "config/buckets/"
	headPrefix   = "config/past/"
)

// BucketCount is the number of buckets a bundle is split into. Changing one
// entry changes one bucket, so an instance fetches about 1/BucketCount of the
// bundle to apply it.
const BucketCount = 64

// Head describes one generation. It is stored under HeadKey and replaced by a
// conditional update, which puts the generation in force.
type Head struct {
	Generation uint64            `json:"generation"`
	Buckets    map[string]string `json:"buckets"`           // bucket number to SHA-256 of its bytes
	Drained    []string          `json:"drained,omitempty"` // names of drained machines
	Author     string            `json:"author"`
	Message    string            `json:"message"`
	Time       time.Time         `json:"time"`
	Nonce      string            `json:"nonce"`
	Parent     string            `json:"parent,omitempty"` // SHA-256 of the previous head, stored under config/past/
}

// EncodedBuckets maps bucket numbers to the JSON encoding of each bucket.
type EncodedBuckets map[string][]byte

// Split encodes a bundle into its buckets. Entries are sorted first, so equal
// bundles give equal bytes regardless of the order their files were read in.
func Split(b *Bundle) (EncodedBuckets, error) {
	parts := map[string]*Bundle{}
	bucketFor := func(kind, name string) *Bundle {
		id := fmt.Sprintf("%02d", xxhash.Sum64String(kind+"/"+name)%BucketCount)
		if parts[id] == nil {
			parts[id] = &Bundle{}
		}
		return parts[id]
	}
	for _, c := range b.Customers {
		p := bucketFor("customer", c.Name)
		p.Customers = append(p.Customers, c)
	}
	for _, m := range b.Models {
		p := bucketFor("model", m.Name)
		p.Models = append(p.Models, m)
	}
	for _, t := range b.Targets {
		p := bucketFor("target", t.Name)
		p.Targets = append(p.Targets, t)
	}
	for _, s := range b.Services {
		p := bucketFor("service", s.Name)
		p.Services = append(p.Services, s)
	}
	for _, s := range b.Stores {
		p := bucketFor("store", s.Name)
		p.Stores = append(p.Stores, s)
	}
	for _, o := range b.Operators {
		p := bucketFor("operator", o.Name)
		p.Operators = append(p.Operators, o)
	}
	if b.Policy != nil {
		bucketFor("policy", "policy").Policy = b.Policy
	}
	out := EncodedBuckets{}
	for id, p := range parts {
		p.sort()
		data, err := json.Marshal(p)
		if err != nil {
			return nil, &EncodeError{Cause: err}
		}
		if len(data) > platform.MaxValue {
			return nil, &BucketSizeError{Bucket: id, Size: len(data)}
		}
		out[id] = data
	}
	return out, nil
}

// Join decodes buckets into one sorted bundle. It is the inverse of Split.
func Join(parts EncodedBuckets) (*Bundle, error) {
	out := &Bundle{}
	for _, id := range sortedKeys(parts) {
		var p Bundle
		if err := json.Unmarshal(parts[id], &p); err != nil {
			return nil, &EncodeError{Cause: err}
		}
		out.Customers = append(out.Customers, p.Customers...)
		out.Models = append(out.Models, p.Models...)
		out.Targets = append(out.Targets, p.Targets...)
		out.Services = append(out.Services, p.Services...)
		out.Stores = append(out.Stores, p.Stores...)
		out.Operators = append(out.Operators, p.Operators...)
		if p.Policy != nil {
			out.Policy = p.Policy
		}
	}
	out.sort()
	return out, nil
}

func (b *Bundle) sort() {
	sort.Slice(b.Customers, func(i, j int) bool { return b.Customers[i].Name < b.Customers[j].Name })
	sort.Slice(b.Models, func(i, j int) bool { return b.Models[i].Name < b.Models[j].Name })
	sort.Slice(b.Targets, func(i, j int) bool { return b.Targets[i].Name < b.Targets[j].Name })
	sort.Slice(b.Services, func(i, j int) bool { return b.Services[i].Name < b.Services[j].Name })
	sort.Slice(b.Stores, func(i, j int) bool { return b.Stores[i].Name < b.Stores[j].Name })
	sort.Slice(b.Operators, func(i, j int) bool { return b.Operators[i].Name < b.Operators[j].Name })
}

func sortedKeys(p EncodedBuckets) []string {
	out := make([]string, 0, len(p))
	for k := range p {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// Hash returns the SHA-256 of data in hexadecimal. Buckets and past heads are
// stored under it.
func Hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
