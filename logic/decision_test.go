package logic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// addSamples fills a histogram with n samples each of the given latencies.
func addSamples(h *histogram, n int, latencies ...float64) {
	for range n {
		for _, latency := range latencies {
			h.add(0, fromSeconds(latency), false)
		}
	}
}

func TestRestartTimeFromLatencies(t *testing.T) {
	for _, tc := range []struct {
		name    string
		fill    func(*histogram)
		restart bool
	}{
		{"one speed: waiting is best", func(h *histogram) { addSamples(h, 20, 0.1) }, false},
		{"a few very slow: restart early", func(h *histogram) { addSamples(h, 20, 0.1); addSamples(h, 4, 8) }, true},
		{"too few samples", func(h *histogram) { addSamples(h, 4, 0.1); addSamples(h, 1, 8) }, false},
		{"cut attempts lower M0", func(h *histogram) {
			addSamples(h, 20, 0.1)
			for range 5 {
				h.add(0, fromSeconds(0.4), true)
			}
		}, true},
	} {
		var h histogram
		tc.fill(&h)
		if got := h.tau > 0; got != tc.restart {
			t.Errorf("%s: got tau of %d us", tc.name, h.tau)
		}
		if h.tau > 0 && (h.tau < fromSeconds(0.1) || h.tau > fromSeconds(0.2)) {
			t.Errorf("%s: got tau of %d us, want the bin edge past the quick calls", tc.name, h.tau)
		}
	}
}

func TestHistogramDiscountsOldSamples(t *testing.T) {
	var h histogram
	addSamples(&h, 16, 0.1)
	h.add(histogramHalfLife, fromSeconds(1), false)
	if math.Abs(h.answeredWeight-9) > 1e-9 {
		t.Errorf("weight of 16 samples after a half-life and a new one: got %v, want 9", h.answeredWeight)
	}
	for range 20 {
		h.add(histogramHalfLife, fromSeconds(1), false)
	}
	if h.median < fromSeconds(0.9) {
		t.Errorf("got median of %d us after 20 samples of 1 s, want the new latency", h.median)
	}
}

// serveCalls answers n new messages of class 0 after 0.1 s each, so that latencies are known. It returns the time
// after the last.
func (h *harness) serveCalls(at float64, n int) float64 {
	for range n {
		for _, c := range actionsOf[CallOut](h.step(at, h.newMessage(0))) {
			h.step(at+0.1, resultOf(c.ID, c.Endpoint, 0, Completed))
		}
		at += 0.4
	}
	return at
}

func TestFirstSendsRotateOverEndpoints(t *testing.T) {
	h := newHarness(t, baseSettings())
	h.step(0, fullList(3))
	seen := map[EndpointID]int{}
	for i := range 9 {
		for _, c := range actionsOf[CallOut](h.step(float64(i), h.newMessage(0))) {
			seen[c.Endpoint]++
			h.step(float64(i)+0.1, resultOf(c.ID, c.Endpoint, 0, Completed))
		}
	}
	if seen[1] != 3 || seen[2] != 3 || seen[3] != 3 {
		t.Errorf("nine sends by endpoint: got %v, want three each", seen)
	}
}

func TestCallCutOffAtRestartTimeIsResentElsewhere(t *testing.T) {
	for class, resent := range []bool{true, true, false} {
		settings := baseSettings()
		settings.Weights = WeightsNominal
		h := newHarness(t, settings)
		list := fullList(2)
		list.Entries[0].Nominal, list.Entries[1].Nominal = 40, 40
		h.step(0, list)
		at := h.serveCalls(1, 20)
		d := h.sender.destinations[9]
		addSamples(&d.histogram, 2, 5) // a few slow calls, so that a restart takes less time on average
		d.histogram.add(h.sender.now, fromSeconds(5), false)
		if d.histogram.tau == 0 {
			t.Fatal("got no tau from a few slow calls")
		}
		d.histogram.p95 = d.histogram.tau
		m := h.newMessage(class)
		first := actionsOf[CallOut](h.step(at, m))[0]
		limit := seconds(max(d.histogram.tau, h.sender.stuckAfter(d, h.sender.messages[m.ID])))
		if c := actionsOf[Cancel](h.step(at+limit-0.05, TimerExpired{})); len(c) > 0 {
			t.Errorf("class %d: call cancelled before its limit", class)
		}
		cancelled := actionsOf[Cancel](h.step(at+limit+0.01, TimerExpired{}))
		if got := len(cancelled) == 1; got != resent {
			t.Fatalf("class %d: call cancelled at tau: got %v", class, got)
		}
		if !resent {
			continue
		}
		resends := actionsOf[CallOut](h.step(at+limit+0.05, resultOf(m.ID, first.Endpoint, 0, Cancelled)))
		if len(resends) != 1 || resends[0].Endpoint == first.Endpoint {
			t.Errorf("class %d: got sends %v after the cancel at endpoint %d, want one to the other endpoint", class, resends,
				first.Endpoint)
		}
		// Each restart doubles the limit, so that a message that always takes long is not cut off again and again.
		if c := actionsOf[Cancel](h.step(at+2*limit+0.1, TimerExpired{})); len(c) > 0 {
			t.Errorf("class %d: the second attempt was cancelled at the limit of the first", class)
		}
	}
}

func TestNoSendWithLessTimeThanMedianLatency(t *testing.T) {
	h := newHarness(t, baseSettings())
	h.step(0, fullList(1))
	at := h.serveCalls(1, 10)
	m := h.newMessage(0)
	m.TimeLeft = fromSeconds(0.05) // less than the median of 0.1 s
	acts := h.step(at, m)
	if len(actionsOf[Refuse](acts)) != 1 || len(actionsOf[CallOut](acts)) != 0 {
		t.Errorf("message with less time left than the median latency: got %v, want a refusal", acts)
	}
}

func TestPaceHalvesOnceASecondToItsMinimum(t *testing.T) {
	h := newHarness(t, baseSettings())
	l := &limiter{}
	h.sender.now = fromSeconds(1)
	for range 6 {
		l.sentTimes = append(l.sentTimes, h.sender.now)
	}
	h.sender.reducePace(l)
	if l.pace != 6 {
		t.Fatalf("pace after the first rejection: got %v, want the rate of the last second, 6", l.pace)
	}
	h.sender.reducePace(l)
	if l.pace != 6 {
		t.Errorf("pace after a second rejection within a second: got %v, want 6", l.pace)
	}
	for i, want := range []float64{3, 1.5, 1, 1} {
		h.sender.now = fromSeconds(2 + float64(i))
		h.sender.reducePace(l)
		if l.pace != want {
			t.Errorf("rejection %d: got pace %v, want %v", i+2, l.pace, want)
		}
	}
	h.sender.raisePace(l)
	if l.pace != 1.1 {
		t.Errorf("pace after a success: got %v, want 1.1", l.pace)
	}
	// With a known limit the lowest pace is at most an even share of it, and the pace grows by a part of that share.
	l = &limiter{limit: 20, pace: 1}
	h.sender.raisePace(l)
	if l.pace != 2 {
		t.Errorf("pace under a limit of 20 for two senders: got %v, want 2", l.pace)
	}
	if f := h.sender.minPace(&limiter{limit: 1}); f != 0.5 {
		t.Errorf("lowest pace under a limit of 1 for two senders: got %v, want 0.5", f)
	}
}

