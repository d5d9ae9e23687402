package objectapi_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
)

// A value over the limit, which another writer may have stored, must not be returned as its beginning.
func TestHTTPClientGet_PartOfALargeValueIsAnError(t *testing.T) {
	for size, whole := range map[int]bool{objectapi.MaxValueBytes: true, objectapi.MaxValueBytes + 1: false, 2 * objectapi.MaxValueBytes: false} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(objectapi.VersionHeader, "3")
			_, _ = w.Write(bytes.Repeat([]byte("v"), size))
		}))
		o, err := objectapi.NewHTTPClient(server.URL, &http.Client{}).Get(context.Background(), "things/a")
		server.Close()
		if (err == nil) != whole || err == nil && len(o.Value) != size {
			t.Errorf("value of %d bytes: got %d bytes, %v", size, len(o.Value), err)
		}
	}
}
