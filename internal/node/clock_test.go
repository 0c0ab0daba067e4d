package node

import (
	"testing"
	"time"
)

// The wall clock has been stepped by an hour since the start, either way: what is held keeps its time, a window for
// repeats stays as long as it is, and the end comes when it is due.
func TestWallClockStepDoesNotEndMessages(t *testing.T) {
	for name, step := range map[string]time.Duration{"an hour forward": time.Hour, "an hour back": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, c, p, eps := startNodeWithEndpoints(t, 1, func(n *Node) { n.clock.ContinueFrom(n.clock.NowMicros() + step.Microseconds()) })
			c.put("a", "keyed", "+OK")
			await(t, eps[0].calls, "call").reply(500)
			in := await(t, eps[0].calls, "call again, within its window")
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
