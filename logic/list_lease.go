package logic

// When the endpoint list is requested and how long it may be used. The list is used like a lease: it is
// certain only for the time at which discovery wrote it. A later change, such as an endpoint that
// begins to drain, counts as known to this sender some time after it was made, whether or not the
// update has arrived. Once that time has passed, nothing is sent until the list is confirmed by an
// update or a watch. If discovery is silent, the wait is limited, since it may be down for longer; then
// the list is used as it is. Discovery that answers is not silent, whether its answers are late, cannot be
// used or are rejections: the wait goes on while they come.

const (
	// Nothing is sent on a stale list for this long. Then it is used again, as discovery may be down for
	// longer.
	maxStaleListWait = 4 * Second
	// The same for a list saved before the start. The first answer arrives within this time unless
	// discovery is overloaded.
	maxSavedListWaitMicros = 300_000
	// Delay before the first retry of a list request.
	firstListRetryMicros = 50_000
	// Longest such delay. Changes made meanwhile count as known, so it is shorter than the drain grace.
	maxListRetry = Second / 2
	// Many senders: the first delay is this times the number of senders, since their requests add up.
	listRetryPerSenderMicros = 25_000
	// Many senders: longest delay. Changes count as known after 6 s, and a request may hang for 2 s.
	maxListRetryManySenders = 4 * Second
	// Many senders: longest delay after a watch that failed, which may have been unresponsive since it
	// began.
	listRetryAfterWatch = Second
	// Time allowed for an answer of discovery.
	listAnswerTimeMicros = 100_000

	// ListPushed: the delay before the agent is asked again is the drain grace divided by this ...
	pushedRetriesPerGrace = 20
	// ... but no longer than this ...
	maxPushedRetryMicros = 50_000
	// ... and no shorter than this.
	minPushedRetryMicros = 5_000
	// Longest time from reading the clock to writing a call to the connection, or from the arrival of a
	// list answer to its ListUpdate.
	maxProcessingDelay = Second / 4
	// After an answer that was late, unusable or a rejection, sends wait for an update for at most this
	// long without another answer: discovery may have fallen silent.
	maxFaultyAnswerWait = 10 * Second
	// An agent that gives no answer at all for this long counts as one that has lost discovery.
	maxUnresponsiveWait = Second
)

// applyListUpdate applies an update of the list, or the result of a request for it.
func (s *Sender) applyListUpdate(ev ListUpdate) {
	switch ev.Form {
	case ListAnswerBegun, ListAnswerUnusable:
		s.noteUnusableAnswer(ev)
		return
	case ListRequestFailed:
		s.noteFailedRequest(ev)
		return
	}
	s.noteListAnswer(ev)
	if ev.Form == ListWatchOpen {
		return
	}
	if s.listRequestAt == never {
		s.listRetryDelay = firstListRetryMicros
	}
	if ev.Form != ListDelta {
		s.removeUnlisted(ev.Entries)
	}
	for entries := s.removeLeading(ev.Entries); len(entries) > 0; entries = s.removeLeading(entries[1:]) {
		s.applyEntry(entries[0])
	}
}

// noteListAnswer records an update of the list, or that a watch is open. A late update shows that discovery
// answers, but not soon: its requests without an answer are no silence.
func (s *Sender) noteListAnswer(ev ListUpdate) {
	confirmedAt := s.now - ev.Age
	s.listRequestUnsent, s.agentUnresponsive = false, false
	s.listSaved = ev.Form == ListSaved && ev.Stale
	if ev.Late {
		s.listConfirmedAt = max(s.listConfirmedAt, confirmedAt)
		s.unusableAnswerAt, s.faultyAnswerAt = 0, max(s.now, 1)
		return
	}
	if s.watchOpen = ev.Form == ListWatchOpen; s.watchOpen { // the list is confirmed once the watch ends
		return
	}
	s.listConfirmedAt, s.unusableAnswerAt, s.faultyAnswerAt = confirmedAt, 0, 0
}

// noteFailedRequest records a request that failed, or a watch that ended, and schedules the next one.
func (s *Sender) noteFailedRequest(ev ListUpdate) {
	watchFailed := s.watchOpen
	if ev.Rejected { // the watch was not open, but waited for this answer
		s.watchOpen, s.faultyAnswerAt = false, max(s.now, 1)
	}
	s.endWatch(ev.Age)
	s.listRequestUnsent = ev.NotSent
	if !s.settings.ListPushed {
		s.listSaved, s.agentUnresponsive = false, false
		s.scheduleListRetry(watchFailed)
		return
	}
	if ev.NotSent && !watchFailed {
		s.noteUnsentRequest()
		return
	}
	s.listSaved = s.listSaved && !watchFailed
	if s.agentUnresponsive = ev.Unresponsive && !watchFailed; s.agentUnresponsive {
		s.agentSilentAt = s.now
	}
	if !ev.Unresponsive { // the agent is up and may have an update
		s.noteUnusableAnswer(ev)
	}
	s.scheduleListRetry(watchFailed)
}

