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

// handshake returns the errors of both ends.
func handshake(server, client *tls.Config) (serverErr, clientErr error) {
	a, b := net.Pipe()
	defer func() { _ = a.Close() }()
	ended := make(chan error, 1)
	go func() {
		ended <- tls.Server(a, server).Handshake()
		_ = a.Close()
	}()
	conn := tls.Client(b, client)
	clientErr = conn.Handshake()
	if clientErr == nil {
		// A refusal of the client's certificate shows only with the next read.
		_, _ = conn.Read(make([]byte, 1))
	}
	_ = b.Close()
	return <-ended, clientErr
}

func writeKeys(t *testing.T, dir string) {
	t.Helper()
	if err := WriteDevelopmentKeys(dir, "a", "b"); err != nil {
		t.Fatal(err)
	}
}

func TestPeersOfOneAuthorityOnly(t *testing.T) {
	dir, other := t.TempDir(), t.TempDir()
	writeKeys(t, dir)
	writeKeys(t, other)
	a, b, stranger := load(t, dir, "a"), load(t, dir, "b"), load(t, other, "b")
	if serverErr, clientErr := handshake(a.Server(), b.Client()); serverErr != nil || clientErr != nil {
		t.Fatalf("peers of one authority: %v, %v", serverErr, clientErr)
	}
	if serverErr, clientErr := handshake(a.Server(), stranger.Client()); serverErr == nil && clientErr == nil {
		t.Fatal("a stranger was let in")
	}
	nameless := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{ALPN}, MinVersion: tls.VersionTLS13}
	if serverErr, _ := handshake(a.Server(), nameless); serverErr == nil {
		t.Fatal("a peer without a certificate was let in")
	}
}

func TestReplacedFilesAreTakenUpAndBrokenOnesAreNot(t *testing.T) {
	dir, next := t.TempDir(), t.TempDir()
	writeKeys(t, dir)
	writeKeys(t, next)
	a, newer := load(t, dir, "a"), load(t, next, "b")
	if serverErr, clientErr := handshake(a.Server(), newer.Client()); serverErr == nil && clientErr == nil {
		t.Fatal("the next authority was trusted before its time")
	}
	later := time.Now().Add(time.Minute)
	replace := func(text []byte, name string) {
		t.Helper()
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, later, later); err != nil {
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
		t.Fatalf("replaced files: %v, %v", serverErr, clientErr)
	}
	later = later.Add(time.Minute)
	replace([]byte("broken"), "a.pem")
	if serverErr, clientErr := handshake(a.Server(), newer.Client()); serverErr != nil || clientErr != nil {
		t.Fatalf("a broken file took the identity away: %v, %v", serverErr, clientErr)
	}
}
