package tlsconf

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

func load(t *testing.T, dir, name string) *Keys {
	t.Helper()
	k, err := Load(Files{
		Authority:   filepath.Join(dir, "ca.pem"),
		Certificate: filepath.Join(dir, name+".pem"),
		Key:         filepath.Join(dir, name+".key"),
	})
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// handshake performs a TLS handshake and returns the errors of both ends.
func handshake(server, client *tls.Config) (serverErr, clientErr error) {
	a, b := net.Pipe()
	defer func() { _ = a.Close() }()
	serverDone := make(chan error, 1)
	go func() {
		serverDone <- tls.Server(a, server).Handshake()
		_ = a.Close()
	}()
	conn := tls.Client(b, client)
	clientErr = conn.Handshake()
	if clientErr == nil {
		// The client learns of a rejected client certificate only at its next read.
		_, _ = conn.Read(make([]byte, 1))
	}
	_ = b.Close()
	return <-serverDone, clientErr
}

func writeKeys(t *testing.T, dir string) {
	t.Helper()
	if err := WriteDevelopmentKeys(dir, "a", "b"); err != nil {
		t.Fatal(err)
	}
}

// Only peers with a certificate of the same authority complete a handshake.
func TestHandshake_SameAuthorityOnly(t *testing.T) {
	dir, other := t.TempDir(), t.TempDir()
	writeKeys(t, dir)
	writeKeys(t, other)
	a, b, untrusted := load(t, dir, "a"), load(t, dir, "b"), load(t, other, "b")
	if serverErr, clientErr := handshake(a.Server(), b.Client()); serverErr != nil || clientErr != nil {
		t.Fatalf("peers of one authority: %v, %v", serverErr, clientErr)
	}
	if serverErr, clientErr := handshake(a.Server(), untrusted.Client()); serverErr == nil && clientErr == nil {
		t.Fatal("a peer of another authority was accepted")
	}
	withoutCertificate := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{ALPN}, MinVersion: tls.VersionTLS13}
	if serverErr, _ := handshake(a.Server(), withoutCertificate); serverErr == nil {
		t.Fatal("a peer without a certificate was accepted")
	}
}

// Replaced files, including a new authority, take effect without a restart. A broken file
// leaves the previous identity in use.
func TestReload_ReplacedAndBrokenFiles(t *testing.T) {
	dir, next := t.TempDir(), t.TempDir()
	writeKeys(t, dir)
	writeKeys(t, next)
	a, newer := load(t, dir, "a"), load(t, next, "b")
	if serverErr, clientErr := handshake(a.Server(), newer.Client()); serverErr == nil && clientErr == nil {
		t.Fatal("the next authority was trusted before the files were replaced")
	}
	modTime := time.Now().Add(time.Minute)
	replace := func(text []byte, name string) {
		t.Helper()
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, modTime, modTime); err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range []string{"ca.pem", "a.pem", "a.key"} {
		text, err := os.ReadFile(filepath.Join(next, name))
		if err != nil {
			t.Fatal(err)
		}
		replace(text, name)
	}
	if serverErr, clientErr := handshake(a.Server(), newer.Client()); serverErr != nil || clientErr != nil {
		t.Fatalf("handshake after the files were replaced: %v, %v", serverErr, clientErr)
	}
	modTime = modTime.Add(time.Minute)
	replace([]byte("broken"), "a.pem")
	if serverErr, clientErr := handshake(a.Server(), newer.Client()); serverErr != nil || clientErr != nil {
		t.Fatalf("handshake after a file was broken: %v, %v", serverErr, clientErr)
	}
}
