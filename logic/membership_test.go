package logic

import "testing"

// Where an agent pushes the list, sends go on for the drain's grace after a watch has ended, less the time that a sender
// may be held up, and stop then until the next news: unless the agent says nothing, which has lost discovery. A start
// sends nothing before its first answer, or half of a message's time.
func TestPushedListIsUsedForTheDrainGrace(t *testing.T) {
	const grace = Second
	lease := seconds(grace - maxProcessingDelay)
	watched, silent := ListUpdate{Form: ListWatchOpen}, ListUpdate{Form: ListRequestFailed, Unresponsive: true}
	failed, unusable, begun := ListUpdate{Form: ListRequestFailed}, ListUpdate{Form: ListAnswerUnusable}, ListUpdate{Form: ListAnswerBegun}
	news := ListUpdate{Form: ListDelta}
	type at struct {
		t  float64
		ev ListUpdate
	}
	for name, x := range map[string]struct {
		start bool // on a list that is as it was before the start
		evs   []at
		at    float64
		sent  bool
	}{
		"watched for long":                     {false, []at{{0.1, watched}}, 30, true},
		"news, no watch yet":                   {false, []at{{5, news}}, 5 + lease - 0.01, true},
		"news, no watch for the grace":         {false, []at{{5, news}}, 5 + lease + 0.01, false},
		"the watch broke":                      {false, []at{{0.1, watched}, {9, failed}}, 9 + lease - 0.01, true},
		"the watch broke, and nothing came":    {false, []at{{0.1, watched}, {9, failed}}, 9 + lease + 0.01, false},
		"an answer began under the watch":      {false, []at{{0.1, watched}, {9, begun}}, 9 + lease + 0.01, false},
		"it could not be used":                 {false, []at{{0.1, watched}, {9, begun}, {9.7, unusable}}, 9 + lease + 0.01, false},
		"nor were those for seconds":           {false, []at{{0.1, watched}, {9, unusable}, {12, failed}, {15, failed}}, 16, false},
		"then news":                            {false, []at{{0.1, watched}, {9, unusable}, {12, failed}, {15, news}}, 15.1, true},
		"the watch fell silent, the agent too": {false, []at{{0.1, watched}, {9, failed}, {9.3, silent}}, 20, true},
		"back with an answer of no use":        {false, []at{{0.1, watched}, {9, silent}, {9.3, silent}, {15, unusable}}, 15 + lease + 0.01, false},
		"silent once, after one of no use":     {false, []at{{0.1, watched}, {9, unusable}, {9.5, silent}}, 12, false},
		"a start":                              {true, nil, 0.01, false},
		"a start, answered":                    {true, []at{{0.01, news}}, 0.02, true},
		"a start, nobody answers":              {true, []at{{0.3, silent}, {0.7, silent}}, 2, false},
		"a start, answered with no use":        {true, []at{{0.3, unusable}, {0.7, failed}}, 9, false},
	} {
		set := baseSettings()
		set.ListPushed, set.DrainGrace = true, grace
		r := newHarness(t, set)
		first := fullList(1)
		first.Form, first.Stale = ListCached, x.start
		r.step(0, first)
		for _, e := range x.evs {
			r.step(e.t, e.ev)
		}
		if n := len(actionsOf[CallOut](r.step(x.at, r.newMessage(0)))); (n == 1) != x.sent {
			t.Errorf("%s: %d sends at %.2f, want %v", name, n, x.at, x.sent)
		}
	}
}

// newSavedListHarness is a sender with a grace of a second that starts on a list that may be old, where an agent pushes it.
func newSavedListHarness(t *testing.T) *harness {
	set := baseSettings()
	set.ListPushed, set.DrainGrace = true, Second
	r := newHarness(t, set)
	first := fullList(1)
	first.Form, first.Stale = ListCached, true
	r.step(0, first)
	return r
}

