package logic

import (
	"os"
	"strings"
	"testing"
	"unicode/utf8"
)

// TestSourceFileLimits bounds the length and width of the program files of package logic, so that they stay readable.
func TestSourceFileLimits(t *testing.T) {
	names := []string{"logic.go", "types.go", "state.go", "settings.go", "list_lease.go", "endpoint_list.go", "queue.go",
		"routing.go", "gate.go", "ejection.go", "slow_start.go", "rate_limit.go", "restart_time.go", "outcome.go",
		"ending.go", "timer.go"}
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		filled := 0
		for i, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				filled++
			}
			if n := utf8.RuneCountInString(line); n > 110 {
				t.Errorf("%s:%d has %d characters, want at most 110", name, i+1, n)
			}
		}
		if filled > 1200 {
			t.Errorf("%s has %d non-blank lines, want at most 1200", name, filled)
		}
	}
	text, _ := os.ReadFile("logic.go")
	top, _, _ := strings.Cut(string(text), "import")
	if !strings.Contains(top, "logic/types.go") {
		t.Error("the top of logic.go does not name logic/types.go")
	}
}
