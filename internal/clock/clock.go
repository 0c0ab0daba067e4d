// Package clock tells the time of messages. Their deadlines and windows are spans of real time, so a step of the wall
// clock must not end or prolong them: within a process the time goes on with the monotonic clock from what the wall clock
// said at the start, and a process that takes over goes on with the time of the one before it.
package clock

import (
	"sync/atomic"
	"time"
)

// maxTransferTime is the longest time that a state transfer takes. What the wall clock says beyond it is a step.
const maxTransferTime = 5 * time.Second

// Clock is a time line in Unix microseconds. Make it with New. It may be used at any time from anywhere.
type Clock struct {
	startedAt  time.Time // with the monotonic clock's reading
	baseMicros atomic.Int64
}

// New returns a clock that begins with the wall clock's time.
func New() *Clock {
	c := &Clock{startedAt: time.Now()}
	c.baseMicros.Store(c.startedAt.UnixMicro())
	return c
}

// NowMicros is the time in Unix microseconds.
func (c *Clock) NowMicros() int64 { return c.Micros(time.Now()) }

// Micros is a reading of this process's clock on the time line. The reading must not have been stripped of its monotonic
// part.
func (c *Clock) Micros(t time.Time) int64 {
	return c.baseMicros.Load() + t.Sub(c.startedAt).Microseconds()
}

// Time is a time of the time line as a reading of this process's clock, monotonic part and all: it compares with
// time.Now whatever the wall clock says meanwhile.
func (c *Clock) Time(micros int64) time.Time {
	return c.startedAt.Add(time.Duration(micros-c.baseMicros.Load()) * time.Microsecond)
}

// ContinueFrom goes on with the time line of another process on this machine, which was at then a short while ago.
func (c *Clock) ContinueFrom(then int64) {
	now := time.Now()
	passed := time.Duration(now.UnixMicro()-then) * time.Microsecond
	if passed < 0 || passed > maxTransferTime {
		passed = 0 // the wall clock has been stepped since that process began
	}
	c.baseMicros.Store(then + passed.Microseconds() - now.Sub(c.startedAt).Microseconds())
}
