// Package eventstream follows the events of a stream that is passed on unparsed.
//
// Invariant: a stream is complete only after the empty line that ends an event, or if it has no events at all.
package eventstream

// MaxEventBytes bounds an event of a stream, together with what is no event before it.
const MaxEventBytes = 1 << 20

// End tells how the answer to a streaming request says that it is complete.
type End struct {
	// Framed is set if the answer has a length or is sent in chunks. Otherwise the end of the
	// connection ends it, as a crash of the endpoint does.
	Framed bool
	// Events is set if the answer says that it consists of events.
	Events bool
	// Resumed is set if the stream was taken up again. The rest may have no events.
	Resumed bool
}

// MayBeEmpty reports whether an answer without events is complete.
func (e End) MayBeEmpty() bool { return e.Framed || e.Resumed }

// Bounds follows the events of a stream. A line ends with LF, CRLF or
// CR. The zero value is ready to use.
type Bounds struct {
	// pending is the number of bytes since the last event, lineBytes those of the current line.
	pending, lineBytes int
	// started is set if a line that is not empty was seen since the last event, inEvent if one of them
	// was no comment.
	started, inEvent bool
	// comment is set if the current line is a comment.
	comment bool
	// afterCR is set if the last byte was CR, which may be the first of CRLF. endsWithCR is set once a
	// line has ended with CR alone.
	afterCR, endsWithCR bool
	events              int
}

// Add adds a part of the stream. It returns false if an event is longer than MaxEventBytes.
func (b *Bounds) Add(part []byte) bool {
	for _, c := range part {
		b.pending++
		if b.afterCR && c != '\n' {
			b.endsWithCR = true
			b.endLine()
		}
		b.afterCR = c == '\r'
		switch {
		case c == '\n':
			b.endLine()
		case c != '\r':
			b.comment = b.lineBytes == 0 && c == ':' || b.lineBytes > 0 && b.comment
			b.lineBytes++
			b.started = true
		}
	}
	return b.pending <= MaxEventBytes
}

// Events returns the number of events that have ended.
func (b *Bounds) Events() int { return b.events }

func (b *Bounds) endLine() {
	switch {
	case b.lineBytes > 0:
		b.inEvent = b.inEvent || !b.comment
	case b.started:
		if b.inEvent {
			b.events++
		}
		b.started, b.inEvent, b.pending = false, false, 0
	}
	b.lineBytes = 0
}

// Complete reports whether a stream that has ended without an error is complete. It is not if it ended
// within an event: the endpoint may stop in the middle of one.
func (b *Bounds) Complete(end End) bool {
	last := *b
	if last.afterCR && last.endsWithCR {
		last.afterCR = false
		last.endLine()
	}
	if last.lineBytes > 0 || last.inEvent || last.afterCR {
		return last.events == 0 && end.Framed && !end.Events // it has no events at all
	}
	return last.events > 0 || end.MayBeEmpty()
}
