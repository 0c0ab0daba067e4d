package logic

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// shortWindowSettings returns settings whose keyed class has a window of one second for repeats.
func shortWindowSettings(senders int) Settings {
	settings := baseSettings()
	settings.Senders, settings.Classes[1].Window = senders, Second
	return settings
}

// stepUntil steps the sender at each tick until a time, or until stop returns true for an action.
func (h *harness) stepUntil(from, to Micros, stop func(at Micros, a Action) (done bool)) {
	h.t.Helper()
	for at := from; at <= to; at += h.sender.settings.Tick {
		for _, a := range h.sender.Step(at, []Event{TimerExpired{}}) {
			if stop(at, a) {
				return
			}
		}
	}
}

// learnLatency answers n messages of class b after the given latency each.
func (h *harness) learnLatency(at float64, latency Micros, n int) {
	h.t.Helper()
	for range n {
		for _, c := range actionsOf[CallOut](h.step(at, h.newMessage(1))) {
			result := resultOf(c.ID, c.Endpoint, 0, Completed)
			result.Duration = latency
			h.step(at+seconds(latency), result)
		}
		at += seconds(latency) + 0.01
	}
}

// Guards against a keyed message that is repeated after its window, or that ends early in it: where the window is as
// short as a second, neither the usual latency nor the delay after an error may use it up.
func TestKeyedRepeatsStayWithinAShortWindow(t *testing.T) {
	repeats, ends := 0, 0
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		settings := shortWindowSettings([]int{2, 300}[seed%2])
		h := newHarness(t, settings)
		h.sender.rng = rand.New(rand.NewPCG(seed, 4))
		h.step(0, fullList(3))
		usualLatency := []Micros{50_000, 400_000, 1500_000}[rnd.IntN(3)]
		h.learnLatency(1, usualLatency, 6)
		start := 30 * Second
		m := h.newMessage(1)
		sends := actionsOf[CallOut](h.sender.Step(start, []Event{m}))
		if len(sends) != 1 {
			t.Fatalf("seed %d: got %d first sends, want 1", seed, len(sends))
		}
		firstSentAt, tries := start, 1
		at := start
		for { // each attempt fails after a random time
			outcome := []Outcome{Errored, ConnBroken, Cancelled, TimedOut, ConnRefused}[rnd.IntN(5)]
			age := at - firstSentAt + Micros(rnd.IntN(600_000))
			at = firstSentAt + age
			result := resultOf(m.ID, sends[0].Endpoint, tries-1, outcome)
			acts := h.sender.Step(at, []Event{result})
			mayHaveRun := h.sender.messages[m.ID] == nil || h.sender.messages[m.ID].mayHaveRun
			sends = actionsOf[CallOut](acts)
			ended := len(actionsOf[Fail](acts))+len(actionsOf[Refuse](acts)) > 0
			endedAt := at
			if len(sends) == 0 && !ended {
				h.stepUntil(at+settings.Tick, at+3*Second, func(now Micros, a Action) bool {
					switch a := a.(type) {
					case CallOut:
						sends, at = append(sends, a), now
						return true
					case Fail, Refuse:
						ended, endedAt = true, now
						return true
					}
					return false
				})
			}
			if len(sends) > 0 && !mayHaveRun {
				firstSentAt = at // an attempt that did not run does not start the window
			}
			if len(sends) > 0 && mayHaveRun && at > firstSentAt+settings.Classes[1].Window-settings.Tick {
				t.Fatalf("seed %d: repeated %d us after the first send, with a window of 1 s", seed, at-firstSentAt)
			}
			if len(sends) == 0 || ended {
				ends++
				windowLeft := firstSentAt + settings.Classes[1].Window - endedAt
				if mayHaveRun && ended && windowLeft > 4*settings.Tick && tries < settings.MaxTries {
					t.Fatalf("seed %d: ended with %d us of its window left, usual latency of %d us, after %d attempts",
						seed, windowLeft, usualLatency, tries)
				}
				break
			}
			repeats++
			if tries++; tries >= settings.MaxTries {
				break
			}
		}
	}
	if repeats < 100 || ends < 100 {
		t.Errorf("got %d repeats and %d ends, want at least 100 of each for the test to check anything", repeats, ends)
	}
}

