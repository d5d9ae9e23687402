package eventstream

import "testing"

// Wherever a stream is cut, it is complete only after the blank line that ends an event.
func FuzzBounds(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: c\n", 3)
	f.Fuzz(func(t *testing.T, body string, size int) {
		var whole, parts Bounds
		whole.Add([]byte(body))
		for rest := body; rest != ""; {
			n := min(len(rest), max(size, 1))
			parts.Add([]byte(rest[:n]))
			rest = rest[n:]
		}
		if whole != parts {
			t.Fatalf("in parts of %d bytes: %+v, whole: %+v", size, parts, whole)
		}
		end := End{Framed: true, Events: true}
		if body == "" || !whole.Complete(end) {
			return
		}
		if last := body[len(body)-1]; last != '\n' && last != '\r' {
			t.Fatalf("%q ends within a line and is complete", body)
		}
	})
}
