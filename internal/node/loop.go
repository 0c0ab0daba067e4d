package node

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"math"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"crossdeal/internal/clock"
	"crossdeal/internal/discovery"
	"crossdeal/logic"
)

const (
	acceptOn   = 500 * time.Millisecond  // after SIGTERM, clients are served on for so long
	stopSends  = 3200 * time.Millisecond // what is sent after SIGTERM must end by then
	stopAll    = 3400 * time.Millisecond // and the process must be gone soon after this
	sweepEvery = time.Second
	tallyEvery = 5                      // sweeps between two lines on how calls went
	retryPause = 250 * time.Millisecond // of an attempt that could not be written to the journal
	eventRoom  = 4096
	matchMost  = 20000 // rows of a saved list that are read during a handover
)

// replyEvent is the one outcome of an attempt.
type replyEvent struct {
	call   *call
	result result
	took   time.Duration
}

// leave is asked for before a call is written on a new connection: the journal has to know first, for whoever reads it
// next must take a call that only connected for one that never ran, and one that was written for one that may have.
type leave struct {
	call   *call
	answer chan<- bool
}

// healthEvent is the one outcome of a probe.
type healthEvent struct {
	ep      logic.EndpointID
	outcome logic.Outcome
}

// closingEvent starts the shutdown.
type closingEvent struct{ left time.Duration }

// held is a message that the module has and that is not over.
type held struct {
	msg   *Message
	tries int
	over  bool                    // ended; an attempt is still out
	stop  context.CancelCauseFunc // of the attempt that is out
	call  *call                   // that attempt
	aside *idleConn               // its connection, once it is set aside for another process
}

// watcher watches the list and sends a discovery.Event for what it learns.
type watcher interface {
	Begin(generation int64, restart bool)
	Watch(ctx context.Context)
	Move(addr string)
	IsMoved() bool
	Address() string
}

// Node is one sender.
type Node struct {
	cfg        *Config
	log        *slog.Logger
	journal    *Journal
	sender     *logic.Sender
	caller     *caller
	clock      *clock.Clock
	trace      *tracer
	guard      *guard
	dir        *discovery.Directory
	saved      *discovery.Store
	disc       watcher
	notices    *notices
	clients    *clients
	door       *door // nil where no operator address is given
	events     chan any
	orders     chan order
	successors chan successor
	handAfter  time.Time     // no state transfer before: one has failed
	moves      chan struct{} // holds one token when discovery has moved
	writes     chan leave    // calls that have connected and would be written
	sockets    int           // descriptors that this process and another version of it may hold together
	lock       *os.File
	again      bool // the folder has been in use before: this is a restart
	ln         net.Listener
	ready      chan net.Addr // gets the address once clients are served

	// What follows belongs to the loop.
	start      time.Time
	held       map[string]*held
	open       int                  // of held, those not over
	recent     map[string]time.Time // ids that were taken on and are over, until their time is up
	next       []logic.Event        // for the next step
	watching   bool
	generation int64 // of the list that the module has
	closing    bool
	puts       []putEvent
	records    []record
}

