package clock

import (
	"fmt"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Anchor is a point of a timeline, by a clock of the machine that no step of the wall clock changes. A later process on
// the same machine continues the timeline from it. The fields' names are part of the journal's format.
type Anchor struct {
	BootID         string `json:"boot"` // of the machine's start: another start means another clock
	UptimeMicros   int64  `json:"up"`   // CLOCK_MONOTONIC, which processes follow too
	TimelineMicros int64  `json:"time"`
}

const bootIDPath = "/proc/sys/kernel/random/boot_id"

// readUptime returns the id of the machine's start and its monotonic clock in microseconds. Tests replace it.
var readUptime = func() (bootID string, micros int64, err error) {
	text, err := os.ReadFile(bootIDPath)
	if err != nil {
		return "", 0, err
	}
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return "", 0, fmt.Errorf("monotonic clock: %w", err)
	}
	return strings.TrimSpace(string(text)), now.Nano() / int64(time.Microsecond), nil
}

// Anchor returns the current point of the timeline.
func (c *Clock) Anchor() (Anchor, error) {
	bootID, uptime, err := readUptime()
	if err != nil {
		return Anchor{}, fmt.Errorf("anchor of the clock: %w", err)
	}
	return Anchor{BootID: bootID, UptimeMicros: uptime, TimelineMicros: c.NowMicros()}, nil
}

// ContinueFromAnchor continues the timeline of an earlier process and reports whether it could. It cannot if the machine
// was started again since, or the anchor makes no sense; the clock stays as it is then.
func (c *Clock) ContinueFromAnchor(a Anchor) bool {
	bootID, uptime, err := readUptime()
	if err != nil || a.BootID == "" || a.BootID != bootID || a.UptimeMicros <= 0 || uptime < a.UptimeMicros || a.TimelineMicros <= 0 {
		return false
	}
	timelineNow := a.TimelineMicros + uptime - a.UptimeMicros
	c.baseMicros.Store(timelineNow - time.Since(c.startedAt).Microseconds())
	return true
}