// endWatch records that the watch is closed and changes no longer arrive as they happen. The list was
// confirmed a time ago, its age.
func (s *Sender) endWatch(age Micros) {
	if s.watchOpen {
		s.watchOpen, s.listConfirmedAt = false, s.now-age
	}
}

// noteUnusableAnswer records an answer that cannot be used, or not yet. What it holds counts as known
// to the sender. An agent that gave no answer before counts as responsive again, so that the list is
// not taken to be unchanged.
func (s *Sender) noteUnusableAnswer(ev ListUpdate) {
	if ev.Late && s.watchOpen { // a later request was accepted
		return
	}
	s.endWatch(ev.Age)
	if s.agentUnresponsive && !s.discoveryHeard() { // the agent had lost discovery until this answer
		s.listConfirmedAt = max(s.listConfirmedAt, s.now-ev.Age)
	}
	s.agentUnresponsive, s.faultyAnswerAt = false, max(s.now, 1)
	if s.unusableAnswerAt == 0 {
		s.unusableAnswerAt = max(s.now, 1)
	}
}

// discoveryHeard reports whether discovery, or its agent, has answered lately, though late, with an answer
// that cannot be used or with a rejection. It is not silent then, even if a request got no answer in time.
func (s *Sender) discoveryHeard() bool {
	return s.faultyAnswerAt != 0 && s.now < s.faultyAnswerAt+maxFaultyAnswerWait
}

// noteUnsentRequest records that a request could not be sent. Whether the agent is still unresponsive is
// not known since its last request without an answer, until when the list counts as confirmed. At a
// start the agent's time for its first answer begins anew.
func (s *Sender) noteUnsentRequest() {
	if s.listSaved {
		s.listConfirmedAt = s.now
	}
	if s.agentUnresponsive {
		s.listConfirmedAt = max(s.listConfirmedAt, s.agentSilentAt)
		s.agentUnresponsive = false
	}
	s.scheduleListRetry(false)
}

// scheduleListRetry sets when the list is requested again after a request or watch that failed
// (watchFailed), with a delay that doubles each time.
func (s *Sender) scheduleListRetry(watchFailed bool) {
	firstDelay, maxDelay := s.listRetryRange()
	delay := max(s.listRetryDelay, firstDelay)
	switch {
	case s.settings.ListPushed: // a request costs nothing, and what the agent has counts as known
		delay = firstDelay
	case s.manySenders: // at a random time, but before changes made meanwhile count as known
		longest := maxDelay
		if watchFailed {
			longest = listRetryAfterWatch
		}
		delay = min(delay*3/2, max(longest+s.settings.DrainGrace-listAnswerTimeMicros, firstListRetryMicros))
		delay -= Micros(s.rng.Int64N(int64(delay/2 + 1)))
	}
	s.listRequestAt = s.now + delay
	s.listRetryDelay = min(2*max(s.listRetryDelay, firstDelay), maxDelay)
}

// listRetryRange returns the first and the longest delay before the list is requested again. If many
// senders retried soon, their rejected requests would keep discovery overloaded.
func (s *Sender) listRetryRange() (firstDelay, maxDelay Micros) {
	switch {
	case s.settings.ListPushed:
		delay := min(max(s.settings.DrainGrace/pushedRetriesPerGrace, minPushedRetryMicros), maxPushedRetryMicros)
		return delay, delay
	case !s.manySenders:
		return firstListRetryMicros, maxListRetry
	}
	return min(listRetryPerSenderMicros*Micros(s.settings.Senders), maxListRetryManySenders),
		maxListRetryManySenders
}

// discoveryMoved ends the delay before the next list request: what discovery says at its new address
// counts as known soon after the move.
func (s *Sender) discoveryMoved() {
	if s.listRequestAt != never {
		s.listRequestAt, s.listRetryDelay = s.now, firstListRetryMicros
	}
}

// requestList requests the list if a request is due.
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

