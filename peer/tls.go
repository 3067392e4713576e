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
	errPlain       = errors.New("plain TCP is not allowed beyond loopback")
	errCertificate = errors.New("the certificate does not name the router")
	errAuthorities = errors.New("no certificate authority in the file")
)

// Certificates gives the TLS configuration of a router's connections from its
// files. The files are read again for each connection, so that new ones hold
// without a restart. While they cannot be read or do not fit, the last good
// ones stay in use.
type Certificates struct {
	cert, key, ca string

	mu   sync.Mutex
	last *tls.Config
	err  error // why the files could not be used now
}

// LoadCertificates reads the PEM files of the certificate, its key and the
// authorities that sign the other routers' certificates.
func LoadCertificates(cert, key, ca string) (*Certificates, error) {
	c := &Certificates{cert: cert, key: key, ca: ca}
	c.Config()
	return c, c.Err()
}

// Err returns why the files could not be used when they were last read.
func (c *Certificates) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Config returns the configuration for one connection of either side.
func (c *Certificates) Config() *tls.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	cfg, err := c.read()
	c.err = err
	if err == nil {
		c.last = cfg
	}
	return c.last
}

func (c *Certificates) read() (*tls.Config, error) {
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
		return nil, errAuthorities
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		// The name to prove is the router's, which its Hello tells. The chain is
		// verified here and the name after the Hello.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return verifyChain(state, pool) },
	}, nil
}

// verifyChain checks that an authority signed the peer's certificate.
func verifyChain(state tls.ConnectionState, pool *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errCertificate
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

// checkName checks that the certificate of a connection names the router as
// one of its DNS names. Plain connections have none.
func checkName(conn net.Conn, id peridotusher.RouterID) error {
	secured, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	for _, cert := range secured.ConnectionState().PeerCertificates[:1] {
		if slices.Contains(cert.DNSNames, string(id)) {
			return nil
		}
	}
	return errCertificate
}

// secure starts TLS on a connection where there are certificates. Without
// them the connection has to stay on loopback, unless Plain is set.
func (n *Node) secure(conn net.Conn, dialled bool) (net.Conn, error) {
	switch {
	case n.TLS == nil && !n.Plain && !onLoopback(conn.RemoteAddr()):
		return nil, errPlain
	case n.TLS == nil:
		return conn, nil
	case dialled:
		return tls.Client(conn, n.TLS.Config()), nil
	default:
		return tls.Server(conn, n.TLS.Config()), nil
	}
}

// onLoopback reports whether an address is on this host.
func onLoopback(addr net.Addr) bool {
	tcp, ok := addr.(*net.TCPAddr)
	return ok && tcp.IP.IsLoopback()
}
