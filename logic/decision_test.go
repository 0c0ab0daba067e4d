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
func addSamples(h *histogram, n int, took ...float64) {
	for range n {
		for _, x := range took {
			h.add(0, fromSeconds(x), false)
		}
	}
}

func TestRestartTimeFromLatencies(t *testing.T) {
	for _, c := range []struct {
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
		c.fill(&h)
		if got := h.tau > 0; got != c.restart {
			t.Errorf("%s: tau %d", c.name, h.tau)
		}
		if h.tau > 0 && (h.tau < fromSeconds(0.1) || h.tau > fromSeconds(0.2)) {
			t.Errorf("%s: tau %d is not at the edge past the quick ones", c.name, h.tau)
		}
	}
}

func TestHistogramDiscountsOldSamples(t *testing.T) {
	var h histogram
	addSamples(&h, 16, 0.1)
	h.add(histogramHalfLife, fromSeconds(1), false)
	if math.Abs(h.total-9) > 1e-9 {
		t.Errorf("after a half-life 16 samples and a new one weigh %v, want 9", h.total)
	}
	for range 20 {
		h.add(histogramHalfLife, fromSeconds(1), false)
	}
	if h.median < fromSeconds(0.9) {
		t.Errorf("median %d stays at the old latency after a lasting shift", h.median)
	}
}

// serveCalls serves n calls of class 0 at each of the rig's endpoints, so that latencies are known.
func (r *harness) serveCalls(at float64, n int) float64 {
	for range n {
		for _, c := range actionsOf[CallOut](r.step(at, r.newMessage(0))) {
			r.step(at+0.1, resultOf(c.ID, c.Endpoint, 0, Completed))
		}
		at += 0.4
	}
	return at
}

func TestFirstSendsRotateOverEndpoints(t *testing.T) {
	r := newHarness(t, baseSettings())
	r.step(0, fullList(3))
	seen := map[EndpointID]int{}
	for i := range 9 {
		for _, c := range actionsOf[CallOut](r.step(float64(i), r.newMessage(0))) {
			seen[c.Endpoint]++
			r.step(float64(i)+0.1, resultOf(c.ID, c.Endpoint, 0, Completed))
		}
	}
	if seen[1] != 3 || seen[2] != 3 || seen[3] != 3 {
		t.Errorf("nine sends went %v", seen)
	}
}

func TestCallCutOffAtRestartTimeIsResentElsewhere(t *testing.T) {
	for class, again := range []bool{true, true, false} {
		set := baseSettings()
		set.Weights = WeightsNominal
		r := newHarness(t, set)
		ev := fullList(2)
		ev.Entries[0].Nominal, ev.Entries[1].Nominal = 40, 40
		r.step(0, ev)
		at := r.serveCalls(1, 20)
		d := r.sender.destinations[9]
		addSamples(&d.histogram, 2, 5) // a slow few: restarting pays
		d.histogram.add(r.sender.now, fromSeconds(5), false)
		if d.histogram.tau == 0 {
			t.Fatal("no tau")
		}
		d.histogram.p95 = d.histogram.tau
		m := r.newMessage(class)
		first := actionsOf[CallOut](r.step(at, m))[0]
		limit := seconds(max(d.histogram.tau, r.sender.stuckAfter(d, r.sender.messages[m.ID])))
		if c := actionsOf[Cancel](r.step(at+limit-0.05, TimerExpired{})); len(c) > 0 {
			t.Errorf("class %d: cut before the limit", class)
		}
		cut := actionsOf[Cancel](r.step(at+limit+0.01, TimerExpired{}))
		if got := len(cut) == 1; got != again {
			t.Fatalf("class %d: cut %v at tau", class, got)
		}
		if !again {
			continue
		}
		next := actionsOf[CallOut](r.step(at+limit+0.05, resultOf(m.ID, first.Endpoint, 0, Cancelled)))
		if len(next) != 1 || next[0].Endpoint == first.Endpoint {
			t.Errorf("class %d: resent %v after a cut at endpoint %d", class, next, first.Endpoint)
		}
		// A long job is not cut again at the same limit.
		if c := actionsOf[Cancel](r.step(at+2*limit+0.1, TimerExpired{})); len(c) > 0 {
			t.Errorf("class %d: the second attempt was cut at the first one's limit", class)
		}
	}
}

func TestNoSendWithLessTimeThanMedianLatency(t *testing.T) {
	r := newHarness(t, baseSettings())
	r.step(0, fullList(1))
	at := r.serveCalls(1, 10)
	c := r.newMessage(0)
	c.TimeLeft = fromSeconds(0.05) // less than the median of 0.1 s
	acts := r.step(at, c)
	if len(actionsOf[Refuse](acts)) != 1 || len(actionsOf[CallOut](acts)) != 0 {
		t.Errorf("a message with less time than a usual call: %v", acts)
	}
}

func TestPaceHalvesOnceASecondToItsMinimum(t *testing.T) {
	r := newHarness(t, baseSettings())
	l := &limiter{}
	r.sender.now = fromSeconds(1)
	for range 6 {
		l.sentTimes = append(l.sentTimes, r.sender.now)
	}
	r.sender.reducePace(l)
	if l.pace != 6 {
		t.Fatalf("first refusal set the pace to %v, want the last second's 6", l.pace)
	}
	r.sender.reducePace(l)
	if l.pace != 6 {
		t.Errorf("pace %v, want no second cut within a second", l.pace)
	}
	for i, want := range []float64{3, 1.5, 1, 1} {
		r.sender.now = fromSeconds(2 + float64(i))
		r.sender.reducePace(l)
		if l.pace != want {
			t.Errorf("refusal %d: pace %v, want %v", i+2, l.pace, want)
		}
	}
	r.sender.raisePace(l)
	if l.pace != 1.1 {
		t.Errorf("after a success the pace is %v, want 1.1", l.pace)
	}
	// A told limit: the floor is no more than an even share, and the pace creeps by a share of it.
	l = &limiter{limit: 20, pace: 1}
	r.sender.raisePace(l)
	if l.pace != 2 {
		t.Errorf("pace %v under a limit of 20 for two senders, want 2", l.pace)
	}
	if f := r.sender.minPace(&limiter{limit: 1}); f != 0.5 {
		t.Errorf("floor %v under a limit of 1 for two senders", f)
	}
}