func TestBurstLargerThanThePace(t *testing.T) {
	settings := baseSettings()
	settings.Weights, settings.Slots = WeightsNominal, 40
	h := newHarness(t, settings)
	list := fullList(1)
	list.Entries[0].Nominal = 8 // two senders: a pace of 1.25 * 8 / 2 = 5
	h.step(0, list)
	var messages []Event
	for range 12 {
		messages = append(messages, h.newMessage(0))
	}
	h.sender.destinations[9].limiter.refilledAt = 0
	h.step(5)
	if n := len(actionsOf[CallOut](h.step(5, messages...))); n != 2 {
		t.Errorf("got %d sends of a burst at once under a pace of 5 a second, want the 2 of half a second", n)
	}
}

func TestRetryAfterIsHonored(t *testing.T) {
	for _, separateRoutes := range []bool{false, true} {
		settings := baseSettings()
		settings.Kinds[0].SeparateRoutes = separateRoutes
		h := newHarness(t, settings)
		h.step(0, fullList(2))
		c := actionsOf[CallOut](h.step(1, h.newMessage(0)))[0]
		rejected := resultOf(c.ID, c.Endpoint, 0, Rejected)
		rejected.RetryAfter = fromSeconds(1.5)
		acts := h.step(1.1, rejected, h.newMessage(0), h.newMessage(1), h.newMessage(2))
		for _, send := range actionsOf[CallOut](acts) {
			if !separateRoutes || send.Endpoint == c.Endpoint {
				t.Errorf("separate routes %v: sent to endpoint %d during the retry-after time of endpoint %d", separateRoutes,
					send.Endpoint, c.Endpoint)
			}
		}
		if separateRoutes && len(actionsOf[CallOut](acts)) == 0 {
			t.Error("the retry-after time of one route held back sends to the other")
		}
		later := h.step(3.7, TimerExpired{})
		if !separateRoutes && len(actionsOf[CallOut](later)) == 0 {
			t.Error("nothing sent after the retry-after time")
		}
	}
}

// Guards against sends in a wait that came with an answer which may have run otherwise: one that breaks off behind it.
func TestRetryAfterOfAnUnreadableAnswerIsHonored(t *testing.T) {
	h := newHarness(t, baseSettings())
	m := h.newMessage(0)
	out := actionsOf[CallOut](h.step(0, fullList(1), m))
	broken := resultOf(m.ID, out[0].Endpoint, 0, ConnBroken)
	broken.RetryAfter = fromSeconds(1.5)
	h.step(0.1, broken)
	for at := 0.2; at < 1.6; at += 0.1 {
		if sent := actionsOf[CallOut](h.step(at, TimerExpired{})); len(sent) > 0 {
			t.Fatalf("sent %.1f s after a wait of 1.5 s began", at-0.1)
		}
	}
	if sent := actionsOf[CallOut](h.step(2, TimerExpired{})); len(sent) == 0 {
		t.Error("not sent after the wait")
	}
}

func TestMessageThatMayHaveRunFails(t *testing.T) {
	for _, o := range []Outcome{Errored, ConnBroken, TimedOut, Cancelled} {
		h := newHarness(t, baseSettings())
		h.step(0, fullList(2))
		c := actionsOf[CallOut](h.step(1, h.newMessage(2)))[0]
		acts := h.step(1.1, resultOf(c.ID, c.Endpoint, 0, o))
		if len(actionsOf[Fail](acts)) != 1 || len(actionsOf[CallOut](acts))+len(actionsOf[Refuse](acts)) > 0 {
			t.Errorf("outcome %d of an unsafe message: got %v, want it to fail", o, acts)
		}
	}
	for _, o := range []Outcome{ConnRefused, NotSent} {
		h := newHarness(t, baseSettings())
		h.step(0, fullList(2))
		c := actionsOf[CallOut](h.step(1, h.newMessage(2)))[0]
		acts := h.step(1.1, resultOf(c.ID, c.Endpoint, 0, o))
		acts = append(acts, h.step(4, TimerExpired{})...)
		acts = append(acts, h.step(9.5, TimerExpired{})...)
		if len(actionsOf[Fail](acts)) != 0 || len(actionsOf[CallOut](acts)) == 0 {
			t.Errorf("outcome %d, which proves that the attempt did not run: got %v, want a resend", o, acts)
		}
	}
}

func TestMessagesToUnresponsiveDestinationsEndInTime(t *testing.T) {
	for name, list := range map[string]ListUpdate{"no list": {}, "silent": fullList(2),
		"unknown destination": {Entries: []Entry{{Endpoint: 5, Destination: 4}}}} {
		h := newHarness(t, baseSettings())
		h.step(0, list)
		h.step(1, h.newMessage(0), h.newMessage(1), h.newMessage(2))
		ended := map[string]bool{}
		for at := 1.0; at < 16; at += 0.005 {
			for _, a := range h.step(at, TimerExpired{}) {
				switch a := a.(type) {
				case Refuse:
					ended[a.ID] = true
				case Fail:
					ended[a.ID] = true
				}
			}
			for i, c := range h.sender.settings.Classes {
				if id := []string{"m1", "m2", "m3"}[i]; fromSeconds(at) >= fromSeconds(1)+c.Deadline && !ended[id] {
					t.Fatalf("%s: message %s has not ended by its deadline", name, id)
				}
			}
		}
		if len(ended) != 3 {
			t.Errorf("%s: got ended messages %v, want all three", name, ended)
		}
	}
}

// An overloaded discovery stays overloaded if the senders of a fleet all ask again soon and at the same time.
func TestManySendersSpreadListRequests(t *testing.T) {
	settings := baseSettings()
	settings.ListOnRequest, settings.Senders = true, 36
	firstDelays := map[Micros]bool{}
	for seed := range uint64(8) {
		s, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		s.Step(0, nil)
		for i := range 6 {
			s.Step(fromSeconds(10*float64(i)), []Event{ListUpdate{Form: ListRequestFailed}})
			delay := s.listRequestAt - s.now
			if i == 0 {
				firstDelays[delay] = true
			}
			if minDelay := fromSeconds(0.45); delay < minDelay || delay > fromSeconds(6) {
				t.Errorf("list retry delay %d: got %d us, want 0.45 to 6 s", i, delay)
			}
			s.Step(s.listRequestAt, nil)
		}
	}
	if len(firstDelays) < 6 {
		t.Errorf("first list retry delays of 8 senders: got %v, want them spread", firstDelays)
	}
}