// New makes a sender and replays its journal, unless another process owns it: then Run takes over from that one.
func New(cfg *Config, log *slog.Logger) (*Node, error) {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	for _, doubt := range cfg.Doubts {
		log.Warn("configuration", "err", doubt)
	}
	set := &cfg.Deploy.Settings
	set.Pushed = !set.OnRequest
	if set.OnRequest && set.Senders >= discovery.SpreadFrom { // with pauses between its calls for the list
		set.ListAge = micros(discovery.ListAge) + set.DrainGrace
	}
	sockets := descriptorLimit(cfg.Limits.Sockets)
	if cfg.Limits.Sockets > sockets {
		cfg.Limits.Sockets = sockets
	}
	events, orders, operators := make(chan any, eventRoom), make(chan order), 0
	var d *door
	if cfg.Operator != "" {
		d = newDoor(log, sockets, orders)
		operators = d.most
	}
	clients := newClients(cfg, log, events)
	if calls := clients.shareDescriptors(sockets, operators); set.Slots > calls {
		log.Warn("configuration", "err", fmt.Sprintf("%d slots do not go with %d descriptors, taken for %d", set.Slots, sockets, calls))
		set.Slots = calls
	}
	sender, err := logic.New(*set, cfg.Seed)
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, log: log, sockets: sockets, sender: sender, clients: clients, door: d, successors: make(chan successor), moves: make(chan struct{}, 1), writes: make(chan leave), dir: discovery.NewDirectory(cfg.Deploy.Zones, set.Kinds),
		caller: newCaller(span(cfg.Deploy.ConnectTimeout), span(set.ConnIdle), set.Slots, sockets/4),
		events: events, orders: orders, ready: make(chan net.Addr, 1), start: time.Now(), held: map[string]*held{}, recent: map[string]time.Time{}}
	n.trace, n.guard, n.clock = newTracer(log, n.dir), n.clients.guard, n.clients.clock
	log.Info("settings", "on_request", set.OnRequest, "senders", set.Senders, "drain_grace", span(set.DrainGrace).String(),
		"slots", set.Slots, "max_open", set.MaxOpen, "known", len(cfg.Known.Instances), "generation", cfg.Known.Generation)
	n.saved = discovery.OpenStore(cfg.StateDir, cfg.Limits.storeBytes(), log)
	n.disc = n.discoveryClient()
	n.notices = newNotices(cfg.Discovery, log, n.events)
	n.caller.fds = clients
	if err := n.own(); err != nil && !errors.Is(err, errLocked) {
		return nil, err
	}
	return n, nil
}

// own makes this process the owner of the state and replays the journal; errLocked if another one is.
func (n *Node) own() (err error) {
	_, none := os.Stat(filepath.Join(n.cfg.StateDir, lockName))
	if n.lock, err = lockState(n.cfg.StateDir); err != nil {
		return err
	}
	n.journal, err = n.openJournal()
	n.again = none == nil || err == nil && n.journal.size > 0
	if err == nil && n.journal.cut > 0 {
		n.log.Warn("journal was not whole", "cut", n.journal.cut)
	}
	return err
}

// discoveryClient is the client that watches the list for this sender.
func (n *Node) discoveryClient() *discovery.Client {
	set := &n.cfg.Deploy.Settings
	return discovery.NewClient(discovery.Config{Addr: n.cfg.Discovery, Senders: set.Senders, Pushed: set.Pushed, Grace: span(set.DrainGrace),
		Seed: n.cfg.Seed, MaxBytes: n.cfg.Limits.listBytes(), Directory: n.dir, Store: n.saved, Log: n.log}, n.events)
}

// target is where an endpoint can be reached; without an address if it never had one.
func (n *Node) target(ep logic.EndpointID) discovery.Target {
	t, _ := n.dir.Target(ep)
	return t
}

func (n *Node) openJournal() (*Journal, error) {
	return OpenJournal(n.cfg.StateDir, n.cfg.Limits.diskBytes())
}

// Move takes another address of discovery, for the list and for notices. It may be called at any time.
func (n *Node) Move(addr string) {
	n.log.Info("discovery has moved", "addr", addr)
	n.disc.Move(addr)
	n.notices.move(addr)
	select {
	case n.moves <- struct{}{}:
	default: // a token is there already
	}
}

func span(t logic.Micros) time.Duration { return time.Duration(t) * time.Microsecond }
func micros(d time.Duration) logic.Micros {
	return logic.Micros(d / time.Microsecond)
}

