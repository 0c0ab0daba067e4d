package logic

import "testing"

// Guards against sends on a stale list where an agent pushes it. The list is current while a watch is open. After a
// watch has ended, or after an update without a watch, sends continue for the drain grace less maxProcessingDelay, and
// then wait for the next update. An agent that does not answer at all has lost discovery and learns nothing new, so
// sends continue on the list as it is. An agent whose answers are late, unusable or rejections is not silent, even if
// requests get no answer in time. After a start on a saved list nothing is sent before the agent's first answer.
// If the agent does not answer, a message waits for half of its time.
func TestPushedListIsUsedForTheDrainGrace(t *testing.T) {
	const grace = Second
	lease := seconds(grace - maxProcessingDelay)
	watched, unresponsive := ListUpdate{Form: ListWatchOpen}, ListUpdate{Form: ListRequestFailed, Unresponsive: true}
	failed, unusable, begun :=
		ListUpdate{Form: ListRequestFailed}, ListUpdate{Form: ListAnswerUnusable}, ListUpdate{Form: ListAnswerBegun}
	update, notSent := ListUpdate{Form: ListDelta}, ListUpdate{Form: ListRequestFailed, NotSent: true}
	rejected := ListUpdate{Form: ListRequestFailed, Rejected: true}
	late := func(age Micros) ListUpdate { return ListUpdate{Form: ListDelta, Late: true, Age: age} }
	type timed struct {
		at     float64
		update ListUpdate
	}
	for name, tc := range map[string]struct {
		saved   bool // the list is the one saved before the start
		updates []timed
		at      float64
		sent    bool
	}{
		"watch open for long":                  {false, []timed{{0.1, watched}}, 30, true},
		"update, no watch yet":                 {false, []timed{{5, update}}, 5 + lease - 0.01, true},
		"update, no watch for the grace":       {false, []timed{{5, update}}, 5 + lease + 0.01, false},
		"watch failed":                         {false, []timed{{0.1, watched}, {9, failed}}, 9 + lease - 0.01, true},
		"watch failed, no update since":        {false, []timed{{0.1, watched}, {9, failed}}, 9 + lease + 0.01, false},
		"answer begun while the watch is open": {false, []timed{{0.1, watched}, {9, begun}}, 9 + lease + 0.01, false},
		"answer begun, then unusable": {false, []timed{{0.1, watched}, {9, begun}, {9.7, unusable}},
			9 + lease + 0.01, false},
		"no usable answer for seconds": {false, []timed{{0.1, watched}, {9, unusable}, {12, failed}, {15, failed}},
			16, false},
		"update after an unusable answer": {false, []timed{{0.1, watched}, {9, unusable}, {12, failed}, {15, update}},
			15.1, true},
		"watch failed, then the agent unresponsive": {false, []timed{{0.1, watched}, {9, failed}, {9.3, unresponsive}},
			20, true},
		"agent back with an unusable answer": {false,
			[]timed{{0.1, watched}, {9, unresponsive}, {9.3, unresponsive}, {15, unusable}},
			15 + lease + 0.01, false},
		"unresponsive once, after an unusable answer": {false, []timed{{0.1, watched}, {9, unusable}, {9.5, unresponsive}},
			12, false},
		"requests not sent since the watch failed": {false, []timed{{0.1, watched}, {9, failed}, {9.3, notSent}, {12, notSent}},
			15, false},
		"request not sent, agent unresponsive just before": {false,
			[]timed{{0.1, watched}, {9, failed}, {9.3, unresponsive}, {11.7, unresponsive}, {12, notSent}},
			11.7 + lease - 0.01, true},
		"requests not sent for the grace after the agent was unresponsive": {false,
			[]timed{{0.1, watched}, {9, failed}, {9.3, unresponsive}, {11.7, unresponsive}, {12, notSent}},
			11.7 + lease + 0.01, false},
		"unresponsive again after a request that was not sent": {false,
			[]timed{{0.1, watched}, {9, failed}, {12, notSent}, {12.5, unresponsive}}, 20, true},
		"rejections for long": {false, []timed{{0.1, watched}, {9, rejected}, {18, rejected}, {27, rejected}}, 36, false},
		"rejections, no answers in between": {false,
			[]timed{{0.1, watched}, {9, rejected}, {12, unresponsive}, {18, rejected}, {21, unresponsive}}, 27, false},
		"rejections, then the agent unresponsive for long": {false,
			[]timed{{0.1, watched}, {9, rejected}, {12, unresponsive}, {19, unresponsive}}, 19.1, true},
		"unusable answers for long": {false, []timed{{0.1, watched}, {9, unusable}, {18, unusable}, {27, unusable}}, 36, false},
		"watch failed, confirmed at its start": {false,
			[]timed{{0.1, watched}, {9, ListUpdate{Form: ListRequestFailed, Unresponsive: true, Age: Second / 2}}},
			9 - 0.5 + lease + 0.01, false},
		"late update": {false, []timed{{0.1, watched}, {9, failed}, {9.3, unresponsive}, {12, late(Second / 2)}},
			12 - 0.5 + lease - 0.01, true},
		"late update, no later one": {false, []timed{{0.1, watched}, {9, failed}, {9.3, unresponsive}, {12, late(Second / 2)}},
			12 - 0.5 + lease + 0.01, false},
		"late update, then no answer in time": {false,
			[]timed{{0.1, watched}, {9, failed}, {9.3, unresponsive}, {12, late(Second / 2)}, {12.1, unresponsive}},
			12 - 0.5 + lease + 0.01, false},
		"late updates that are too old": {false,
			[]timed{{0.1, watched}, {9, failed}, {9.3, unresponsive}, {12, late(2 * Second)}, {12.3, unresponsive}, {14, late(2 * Second)}},
			14.01, false},
		"update in time after late ones": {false,
			[]timed{{0.1, watched}, {9, failed}, {9.3, unresponsive}, {12, late(2 * Second)}, {12.3, update}}, 12.4, true},
		"agent unresponsive after an update in time": {false,
			[]timed{{0.1, watched}, {9, failed}, {9.3, unresponsive}, {12, late(2 * Second)}, {12.3, update}, {12.7, unresponsive}},
			14, true},
		"after a start, rejections for long": {true, []timed{{0.3, rejected}, {9, rejected}, {18, rejected}}, 27, false},
		"after a start, late update":         {true, []timed{{0.3, unresponsive}, {0.5, late(Second / 2)}}, 0.6, true},
		"after a start":                      {true, nil, 0.01, false},
		"after a start, answered":            {true, []timed{{0.01, update}}, 0.02, true},
		"after a start, agent unresponsive":  {true, []timed{{0.3, unresponsive}, {0.7, unresponsive}}, 2, false},
		"after a start, unusable answer":     {true, []timed{{0.3, unusable}, {0.7, failed}}, 9, false},
	} {
		settings := baseSettings()
		settings.ListPushed, settings.DrainGrace = true, grace
		h := newHarness(t, settings)
		first := fullList(1)
		first.Form, first.Stale = ListSaved, tc.saved
		h.step(0, first)
		for _, e := range tc.updates {
			h.step(e.at, e.update)
		}
		if n := len(actionsOf[CallOut](h.step(tc.at, h.newMessage(0)))); (n == 1) != tc.sent {
			t.Errorf("%s: got %d sends at %.2f s, want a send: %v", name, n, tc.at, tc.sent)
		}
	}
}