func TestListUpdates(t *testing.T) {
	settings := baseSettings()
	settings.ListOnRequest = true
	h := newHarness(t, settings)
	if n := len(actionsOf[Listen](h.step(0, ListUpdate{Form: ListSaved, Entries: fullList(2).Entries}))); n != 1 {
		t.Fatal("the list was not requested at once")
	}
	h.step(1, ListUpdate{Form: ListRequestFailed})
	if len(actionsOf[Listen](h.step(1.04, TimerExpired{}))) != 0 ||
		len(actionsOf[Listen](h.step(1.06, TimerExpired{}))) != 1 {
		t.Error("the list was not requested again after 50 ms")
	}
	h.step(1.1, ListUpdate{Form: ListRequestFailed})
	if len(actionsOf[Listen](h.step(1.19, TimerExpired{}))) != 0 ||
		len(actionsOf[Listen](h.step(1.21, TimerExpired{}))) != 1 {
		t.Error("the second list retry delay was not doubled to 100 ms")
	}
	for range 8 { // a change between two requests counts as known: the delay stays below the drain grace
		h.step(2, ListUpdate{Form: ListRequestFailed})
	}
	if len(actionsOf[Listen](h.step(2.6, TimerExpired{}))) != 1 {
		t.Error("a list retry delay longer than the drain grace allows")
	}
	// A full list replaces the old one, and nothing new is sent to a draining endpoint.
	draining := Entry{Endpoint: 3, Destination: 9, State: Draining}
	h.step(5, ListUpdate{Form: ListWhole, Entries: append(fullList(1).Entries, draining)})
	for i := range 4 {
		at := 6 + float64(i)
		for _, c := range actionsOf[CallOut](h.step(at, h.newMessage(0))) {
			if c.Endpoint != 1 {
				t.Errorf("sent to endpoint %d, want 1 only", c.Endpoint)
			}
			h.step(at+0.1, resultOf(c.ID, c.Endpoint, 0, Completed))
		}
	}
}

// Guards against an ejection that ends too early: the answer to a call that was in flight when the endpoint became
// unavailable counted as its return, and slow start was over before the endpoint was back.
func TestAnswerToOlderCallDoesNotEndEjection(t *testing.T) {
	h := newHarness(t, baseSettings())
	h.step(0, fullList(1))
	a := actionsOf[CallOut](h.step(1, h.newMessage(0)))[0]
	b := actionsOf[CallOut](h.step(1.1, h.newMessage(0)))[0]
	rejected := resultOf(b.ID, b.Endpoint, 0, Rejected)
	rejected.RetryAfter = fromSeconds(8)
	h.step(1.2, rejected)
	h.step(1.3, resultOf(a.ID, a.Endpoint, 0, Completed))
	if e := h.sender.endpoints[1]; !e.ejected || !e.recovering {
		t.Error("the answer to an older call ended the ejection or slow start of an unavailable endpoint")
	}
}

// Guards against sends without a budget to an endpoint that joins the list while its destination has an outage.
func TestEndpointJoiningInOutageIsRecovering(t *testing.T) {
	h := newHarness(t, baseSettings())
	h.step(0, fullList(1))
	c := actionsOf[CallOut](h.step(1, h.newMessage(0)))[0]
	h.step(1.1, resultOf(c.ID, c.Endpoint, 0, ConnRefused))
	h.step(2, ListUpdate{Form: ListDelta, Entries: []Entry{{Endpoint: 2, Destination: 9}}})
	if e := h.sender.endpoints[2]; !e.recovering || !e.ejected {
		t.Error("the new endpoint is not ejected and recovering, so it has no budget")
	}
}

// Guards against rejections that are taken for an outage: other senders use the limit up, and the calls between the
// rejections are answered.
func TestRejectionsBesideAnswersAreNoOutage(t *testing.T) {
	h := newHarness(t, baseSettings())
	h.step(0, fullList(2))
	e := h.sender.endpoints[1]
	for i := range 8 {
		h.sender.now = fromSeconds(1 + 0.5*float64(i))
		h.sender.recordRejection(e, AttemptResult{})
		if i%3 == 2 {
			h.sender.recordSuccess(h.sender.endpoints[2], h.sender.now)
		}
	}
	if e.ejected {
		t.Error("rejections between answers ejected the endpoint")
	}
	for i := range 5 {
		h.sender.now = fromSeconds(10 + 0.5*float64(i))
		h.sender.recordRejection(e, AttemptResult{})
	}
	if !e.ejected {
		t.Error("a destination that rejects everything without a retry-after time was not ejected")
	}
}

// Guards against messages refused because of a low pace although the queue of open messages is nearly empty.
func TestLowPaceKeepsMessagesWhileQueueHasRoom(t *testing.T) {
	for _, tc := range []struct{ maxOpen, refused int }{{200, 0}, {30, 1}} {
		settings := baseSettings()
		settings.MaxOpen = tc.maxOpen
		h := newHarness(t, settings)
		h.step(0, fullList(1))
		h.sender.destinations[9].limiter.pace = 1
		h.sender.destinations[9].limiter.waitUntil = fromSeconds(2)
		var messages []Event
		for range 25 {
			messages = append(messages, h.newMessage(0))
		}
		if n := len(actionsOf[Refuse](h.step(1, messages...))); min(n, 1) != tc.refused {
			t.Errorf("MaxOpen of %d: got %d messages refused", tc.maxOpen, n)
		}
	}
}

func TestOneDestinationCannotHoldEverySlot(t *testing.T) {
	h := newHarness(t, baseSettings())
	h.step(0, fullList(2), ListUpdate{Entries: []Entry{{Endpoint: 7, Destination: 8}}})
	var messages []Event
	for range 20 {
		messages = append(messages, h.newMessage(2))
	}
	if n := len(actionsOf[CallOut](h.step(1, messages...))); n != 4 {
		t.Errorf("one destination took %d of 8 slots, want 4", n)
	}
	other := h.newMessage(0)
	other.Destination = 8
	if n := len(actionsOf[CallOut](h.step(2, other))); n != 1 {
		t.Error("no slot was left for another destination")
	}
}

func TestIdleDestinationStateIsDropped(t *testing.T) {
	h := newHarness(t, baseSettings())
	h.step(0, fullList(1))
	at := h.serveCalls(1, 10)
	h.sender.destinations[9].limiter.pace = 1
	h.step(at+seconds(idleStateAge)+1, h.newMessage(0))
	if d := h.sender.destinations[9]; d.histogram.answeredWeight != 0 || d.limiter.pace != 0 {
		t.Error("a destination idle for longer than idleStateAge kept its histogram or pace")
	}
}

func TestUnknownAndLateEventsAreIgnored(t *testing.T) {
	h := newHarness(t, baseSettings())
	h.step(5, fullList(1))
	acts := h.step(5, AttemptResult{ID: "nobody", Endpoint: 99}, ClientGone{"nobody"}, TimerExpired{99},
		HealthResult{Endpoint: 99}, StreamStarted{ID: "nobody"},
		ListUpdate{Form: ListDelta, Entries: []Entry{{Endpoint: 77, State: Removed}}})
	if len(acts) != 0 {
		t.Errorf("events with unknown IDs: got actions %v, want none", acts)
	}
	c := actionsOf[CallOut](h.step(6, h.newMessage(0)))[0]
	h.step(6.1, ClientGone{c.ID})
	acts = h.step(6.2, resultOf(c.ID, c.Endpoint, 0, Errored), resultOf(c.ID, c.Endpoint, 0, Errored))
	if len(acts) != 0 || h.sender.slotsInUse != 0 {
		t.Errorf("late outcomes of a message whose client is gone: got actions %v and %d slots in use, want none", acts,
			h.sender.slotsInUse)
	}
	before := h.sender.now
	h.step(1, h.newMessage(0)) // a clock that steps back is ignored
	if h.sender.now != before {
		t.Error("the time of the sender went back")
	}
}

