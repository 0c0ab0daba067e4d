package clock

import (
	"testing"
	"testing/synctest"
	"time"
)

// A time of the time line compares with readings of the monotonic clock, and goes there and back unchanged.
func TestClockFollowsMonotonicTimeAndConvertsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New()
		begun := c.NowMicros()
		time.Sleep(3 * time.Second)
		if got := c.NowMicros() - begun; got != 3_000_000 {
			t.Errorf("%d us passed in 3 s", got)
		}
		due := c.Time(begun + 5_000_000)
		if got := time.Until(due); got != 2*time.Second || c.Micros(due) != begun+5_000_000 {
			t.Errorf("due in %v, at %d us", got, c.Micros(due)-begun)
		}
	})
}

// The wall clock has been stepped by an hour since the start, either way: spans stay what they are.
func TestWallClockStepsDoNotChangeIntervals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, step := range []time.Duration{time.Hour, -time.Hour, 3 * time.Second, -3 * time.Second} {
			c := New()
			c.baseMicros.Add(step.Microseconds()) // as if it had begun before the step
			due := c.NowMicros() + 1_000_000
			time.Sleep(time.Second)
			if got := time.Since(c.Time(due)); got != 0 {
				t.Errorf("step %v: due %v ago after a second", step, got)
			}
		}
	})
}

// A process that takes over goes on with the time of the one before, whose wall clock may have been another.
func TestContinueFromAnotherProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, x := range []struct{ step, transfer, passed time.Duration }{
			{0, 40 * time.Millisecond, 40 * time.Millisecond}, {time.Hour, 40 * time.Millisecond, 0},
			{-time.Hour, 40 * time.Millisecond, 0}, {-10 * time.Millisecond, 40 * time.Millisecond, 50 * time.Millisecond}} {
			before := New()
			before.baseMicros.Add(x.step.Microseconds())
			time.Sleep(time.Second)
			then := before.NowMicros()
			time.Sleep(x.transfer)
			after := New()
			time.Sleep(time.Millisecond)
			after.ContinueFrom(then)
			want := int64(0) // after a step the other process's time is taken as it was
			if x.passed > 0 {
				want = (x.passed + time.Millisecond).Microseconds()
			}
			if got := after.NowMicros() - then; got != want {
				t.Errorf("%+v: goes on %d us later, want %d", x, got, want)
			}
		}
	})
}
