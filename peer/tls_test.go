package peer

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
)

// loopbackTLS returns a configuration for both sides of connections on
// loopback, with the certificate of net/http/httptest.
func loopbackTLS(t *testing.T) *tls.Config {
	t.Helper()
	server := httptest.NewTLSServer(http.NotFoundHandler())
	defer server.Close()
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	return &tls.Config{
		Certificates: server.TLS.Certificates,
		RootCAs:      roots,
		ClientAuth:   tls.RequireAnyClientCert,
	}
}

func TestSessionOverTLS(t *testing.T) {
	cfg := loopbackTLS(t)
	a := start(t, "a", 1, listen(t, ""), func(n *Node) { n.TLS = cfg })
	b := start(t, "b", 1, listen(t, ""), func(n *Node) { n.TLS = cfg })
	plain := start(t, "plain", 1, listen(t, ""), nil)
	plain.Members.Propose([]peridotusher.Member{b.Self})
	introduce(t, a, b)
	if _, err := a.Ask(testContext(t), "b", peridotusher.Ask{}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the plain router is refused", func() bool {
		return plain.dials.lastError(b.Self.Address()) != nil
	})
	if diff := cmp.Diff(0, len(plain.Peers())); diff != "" {
		t.Errorf("sessions of the plain router (-want +got):\n%s", diff)
	}
}
