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
	Known     time.Time // when the agent had it
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
	mu      sync.Mutex
	disc    *standin.Discovery
	ln      net.Listener
	rows    []standin.Row // as the agent knows them
	changes []Change
	notices []Notice
	losses  []time.Time // when all open watches fell silent
	moves   []time.Time // when the sender was told of another address
	faults  []faultSpan
	down    bool
	waiting []standin.Row // what it will learn once discovery is back
}

// faultSpan is a time in which calls for the list went wrong.
type faultSpan struct {
	trouble standin.Trouble
	from    time.Time
	to      time.Time // zero while it lasts
}

func startAgent(rows []standin.Row) (*agent, error) {
	a := &agent{rows: append([]standin.Row(nil), rows...)}
	return a, a.open(1)
}

// open serves the list as the agent knows it on a new address, from some generation on.
func (a *agent) open(generation int64) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	a.ln = ln
	a.disc = standin.New(standin.Config{Rows: append([]standin.Row(nil), a.rows...), Generation: generation, Noticed: a.noticed})
	go a.disc.Serve(ln, "sender")
	return nil
}

func (a *agent) addr() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ln.Addr().String()
}

func (a *agent) noticed(id, state string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notices = append(a.notices, Notice{id, state, time.Now()})
}

// learn has the agent know a change, at once or when discovery is back.
func (a *agent) learn(row standin.Row) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		a.waiting = append(a.waiting, row)
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
	a.disc.Set(row)
}

// spoil has calls for the list go wrong from now on, until heal.
func (a *agent) spoil(t standin.Trouble) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults = append(a.faults, faultSpan{trouble: t, from: time.Now()})
	if t == standin.Silent {
		a.down = true
	}
	a.disc.Now(t, 0)
}

// heal ends what spoil began.
func (a *agent) heal() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.faults {
		if a.faults[i].to.IsZero() {
			a.faults[i].to = time.Now()
		}
	}
	a.disc.Now(standin.Healthy, 0)
	a.down = false
	for _, row := range a.waiting {
		a.apply(row)
	}
	a.waiting = nil
}

// loseWatches lets all open watches fall silent.
func (a *agent) loseWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.losses = append(a.losses, time.Now())
	a.disc.Lose()
}

// move opens another address with generations of its own; the old one takes no new connections and closes its open ones
// after a while.
func (a *agent) move(generation int64, linger time.Duration) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	old, ln := a.disc, a.ln
	if err := a.open(generation); err != nil {
		return err
	}
	a.moves = append(a.moves, time.Now())
	ln.Close()
	time.AfterFunc(linger, old.Close)
	return nil
}

func (a *agent) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ln.Close()
	a.disc.Close()
}
