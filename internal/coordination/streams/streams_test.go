package streams

import (
	"testing"

	"pgregory.net/rapid"
)

// Engines split their tokens into arbitrary chunks, repeat some, fail at any point, and
// chunks of earlier attempts may arrive late. The assembled answer must still contain each
// token once and in order.
func TestAssembler_AnswerCompleteAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 40).Draw(t, "total")
		var a Assembler
		var got []uint32
		type sender struct {
			attempt AttemptNumber
			next    int
		}
		var senders []sender
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			if len(senders) == 0 || rapid.IntRange(0, 9).Draw(t, "resume") == 0 {
				attempt, offset, prefix := a.Begin()
				if offset != len(got) || len(prefix) != offset {
					t.Fatalf("resume at %d with %d tokens after %d", offset, len(prefix), len(got))
				}
				senders = append(senders, sender{attempt, rapid.IntRange(0, offset).Draw(t, "from")})
			}
			s := &senders[rapid.IntRange(0, len(senders)-1).Draw(t, "sender")]
			c := Chunk{Offset: s.next}
			for range min(rapid.IntRange(0, 5).Draw(t, "tokens"), total-s.next) {
				c.Tokens = append(c.Tokens, uint32(s.next))
				s.next++
			}
			if s.next == total {
				c.Done, c.Total = true, total
			}
			added, ok, err := a.Accept(s.attempt, c)
			if err != nil {
				t.Fatal(err)
			}
			if !ok {
				continue
			}
			if s.attempt != senders[len(senders)-1].attempt || added.Offset != len(got) {
				t.Fatalf("accepted chunk %+v of attempt %d after %d tokens", added, s.attempt, len(got))
			}
			got = append(got, added.Tokens...)
			if added.Done && len(got) != total {
				t.Fatalf("done after %d of %d tokens", len(got), total)
			}
		}
		for i, token := range got {
			if token != uint32(i) {
				t.Fatalf("token at offset %d is %d", i, token)
			}
		}
	})
}

// A chunk after a gap and a final chunk with a wrong total must be errors; otherwise an
// incomplete answer would be passed on as complete.
func TestAssembler_GapsAndWrongTotals(t *testing.T) {
	var a Assembler
	attempt, _, _ := a.Begin()
	if _, _, err := a.Accept(attempt, Chunk{Offset: 1, Tokens: []uint32{1}}); err != ErrGap {
		t.Fatalf("chunk after a gap: got %v, want ErrGap", err)
	}
	if _, _, err := a.Accept(attempt, Chunk{Tokens: []uint32{1}, Done: true, Total: 2}); err != ErrTotal || a.Done() {
		t.Fatalf("wrong total: got %v, want ErrTotal; done %v", err, a.Done())
	}
}

// Tokens of a chunk that is rejected because of its total were never returned to the
// caller, so the next attempt must not resume after them.
func TestAssembler_RejectedChunkNotKept(t *testing.T) {
	var a Assembler
	attempt, _, _ := a.Begin()
	if _, _, err := a.Accept(attempt, Chunk{Tokens: []uint32{7, 8}, Done: true, Total: 3}); err != ErrTotal {
		t.Fatalf("wrong total: got %v, want ErrTotal", err)
	}
	if _, offset, prefix := a.Begin(); offset != 0 || len(prefix) != 0 {
		t.Fatalf("resume at %d after %v, which were never returned", offset, prefix)
	}
}
