package logic

import "testing"

// actionsAfterRestart hands in a message of a class as after a restart and returns the actions of that step.
func actionsAfterRestart(t *testing.T, class int, prior PriorAttempts) []Action {
	t.Helper()
	h := newHarness(t, baseSettings())
	m := h.newMessage(class)
	m.Prior = prior
	return h.step(100, fullList(2), m)
}

// Guards against repeats that a class does not allow: an attempt that may have run before a restart counts like one
// after the restart.
func TestAttemptsBeforeARestartCount(t *testing.T) {
	mayHaveRun := PriorAttempts{Tries: 1, MayHaveRun: true, SinceFirstSend: Second}
	// The first send was as long ago as the window of the keyed class.
	outsideWindow := PriorAttempts{Tries: 1, MayHaveRun: true, SinceFirstSend: 8 * Second}
	for _, tc := range []struct {
		name  string
		class int
		prior PriorAttempts
		sent  bool
	}{
		{"safe, may have run", 0, mayHaveRun, true},
		{"keyed, may have run", 1, mayHaveRun, true},
		{"keyed, outside its window", 1, outsideWindow, false},
		{"unsafe, may have run", 2, mayHaveRun, false},
		{"unsafe, none may have run", 2, PriorAttempts{Tries: 5}, true},
		{"safe, no attempt left", 0, PriorAttempts{Tries: 6, MayHaveRun: true}, false},
	} {
		acts := actionsAfterRestart(t, tc.class, tc.prior)
		if n := len(actionsOf[CallOut](acts)); (n == 1) != tc.sent {
			t.Errorf("%s: got %d sends", tc.name, n)
		}
		if n := len(actionsOf[Fail](acts)); (n == 1) == tc.sent {
			t.Errorf("%s: got %d failed messages", tc.name, n)
		}
	}
	// Without an attempt that may have run the message is refused, so that the client may retry it.
	if acts := actionsAfterRestart(t, 2, PriorAttempts{Tries: 6}); len(actionsOf[Refuse](acts)) != 1 ||
		len(actionsOf[Fail](acts)) != 0 {
		t.Errorf("no attempt left, none may have run: got %v, want a refusal", acts)
	}
}

// Guards against a keyed message that takes effect twice: only endpoints in the zone of the first attempt drop its
// repeats.
func TestKeyedRepeatAfterRestartStaysInZone(t *testing.T) {
	settings := baseSettings()
	settings.Zones, settings.Classes[1].ByZone = 2, true
	h := newHarness(t, settings)
	list := fullList(2)
	list.Entries[0].Zone, list.Entries[1].Zone = 0, 1
	m := h.newMessage(1)
	m.Prior = PriorAttempts{Tries: 1, MayHaveRun: true, Zone: 1}
	sends := actionsOf[CallOut](h.step(100, list, m))
	if len(sends) != 1 || sends[0].Endpoint != 2 {
		t.Errorf("got sends %v, want one to endpoint 2", sends)
	}
}

// Attempt numbers continue after a restart, because results name the attempt by its number.
func TestAttemptNumbersContinueAfterRestart(t *testing.T) {
	h := newHarness(t, baseSettings())
	m := h.newMessage(0)
	m.Prior = PriorAttempts{Tries: 5, MayHaveRun: true}
	h.step(100, fullList(1), m)
	acts := h.step(100.1, resultOf(m.ID, 1, 5, Errored))
	if len(actionsOf[Fail](acts)) != 1 {
		t.Errorf("after the sixth attempt: got %v, want the message to fail", acts)
	}
}

// Guards against an unsafe message lost at a stop: a call that starts after the stop was announced must end before it.
func TestNoCallThatOutlastsTheStop(t *testing.T) {
	h := newHarness(t, baseSettings())
	h.step(0, fullList(1))
	for i := range 8 { // a call usually takes 0.1 s
		m := h.newMessage(2)
		h.step(float64(i), m)
		h.step(float64(i)+0.1, resultOf(m.ID, 1, 0, Completed))
	}
	h.step(10, Stopping{TimeLeft: 3 * Second})
	early, late := h.newMessage(2), h.newMessage(2)
	if n := len(actionsOf[CallOut](h.step(10.1, early))); n != 1 {
		t.Errorf("got %d sends with enough time before the stop, want 1", n)
	}
	h.step(10.2, resultOf(early.ID, 1, 0, Completed))
	acts := h.step(12.7, late)
	if len(acts) > 0 && len(actionsOf[CallOut](acts))+len(actionsOf[Refuse](acts))+len(actionsOf[Fail](acts)) != 0 {
		t.Errorf("message shortly before the stop: got %v, want it to wait for the next start", acts)
	}
}

