package fleettest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"peridotusher.example/peridotusher/testbed"
)

// authority is a certificate authority that writes the certificates to a folder.
type authority struct {
	t    *testing.T
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir()}
	template := certificate("authority")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	a.cert = template
	a.key = a.write("ca", template)
	return a
}

func certificate(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
	}
}

// write writes a signed certificate and its key, and returns the key.
func (a *authority) write(file string, template *x509.Certificate) *ecdsa.PrivateKey {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	signer := a.key
	if signer == nil {
		signer = key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.writePEM(file+".pem", "CERTIFICATE", der)
	a.writePEM(file+".key", "PRIVATE KEY", private)
	return key
}

func (a *authority) writePEM(file, kind string, der []byte) {
	a.t.Helper()
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(filepath.Join(a.dir, file), text, 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// settings returns the [peer] lines with a certificate for the router.
func (a *authority) settings(router string) string {
	a.write(router, certificate(router))
	path := filepath.Join(a.dir, router)
	return fmt.Sprintf("cert = %s.pem\nkey = %s.key\nca = %s\n", path, path, filepath.Join(a.dir, "ca.pem"))
}

// TestCertificates runs routers with certificates. The certificate of one has the wrong
// name, so that the others reject it until the file is replaced.
func TestCertificates(t *testing.T) {
	t.Parallel()
	ca := newAuthority(t)
	const misnamed = "router-c3"
	b := startFleet(t, func(o *testbed.Options) {
		o.RoutersPerZone = 1
		o.ExtraPeerSettings = func(router string) string {
			lines := ca.settings(router)
			if router == misnamed {
				ca.write(router, certificate("other"))
			}
			return lines
		}
	})
	good, bad := b.Routers[:2], b.Routers[2]
	for _, r := range good {
		b.waitMetric(r, liveMetric, 2)
	}
	b.waitMetric(bad, liveMetric, 1)
	ca.write(misnamed, certificate(misnamed))
	b.waitLive(3)
	b.waitInForce(b.addOrganisation(), maxInForceTime, b.Routers...)
}