func TestBurstLargerThanThePace(t *testing.T) {
	set := baseSettings()
	set.Weights, set.Slots = WeightsNominal, 40
	r := newHarness(t, set)
	ev := fullList(1)
	ev.Entries[0].Nominal = 8 // shared by two: a pace of 5
	r.step(0, ev)
	var calls []Event
	for range 12 {
		calls = append(calls, r.newMessage(0))
	}
	r.sender.destinations[9].limiter.refilledAt = 0
	r.step(5)
	if n := len(actionsOf[CallOut](r.step(5, calls...))); n != 2 {
		t.Errorf("%d sends of a clump at once under a pace of 5 a second, want half a second of it", n)
	}
}

func TestRetryAfterIsHonored(t *testing.T) {
	for _, apart := range []bool{false, true} {
		set := baseSettings()
		set.Kinds[0].SeparateRoutes = apart
		r := newHarness(t, set)
		r.step(0, fullList(2))
		c := actionsOf[CallOut](r.step(1, r.newMessage(0)))[0]
		full := resultOf(c.ID, c.Endpoint, 0, Rejected)
		full.RetryAfter = fromSeconds(1.5)
		acts := r.step(1.1, full, r.newMessage(0), r.newMessage(1), r.newMessage(2))
		for _, x := range actionsOf[CallOut](acts) {
			if !apart || x.Endpoint == c.Endpoint {
				t.Errorf("apart %v: sent to %d during a wait told by %d", apart, x.Endpoint, c.Endpoint)
			}
		}
		if apart && len(actionsOf[CallOut](acts)) == 0 {
			t.Error("a wait of one route held the other")
		}
		later := r.step(3.7, TimerExpired{})
		if !apart && len(actionsOf[CallOut](later)) == 0 {
			t.Error("nothing sent after the wait")
		}
	}
}

func TestMessageThatMayHaveRunFails(t *testing.T) {
	for _, o := range []Outcome{Errored, ConnBroken, TimedOut, Cancelled} {
		r := newHarness(t, baseSettings())
		r.step(0, fullList(2))
		c := actionsOf[CallOut](r.step(1, r.newMessage(2)))[0]
		acts := r.step(1.1, resultOf(c.ID, c.Endpoint, 0, o))
		if len(actionsOf[Fail](acts)) != 1 || len(actionsOf[CallOut](acts))+len(actionsOf[Refuse](acts)) > 0 {
			t.Errorf("outcome %d of an unsafe message: %v", o, acts)
		}
	}
	for _, o := range []Outcome{ConnRefused, NotSent} {
		r := newHarness(t, baseSettings())
		r.step(0, fullList(2))
		c := actionsOf[CallOut](r.step(1, r.newMessage(2)))[0]
		acts := r.step(1.1, resultOf(c.ID, c.Endpoint, 0, o))
		acts = append(acts, r.step(4, TimerExpired{})...)
		acts = append(acts, r.step(9.5, TimerExpired{})...)
		if len(actionsOf[Fail](acts)) != 0 || len(actionsOf[CallOut](acts)) == 0 {
			t.Errorf("outcome %d never ran, yet: %v", o, acts)
		}
	}
}

func TestMessagesToUnresponsiveDestinationsEndInTime(t *testing.T) {
	for name, ev := range map[string]ListUpdate{"no list": {}, "silent": fullList(2), "unknown destination": {Entries: []Entry{{Endpoint: 5, Destination: 4}}}} {
		r := newHarness(t, baseSettings())
		r.step(0, ev)
		r.step(1, r.newMessage(0), r.newMessage(1), r.newMessage(2))
		ended := map[string]bool{}
		for at := 1.0; at < 16; at += 0.005 {
			for _, a := range r.step(at, TimerExpired{}) {
				switch a := a.(type) {
				case Refuse:
					ended[a.ID] = true
				case Fail:
					ended[a.ID] = true
				}
			}
			for i, c := range r.sender.settings.Classes {
				if id := []string{"m1", "m2", "m3"}[i]; fromSeconds(at) >= fromSeconds(1)+c.Deadline && !ended[id] {
					t.Fatalf("%s: %s has no answer at its deadline", name, id)
				}
			}
		}
		if len(ended) != 3 {
			t.Errorf("%s: ended %v", name, ended)
		}
	}
}

// Discovery that is overbooked stays so if a fleet asks again soon and in step.
func TestManySendersSpreadListRequests(t *testing.T) {
	set := baseSettings()
	set.ListOnRequest, set.Senders = true, 36
	first := map[Micros]bool{}
	for seed := range uint64(8) {
		s, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		s.Step(0, nil)
		for i := range 6 {
			s.Step(fromSeconds(10*float64(i)), []Event{ListUpdate{Form: ListRequestFailed}})
			gap := s.listRequestAt - s.now
			if i == 0 {
				first[gap] = true
			}
			if least := fromSeconds(0.45); gap < least || gap > fromSeconds(6) {
				t.Errorf("pause %d is %d us", i, gap)
			}
			s.Step(s.listRequestAt, nil)
		}
	}
	if len(first) < 6 {
		t.Errorf("first pauses in step: %v", first)
	}
}

func TestListUpdates(t *testing.T) {
	set := baseSettings()
	set.ListOnRequest = true
	r := newHarness(t, set)
	if n := len(actionsOf[Listen](r.step(0, ListUpdate{Form: ListCached, Entries: fullList(2).Entries}))); n != 1 {
		t.Fatal("did not subscribe at once")
	}
	r.step(1, ListUpdate{Form: ListRequestFailed})
	if len(actionsOf[Listen](r.step(1.04, TimerExpired{}))) != 0 || len(actionsOf[Listen](r.step(1.06, TimerExpired{}))) != 1 {
		t.Error("did not ask again after 50 ms")
	}
	r.step(1.1, ListUpdate{Form: ListRequestFailed})
	if len(actionsOf[Listen](r.step(1.19, TimerExpired{}))) != 0 || len(actionsOf[Listen](r.step(1.21, TimerExpired{}))) != 1 {
		t.Error("did not back off")
	}
	for range 8 { // what changes between two calls counts as told: the pause stays under a drain's grace
		r.step(2, ListUpdate{Form: ListRequestFailed})
	}
	if len(actionsOf[Listen](r.step(2.6, TimerExpired{}))) != 1 {
		t.Error("a pause longer than a drain's grace allows")
	}
	// A whole list replaces the old one; a draining endpoint gets nothing new.
	row := Entry{Endpoint: 3, Destination: 9, State: Draining}
	r.step(5, ListUpdate{Form: ListFull, Entries: append(fullList(1).Entries, row)})
	for i := range 4 {
		at := 6 + float64(i)
		for _, c := range actionsOf[CallOut](r.step(at, r.newMessage(0))) {
			if c.Endpoint != 1 {
				t.Errorf("sent to endpoint %d", c.Endpoint)
			}
			r.step(at+0.1, resultOf(c.ID, c.Endpoint, 0, Completed))
		}
	}
}

