// Package tlsconf builds the mutual TLS settings of the system's own processes
// and makes development keys.
//
// Invariant: every configuration it returns demands a certificate of the peer
// signed by the configured authority. Replaced files are taken up by the next
// handshake without a restart.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("tlsconf")

// ALPN is the protocol name of connections between the system's processes.
const ALPN = "oleander/1"

// Files names the PEM files of one identity.
type Files struct {
	Authority   string
	Certificate string
	Key         string
}

// Keys holds an identity that is read again when its files change.
type Keys struct {
	files Files
	mu    sync.Mutex
	read  time.Time
	cert  *tls.Certificate
	pool  *x509.CertPool
}

// Load reads an identity.
func Load(files Files) (*Keys, error) {
	k := &Keys{files: files}
	return k, k.reload()
}

// Server returns the settings of a listener.
func (k *Keys) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool, err := k.current()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*cert},
				ClientCAs:    pool,
				ClientAuth:   tls.RequireAndVerifyClientCert,
				NextProtos:   []string{ALPN, "h2", "http/1.1"},
			}, nil
		},
	}
}

// Client returns the settings of a dialler. The peer is known by its authority
// and not by a host name: processes find each other by IP number.
func (k *Keys) Client() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{ALPN},
		InsecureSkipVerify: true, // VerifyConnection below checks the chain instead.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _, err := k.current()
			return cert, err
		},
		VerifyConnection: k.verifyPeer,
	}
}

func (k *Keys) verifyPeer(s tls.ConnectionState) error {
	_, pool, err := k.current()
	if err != nil {
		return err
	}
	if len(s.PeerCertificates) == 0 {
		return Error.New("peer sent no certificate")
	}
	between := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err = s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: between,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return Error.Wrap(err)
}

// current returns the identity, read again when a file is newer. A broken new
// file leaves the old identity in use.
func (k *Keys) current() (*tls.Certificate, *x509.CertPool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.changed() {
		_ = k.reload()
	}
	if k.cert == nil {
		return nil, nil, Error.New("no certificate loaded")
	}
	return k.cert, k.pool, nil
}

func (k *Keys) changed() bool {
	for _, f := range []string{k.files.Authority, k.files.Certificate, k.files.Key} {
		info, err := os.Stat(f)
		if err == nil && info.ModTime().After(k.read) {
			return true
		}
	}
	return false
}

func (k *Keys) reload() error {
	newest := time.Time{}
	for _, f := range []string{k.files.Authority, k.files.Certificate, k.files.Key} {
		if info, err := os.Stat(f); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	cert, err := tls.LoadX509KeyPair(k.files.Certificate, k.files.Key)
	if err != nil {
		return Error.Wrap(err)
	}
	pem, err := os.ReadFile(k.files.Authority)
	if err != nil {
		return Error.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return Error.New("no certificate in %s", k.files.Authority)
	}
	k.cert, k.pool, k.read = &cert, pool, newest
	return nil
}
