package logic

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// shortWindowSettings is a deployment whose keyed class has a window for repeats of a second.
func shortWindowSettings(senders int) Settings {
	set := baseSettings()
	set.Senders, set.Classes[1].Window = senders, Second
	return set
}

// stepUntil steps a rig at each tick until a time, or until seen, which is told what is done, has had enough.
func (r *harness) stepUntil(from, to Micros, seen func(at Micros, a Action) (enough bool)) {
	r.t.Helper()
	for at := from; at <= to; at += r.sender.settings.Tick {
		for _, a := range r.sender.Step(at, []Event{TimerExpired{}}) {
			if seen(at, a) {
				return
			}
		}
	}
}

// learnLatency lets the sender see calls of class b that take so long.
func (r *harness) learnLatency(at float64, took Micros, n int) {
	r.t.Helper()
	for range n {
		for _, c := range actionsOf[CallOut](r.step(at, r.newMessage(1))) {
			x := resultOf(c.ID, c.Endpoint, 0, Completed)
			x.Duration = took
			r.step(at+seconds(took), x)
		}
		at += seconds(took) + 0.01
	}
}

// A keyed message whose attempt may have run is repeated while its window lasts, and never after it; neither a usual
// call's time nor the rest after an error ends it early. The window is as short as a second on days of restarts.
func TestKeyedRepeatsStayWithinAShortWindow(t *testing.T) {
	sent, ended := 0, 0
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		set := shortWindowSettings([]int{2, 300}[seed%2])
		r := newHarness(t, set)
		r.sender.rng = rand.New(rand.NewPCG(seed, 4))
		r.step(0, fullList(3))
		usual := []Micros{50_000, 400_000, 1500_000}[rnd.IntN(3)]
		r.learnLatency(1, usual, 6)
		start := 30 * Second
		c := r.newMessage(1)
		out := actionsOf[CallOut](r.sender.Step(start, []Event{c}))
		if len(out) != 1 {
			t.Fatalf("seed %d: %d first sends", seed, len(out))
		}
		first, tries := start, 1
		at := start
		for { // each attempt fails after some time
			fails := []Outcome{Errored, ConnBroken, Cancelled, TimedOut, ConnRefused}[rnd.IntN(5)]
			age := at - first + Micros(rnd.IntN(600_000))
			at = first + age
			x := resultOf(c.ID, out[0].Endpoint, tries-1, fails)
			acts := r.sender.Step(at, []Event{x})
			mayRun := r.sender.messages[c.ID] == nil || r.sender.messages[c.ID].mayHaveRun
			out = actionsOf[CallOut](acts)
			over := len(actionsOf[Fail](acts))+len(actionsOf[Refuse](acts)) > 0
			overAt := at
			if len(out) == 0 && !over {
				r.stepUntil(at+set.Tick, at+3*Second, func(now Micros, a Action) bool {
					switch a := a.(type) {
					case CallOut:
						out, at = append(out, a), now
						return true
					case Fail, Refuse:
						over, overAt = true, now
						return true
					}
					return false
				})
			}
			if len(out) > 0 && !mayRun {
				first = at // what surely did not run begins no window
			}
			if len(out) > 0 && mayRun && at > first+set.Classes[1].Window-set.Tick {
				t.Fatalf("seed %d: repeated %d us after a first send with a window of a second", seed, at-first)
			}
			if len(out) == 0 || over {
				ended++
				left := first + set.Classes[1].Window - overAt
				if mayRun && over && left > 4*set.Tick && tries < set.MaxTries {
					t.Fatalf("seed %d: ended with %d us of its window left, usual %d, after %d tries", seed, left, usual, tries)
				}
				break
			}
			sent++
			if tries++; tries >= set.MaxTries {
				break
			}
		}
	}
	if sent < 100 || ended < 100 {
		t.Errorf("%d repeats, %d ends: the test tells nothing", sent, ended)
	}
}

// The rest after an error ends with half of what is left of the window: else the window would pass unused.
func TestErrorDelayFitsTheWindow(t *testing.T) {
	for _, senders := range []int{2, 300} {
		for _, age := range []float64{0.1, 0.3, 0.5, 0.7, 0.9} {
			for tries := 1; tries <= 3; tries++ {
				r := newHarness(t, shortWindowSettings(senders))
				r.step(0, fullList(2))
				r.learnLatency(1, 50_000, 6)
				c := r.newMessage(1)
				c.Prior = PriorAttempts{Tries: tries, MayHaveRun: true, SinceFirstSend: fromSeconds(age) - 50_000}
				out := actionsOf[CallOut](r.step(20, c))
				if len(out) != 1 {
					t.Fatalf("%d senders, age %.1f: %d sends", senders, age, len(out))
				}
				again := 0
				r.sender.Step(fromSeconds(20.05), []Event{resultOf(c.ID, out[0].Endpoint, tries, Errored)})
				r.stepUntil(fromSeconds(20.055), fromSeconds(23), func(at Micros, a Action) bool {
					if _, ok := a.(CallOut); ok {
						again++
					}
					return false
				})
				if again != 1 {
					t.Errorf("%d senders, %d tries, an error %.1f s after the first: %d repeats", senders, tries, age, again)
				}
			}
		}
	}
}

// A restart at each moment: what may have run goes again inside the window, later it ends as failed.
func TestRestartInAShortWindow(t *testing.T) {
	for _, senders := range []int{2, 300} {
		set := shortWindowSettings(senders)
		for age := Micros(0); age <= 3*Second/2; age += 2500 {
			r := newHarness(t, set)
			c := r.newMessage(1)
			c.Prior = PriorAttempts{Recovered: true, Tries: 1, MayHaveRun: true, SinceFirstSend: age}
			acts := r.step(100, fullList(2), c)
			sends, fails, refusals := len(actionsOf[CallOut](acts)), len(actionsOf[Fail](acts)), len(actionsOf[Refuse](acts))
			r.stepUntil(100*Second+set.Tick, 102*Second, func(at Micros, a Action) bool {
				switch a.(type) {
				case CallOut:
					t.Errorf("age %d: sent at %d", age, at)
				case Fail:
					fails++
				}
				return false
			})
			switch left := set.Classes[1].Window - age; {
			case left > 2*set.Tick && (sends != 1 || fails != 0):
				t.Errorf("%d senders, age %d: %d sends, %d fails", senders, age, sends, fails)
			case left < set.Tick && (sends != 0 || fails != 1):
				t.Errorf("%d senders, age %d, out of its window: %d sends, %d fails", senders, age, sends, fails)
			case refusals != 0:
				t.Errorf("%d senders, age %d: refused", senders, age)
			}
		}
	}
}

// The rules under random outcomes with short windows; one that is shorter than a tick only forbids repeats.
func TestRulesInAShortWindow(t *testing.T) {
	for _, window := range []Micros{Second, Second / 10, 3000, 0} {
		t.Run(fmt.Sprint(window), func(t *testing.T) {
			for seed := uint64(1); seed <= 3; seed++ {
				for _, senders := range []int{2, 9} { // shares even, as the rig counts them
					set := shortWindowSettings(senders)
					set.Classes[1].Window = window
					newRuleChecker(t, set, seed).play()
				}
			}
		})
	}
}