// Found on a drawn day: a call that was under way when a route shut counted as its return, and the warm-up had
// run out before it opened.
func TestAnswerToOlderCallDoesNotEndEjection(t *testing.T) {
	r := newHarness(t, baseSettings())
	r.step(0, fullList(1))
	a := actionsOf[CallOut](r.step(1, r.newMessage(0)))[0]
	b := actionsOf[CallOut](r.step(1.1, r.newMessage(0)))[0]
	shut := resultOf(b.ID, b.Endpoint, 0, Rejected)
	shut.RetryAfter = fromSeconds(8)
	r.step(1.2, shut)
	r.step(1.3, resultOf(a.ID, a.Endpoint, 0, Completed))
	if e := r.sender.endpoints[1]; !e.ejected || !e.recovering {
		t.Error("an answer to an older call ended the watch on a shut endpoint")
	}
}

// Found on a standard day: machines that joined a destination still cold were sent to without a budget.
func TestEndpointJoiningInOutageIsRecovering(t *testing.T) {
	r := newHarness(t, baseSettings())
	r.step(0, fullList(1))
	c := actionsOf[CallOut](r.step(1, r.newMessage(0)))[0]
	r.step(1.1, resultOf(c.ID, c.Endpoint, 0, ConnRefused))
	r.step(2, ListUpdate{Form: ListDelta, Entries: []Entry{{Endpoint: 2, Destination: 9}}})
	if e := r.sender.endpoints[2]; !e.recovering || !e.ejected {
		t.Error("the new endpoint has no budget")
	}
}

// Found on an incident: with limits that others use up, every refusal looked like a shut destination.
func TestRejectionsBesideAnswersAreNoOutage(t *testing.T) {
	r := newHarness(t, baseSettings())
	r.step(0, fullList(2))
	e := r.sender.endpoints[1]
	for i := range 8 {
		r.sender.now = fromSeconds(1 + 0.5*float64(i))
		r.sender.recordRejection(e, 0)
		if i%3 == 2 {
			r.sender.recordSuccess(r.sender.endpoints[2], r.sender.now)
		}
	}
	if e.ejected {
		t.Error("refusals between answers took the endpoint out")
	}
	for i := range 5 {
		r.sender.now = fromSeconds(10 + 0.5*float64(i))
		r.sender.recordRejection(e, 0)
	}
	if !e.ejected {
		t.Error("a destination that refuses everything without a wait was not noticed")
	}
}

// Found on an incident: messages were refused by a low pace although the hold was nearly empty.
func TestLowPaceKeepsMessagesWhileQueueHasRoom(t *testing.T) {
	for _, c := range []struct{ hold, ends int }{{200, 0}, {30, 1}} {
		set := baseSettings()
		set.MaxOpen = c.hold
		r := newHarness(t, set)
		r.step(0, fullList(1))
		r.sender.destinations[9].limiter.pace = 1
		r.sender.destinations[9].limiter.waitUntil = fromSeconds(2)
		var calls []Event
		for range 25 {
			calls = append(calls, r.newMessage(0))
		}
		if n := len(actionsOf[Refuse](r.step(1, calls...))); min(n, 1) != c.ends {
			t.Errorf("hold of %d: %d refused", c.hold, n)
		}
	}
}

func TestOneDestinationCannotHoldEverySlot(t *testing.T) {
	r := newHarness(t, baseSettings())
	r.step(0, fullList(2), ListUpdate{Entries: []Entry{{Endpoint: 7, Destination: 8}}})
	var calls []Event
	for range 20 {
		calls = append(calls, r.newMessage(2))
	}
	if n := len(actionsOf[CallOut](r.step(1, calls...))); n != 4 {
		t.Errorf("one destination took %d of 8 slots", n)
	}
	other := r.newMessage(0)
	other.Destination = 8
	if n := len(actionsOf[CallOut](r.step(2, other))); n != 1 {
		t.Error("no slot was left for another destination")
	}
}

func TestIdleDestinationStateIsDropped(t *testing.T) {
	r := newHarness(t, baseSettings())
	r.step(0, fullList(1))
	at := r.serveCalls(1, 10)
	r.sender.destinations[9].limiter.pace = 1
	r.step(at+seconds(idleStateAge)+1, r.newMessage(0))
	if d := r.sender.destinations[9]; d.histogram.total != 0 || d.limiter.pace != 0 {
		t.Error("an idle destination kept its histogram or pace")
	}
}

func TestUnknownAndLateEventsAreIgnored(t *testing.T) {
	r := newHarness(t, baseSettings())
	r.step(5, fullList(1))
	acts := r.step(5, AttemptResult{ID: "nobody", Endpoint: 99}, ClientGone{"nobody"}, TimerExpired{99}, HealthResult{Endpoint: 99},
		StreamStarted{ID: "nobody"}, ListUpdate{Form: ListDelta, Entries: []Entry{{Endpoint: 77, State: Removed}}})
	if len(acts) != 0 {
		t.Errorf("unknown ids caused %v", acts)
	}
	c := actionsOf[CallOut](r.step(6, r.newMessage(0)))[0]
	r.step(6.1, ClientGone{c.ID})
	acts = r.step(6.2, resultOf(c.ID, c.Endpoint, 0, Errored), resultOf(c.ID, c.Endpoint, 0, Errored))
	if len(acts) != 0 || r.sender.slotsInUse != 0 {
		t.Errorf("a late outcome of a withdrawn message caused %v; %d slots busy", acts, r.sender.slotsInUse)
	}
	before := r.sender.now
	r.step(1, r.newMessage(0)) // a clock that steps back does no harm
	if r.sender.now != before {
		t.Error("time went back")
	}
}