// A message waits for an agent that is silent at a start for half of its time, and for one whose answers are of no use for
// as long as they come.
func TestStartWaitsForTheAgentsAnswer(t *testing.T) {
	for _, x := range []struct {
		ev   ListUpdate
		half bool
	}{{ListUpdate{Form: ListRequestFailed, Unresponsive: true}, true}, {ListUpdate{Form: ListAnswerUnusable}, false}} {
		r := newSavedListHarness(t)
		c := r.newMessage(0)
		c.TimeLeft = 8 * Second
		r.step(0.1, c)
		r.step(0.3, x.ev)
		if n := len(actionsOf[CallOut](r.step(3))); n != 0 {
			t.Errorf("%+v: sent before half of its time", x.ev)
		}
		if n := len(actionsOf[CallOut](r.step(4.2))); (n == 1) != x.half {
			t.Errorf("%+v: %d sends after half of its time", x.ev, n)
		}
	}
}

// A message with little time left was sent on the saved list of a start before the agent could answer.
func TestShortMessageWaitsForTheFirstAnswer(t *testing.T) {
	for _, x := range []struct {
		at     float64
		answer bool
		sent   bool
	}{{0.12, false, false}, {0.12, true, true}, {0.25, false, false}} {
		r := newSavedListHarness(t)
		c := r.newMessage(0)
		c.TimeLeft = Second / 5
		sent := len(actionsOf[CallOut](r.step(0.01, c)))
		if x.answer {
			sent += len(actionsOf[CallOut](r.step(0.02, ListUpdate{Form: ListDelta})))
		}
		sent += len(actionsOf[CallOut](r.step(x.at)))
		if (sent == 1) != x.sent {
			t.Errorf("%+v: %d sends", x, sent)
		}
	}
}

// A stop told in the middle of a start had messages sent on the saved list before the agent's first answer.
func TestStopDuringStartWaitsForTheAgent(t *testing.T) {
	for _, x := range []struct {
		ev   ListUpdate
		half bool // sent after half of its time
	}{{ListUpdate{Form: ListRequestFailed, Unresponsive: true}, true}, {ListUpdate{Form: ListAnswerBegun}, false}} {
		r := newSavedListHarness(t)
		c := r.newMessage(0)
		c.TimeLeft = 2 * Second
		r.step(0.1, c)
		if n := len(actionsOf[CallOut](r.step(0.15, Stopping{TimeLeft: 3200_000}))); n != 0 {
			t.Errorf("%+v: sent at the stop", x.ev)
		}
		if n := len(actionsOf[CallOut](r.step(0.3, x.ev))); n != 0 {
			t.Errorf("%+v: sent before half of its time", x.ev)
		}
		if n := len(actionsOf[CallOut](r.step(1.2))); (n == 1) != x.half {
			t.Errorf("%+v: %d sends after half of its time", x.ev, n)
		}
	}
}

// A process that takes over has no watch yet: the list is good for the grace from then on. An agent that is silent has
// lost discovery, for it as for the one before.
func TestTakeoverRestartsTheLease(t *testing.T) {
	for _, x := range []struct {
		at     float64
		silent bool
		sent   bool
	}{{20.5, false, true}, {21, false, false}, {21, true, true}} {
		set := baseSettings()
		set.ListPushed, set.DrainGrace = true, Second
		r := newHarness(t, set)
		r.step(0, fullList(1))
		r.step(0.1, ListUpdate{Form: ListWatchOpen})
		r.step(20)
		s, err := Resume(set, 7, r.sender.Save())
		if err != nil {
			t.Fatal(err)
		}
		r.sender = s
		if x.silent {
			r.step(20.4, ListUpdate{Form: ListRequestFailed, Unresponsive: true})
		}
		if n := len(actionsOf[CallOut](r.step(x.at, r.newMessage(0)))); (n == 1) != x.sent {
			t.Errorf("%+v: %d sends", x, n)
		}
	}
}