// Guards against a call that hangs unnoticed because no other event arrives: a timer must wake the sender to check it.
func TestSingleHangingCallIsCheckedByTimer(t *testing.T) {
	h := newHarness(t, baseSettings())
	h.step(0, fullList(2))
	acts := h.step(1, h.newMessage(0))
	at, cancelledAt := 1.0, 0.0
	for i := 0; i < 20 && len(actionsOf[Cancel](acts)) == 0; i++ {
		timers := actionsOf[SetTimer](acts)
		if len(timers) == 0 {
			t.Fatal("no timer set while a call hangs")
		}
		at += seconds(timers[0].Wait)
		acts = h.step(at, TimerExpired{Token: timers[0].Token})
		cancelledAt = at
	}
	if cancelledAt == 0 || cancelledAt > 6 {
		t.Errorf("hanging call cancelled at %v s, want 6 s at most", cancelledAt)
	}
}

// recoveredMessage returns a message that the journal kept over a restart, with timeLeft seconds until its deadline.
func (h *harness) recoveredMessage(class int, timeLeft float64) NewMessage {
	m := h.newMessage(class)
	m.TimeLeft, m.Prior = fromSeconds(timeLeft), PriorAttempts{Recovered: true}
	return m
}

// answerCalls steps the sender every 0.01 s and answers each call after 0.2 s with an outcome. It returns when each
// message was first sent, and when the sender refused or failed it.
func (h *harness) answerCalls(from, to float64, outcome Outcome, evs ...Event) (firstSentAt map[string]float64,
	endedAt map[string]float64) {
	firstSentAt, endedAt = map[string]float64{}, map[string]float64{}
	due := map[float64][]Event{}
	for i := range int((to - from) / 0.01) {
		at := from + float64(i)*0.01
		for _, a := range h.step(at, append(evs, due[float64(i)]...)...) {
			switch a := a.(type) {
			case CallOut:
				if _, sentBefore := firstSentAt[a.ID]; !sentBefore {
					firstSentAt[a.ID] = at
				}
				attempt := h.sender.messages[a.ID].tries - 1
				due[float64(i+20)] = append(due[float64(i+20)], resultOf(a.ID, a.Endpoint, attempt, outcome))
			case Refuse:
				endedAt[a.ID] = at
			case Fail:
				endedAt[a.ID] = at
			}
		}
		evs = nil
	}
	return firstSentAt, endedAt
}

// lowLimitDeployment returns a deployment with a limit that is so low for its many senders that few of maxOpen messages
// can be sent in time, and a saved list of its destination.
func lowLimitDeployment(maxOpen int) (Settings, ListUpdate) {
	settings := baseSettings()
	settings.Senders, settings.MaxOpen, settings.WarmAfter, settings.MaxListAge = 300, maxOpen, 14*Second, 7*Second
	settings.LimitLeftIndex, settings.LimitIndex, settings.Weights = 0, 1, WeightsNominal
	list := fullList(2)
	for i := range list.Entries {
		list.Entries[i].Nominal = 10
	}
	list.Form, list.Stale = ListSaved, true
	return settings, list
}