func TestBatchTakesOneSlot(t *testing.T) {
	set := baseSettings()
	set.Kinds[0].Batch = 10
	set.Slots = 1
	r := newHarness(t, set)
	r.step(0, fullList(1))
	var calls []Event
	for range 15 {
		calls = append(calls, r.newMessage(0))
	}
	out := actionsOf[CallOut](r.step(1, calls...))
	if len(out) != 10 || r.sender.slotsInUse != 1 {
		t.Fatalf("%d sends in %d slots, want 10 in one", len(out), r.sender.slotsInUse)
	}
	for _, c := range out {
		r.step(1.2, resultOf(c.ID, c.Endpoint, 0, Completed))
	}
	if len(r.sender.attempts) != 5 {
		t.Errorf("%d calls out after the first batch, want the other five", len(r.sender.attempts))
	}
}

// Found on an incident: a share of all answers was lost while the rest came quickly. The lost calls never showed in
// the histogram and held slots to their deadline.
func TestLostAnswersCountInTheHistogram(t *testing.T) {
	r := newHarness(t, baseSettings())
	r.step(0, fullList(2))
	at := r.serveCalls(1, 20)
	lost := []CallOut{}
	for range 3 {
		lost = append(lost, actionsOf[CallOut](r.step(at, r.newMessage(0)))...)
		at = r.serveCalls(at+0.1, 4)
	}
	at = r.serveCalls(at, 8)
	r.step(at, TimerExpired{})
	if h := &r.sender.destinations[9].histogram; h.cutOffs < 0.8 || h.tau == 0 {
		t.Errorf("lost answers: %v counted while out, tau %d", h.cutOffs, h.tau)
	}
	cut := 0
	for _, a := range r.sender.attempts {
		if a.cancelled {
			cut++
		}
	}
	if cut != len(lost) {
		t.Errorf("%d of %d lost calls were called off", cut, len(lost))
	}
	// One that answers after all is no longer counted.
	before := r.sender.destinations[9].histogram.cutOffs
	r.step(at, resultOf(lost[0].ID, lost[0].Endpoint, 0, Completed))
	if got := r.sender.destinations[9].histogram.cutOffs; got > before-0.9 {
		t.Errorf("a late answer left %v of %v counted as lost", got, before)
	}
}

func TestUnsafeCallIsCancelledForTheLastSlot(t *testing.T) {
	set := baseSettings()
	set.Slots = 2
	r := newHarness(t, set)
	r.step(0, fullList(1), ListUpdate{Entries: []Entry{{Endpoint: 7, Destination: 8}}, Form: ListDelta})
	out := actionsOf[CallOut](r.step(1, r.newMessage(2)))
	other := r.newMessage(2)
	other.Destination = 8
	out = append(out, actionsOf[CallOut](r.step(1.1, other))...)
	if len(out) != 2 {
		t.Fatalf("%d calls out, want both slots taken", len(out))
	}
	if c := actionsOf[Cancel](r.step(12, TimerExpired{})); len(c) != 0 {
		t.Error("an unsafe call was given up although nobody waited")
	}
	third := r.newMessage(0)
	third.Destination = 8
	acts := append(r.step(12.1, third), r.step(12.2, TimerExpired{})...)
	if len(actionsOf[Cancel](acts)) == 0 {
		t.Error("a silent unsafe call kept the last slot from others")
	}
}

// Found by the property test: an endpoint that was not tried while its siblings were out had no budget.
func TestEndpointUntriedInOutageSharesTheBudget(t *testing.T) {
	set := baseSettings()
	set.Weights = WeightsNominal
	r := newHarness(t, set)
	ev := fullList(2)
	ev.Entries[0].Nominal, ev.Entries[1].Nominal = 4, 4
	r.step(0, ev)
	c := actionsOf[CallOut](r.step(1, r.newMessage(0)))[0]
	r.step(1.1, resultOf(c.ID, c.Endpoint, 0, ConnRefused))
	sent := 0
	for i := range 20 {
		for _, x := range actionsOf[CallOut](r.step(1.2+0.1*float64(i), r.newMessage(0))) {
			r.sender.endpoints[x.Endpoint].inflight = 0 // only the budget holds
			sent++
		}
	}
	if sent > 2 {
		t.Errorf("%d calls in two seconds to the untried sibling of an endpoint that is out", sent)
	}
}

// Found by the hunt: answers to calls that were under way at the siblings when a destination shut made them look
// well, and they were sent to without a budget when it opened.
func TestAnswerToOlderCallDoesNotExemptSiblingFromBudget(t *testing.T) {
	r := newHarness(t, baseSettings())
	r.step(0, fullList(2))
	a := actionsOf[CallOut](r.step(1, r.newMessage(0)))[0]
	b := actionsOf[CallOut](r.step(1.1, r.newMessage(0)))[0]
	shut := resultOf(b.ID, b.Endpoint, 0, Rejected)
	shut.RetryAfter = fromSeconds(8)
	r.step(1.2, shut)
	r.step(1.3, resultOf(a.ID, a.Endpoint, 0, Completed))
	if x, e := r.sender.endpoints[b.Endpoint], r.sender.endpoints[a.Endpoint]; e.lastHealthyAt >= x.lastFailureAt {
		t.Error("an answer to an older call shows a sibling to be well")
	}
}

func TestTenantOverQuotaHasLessWorth(t *testing.T) {
	set := baseSettings()
	set.Tenants, set.OverShareWorth = []Tenant{{"x", 2}, {"y", 2}}, 0.2
	r := newHarness(t, set)
	for i := range 40 {
		r.sender.now = fromSeconds(0.1 * float64(i))
		r.sender.tenantWorthShare(0)
	}
	if a, b := r.sender.tenantWorthShare(0), r.sender.tenantWorthShare(1); a != 0.2 || b != 1 {
		t.Errorf("ten a second of a quota of two keeps %v, a quiet tenant %v", a, b)
	}
}

