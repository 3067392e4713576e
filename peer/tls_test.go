package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
)

// authority is a certificate authority for the routers of a test.
type authority struct {
	t    *testing.T
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir(), key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	writePEM(t, filepath.Join(a.dir, "ca.pem"), "CERTIFICATE", der)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// issue writes a certificate with a router's name to files and loads it.
func (a *authority) issue(file, name string) *Certificates {
	a.t.Helper()
	key := newKey(a.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	cert := filepath.Join(a.dir, file+".pem")
	writePEM(a.t, cert, "CERTIFICATE", der)
	writePEM(a.t, cert+".key", "PRIVATE KEY", private)
	loaded, err := LoadCertificates(cert, cert+".key", filepath.Join(a.dir, "ca.pem"))
	if err != nil {
		a.t.Fatal(err)
	}
	return loaded
}

func TestSessionOverTLS(t *testing.T) {
	ca := newAuthority(t)
	stranger := newAuthority(t)
	a := startNode(t, "a", 1, listen(t, ""), func(n *Node) { n.TLS = ca.issue("a", "a") })
	b := startNode(t, "b", 1, listen(t, ""), func(n *Node) { n.TLS = ca.issue("b", "b") })
	introduce(t, a, b)
	if _, err := a.Ask(testContext(t), "b", peridotusher.Ask{}); err != nil {
		t.Fatal(err)
	}
	refused := map[string]*testNode{
		"plain":    startNode(t, "plain", 1, listen(t, ""), nil),
		"stranger": startNode(t, "stranger", 1, listen(t, ""), func(n *Node) { n.TLS = stranger.issue("s", "stranger") }),
		"misnamed": startNode(t, "misnamed", 1, listen(t, ""), func(n *Node) { n.TLS = ca.issue("m", "other") }),
	}
	for name, n := range refused {
		n.Members.Propose([]peridotusher.Member{b.Self})
		a.Members.Propose([]peridotusher.Member{b.Self, n.Self})
		eventually(t, name+" is refused", func() bool { return a.dials.lastError(n.Self.Address()) != nil })
		if name != "misnamed" {
			eventually(t, name+" sees no session", func() bool { return n.dials.lastError(b.Self.Address()) != nil })
		}
	}
	if diff := cmp.Diff([]int{1, 1}, []int{len(a.PeerStates()), len(b.PeerStates())}); diff != "" {
		t.Errorf("sessions of a and b (-want +got):\n%s", diff)
	}
}

// TestCertificatesAreReloaded replaces the certificate of a router that the others
// refuse by a valid one, then by an invalid file.
func TestCertificatesAreReloaded(t *testing.T) {
	ca := newAuthority(t)
	a := startNode(t, "a", 1, listen(t, ""), func(n *Node) { n.TLS = ca.issue("a", "a") })
	b := startNode(t, "b", 1, listen(t, ""), func(n *Node) { n.TLS = ca.issue("b", "other") })
	a.Members.Propose([]peridotusher.Member{b.Self})
	eventually(t, "b is refused", func() bool {
		return errors.Is(a.dials.lastError(b.Self.Address()), errCertificateName)
	})
	ca.issue("b", "b")
	eventually(t, "b is connected", func() bool {
		a.clock.advance(time.Second)
		return a.hasView(b) && b.hasView(a)
	})
	if err := os.WriteFile(filepath.Join(ca.dir, "b.pem"), []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	if cfg := b.TLS.Config(); cfg == nil || b.TLS.Err() == nil {
		t.Errorf("broken files gave configuration %v and error %v, want the last valid one and an error", cfg, b.TLS.Err())
	}
}

func TestPlaintextOnlyOnLoopback(t *testing.T) {
	tests := []struct {
		name  string
		ip    string
		plain bool
		want  error
	}{
		{"loopback", "127.0.0.1", false, nil},
		{"beyond", "192.0.2.1", false, errPlaintext},
		{"beyond, allowed", "192.0.2.1", true, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := &Node{AllowPlaintext: test.plain}
			_, err := n.secure(addressedConn{ip: test.ip}, true)
			if !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
		})
	}
}

// addressedConn is a connection with a given remote IP address.
type addressedConn struct {
	net.Conn
	ip string
}

func (c addressedConn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.ParseIP(c.ip)} }
