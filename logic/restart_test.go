package logic

import "testing"

// actionsAfterRestart hands a message of a class in as after a restart and returns what is done in that step.
func actionsAfterRestart(t *testing.T, class int, past PriorAttempts) []Action {
	t.Helper()
	r := newHarness(t, baseSettings())
	c := r.newMessage(class)
	c.Prior = past
	return r.step(100, fullList(2), c)
}

// A try that may have run before a restart binds the class as one after it would.
func TestAttemptsBeforeARestartCount(t *testing.T) {
	may := PriorAttempts{Tries: 1, MayHaveRun: true, SinceFirstSend: Second}
	old := PriorAttempts{Tries: 1, MayHaveRun: true, SinceFirstSend: 8 * Second} // as old as the keyed window
	for _, x := range []struct {
		name  string
		class int
		past  PriorAttempts
		sent  bool
	}{
		{"safe, may have run", 0, may, true},
		{"keyed, may have run", 1, may, true},
		{"keyed, out of its window", 1, old, false},
		{"unsafe, may have run", 2, may, false},
		{"unsafe, never ran", 2, PriorAttempts{Tries: 5}, true},
		{"safe, no attempt left", 0, PriorAttempts{Tries: 6, MayHaveRun: true}, false},
	} {
		acts := actionsAfterRestart(t, x.class, x.past)
		if n := len(actionsOf[CallOut](acts)); (n == 1) != x.sent {
			t.Errorf("%s: %d sends", x.name, n)
		}
		if n := len(actionsOf[Fail](acts)); (n == 1) == x.sent {
			t.Errorf("%s: %d failures", x.name, n)
		}
	}
	// Without a try that may have run the end is a refusal: the client may come again.
	if acts := actionsAfterRestart(t, 2, PriorAttempts{Tries: 6}); len(actionsOf[Refuse](acts)) != 1 || len(actionsOf[Fail](acts)) != 0 {
		t.Errorf("no attempt left, never ran: %v", acts)
	}
}

// Keyed repeats are dropped only by endpoints of the zone where the first try went.
func TestKeyedRepeatAfterRestartStaysInZone(t *testing.T) {
	set := baseSettings()
	set.Zones, set.Classes[1].ByZone = 2, true
	r := newHarness(t, set)
	eps := fullList(2)
	eps.Entries[0].Zone, eps.Entries[1].Zone = 0, 1
	c := r.newMessage(1)
	c.Prior = PriorAttempts{Tries: 1, MayHaveRun: true, Zone: 1}
	out := actionsOf[CallOut](r.step(100, eps, c))
	if len(out) != 1 || out[0].Endpoint != 2 {
		t.Errorf("sent %v, want one to endpoint 2", out)
	}
}

// Attempts go on counting where the last process left off: replies name them.
func TestAttemptNumbersContinueAfterRestart(t *testing.T) {
	r := newHarness(t, baseSettings())
	c := r.newMessage(0)
	c.Prior = PriorAttempts{Tries: 5, MayHaveRun: true}
	r.step(100, fullList(1), c)
	acts := r.step(100.1, resultOf(c.ID, 1, 5, Errored))
	if len(actionsOf[Fail](acts)) != 1 {
		t.Errorf("after the sixth attempt: %v", acts)
	}
}

// A stop must not cut off calls that were begun in view of it: an unsafe one would be lost.
func TestNoCallThatOutlastsTheStop(t *testing.T) {
	r := newHarness(t, baseSettings())
	r.step(0, fullList(1))
	for i := range 8 { // the usual call takes 0.1 s
		c := r.newMessage(2)
		r.step(float64(i), c)
		r.step(float64(i)+0.1, resultOf(c.ID, 1, 0, Completed))
	}
	r.step(10, Stopping{TimeLeft: 3 * Second})
	early, late := r.newMessage(2), r.newMessage(2)
	if n := len(actionsOf[CallOut](r.step(10.1, early))); n != 1 {
		t.Errorf("%d sends with time enough", n)
	}
	r.step(10.2, resultOf(early.ID, 1, 0, Completed))
	acts := r.step(12.7, late)
	if len(acts) > 0 && len(actionsOf[CallOut](acts))+len(actionsOf[Refuse](acts))+len(actionsOf[Fail](acts)) != 0 {
		t.Errorf("shortly before the stop: %v", acts)
	}
}

