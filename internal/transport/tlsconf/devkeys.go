package tlsconf

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
	"time"
)

const devKeyLifetime = 90 * 24 * time.Hour

// WriteDevelopmentKeys creates an authority (ca.pem) and, for each name, NAME.pem and
// NAME.key in dir. The keys are for development and tests; the authority's private key is
// not stored.
func WriteDevelopmentKeys(dir string, names ...string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return Error.Wrap(err)
	}
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Error.Wrap(err)
	}
	ca := certificateTemplate("development authority")
	ca.IsCA = true
	ca.BasicConstraintsValid = true
	ca.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := writePEM(filepath.Join(dir, "ca.pem"), "CERTIFICATE", der); err != nil {
		return err
	}
	for _, name := range names {
		if err := writeIdentity(dir, name, ca, caKey); err != nil {
			return err
		}
	}
	return nil
}

func certificateTemplate(name string) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(devKeyLifetime),
	}
}

func writeIdentity(dir, name string, ca *x509.Certificate, caKey *ecdsa.PrivateKey) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Error.Wrap(err)
	}
	cert := certificateTemplate(name)
	cert.KeyUsage = x509.KeyUsageDigitalSignature
	cert.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	cert.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	der, err := x509.CreateCertificate(rand.Reader, cert, ca, &key.PublicKey, caKey)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := writePEM(filepath.Join(dir, name+".pem"), "CERTIFICATE", der); err != nil {
		return err
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Error.Wrap(err)
	}
	return writePEM(filepath.Join(dir, name+".key"), "PRIVATE KEY", raw)
}

func writePEM(path, kind string, der []byte) error {
	block := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return Error.Wrap(os.WriteFile(path, block, 0o600))
}
