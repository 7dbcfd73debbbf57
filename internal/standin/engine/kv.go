package engine

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/shedhoist/shedhoist/internal/core/prefix"
	"github.com/shedhoist/shedhoist/internal/kvstore"
	"github.com/shedhoist/shedhoist/internal/target"
)

// headerPieceBytes states the size a piece stands for (see the store stand-in).
const headerPieceBytes = "X-Piece-Bytes"

func (s *Server) pieceBytes() int64 {
	return int64(s.o.KVBytes) * prefix.ChunkBytes / prefix.BytesPerToken
}

// pieceBody is a small stand-in for a block's cache: its identity and content.
func pieceBody(b *block) []byte {
	return []byte(b.salt + "\n" + b.owner + "\n" + hex.EncodeToString(b.digest[:]))
}

// export writes a chain's pieces and then their manifest to a store.
func (s *Server) export(w http.ResponseWriter, r *http.Request) {
	var e target.Export
	if err := json.NewDecoder(r.Body).Decode(&e); err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	blocks := s.pinChain(e)
	var kept int64 // bytes of an export that came to its end
	// Counted once its blocks are let go: whoever waits for the count may drop the cache.
	defer func() { s.count(func() { s.counters.ExportedBytes += kept }) }()
	defer s.unpin(blocks)
	if len(blocks) == 0 {
		writeJSON(w, http.StatusOK, target.ExportResult{})
		return
	}
	m := kvstore.Manifest{Key: blocks[len(blocks)-1].key, Model: s.o.Model, Version: e.Version, Adapter: e.Adapter, Salt: e.Salt}
	base := "http://" + e.Store + "/v1/"
	held := s.alreadyKept(r.Context(), e)
	var sent int64
	for i, b := range blocks {
		body := pieceBody(b)
		if i >= held {
			if !s.put(r.Context(), base+"pieces/"+b.key, body) {
				fail(w, http.StatusBadGateway, "store refused a piece")
				return
			}
			sent += s.pieceBytes()
		}
		sum := sha256.Sum256(body)
		m.Pieces = append(m.Pieces, kvstore.Piece{Key: b.key, Bytes: s.pieceBytes(), SHA256: hex.EncodeToString(sum[:])})
	}
	data, err := json.Marshal(m)
	if err != nil || !s.put(r.Context(), base+"manifests/"+m.Key, data) {
		fail(w, http.StatusBadGateway, "store refused the manifest")
		return
	}
	kept = sent
	writeJSON(w, http.StatusOK, target.ExportResult{SavedKeys: len(m.Pieces), Bytes: sent})
}

// alreadyKept asks the store how many leading pieces it has, so that a head
// shared by many prompts crosses the link once.
func (s *Server) alreadyKept(ctx context.Context, e target.Export) int {
	found, err := kvstore.NewClientWithHTTP(s.http).Lookup(ctx, e.Store, e.Keys)
	if err != nil {
		return 0
	}
	return found.Covered
}

// pinChain pins the leading blocks of a chain that are in memory and are of
// the order's salt, version and adapter.
func (s *Server) pinChain(e target.Export) []*block {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*block
	for _, key := range e.Keys {
		b := s.cache.blocks[key]
		if b == nil || b.salt != e.Salt || b.owner != e.Version+"\x00"+e.Adapter {
			break
		}
		b.pins++
		out = append(out, b)
	}
	return out
}

func (s *Server) unpin(blocks []*block) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range blocks {
		b.pins--
	}
}

func (s *Server) put(ctx context.Context, url string, body []byte) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set(headerPieceBytes, strconv.FormatInt(s.pieceBytes(), 10))
	resp, err := s.http.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// restore imports the chain's blocks from index have on. It checks manifest,
// version, salt and each piece, and stops at the first one that is not good.
// It returns how many blocks it brought in.
func (s *Server) restore(ctx context.Context, j *job, have int) int {
	store, im := s.findManifest(ctx, j)
	if im.CoveredKeys <= have {
		return 0
	}
	base := "http://" + store + "/v1/"
	var m kvstore.Manifest
	data, ok := s.fetch(ctx, base+"manifests/"+im.Manifest)
	if !ok || json.Unmarshal(data, &m) != nil {
		return 0
	}
	if m.Salt != j.ext.Salt || m.Version != j.version || m.Adapter != j.ext.Adapter {
		return 0
	}
	n := 0
	for i := have; i < im.CoveredKeys && i < len(m.Pieces) && i < len(j.ext.Keys) && i < len(j.digests); i++ {
		if m.Pieces[i].Key != j.ext.Keys[i] || !s.importPiece(ctx, j, i, base, m.Pieces[i]) {
			break
		}
		n++
	}
	return n
}

// findManifest returns the store to read from and what to read there.
func (s *Server) findManifest(ctx context.Context, j *job) (string, target.Import) {
	im := *j.ext.Import
	if im.Manifest != "" && len(im.Stores) == 1 {
		return im.Stores[0], im
	}
	var best target.Import
	var from string
	for _, store := range im.Stores {
		found, err := kvstore.NewClientWithHTTP(s.http).Lookup(ctx, store, j.ext.Keys)
		if err == nil && found.Covered > best.CoveredKeys {
			best, from = target.Import{Manifest: found.Manifest, CoveredKeys: found.Covered}, store
		}
		if best.CoveredKeys == len(j.ext.Keys) {
			break
		}
	}
	return from, best
}

func (s *Server) importPiece(ctx context.Context, j *job, i int, base string, p kvstore.Piece) bool {
	body, ok := s.fetch(ctx, base+"pieces/"+p.Key)
	if !ok {
		return false
	}
	sum := sha256.Sum256(body)
	if hex.EncodeToString(sum[:]) != p.SHA256 {
		return false
	}
	want := pieceBody(&block{salt: j.ext.Salt, owner: j.owner(), digest: j.digests[i]})
	s.mu.Lock()
	defer s.mu.Unlock()
	if !bytes.Equal(body, want) {
		s.counters.WrongBlocks++
		return false
	}
	if s.version != j.version || s.loading {
		return false // the weights were swapped while the piece was on its way
	}
	s.counters.ImportedBytes += p.Bytes
	s.insert(j, i)
	return true
}

func (s *Server) fetch(ctx context.Context, url string) ([]byte, bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, false
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return nil, false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	return data, err == nil && resp.StatusCode == http.StatusOK
}
