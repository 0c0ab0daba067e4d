package logic

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// A change counts as known to a sender some time after discovery has it and can be reached, however the list requests
// before ended. These times come from the terms of the deployment. The client for the list is modelled here, the delays
// between requests are those of package logic.
const (
	// after discovery has a change and can be reached, or after a watch got no answer ...
	knownAfter            = 6 * Second
	knownAfterWatchWait   = 2 * Second  // ... but not earlier than this after the end of the watch's wait
	watchWait             = 18 * Second // how long a watch waits for an update
	watchLimit            = 19 * Second // after this the client gives up a watch without an answer
	watchReportedMicros   = 2200_000    // after this the client reports that the watch is open
	toleranceMicros       = 50_000      // tolerance of the check
	discoveryAnswerMicros = 20_000      // time to an answer of discovery, once it can be reached
	maxListAgeMicros      = 5800_000    // as the program sets it, in addition to the drain grace
)

// failedListRequest is a way in which a list request fails.
type failedListRequest struct {
	name     string
	duration Micros
	watch    bool
}

var failedListRequests = []failedListRequest{{"refused", 500, false}, {"reset", 30_000, false}, {"silent", 2 * Second, false},
	{"silent watch", watchLimit, true}, {"nonsense", 12_000, false}, {"503", 15_000, false}}

// drainSlack runs one sender through list requests that fail: failedBefore that are refused, then those in failing.
// Endpoint 1 begins to drain at change, counted from the start of the last request that fails. drainSlack returns how
// long before the end of the drain grace, plus the tolerance, the last call to that endpoint was sent. The drain grace
// begins when the change counts as known.
func drainSlack(t *testing.T, senders int, failedBefore int, failing []failedListRequest, change, grace Micros,
	seed uint64) (slack Micros) {
	t.Helper()
	settings := baseSettings()
	settings.ListOnRequest, settings.Senders, settings.DrainGrace = true, senders, grace
	if senders > manySendersAbove {
		settings.MaxListAge = maxListAgeMicros + grace
	}
	h := newHarness(t, settings)
	h.sender.rng = rand.New(rand.NewPCG(seed, 9))
	type item struct {
		at Micros
		ev Event // nil: a new message arrives
	}
	var queue []item
	add := func(at Micros, ev Event) { queue = append(queue, item{at, ev}) }
	listRequests, knownAt := 0, never // knownAt: when the change counts as known
	var lastSend Micros
	add(0, fullList(2))
	for len(queue) > 0 {
		next := 0
		for i, queued := range queue {
			if queued.at < queue[next].at {
				next = i
			}
		}
		now, ev := queue[next].at, queue[next].ev
		queue = append(queue[:next], queue[next+1:]...)
		if knownAt != never && now > knownAt+grace+3*Second {
			return knownAt + grace + toleranceMicros - lastSend
		}
		if ev == nil {
			ev = h.newMessage(0)
			add(now+50_000, nil)
		}
		for _, a := range h.sender.Step(now, []Event{ev}) {
			switch a := a.(type) {
			case SetTimer:
				add(now+a.Wait, TimerExpired{a.Token})
			case CallOut:
				if a.Endpoint == 1 {
					lastSend = now
				}
				add(now+10_000, AttemptResult{ID: a.ID, Endpoint: a.Endpoint, Outcome: Completed, MessageEnded: true})
			case Listen:
				switch listRequests++; {
				case listRequests <= failedBefore:
					add(now+500, ListUpdate{Form: ListRequestFailed})
				case listRequests <= failedBefore+len(failing):
					request := failing[listRequests-failedBefore-1]
					if request.watch {
						add(now+watchReportedMicros, ListUpdate{Form: ListWatchOpen})
					}
					add(now+request.duration, ListUpdate{Form: ListRequestFailed})
					if listRequests == failedBefore+len(failing) { // from now on discovery can be reached
						change += now
						knownAt = max(now, change) + knownAfter
						if request.watch {
							knownAt = max(knownAt, now+watchWait+knownAfterWatchWait)
						}
						add(knownAt+grace-2*Second, nil)
					}
				case listRequests == failedBefore+len(failing)+1:
					add(max(now+discoveryAnswerMicros, change),
						ListUpdate{Form: ListDelta, Entries: []Entry{{Endpoint: 1, Destination: 9, State: Draining}}})
					add(now+discoveryAnswerMicros, ListUpdate{Form: ListWatchOpen})
				}
			}
		}
	}
	t.Fatal("the list was not requested again after the failed requests")
	return 0
}

