package streams

import (
	"testing"

	"pgregory.net/rapid"
)

// TestAnswerIsWholeAndInOrder: engines send their tokens in any cuts, repeat some,
// die anywhere and send late; what is passed on is the answer, each token once.
func TestAnswerIsWholeAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 40).Draw(t, "total")
		var a Assembler
		var got []uint32
		type sender struct {
			attempt Attempt
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
			fresh, ok, err := a.Accept(s.attempt, c)
			if err != nil {
				t.Fatal(err)
			}
			if !ok {
				continue
			}
			if s.attempt != senders[len(senders)-1].attempt || fresh.Offset != len(got) {
				t.Fatalf("passed on %+v of attempt %d after %d tokens", fresh, s.attempt, len(got))
			}
			got = append(got, fresh.Tokens...)
			if fresh.Done && len(got) != total {
				t.Fatalf("done after %d of %d tokens", len(got), total)
			}
		}
		for i, token := range got {
			if token != uint32(i) {
				t.Fatalf("token %d is %d", i, token)
			}
		}
	})
}

func TestGapsAndWrongTotalsAreErrors(t *testing.T) {
	var a Assembler
	attempt, _, _ := a.Begin()
	if _, _, err := a.Accept(attempt, Chunk{Offset: 1, Tokens: []uint32{1}}); err != ErrGap {
		t.Fatalf("gap: %v", err)
	}
	if _, _, err := a.Accept(attempt, Chunk{Tokens: []uint32{1}, Done: true, Total: 2}); err != ErrTotal || a.Done() {
		t.Fatalf("total: %v, done %v", err, a.Done())
	}
}

func TestTokensOfARejectedChunkAreNotKept(t *testing.T) {
	var a Assembler
	attempt, _, _ := a.Begin()
	if _, _, err := a.Accept(attempt, Chunk{Tokens: []uint32{7, 8}, Done: true, Total: 3}); err != ErrTotal {
		t.Fatalf("total: %v", err)
	}
	if _, offset, prefix := a.Begin(); offset != 0 || len(prefix) != 0 {
		t.Fatalf("resume at %d after %v, which nobody was given", offset, prefix)
	}
}