// Found on quiet days of many senders: endpoints were full of idle connections.
func TestManySendersReleaseRarelyUsedConnections(t *testing.T) {
	for _, senders := range []int{2, manySendersAbove + 1} {
		set := baseSettings()
		set.Senders = senders
		r := newHarness(t, set)
		r.step(0, fullList(2))
		c := actionsOf[CallOut](r.step(0.1, r.newMessage(0)))[0]
		got := actionsOf[Release](r.step(0.2, resultOf(c.ID, c.Endpoint, 0, Completed)))
		if (len(got) > 0) != (senders > manySendersAbove) {
			t.Errorf("%d senders: released %v", senders, got)
		}
	}
}

// newLargeFleetHarness makes a sender among many at one destination with a told rate.
func newLargeFleetHarness(t *testing.T, senders int, rate float64, seed uint64) *harness {
	t.Helper()
	set := baseSettings()
	set.Senders, set.Weights = senders, WeightsNominal
	s, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{t: t, sender: s}
	ev := fullList(1)
	ev.Entries[0].Nominal = rate
	r.step(0, ev)
	return r
}

// Found on big-1: three hundred senders, each with one call in four windows, topple what comes back. Their budgets
// must add up to what it bears, and not fall together.
func TestBudgetsOfManySendersStayWithinTheLimit(t *testing.T) {
	const senders, rate = 300, 10.0
	calls := make([]int, 30) // by second after the outage was seen
	for i := range senders {
		r := newLargeFleetHarness(t, senders, rate, uint64(i))
		seen := 1 + 5*float64(i)/senders // they see the outage one after the other
		c := actionsOf[CallOut](r.step(seen, r.newMessage(0)))[0]
		r.step(seen+0.01, resultOf(c.ID, 1, 0, ConnRefused), r.newMessage(1))
		for at := seen + 0.1; at < 30; at += 0.1 {
			for _, x := range actionsOf[CallOut](r.step(at, TimerExpired{})) {
				calls[int(at)]++
				r.step(at+0.01, resultOf(x.ID, 1, r.sender.messages[x.ID].tries-1, ConnRefused))
			}
		}
	}
	set := baseSettings()
	window := int(set.FallWindow / Second)
	for at := 6; at+window <= 20; at++ {
		sum := 0
		for _, n := range calls[at : at+window] {
			sum += n
		}
		// Sixty senders a second see it, six times the rate: what adds up is held to that.
		if most := set.FallMultiple * set.ColdFrom * 60 * 1.5 * float64(window); float64(sum) > most {
			t.Errorf("second %d: %d calls in a fall window, want at most %.0f", at, sum, most)
		}
		if sum > 0 && slices.Max(calls[at:at+window]) == sum && sum > 20 {
			t.Errorf("second %d: all %d calls at one time", at, sum)
		}
	}
}

// A fleet pauses between its calls for the list. While what changed since may count as told, though nothing has told it,
// nothing goes out: until the next answer, or for a while where none comes. A watch that waits keeps the list fresh.
func TestNoSendsOnAStaleList(t *testing.T) {
	set := baseSettings()
	set.MaxListAge = 7 * Second
	for _, x := range []struct {
		watched float64 // when a watch was told to wait; 0 for none
		at      float64
		news    Event
		sent    int
	}{{0, 6.9, nil, 1}, {0, 7.1, nil, 0}, {0, 7.1, ListUpdate{Form: ListRequestFailed}, 0}, {0, 7.1, ListUpdate{Form: ListDelta}, 1},
		{0, 7.1 + seconds(maxStaleListWait), nil, 1}, {2, 20, nil, 1}, {2, 20, ListUpdate{Form: ListRequestFailed}, 1}} {
		r := newHarness(t, set)
		r.step(0, fullList(1))
		if x.watched > 0 {
			r.step(x.watched, ListUpdate{Form: ListWatchOpen})
		}
		evs := []Event{r.newMessage(0)}
		if x.news != nil {
			evs = append(evs, x.news)
		}
		if n := len(actionsOf[CallOut](r.step(x.at, evs...))); n != x.sent {
			t.Errorf("%+v: %d sends", x, n)
		}
	}
}

// Found on the full fleet's restarts: a sender that came back sent on its saved list to what had begun to drain while it
// was away. What discovery would tell counts as told, so nothing goes out before its first answer, nor for long
// where none comes.
func TestNoSendsOnASavedList(t *testing.T) {
	for _, x := range []struct {
		age  Micros
		old  bool
		at   float64
		news Event
		sent int
	}{{7 * Second, true, 0, nil, 0}, {7 * Second, true, 0.1, ListUpdate{Form: ListDelta}, 1},
		{7 * Second, true, 0.1, ListUpdate{Form: ListRequestFailed}, 1}, {7 * Second, true, seconds(maxSavedListWaitMicros) + 0.01, nil, 1},
		{7 * Second, false, 0, nil, 1}, {0, true, 0, nil, 1}} {
		set := baseSettings()
		set.MaxListAge = x.age
		r := newHarness(t, set)
		saved := fullList(1)
		saved.Form, saved.Stale = ListCached, x.old
		r.step(0, saved)
		evs := []Event{r.newMessage(0)}
		if x.news != nil {
			evs = append(evs, x.news)
		}
		if n := len(actionsOf[CallOut](r.step(x.at, evs...))); n != x.sent {
			t.Errorf("%+v: %d sends", x, n)
		}
	}
}

