package logic

// Decisions on the list of endpoints: when it is asked for, and how long it may be acted on. A list is a
// lease: it says what was so when discovery wrote it, and what changed since counts as known to this sender
// some time later, whether or not it arrived. Once that time has come nothing is sent until the list is
// confirmed.

const (
	// nothing is sent on an old list for so long: discovery may be down for longer
	maxStaleListWait = 4 * Second
	// nor on a saved one: the first answer comes at once if discovery has time for it
	maxSavedListWaitMicros = 300_000
	firstListRetryMicros   = 50_000 // first pause before the list is asked for again; what changes ...
	// ... meanwhile counts as known, so the longest is under a drain's grace
	maxListRetry             = Second / 2
	listRetryPerSenderMicros = 25_000 // the first pause for each of many senders, whose calls add up
	// their longest: what changes counts as known after 6 s, and a call may hang 2
	maxListRetryManySenders = 4 * Second
	// and after a watch that failed, which may have been silent since it began
	listRetryAfterWatch  = Second
	listAnswerTimeMicros = 100_000 // for the answer

	pushedRetriesPerGrace = 20          // the pause before an agent is asked again is the grace over this
	maxPushedRetryMicros  = 50_000      // and no longer than this
	minPushedRetryMicros  = 5_000       // nor shorter
	maxProcessingDelay    = Second / 4  // from reading the clock to the written byte, or an answer to its word
	maxUnusableListWait   = 10 * Second // no sends for longer while an agent gives no answer that can be used
	maxUnresponsiveWait   = Second      // an agent that says nothing for so long has lost discovery
)

// applyListUpdate takes news of the list, or of a call for it.
func (s *Sender) applyListUpdate(ev ListUpdate) {
	switch ev.Form {
	case ListAnswerBegun, ListAnswerUnusable:
		s.noteUnusableAnswer()
		return
	}
	broke := ev.Form == ListRequestFailed && s.watchOpen
	if ev.Form != ListRequestFailed || broke {
		s.listConfirmedAt = s.now
	}
	if ev.Form == ListRequestFailed && s.settings.ListPushed {
		s.listSaved = s.listSaved && !broke
		s.agentUnresponsive = ev.Unresponsive && !broke
	} else {
		s.listSaved = ev.Form == ListCached && ev.Stale
		s.agentUnresponsive = false
	}
	if s.watchOpen = ev.Form == ListWatchOpen; s.watchOpen {
		return
	}
	if ev.Form == ListRequestFailed {
		if s.settings.ListPushed && !ev.Unresponsive { // the agent is there, and may have news
			s.noteUnusableAnswer()
		}
		s.scheduleListRetry(broke)
		return
	}
	s.unusableAnswerAt = 0
	if s.listRequestAt == never {
		s.listRetryDelay = firstListRetryMicros
	}
	if ev.Form != ListDelta {
		s.removeUnlisted(ev.Entries)
	}
	for rows := s.removeLeading(ev.Entries); len(rows) > 0; rows = s.removeLeading(rows[1:]) {
		s.applyEntry(rows[0])
	}
}

// endWatch notes that changes no longer come as they happen: the list is confirmed up to now.
func (s *Sender) endWatch() {
	if s.watchOpen {
		s.watchOpen, s.listConfirmedAt = false, s.now
	}
}

// noteUnusableAnswer notes an answer that could not be used, or not yet. What it holds counts as known, so
// silence before it proves nothing.
func (s *Sender) noteUnusableAnswer() {
	s.endWatch()
	if s.unusableAnswerAt != 0 {
		return
	}
	if s.agentUnresponsive { // discovery was away until now
		s.listConfirmedAt = s.now
	}
	s.agentUnresponsive, s.unusableAnswerAt = false, max(s.now, 1)
}

// scheduleListRetry sets when the list is asked for again after a call that failed, later each time.
func (s *Sender) scheduleListRetry(broke bool) {
	first, most := s.listRetryRange()
	gap := max(s.listRetryDelay, first)
	switch {
	case s.settings.ListPushed: // it costs nothing, and what the agent has counts as known
		gap = first
	case s.manySenders: // each at a time of its own, in time for what counts as known meanwhile
		longest := most
		if broke {
			longest = listRetryAfterWatch
		}
		gap = min(gap*3/2, max(longest+s.settings.DrainGrace-listAnswerTimeMicros, firstListRetryMicros))
		gap -= Micros(s.rng.Int64N(int64(gap/2 + 1)))
	}
	s.listRequestAt = s.now + gap
	s.listRetryDelay = min(2*max(s.listRetryDelay, first), most)
}

