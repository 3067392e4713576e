package peer

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
)

var (
	errPlaintext       = errors.New("plain TCP is not allowed beyond loopback")
	errCertificateName = errors.New("the certificate does not name the router")
	errNoAuthorities   = errors.New("no certificate authority in the file")
)

// Certificates provides the TLS configuration of a router's connections from
// PEM files. It reads the files again for each connection, so that new ones take
// effect without a restart. While they cannot be read or are invalid, the last
// valid configuration stays in use.
type Certificates struct {
	cert, key, ca string

	mu       sync.Mutex
	lastGood *tls.Config
	err      error // why the files could not be used when last read
}

// LoadCertificates reads the PEM files of the certificate, its key and the
// authorities that sign the other routers' certificates.
func LoadCertificates(cert, key, ca string) (*Certificates, error) {
	c := &Certificates{cert: cert, key: key, ca: ca}
	c.Config()
	return c, c.Err()
}

// Err returns why the files could not be used when they were last read, or nil.
func (c *Certificates) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Config returns the configuration for one connection, dialled or accepted.
func (c *Certificates) Config() *tls.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	cfg, err := c.load()
	c.err = err
	if err == nil {
		c.lastGood = cfg
	}
	return c.lastGood
}

func (c *Certificates) load() (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(c.cert, c.key)
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(c.ca)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errNoAuthorities
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		// The certificate must name the router, which is known only from its Hello.
		// So only the chain is verified here, and the name after the Hello.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return verifyChain(state, pool) },
	}, nil
}

// verifyChain checks that an authority signed the peer's certificate.
func verifyChain(state tls.ConnectionState, pool *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errCertificateName
	}
	opts := x509.VerifyOptions{
		Roots:         pool,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, cert := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(opts)
	return err
}

// checkCertificateName checks that the peer's certificate has the router's ID as
// one of its DNS names. Unencrypted connections have no certificate to check.
func checkCertificateName(conn net.Conn, id peridotusher.RouterID) error {
	secured, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	for _, cert := range secured.ConnectionState().PeerCertificates[:1] {
		if slices.Contains(cert.DNSNames, string(id)) {
			return nil
		}
	}
	return errCertificateName
}

// secure starts TLS on a connection if certificates are configured. Without
// them only loopback connections are allowed, unless AllowPlaintext is set.
func (n *Node) secure(conn net.Conn, dialled bool) (net.Conn, error) {
	switch {
	case n.TLS == nil && !n.AllowPlaintext && !isLoopback(conn.RemoteAddr()):
		return nil, errPlaintext
	case n.TLS == nil:
		return conn, nil
	case dialled:
		return tls.Client(conn, n.TLS.Config()), nil
	default:
		return tls.Server(conn, n.TLS.Config()), nil
	}
}

// isLoopback reports whether an address is on this host.
func isLoopback(addr net.Addr) bool {
	tcp, ok := addr.(*net.TCPAddr)
	return ok && tcp.IP.IsLoopback()
}
