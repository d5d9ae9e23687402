package front

import (
	"compress/gzip"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Peers of every build must be able to read an answer: it is compressed only for those that ask
// for it, and small answers stay as they are. A list of similar records must shrink, because
// each change of an engine sends the list of all of them to every host.
func TestWriteAnswer_CompressedOnlyIfAccepted(t *testing.T) {
	records := strings.Split(strings.Repeat("an endpoint of one of the services;", 200), ";")
	for name, c := range map[string]struct {
		accept     string
		value      []string
		compressed bool
	}{
		"accepted":     {"gzip", records, true},
		"not accepted": {"", records, false},
		"small":        {"gzip", records[:3], false},
	} {
		r := httptest.NewRequest(http.MethodGet, "/feed", nil)
		if c.accept != "" {
			r.Header.Set("Accept-Encoding", c.accept)
		}
		w := httptest.NewRecorder()
		writeAnswer(w, r, c.value)
		body, sent := io.Reader(w.Body), w.Body.Len()
		if got := w.Header().Get("Content-Encoding") == "gzip"; got != c.compressed {
			t.Fatalf("%s: compressed %v, want %v", name, got, c.compressed)
		}
		if c.compressed {
			z, err := gzip.NewReader(body)
			if err != nil {
				t.Fatal(err)
			}
			body = z
		}
		var got []string
		if err := cbor.NewDecoder(body).Decode(&got); err != nil || len(got) != len(c.value) {
			t.Errorf("%s: %d of %d records, %v", name, len(got), len(c.value), err)
		}
		if c.compressed && sent > 700 { // a tenth of the plain encoding
			t.Errorf("%s: %d bytes", name, sent)
		}
	}
}
