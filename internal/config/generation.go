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

// Buckets is how many parts a bundle is split into. One change touches one
// part, so what an instance fetches for it is about 1/Buckets of the bundle.
const Buckets = 64

// Head is what one conditional update of HeadKey puts in force.
type Head struct {
	Generation uint64            `json:"generation"`
	Buckets    map[string]string `json:"buckets"` // bucket number -> SHA-256 of its bytes
	Drained    []string          `json:"drained,omitempty"`
	Author     string            `json:"author"`
	Message    string            `json:"message"`
	Time       time.Time         `json:"time"`
	Nonce      string            `json:"nonce"`
	Parent     string            `json:"parent,omitempty"` // SHA-256 of the head before, kept below config/past/
}

// Parts are the encoded buckets of a bundle, by bucket number.
type Parts map[string][]byte

// Split encodes a bundle into its buckets. The same bundle always gives the
// same bytes, whatever order its files were read in.
func Split(b *Bundle) (Parts, error) {
	parts := map[string]*Bundle{}
	at := func(kind, name string) *Bundle {
		id := fmt.Sprintf("%02d", xxhash.Sum64String(kind+"/"+name)%Buckets)
		if parts[id] == nil {
			parts[id] = &Bundle{}
		}
		return parts[id]
	}
	for _, c := range b.Customers {
		p := at("customer", c.Name)
		p.Customers = append(p.Customers, c)
	}
	for _, m := range b.Models {
		p := at("model", m.Name)
		p.Models = append(p.Models, m)
	}
	for _, t := range b.Targets {
		p := at("target", t.Name)
		p.Targets = append(p.Targets, t)
	}
	for _, s := range b.Services {
		p := at("service", s.Name)
		p.Services = append(p.Services, s)
	}
	for _, s := range b.Stores {
		p := at("store", s.Name)
		p.Stores = append(p.Stores, s)
	}
	for _, o := range b.Operators {
		p := at("operator", o.Name)
		p.Operators = append(p.Operators, o)
	}
	if b.Policy != nil {
		at("policy", "policy").Policy = b.Policy
	}
	out := Parts{}
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

// Join is the inverse of Split.
func Join(parts Parts) (*Bundle, error) {
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

func sortedKeys(p Parts) []string {
	out := make([]string, 0, len(p))
	for k := range p {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// Hash names bytes by content.
func Hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