// newSavedListHarness returns a harness whose sender has a drain grace of one second and gets its list from an agent.
// The sender has just started on a saved list that may be stale.
func newSavedListHarness(t *testing.T) *harness {
	settings := baseSettings()
	settings.ListPushed, settings.DrainGrace = true, Second
	h := newHarness(t, settings)
	first := fullList(1)
	first.Form, first.Stale = ListSaved, true
	h.step(0, first)
	return h
}

// Guards against sends on a saved list before the agent's first answer. With an unresponsive agent a message waits for
// half of its time. After an unusable answer it waits for a usable one, up to maxFaultyAnswerWait.
func TestStartWaitsForTheAgentsAnswer(t *testing.T) {
	for _, tc := range []struct {
		update        ListUpdate
		sentAfterHalf bool // the message is sent after half of its time
	}{{ListUpdate{Form: ListRequestFailed, Unresponsive: true}, true}, {ListUpdate{Form: ListAnswerUnusable}, false}} {
		h := newSavedListHarness(t)
		m := h.newMessage(0)
		m.TimeLeft = 8 * Second
		h.step(0.1, m)
		h.step(0.3, tc.update)
		if n := len(actionsOf[CallOut](h.step(3))); n != 0 {
			t.Errorf("%+v: message sent before half of its time was over", tc.update)
		}
		if n := len(actionsOf[CallOut](h.step(4.2))); (n == 1) != tc.sentAfterHalf {
			t.Errorf("%+v: got %d sends after half of its time", tc.update, n)
		}
	}
}

