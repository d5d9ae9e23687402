// Package tlsconf builds the mutual TLS configurations of the system's own processes and
// generates development keys.
//
// Invariant: every configuration it returns requires a certificate of the peer that is
// signed by the configured authority. Replaced files take effect at the next handshake,
// without a restart.
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

// Files holds the paths of the PEM files of one identity.
type Files struct {
	Authority   string
	Certificate string
	Key         string
}

// Keys holds an identity and reloads it when its files change. Its methods may be called
// from any goroutine.
type Keys struct {
	files Files
	mu    sync.Mutex
	// filesModTime is the latest modification time of the files at the last reload.
	filesModTime time.Time
	cert         *tls.Certificate
	pool         *x509.CertPool
}

// Load reads an identity from its files. The returned Keys must not be used after an error.
func Load(files Files) (*Keys, error) {
	k := &Keys{files: files}
	return k, k.reload()
}

// Server returns the TLS configuration of a listener.
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

// Client returns the TLS configuration of a dialler. The peer is verified by its authority
// and not by a host name, because processes address each other by IP address.
func (k *Keys) Client() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{ALPN},
		InsecureSkipVerify: true, // VerifyConnection below verifies the chain instead.
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
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err = s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return Error.Wrap(err)
}

// current returns the identity, and reloads it first if a file has changed. If the reload
// fails, the previous identity stays in use.
func (k *Keys) current() (*tls.Certificate, *x509.CertPool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.filesChanged() {
		_ = k.reload()
	}
	if k.cert == nil {
		return nil, nil, Error.New("no certificate loaded")
	}
	return k.cert, k.pool, nil
}

func (k *Keys) filesChanged() bool {
	for _, f := range []string{k.files.Authority, k.files.Certificate, k.files.Key} {
		info, err := os.Stat(f)
		if err == nil && info.ModTime().After(k.filesModTime) {
			return true
		}
	}
	return false
}

// reload reads the files. Except during Load, the caller must hold mu.
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
		return Error.New("no PEM certificate in authority file %s", k.files.Authority)
	}
	k.cert, k.pool, k.filesModTime = &cert, pool, newest
	return nil
}