func TestBatchTakesOneSlot(t *testing.T) {
	settings := baseSettings()
	settings.Kinds[0].Batch = 10
	settings.Slots = 1
	h := newHarness(t, settings)
	h.step(0, fullList(1))
	var messages []Event
	for range 15 {
		messages = append(messages, h.newMessage(0))
	}
	sends := actionsOf[CallOut](h.step(1, messages...))
	if len(sends) != 10 || h.sender.slotsInUse != 1 {
		t.Fatalf("got %d sends in %d slots, want 10 in one", len(sends), h.sender.slotsInUse)
	}
	for _, c := range sends {
		h.step(1.2, resultOf(c.ID, c.Endpoint, 0, Completed))
	}
	if len(h.sender.attempts) != 5 {
		t.Errorf("%d attempts in flight after the first batch, want the other five", len(h.sender.attempts))
	}
}

// Guards against calls that hold their slots until the deadline: part of all answers is lost while the others come
// quickly, and the lost calls do not count in the histogram.
func TestLostAnswersCountInTheHistogram(t *testing.T) {
	h := newHarness(t, baseSettings())
	h.step(0, fullList(2))
	at := h.serveCalls(1, 20)
	lost := []CallOut{}
	for range 3 {
		lost = append(lost, actionsOf[CallOut](h.step(at, h.newMessage(0)))...)
		at = h.serveCalls(at+0.1, 4)
	}
	at = h.serveCalls(at, 8)
	h.step(at, TimerExpired{})
	if hist := &h.sender.destinations[9].histogram; hist.cutOffWeight < 0.8 || hist.tau == 0 {
		t.Errorf("lost answers: got %v cut-offs with the calls in flight and a tau of %d us, want at least 0.8 and a tau",
			hist.cutOffWeight, hist.tau)
	}
	cancelled := 0
	for _, a := range h.sender.attempts {
		if a.cancelled {
			cancelled++
		}
	}
	if cancelled != len(lost) {
		t.Errorf("%d of %d lost calls were cancelled, want all", cancelled, len(lost))
	}
	// A call that is answered in the end does not count as cut off.
	before := h.sender.destinations[9].histogram.cutOffWeight
	h.step(at, resultOf(lost[0].ID, lost[0].Endpoint, 0, Completed))
	if got := h.sender.destinations[9].histogram.cutOffWeight; got > before-0.9 {
		t.Errorf("after a late answer %v of %v cut-offs are left, want one less", got, before)
	}
}

func TestUnsafeCallIsCancelledForTheLastSlot(t *testing.T) {
	settings := baseSettings()
	settings.Slots = 2
	h := newHarness(t, settings)
	h.step(0, fullList(1), ListUpdate{Entries: []Entry{{Endpoint: 7, Destination: 8}}, Form: ListDelta})
	sends := actionsOf[CallOut](h.step(1, h.newMessage(2)))
	other := h.newMessage(2)
	other.Destination = 8
	sends = append(sends, actionsOf[CallOut](h.step(1.1, other))...)
	if len(sends) != 2 {
		t.Fatalf("%d calls in flight, want 2", len(sends))
	}
	if c := actionsOf[Cancel](h.step(12, TimerExpired{})); len(c) != 0 {
		t.Error("an unsafe call was cancelled although no message waited for its slot")
	}
	third := h.newMessage(0)
	third.Destination = 8
	acts := append(h.step(12.1, third), h.step(12.2, TimerExpired{})...)
	if len(actionsOf[Cancel](acts)) == 0 {
		t.Error("an unanswered unsafe call was not cancelled for a message that waits for the last slot")
	}
}

// Guards against sends without a budget to an endpoint that was not tried while its siblings were ejected.
func TestEndpointUntriedInOutageSharesTheBudget(t *testing.T) {
	settings := baseSettings()
	settings.Weights = WeightsNominal
	h := newHarness(t, settings)
	list := fullList(2)
	list.Entries[0].Nominal, list.Entries[1].Nominal = 4, 4
	h.step(0, list)
	c := actionsOf[CallOut](h.step(1, h.newMessage(0)))[0]
	h.step(1.1, resultOf(c.ID, c.Endpoint, 0, ConnRefused))
	sent := 0
	for i := range 20 {
		for _, call := range actionsOf[CallOut](h.step(1.2+0.1*float64(i), h.newMessage(0))) {
			h.sender.endpoints[call.Endpoint].inflight = 0 // so that only the budget holds sends back
			sent++
		}
	}
	if sent > 2 {
		t.Errorf("got %d calls in two seconds to an untried sibling of an ejected endpoint, want at most 2", sent)
	}
}

// Guards against sends without a budget to siblings when a destination is back: answers to calls that were in flight
// at the siblings when it became unavailable made them look healthy.
func TestAnswerToOlderCallDoesNotExemptSiblingFromBudget(t *testing.T) {
	h := newHarness(t, baseSettings())
	h.step(0, fullList(2))
	a := actionsOf[CallOut](h.step(1, h.newMessage(0)))[0]
	b := actionsOf[CallOut](h.step(1.1, h.newMessage(0)))[0]
	rejected := resultOf(b.ID, b.Endpoint, 0, Rejected)
	rejected.RetryAfter = fromSeconds(8)
	h.step(1.2, rejected)
	h.step(1.3, resultOf(a.ID, a.Endpoint, 0, Completed))
	if e, other := h.sender.endpoints[b.Endpoint], h.sender.endpoints[a.Endpoint]; other.lastHealthyAt >= e.lastFailureAt {
		t.Error("the answer to an older call marked a sibling as healthy")
	}
}

func TestTenantOverQuotaHasLessWorth(t *testing.T) {
	settings := baseSettings()
	settings.Tenants, settings.OverShareWorth = []Tenant{{"x", 2}, {"y", 2}}, 0.2
	h := newHarness(t, settings)
	for i := range 40 {
		h.sender.now = fromSeconds(0.1 * float64(i))
		h.sender.tenantWorthShare(0)
	}
	if a, b := h.sender.tenantWorthShare(0), h.sender.tenantWorthShare(1); a != 0.2 || b != 1 {
		t.Errorf("worth share at ten messages a second, quota of two: got %v, want 0.2; for an idle tenant: %v, want 1", a, b)
	}
}

// Guards against endpoints filled with idle connections, which many senders with little traffic would keep open.
func TestManySendersReleaseRarelyUsedConnections(t *testing.T) {
	for _, senders := range []int{2, manySendersAbove + 1} {
		settings := baseSettings()
		settings.Senders = senders
		h := newHarness(t, settings)
		h.step(0, fullList(2))
		c := actionsOf[CallOut](h.step(0.1, h.newMessage(0)))[0]
		got := actionsOf[Release](h.step(0.2, resultOf(c.ID, c.Endpoint, 0, Completed)))
		if (len(got) > 0) != (senders > manySendersAbove) {
			t.Errorf("%d senders: got releases %v", senders, got)
		}
	}
}

