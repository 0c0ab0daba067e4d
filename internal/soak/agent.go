package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"crossdeal/internal/scale/standin"
)

// Change is a change to an endpoint's list entry, as a sender's agent learned it.
type Change struct {
	Endpoint  string
	Lifecycle string
	KnownAt   time.Time // when the agent learned of it
}

// Notice is the notice of a message's end, as the platform received it.
type Notice struct {
	ID    string
	State string
	At    time.Time
}

// agent is the discovery agent on a sender's machine: it serves the list and receives notices. While it cannot reach
// discovery, it answers nothing and learns nothing.
type agent struct {
	mu             sync.Mutex
	discovery      *standin.Discovery
	listener       net.Listener
	rows           []standin.Row // the list as the agent knows it
	changes        []Change
	notices        []Notice
	watchStalls    []time.Time // when all open watches became unresponsive
	addressChanges []time.Time // when discovery moved to another address
	faults         []discoveryFault
	unreachable    bool
	noticeRNG      *rand.Rand
	noticeFaults   bool // some posts of notices fail
	extraBytes     *standin.ExtraBytes
	pendingRows    []standin.Row // changes that it learns once discovery is reachable
	answerDelay    time.Duration // of its answers with a list
}

// discoveryFault is a period in which calls for the list failed.
type discoveryFault struct {
	kind      standin.FaultKind
	startedAt time.Time
	endedAt   time.Time // zero while the fault lasts
}

// Share of the posts of notices that fail while noticeFaults is set.
const (
	noticeResetShare      = 0.1
	noticeUnansweredShare = 0.05
)

func startAgent(rows []standin.Row, rng *rand.Rand, extraBytes *standin.ExtraBytes) (*agent, error) {
	a := &agent{rows: append([]standin.Row(nil), rows...), noticeRNG: rng, extraBytes: extraBytes}
	return a, a.open(1)
}

// open serves the list as the agent knows it on a new address. Its generations begin at the one given.
func (a *agent) open(generation int64) error {
	listener, err := net.Listen("tcp", "127.0.3.1:0")
	if err != nil {
		return err
	}
	a.listener = listener
	a.discovery = standin.New(standin.Config{Rows: append([]standin.Row(nil), a.rows...), Generation: generation, OnNotice: a.recordNotice,
		NoticeFault: a.drawNoticeFault, ExtraBytes: a.extraBytes})
	a.discovery.SetAnswerDelay(a.answerDelay)
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

// setNoticeFaults begins or ends faults of posts of notices.
func (a *agent) setNoticeFaults(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noticeFaults = on
}

// drawNoticeFault returns what becomes of a post of notices.
func (a *agent) drawNoticeFault() standin.NoticeFault {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.noticeFaults {
		return standin.NoticeReceived
	}
	switch draw := a.noticeRNG.Float64(); {
	case draw < noticeResetShare:
		return standin.NoticeReset
	case draw < noticeResetShare+noticeUnansweredShare:
		return standin.NoticeUnanswered
	}
	return standin.NoticeReceived
}

// update passes a change to the agent, at once or when discovery is reachable again.
func (a *agent) update(row standin.Row) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unreachable {
		a.pendingRows = append(a.pendingRows, row)
		return
	}
	a.apply(row)
}

// apply records a change and serves it. The caller holds a.mu.
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

// beginFault makes calls for the list fail from now on, until endFaults.
func (a *agent) beginFault(kind standin.FaultKind) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults = append(a.faults, discoveryFault{kind: kind, startedAt: time.Now()})
	if kind == standin.Unresponsive {
		a.unreachable = true
	}
	a.discovery.SetFaultNow(kind, 0)
}

// endFaults ends the faults that beginFault began.
func (a *agent) endFaults() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.faults {
		if a.faults[i].endedAt.IsZero() {
			a.faults[i].endedAt = time.Now()
		}
	}
	a.discovery.SetFaultNow(standin.Healthy, 0)
	a.unreachable = false
	for _, row := range a.pendingRows {
		a.apply(row)
	}
	a.pendingRows = nil
}

// setAnswerDelay makes the agent answer late from now on, at its later addresses too; 0 for at once.
func (a *agent) setAnswerDelay(delay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answerDelay = delay
	a.discovery.SetAnswerDelay(delay)
}

// stallWatches makes all open watches unresponsive.
func (a *agent) stallWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watchStalls = append(a.watchStalls, time.Now())
	a.discovery.StallWatches()
}

// moveAddress opens another address with its own generations. The old address accepts no new connections, and closes the
// open ones after linger.
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
