package node

// The endpoint list: what the sender begins with, and what news of it changes.

import (
	"context"
	"errors"
	"io/fs"
	"time"

	"crossdeal/internal/discovery"
	"crossdeal/logic"
)

// beginList fills the directory with the saved list or that of the configuration, whichever is newer, and says whether
// there is one. Its generation is below 0 if changes to it can't be asked for: there is none, or it came from another
// address, whose generations are others.
func (n *Node) beginList() (generation int64, listed bool) {
	now, known := time.Now(), n.cfg.Known
	given := known.Generation != 0 || len(known.Instances) > 0
	saved, err := n.saved.Peek()
	same := saved.Origin == n.cfg.Discovery
	if err == nil && (same && saved.Generation > known.Generation || !given) {
		if saved, err = n.saved.Load(func(rows []discovery.Instance) error {
			u := n.dir.Reduce(discovery.List{Instances: rows})
			n.dir.Apply(&u, now)
			return nil
		}); err == nil {
			n.log.Info("begins with the saved list", "generation", saved.Generation, "from", saved.Origin, "entries", n.dir.Len())
			if !same {
				return -1, true
			}
			n.generation = saved.Generation
			return saved.Generation, true
		}
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		n.log.Warn("the saved list is not used", "err", err)
	}
	known.Reset = true // what a saved list has told that broke off is dropped
	u := n.dir.Reduce(known)
	n.dir.Apply(&u, now)
	if !given {
		return -1, false
	}
	n.generation = known.Generation
	return known.Generation, true
}

// matchSaved takes from the saved list what a handover does not tell, if it is the list that was handed over: else the
// next whole list tells it, and nothing is saved until then. A long list would keep clients waiting.
func (n *Node) matchSaved(origin string, generation int64) {
	saved, err := n.saved.Peek()
	if n.dir.Known() || err != nil || "http://"+saved.Origin != origin || saved.Generation != generation || saved.Count > matchMost {
		return
	}
	now := time.Now()
	if _, err := n.saved.Load(func(rows []discovery.Instance) error {
		u := n.dir.Reduce(discovery.List{Instances: rows})
		n.dir.Apply(&u, now) // the module knows it
		return nil
	}); err != nil {
		n.log.Warn("the saved list is not used", "err", err)
		return
	}
	n.dir.Settle(now)
}

func (n *Node) list(ev discovery.Event) {
	if ev.Err != nil {
		n.watching = false
		n.next = append(n.next, logic.ListUpdate{Form: logic.ListRequestFailed, Unresponsive: ev.Silent})
		if n.disc.IsMoved() { // meanwhile, so the failure was not the new address's
			n.next = append(n.next, logic.DiscoveryMoved{})
		}
		return
	}
	switch {
	case ev.Watched:
		n.next = append(n.next, logic.ListUpdate{Form: logic.ListWatchOpen})
		return
	case ev.Begun:
		n.next = append(n.next, logic.ListUpdate{Form: logic.ListAnswerBegun})
		return
	case ev.Unusable:
		n.next = append(n.next, logic.ListUpdate{Form: logic.ListAnswerUnusable})
		return
	}
	u := &ev.Update
	n.generation = u.Generation
	rows := n.dir.Apply(u, time.Now())
	if ev.Done != nil {
		ev.Done()
	}
	if u.Unusable > 0 || u.Duplicates > 0 {
		n.log.Warn("list", "generation", u.Generation, "entries that make no sense", u.Unusable, "duplicates", u.Duplicates)
	}
	if u.Omitted > 0 && len(u.Rows) > 0 {
		n.log.Warn("list, too many endpoints of one destination", "generation", u.Generation, "left aside", u.Omitted)
	}
	if len(rows) > 0 || u.Whole {
		n.log.Info("list", "generation", u.Generation, "whole", u.Whole, "entries", len(rows), "listed", n.dir.Len())
	}
	// A whole list comes as what it changes: the module is told the same, and that the list is fresh.
	n.next = append(n.next, logic.ListUpdate{Form: logic.ListDelta, Entries: rows})
	if len(rows) == 0 {
		return
	}
	changed := make(map[logic.EndpointID]logic.EndpointState, len(rows))
	for _, row := range rows {
		changed[row.Endpoint] = row.State
	}
	for _, h := range n.held {
		if h.stop == nil {
			continue
		}
		state, ok := changed[h.call.ep]
		if to := n.target(h.call.ep); ok && (state != logic.Ready || h.call.addr != to.Addr || h.call.dest != to.Dest) {
			h.hold() // else it would connect to where the endpoint was
		}
	}
}

// listen watches the list, unless a watch is on. It ends with the event of a call that failed.
func (n *Node) listen(work context.Context) {
	if !n.watching {
		n.watching = true
		go n.disc.Watch(work)
	}
}