// newLargeFleetHarness returns a harness with one of several senders and one destination, whose rate limit is in the
// list.
func newLargeFleetHarness(t *testing.T, senders int, rate float64, seed uint64) *harness {
	t.Helper()
	settings := baseSettings()
	settings.Senders, settings.Weights = senders, WeightsNominal
	s, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, sender: s}
	list := fullList(1)
	list.Entries[0].Nominal = rate
	h.step(0, list)
	return h
}

// Guards against an overload of a recovering destination by 300 senders that each make one call in four windows. Their
// budgets must add up to less than what overloads it, and their calls must not be sent at the same time.
func TestBudgetsOfManySendersStayWithinTheLimit(t *testing.T) {
	const senders, rate = 300, 10.0
	calls := make([]int, 30) // by second
	for i := range senders {
		h := newLargeFleetHarness(t, senders, rate, uint64(i))
		outageSeenAt := 1 + 5*float64(i)/senders // the senders see the outage one after the other
		c := actionsOf[CallOut](h.step(outageSeenAt, h.newMessage(0)))[0]
		h.step(outageSeenAt+0.01, resultOf(c.ID, 1, 0, ConnRefused), h.newMessage(1))
		for at := outageSeenAt + 0.1; at < 30; at += 0.1 {
			for _, call := range actionsOf[CallOut](h.step(at, TimerExpired{})) {
				calls[int(at)]++
				h.step(at+0.01, resultOf(call.ID, 1, h.sender.messages[call.ID].tries-1, ConnRefused))
			}
		}
	}
	settings := baseSettings()
	window := int(settings.FallWindow / Second)
	for at := 6; at+window <= 20; at++ {
		sum := 0
		for _, n := range calls[at : at+window] {
			sum += n
		}
		// 60 senders a second see the outage, six times the rate of the destination: the bound is for that number.
		if bound := settings.FallMultiple * settings.ColdFrom * 60 * 1.5 * float64(window); float64(sum) > bound {
			t.Errorf("second %d: got %d calls in one FallWindow, want at most %.0f", at, sum, bound)
		}
		if sum > 0 && slices.Max(calls[at:at+window]) == sum && sum > 20 {
			t.Errorf("second %d: all %d calls of the window came within one second", at, sum)
		}
	}
}

// A fleet pauses between its requests for the list. Once a change may count as known that this sender has not received,
// nothing is sent until the next answer, or for maxStaleListWait without one. An open watch keeps the list fresh.
func TestNoSendsOnAStaleList(t *testing.T) {
	settings := baseSettings()
	settings.MaxListAge = 7 * Second
	for _, tc := range []struct {
		watched float64 // when a watch was open; 0 for none
		at      float64
		update  Event
		sent    int
	}{{0, 6.9, nil, 1}, {0, 7.1, nil, 0}, {0, 7.1, ListUpdate{Form: ListRequestFailed}, 0},
		{0, 7.1, ListUpdate{Form: ListDelta}, 1}, {0, 7.1 + seconds(maxStaleListWait), nil, 1}, {2, 20, nil, 1},
		{2, 20, ListUpdate{Form: ListRequestFailed}, 1}} {
		h := newHarness(t, settings)
		h.step(0, fullList(1))
		if tc.watched > 0 {
			h.step(tc.watched, ListUpdate{Form: ListWatchOpen})
		}
		evs := []Event{h.newMessage(0)}
		if tc.update != nil {
			evs = append(evs, tc.update)
		}
		if n := len(actionsOf[CallOut](h.step(tc.at, evs...))); n != tc.sent {
			t.Errorf("%+v: got %d sends", tc, n)
		}
	}
}

// Guards against sends to an endpoint that began to drain during a restart: a sender that starts on its saved list
// counts as knowing what discovery has. Nothing is sent before the first answer, or for maxSavedListWaitMicros
// without one.
func TestNoSendsOnASavedList(t *testing.T) {
	for _, tc := range []struct {
		maxListAge Micros
		stale      bool
		at         float64
		update     Event
		sent       int
	}{{7 * Second, true, 0, nil, 0}, {7 * Second, true, 0.1, ListUpdate{Form: ListDelta}, 1},
		{7 * Second, true, 0.1, ListUpdate{Form: ListRequestFailed}, 1},
		{7 * Second, true, seconds(maxSavedListWaitMicros) + 0.01, nil, 1},
		{7 * Second, false, 0, nil, 1}, {0, true, 0, nil, 1}} {
		settings := baseSettings()
		settings.MaxListAge = tc.maxListAge
		h := newHarness(t, settings)
		saved := fullList(1)
		saved.Form, saved.Stale = ListSaved, tc.stale
		h.step(0, saved)
		evs := []Event{h.newMessage(0)}
		if tc.update != nil {
			evs = append(evs, tc.update)
		}
		if n := len(actionsOf[CallOut](h.step(tc.at, evs...))); n != tc.sent {
			t.Errorf("%+v: got %d sends", tc, n)
		}
	}
}

// Guards against tables that grow without bound in a long run: with endpoints that come and go, messages for
// destinations that are not listed and ever new order keys, unused entries must be dropped.
func TestTablesStayBounded(t *testing.T) {
	settings := baseSettings()
	settings.Classes[0].KeepOrder = true
	h := newHarness(t, settings)
	h.step(0, fullList(1))
	at := 0.0
	for i := range 20 * minPruneAbove {
		at += 1
		m := NewMessage{ID: fmt.Sprint("x", i), TimeLeft: 2 * Second, Key: fmt.Sprint("k", i), Destination: int64(1000 + i),
			Tenant: -1}
		id := EndpointID(1000 + i)
		h.step(at, m, ListUpdate{Form: ListDelta, Entries: []Entry{{Endpoint: id, Destination: 9, State: Ready}}})
		h.step(at+0.5, ListUpdate{Form: ListDelta, Entries: []Entry{{Endpoint: id, State: Removed}}})
	}
	h.step(at+10, TimerExpired{})
	bound := 2 * (minPruneAbove + int(idleStateAge/Second))
	if s := h.sender; len(s.endpoints) > bound || len(s.destinations) > bound ||
		len(s.destinationOrder) != len(s.destinations) || len(s.orderKeys) > bound {
		t.Errorf("tables not bounded: %d endpoints, %d destinations, %d order keys", len(s.endpoints), len(s.destinations),
			len(s.orderKeys))
	}
	if h.sender.destinations[9] == nil || len(h.sender.destinations[9].endpoints) != 1 {
		t.Error("the listed destination or its endpoint was dropped")
	}
}

