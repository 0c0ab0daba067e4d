package node

import (
	"testing"
	"time"

	"crossdeal/internal/discovery"
)

// A repeat that is withheld since its window passed after the decision breaks no rule; one that was decided on too late
// does.
func TestRepeatPastItsWindowIsWithheldOrBroken(t *testing.T) {
	for name, tt := range map[string]struct {
		decidedBeforeEnd     time.Duration
		withheld, violations int
	}{"window passed since the decision": {100 * time.Millisecond, 1, 0}, "decided after the window": {-10 * time.Millisecond, 0, 1}} {
		cfg, err := ParseConfig(configText(newTestPlatform(t), discovery.List{Generation: 1, Reset: true, Instances: instancesOf(newTestEndpoint(t))}))
		if err != nil {
			t.Fatal(err)
		}
		cfg.StateDir = t.TempDir()
		n, err := New(cfg, nil)
		if err != nil {
			t.Fatal(err)
		}
		class := cfg.Deployment.Settings.Classes[cfg.ClassIndexes["keyed"]]
		windowEnd := time.Now().Add(-50 * time.Millisecond)
		message := Message{ID: "a", Class: "keyed", Deadline: n.clock.Micros(time.Now().Add(time.Minute))}
		n.held["a"] = &heldMessage{message: &message}
		n.journal.entries["a"] = &Entry{Message: message, MayHaveRun: true, FirstMayHaveRunAt: n.clock.Micros(windowEnd.Add(-toDuration(class.Window)))}
		n.decidedAt = windowEnd.Add(-tt.decidedBeforeEnd)
		if n.permitCall("a", 1) {
			t.Errorf("%s: the repeat is permitted", name)
		}
		if got := n.guard.withheldCounts[ruleRepeat]; got != tt.withheld {
			t.Errorf("%s: %d withheld, want %d", name, got, tt.withheld)
		}
		if got := n.guard.violationCounts[ruleRepeat]; got != tt.violations {
			t.Errorf("%s: %d violations, want %d", name, got, tt.violations)
		}
	}
}