// Guards against messages that end without an attempt after a restart: the pace held back more than half of them, with
// a small share of a limit for each sender, or a queue so full that the messages with the least worth were ended.
func TestRecoveredMessageIsTriedInTime(t *testing.T) {
	for _, tc := range []struct {
		name     string
		maxOpen  int
		update   ListUpdate // ListWatchOpen: a watch opens at the start; else no update arrives
		class    int
		timeLeft float64 // seconds
	}{
		{"small limit", 200, ListUpdate{Form: ListWatchOpen}, 0, 9},
		{"full queue", 16, ListUpdate{Form: ListWatchOpen}, 0, 9},
		{"unsafe", 200, ListUpdate{Form: ListWatchOpen}, 2, 9},
		{"short time left", 200, ListUpdate{Form: ListWatchOpen}, 0, 0.25},
		{"discovery late, short time left", 200, ListUpdate{}, 0, 0.25},
		{"discovery unresponsive until the list is too old", 200, ListUpdate{}, 0, 9.5},
		{"discovery unresponsive for longer", 200, ListUpdate{}, 0, 14},
	} {
		settings, list := lowLimitDeployment(tc.maxOpen)
		settings.Slots = 32
		h := newHarness(t, settings)
		evs := []Event{list}
		for range 16 {
			evs = append(evs, h.recoveredMessage(tc.class, tc.timeLeft))
		}
		if tc.update.Form == ListWatchOpen {
			evs = append(evs, tc.update)
		}
		called, ended := h.answerCalls(100, 100+tc.timeLeft+1, Completed, evs...)
		if len(called) != 16 {
			t.Errorf("%s: got %d of 16 messages sent, %d ended by the sender", tc.name, len(called), len(ended))
		}
		if tc.update.Form != ListWatchOpen {
			for id, at := range called {
				if maxAge := settings.MaxListAge; at > 100+seconds(maxAge) && at < 100+seconds(maxAge+maxStaleListWait) {
					t.Errorf("%s: message %s sent %.2f s after the start, on a list that is too old", tc.name, id, at-100)
				}
			}
		}
	}
}

// The last chance of a recovered message overrides the pace only: it waits for a retry-after time, and is not sent to a
// draining endpoint.
func TestRecoveredMessageHonorsRetryAfter(t *testing.T) {
	settings, list := lowLimitDeployment(200)
	list.Stale = false
	h := newHarness(t, settings)
	m := h.recoveredMessage(0, 4)
	if sends := actionsOf[CallOut](h.step(100, list, ListUpdate{Form: ListWatchOpen}, m)); len(sends) == 1 {
		rejected := resultOf(m.ID, sends[0].Endpoint, 0, Rejected)
		rejected.RetryAfter = 2 * Second
		h.step(100.1, rejected)
	} else {
		h.sender.destinations[9].limiter.waitUntil = fromSeconds(102.1)
	}
	called, _ := h.answerCalls(100.2, 103.9, Completed, h.recoveredMessage(0, 3.5))
	for id, at := range called {
		if at < 102.1 {
			t.Errorf("message %s sent at %.2f s, within the retry-after time", id, at)
		}
	}
	if len(called) == 0 {
		t.Error("no message sent after the retry-after time")
	}
	h = newHarness(t, settings)
	for i := range list.Entries {
		list.Entries[i].State = Draining
	}
	if called, _ := h.answerCalls(100, 109, Completed, list, h.recoveredMessage(0, 8)); len(called) != 0 {
		t.Errorf("sent to a draining endpoint: %v", called)
	}
}

// Guards against messages that expire untried during a restart. At a stop, untried messages with a deadline before the
// next start are sent at once, whatever the pace; a new one of that kind that cannot be sent is refused at admission,
// not accepted and ended untried. Messages that outlast the restart are kept for the next start.
func TestStopSendsMessagesThatWouldExpireInTheRestart(t *testing.T) {
	settings, list := lowLimitDeployment(200)
	h := newHarness(t, settings)
	list.Form, list.Stale = ListWhole, false
	var evs []Event
	for _, timeLeft := range []float64{3, 4, 4, 9, 9} {
		m := h.newMessage(0)
		m.TimeLeft = fromSeconds(timeLeft)
		evs = append(evs, m)
	}
	sends := actionsOf[CallOut](h.step(1, append([]Event{list}, evs...)...))
	sent := map[string]bool{}
	for _, a := range append(sends, actionsOf[CallOut](h.step(1.01, Stopping{TimeLeft: 3200_000}))...) {
		sent[a.ID] = true
	}
	for i, ev := range evs {
		if m := ev.(NewMessage); i < 3 && !sent[m.ID] {
			t.Errorf("message %s, with %.0f s left, is kept for a restart although it expires before the next start", m.ID,
				seconds(m.TimeLeft))
		}
	}
	short, long := h.newMessage(0), h.newMessage(0)
	short.TimeLeft = fromSeconds(3)
	acts := h.step(1.02, short, long)
	if refusals := actionsOf[Refuse](acts); len(refusals) != 1 || refusals[0].ID != short.ID ||
		len(actionsOf[Fail](acts)) != 0 {
		t.Errorf("new messages after the stop was announced: got %v, want a refusal of the short one only", acts)
	}
}
