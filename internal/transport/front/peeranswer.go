package front

import (
	"bytes"
	"compress/gzip"
	"net/http"
	"strings"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// minCompressedBytes is the size from which an answer to a peer is compressed: smaller ones fit
// into one packet anyway.
const minCompressedBytes = 1200

// peerAnswer is the encoded answer to a call of a peer.
type peerAnswer struct {
	plain []byte
	// compressed is plain in gzip format, or nil if that is not worth it.
	compressed []byte
}

// compressors holds idle gzip writers. Each takes about a megabyte.
var compressors = sync.Pool{New: func() any {
	z, err := gzip.NewWriterLevel(nil, gzip.BestSpeed)
	if err != nil {
		panic(err) // unreachable: the level is the library's own
	}
	return z
}}

// newPeerAnswer encodes v. Lists of hosts and of endpoints shrink to a fraction.
func newPeerAnswer(v any) (peerAnswer, error) {
	plain, err := cbor.Marshal(v)
	if err != nil || len(plain) < minCompressedBytes {
		return peerAnswer{plain: plain}, err
	}
	var out bytes.Buffer
	z, ok := compressors.Get().(*gzip.Writer)
	if !ok {
		return peerAnswer{plain: plain}, nil
	}
	defer compressors.Put(z)
	z.Reset(&out)
	if _, err := z.Write(plain); err != nil {
		return peerAnswer{}, err
	}
	if err := z.Close(); err != nil {
		return peerAnswer{}, err
	}
	return peerAnswer{plain: plain, compressed: out.Bytes()}, nil
}

// write sends the answer, compressed if the peer accepts that, as the HTTP client of the
// standard library does by itself. Errors of the connection are the peer's to notice.
func (a *peerAnswer) write(w http.ResponseWriter, r *http.Request) {
	if a.compressed == nil || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(a.plain)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	_, _ = w.Write(a.compressed)
}

// writeAnswer encodes and sends an answer.
func writeAnswer(w http.ResponseWriter, r *http.Request, v any) {
	answer, err := newPeerAnswer(v)
	if err != nil {
		peerError(w, err)
		return
	}
	answer.write(w, r)
}
