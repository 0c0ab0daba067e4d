// Package clock provides the time by which messages are processed. Their deadlines and windows are spans of real time,
// so a step of the wall clock must neither shorten nor prolong them. Within a process, the clock starts at the wall
// clock's time and then follows the monotonic clock. A process that takes over continues the time of its predecessor.
package clock

import (
	"sync/atomic"
	"time"
)

// maxTransferTime is the longest time that a state transfer takes. If more time has passed on the wall clock meanwhile,
// it was stepped.
const maxTransferTime = 5 * time.Second

// Clock is a timeline in Unix microseconds. It is created by New and safe for concurrent use.
type Clock struct {
	startedAt  time.Time    // with its monotonic reading
	baseMicros atomic.Int64 // time on the timeline at startedAt
}

// New returns a clock that starts at the wall clock's time.
func New() *Clock {
	c := &Clock{startedAt: time.Now()}
	c.baseMicros.Store(c.startedAt.UnixMicro())
	return c
}

// NowMicros returns the current time in Unix microseconds.
func (c *Clock) NowMicros() int64 { return c.Micros(time.Now()) }

// Micros converts a time of this process to the timeline. The time must still have its monotonic reading.
func (c *Clock) Micros(t time.Time) int64 {
	return c.baseMicros.Load() + t.Sub(c.startedAt).Microseconds()
}

// Time converts a time on the timeline to a time of this process, with a monotonic reading: it compares correctly with
// time.Now even if the wall clock is stepped.
func (c *Clock) Time(micros int64) time.Time {
	return c.startedAt.Add(time.Duration(micros-c.baseMicros.Load()) * time.Microsecond)
}

// ContinueFrom continues the timeline of another process on this machine, which was at otherMicros a short while ago.
func (c *Clock) ContinueFrom(otherMicros int64) {
	now := time.Now()
	elapsed := time.Duration(now.UnixMicro()-otherMicros) * time.Microsecond
	if elapsed < 0 || elapsed > maxTransferTime {
		elapsed = 0 // the wall clock has been stepped since that process started
	}
	c.baseMicros.Store(otherMicros + elapsed.Microseconds() - now.Sub(c.startedAt).Microseconds())
}
