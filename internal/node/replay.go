package node

// Resuming from the journal at a start without a handover.

import (
	"crossdeal/logic"
)

// continueTimeline continues the timeline of the process that wrote the journal, so that a step of the wall clock since
// then changes no message's time. If it cannot, the timeline is the wall clock's and gets a new anchor.
func (n *Node) continueTimeline() {
	if anchor := n.journal.Anchor(); anchor != nil {
		wall := n.clock.NowMicros()
		if n.clock.ContinueFromAnchor(*anchor) {
			n.log.Debug("timeline continued", "ahead_of_wall_clock_us", n.clock.NowMicros()-wall)
			return
		}
		n.log.Warn("the timeline begins at the wall clock: the machine was started again")
	}
	n.anchorTimeline()
}

// anchorTimeline makes the journal hold the point at which the timeline is now.
func (n *Node) anchorTimeline() {
	anchor, err := n.clock.Anchor()
	if err != nil {
		n.log.Warn("a step of the wall clock before the next start will change messages' times", "err", err)
		return
	}
	n.journal.SetAnchor(anchor)
}

// resumeFromJournal passes the messages of the journal to the decision logic with the outcomes of their attempts so
// far, and loads the initial endpoint list. At a restart, even with an empty journal, the configured list lacks the
// changes since it was written, so the list counts as stale. Where an agent pushes the list, it counts as stale
// at every start.
func (n *Node) resumeFromJournal() {
	n.continueTimeline()
	generation, listed := n.loadInitialList()
	if listed {
		n.nextEvents = append(n.nextEvents, logic.ListUpdate{Form: logic.ListSaved, Entries: n.directory.Entries(), Stale: n.restarted || n.cfg.Deployment.Settings.ListPushed})
	}
	n.watcher.SetInitialState(generation, n.restarted)
	for _, id := range n.journal.DisabledEndpoints() {
		n.nextEvents = append(n.nextEvents, logic.Ban{Endpoint: n.directory.AssignID(id)})
	}
	now := n.clock.NowMicros()
	for _, e := range n.journal.Entries() {
		if e.EndNotice != nil {
			n.notices.add(*e.EndNotice)
			continue
		}
		if _, ok := n.cfg.ClassIndexes[e.Class]; !ok { // it is unknown whether it may be repeated, and until when
			n.log.Warn("a message of a class that the settings do not name", "id", e.ID, "class", e.Class)
			notice := Notice{ID: e.ID, State: "returned"}
			if e.MayHaveRun || e.MaybeWritten {
				notice.State = "failed"
			}
			n.pendingRecords = append(n.pendingRecords, record{Op: opEndWithNotice, ID: e.ID, Notice: &notice})
			n.notices.add(notice) // before its record is safe: each start does the same with this message
			continue
		}
		n.held[e.ID] = &heldMessage{message: &e.Message, attempts: e.Attempts}
		n.openMessages++
		event := n.newMessageEvent(&e.Message, now)
		event.Prior = logic.PriorAttempts{Recovered: true, Tries: e.Attempts, MayHaveRun: e.MayHaveRun || e.MaybeWritten}
		if event.Prior.MayHaveRun {
			event.Prior.SinceFirstSend, event.Prior.Zone = logic.Micros(max(now-e.FirstMayHaveRunAt, 0)), e.FirstZone
		}
		if e.MaybeWritten || e.Connecting { // or a replay would apply a later attempt's outcome to this one
			n.pendingRecords = append(n.pendingRecords, record{Op: opOutcome, ID: e.ID, MayHaveRun: e.MaybeWritten})
		}
		n.nextEvents = append(n.nextEvents, event)
	}
	if queuedNotices := n.notices.pending(); len(n.held)+queuedNotices < len(n.journal.Entries()) {
		n.guard.recordViolation(ruleStart, "entries", len(n.journal.Entries()), "held", len(n.held), "ends", queuedNotices)
	}
}
