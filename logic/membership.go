package logic

// Decisions on the list of endpoints: when it is asked for, and how long it may be acted on. A list is a
// lease: it says what was so when discovery wrote it, and what changed since counts as known to this sender
// some time later, whether or not it arrived. Once that time has come nothing is sent until the list is
// confirmed.

const (
	staleMost = 4 * Second // nothing is sent on an old list for so long: discovery may be down for longer
	savedMost = 300_000    // nor on a saved one: the first answer comes at once if discovery has time for it
	askGap    = 50_000     // first pause before the list is asked for again; what changes ...
	askMost   = Second / 2 // ... meanwhile counts as known, so the longest is under a drain's grace
	askEach   = 25_000     // the first pause for each of many senders, whose calls add up
	askApart  = 4 * Second // their longest: what changes counts as known after 6 s, and a call may hang 2
	askBroke  = Second     // and after a watch that failed, which may have been silent since it began
	askAnswer = 100_000    // for the answer

	pushedAskPart = 20          // the pause before an agent is asked again is the grace over this
	pushedAskMost = 50_000      // and no longer than this
	pushedAskMin  = 5_000       // nor shorter
	heldUp        = Second / 4  // from reading the clock to the written byte, or an answer to its word
	unusableMost  = 10 * Second // no sends for longer while an agent gives no answer that can be used
	silentMost    = Second      // an agent that says nothing for so long has lost discovery
)

// list takes news of the list, or of a call for it.
func (s *Sender) list(ev Endpoints) {
	switch ev.Form {
	case ListBegun, ListUnusable:
		s.unusable()
		return
	}
	broke := ev.Form == ListFailed && s.watched
	if ev.Form != ListFailed || broke {
		s.listAt = s.now
	}
	if ev.Form == ListFailed && s.set.Pushed {
		s.saved = s.saved && !broke
		s.silent = ev.Silent && !broke
	} else {
		s.saved = ev.Form == ListCached && ev.Old
		s.silent = false
	}
	if s.watched = ev.Form == ListWatched; s.watched {
		return
	}
	if ev.Form == ListFailed {
		if s.set.Pushed && !ev.Silent { // the agent is there, and may have news
			s.unusable()
		}
		s.askAgain(broke)
		return
	}
	s.unusableAt = 0
	if s.askAt == never {
		s.askGap = askGap
	}
	if ev.Form != ListDelta {
		s.keepOnly(ev.Entries)
	}
	for rows := s.unlistAll(ev.Entries); len(rows) > 0; rows = s.unlistAll(rows[1:]) {
		s.entry(rows[0])
	}
}

// unwatch notes that changes no longer come as they happen: the list is confirmed up to now.
func (s *Sender) unwatch() {
	if s.watched {
		s.watched, s.listAt = false, s.now
	}
}

// unusable notes an answer that could not be used, or not yet. What it holds counts as known, so silence
// before it proves nothing.
func (s *Sender) unusable() {
	s.unwatch()
	if s.unusableAt != 0 {
		return
	}
	if s.silent { // discovery was away until now
		s.listAt = s.now
	}
	s.silent, s.unusableAt = false, max(s.now, 1)
}

// askAgain sets when the list is asked for again after a call that failed, later each time.
func (s *Sender) askAgain(broke bool) {
	first, most := s.askSpan()
	gap := max(s.askGap, first)
	switch {
	case s.set.Pushed: // it costs nothing, and what the agent has counts as known
		gap = first
	case s.many: // each at a time of its own, in time for what counts as known meanwhile
		longest := most
		if broke {
			longest = askBroke
		}
		gap = min(gap*3/2, max(longest+s.set.DrainGrace-askAnswer, askGap))
		gap -= Micros(s.rng.Int64N(int64(gap/2 + 1)))
	}
	s.askAt = s.now + gap
	s.askGap = min(2*max(s.askGap, first), most)
}

// askSpan is the first and the longest pause before the list is asked for again. Among many senders calls
// that are turned away and come again soon keep discovery overbooked.
func (s *Sender) askSpan() (first, most Micros) {
	switch {
	case s.set.Pushed:
		gap := min(max(s.set.DrainGrace/pushedAskPart, pushedAskMin), pushedAskMost)
		return gap, gap
	case !s.many:
		return askGap, askMost
	}
	return min(askEach*Micros(s.set.Senders), askApart), askApart
}

// moved ends the pause before discovery is asked again: what it has to tell counts as known soon after a
// move.
func (s *Sender) moved() {
	if s.askAt != never {
		s.askAt, s.askGap = s.now, askGap
	}
}

// subscribe asks for the list where it comes only on request.
func (s *Sender) subscribe() {
	if s.askAt == never {
		return
	}
	if s.now < s.askAt {
		s.at(s.askAt)
		return
	}
	s.do(Listen{})
	s.askAt = never
}

// unconfirmedTill is the time until which m is not sent since the list is not confirmed: endpoints may drain
// by now. It ends with the next news, or after a while: discovery may be down for long.
func (s *Sender) unconfirmedTill(m *msg) Micros {
	if s.set.Pushed {
		return s.pushedTill(m)
	}
	if till := s.unusableTill(); till > s.now {
		return till
	}
	return s.staleTill(m)
}

// Unconfirmed says whether sends wait at a time for news of the list, since endpoints may drain by then.
func (s *Sender) Unconfirmed(now Micros) bool {
	s.now = max(s.now, now)
	return s.unconfirmedTill(&msg{}) > s.now
}

// pushedTill is that time where an agent pushes the list. What the agent has counts as known from the first
// moment of a process and with no watch open, so the list is good for the drain's grace from the moment the
// last watch ended. An agent that says nothing has lost discovery and learns nothing: then the list stands. A
// start knows nothing of what the agent had: it waits for its first answer, but where the agent is silent no
// message waits beyond half of its time, once the agent has had time for an answer.
func (s *Sender) pushedTill(m *msg) Micros {
	if s.watched {
		return longAgo
	}
	from := s.listAt
	if !s.saved {
		from += max(s.set.DrainGrace-heldUp, 0)
	}
	switch {
	case s.now < from:
		return longAgo
	case s.unusableAt != 0:
		return max(from, s.unusableAt) + unusableMost
	case s.saved: // the agent may have told the process before what is not in its list
		return min(from+unusableMost, max(from+savedMost, m.half))
	case s.silent:
		return longAgo
	}
	return from + silentMost
}

// unusableTill is that time where the list comes on request and its last answer could not be used: what it
// held counts as known from its writing.
func (s *Sender) unusableTill() Micros {
	if s.unusableAt == 0 {
		return longAgo
	}
	from := s.unusableAt + max(s.set.DrainGrace-heldUp, 0)
	if s.now < from {
		return longAgo
	}
	return from + staleMost
}

// staleTill is that time where the list comes on request: what changes counts as known some time later, even
// if nothing came, and so does what changed before a start on a saved list. What a restart found with little
// time left waits for the first answer for half of that only.
func (s *Sender) staleTill(m *msg) Micros {
	if saved := s.savedTill(m); s.saved && s.set.ListAge > 0 && s.now < saved {
		return saved
	}
	old := s.listAt + s.set.ListAge
	if s.set.ListAge <= 0 || s.watched || s.now < old || s.now >= old+staleMost {
		return longAgo
	}
	return old + staleMost
}

func (s *Sender) savedTill(m *msg) Micros {
	if m.untried {
		return min(s.listAt+savedMost, m.half)
	}
	return s.listAt + savedMost
}
