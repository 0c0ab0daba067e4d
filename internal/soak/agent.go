package soak

import (
	"net"
	"sync"
	"time"

	"crossdeal/internal/scale/standin"
)

// Change is what a sender's agent learned of an endpoint.
type Change struct {
	Endpoint  string
	Lifecycle string
	KnownAt   time.Time // when the agent had it
}

// Notice is the end of a message as the platform heard of it.
type Notice struct {
	ID    string
	State string
	At    time.Time
}

// agent is discovery's agent on a sender's machine: it has the list, and takes notices. While discovery is down it is
// silent and learns nothing.
type agent struct {
	mu             sync.Mutex
	discovery      *standin.Discovery
	listener       net.Listener
	rows           []standin.Row // as the agent knows them
	changes        []Change
	notices        []Notice
	watchLosses    []time.Time // when all open watches fell silent
	addressChanges []time.Time // when the sender was told of another address
	faults         []discoveryFault
	unreachable    bool
	pendingRows    []standin.Row // what it will learn once discovery is back
}

// discoveryFault is a time in which calls for the list went wrong.
type discoveryFault struct {
	kind      standin.Trouble
	startedAt time.Time
	endedAt   time.Time // zero while it lasts
}

func startAgent(rows []standin.Row) (*agent, error) {
	a := &agent{rows: append([]standin.Row(nil), rows...)}
	return a, a.open(1)
}

// open serves the list as the agent knows it on a new address, from some generation on.
func (a *agent) open(generation int64) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	a.listener = listener
	a.discovery = standin.New(standin.Config{Rows: append([]standin.Row(nil), a.rows...), Generation: generation, Noticed: a.recordNotice})
	go a.discovery.Serve(listener, "sender")
	return nil
}

func (a *agent) address() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.listener.Addr().String()
}

func (a *agent) recordNotice(id, state string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notices = append(a.notices, Notice{id, state, time.Now()})
}

// update has the agent know a change, at once or when discovery is back.
func (a *agent) update(row standin.Row) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unreachable {
		a.pendingRows = append(a.pendingRows, row)
		return
	}
	a.apply(row)
}

// apply takes a change in. The caller holds a.mu.
func (a *agent) apply(row standin.Row) {
	known := false
	for i := range a.rows {
		if a.rows[i].ID == row.ID {
			a.rows[i], known = row, true
		}
	}
	if !known {
		a.rows = append(a.rows, row)
	}
	a.changes = append(a.changes, Change{row.ID, row.Lifecycle, time.Now()})
	a.discovery.Set(row)
}

// beginFault has calls for the list go wrong from now on, until heal.
func (a *agent) beginFault(kind standin.Trouble) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults = append(a.faults, discoveryFault{kind: kind, startedAt: time.Now()})
	if kind == standin.Silent {
		a.unreachable = true
	}
	a.discovery.Now(kind, 0)
}

// endFaults ends what spoil began.
func (a *agent) endFaults() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.faults {
		if a.faults[i].endedAt.IsZero() {
			a.faults[i].endedAt = time.Now()
		}
	}
	a.discovery.Now(standin.Healthy, 0)
	a.unreachable = false
	for _, row := range a.pendingRows {
		a.apply(row)
	}
	a.pendingRows = nil
}

// stallWatches lets all open watches fall silent.
func (a *agent) stallWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watchLosses = append(a.watchLosses, time.Now())
	a.discovery.Lose()
}

// moveAddress opens another address with generations of its own; the old one takes no new connections and closes its open ones
// after a while.
func (a *agent) moveAddress(generation int64, linger time.Duration) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	old, listener := a.discovery, a.listener
	if err := a.open(generation); err != nil {
		return err
	}
	a.addressChanges = append(a.addressChanges, time.Now())
	listener.Close()
	time.AfterFunc(linger, old.Close)
	return nil
}

func (a *agent) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listener.Close()
	a.discovery.Close()
}
