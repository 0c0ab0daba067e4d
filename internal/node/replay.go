package node

// What a start finds in the journal.

import (
	"crossdeal/logic"
)

// resume hands the module what the journal holds, with what became of it so far. At a restart, also one with nothing
// in its journal, what changed meanwhile is not in the list of the configuration; where an agent has the list, nor is it
// at any other start.
func (n *Node) resume() {
	known, listed := n.beginList()
	if listed {
		n.next = append(n.next, logic.ListUpdate{Form: logic.ListCached, Entries: n.dir.Entries(), Stale: n.again || n.cfg.Deploy.Settings.ListPushed})
	}
	n.disc.Begin(known, n.again)
	for _, id := range n.journal.TakenOut() {
		n.next = append(n.next, logic.Ban{Endpoint: n.dir.Number(id)})
	}
	now := n.clock.Now()
	for _, e := range n.journal.Entries() {
		if e.End != nil {
			n.notices.add(*e.End)
			continue
		}
		if _, ok := n.cfg.Classes[e.Class]; !ok { // whether it may be repeated, and until when, is not known
			n.log.Warn("a message of a class that the settings do not name", "id", e.ID, "class", e.Class)
			x := Notice{ID: e.ID, State: "returned"}
			if e.MayRun || e.Open {
				x.State = "failed"
			}
			n.records = append(n.records, record{Op: opEnd, ID: e.ID, Notice: &x})
			n.notices.add(x)
			continue
		}
		n.held[e.ID] = &held{msg: &e.Message, tries: e.Tries}
		n.open++
		c := n.callOf(&e.Message, now)
		c.Prior = logic.PriorAttempts{Recovered: true, Tries: e.Tries, MayHaveRun: e.MayRun || e.Open}
		if c.Prior.MayHaveRun {
			c.Prior.SinceFirstSend, c.Prior.Zone = logic.Micros(max(now-e.FirstMay, 0)), e.FirstZone
		}
		if e.Open || e.Begun { // whoever reads the journal next must not take its outcome for a later one's
			n.records = append(n.records, record{Op: opOutcome, ID: e.ID, MayRun: e.Open})
		}
		n.next = append(n.next, c)
	}
	if told := n.notices.owed(); len(n.held)+told < len(n.journal.Entries()) {
		n.guard.violation(ruleStart, "entries", len(n.journal.Entries()), "held", len(n.held), "ends", told)
	}
}