// Guards against 80 senders that exceed a limit together: if the first send of each is not paced, they send a burst at
// once, and since rejected calls use the limit up as well, almost nothing is accepted for seconds. The calls of all
// must stay within the limit, and with all of it left no message waits past its aim.
func TestManySendersShareALimit(t *testing.T) {
	const senders, rate = 80, 40.0
	calls := 0
	for i := range senders {
		settings := baseSettings()
		settings.Senders, settings.Weights, settings.LimitLeftIndex, settings.LimitIndex = senders, WeightsNominal, 0, 1
		h := newHarness(t, settings)
		h.sender.rng = rand.New(rand.NewPCG(uint64(i), 0))
		list := fullList(1)
		list.Entries[0].Nominal = rate
		h.step(0, list)
		answer := func(c CallOut, limitLeft float64) AttemptResult {
			result := resultOf(c.ID, 1, 0, Completed)
			result.Load = []float64{limitLeft, rate}
			return result
		}
		sendsBetween := func(from, to float64, limitLeft float64) (n int) {
			for at := from; at < to; at += 0.05 {
				for _, c := range actionsOf[CallOut](h.step(at, TimerExpired{})) {
					n++
					h.step(at+0.01, answer(c, limitLeft))
				}
			}
			return n
		}
		for range 6 {
			h.step(0, h.newMessage(0))
		}
		calls += sendsBetween(0.05, 4, 0)
		for _, c := range actionsOf[CallOut](h.step(40, h.newMessage(0))) {
			h.step(40.1, answer(c, 1))
		}
		h.step(50, h.newMessage(0), h.newMessage(0))
		h.step(50, h.newMessage(0))
		if n := sendsBetween(50, 51, 1); n == 0 {
			t.Errorf("sender %d: nothing sent within the aim though all of the limit is left", i)
		}
	}
	if bound := rate*4 + senders; float64(calls) > bound {
		t.Errorf("got %d calls in 4 s of a burst under a limit of %.0f a second, want at most %.0f", calls, rate, bound)
	}
}

// Guards against rejected calls that are retried at once: where rejections count against the limit, they keep it used
// up.
func TestManySendersDelayRejectedMessages(t *testing.T) {
	earliest, latest := 60.0, 0.0
	for i := range 40 {
		h := newLargeFleetHarness(t, 100, 5, uint64(i))
		c := actionsOf[CallOut](h.step(1, h.newMessage(1)))[0]
		h.step(1.1, resultOf(c.ID, 1, 0, Rejected))
		for at := 1.2; at < 13; at += 0.05 {
			if len(actionsOf[CallOut](h.step(at, TimerExpired{}))) > 0 {
				earliest, latest = min(earliest, at), max(latest, at)
				break
			}
		}
	}
	if earliest < 1.5 || latest-earliest < 2 {
		t.Errorf("retries came between %.2f and %.2f s, want the first after 1.5 s and a spread of 2 s", earliest, latest)
	}
}

// With a high share of calls of a kind rejected, only messages of more than mean worth are retried.
func TestHighRejectedShareRetriesOnlyMessagesOfHighWorth(t *testing.T) {
	ended := [3]bool{}
	for class := range ended {
		h := newLargeFleetHarness(t, 100, 5, 1)
		h.sender.rejectedShare[0], h.sender.meanWorth, h.sender.lastSeq = 0.25, 2, 99
		c := actionsOf[CallOut](h.step(1, h.newMessage(class)))[0]
		ended[class] = len(actionsOf[Fail](h.step(1.1, resultOf(c.ID, 1, 0, Rejected)))) > 0
	}
	if ended != [3]bool{true, true, false} {
		t.Errorf("messages ended, by class: got %v, want the first two", ended)
	}
}

// A call rejected for want of room for its connection was not checked against the limit: the pace stays and the message
// is retried soon. A rejection above the limit halves the pace, and with a high share of calls rejected the message
// fails.
func TestConnectionRejectionKeepsThePace(t *testing.T) {
	for _, tc := range []struct {
		load      []float64
		overLimit bool
	}{{nil, false}, {[]float64{0, 5}, true}} {
		settings := baseSettings()
		settings.Senders, settings.Weights, settings.LimitLeftIndex, settings.LimitIndex = 20, WeightsNominal, 0, 1
		h := newHarness(t, settings)
		list := fullList(1)
		list.Entries[0].Nominal = 100
		h.step(0, list)
		h.sender.rejectedShare[0], h.sender.meanWorth, h.sender.lastSeq = 0.25, 2, 99
		c := actionsOf[CallOut](h.step(1, h.newMessage(0)))[0]
		pace := h.sender.endpoints[1].limiter.pace
		rejected := resultOf(c.ID, 1, 0, Rejected)
		rejected.Load = tc.load
		ended := len(actionsOf[Fail](h.step(1.02, rejected))) > 0
		resent := len(actionsOf[CallOut](h.step(1.7, TimerExpired{}))) > 0
		if l := h.sender.endpoints[1].limiter; ended != tc.overLimit || resent == tc.overLimit ||
			(l.pace != pace) != tc.overLimit {
			t.Errorf("load report %v: ended %v, sent again %v, pace %v before and %v after",
				tc.load, ended, resent, pace, l.pace)
		}
	}
}

// New connections cost time and points: with many senders the endpoint that has an idle connection comes first.
func TestManySendersPreferIdleConnections(t *testing.T) {
	for _, senders := range []int{2, manySendersAbove + 1} {
		settings := baseSettings()
		settings.Senders, settings.ConnIdle, settings.ConnCalls, settings.ConnPrice = senders, 10*Second, 1, 2*highConnPrice
		h := newHarness(t, settings)
		h.sender.newConnsSinceRejected[0] = 1 << 30 // this kind has room for connections
		h.step(0, fullList(3))
		used := map[EndpointID]bool{}
		for i := range 6 {
			c := actionsOf[CallOut](h.step(float64(i)+1, h.newMessage(0)))[0]
			acts := h.step(float64(i)+1.1, resultOf(c.ID, c.Endpoint, 0, Completed))
			if len(actionsOf[Release](acts)) > 0 {
				t.Error("a connection was released though new ones are expensive")
			}
			used[c.Endpoint] = true
		}
		if (len(used) == 1) != (senders > manySendersAbove) {
			t.Errorf("%d senders: got %d endpoints used, want 1 only with many senders", senders, len(used))
		}
	}
}