// Run serves until ctx is cancelled, then shuts down in good order.
func (n *Node) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer n.close()
	endDoor, err := n.openDoor()
	if err != nil {
		return err
	}
	defer endDoor()
	if err := n.begin(ctx, work); err != nil {
		if ctx.Err() != nil {
			return nil // stopped while it waited for its turn
		}
		return err
	}
	ln := n.ln
	if err := n.expectSuccessors(work); err != nil {
		n.log.Error("no handover to a new process will be possible", "err", err)
	}
	if !n.cfg.Deploy.Settings.OnRequest {
		n.listen(work) // the module is told of changes without asking; on a socket somebody must ask
	}
	go n.notices.run(work)
	go n.clients.serve(ln)
	n.admit(nil)
	n.log.Info("ready", "name", n.cfg.Name, "addr", ln.Addr().String(), "held", len(n.held))
	n.ready <- ln.Addr()
	served := make(chan struct{}) // closed when no client is left
	stopped := make(chan struct{})
	go func() {
		select {
		case <-ctx.Done():
		case <-work.Done():
			return
		}
		at := time.Now()
		n.admit(errStopping)
		n.events <- closingEvent{stopSends}
		time.Sleep(acceptOn)
		ln.Close()
		grace, end := context.WithDeadline(work, at.Add(stopAll))
		defer end()
		n.clients.shutdown(grace)
		close(served)
		<-grace.Done()
		close(stopped)
	}()
	err = n.loop(work, served, stopped)
	if errors.Is(err, errHanded) {
		cancel()
		n.leave(ctx)
		return nil
	}
	return err
}

// begin makes this process the owner of the messages and opens the way to clients: alone, or with all that another
// process hands over.
func (n *Node) begin(ctx, work context.Context) error {
	var l *takeover
	var err error
	if n.journal == nil {
		if l, err = n.takeOver(ctx); err != nil {
			return err
		}
	}
	if l != nil {
		n.ln = l.listener
		l.taken()
		n.adopt(work, l)
		n.step(work)
		n.listen(work) // the module takes the watch for begun
		return nil
	}
	n.resume()
	n.step(work) // what the journal holds comes first: its ends are due
	if n.ln, err = listenShared(ctx, n.cfg.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return nil
}

// listenShared listens where another process of this sender may listen as well.
func listenShared(ctx context.Context, addr string) (net.Listener, error) {
	const reusePort = 0xf // SO_REUSEPORT, which package syscall lacks on some architectures
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if err := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, reusePort, 1)
		}); err != nil {
			return err
		}
		return err
	}}
	return lc.Listen(ctx, "tcp", addr)
}

// expectSuccessors lets new processes ask to take over, until work is over.
func (n *Node) expectSuccessors(work context.Context) error {
	ln, err := listenHandover(n.cfg.StateDir)
	if err != nil {
		return err
	}
	go n.meet(work, ln)
	return nil
}

// leave ends what stays here after a handover: requests that were half read, and operators that call this process
// still.
func (n *Node) leave(ctx context.Context) {
	n.close() // the lock is the successor's now
	grace, end := context.WithTimeout(context.Background(), requestTime+answerTime)
	defer end()
	n.clients.shutdown(grace)
	select {
	case <-ctx.Done():
	case <-time.After(lingerDoor):
	}
	n.log.Info("stopped after the handover")
}

// close gives up what a process owns. It may be called twice.
func (n *Node) close() {
	if n.journal != nil {
		n.journal.Close()
	}
	if n.lock != nil {
		n.lock.Close()
	}
}

// openDoor lets operators call, where an address for them is given, until the returned function has been called.
func (n *Node) openDoor() (end func(), err error) {
	if n.door == nil {
		return func() {}, nil
	}
	ln, err := n.door.listen(n.cfg.Operator)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	closed := make(chan struct{})
	go func() { defer close(closed); n.door.serve(ctx, ln) }()
	n.log.Info("operators' door", "addr", ln.Addr().String())
	return func() { cancel(); <-closed }, nil
}

// admit tells operators that this process can serve, or why it cannot.
func (n *Node) admit(err error) {
	if n.door != nil {
		n.door.setReady(err)
	}
}

