package clock

import (
	"testing"
	"testing/synctest"
	"time"
)

// A process that continues from an anchor takes the time since by the machine's clock, whatever the wall clock says, and
// keeps the wall clock if the anchor is of no use.
func TestTimelineContinuesFromAnchor(t *testing.T) {
	original := readUptime
	defer func() { readUptime = original }()
	synctest.Test(t, func(t *testing.T) {
		machineStart := time.Now().Add(-time.Hour)
		bootID := "first"
		readUptime = func() (string, int64, error) { return bootID, time.Since(machineStart).Microseconds(), nil }
		before := New()
		before.baseMicros.Add(-(2 * time.Hour).Microseconds()) // the wall clock was stepped since
		anchor, err := before.Anchor()
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(1500 * time.Millisecond)
		after := New()
		time.Sleep(time.Millisecond)
		if !after.ContinueFromAnchor(anchor) || after.NowMicros() != before.NowMicros() {
			t.Errorf("continues at %d us, want %d", after.NowMicros(), before.NowMicros())
		}
		useless := []Anchor{{}, {"first", 0, 5}, {"other", anchor.UptimeMicros, anchor.TimelineMicros},
			{"first", anchor.UptimeMicros + time.Hour.Microseconds(), anchor.TimelineMicros}, {"first", anchor.UptimeMicros, -1}}
		for _, a := range useless {
			c := New()
			if wall := c.NowMicros(); c.ContinueFromAnchor(a) || c.NowMicros() != wall {
				t.Errorf("%+v: continued", a)
			}
		}
	})
}
