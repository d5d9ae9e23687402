package front

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/transport/ingress"
)

// newTestBodies returns a reader of bodies at a host with the given memory.
func newTestBodies(memoryBytes int64) *Bodies {
	return NewBodies(ingress.NewLimiter(ingress.DefaultLimits(memoryBytes, 0), prometheus.NewRegistry(), slog.New(slog.DiscardHandler)))
}

// endlessBody counts what is read of it.
type endlessBody struct{ read int }

func (b *endlessBody) Read(p []byte) (int, error) {
	b.read += len(p)
	return len(p), nil
}

// Large bodies that are each within the operator's limit must not take a host past its memory together: what
// does not fit is refused, and not read if its length is known.
func TestBodies_LargeOnesTogetherStayWithinMemory(t *testing.T) {
	const memory, length = 284 << 20, 30 << 20
	b := newTestBodies(memory)
	var releases []func()
	for i := range 8 {
		source := &endlessBody{}
		body, release, err := b.ReadBody(t.Context(), io.LimitReader(source, length), length, 1)
		switch {
		case err == nil && len(body) == length:
			releases = append(releases, release)
		case !isCode(err, resultcode.Overloaded) || source.read > 0:
			t.Errorf("body %d: %d bytes read, error %v", i, source.read, err)
		}
	}
	if n := len(releases); n != 2 {
		t.Errorf("%d bodies of 30 MiB accepted at the same time, want 2 in a quarter of 284 MiB", n)
	}
	if _, release, err := b.ReadBody(t.Context(), bytes.NewReader(make([]byte, smallBodyBytes)), smallBodyBytes, 1); err != nil {
		t.Errorf("small body beside large ones: %v", err)
	} else {
		release()
	}
	source := &endlessBody{}
	if _, _, err := b.ReadBody(t.Context(), source, -1, 1); !isCode(err, resultcode.Overloaded) || source.read > memory/4-2*length {
		t.Errorf("endless body without a length: %d bytes read, error %v", source.read, err)
	}
	for _, release := range releases {
		release()
	}
	if held := b.limiter.Held(); held != 0 {
		t.Errorf("%d bytes reserved without a body", held)
	}
}

// A body larger than the share for bodies is served while it is alone, and an early end releases its memory.
func TestBodies_AloneAndCutShort(t *testing.T) {
	const length = 30 << 20
	b := newTestBodies(64 << 20)
	body, release, err := b.ReadBody(t.Context(), bytes.NewReader(make([]byte, length)), length, BatchBodyCopies)
	if err != nil || len(body) != length {
		t.Fatalf("%d bytes, error %v", len(body), err)
	}
	release()
	if body, release, err = b.ReadBody(t.Context(), bytes.NewReader(make([]byte, length)), -1, 1); err != nil || len(body) != length {
		t.Fatalf("without a length: %d bytes, error %v", len(body), err)
	}
	release()
	if _, _, err = b.ReadBody(t.Context(), bytes.NewReader(make([]byte, length/2)), length, 1); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("body cut short: error %v", err)
	}
	if held := b.limiter.Held(); held != 0 {
		t.Errorf("%d bytes reserved without a body", held)
	}
}
