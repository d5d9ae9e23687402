package front

import (
	"bytes"
	"testing"
)

// A sample's body may be as large as a batch. A host that reads it from the batch's owner must not return the beginning of it
// as the whole.
func TestBody_OfAnySizeWholeAtEveryHost(t *testing.T) {
	w := newTestCluster(t)
	hosts := w.start("h1", "h2", "h3")
	b := batch("b1", 2, 500)
	large := bytes.Repeat([]byte("0123456789abcde\n"), (5<<20)/16)
	b.Samples[0].Body = large
	if err := hosts[0].Batches.Submit(background, b); err != nil {
		t.Fatal(err)
	}
	for _, n := range hosts {
		got, err := n.Batches.Body(background, "b1", b.Samples[0].ID)
		if err != nil || !bytes.Equal(got, large) {
			t.Errorf("host %s: body of %d bytes, want %d, %v", n.Settings.Host, len(got), len(large), err)
		}
	}
}
