package node

// The endpoint list: the list that the sender starts with, and the handling of updates.

import (
	"context"
	"errors"
	"io/fs"
	"time"

	"crossdeal/internal/discovery"
	"crossdeal/logic"
)

// loadInitialList fills the directory with the saved list or the configured one, whichever is newer, and reports
// whether there is one. The generation is negative if changes since it cannot be requested: there is no list, or it
// came from another discovery address, whose generations are unrelated.
func (n *Node) loadInitialList() (generation int64, listed bool) {
	now, list := time.Now(), n.cfg.KnownList
	configured := list.Generation != 0 || len(list.Instances) > 0
	saved, err := n.listStore.Peek()
	sameOrigin := saved.Origin == n.cfg.DiscoveryAddr
	if err == nil && (sameOrigin && saved.Generation > list.Generation || !configured) {
		if saved, err = n.listStore.Load(func(rows []discovery.Instance) error {
			update := n.directory.Diff(discovery.List{Instances: rows})
			n.directory.Apply(&update, now)
			return nil
		}); err == nil {
			n.log.Info("begins with the saved list", "generation", saved.Generation, "from", saved.Origin, "entries", n.directory.Len())
			if !sameOrigin {
				return -1, true
			}
			n.listGeneration = saved.Generation
			return saved.Generation, true
		}
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		n.log.Warn("the saved list is not used", "err", err)
	}
	list.Reset = true // rows of a saved list that failed to load are dropped
	update := n.directory.Diff(list)
	n.directory.Apply(&update, now)
	if !configured {
		return -1, false
	}
	n.listGeneration = list.Generation
	return list.Generation, true
}

// loadSavedStates reads the states of endpoints from the saved list after a handover from an earlier version, which does
// not hand them over. The saved list must have the origin and the generation that were handed over. Otherwise the
// states follow with the next whole list, and nothing is saved until then. Lists of more than maxSavedStateRows rows are
// not read, since clients wait meanwhile.
func (n *Node) loadSavedStates(origin string, generation int64) {
	saved, err := n.listStore.Peek()
	if n.directory.AllStatesKnown() || err != nil || "http://"+saved.Origin != origin || saved.Generation != generation || saved.RowCount > maxSavedStateRows {
		return
	}
	now := time.Now()
	if _, err := n.listStore.Load(func(rows []discovery.Instance) error {
		update := n.directory.Diff(discovery.List{Instances: rows})
		n.directory.Apply(&update, now) // the decision logic has these rows already
		return nil
	}); err != nil {
		n.log.Warn("the saved list is not used", "err", err)
		return
	}
	n.directory.MarkUnknownUnlisted(now)
}

func (n *Node) handleListEvent(ev discovery.Event) {
	if !ev.HasUpdate {
		n.nextEvents = append(n.nextEvents, ev.ListUpdate(time.Now(), nil))
		if ev.Err == nil {
			return
		}
		n.watching = false
		if n.watcher.AddressChanged() { // during the request: it was the old address that failed
			n.nextEvents = append(n.nextEvents, logic.DiscoveryMoved{})
		}
		return
	}
	update := &ev.Update
	n.listGeneration = update.Generation
	rows := n.directory.Apply(update, time.Now())
	if ev.Done != nil {
		ev.Done()
	}
	if update.UnusableRows > 0 || update.DuplicateRows > 0 {
		n.log.Warn("list", "generation", update.Generation, "entries that make no sense", update.UnusableRows, "duplicates", update.DuplicateRows)
	}
	if update.OmittedEndpoints > 0 && len(update.Rows) > 0 {
		n.log.Warn("list, too many endpoints of one destination", "generation", update.Generation, "left aside", update.OmittedEndpoints)
	}
	if len(rows) > 0 || update.Whole {
		n.log.Info("list", "generation", update.Generation, "whole", update.Whole, "entries", len(rows), "listed", n.directory.Len())
	}
	// A whole list is passed on as its differences, like an update. Either also tells the decision logic that the list
	// is current.
	n.nextEvents = append(n.nextEvents, ev.ListUpdate(time.Now(), rows))
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
		if target := n.target(h.call.endpoint); ok && (state != logic.Ready || h.call.addr != target.Address ||
			h.call.destination != target.Destination) {
			h.withholdCall() // it would connect to the endpoint's old address or despite its new state
		}
	}
}

// watchList starts a watch of the list, unless one is running. A watch ends with the event of a failed request.
func (n *Node) watchList(work context.Context) {
	if !n.watching {
		n.watching = true
		go n.watcher.Watch(work)
	}
}