// With nothing else going on, a call that hangs is looked at all the same.
func TestSingleHangingCallIsCheckedByTimer(t *testing.T) {
	r := newHarness(t, baseSettings())
	r.step(0, fullList(2))
	acts := r.step(1, r.newMessage(0))
	at, end := 1.0, 0.0
	for i := 0; i < 20 && len(actionsOf[Cancel](acts)) == 0; i++ {
		timers := actionsOf[SetTimer](acts)
		if len(timers) == 0 {
			t.Fatal("no timer set")
		}
		at += seconds(timers[0].Wait)
		acts = r.step(at, TimerExpired{Token: timers[0].Token})
		end = at
	}
	if end == 0 || end > 6 {
		t.Errorf("called off at %v s", end)
	}
}

// recoveredMessage is a message that a restart found, with so much of its time left.
func (r *harness) recoveredMessage(class int, left float64) NewMessage {
	c := r.newMessage(class)
	c.TimeLeft, c.Prior = fromSeconds(left), PriorAttempts{Recovered: true}
	return c
}

// answerCalls steps on to a time, answers each call after 0.2 s with an outcome, and notes which messages were called and
// when they ended by our word.
func (r *harness) answerCalls(from, to float64, o Outcome, evs ...Event) (called map[string]float64, ended map[string]float64) {
	called, ended = map[string]float64{}, map[string]float64{}
	due := map[float64][]Event{}
	for i := range int((to - from) / 0.01) {
		at := from + float64(i)*0.01
		for _, a := range r.step(at, append(evs, due[float64(i)]...)...) {
			switch a := a.(type) {
			case CallOut:
				if _, again := called[a.ID]; !again {
					called[a.ID] = at
				}
				n := r.sender.messages[a.ID].tries - 1
				due[float64(i+20)] = append(due[float64(i+20)], resultOf(a.ID, a.Endpoint, n, o))
			case Refuse:
				ended[a.ID] = at
			case Fail:
				ended[a.ID] = at
			}
		}
		evs = nil
	}
	return called, ended
}

// lowLimitDeployment is a destination whose told limit, shared by many senders, lets few of a hold's messages out in their time.
func lowLimitDeployment(hold int) (Settings, ListUpdate) {
	set := baseSettings()
	set.Senders, set.MaxOpen, set.WarmAfter, set.MaxListAge = 300, hold, 14*Second, 7*Second
	set.LimitLeftIndex, set.LimitIndex, set.Weights = 0, 1, WeightsNominal
	eps := fullList(2)
	for i := range eps.Entries {
		eps.Entries[i].Nominal = 10
	}
	eps.Form, eps.Stale = ListCached, true
	return set, eps
}

