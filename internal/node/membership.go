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

// loadInitialList fills the directory with the saved list or that of the configuration, whichever is newer, and says whether
// there is one. Its generation is below 0 if changes to it can't be asked for: there is none, or it came from another
// address, whose generations are others.
func (n *Node) loadInitialList() (generation int64, listed bool) {
	now, known := time.Now(), n.cfg.KnownList
	given := known.Generation != 0 || len(known.Instances) > 0
	saved, err := n.listStore.Peek()
	same := saved.Origin == n.cfg.DiscoveryAddr
	if err == nil && (same && saved.Generation > known.Generation || !given) {
		if saved, err = n.listStore.Load(func(rows []discovery.Instance) error {
			u := n.directory.Diff(discovery.List{Instances: rows})
			n.directory.Apply(&u, now)
			return nil
		}); err == nil {
			n.log.Info("begins with the saved list", "generation", saved.Generation, "from", saved.Origin, "entries", n.directory.Len())
			if !same {
				return -1, true
			}
			n.listGeneration = saved.Generation
			return saved.Generation, true
		}
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		n.log.Warn("the saved list is not used", "err", err)
	}
	known.Reset = true // what a saved list has told that broke off is dropped
	u := n.directory.Diff(known)
	n.directory.Apply(&u, now)
	if !given {
		return -1, false
	}
	n.listGeneration = known.Generation
	return known.Generation, true
}

// matchSavedList takes from the saved list what a handover does not tell, if it is the list that was handed over: else the
// next whole list tells it, and nothing is saved until then. A long list would keep clients waiting.
func (n *Node) matchSavedList(origin string, generation int64) {
	saved, err := n.listStore.Peek()
	if n.directory.AllStatesKnown() || err != nil || "http://"+saved.Origin != origin || saved.Generation != generation || saved.RowCount > maxMatchedRows {
		return
	}
	now := time.Now()
	if _, err := n.listStore.Load(func(rows []discovery.Instance) error {
		u := n.directory.Diff(discovery.List{Instances: rows})
		n.directory.Apply(&u, now) // the module knows it
		return nil
	}); err != nil {
		n.log.Warn("the saved list is not used", "err", err)
		return
	}
	n.directory.MarkUnknownUnlisted(now)
}

func (n *Node) handleListEvent(ev discovery.Event) {
	if ev.Err != nil {
		n.watching = false
		n.nextEvents = append(n.nextEvents, logic.ListUpdate{Form: logic.ListRequestFailed, Unresponsive: ev.Unresponsive})
		if n.watcher.AddressChanged() { // meanwhile, so the failure was not the new address's
			n.nextEvents = append(n.nextEvents, logic.DiscoveryMoved{})
		}
		return
	}
	switch {
	case ev.WatchAccepted:
		n.nextEvents = append(n.nextEvents, logic.ListUpdate{Form: logic.ListWatchOpen})
		return
	case ev.AnswerBegun:
		n.nextEvents = append(n.nextEvents, logic.ListUpdate{Form: logic.ListAnswerBegun})
		return
	case ev.UnusableAnswer:
		n.nextEvents = append(n.nextEvents, logic.ListUpdate{Form: logic.ListAnswerUnusable})
		return
	}
	u := &ev.Update
	n.listGeneration = u.Generation
	rows := n.directory.Apply(u, time.Now())
	if ev.Done != nil {
		ev.Done()
	}
	if u.UnusableRows > 0 || u.DuplicateRows > 0 {
		n.log.Warn("list", "generation", u.Generation, "entries that make no sense", u.UnusableRows, "duplicates", u.DuplicateRows)
	}
	if u.OmittedEndpoints > 0 && len(u.Rows) > 0 {
		n.log.Warn("list, too many endpoints of one destination", "generation", u.Generation, "left aside", u.OmittedEndpoints)
	}
	if len(rows) > 0 || u.Whole {
		n.log.Info("list", "generation", u.Generation, "whole", u.Whole, "entries", len(rows), "listed", n.directory.Len())
	}
	// A whole list comes as what it changes: the module is told the same, and that the list is fresh.
	n.nextEvents = append(n.nextEvents, logic.ListUpdate{Form: logic.ListDelta, Entries: rows})
	if len(rows) == 0 {
		return
	}
	changed := make(map[logic.EndpointID]logic.EndpointState, len(rows))
	for _, row := range rows {
		changed[row.Endpoint] = row.State
	}
	for _, h := range n.held {
		if h.cancelCall == nil {
			continue
		}
		state, ok := changed[h.call.endpoint]
		if to := n.target(h.call.endpoint); ok && (state != logic.Ready || h.call.addr != to.Address || h.call.destination != to.Destination) {
			h.withholdCall() // else it would connect to where the endpoint was
		}
	}
}

// watchList watches the list, unless a watch is on. It ends with the event of a call that failed.
func (n *Node) watchList(work context.Context) {
	if !n.watching {
		n.watching = true
		go n.watcher.Watch(work)
	}
}
