package clock

import (
	"context"
	"testing"
	"time"
)

func TestSleepTellsWhetherTheTimePassed(t *testing.T) {
	if !Sleep(context.Background(), time.Millisecond) {
		t.Error("the context did not end")
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if Sleep(ended, time.Hour) {
		t.Error("the time did not pass")
	}
}