// What a restart finds taken on and untried is still tried. The pace ended more than half of it without a call: a
// sender's share of a small limit, and a hold so full that its least worthy were given up.
func TestRecoveredMessageIsTriedInTime(t *testing.T) {
	for _, x := range []struct {
		name  string
		hold  int
		news  ListUpdate // what comes after the start; ListWatched stands for a watch that waits
		class int
		left  float64
	}{
		{"small limit", 200, ListUpdate{Form: ListWatchOpen}, 0, 9},
		{"full hold", 16, ListUpdate{Form: ListWatchOpen}, 0, 9},
		{"unsafe", 200, ListUpdate{Form: ListWatchOpen}, 2, 9},
		{"short time left", 200, ListUpdate{Form: ListWatchOpen}, 0, 0.25},
		{"discovery late, short time left", 200, ListUpdate{}, 0, 0.25},
		{"discovery silent until the list is too old", 200, ListUpdate{}, 0, 9.5},
		{"discovery silent for longer", 200, ListUpdate{}, 0, 14},
	} {
		set, eps := lowLimitDeployment(x.hold)
		set.Slots = 32
		r := newHarness(t, set)
		evs := []Event{eps}
		for range 16 {
			evs = append(evs, r.recoveredMessage(x.class, x.left))
		}
		if x.news.Form == ListWatchOpen {
			evs = append(evs, x.news)
		}
		called, ended := r.answerCalls(100, 100+x.left+1, Completed, evs...)
		if len(called) != 16 {
			t.Errorf("%s: %d of 16 tried, %d given up", x.name, len(called), len(ended))
		}
		if x.news.Form != ListWatchOpen {
			for id, at := range called {
				if stale := set.MaxListAge; at > 100+seconds(stale) && at < 100+seconds(stale+maxStaleListWait) {
					t.Errorf("%s: %s called %.2f s after the start, on a list that is too old", x.name, id, at-100)
				}
			}
		}
	}
}

// Only the pace gives way: a told wait is heeded, and what is out or drains gets nothing, for all that it is a
// message's last chance.
func TestRecoveredMessageHonorsRetryAfter(t *testing.T) {
	set, eps := lowLimitDeployment(200)
	eps.Stale = false
	r := newHarness(t, set)
	c := r.recoveredMessage(0, 4)
	if out := actionsOf[CallOut](r.step(100, eps, ListUpdate{Form: ListWatchOpen}, c)); len(out) == 1 {
		told := resultOf(c.ID, out[0].Endpoint, 0, Rejected)
		told.RetryAfter = 2 * Second
		r.step(100.1, told)
	} else {
		r.sender.destinations[9].limiter.waitUntil = fromSeconds(102.1)
	}
	called, _ := r.answerCalls(100.2, 103.9, Completed, r.recoveredMessage(0, 3.5))
	for id, at := range called {
		if at < 102.1 {
			t.Errorf("%s called at %.2f, within the told wait", id, at)
		}
	}
	if len(called) == 0 {
		t.Error("not tried after the wait")
	}
	r = newHarness(t, set)
	for i := range eps.Entries {
		eps.Entries[i].State = Draining
	}
	if called, _ := r.answerCalls(100, 109, Completed, eps, r.recoveredMessage(0, 8)); len(called) != 0 {
		t.Errorf("sent to an endpoint that drains: %v", called)
	}
}

// A stop: what has not been tried and would be over before the next start goes out at once past the pace, and what
// comes meanwhile and cannot go is turned away at the door, not taken on to be given up untried. What will outlast the
// restart is kept for it.
func TestStopSendsMessagesThatWouldExpireInTheRestart(t *testing.T) {
	set, eps := lowLimitDeployment(200)
	r := newHarness(t, set)
	eps.Form, eps.Stale = ListFull, false
	var evs []Event
	for _, left := range []float64{3, 4, 4, 9, 9} {
		c := r.newMessage(0)
		c.TimeLeft = fromSeconds(left)
		evs = append(evs, c)
	}
	before := actionsOf[CallOut](r.step(1, append([]Event{eps}, evs...)...))
	sent := map[string]bool{}
	for _, a := range append(before, actionsOf[CallOut](r.step(1.01, Stopping{TimeLeft: 3200_000}))...) {
		sent[a.ID] = true
	}
	for i, ev := range evs {
		if c := ev.(NewMessage); i < 3 && !sent[c.ID] {
			t.Errorf("%s, with %.0f s left, is kept for a restart that finds it over", c.ID, seconds(c.TimeLeft))
		}
	}
	short, long := r.newMessage(0), r.newMessage(0)
	short.TimeLeft = fromSeconds(3)
	acts := r.step(1.02, short, long)
	if no := actionsOf[Refuse](acts); len(no) != 1 || no[0].ID != short.ID || len(actionsOf[Fail](acts)) != 0 {
		t.Errorf("at the door after the stop was told: %v", acts)
	}
}
