package node

import (
	"testing"
	"time"
)

// A step of the wall clock by an hour in either direction does not affect held messages: the window for repeats keeps
// its length, and messages end at their deadlines.
func TestWallClockStepDoesNotEndMessages(t *testing.T) {
	for name, step := range map[string]time.Duration{"an hour forward": time.Hour, "an hour back": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, c, p, eps := startNodeWithEndpoints(t, 1, func(n *Node) { n.clock.ContinueFrom(n.clock.NowMicros() + step.Microseconds()) })
			c.put("a", "keyed", "+OK")
			await(t, eps[0].calls, "call").reply(500)
			in := await(t, eps[0].calls, "second call within the window")
			if in.id() != "a" {
				t.Errorf("call with %q", in.id())
			}
			in.reply(200)
			c.putWithTime("b", "unsafe", 700, "+OK")
			at := time.Now()
			await(t, eps[0].calls, "call").reply(429, "X-Come-Back-Ms: 60000")
			n := await(t, p.notices, "end")
			if took := time.Since(at); n.ID != "b" || n.State != "returned" || took > 2*time.Second {
				t.Errorf("%+v after %v", n, took)
			}
		})
	}
}