// A long day brings endpoints that come and go, messages for destinations that nobody lists and ever new order keys:
// what is no longer of use is dropped, so the tables stay in proportion to what is listed and held.
func TestTablesStayBounded(t *testing.T) {
	set := baseSettings()
	set.Classes[0].KeepOrder = true
	r := newHarness(t, set)
	r.step(0, fullList(1))
	at := 0.0
	for i := range 20 * minPruneAbove {
		at += 1
		c := NewMessage{ID: fmt.Sprint("x", i), TimeLeft: 2 * Second, Key: fmt.Sprint("k", i), Destination: int64(1000 + i), Tenant: -1}
		id := EndpointID(1000 + i)
		r.step(at, c, ListUpdate{Form: ListDelta, Entries: []Entry{{Endpoint: id, Destination: 9, State: Ready}}})
		r.step(at+0.5, ListUpdate{Form: ListDelta, Entries: []Entry{{Endpoint: id, State: Removed}}})
	}
	r.step(at+10, TimerExpired{})
	most := 2 * (minPruneAbove + int(idleStateAge/Second))
	if s := r.sender; len(s.endpoints) > most || len(s.destinations) > most || len(s.destinationOrder) != len(s.destinations) || len(s.orderKeys) > most {
		t.Errorf("%d endpoints, %d destinations, %d keys", len(s.endpoints), len(s.destinations), len(s.orderKeys))
	}
	if r.sender.destinations[9] == nil || len(r.sender.destinations[9].endpoints) != 1 {
		t.Error("what is listed was forgotten")
	}
}

// Found on the fleet's days: a clump met the free first sends of eighty senders, and since refused calls use the limit
// up, next to nothing was taken for seconds. Their calls must add up to the limit, and with all of it left none waits
// past its aim.
func TestManySendersShareALimit(t *testing.T) {
	const senders, rate = 80, 40.0
	calls := 0
	for i := range senders {
		set := baseSettings()
		set.Senders, set.Weights, set.LimitLeftIndex, set.LimitIndex = senders, WeightsNominal, 0, 1
		r := newHarness(t, set)
		r.sender.rng = rand.New(rand.NewPCG(uint64(i), 0))
		ev := fullList(1)
		ev.Entries[0].Nominal = rate
		r.step(0, ev)
		told := func(c CallOut, left float64) AttemptResult {
			x := resultOf(c.ID, 1, 0, Completed)
			x.Load = []float64{left, rate}
			return x
		}
		sent := func(from, to float64, left float64) (n int) {
			for at := from; at < to; at += 0.05 {
				for _, c := range actionsOf[CallOut](r.step(at, TimerExpired{})) {
					n++
					r.step(at+0.01, told(c, left))
				}
			}
			return n
		}
		for range 6 {
			r.step(0, r.newMessage(0))
		}
		calls += sent(0.05, 4, 0)
		for _, c := range actionsOf[CallOut](r.step(40, r.newMessage(0))) {
			r.step(40.1, told(c, 1))
		}
		r.step(50, r.newMessage(0), r.newMessage(0))
		r.step(50, r.newMessage(0))
		if n := sent(50, 51, 1); n == 0 {
			t.Errorf("sender %d: waits past its aim though all of the limit is left", i)
		}
	}
	if most := rate*4 + senders; float64(calls) > most {
		t.Errorf("%d calls in 4 s of a clump under a limit of %.0f a second, want at most %.0f", calls, rate, most)
	}
}

// Found on the later gas scheduling: at a limit that counts refusals, calls tried again at once kept it used up.
func TestManySendersDelayRejectedMessages(t *testing.T) {
	soonest, latest := 60.0, 0.0
	for i := range 40 {
		r := newLargeFleetHarness(t, 100, 5, uint64(i))
		c := actionsOf[CallOut](r.step(1, r.newMessage(1)))[0]
		r.step(1.1, resultOf(c.ID, 1, 0, Rejected))
		for at := 1.2; at < 13; at += 0.05 {
			if len(actionsOf[CallOut](r.step(at, TimerExpired{}))) > 0 {
				soonest, latest = min(soonest, at), max(latest, at)
				break
			}
		}
	}
	if soonest < 1.5 || latest-soonest < 2 {
		t.Errorf("tried again between %.2f and %.2f s; want rests that spread", soonest, latest)
	}
}

// With most calls of a kind turned away, only messages of more than mean worth are tried again.
func TestHighRejectionRetriesOnlyWorthyMessages(t *testing.T) {
	ended := [3]bool{}
	for class := range ended {
		r := newLargeFleetHarness(t, 100, 5, 1)
		r.sender.rejectedShare[0], r.sender.meanWorth, r.sender.lastSeq = 0.25, 2, 99
		c := actionsOf[CallOut](r.step(1, r.newMessage(class)))[0]
		ended[class] = len(actionsOf[Fail](r.step(1.1, resultOf(c.ID, 1, 0, Rejected)))) > 0
	}
	if ended != [3]bool{true, true, false} {
		t.Errorf("ended by class: %v", ended)
	}
}

// A call that finds no room for its connection never came to the limit: it slows nobody down and is tried again soon,
// while a refusal above the limit halves the pace, and with most calls turned away the message is given up.
func TestConnectionRejectionKeepsThePace(t *testing.T) {
	for _, x := range []struct {
		load []float64
		slow bool
	}{{nil, false}, {[]float64{0, 5}, true}} {
		set := baseSettings()
		set.Senders, set.Weights, set.LimitLeftIndex, set.LimitIndex = 20, WeightsNominal, 0, 1
		r := newHarness(t, set)
		ev := fullList(1)
		ev.Entries[0].Nominal = 100
		r.step(0, ev)
		r.sender.rejectedShare[0], r.sender.meanWorth, r.sender.lastSeq = 0.25, 2, 99
		c := actionsOf[CallOut](r.step(1, r.newMessage(0)))[0]
		pace := r.sender.endpoints[1].limiter.pace
		end := resultOf(c.ID, 1, 0, Rejected)
		end.Load = x.load
		ended := len(actionsOf[Fail](r.step(1.02, end))) > 0
		again := len(actionsOf[CallOut](r.step(1.7, TimerExpired{}))) > 0
		if l := r.sender.endpoints[1].limiter; ended != x.slow || again == x.slow || (l.pace != pace) != x.slow {
			t.Errorf("report %v: ended %v, sent again %v, pace %v -> %v", x.load, ended, again, pace, l.pace)
		}
	}
}