// unconfirmedUntil returns until when m is not sent because the list is not confirmed and its endpoints
// may be draining; a past time if it may be sent. The next update ends the wait. It is limited, since
// discovery may be down for long.
func (s *Sender) unconfirmedUntil(m *message) Micros {
	if s.settings.ListPushed {
		return s.pushedListWaitUntil(m)
	}
	if waitUntil := s.unusableListWaitUntil(); waitUntil > s.now {
		return waitUntil
	}
	return s.staleListWaitUntil(m)
}

// ListUnconfirmed reports whether sends wait at now for an update of the list, because its endpoints may
// be draining. It moves the Sender's time on to now.
func (s *Sender) ListUnconfirmed(now Micros) bool {
	s.now = max(s.now, now)
	return s.unconfirmedUntil(&message{}) > s.now
}

// pushedListWaitUntil is unconfirmedUntil where an agent pushes the list. What the agent has received
// counts as known from the start of the process on, also while no watch is open, so the list is good for
// the drain grace after the last watch ended. An agent that gives no answer has lost discovery and learns
// nothing either, so the list stays in use. At a start it is not known what the agent had, and sends wait
// for its first answer. If the agent does not answer, a message waits for half of its time at most, but
// long enough for the agent to answer.
func (s *Sender) pushedListWaitUntil(m *message) Micros {
	if s.watchOpen {
		return distantPast
	}
	validUntil := s.listConfirmedAt
	if !s.listSaved {
		validUntil += max(s.settings.DrainGrace-maxProcessingDelay, 0)
	}
	switch {
	case s.now < validUntil:
		return distantPast
	case s.faultyAnswerAt != 0:
		return max(validUntil, s.faultyAnswerAt) + maxFaultyAnswerWait
	case s.listSaved: // the agent may have given the previous process changes that the list lacks
		return min(validUntil+maxFaultyAnswerWait, max(validUntil+maxSavedListWaitMicros, m.listWaitUntil))
	case s.listRequestUnsent: // the agent may be up and have an update
		return validUntil + maxFaultyAnswerWait
	case s.agentUnresponsive:
		return distantPast
	}
	return validUntil + maxUnresponsiveWait
}

// unusableListWaitUntil is unconfirmedUntil where the list is requested from discovery and the last
// answer could not be used: what the answer held counts as known from when it was written.
func (s *Sender) unusableListWaitUntil() Micros {
	if s.unusableAnswerAt == 0 {
		return distantPast
	}
	validUntil := s.unusableAnswerAt + max(s.settings.DrainGrace-maxProcessingDelay, 0)
	if s.now < validUntil {
		return distantPast
	}
	return max(validUntil, s.faultyAnswerAt) + maxFaultyAnswerWait
}

// staleListWaitUntil is unconfirmedUntil where the list is requested from discovery and no answer was
// unusable. A change counts as known some time after it was made, even if no update arrived, and so
// does a change made before a start on a saved list.
func (s *Sender) staleListWaitUntil(m *message) Micros {
	if savedUntil := s.savedListWaitUntil(m); s.listSaved && s.settings.MaxListAge > 0 && s.now < savedUntil {
		return savedUntil
	}
	if s.watchOpen {
		return distantPast
	}
	return max(s.silentListUsableAt(), s.answeredListUsableAt())
}

// silentListUsableAt returns until when a list that is older than MaxListAge is not used. Then it is used
// again, as discovery may be down for longer.
func (s *Sender) silentListUsableAt() Micros {
	staleAt := s.listConfirmedAt + s.settings.MaxListAge
	if s.settings.MaxListAge <= 0 || s.now < staleAt {
		return distantPast
	}
	return staleAt + maxStaleListWait
}

// answeredListUsableAt returns until when a list that is older than MaxAnsweredListAge is not used, as
// discovery has answered lately, though not with an update.
func (s *Sender) answeredListUsableAt() Micros {
	staleAt := s.listConfirmedAt + s.settings.MaxAnsweredListAge
	if s.settings.MaxAnsweredListAge <= 0 || s.now < staleAt || s.faultyAnswerAt == 0 {
		return distantPast
	}
	return s.faultyAnswerAt + maxFaultyAnswerWait
}

// savedListWaitUntil returns until when sends wait for the first answer after a start on a saved list. A
// message that a restart found untried waits for half of its time left at most.
func (s *Sender) savedListWaitUntil(m *message) Micros {
	if m.untriedAtRestart {
		return min(s.listConfirmedAt+maxSavedListWaitMicros, m.listWaitUntil)
	}
	return s.listConfirmedAt + maxSavedListWaitMicros
}