// listRetryRange is the first and the longest pause before the list is asked for again. Among many senders
// calls that are turned away and come again soon keep discovery overbooked.
func (s *Sender) listRetryRange() (first, most Micros) {
	switch {
	case s.settings.ListPushed:
		gap := min(max(s.settings.DrainGrace/pushedRetriesPerGrace, minPushedRetryMicros), maxPushedRetryMicros)
		return gap, gap
	case !s.manySenders:
		return firstListRetryMicros, maxListRetry
	}
	return min(listRetryPerSenderMicros*Micros(s.settings.Senders), maxListRetryManySenders),
		maxListRetryManySenders
}

// discoveryMoved ends the pause before discovery is asked again: what it has to tell counts as known soon
// after a move.
func (s *Sender) discoveryMoved() {
	if s.listRequestAt != never {
		s.listRequestAt, s.listRetryDelay = s.now, firstListRetryMicros
	}
}

// requestList asks for the list where it comes only on request.
func (s *Sender) requestList() {
	if s.listRequestAt == never {
		return
	}
	if s.now < s.listRequestAt {
		s.wakeBy(s.listRequestAt)
		return
	}
	s.emit(Listen{})
	s.listRequestAt = never
}

// unconfirmedUntil is the time until which m is not sent since the list is not confirmed: endpoints may drain
// by now. It ends with the next news, or after a while: discovery may be down for long.
func (s *Sender) unconfirmedUntil(m *message) Micros {
	if s.settings.ListPushed {
		return s.pushedListWaitUntil(m)
	}
	if till := s.unusableListWaitUntil(); till > s.now {
		return till
	}
	return s.staleListWaitUntil(m)
}

// ListUnconfirmed says whether sends wait at a time for news of the list, since endpoints may drain by then.
func (s *Sender) ListUnconfirmed(now Micros) bool {
	s.now = max(s.now, now)
	return s.unconfirmedUntil(&message{}) > s.now
}

// pushedListWaitUntil is that time where an agent pushes the list. What the agent has counts as known from
// the first moment of a process and with no watch open, so the list is good for the drain's grace from the
// moment the last watch ended. An agent that says nothing has lost discovery and learns nothing: then the
// list stands. A start knows nothing of what the agent had: it waits for its first answer, but where the
// agent is silent no message waits beyond half of its time, once the agent has had time for an answer.
func (s *Sender) pushedListWaitUntil(m *message) Micros {
	if s.watchOpen {
		return distantPast
	}
	from := s.listConfirmedAt
	if !s.listSaved {
		from += max(s.settings.DrainGrace-maxProcessingDelay, 0)
	}
	switch {
	case s.now < from:
		return distantPast
	case s.unusableAnswerAt != 0:
		return max(from, s.unusableAnswerAt) + maxUnusableListWait
	case s.listSaved: // the agent may have told the process before what is not in its list
		return min(from+maxUnusableListWait, max(from+maxSavedListWaitMicros, m.listWaitUntil))
	case s.agentUnresponsive:
		return distantPast
	}
	return from + maxUnresponsiveWait
}

// unusableListWaitUntil is that time where the list comes on request and its last answer could not be used:
// what it held counts as known from its writing.
func (s *Sender) unusableListWaitUntil() Micros {
	if s.unusableAnswerAt == 0 {
		return distantPast
	}
	from := s.unusableAnswerAt + max(s.settings.DrainGrace-maxProcessingDelay, 0)
	if s.now < from {
		return distantPast
	}
	return from + maxStaleListWait
}

// staleListWaitUntil is that time where the list comes on request: what changes counts as known some time
// later, even if nothing came, and so does what changed before a start on a saved list. What a restart found
// with little time left waits for the first answer for half of that only.
func (s *Sender) staleListWaitUntil(m *message) Micros {
	if saved := s.savedListWaitUntil(m); s.listSaved && s.settings.MaxListAge > 0 && s.now < saved {
		return saved
	}
	old := s.listConfirmedAt + s.settings.MaxListAge
	if s.settings.MaxListAge <= 0 || s.watchOpen || s.now < old || s.now >= old+maxStaleListWait {
		return distantPast
	}
	return old + maxStaleListWait
}

func (s *Sender) savedListWaitUntil(m *message) Micros {
	if m.untried {
		return min(s.listConfirmedAt+maxSavedListWaitMicros, m.listWaitUntil)
	}
	return s.listConfirmedAt + maxSavedListWaitMicros
}