// New connections cost time and points: among many senders the endpoint that still has one comes first.
func TestManySendersPreferIdleConnections(t *testing.T) {
	for _, senders := range []int{2, manySendersAbove + 1} {
		set := baseSettings()
		set.Senders, set.ConnIdle, set.ConnCalls, set.ConnPrice = senders, 10*Second, 1, 2*highConnPrice
		r := newHarness(t, set)
		r.sender.newConnsAccepted[0] = 1 << 30 // this kind has room
		r.step(0, fullList(3))
		used := map[EndpointID]bool{}
		for i := range 6 {
			c := actionsOf[CallOut](r.step(float64(i)+1, r.newMessage(0)))[0]
			acts := r.step(float64(i)+1.1, resultOf(c.ID, c.Endpoint, 0, Completed))
			if len(actionsOf[Release](acts)) > 0 {
				t.Error("a connection was given back though new ones are dear")
			}
			used[c.Endpoint] = true
		}
		if (len(used) == 1) != (senders > manySendersAbove) {
			t.Errorf("%d senders: %d endpoints used", senders, len(used))
		}
	}
}

// Among many senders idle connections fill an endpoint, and each further one is turned away, unseen. Who keeps one does
// not meet that: a fleet must not keep all at once, and after a refusal for want of room none, but go on after refusals
// above a limit, which say nothing of connections.
func TestConnectionsReleasedWhereKindIsFull(t *testing.T) {
	limit := AttemptResult{Outcome: Rejected, Load: []float64{0, 50}}
	for _, x := range []struct {
		senders int
		after   AttemptResult
		least   [3]int // kept of 40 at the start, later on, and after that answer
		most    [3]int
	}{
		{2, AttemptResult{Outcome: Rejected}, [3]int{40, 40, 40}, [3]int{40, 40, 40}},
		{manySendersAbove + 1, AttemptResult{Outcome: Rejected}, [3]int{0, 30, 0}, [3]int{8, 40, 0}},
		{manySendersAbove + 1, limit, [3]int{0, 30, 30}, [3]int{8, 40, 40}},
	} {
		kept := [3]int{}
		for seed := range uint64(40) {
			set := baseSettings()
			set.Senders, set.ConnIdle, set.ConnCalls, set.ConnPrice = x.senders, 10*Second, 1, 2*highConnPrice
			set.LimitLeftIndex, set.LimitIndex = 0, 1
			r := newHarness(t, set)
			r.sender.rng = rand.New(rand.NewPCG(seed, 0))
			r.step(0, fullList(1))
			call := func(at float64, end AttemptResult) (given bool) {
				t.Helper()
				c := actionsOf[CallOut](r.step(at, r.newMessage(0)))[0]
				end.ID, end.Endpoint, end.MessageEnded = c.ID, c.Endpoint, end.Outcome == Completed
				acts := r.step(at+0.1, end)
				if end.Outcome == Rejected {
					r.step(at+0.2, ClientGone{c.ID})
				}
				return len(actionsOf[Release](acts)) > 0
			}
			done := AttemptResult{Outcome: Completed, Duration: fromSeconds(0.1), Load: []float64{1, 50}}
			count := func(i int, given bool) {
				if !given {
					kept[i]++
				}
			}
			count(0, call(1, done))
			at := 20.0
			for range 60 {
				call(at, done)
				at += 20 // past the idle time: each needs a new connection
			}
			count(1, call(at, done))
			call(at+20, x.after)
			count(2, call(at+40, done))
		}
		for i, n := range kept {
			if n < x.least[i] || n > x.most[i] {
				t.Errorf("%d senders, %+v: kept %v", x.senders, x.after, kept)
				break
			}
		}
	}
}

// Found on a drawn day (fast errors, head office): senders that rested after each refusal came back too early, in total,
// to a destination that was shut. Among many senders two refusals in a row are enough.
func TestManySendersTakeTwoRejectionsForAnOutage(t *testing.T) {
	for _, senders := range []int{2, 100} {
		r := newLargeFleetHarness(t, senders, 10, 1)
		acts := r.step(1, r.newMessage(2))
		for n, at := 0, 1.0; n < 2; at += 0.1 {
			for _, c := range actionsOf[CallOut](acts) {
				n++
				r.step(at+0.01, resultOf(c.ID, 1, r.sender.messages[c.ID].tries-1, Rejected))
			}
			acts = r.step(at+0.1, TimerExpired{})
			r.sender.endpoints[1].limiter.firstRejectedAt -= fromSeconds(0.1) // the rests differ: the span is not what is tested
		}
		if cold := r.sender.endpoints[1].recovering; cold != (senders > manySendersAbove) {
			t.Errorf("%d senders: cold %v after two refusals", senders, cold)
		}
	}
}

// Where the network breaks calls now and then at all endpoints alike, a break or two in a row is no outage: the
// endpoint goes on getting messages, unsafe ones too. A run too long for chance is one.
func TestChanceFailuresAreNoOutage(t *testing.T) {
	r := newHarness(t, baseSettings())
	r.step(0, fullList(1))
	at := 0.0
	send := func(class int, o Outcome) {
		t.Helper()
		at += 0.5
		c := r.newMessage(class)
		acts := r.step(at, c)
		if n := len(actionsOf[CallOut](acts)); n != 1 {
			t.Fatalf("at %.1f s: %d sends for a new message of class %d, want one at once", at, n, class)
		}
		r.step(at+0.1, resultOf(c.ID, 1, 0, o), ClientGone{c.ID})
	}
	for i := range 200 { // every tenth call breaks
		o := Completed
		if i%10 == 9 {
			o = []Outcome{ConnBroken, ConnRefused}[i/10%2]
		}
		send(i%2*2, o)
	}
	send(0, ConnBroken)
	send(0, ConnBroken) // two in a row, the share being what it is
	send(0, Completed)
	if e := r.sender.endpoints[1]; e.ejected || e.recovering {
		t.Errorf("taken for out: suspect %v, cold %v", e.ejected, e.recovering)
	}
	for range 12 { // held messages that nobody wants any more keep the rig simple: each is sent once
		at += 3
		c := r.newMessage(0)
		for _, a := range actionsOf[CallOut](r.step(at, c)) {
			r.step(at+0.1, resultOf(a.ID, 1, 0, ConnBroken), ClientGone{a.ID})
		}
	}
	e := r.sender.endpoints[1]
	if !e.ejected || !e.recovering {
		t.Fatal("not taken for out after a dozen breaks in a row")
	}
	for i := 0; e.ejected; i++ { // it answers its next trial
		at += 3
		c := r.newMessage(0)
		for _, a := range actionsOf[CallOut](r.step(at, c)) {
			r.step(at+0.1, resultOf(a.ID, 1, 0, Completed))
		}
		if i > 9 {
			t.Fatal("an answer to a trial did not bring it back")
		}
	}
	at += 3
	c := r.newMessage(0)
	for _, a := range actionsOf[CallOut](r.step(at, c)) {
		r.step(at+0.1, resultOf(a.ID, 1, 0, ConnBroken), ClientGone{c.ID})
	}
	if e.lastFailureAt < fromSeconds(at) {
		t.Fatal("nothing was sent after its return")
	}
	if e.ejected {
		t.Error("out again at the first break after its return")
	}
}