// Guards against a window that passes unused: the delay after an error is at most half of what is left of the window.
func TestErrorDelayFitsTheWindow(t *testing.T) {
	for _, senders := range []int{2, 300} {
		for _, age := range []float64{0.1, 0.3, 0.5, 0.7, 0.9} {
			for tries := 1; tries <= 3; tries++ {
				h := newHarness(t, shortWindowSettings(senders))
				h.step(0, fullList(2))
				h.learnLatency(1, 50_000, 6)
				m := h.newMessage(1)
				m.Prior = PriorAttempts{Tries: tries, MayHaveRun: true, SinceFirstSend: fromSeconds(age) - 50_000}
				sends := actionsOf[CallOut](h.step(20, m))
				if len(sends) != 1 {
					t.Fatalf("%d senders, age %.1f: got %d sends, want 1", senders, age, len(sends))
				}
				repeats := 0
				h.sender.Step(fromSeconds(20.05), []Event{resultOf(m.ID, sends[0].Endpoint, tries, Errored)})
				h.stepUntil(fromSeconds(20.055), fromSeconds(23), func(at Micros, a Action) bool {
					if _, ok := a.(CallOut); ok {
						repeats++
					}
					return false
				})
				if repeats != 1 {
					t.Errorf("%d senders, %d attempts, an error %.1f s after the first send: got %d repeats, want 1", senders, tries,
						age, repeats)
				}
			}
		}
	}
}

// Guards against a keyed message that a restart repeats too late or not at all: whatever the moment of the restart, a
// message that may have run is repeated in its window, and fails after it.
func TestRestartInAShortWindow(t *testing.T) {
	for _, senders := range []int{2, 300} {
		settings := shortWindowSettings(senders)
		for age := Micros(0); age <= 3*Second/2; age += 2500 {
			h := newHarness(t, settings)
			m := h.newMessage(1)
			m.Prior = PriorAttempts{Recovered: true, Tries: 1, MayHaveRun: true, SinceFirstSend: age}
			acts := h.step(100, fullList(2), m)
			sends, failed, refused := len(actionsOf[CallOut](acts)), len(actionsOf[Fail](acts)), len(actionsOf[Refuse](acts))
			h.stepUntil(100*Second+settings.Tick, 102*Second, func(at Micros, a Action) bool {
				switch a.(type) {
				case CallOut:
					t.Errorf("age %d us: sent at %d us, want no send after the first step", age, at)
				case Fail:
					failed++
				}
				return false
			})
			switch windowLeft := settings.Classes[1].Window - age; {
			case windowLeft > 2*settings.Tick && (sends != 1 || failed != 0):
				t.Errorf("%d senders, age %d us: got %d sends and %d failed messages, want one send", senders, age, sends, failed)
			case windowLeft < settings.Tick && (sends != 0 || failed != 1):
				t.Errorf("%d senders, age %d us, outside its window: got %d sends and %d failed messages, want one failed", senders,
					age, sends, failed)
			case refused != 0:
				t.Errorf("%d senders, age %d us: message refused", senders, age)
			}
		}
	}
}

// Checks the rules of ruleChecker under random outcomes with short windows. With a window shorter than a tick no
// message is repeated.
func TestRulesInAShortWindow(t *testing.T) {
	for _, window := range []Micros{Second, Second / 10, 3000, 0} {
		t.Run(fmt.Sprint(window), func(t *testing.T) {
			for seed := uint64(1); seed <= 3; seed++ {
				for _, senders := range []int{2, 9} { // few enough senders for the even shares that the rule checker expects
					settings := shortWindowSettings(senders)
					settings.Classes[1].Window = window
					newRuleChecker(t, settings, seed).play()
				}
			}
		})
	}
}
