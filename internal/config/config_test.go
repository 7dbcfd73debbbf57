package config_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/fstest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/platform"
	standin "github.com/shedhoist/shedhoist/internal/standin/platform"
)

func newCustomer(name string) config.Customer {
	return config.Customer{Name: name, KeyHashes: []string{fmt.Sprintf("%064x", len(name))}, Secret: fmt.Sprintf("%064x", 7)}
}

func newBundle(n int) *config.Bundle {
	b := &config.Bundle{Policy: &config.Policy{Candidates: 2}}
	for i := range n {
		b.Customers = append(b.Customers, newCustomer(fmt.Sprintf("c%d", i)))
		b.Targets = append(b.Targets, config.Target{Name: fmt.Sprintf("t%d", i), Address: "127.0.0.1:1", Zone: "z", Model: "m"})
	}
	return b
}

func newRepo(t *testing.T) (*config.Repo, *standin.Server) {
	t.Helper()
	p := standin.New("")
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(srv.Close)
	return &config.Repo{Store: platform.NewClient(srv.URL, "", nil), Now: time.Now, RetryDelay: time.Millisecond}, p
}

// TestSplitJoin checks that Join inverts Split, that the order of entries does
// not change the buckets, and that changing one entry changes one bucket.
func TestSplitJoin(t *testing.T) {
	is := is.New(t)
	b := newBundle(100)
	parts, err := config.Split(b)
	is.NoErr(err)
	back, err := config.Join(parts)
	is.NoErr(err)
	edits, err := config.Diff(b, back)
	is.NoErr(err)
	is.Equal(len(edits), 0)

	b.Customers[0], b.Customers[99] = b.Customers[99], b.Customers[0]
	again, err := config.Split(b)
	is.NoErr(err)
	is.Equal(again, parts)

	b.Targets[5].Zone = "y"
	changed, err := config.Split(b)
	is.NoErr(err)
	changedBuckets := 0
	for id := range changed {
		if string(changed[id]) != string(parts[id]) {
			changedBuckets++
		}
	}
	is.Equal(changedBuckets, 1)
}

// TestConcurrentChanges checks that of many concurrent changes made from the
// same generation exactly one is accepted, and that each of the others gets a
// ConflictError that names the accepted one.
func TestConcurrentChanges(t *testing.T) {
	is := is.New(t)
	r, _ := newRepo(t)
	const operators = 16
	errs := make([]error, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Add(1)
		go func() {
			defer wg.Done()
			parts, err := config.Split(newBundle(i + 1))
			if err == nil {
				_, err = r.Accept(t.Context(), config.Change{NewBuckets: parts, Message: fmt.Sprint(i)})
			}
			errs[i] = err
		}()
	}
	wg.Wait()
	h, _, err := r.Head(t.Context())
	is.NoErr(err)
	is.Equal(h.Generation, uint64(1))
	accepted := 0
	for i, err := range errs {
		var conflict *config.ConflictError
		if err == nil {
			accepted++
			is.Equal(h.Message, fmt.Sprint(i))
			continue
		}
		is.True(errors.As(err, &conflict))
		is.Equal(conflict.Winner.Nonce, h.Nonce)
		is.Equal(conflict.Message, fmt.Sprint(i))
	}
	is.Equal(accepted, 1)
}

// TestLostResponses loses writes before or after they take effect. A change
// reported as accepted must be in the history once, a change reported as a
// conflict must not be in it, and one of uncertain outcome at most once.
func TestLostResponses(t *testing.T) {
	r, p := newRepo(t)
	message := 0
	rapid.Check(t, func(t *rapid.T) {
		p.SetFaults(standin.Faults{LoseWrites: rapid.IntRange(0, 4).Draw(t, "lost responses"), DropWrites: rapid.IntRange(0, 2).Draw(t, "dropped writes")})
		ctx := context.Background()
		before, _, err := r.Head(ctx)
		if err != nil {
			t.Fatal(err)
		}
		parts, err := config.Split(newBundle(rapid.IntRange(1, 3).Draw(t, "size")))
		if err != nil {
			t.Fatal(err)
		}
		message++
		_, err = r.Accept(ctx, config.Change{Base: before.Generation, NewBuckets: parts, Message: fmt.Sprint(message)})
		p.SetFaults(standin.Faults{})
		history, herr := r.History(ctx, 10)
		if herr != nil {
			t.Fatal(herr)
		}
		found := 0
		for _, h := range history {
			if h.Message == fmt.Sprint(message) {
				found++
			}
		}
		var conflict *config.ConflictError
		var uncertain *config.UncertainError
		switch {
		case err == nil && found == 1, errors.As(err, &conflict) && found == 0, errors.As(err, &uncertain) && found <= 1:
		default:
			t.Fatalf("Accept returned %v, the history holds the change %d times", err, found)
		}
	})
}

// TestLoadErrors checks that errors give the file and line, for duplicates those
// of the later declaration.
func TestLoadErrors(t *testing.T) {
	is := is.New(t)
	_, err := config.Load(fstest.MapFS{
		"a.toml": {Data: []byte("[[target]]\nname = \"t\"\naddress = \"127.0.0.1:1\"\nzone = \"z\"\nmodel = \"m\"\n")},
		"b.toml": {Data: []byte("\n[[target]]\nname = \"t\"\naddress = \"127.0.0.1:1\"\nzone = \"z\"\nmodel = \"m\"\n")},
	})
	is.True(err != nil)
	is.Equal(err.Error(), "b.toml:3: target[0].name: duplicate target \"t\", first at a.toml:1\n"+
		"a.toml:5: target[0].model: no model \"m\"\nb.toml:6: target[0].model: no model \"m\"")
}

// FuzzLoad checks that Load returns a bundle or an error for any input, and that
// a loaded bundle survives Split and Join.
func FuzzLoad(f *testing.F) {
	f.Add([]byte("[[customer]]\nname = \"c\"\n"))
	f.Add([]byte("[policy]\ncandidates = 99\n[policy]\n"))
	f.Add([]byte("[[model]]\nname=\"m\"\nversion=\"v\"\nversions=[\"v\"]\n[[model.adapter]]\nname=\"a\"\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := config.Load(fstest.MapFS{"f.toml": {Data: data}})
		if err != nil {
			return
		}
		parts, err := config.Split(b)
		if err != nil {
			return
		}
		back, err := config.Join(parts)
		if err != nil {
			t.Fatal(err)
		}
		if edits, err := config.Diff(b, back); err != nil || len(edits) > 0 {
			t.Fatalf("Diff of the bundle with its copy from Split and Join returned %v, %v; want no edits", edits, err)
		}
	})
}