// The idle connections of many senders fill an endpoint, which rejects each further one unexamined. A sender that keeps
// its connection does not see that. A fleet must not keep all connections from the start, and none after a rejection
// for want of room. Rejections above a limit say nothing of connections and change nothing.
func TestConnectionsReleasedWhereKindIsFull(t *testing.T) {
	limitRejection := AttemptResult{Outcome: Rejected, Load: []float64{0, 50}}
	for _, tc := range []struct {
		senders int
		after   AttemptResult
		minKept [3]int // connections kept of 40: at the start, later, and after that result
		maxKept [3]int
	}{
		{2, AttemptResult{Outcome: Rejected}, [3]int{40, 40, 40}, [3]int{40, 40, 40}},
		{manySendersAbove + 1, AttemptResult{Outcome: Rejected}, [3]int{0, 30, 0}, [3]int{8, 40, 0}},
		{manySendersAbove + 1, limitRejection, [3]int{0, 30, 30}, [3]int{8, 40, 40}},
	} {
		kept := [3]int{}
		for seed := range uint64(40) {
			settings := baseSettings()
			settings.Senders, settings.ConnIdle, settings.ConnCalls, settings.ConnPrice =
				tc.senders, 10*Second, 1, 2*highConnPrice
			settings.LimitLeftIndex, settings.LimitIndex = 0, 1
			h := newHarness(t, settings)
			h.sender.rng = rand.New(rand.NewPCG(seed, 0))
			h.step(0, fullList(1))
			call := func(at float64, result AttemptResult) (released bool) {
				t.Helper()
				c := actionsOf[CallOut](h.step(at, h.newMessage(0)))[0]
				result.ID, result.Endpoint, result.MessageEnded = c.ID, c.Endpoint, result.Outcome == Completed
				acts := h.step(at+0.1, result)
				if result.Outcome == Rejected {
					h.step(at+0.2, ClientGone{c.ID})
				}
				return len(actionsOf[Release](acts)) > 0
			}
			completed := AttemptResult{Outcome: Completed, Duration: fromSeconds(0.1), Load: []float64{1, 50}}
			count := func(i int, released bool) {
				if !released {
					kept[i]++
				}
			}
			count(0, call(1, completed))
			at := 20.0
			for range 60 {
				call(at, completed)
				at += 20 // longer than ConnIdle: each call needs a new connection
			}
			count(1, call(at, completed))
			call(at+20, tc.after)
			count(2, call(at+40, completed))
		}
		for i, n := range kept {
			if n < tc.minKept[i] || n > tc.maxKept[i] {
				t.Errorf("%d senders, %+v: got %v connections kept", tc.senders, tc.after, kept)
				break
			}
		}
	}
}

// Guards against a destination that rejects all calls and is overloaded at its return by senders that were rejected once
// (review case 9). One rejection puts it in doubt, for any number of senders: if an outage fits between its last answer
// and the next one, its calls are budgeted. A rejection that says itself that a rate limit caused it does not, and
// neither does one between two answers that are close together.
func TestOneRejectionPutsADestinationInDoubt(t *testing.T) {
	report := func(left float64) AttemptResult { return AttemptResult{Load: []float64{left, 10}} }
	for name, tc := range map[string]struct {
		answerBefore, answerAfter float64 // seconds; the rejection comes at 10 s
		rejection                 AttemptResult
		budgeted                  bool
	}{
		"long after the last answer":   {2, 14, AttemptResult{}, true},
		"shortly before the next":      {2, 10.5, AttemptResult{}, true},
		"between two answers":          {9, 10.5, AttemptResult{}, false},
		"limit not used up":            {2, 14, report(0.5), true},
		"limit used up":                {2, 14, report(0), false},
		"wait for the limit's window":  {2, 14, AttemptResult{RetryAfter: Second / 2}, false},
		"wait longer than that window": {2, 14, AttemptResult{RetryAfter: 3 * Second / 2}, true},
	} {
		for _, senders := range []int{1, 2, 16, 17, 30, 300} {
			settings := baseSettings()
			settings.Senders, settings.LimitLeftIndex, settings.LimitIndex = senders, 0, 1
			h := newHarness(t, settings)
			h.step(0, fullList(1))
			e := h.sender.endpoints[1]
			h.sender.now = fromSeconds(tc.answerBefore)
			h.sender.recordSuccess(e, h.sender.now)
			h.sender.now = fromSeconds(10)
			h.sender.recordRejection(e, tc.rejection)
			h.sender.now = fromSeconds(tc.answerAfter)
			h.sender.recordSuccess(e, h.sender.now)
			if budgeted := e.recovering; budgeted != tc.budgeted {
				t.Errorf("%s, %d senders: got a budget %v, want %v", name, senders, budgeted, tc.budgeted)
			}
		}
	}
}

// Guards against a message that is never sent: the budget of a sender that gets no further message allowed its call at a
// time that receded faster than time passed.
func TestBudgetAllowsTheOnlyMessageAfterAnOutage(t *testing.T) {
	for seed := range uint64(20) {
		h := newLargeFleetHarness(t, 300, 40, seed)
		m := h.newMessage(0)
		m.TimeLeft = 60 * Second
		c := actionsOf[CallOut](h.step(1, m))[0]
		h.step(1.01, resultOf(c.ID, 1, 0, Rejected))
		sent := false
		for at := 1.1; at < 60 && !sent; at += 0.1 {
			sent = len(actionsOf[CallOut](h.step(at, TimerExpired{}))) > 0
		}
		if !sent {
			t.Errorf("seed %d: a message that was rejected once was not sent again within 59 s", seed)
		}
	}
}

// Guards against senders, few or many, that call a destination which rejects all their calls without end: after two
// rejections each takes it for unavailable. An answer shortly before the first one rules an outage out among few senders.
func TestTwoRejectionsAreAnOutage(t *testing.T) {
	for _, tc := range []struct {
		senders          int
		answeredBefore   bool
		takenForAnOutage bool
	}{{2, true, false}, {2, false, true}, {100, true, true}, {100, false, true}} {
		h := newLargeFleetHarness(t, tc.senders, 10, 1)
		e := h.sender.endpoints[1]
		if tc.answeredBefore {
			h.sender.now = fromSeconds(0.8)
			h.sender.recordSuccess(e, h.sender.now)
		}
		for _, at := range []float64{1, 2.6} {
			h.sender.now = fromSeconds(at)
			h.sender.recordRejection(e, AttemptResult{})
		}
		h.step(2.7, h.newMessage(0))
		if e.recovering != tc.takenForAnOutage {
			t.Errorf("%+v: got recovering %v after two rejections", tc, e.recovering)
		}
	}
}

// Guards against endpoints ejected for chance failures. Where the network breaks calls now and then at all endpoints
// alike, one or two failures in a row are no outage, and the endpoint still gets messages, unsafe ones too. A run of
// failures too long for chance is an outage.
func TestChanceFailuresAreNoOutage(t *testing.T) {
	h := newHarness(t, baseSettings())
	h.step(0, fullList(1))
	at := 0.0
	send := func(class int, outcome Outcome) {
		t.Helper()
		at += 0.5
		m := h.newMessage(class)
		acts := h.step(at, m)
		if n := len(actionsOf[CallOut](acts)); n != 1 {
			t.Fatalf("at %.1f s: got %d sends for a new message of class %d, want one at once", at, n, class)
		}
		h.step(at+0.1, resultOf(m.ID, 1, 0, outcome), ClientGone{m.ID})
	}
	for i := range 200 { // every tenth call fails
		outcome := Completed
		if i%10 == 9 {
			outcome = []Outcome{ConnBroken, ConnRefused}[i/10%2]
		}
		send(i%2*2, outcome)
	}
	send(0, ConnBroken)
	send(0, ConnBroken) // two in a row, with this share of chance failures
	send(0, Completed)
	if e := h.sender.endpoints[1]; e.ejected || e.recovering {
		t.Errorf("two failures in a row: got ejected %v, recovering %v, want neither", e.ejected, e.recovering)
	}
	for range 12 { // the client of each message is gone, so that it is sent once only
		at += 3
		m := h.newMessage(0)
		for _, a := range actionsOf[CallOut](h.step(at, m)) {
			h.step(at+0.1, resultOf(a.ID, 1, 0, ConnBroken), ClientGone{a.ID})
		}
	}
	e := h.sender.endpoints[1]
	if !e.ejected || !e.recovering {
		t.Fatal("not ejected and recovering after a dozen failures in a row")
	}
	for i := 0; e.ejected; i++ { // the endpoint answers its next trial
		at += 3
		m := h.newMessage(0)
		for _, a := range actionsOf[CallOut](h.step(at, m)) {
			h.step(at+0.1, resultOf(a.ID, 1, 0, Completed))
		}
		if i > 9 {
			t.Fatal("the answer to a trial did not end the ejection")
		}
	}
	at += 3
	m := h.newMessage(0)
	for _, a := range actionsOf[CallOut](h.step(at, m)) {
		h.step(at+0.1, resultOf(a.ID, 1, 0, ConnBroken), ClientGone{m.ID})
	}
	if e.lastFailureAt < fromSeconds(at) {
		t.Fatal("nothing was sent after the ejection")
	}
	if e.ejected {
		t.Error("ejected again at the first failure after its return")
	}
}

