package claimduty

import (
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
)

func TestResendAtAnyHostGetsTheAnswer(t *testing.T) {
	c := newCluster(t, clusterOptions{entries: 3, shards: 2})
	told := map[string][]result{}
	for _, key := range []string{"a", "b", "c", "d"} {
		for _, e := range c.entries {
			told[key] = append(told[key], c.send(e, key, 10*time.Second))
		}
	}
	for key, results := range told {
		for i, r := range results {
			if r.code != resultcode.OK {
				t.Errorf("%s sending %d: %v", key, i, r.code)
			}
		}
	}
	c.judge(told)
}
