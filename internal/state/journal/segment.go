package journal

// Part is one object of a segment or of a segment's answers. The parts of a segment contain the
// net operations of its entries without answer bodies. A segment is complete when all its
// parts exist.
type Part struct {
	// Number is the number of the segment. Part counts its parts from 0, Parts is their
	// number.
	Number uint64 `cbor:"1,keyasint"`
	Part   int    `cbor:"2,keyasint"`
	Parts  int    `cbor:"3,keyasint"`
	// EndMillis is the time of the segment's last entry.
	EndMillis int64 `cbor:"4,keyasint"`
	Ops       []Op  `cbor:"5,keyasint"`
}

const (
	// maxPartOps bounds the operations in one part. Each is encoded in less than 160 bytes.
	maxPartOps = 4096
	// maxPartAnswerBytes is the size of answer bodies from which a part is closed.
	maxPartAnswerBytes = 512 << 10
)

// Compact compacts the entries of one segment. It returns the parts of the segment and the
// parts that store its answers; the latter are nil if no entry has an answer with a body.
func Compact(entries []Entry) (segment, answers []Part) {
	last := entries[len(entries)-1]
	net, withBody := netOps(entries)
	number := SegmentOf(last.Seq)
	segment = split(net, func(part []Op) bool { return len(part) >= maxPartOps })
	bytes := 0
	answers = split(withBody, func(part []Op) bool {
		if len(part) == 0 {
			bytes = 0
			return false
		}
		bytes += len(part[len(part)-1].Body)
		full := bytes >= maxPartAnswerBytes
		if full {
			bytes = 0
		}
		return full
	})
	setPartHeaders(segment, number, last.AtMillis)
	if len(withBody) == 0 {
		return segment, nil
	}
	setPartHeaders(answers, number, last.AtMillis)
	return segment, answers
}

// netOps removes the claims that a later operation of the same entries releases, settles or
// repeats. It removes the answer bodies from net and returns the operations that have one in
// withBody.
func netOps(entries []Entry) (net, withBody []Op) {
	claimed := map[Attempt]int{}
	var all []Op
	superseded := map[int]bool{}
	for _, e := range entries {
		for _, op := range e.Ops {
			op.Seq = e.Seq
			if op.AtMillis == 0 {
				op.AtMillis = e.AtMillis
			}
			index, claimedHere := claimed[op.Attempt]
			if claimedHere {
				superseded[index] = true
				delete(claimed, op.Attempt)
			}
			if claimedHere && op.State == Free {
				continue
			}
			if len(op.Body) > 0 {
				withBody = append(withBody, op)
				op.Body, op.HasBody = nil, true
			}
			if op.State == Running {
				claimed[op.Attempt] = len(all)
			}
			all = append(all, op)
		}
	}
	for i, op := range all {
		if !superseded[i] {
			net = append(net, op)
		}
	}
	return net, withBody
}

// split distributes ops over parts. It starts a new part whenever full returns true for the
// operations of the current one.
func split(ops []Op, full func([]Op) bool) []Part {
	parts := []Part{{}}
	for _, op := range ops {
		p := &parts[len(parts)-1]
		if full(p.Ops) {
			parts = append(parts, Part{})
			p = &parts[len(parts)-1]
		}
		p.Ops = append(p.Ops, op)
	}
	return parts
}

func setPartHeaders(parts []Part, number uint64, endMillis int64) {
	for i := range parts {
		parts[i].Number, parts[i].Part, parts[i].Parts, parts[i].EndMillis = number, i, len(parts), endMillis
	}
}