// loop owns the module and all of the state: it takes what has come, lets the
// module step, writes the journal and acts, at most once a tick.
func (n *Node) loop(work context.Context, served, stopped <-chan struct{}) error {
	tick := max(span(n.cfg.Deploy.Settings.Tick), time.Millisecond)
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	pause := time.NewTimer(0)
	defer pause.Stop()
	sweeps := 0
	quiet := false // shutting down, and no client is left
	for {
		if quiet && n.open == 0 && len(n.journal.entries) == 0 {
			n.log.Info("stopped", "owed", 0, "violations", n.guard.violations())
			return nil
		}
		select {
		case o := <-n.orders:
			n.obey(o)
		case x := <-n.successors:
			if n.handOver(work, x, stopped) {
				return errHanded
			}
			continue
		case ev := <-n.events:
			n.take(ev)
		case x := <-n.writes:
			n.allow(x)
			continue
		case <-n.moves:
			if !n.watching { // a watch that is out goes to the new address by itself
				n.next = append(n.next, logic.Moved{})
			}
		case <-sweep.C:
			n.caller.sweep()
			n.forget()
			if sweeps++; sweeps%tallyEvery == 0 {
				n.tally()
			}
			continue
		case <-served:
			quiet, served = true, nil
			continue
		case <-stopped:
			// What is still out stays in the journal as it is.
			n.log.Info("stopped", "owed", len(n.journal.entries), "violations", n.guard.violations())
			return nil
		}
		for more := true; more; {
			select {
			case o := <-n.orders:
				n.obey(o)
			case ev := <-n.events:
				n.take(ev)
			default:
				more = false
			}
		}
		n.step(work)
		for len(n.next) > 0 {
			n.step(work)
		}
		pause.Reset(tick)
		for over := false; !over; {
			select {
			case <-pause.C:
				over = true
			case x := <-n.writes:
				n.allow(x)
			}
		}
	}
}

// allow lets a call be written once the journal has it, unless it has been called off meanwhile.
func (n *Node) allow(x leave) {
	if !n.permitWrite(x.call) {
		n.trace.withheld(x.call)
		x.answer <- false
		return
	}
	err := n.journal.Append([]record{n.sendRecord(x.call.id, x.call.ep)})
	if err != nil {
		n.log.Error("journal", "err", err)
		time.AfterFunc(retryPause, func() { x.answer <- false }) // a full disk, say: room may come
		return
	}
	x.answer <- true
}

func (n *Node) sendRecord(id string, ep logic.EndpointID) record {
	return record{Op: opSend, ID: id, At: n.clock.Now(), Zone: n.target(ep).Zone}
}

// askLeave asks the loop whether a call may be written, until ctx is over.
func (n *Node) askLeave(ctx context.Context, in *call) bool {
	answer := make(chan bool, 1)
	select {
	case n.writes <- leave{in, answer}:
	case <-ctx.Done():
		return false
	}
	return <-answer // it comes, after a pause at the latest
}

// tally writes a line on how calls went and what is held, unless nothing happened.
func (n *Node) tally() {
	if counts := n.caller.report(); len(counts) > 0 {
		counts = append(counts, "idle", n.caller.kept(), "open", n.open, "owed", len(n.journal.entries))
		counts = append(counts, n.clients.report()...)
		n.log.Info("calls", append(counts, n.guard.report()...)...)
	}
}

