package httpapi

import (
	"errors"
	"net/http"
	"testing"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
)

// Any headers and body are parsed to values within the limits, or refused with an error
// whose outcome is NotRun.
func FuzzParseRequest(f *testing.F) {
	f.Add("lab", "2000", "k1", "live", `{"prompt":"p","max_tokens":5,"seed":1}`)
	f.Add("", "-1", "", "urgent", `{"prompt":1}`)
	f.Add("x", "99999999999999999999", "k", "", `{"prompt":"p","max_tokens":-5}`)
	f.Fuzz(func(t *testing.T, caller, deadline, key, priority, body string) {
		h := http.Header{}
		h.Set(CallerHeader, caller)
		h.Set(DeadlineHeader, deadline)
		h.Set(IdempotencyKeyHeader, key)
		h.Set(PriorityHeader, priority)
		headers, err := ParseRequestHeaders(h)
		checkRefusal(t, err)
		if err == nil && (headers.Timeout < 0 || headers.Timeout > MaxTimeout || len(headers.Key) > MaxKeyBytes || len(headers.Caller) > MaxKeyBytes) {
			t.Errorf("headers exceed the limits: %+v", headers)
		}
		g, err := ParseGenerate([]byte(body))
		checkRefusal(t, err)
		if err == nil && (g.Prompt == "" || g.MaxTokens < 0 || g.MaxTokens > MaxTokens) {
			t.Errorf("generate request exceeds the limits: %+v", g)
		}
	})
}

// checkRefusal fails the test unless err is nil or has a result code with the outcome
// NotRun.
func checkRefusal(t *testing.T, err error) {
	t.Helper()
	var coded *resultcode.Error
	if err != nil && (!errors.As(err, &coded) || coded.Code.Info().Outcome != resultcode.NotRun) {
		t.Errorf("error without a not-run result code: %v", err)
	}
}
