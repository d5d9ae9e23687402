package clock

import (
	"context"
	"testing"
	"time"
)

// Sleep returns true after its duration, and false without waiting if its context has ended.
func TestSleep_ReportsWhetherTimePassed(t *testing.T) {
	if !Sleep(context.Background(), time.Millisecond) {
		t.Error("Sleep returned false, but its context had not ended")
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if Sleep(ended, time.Hour) {
		t.Error("Sleep returned true, but its context had ended")
	}
}
