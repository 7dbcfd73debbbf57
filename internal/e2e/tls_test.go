package e2e_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/certs"
	"github.com/shedhoist/shedhoist/internal/peer"
	"github.com/shedhoist/shedhoist/internal/settings"
	"github.com/shedhoist/shedhoist/internal/standin/engine"
	"github.com/shedhoist/shedhoist/internal/standin/fleet"
	"github.com/shedhoist/shedhoist/internal/testcert"
)

func httpsClient(t *testing.T, caFile string) *http.Client {
	t.Helper()
	pem, err := os.ReadFile(caFile)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(pem)
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{RootCAs: pool}}}
}

// TestTLS: callers by TLS, peers by mutual TLS. Changed files are taken up by
// new connections, and a stream that is under way is not cut by it.
func TestTLS(t *testing.T) {
	is := is.New(t)
	ca, err := testcert.New(t.TempDir(), "ca")
	is.NoErr(err)
	cert, key, err := ca.Issue("instance")
	is.NoErr(err)
	f := start(t, fleet.Options{Instances: 2, Engines: 1, Engine: engine.Options{DecodeMS: 20, TimeScale: 1}, Settings: func(s *settings.Settings) {
		s.Peers.Secret = ""
		s.TLS = settings.TLS{CallerCert: cert, CallerKey: key, PeerCert: cert, PeerKey: key, PeerCA: ca.File}
	}})
	client := httpsClient(t, ca.File)
	base := "https://" + f.Daemons[0].CallerAddr()

	a := ask{prompt: "x", tokens: 150, stream: true}
	resp, err := client.Do(a.request(t, t.Context(), base, f.Keys[0]))
	is.NoErr(err)
	defer resp.Body.Close()
	serial := resp.TLS.PeerCertificates[0].SerialNumber

	_, _, err = ca.Issue("instance") // a new certificate in the same files
	is.NoErr(err)
	is.NoErr(os.Chtimes(cert, time.Time{}, time.Now().Add(time.Minute)))
	eventually(t, "new connections see the new certificate", func() bool {
		next, err := client.Get(base + "/livez")
		is.NoErr(err)
		next.Body.Close()
		return next.TLS.PeerCertificates[0].SerialNumber.Cmp(serial) != 0
	})
	var got reply
	got.readStream(t, resp.Body)
	is.True(got.done)
	is.Equal(got.text, a.want(fleet.Version))
}

// TestPeersRefuseStrangers: neither a wrong secret, nor none, nor a
// certificate of another CA opens the peers' listener.
func TestPeersRefuseStrangers(t *testing.T) {
	call := func(t *testing.T, addr string, sec peer.Security) error {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		pool := peer.NewPool(sec, time.Now)
		defer pool.Close()
		var st peer.Status
		return pool.Call(ctx, addr, "Peer.Status", &peer.StatusRequest{}, &st)
	}
	load := func(t *testing.T, ca *testcert.CA) peer.Security {
		cert, key, err := ca.Issue("peer")
		if err != nil {
			t.Fatal(err)
		}
		src, err := certs.Load(certs.Files{Cert: cert, Key: key, CA: ca.File}, time.Now)
		if err != nil {
			t.Fatal(err)
		}
		return peer.Security{TLS: src}
	}
	t.Run("secret", func(t *testing.T) {
		is := is.New(t)
		f := start(t, fleet.Options{Instances: 1, Engines: 1, Settings: func(s *settings.Settings) { s.Peers.Secret = "right" }})
		is.NoErr(call(t, f.Daemons[0].PeerAddr(), peer.Security{Secret: []byte("right")}))
		is.True(call(t, f.Daemons[0].PeerAddr(), peer.Security{Secret: []byte("wrong")}) != nil)
		is.True(call(t, f.Daemons[0].PeerAddr(), peer.Security{}) != nil)
	})
	t.Run("certificates", func(t *testing.T) {
		is := is.New(t)
		ours, err := testcert.New(t.TempDir(), "ours")
		is.NoErr(err)
		theirs, err := testcert.New(t.TempDir(), "theirs")
		is.NoErr(err)
		cert, key, err := ours.Issue("instance")
		is.NoErr(err)
		f := start(t, fleet.Options{Instances: 1, Engines: 1, Settings: func(s *settings.Settings) {
			s.TLS = settings.TLS{PeerCert: cert, PeerKey: key, PeerCA: ours.File}
		}})
		is.NoErr(call(t, f.Daemons[0].PeerAddr(), load(t, ours)))
		is.True(call(t, f.Daemons[0].PeerAddr(), load(t, theirs)) != nil)
		is.True(call(t, f.Daemons[0].PeerAddr(), peer.Security{Secret: []byte("x")}) != nil)
	})
}