// Guards against ejections where no endpoint has an outage: a fifth of all calls fail by chance at six endpoints alike.
func TestFrequentChanceFailuresAreNoOutage(t *testing.T) {
	h := newHarness(t, baseSettings())
	list := fullList(6)
	for i := range list.Entries {
		list.Entries[i].Destination = int64(i)
	}
	h.step(0, list)
	rnd := rand.New(rand.NewPCG(3, 3))
	ejections := 0
	for i := range 1200 {
		at := 1 + 0.05*float64(i)
		m := h.newMessage(0)
		m.Destination = int64(i % 6)
		for _, a := range actionsOf[CallOut](h.step(at, m)) {
			outcome := Completed
			if i > 200 && rnd.IntN(5) == 0 {
				outcome = ConnBroken
			}
			acts := h.step(at+0.01, resultOf(a.ID, a.Endpoint, h.sender.messages[a.ID].tries-1, outcome), ClientGone{a.ID})
			for _, l := range actionsOf[Log](acts) {
				if strings.Contains(l.Text, "out:") {
					ejections++
				}
			}
		}
	}
	if ejections > 1 { // the first may come before the share of chance failures is known
		t.Errorf("got %d ejections, want at most one", ejections)
	}
}

// A known limit is for all senders together: if one of two uses all of it, the destination rejects calls of both.
func TestKnownLimitIsSharedBySenders(t *testing.T) {
	settings := baseSettings()
	settings.Weights, settings.Slots, settings.MaxOpen = WeightsNominal, 200, 200
	h := newHarness(t, settings)
	list := fullList(1)
	list.Entries[0].Nominal = 20
	h.step(0, list)
	var burst []Event
	for range 100 {
		burst = append(burst, h.newMessage(0))
	}
	sent := 0
	for at := 1.0; at < 4; at += 0.01 {
		for _, a := range actionsOf[CallOut](h.step(at, burst...)) {
			sent++
			h.step(at, resultOf(a.ID, 1, 0, Completed))
		}
		burst = nil
	}
	if sent < 30 || sent > 45 { // 30 are three seconds of half the limit; the rest is room for an uneven share and a burst
		t.Errorf("got %d calls in three seconds of a limit of 20 that two senders share, want 30 to 45", sent)
	}
}

// An endpoint that an operator bans gets nothing, whatever the list says, and is recovering after the ban.
func TestBannedEndpointGetsNothing(t *testing.T) {
	settings := baseSettings()
	settings.Weights = WeightsNominal
	h := newHarness(t, settings)
	list := func(n int) ListUpdate {
		update := fullList(n)
		for i := range update.Entries {
			update.Entries[i].Nominal = 100
		}
		return update
	}
	h.step(0, Ban{Endpoint: 1}, list(2)) // banned before it is listed
	send := func(at float64, evs ...Event) (to []EndpointID) {
		t.Helper()
		m := h.newMessage(0)
		for _, a := range actionsOf[CallOut](h.step(at, append(evs, m)...)) {
			to = append(to, a.Endpoint)
			h.step(at, resultOf(a.ID, a.Endpoint, 0, Completed))
		}
		return to
	}
	for i := range 4 {
		if to := send(0.5+float64(i), list(2)); len(to) != 1 || to[0] != 2 {
			t.Fatalf("sent to %v, want endpoint 2 only", to)
		}
	}
	removed := ListUpdate{Entries: []Entry{{Endpoint: 1, Destination: 9, State: Removed}}}
	if to := send(5, removed, ListUpdate{Entries: []Entry{{Endpoint: 1, Destination: 9}}}); len(to) != 1 || to[0] != 2 {
		t.Fatalf("after endpoint 1 was removed and listed again: sent to %v, want endpoint 2 only", to)
	}
	h.step(6, Ban{Endpoint: 1}, Unban{Endpoint: 1})
	if e := h.sender.endpoints[1]; !e.recovering || e.ejected || e.returnedAt != fromSeconds(6) {
		t.Errorf("after the unban: got recovering %v, ejected %v, returned at %v", e.recovering, e.ejected, e.returnedAt)
	}
	got := map[EndpointID]bool{}
	for i := range 2 {
		for _, endpoint := range send(7 + float64(i)) {
			got[endpoint] = true
		}
	}
	if !got[1] {
		t.Errorf("nothing sent to endpoint 1 after the unban: got %v", got)
	}
}

// A message waits while the only endpoint is banned, and is sent after the unban.
func TestMessageWaitsWhileAllEndpointsAreBanned(t *testing.T) {
	h := newHarness(t, baseSettings())
	m := h.newMessage(2)
	if acts := h.step(0, fullList(1), Ban{Endpoint: 1}, m); len(actionsOf[CallOut](acts)) != 0 {
		t.Fatal("message sent to a banned endpoint")
	}
	if acts := h.step(1, Unban{Endpoint: 1}); len(actionsOf[CallOut](acts)) != 1 {
		t.Error("message not sent after the unban")
	}
}

// A new address of discovery ends the delay after a failed list request, however long. While no request has failed
// there is no delay to end.
func TestDiscoveryMoveEndsTheListRetryDelay(t *testing.T) {
	settings := baseSettings()
	settings.Senders = 300
	h := newHarness(t, settings)
	h.step(0, fullList(1))
	if n := len(actionsOf[Listen](h.step(0.1, DiscoveryMoved{}))); n != 0 {
		t.Error("the list was requested again while a request is open")
	}
	h.step(1, ListUpdate{Form: ListRequestFailed})
	if n := len(actionsOf[Listen](h.step(1.5, TimerExpired{}))); n != 0 {
		t.Fatal("no delay after a failed list request")
	}
	if n := len(actionsOf[Listen](h.step(1.6, DiscoveryMoved{}))); n != 1 {
		t.Error("the list was not requested from the new address at once")
	}
}