// resume hands the module what the journal holds, with what became of it so far. At a restart, also one with nothing
// in its journal, what changed meanwhile is not in the list of the configuration; where an agent has the list, nor is it
// at any other start.
func (n *Node) resume() {
	known, listed := n.beginList()
	if listed {
		n.next = append(n.next, logic.Endpoints{Form: logic.ListCached, Entries: n.dir.Entries(), Old: n.again || n.cfg.Deploy.Settings.Pushed})
	}
	n.disc.Begin(known, n.again)
	for _, id := range n.journal.TakenOut() {
		n.next = append(n.next, logic.TakeOut{Endpoint: n.dir.Number(id)})
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
		c.Past = logic.Past{Kept: true, Tries: e.Tries, MayRun: e.MayRun || e.Open}
		if c.Past.MayRun {
			c.Past.Age, c.Past.Zone = logic.Micros(max(now-e.FirstMay, 0)), e.FirstZone
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

// callOf is the module's view of a message.
func (n *Node) callOf(m *Message, now int64) logic.Call {
	c := logic.Call{ID: m.ID, Key: m.Order, Left: logic.Micros(m.Deadline - now), Dest: m.Dest, Tenant: -1, Class: n.cfg.Classes[m.Class]}
	if t, ok := n.cfg.Tenants[m.Tenant]; ok && m.Tenant != "" {
		c.Tenant = t
	}
	return c
}

// take turns what has come into events for the next step.
func (n *Node) take(ev any) {
	switch ev := ev.(type) {
	case putEvent:
		n.put(ev)
	case replyEvent:
		n.reply(ev)
	case healthEvent:
		n.next = append(n.next, logic.HealthResult{Endpoint: ev.ep, Outcome: ev.outcome})
	case discovery.Event:
		n.list(ev)
	case logic.Due:
		n.next = append(n.next, ev)
	case noticedEvent:
		for _, id := range ev.ids {
			n.records = append(n.records, record{Op: opNoticed, ID: id})
		}
		if err := n.journal.Append(n.records); err != nil {
			n.log.Error("journal", "err", err)
		}
		n.records = nil
	case closingEvent:
		n.closing = true
		n.next = append(n.next, logic.Closing{Left: micros(ev.left)})
	}
}

func (n *Node) put(ev putEvent) {
	id := ev.msg.ID
	_, over := n.recent[id]
	if n.held[id] != nil || n.journal.Entry(id) != nil || over {
		n.trace.repeated(id)
		if n.waits(id) {
			n.puts = append(n.puts, ev) // it gets the answer of the first
			return
		}
		ev.answer <- answerOK
		return
	}
	most := n.cfg.Deploy.Settings.MaxOpen
	if most > 0 && n.open >= most || !n.journal.Room(len(ev.msg.Body)) {
		n.trace.turnedAway(id, n.open, most)
		ev.answer <- busy(0)
		return
	}
	m := ev.msg
	n.held[id] = &held{msg: &m}
	n.open++
	n.puts = append(n.puts, ev)
	n.next = append(n.next, n.callOf(&m, n.clock.Now()))
}

// waits says whether the message came since the last step.
func (n *Node) waits(id string) bool {
	for _, p := range n.puts {
		if p.msg.ID == id {
			return true
		}
	}
	return false
}

func busy(after logic.Micros) string {
	if after <= 0 {
		return "-BUSY\r\n"
	}
	return fmt.Sprintf("-BUSY %d\r\n", (after+999)/1000)
}

func (n *Node) list(ev discovery.Event) {
	if ev.Err != nil {
		n.watching = false
		n.next = append(n.next, logic.Endpoints{Form: logic.ListFailed, Silent: ev.Silent})
		if n.disc.IsMoved() { // meanwhile, so the failure was not the new address's
			n.next = append(n.next, logic.Moved{})
		}
		return
	}
	switch {
	case ev.Watched:
		n.next = append(n.next, logic.Endpoints{Form: logic.ListWatched})
		return
	case ev.Begun:
		n.next = append(n.next, logic.Endpoints{Form: logic.ListBegun})
		return
	case ev.Unusable:
		n.next = append(n.next, logic.Endpoints{Form: logic.ListUnusable})
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
	if u.Aside > 0 && len(u.Rows) > 0 {
		n.log.Warn("list, too many endpoints of one destination", "generation", u.Generation, "left aside", u.Aside)
	}
	if len(rows) > 0 || u.Whole {
		n.log.Info("list", "generation", u.Generation, "whole", u.Whole, "entries", len(rows), "listed", n.dir.Len())
	}
	// A whole list comes as what it changes: the module is told the same, and that the list is fresh.
	n.next = append(n.next, logic.Endpoints{Form: logic.ListDelta, Entries: rows})
	if len(rows) == 0 {
		return
	}
	changed := make(map[logic.EndpointID]logic.Readiness, len(rows))
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

func (n *Node) reply(ev replyEvent) {
	h := n.held[ev.call.id]
	if h == nil {
		return
	}
	r := ev.result
	if r.parked != nil {
		h.aside = r.parked
		return
	}
	if h.stop != nil {
		h.stop(nil)
		h.stop, h.call = nil, nil
	}
	if r.wait > 0 {
		n.guard.wait(n.waitTargetOf(ev.call.ep, n.target(ev.call.ep)), r.wait, time.Now())
		n.holdWait(ev.call.ep)
	}
	ended := h.over
	done := r.outcome == logic.Completed || r.over
	n.trace.outcome(ev)
	switch {
	case ended:
	case done:
		n.records = append(n.records, record{Op: opDone, ID: ev.call.id})
		n.finish(ev.call.id, h)
	default:
		n.records = append(n.records, record{Op: opOutcome, ID: ev.call.id, MayRun: mayHaveRun(r.outcome)})
	}
	if h.over {
		delete(n.held, ev.call.id)
	}
	n.next = append(n.next, logic.Reply{ID: ev.call.id, NoMore: ended || done, Endpoint: ev.call.ep,
		Attempt: ev.call.attempt, Outcome: r.outcome, Took: micros(ev.took), Wait: micros(r.wait),
		Load: n.loadOf(r.report)})
}

// loadOf reads the report of an answer, each field in the place that the settings give it; nil if there is none.
// What cannot be read is left out.
func (n *Node) loadOf(report string) []float64 {
	set := n.cfg.Deploy.Settings
	var load []float64
	for pair := range strings.SplitSeq(report, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		place := -1
		switch name {
		case "x0":
			place = set.ReportLeft
		case "x1":
			place = set.ReportLimit
		}
		x, err := strconv.ParseFloat(value, 64)
		if place < 0 || err != nil || !(x >= 0 && x <= math.MaxFloat32) {
			continue
		}
		for len(load) <= place {
			load = append(load, 0)
		}
		load[place] = x
	}
	return load
}

// mayHaveRun says what an outcome leaves open.
func mayHaveRun(o logic.Outcome) bool {
	return o != logic.Full && o != logic.RefusedConn && o != logic.Moot
}

// finish takes a message off the books; its id is remembered until its time is up.
func (n *Node) finish(id string, h *held) {
	if h.over {
		n.guard.violation(ruleEnd, "id", id)
		return
	}
	h.over = true
	n.open--
	n.recent[id] = n.clock.Time(h.msg.Deadline)
	if h.stop == nil {
		delete(n.held, id)
	}
}

// forget drops ids that nobody can hand in any more, and endpoints that are gone.
func (n *Node) forget() {
	now := time.Now()
	n.dir.Forget(now, func(name string, id logic.EndpointID) bool {
		if n.journal.out[name] {
			return true
		}
		for _, h := range n.held {
			if h.call != nil && h.call.ep == id {
				return true
			}
		}
		return false
	})
	for id, t := range n.recent {
		if now.After(t) {
			delete(n.recent, id)
		}
	}
}

// step lets the module decide, writes the journal and then acts, in order.
func (n *Node) step(work context.Context) {
	events := n.next
	n.next = nil
	n.carryOut(work, n.sender.Step(micros(time.Since(n.start)), events))
}

// carryOut writes the journal and then acts.
func (n *Node) carryOut(work context.Context, actions []logic.Action) {
	answers := n.answers(actions)
	for i, p := range n.puts {
		again := slices.ContainsFunc(n.puts[:i], func(x putEvent) bool { return x.msg.ID == p.msg.ID })
		if answers[p.msg.ID] == "" && !again {
			m := p.msg
			n.records = append(n.records, record{Op: opAccept, Entry: &Entry{Message: m}})
		}
	}
	kept := map[string]*idleConn{} // what the calls of this step use
	denied := map[string]bool{}    // calls that are not made
	for _, a := range actions {
		switch a := a.(type) {
		case logic.CallOut:
			if !n.permitCall(a.ID, a.Endpoint) {
				denied[a.ID] = true
				continue
			}
			if conn := n.caller.take(a.Endpoint, n.target(a.Endpoint).Addr); conn != nil {
				kept[a.ID] = conn
				n.records = append(n.records, n.sendRecord(a.ID, a.Endpoint))
			} else {
				n.records = append(n.records, record{Op: opBegin, ID: a.ID})
			}
		case logic.Refuse, logic.Fail:
			x := noticeOf(a)
			if answers[x.ID] == "" && n.journal.Entry(x.ID) != nil {
				n.records = append(n.records, record{Op: opEnd, ID: x.ID, Notice: &x})
			}
		}
	}
	err := n.journal.Append(n.records)
	n.records = nil
	if err != nil {
		n.log.Error("journal", "err", err)
	}
	for _, p := range n.puts {
		switch answer := answers[p.msg.ID]; {
		case answer != "":
			n.trace.answered(p.msg.ID, answer)
			p.answer <- answer
		case err != nil: // not written, so not taken on
			p.answer <- busy(0)
			n.drop(p.msg.ID)
			n.next = append(n.next, logic.ClientGone{ID: p.msg.ID})
		default:
			n.trace.accepted(&p.msg)
			p.answer <- answerOK
		}
	}
	n.puts = nil
	for _, a := range actions {
		if out, ok := a.(logic.CallOut); ok && denied[out.ID] {
			n.deny(out)
			continue
		}
		n.act(work, a, answers, kept, err == nil)
	}
}

// deny answers the module for a call that the guard has stopped: it was never sent.
func (n *Node) deny(a logic.CallOut) {
	h := n.held[a.ID]
	ev := replyEvent{&call{id: a.ID, attempt: h.tries, ep: a.Endpoint, state: new(atomic.Int32)}, result{outcome: logic.Moot}, 0}
	h.tries++
	time.AfterFunc(retryPause, func() { n.events <- ev })
}

// answers finds the messages that the module ends in the step in which they came:
// their clients are told at once.
func (n *Node) answers(actions []logic.Action) map[string]string {
	out := map[string]string{}
	if len(n.puts) == 0 {
		return out
	}
	for _, a := range actions {
		switch a := a.(type) {
		case logic.Refuse:
			if n.waits(a.ID) {
				out[a.ID] = busy(a.RetryIn)
			}
		case logic.Fail:
			if n.waits(a.ID) {
				out[a.ID] = answerFailed
			}
		}
	}
	return out
}

func noticeOf(a logic.Action) Notice {
	switch a := a.(type) {
	case logic.Refuse:
		return Notice{ID: a.ID, State: "returned", AfterMS: int64((a.RetryIn + 999) / 1000)}
	case logic.Fail:
		return Notice{ID: a.ID, State: "failed"}
	}
	return Notice{}
}

// drop forgets a message that was never taken on.
func (n *Node) drop(id string) {
	if h := n.held[id]; h != nil && !h.over {
		n.open--
		delete(n.held, id)
	}
}

func (n *Node) act(work context.Context, a logic.Action, answers map[string]string, kept map[string]*idleConn, written bool) {
	switch a := a.(type) {
	case logic.CallOut:
		n.callOut(work, a, kept[a.ID], written)
	case logic.Cancel:
		if h := n.held[a.ID]; h != nil && h.stop != nil && h.tries-1 == a.Attempt {
			n.trace.cancelled(a)
			h.stop(nil)
		}
	case logic.Refuse, logic.Fail:
		x := noticeOf(a)
		if answers[x.ID] != "" {
			n.drop(x.ID)
			return
		}
		if h := n.held[x.ID]; h != nil && !h.over {
			n.trace.ended(x)
			n.finish(x.ID, h)
			n.notices.add(x)
		}
	case logic.SetTimer:
		ev := logic.Due{Token: a.Token}
		time.AfterFunc(span(a.Wait), func() { n.events <- ev })
	case logic.Probe:
		n.probe(work, a.Endpoint)
	case logic.Release:
		n.caller.release(a.Endpoint)
	case logic.Listen:
		n.listen(work)
	case logic.Log:
		n.log.Info(a.Text)
	}
}

// listen watches the list, unless a watch is on. It ends with the event of a call that failed.
func (n *Node) listen(work context.Context) {
	if !n.watching {
		n.watching = true
		go n.disc.Watch(work)
	}
}

// callOut makes an attempt, on a kept connection if there is one. Without its record in the journal it is not made.
func (n *Node) callOut(work context.Context, a logic.CallOut, kept *idleConn, written bool) {
	h := n.held[a.ID]
	if kept != nil && (h == nil || !written) && !n.caller.put(a.Endpoint, kept) {
		kept.Close()
	}
	if h == nil { // never taken on; the module is still owed its one outcome
		n.next = append(n.next, logic.Reply{ID: a.ID, NoMore: true, Endpoint: a.Endpoint, Outcome: logic.Moot})
		return
	}
	attempt := h.tries
	h.tries++
	to := n.target(a.Endpoint)
	in := &call{id: a.ID, attempt: attempt, ep: a.Endpoint, addr: to.Addr, dest: to.Dest, giveUp: span(a.GiveUp),
		state: new(atomic.Int32), kept: kept}
	in.allow = func(ctx context.Context) bool { return n.askLeave(ctx, in) }
	if e := n.journal.Entry(a.ID); e != nil && e.MayRun { // a repeat: by the end of the window it must be written
		if c := n.cfg.Deploy.Settings.Classes[n.cfg.Classes[h.msg.Class]]; c.Effect == logic.Keyed {
			in.writeBy = n.clock.Time(e.FirstMay).Add(span(c.Window))
		}
	}
	ctx, stop := context.WithCancelCause(work)
	h.stop, h.call = stop, in
	n.trace.send(in, n.generation)
	var err error
	if in.request, err = deliverRequest(h.msg, to.Addr, in.giveUp); err != nil || !written {
		if err != nil {
			n.log.Error("call", "err", err)
			if written && kept != nil {
				kept.Close()
			}
		}
		ev := replyEvent{in, result{outcome: logic.Moot}, 0}
		time.AfterFunc(retryPause, func() { n.events <- ev }) // a full disk, say: room may come
		return
	}
	in.at = time.Now()
	go func() {
		r := n.caller.do(ctx, in)
		n.events <- replyEvent{in, r, time.Since(in.at)}
	}()
}

// hold keeps calls that are still connecting from being written: what the module decided before it knew better
// would reach the endpoint long after. They end as never sent.
func (n *Node) hold(match func(ep logic.EndpointID) bool) {
	for _, h := range n.held {
		if h.stop != nil && match(h.call.ep) {
			h.hold()
		}
	}
}

func (h *held) hold() {
	if h.call.state.CompareAndSwap(callConnecting, callHeld) {
		h.stop(nil)
	}
}

// holdWait holds calls to where a wait was told: the destination, or the one route where routes are apart.
func (n *Node) holdWait(ep logic.EndpointID) {
	to := n.target(ep)
	kinds := n.cfg.Deploy.Settings.Kinds
	apart := to.Kind >= 0 && to.Kind < len(kinds) && kinds[to.Kind].Apart
	n.hold(func(x logic.EndpointID) bool { return x == ep || !apart && n.target(x).Dest == to.Dest })
}

func (n *Node) probe(work context.Context, ep logic.EndpointID) {
	addr := n.target(ep).Addr
	go func() {
		out := logic.RefusedConn
		if req, err := probeRequest(addr); err == nil {
			out = n.caller.do(work, &call{ep: ep, addr: addr, at: time.Now(), giveUp: probeTime, request: req,
				state: new(atomic.Int32)}).outcome
		}
		n.events <- healthEvent{ep, out}
	}()
}
