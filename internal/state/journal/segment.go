package journal

// Part is one object of a segment: the net operations of its entries, without
// answers. A segment is whole when all its parts are there.
type Part struct {
	Number uint64 `cbor:"1,keyasint"`
	Part   int    `cbor:"2,keyasint"`
	Parts  int    `cbor:"3,keyasint"`
	// EndMillis is the time of the segment's last entry.
	EndMillis int64 `cbor:"4,keyasint"`
	Ops       []Op  `cbor:"5,keyasint"`
}

const (
	// partOps bounds the operations of one part; each takes under 160 bytes.
	partOps = 4096
	// partAnswerBytes bounds the answers of one part.
	partAnswerBytes = 512 << 10
)

// Compact folds the entries of one segment. It returns the parts of the segment,
// and those of its answers, none when it has no answers.
func Compact(entries []Entry) (segment, answers []Part) {
	last := entries[len(entries)-1]
	net, withBody := netOps(entries)
	number := SegmentOf(last.Seq)
	segment = split(net, func(part []Op) bool { return len(part) >= partOps })
	bytes := 0
	answers = split(withBody, func(part []Op) bool {
		if len(part) == 0 {
			bytes = 0
			return false
		}
		bytes += len(part[len(part)-1].Body)
		full := bytes >= partAnswerBytes
		if full {
			bytes = 0
		}
		return full
	})
	stamp(segment, number, last.AtMillis)
	if len(withBody) == 0 {
		return segment, nil
	}
	stamp(answers, number, last.AtMillis)
	return segment, answers
}

// netOps drops what a later operation of the range undid or states again, and the
// answers.
func netOps(entries []Entry) (net, withBody []Op) {
	claimed := map[Attempt]int{}
	var all []Op
	dropped := map[int]bool{}
	for _, e := range entries {
		for _, op := range e.Ops {
			op.Seq = e.Seq
			if op.AtMillis == 0 {
				op.AtMillis = e.AtMillis
			}
			at, here := claimed[op.Attempt]
			if here {
				dropped[at] = true
				delete(claimed, op.Attempt)
			}
			if here && op.State == Free {
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
		if !dropped[i] {
			net = append(net, op)
		}
	}
	return net, withBody
}

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

func stamp(parts []Part, number uint64, endMillis int64) {
	for i := range parts {
		parts[i].Number, parts[i].Part, parts[i].Parts, parts[i].EndMillis = number, i, len(parts), endMillis
	}
}