// Guards against sends on a saved list while this host could not send the requests for a newer one: the agent's time for
// its first answer counts from the last of them.
func TestStartWaitsForRequestsThatWereNotSent(t *testing.T) {
	notSent := ListUpdate{Form: ListRequestFailed, NotSent: true}
	for at, want := range map[float64]int{0.6: 0, 0.7: 1} {
		h := newSavedListHarness(t)
		m := h.newMessage(0)
		m.TimeLeft = Second
		h.step(0.01, m)
		h.step(0.1, notSent)
		h.step(0.35, notSent)
		if n := len(actionsOf[CallOut](h.step(at))); n != want {
			t.Errorf("got %d sends %.2f s after the start, want %d", n, at, want)
		}
	}
}

// Guards against a message with little time left that is sent on the saved list before the agent can answer, because
// half of its time is over sooner.
func TestShortMessageWaitsForTheFirstAnswer(t *testing.T) {
	for _, tc := range []struct {
		at     float64
		answer bool
		sent   bool
	}{{0.12, false, false}, {0.12, true, true}, {0.25, false, false}} {
		h := newSavedListHarness(t)
		m := h.newMessage(0)
		m.TimeLeft = Second / 5
		sent := len(actionsOf[CallOut](h.step(0.01, m)))
		if tc.answer {
			sent += len(actionsOf[CallOut](h.step(0.02, ListUpdate{Form: ListDelta})))
		}
		sent += len(actionsOf[CallOut](h.step(tc.at)))
		if (sent == 1) != tc.sent {
			t.Errorf("%+v: got %d sends", tc, sent)
		}
	}
}

// Guards against sends on the saved list before the agent's first answer when a stop is announced during a start.
func TestStopDuringStartWaitsForTheAgent(t *testing.T) {
	for _, tc := range []struct {
		update        ListUpdate
		sentAfterHalf bool // the message is sent after half of its time
	}{{ListUpdate{Form: ListRequestFailed, Unresponsive: true}, true}, {ListUpdate{Form: ListAnswerBegun}, false}} {
		h := newSavedListHarness(t)
		m := h.newMessage(0)
		m.TimeLeft = 2 * Second
		h.step(0.1, m)
		if n := len(actionsOf[CallOut](h.step(0.15, Stopping{TimeLeft: 3200_000}))); n != 0 {
			t.Errorf("%+v: message sent when the stop was announced", tc.update)
		}
		if n := len(actionsOf[CallOut](h.step(0.3, tc.update))); n != 0 {
			t.Errorf("%+v: message sent before half of its time was over", tc.update)
		}
		if n := len(actionsOf[CallOut](h.step(1.2))); (n == 1) != tc.sentAfterHalf {
			t.Errorf("%+v: got %d sends after half of its time", tc.update, n)
		}
	}
}

// A process that takes over has no watch yet, so the list is valid for the drain grace from the takeover. An
// unresponsive agent has lost discovery, for this process as for the one before.
func TestTakeoverRestartsTheLease(t *testing.T) {
	for _, tc := range []struct {
		at           float64
		unresponsive bool
		sent         bool
	}{{20.5, false, true}, {21, false, false}, {21, true, true}} {
		settings := baseSettings()
		settings.ListPushed, settings.DrainGrace = true, Second
		h := newHarness(t, settings)
		h.step(0, fullList(1))
		h.step(0.1, ListUpdate{Form: ListWatchOpen})
		h.step(20)
		s, err := Resume(settings, 7, h.sender.Save())
		if err != nil {
			t.Fatal(err)
		}
		h.sender = s
		if tc.unresponsive {
			h.step(20.4, ListUpdate{Form: ListRequestFailed, Unresponsive: true})
		}
		if n := len(actionsOf[CallOut](h.step(tc.at, h.newMessage(0)))); (n == 1) != tc.sent {
			t.Errorf("%+v: got %d sends", tc, n)
		}
	}
}
