package soak

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestMostInWindow(t *testing.T) {
	start := time.Unix(1000, 0)
	run := func(sent, answered time.Duration) limitedRun {
		return limitedRun{sentAt: start.Add(sent), answeredAt: start.Add(answered)}
	}
	tests := []struct {
		name string
		runs []limitedRun
		want int
	}{
		{"none", nil, 0},
		{"one window", []limitedRun{run(0, time.Second), run(time.Second, 5*time.Second)}, 2},
		{"answered after the window", []limitedRun{run(0, time.Second), run(time.Second, 5*time.Second+1)}, 1},
		{"sent after the window", []limitedRun{run(0, time.Second), run(5*time.Second+1, 6*time.Second)}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { qt.Check(t, mostInWindow(tt.runs), qt.Equals, tt.want) })
	}
}
