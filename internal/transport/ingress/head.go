package ingress

import (
	"bytes"
	"strconv"
	"strings"

	"oleanderfall.example/oleanderfall/internal/protocol/httpanswer"
)

// fieldMemoryBytes is what a field of a head takes besides its bytes, as parsed and in the copy for an endpoint.
const fieldMemoryBytes = 320

// headCost returns the memory that a head takes.
func headCost(length, fields int) int64 { return int64(2*length + fields*fieldMemoryBytes) }

// headLength returns the length of the head with which b begins, zero if b has only a part of it.
func headLength(b []byte, from int) int { return httpanswer.HeadLength(b, from) }

// blankBytes returns the number of bytes of empty lines before a head.
func blankBytes(b []byte) int { return len(b) - len(bytes.TrimLeft(b, "\r\n")) }

// framing is what is left of a request, as far as that can be told from its head. It only decides how many bytes are
// delivered at once: at its end they are delivered singly, so that a request that net/http reads otherwise is
// still read as a whole.
type framing struct {
	// left is the number of bytes before the chunks, or of the whole request.
	left   int64
	chunks *chunkEnd
}

// parseFraming returns the framing of a request and the number of fields in its head.
func parseFraming(head []byte) (f framing, fields int) {
	f.left = int64(len(head))
	for line := range bytes.Lines(head) {
		fields++
		name, value, ok := strings.Cut(string(line[:min(len(line), maxFramingField)]), ":")
		if !ok {
			continue
		}
		switch value = strings.TrimSpace(value); {
		case strings.EqualFold(name, "Content-Length"):
			if n, err := strconv.ParseInt(value, 10, 63); err == nil && f.chunks == nil {
				f.left = int64(len(head)) + max(n, 0)
			}
		case strings.EqualFold(name, "Transfer-Encoding"):
			f.left, f.chunks = int64(len(head)), &chunkEnd{}
		}
	}
	return f, fields
}

// maxFramingField is the length up to which a field is examined.
const maxFramingField = 64

// most returns how many bytes may be read at once, up to n.
func (f *framing) most(n int) int {
	switch {
	case f.left > 0:
		return int(min(int64(n), f.left))
	case f.chunks != nil && !f.chunks.ended:
		return n
	}
	return min(n, 1)
}

// advance returns how many of the bytes in b, at least one, may be delivered, and counts them as delivered.
func (f *framing) advance(b []byte) int {
	n := 0
	if f.left > 0 {
		n = int(min(int64(len(b)), f.left))
		f.left -= int64(n)
	}
	if f.left == 0 && f.chunks != nil && !f.chunks.ended {
		n += f.chunks.advance(b[n:])
	}
	return max(n, 1)
}

// chunkEnd finds the end of a body in chunks.
type chunkEnd struct {
	// left is the number of bytes of the current chunk with the line end after it.
	left int64
	// line is the beginning of the current line: the size of a chunk, or a trailer.
	line []byte
	// trailers is set after the last chunk, ended after the body.
	trailers, ended bool
}

// maxChunkLine is the length up to which a line is kept.
const maxChunkLine = 32

// advance returns how many of the bytes in b belong to the body.
func (c *chunkEnd) advance(b []byte) (n int) {
	for n < len(b) && !c.ended {
		if c.left > 0 {
			part := int(min(int64(len(b)-n), c.left))
			c.left -= int64(part)
			n += part
			continue
		}
		i := bytes.IndexByte(b[n:], '\n')
		if i < 0 {
			c.keep(b[n:])
			return len(b)
		}
		c.keep(b[n : n+i])
		n += i + 1
		c.endLine()
	}
	return n
}

func (c *chunkEnd) keep(b []byte) {
	c.line = append(c.line, b[:min(len(b), max(0, maxChunkLine-len(c.line)))]...)
}

// endLine handles the end of a line outside chunks.
func (c *chunkEnd) endLine() {
	line := strings.TrimSpace(string(c.line))
	c.line = c.line[:0]
	if c.trailers {
		c.ended = line == ""
		return
	}
	size, _, _ := strings.Cut(line, ";")
	switch n, err := strconv.ParseInt(strings.TrimSpace(size), 16, 63); {
	case err != nil: // net/http refuses the body
		c.ended = true
	case n == 0:
		c.trailers = true
	default:
		c.left = n + int64(len("\r\n"))
	}
}
