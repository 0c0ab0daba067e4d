package node

// What a start finds in the journal.

import (
	"crossdeal/logic"
)

// resumeFromJournal hands the module what the journal holds, with what became of it so far. At a restart, also one with nothing
// in its journal, what changed meanwhile is not in the list of the configuration; where an agent has the list, nor is it
// at any other start.
func (n *Node) resumeFromJournal() {
	known, listed := n.loadInitialList()
	if listed {
		n.nextEvents = append(n.nextEvents, logic.ListUpdate{Form: logic.ListCached, Entries: n.directory.Entries(), Stale: n.restarted || n.cfg.Deployment.Settings.ListPushed})
	}
	n.watcher.SetInitialState(known, n.restarted)
	for _, id := range n.journal.DisabledEndpoints() {
		n.nextEvents = append(n.nextEvents, logic.Ban{Endpoint: n.directory.AssignID(id)})
	}
	now := n.clock.NowMicros()
	for _, e := range n.journal.Entries() {
		if e.EndNotice != nil {
			n.notices.add(*e.EndNotice)
			continue
		}
		if _, ok := n.cfg.ClassIndexes[e.Class]; !ok { // whether it may be repeated, and until when, is not known
			n.log.Warn("a message of a class that the settings do not name", "id", e.ID, "class", e.Class)
			x := Notice{ID: e.ID, State: "returned"}
			if e.MayHaveRun || e.MaybeWritten {
				x.State = "failed"
			}
			n.pendingRecords = append(n.pendingRecords, record{Op: opEndWithNotice, ID: e.ID, Notice: &x})
			n.notices.add(x)
			continue
		}
		n.held[e.ID] = &heldMessage{message: &e.Message, attempts: e.Attempts}
		n.openMessages++
		c := n.logicCall(&e.Message, now)
		c.Prior = logic.PriorAttempts{Recovered: true, Tries: e.Attempts, MayHaveRun: e.MayHaveRun || e.MaybeWritten}
		if c.Prior.MayHaveRun {
			c.Prior.SinceFirstSend, c.Prior.Zone = logic.Micros(max(now-e.FirstMayHaveRunAt, 0)), e.FirstZone
		}
		if e.MaybeWritten || e.Connecting { // whoever reads the journal next must not take its outcome for a later one's
			n.pendingRecords = append(n.pendingRecords, record{Op: opOutcome, ID: e.ID, MayHaveRun: e.MaybeWritten})
		}
		n.nextEvents = append(n.nextEvents, c)
	}
	if told := n.notices.pending(); len(n.held)+told < len(n.journal.Entries()) {
		n.guard.recordViolation(ruleStart, "entries", len(n.journal.Entries()), "held", len(n.held), "ends", told)
	}
}
