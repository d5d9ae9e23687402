package resultcode

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// A code that is added or changed without its documentation must be noticed: every code must
// have its exact row in docs/RESULT-CODES.md, and the page must have no other rows. Codes must
// be in ascending order.
func TestTable_MatchesDocumentation(t *testing.T) {
	page, err := os.ReadFile("../../../docs/RESULT-CODES.md")
	if err != nil {
		t.Fatal(err)
	}
	last := Code(-1)
	for _, i := range All() {
		row := fmt.Sprintf("| %d | `%s` | %s | %d | %v | %s |", i.Code, i.Name, i.Outcome, i.HTTPStatus, i.Retry, i.Help)
		if !strings.Contains(string(page), row+"\n") {
			t.Errorf("row missing from docs/RESULT-CODES.md:\n%s", row)
		}
		if i.Code <= last {
			t.Errorf("code %d is listed after code %d", i.Code, last)
		}
		last = i.Code
	}
	const headerRows = 2
	if rows := strings.Count(string(page), "\n| ") - headerRows; rows != len(All()) {
		t.Errorf("docs/RESULT-CODES.md has %d rows, want %d", rows, len(All()))
	}
}