// Guards against sends to a draining endpoint after the change counts as known and the drain grace is over. They happen
// when list requests fail: here three of them, in each order, after up to three that were refused.
func TestNoSendAfterDrainGraceDespiteFailedListRequests(t *testing.T) {
	for _, senders := range []int{2, 36, 80, 540} {
		worst, worstText := never, ""
		n := uint64(0)
		for _, a := range failedListRequests {
			for _, b := range failedListRequests {
				for _, c := range failedListRequests {
					for _, change := range []Micros{-Second, Second, 4 * Second, 12 * Second} { // since the last failed request began
						n++
						grace := []Micros{Second, Second / 4}[n%2]
						failing := []failedListRequest{a, b, c}
						slack := drainSlack(t, senders, int(n/2%4), failing, change, grace, n)
						if slack < worst {
							worst, worstText = slack, fmt.Sprintf("%s, %s, %s, change at %d, grace %d",
								a.name, b.name, c.name, change, grace)
						}
						if slack < 0 {
							t.Errorf("%d senders, %s, %s, %s: sent %.2f s too late for a change %.1f s after the last failed request began",
								senders, a.name, b.name, c.name, -seconds(slack), seconds(change))
						}
					}
				}
			}
		}
		t.Logf("%d senders: smallest slack %.2f s: %s", senders, seconds(worst), worstText)
	}
}

// Guards against a list that stays in use without an update while discovery answers with rejections or late. Where lists
// are requested, MaxAnsweredListAge limits its age for as long as they come. A silent discovery may be down: its few
// senders go on.
func TestRequestedListIsNotUsedForLongWhileDiscoveryAnswers(t *testing.T) {
	const maxAge = 7 * Second
	rejected, silent := ListUpdate{Form: ListRequestFailed, Rejected: true}, ListUpdate{Form: ListRequestFailed, Unresponsive: true}
	watched, late := ListUpdate{Form: ListWatchOpen}, ListUpdate{Form: ListDelta, Late: true, Age: 3 * Second}
	type timed struct {
		at     float64
		update ListUpdate
	}
	for name, tc := range map[string]struct {
		updates []timed
		at      float64
		sent    bool
	}{
		"silent":                              {[]timed{{2, silent}, {5, silent}}, 30, true},
		"rejected, list young":                {[]timed{{2, rejected}}, 6.9, true},
		"rejected, list old":                  {[]timed{{2, rejected}}, 7.1, false},
		"rejected for long":                   {[]timed{{2, rejected}, {11, rejected}, {20, rejected}}, 29, false},
		"rejected, then silent":               {[]timed{{2, rejected}, {8, silent}}, 12.1, true},
		"late update, list young":             {[]timed{{6, silent}, {9, late}}, 12.9, true},
		"late update, list old":               {[]timed{{6, silent}, {9, late}}, 13.1, false},
		"watch accepted, then rejected":       {[]timed{{2, rejected}, {6, watched}, {10, rejected}}, 10.1, false},
		"watch without an answer, rejections": {[]timed{{2, watched}, {6, ListUpdate{Form: ListRequestFailed, Unresponsive: true, Age: 4 * Second}}, {8, rejected}}, 9.1, false},
	} {
		settings := baseSettings()
		settings.ListOnRequest, settings.MaxAnsweredListAge = true, maxAge
		h := newHarness(t, settings)
		h.step(0, fullList(1))
		for _, e := range tc.updates {
			h.step(e.at, e.update)
		}
		if n := len(actionsOf[CallOut](h.step(tc.at, h.newMessage(0)))); (n == 1) != tc.sent {
			t.Errorf("%s: got %d sends at %.2f s, want a send: %v", name, n, tc.at, tc.sent)
		}
	}
}
