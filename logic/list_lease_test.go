package logic

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// What changes counts as told some time after discovery had it and could be reached, whatever became of the calls for the
// list before. The spans are those of the deployment's terms; the client is modelled, the pauses are the module's.
const (
	knownAfter            = 6 * Second  // after discovery has a change and can be reached, or after a watch fell silent ...
	knownAfterWatchWait   = 2 * Second  // ... and not before this after the watch's wait is over
	watchWait             = 18 * Second // a watch's wait for news
	watchLimit            = 19 * Second // when the client gives a silent one up
	watchReportedMicros   = 2200_000    // when the client says that it waits
	slackMicros           = 50_000      // of the judge
	discoveryAnswerMicros = 20_000      // of discovery, once it serves
	maxListAgeMicros      = 5800_000    // as the sender sets it, beside the grace
)

// failedListCall is what becomes of a call for the list.
type failedListCall struct {
	name     string
	duration Micros
	watch    bool
}

var failedListCalls = []failedListCall{{"refused", 500, false}, {"reset", 30_000, false}, {"silent", 2 * Second, false},
	{"silent watch", watchLimit, true}, {"nonsense", 12_000, false}, {"503", 15_000, false}}

// drainSlack is one sender through some calls that go wrong, with a change at a time; it returns by how much the last
// call to the endpoint that drains came before the last moment for it.
func drainSlack(t *testing.T, senders int, before int, bad []failedListCall, change, grace Micros, seed uint64) (spare Micros) {
	t.Helper()
	set := baseSettings()
	set.ListOnRequest, set.Senders, set.DrainGrace = true, senders, grace
	if senders > manySendersAbove {
		set.MaxListAge = maxListAgeMicros + grace
	}
	r := newHarness(t, set)
	r.sender.rng = rand.New(rand.NewPCG(seed, 9))
	type item struct {
		at Micros
		ev Event // nil: a message comes
	}
	var queue []item
	add := func(at Micros, ev Event) { queue = append(queue, item{at, ev}) }
	calls, told := 0, never // calls for the list; when the change counts as told
	var lastSend Micros
	add(0, fullList(2))
	for len(queue) > 0 {
		next := 0
		for i, x := range queue {
			if x.at < queue[next].at {
				next = i
			}
		}
		now, ev := queue[next].at, queue[next].ev
		queue = append(queue[:next], queue[next+1:]...)
		if told != never && now > told+grace+3*Second {
			return told + grace + slackMicros - lastSend
		}
		if ev == nil {
			ev = r.newMessage(0)
			add(now+50_000, nil)
		}
		for _, a := range r.sender.Step(now, []Event{ev}) {
			switch a := a.(type) {
			case SetTimer:
				add(now+a.Wait, TimerExpired{a.Token})
			case CallOut:
				if a.Endpoint == 1 {
					lastSend = now
				}
				add(now+10_000, AttemptResult{ID: a.ID, Endpoint: a.Endpoint, Outcome: Completed, MessageEnded: true})
			case Listen:
				switch calls++; {
				case calls <= before:
					add(now+500, ListUpdate{Form: ListRequestFailed})
				case calls <= before+len(bad):
					x := bad[calls-before-1]
					if x.watch {
						add(now+watchReportedMicros, ListUpdate{Form: ListWatchOpen})
					}
					add(now+x.duration, ListUpdate{Form: ListRequestFailed})
					if calls == before+len(bad) { // from now on it could be reached
						change += now
						told = max(now, change) + knownAfter
						if x.watch {
							told = max(told, now+watchWait+knownAfterWatchWait)
						}
						add(told+grace-2*Second, nil)
					}
				case calls == before+len(bad)+1:
					add(max(now+discoveryAnswerMicros, change),
						ListUpdate{Form: ListDelta, Entries: []Entry{{Endpoint: 1, Destination: 9, State: Draining}}})
					add(now+discoveryAnswerMicros, ListUpdate{Form: ListWatchOpen})
				}
			}
		}
	}
	t.Fatal("discovery was not asked again")
	return 0
}

// Three calls for the list go wrong in each order, after some time without discovery or none; then it can be reached.
// Nothing goes to an endpoint that drains after the change counts as told and the grace is over.
func TestNoSendAfterDrainGraceDespiteFailedListCalls(t *testing.T) {
	for _, senders := range []int{2, 36, 80, 540} {
		worst, text := never, ""
		n := uint64(0)
		for _, a := range failedListCalls {
			for _, b := range failedListCalls {
				for _, c := range failedListCalls {
					for _, change := range []Micros{-Second, Second, 4 * Second, 12 * Second} { // since the last bad call began
						n++
						grace := []Micros{Second, Second / 4}[n%2]
						bad := []failedListCall{a, b, c}
						spare := drainSlack(t, senders, int(n/2%4), bad, change, grace, n)
						if spare < worst {
							worst, text = spare, fmt.Sprintf("%s, %s, %s, change at %d, grace %d", a.name, b.name, c.name, change, grace)
						}
						if spare < 0 {
							t.Errorf("%d senders, %s, %s, %s: sent %.2f s after a change counts as told (%.1f s after the last call began)",
								senders, a.name, b.name, c.name, -seconds(spare), seconds(change))
						}
					}
				}
			}
		}
		t.Logf("%d senders: worst %.2f s to spare: %s", senders, seconds(worst), text)
	}
}
