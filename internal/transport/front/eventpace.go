package front

import "time"

// maxWritingShare is the share of the measured time that passing events on to the caller may take.
// A caller that reads slowly slows the stream down, which says nothing about the endpoint.
const maxWritingShare = 0.25

// eventPace measures the time between the events of a stream that is passed on unparsed. A blank line
// ends an event. The zero value is ready to use.
type eventPace struct {
	// started is set if the current event has a line, lineBytes counts the bytes of the current line.
	started   bool
	lineBytes int
	// since is when the event ended from which the time is measured, events counts the later ones, and
	// writing is the time that passing them on took.
	since   time.Time
	events  int
	writing time.Duration
}

// add adds a part of the stream that arrived at now. It returns the time for an event after each
// serviceTimeEvents of them, and zero otherwise.
func (p *eventPace) add(now time.Time, part []byte) time.Duration {
	ended := p.ended(part)
	switch {
	case ended == 0:
		return 0
	case p.since.IsZero():
		p.since = now
		return 0
	}
	p.events += ended
	if p.events < serviceTimeEvents {
		return 0
	}
	took, events, writing := now.Sub(p.since), p.events, p.writing
	p.since, p.events, p.writing = now, 0, 0
	if float64(writing) > maxWritingShare*float64(took) {
		return 0
	}
	return took / time.Duration(events)
}

// ended returns the number of events that end in the next part of the stream.
func (p *eventPace) ended(part []byte) int {
	n := 0
	for _, c := range part {
		switch {
		case c == '\r':
		case c != '\n':
			p.lineBytes++
			p.started = true
		case p.lineBytes == 0 && p.started:
			p.started = false
			n++
		default:
			p.lineBytes = 0
		}
	}
	return n
}
