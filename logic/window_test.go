package logic

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// shortWindow is a deployment whose keyed class has a window for repeats of a second.
func shortWindow(senders int) Settings {
	set := base()
	set.Senders, set.Classes[1].Window = senders, Second
	return set
}

// drive steps a rig at each tick until a time, or until seen, which is told what is done, has had enough.
func (r *rig) drive(from, to Micros, seen func(at Micros, a Action) (enough bool)) {
	r.t.Helper()
	for at := from; at <= to; at += r.s.set.Tick {
		for _, a := range r.s.Step(at, []Event{Due{}}) {
			if seen(at, a) {
				return
			}
		}
	}
}

// learn lets the sender see calls of class b that take so long.
func (r *rig) learn(at float64, took Micros, n int) {
	r.t.Helper()
	for range n {
		for _, c := range only[CallOut](r.step(at, r.call(1))) {
			x := answer(c.ID, c.Endpoint, 0, Completed)
			x.Took = took
			r.step(at+seconds(took), x)
		}
		at += seconds(took) + 0.01
	}
}

// A keyed message whose attempt may have run is repeated while its window lasts, and never after it; neither a usual
// call's time nor the rest after an error ends it early. The window is as short as a second on days of restarts.
func TestShortWindow(t *testing.T) {
	sent, ended := 0, 0
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		set := shortWindow([]int{2, 300}[seed%2])
		r := newRig(t, set)
		r.s.rng = rand.New(rand.NewPCG(seed, 4))
		r.step(0, list(3))
		usual := []Micros{50_000, 400_000, 1500_000}[rnd.IntN(3)]
		r.learn(1, usual, 6)
		start := 30 * Second
		c := r.call(1)
		out := only[CallOut](r.s.Step(start, []Event{c}))
		if len(out) != 1 {
			t.Fatalf("seed %d: %d first sends", seed, len(out))
		}
		first, tries := start, 1
		at := start
		for { // each attempt fails after some time
			fails := []Outcome{Errored, Severed, Recalled, Overdue, RefusedConn}[rnd.IntN(5)]
			age := at - first + Micros(rnd.IntN(600_000))
			at = first + age
			x := answer(c.ID, out[0].Endpoint, tries-1, fails)
			acts := r.s.Step(at, []Event{x})
			mayRun := r.s.msgs[c.ID] == nil || r.s.msgs[c.ID].mayRun
			out = only[CallOut](acts)
			over := len(only[Fail](acts))+len(only[Refuse](acts)) > 0
			overAt := at
			if len(out) == 0 && !over {
				r.drive(at+set.Tick, at+3*Second, func(now Micros, a Action) bool {
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
func TestRestFitsTheWindow(t *testing.T) {
	for _, senders := range []int{2, 300} {
		for _, age := range []float64{0.1, 0.3, 0.5, 0.7, 0.9} {
			for tries := 1; tries <= 3; tries++ {
				r := newRig(t, shortWindow(senders))
				r.step(0, list(2))
				r.learn(1, 50_000, 6)
				c := r.call(1)
				c.Past = Past{Tries: tries, MayRun: true, Age: sec(age) - 50_000}
				out := only[CallOut](r.step(20, c))
				if len(out) != 1 {
					t.Fatalf("%d senders, age %.1f: %d sends", senders, age, len(out))
				}
				again := 0
				r.s.Step(sec(20.05), []Event{answer(c.ID, out[0].Endpoint, tries, Errored)})
				r.drive(sec(20.055), sec(23), func(at Micros, a Action) bool {
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
		set := shortWindow(senders)
		for age := Micros(0); age <= 3*Second/2; age += 2500 {
			r := newRig(t, set)
			c := r.call(1)
			c.Past = Past{Kept: true, Tries: 1, MayRun: true, Age: age}
			acts := r.step(100, list(2), c)
			sends, fails, refusals := len(only[CallOut](acts)), len(only[Fail](acts)), len(only[Refuse](acts))
			r.drive(100*Second+set.Tick, 102*Second, func(at Micros, a Action) bool {
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
					set := shortWindow(senders)
					set.Classes[1].Window = window
					newWorld(t, set, seed).play()
				}
			}
		})
	}
}
