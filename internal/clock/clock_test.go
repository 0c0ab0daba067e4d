package clock

import (
	"testing"
	"testing/synctest"
	"time"
)

// A time on the timeline compares with monotonic readings, and converts back and forth unchanged.
func TestClockFollowsMonotonicTimeAndConvertsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New()
		startMicros := c.NowMicros()
		time.Sleep(3 * time.Second)
		if got := c.NowMicros() - startMicros; got != 3_000_000 {
			t.Errorf("the clock advanced by %d us in 3 s", got)
		}
		due := c.Time(startMicros + 5_000_000)
		if got := time.Until(due); got != 2*time.Second || c.Micros(due) != startMicros+5_000_000 {
			t.Errorf("due in %v, at %d us", got, c.Micros(due)-startMicros)
		}
	})
}

// The wall clock was stepped by up to an hour since the start, forward or back: intervals keep their length.
func TestWallClockStepsDoNotChangeIntervals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, step := range []time.Duration{time.Hour, -time.Hour, 3 * time.Second, -3 * time.Second} {
			c := New()
			c.baseMicros.Add(step.Microseconds()) // as if the clock had started before the step
			due := c.NowMicros() + 1_000_000
			time.Sleep(time.Second)
			if got := time.Since(c.Time(due)); got != 0 {
				t.Errorf("step %v: due %v ago after a second", step, got)
			}
		}
	})
}

// A process that takes over continues the time of its predecessor, also if the wall clock was stepped in between.
func TestContinueFromAnotherProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, test := range []struct{ step, transfer, passed time.Duration }{
			{0, 40 * time.Millisecond, 40 * time.Millisecond}, {time.Hour, 40 * time.Millisecond, 0},
			{-time.Hour, 40 * time.Millisecond, 0}, {-10 * time.Millisecond, 40 * time.Millisecond, 50 * time.Millisecond}} {
			before := New()
			before.baseMicros.Add(test.step.Microseconds())
			time.Sleep(time.Second)
			otherMicros := before.NowMicros()
			time.Sleep(test.transfer)
			after := New()
			time.Sleep(time.Millisecond)
			after.ContinueFrom(otherMicros)
			want := int64(0) // after a step the other process's time is continued without an elapsed time
			if test.passed > 0 {
				want = (test.passed + time.Millisecond).Microseconds()
			}
			if got := after.NowMicros() - otherMicros; got != want {
				t.Errorf("%+v: continues %d us later, want %d", test, got, want)
			}
		}
	})
}
