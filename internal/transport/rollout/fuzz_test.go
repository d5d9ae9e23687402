package rollout

import (
	"encoding/json"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/samples"
	"oleanderfall.example/oleanderfall/internal/protocol/trainerapi"
	"oleanderfall.example/oleanderfall/internal/state/ledger"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// An opening that newStepSpec accepts is within the limits of the trainer and the record.
func FuzzNewStepSpec(f *testing.F) {
	f.Add([]byte(`{"step":1,"prompts":["a","b"],"group_size":4,"max_tokens":10,"version":1}`))
	f.Add([]byte(`{"step":1,"prompt_source":{"prefix":"p","count":65536},"group_size":65536}`))
	f.Add([]byte(`{"step":1,"prompts":["a"],"needed_groups":-1,"max_tokens":-1}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var open trainerapi.OpenStep
		if json.Unmarshal(b, &open) != nil {
			return
		}
		spec, err := newStepSpec(open, model.Trainer{GroupSize: 8, StepSamples: 4096, StalenessBound: 2})
		if err != nil {
			return
		}
		if spec.Groups < 1 || spec.GroupSize < 1 || spec.Groups*spec.GroupSize > ledger.MaxSlots {
			t.Fatalf("accepted a step of %d groups of %d samples", spec.Groups, spec.GroupSize)
		}
		if spec.Needed < 0 || spec.Needed > spec.Groups || spec.MaxTokens < 0 || spec.Bound < 0 || spec.Bound > 2 {
			t.Fatalf("accepted a step out of bounds: %+v", spec)
		}
	})
}

// A query that parsePull accepts is within the limits for samples and waiting time.
func FuzzParsePull(f *testing.F) {
	f.Add("cursor=1&max=5&version=2&wait_ms=100")
	f.Add("max=18446744073709551615&wait_ms=18446744073709551615")
	f.Fuzz(func(t *testing.T, query string) {
		if _, err := url.ParseQuery(query); err != nil {
			return
		}
		r := httptest.NewRequest("GET", "/", nil)
		r.URL.RawQuery = query
		p, wait := samples.Pull{Max: defaultBatchSamples}, defaultPullWait
		if parsePull(r, &p, &wait) != nil {
			return
		}
		if p.Max < 0 || p.Max > maxBatchSamples || wait < 0 || wait > maxPullWait || wait > time.Hour {
			t.Fatalf("%q gave max %d, wait %s", query, p.Max, wait)
		}
	})
}