// A fifth of all calls break by chance, at six endpoints alike: none has an outage, so none is taken out.
func TestFrequentChanceFailuresAreNoOutage(t *testing.T) {
	r := newHarness(t, baseSettings())
	ev := fullList(6)
	for i := range ev.Entries {
		ev.Entries[i].Destination = int64(i)
	}
	r.step(0, ev)
	rnd := rand.New(rand.NewPCG(3, 3))
	out := 0
	for i := range 1200 {
		at := 1 + 0.05*float64(i)
		c := r.newMessage(0)
		c.Destination = int64(i % 6)
		for _, a := range actionsOf[CallOut](r.step(at, c)) {
			o := Completed
			if i > 200 && rnd.IntN(5) == 0 {
				o = ConnBroken
			}
			acts := r.step(at+0.01, resultOf(a.ID, a.Endpoint, r.sender.messages[a.ID].tries-1, o), ClientGone{a.ID})
			for _, l := range actionsOf[Log](acts) {
				if strings.Contains(l.Text, "out:") {
					out++
				}
			}
		}
	}
	if out > 1 { // one may be the first to tell that breaks have become usual
		t.Errorf("endpoints were taken out %d times", out)
	}
}

// A told limit is for all senders together: one of two that takes it whole makes the destination refuse both.
func TestKnownLimitIsSharedBySenders(t *testing.T) {
	set := baseSettings()
	set.Weights, set.Slots, set.MaxOpen = WeightsNominal, 200, 200
	r := newHarness(t, set)
	ev := fullList(1)
	ev.Entries[0].Nominal = 20
	r.step(0, ev)
	var clump []Event
	for range 100 {
		clump = append(clump, r.newMessage(0))
	}
	sent := 0
	for at := 1.0; at < 4; at += 0.01 {
		for _, a := range actionsOf[CallOut](r.step(at, clump...)) {
			sent++
			r.step(at, resultOf(a.ID, 1, 0, Completed))
		}
		clump = nil
	}
	if sent < 30 || sent > 45 { // three seconds of half the limit, with room for an uneven share and a burst
		t.Errorf("%d calls in three seconds of a limit of 20 that two senders share", sent)
	}
}

// What an operator takes out gets nothing, whatever the list says, and comes back cold.
func TestBannedEndpointGetsNothing(t *testing.T) {
	set := baseSettings()
	set.Weights = WeightsNominal
	r := newHarness(t, set)
	list := func(n int) ListUpdate {
		ev := fullList(n)
		for i := range ev.Entries {
			ev.Entries[i].Nominal = 100
		}
		return ev
	}
	r.step(0, Ban{Endpoint: 1}, list(2)) // not listed yet
	send := func(at float64, evs ...Event) (to []EndpointID) {
		t.Helper()
		c := r.newMessage(0)
		for _, a := range actionsOf[CallOut](r.step(at, append(evs, c)...)) {
			to = append(to, a.Endpoint)
			r.step(at, resultOf(a.ID, a.Endpoint, 0, Completed))
		}
		return to
	}
	for i := range 4 {
		if to := send(0.5+float64(i), list(2)); len(to) != 1 || to[0] != 2 {
			t.Fatalf("sent to %v", to)
		}
	}
	gone := ListUpdate{Entries: []Entry{{Endpoint: 1, Destination: 9, State: Removed}}}
	if to := send(5, gone, ListUpdate{Entries: []Entry{{Endpoint: 1, Destination: 9}}}); len(to) != 1 || to[0] != 2 {
		t.Fatalf("after a return sent to %v", to)
	}
	r.step(6, Ban{Endpoint: 1}, Unban{Endpoint: 1})
	if e := r.sender.endpoints[1]; !e.recovering || e.ejected || e.returnedAt != fromSeconds(6) {
		t.Errorf("put back: cold %v, suspect %v, back at %v", e.recovering, e.ejected, e.returnedAt)
	}
	got := map[EndpointID]bool{}
	for i := range 2 {
		for _, ep := range send(7 + float64(i)) {
			got[ep] = true
		}
	}
	if !got[1] {
		t.Errorf("nothing sent to what was put back: %v", got)
	}
}

// With its one endpoint taken out a message waits, and one whose time runs out is returned.
func TestMessageWaitsWhileAllEndpointsAreBanned(t *testing.T) {
	r := newHarness(t, baseSettings())
	c := r.newMessage(2)
	if acts := r.step(0, fullList(1), Ban{Endpoint: 1}, c); len(actionsOf[CallOut](acts)) != 0 {
		t.Fatal("sent")
	}
	if acts := r.step(1, Unban{Endpoint: 1}); len(actionsOf[CallOut](acts)) != 1 {
		t.Error("not sent once put back")
	}
}

// A move of discovery ends the pause after a failed call, however long; with a watch out there is none to end.
func TestDiscoveryMoveEndsTheListRetryDelay(t *testing.T) {
	set := baseSettings()
	set.Senders = 300
	r := newHarness(t, set)
	r.step(0, fullList(1))
	if n := len(actionsOf[Listen](r.step(0.1, DiscoveryMoved{}))); n != 0 {
		t.Error("asked twice: a watch is out")
	}
	r.step(1, ListUpdate{Form: ListRequestFailed})
	if n := len(actionsOf[Listen](r.step(1.5, TimerExpired{}))); n != 0 {
		t.Fatal("no pause after a failed call")
	}
	if n := len(actionsOf[Listen](r.step(1.6, DiscoveryMoved{}))); n != 1 {
		t.Error("the new address is not asked at once")
	}
}
