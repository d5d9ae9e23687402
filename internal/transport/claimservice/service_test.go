package claimservice

import (
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
)

// A key sent again at other hosts runs once, and every sender gets its answer.
func TestBegin_ResendToOtherHostReturnsAnswer(t *testing.T) {
	c := newCluster(t, clusterOptions{entries: 3, shards: 2})
	received := map[string][]result{}
	for _, key := range []string{"a", "b", "c", "d"} {
		for _, e := range c.entries {
			received[key] = append(received[key], c.send(e, key, 10*time.Second))
		}
	}
	for key, results := range received {
		for i, r := range results {
			if r.code != resultcode.OK {
				t.Errorf("%s sending %d: %v", key, i, r.code)
			}
		}
	}
	c.checkResults(received)
}
