// This file holds the events of a client, and what they are to the decision logic.

package discovery

import (
	"time"

	"crossdeal/logic"
)

// Event is a change of the list, the state of a call for it, or a call that failed.
type Event struct {
	Update         Update
	HasUpdate      bool  // Update is an answer
	WatchAccepted  bool  // discovery has accepted the watch and nothing has changed so far
	AnswerBegun    bool  // pushed lists: an answer has begun and is slow to arrive, so the known list may be out of date
	UnusableAnswer bool  // an unusable answer arrived: it may have held changes, which are requested again
	Err            error // of a call that failed; the watch has ended
	Unresponsive   bool  // with Err: discovery did not answer at all
	Rejected       bool  // with Err: discovery answered that it cannot serve the call
	NotSent        bool  // with Err: this host could not send the call, which says nothing about discovery
	Late           bool  // the answer came after its call had been reported as one without an answer in time
	// Later changes may be missing in the list as it is known now; zero for the time of the event.
	CurrentAsOf time.Time
	Done        func() // called by the receiver once the update is applied; nil if there is none
}

// ListUpdate returns the event for the decision logic at a time. entries are those that the update changed.
func (ev Event) ListUpdate(now time.Time, entries []logic.Entry) logic.ListUpdate {
	update := logic.ListUpdate{Form: ev.form(), Entries: entries, Unresponsive: ev.Unresponsive,
		Rejected: ev.Rejected, NotSent: ev.NotSent, Late: ev.Late}
	if !ev.CurrentAsOf.IsZero() {
		update.Age = logic.Micros(now.Sub(ev.CurrentAsOf) / time.Microsecond)
	}
	return update
}

func (ev Event) form() logic.ListForm {
	switch {
	case ev.Err != nil:
		return logic.ListRequestFailed
	case ev.WatchAccepted:
		return logic.ListWatchOpen
	case ev.AnswerBegun:
		return logic.ListAnswerBegun
	case ev.UnusableAnswer:
		return logic.ListAnswerUnusable
	}
	return logic.ListDelta
}
