package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"crossdeal/internal/clock"
	"crossdeal/internal/discovery"
	"crossdeal/logic"
)

// leave is asked for before a call is written on a new connection: the journal has to know first, for whoever reads it
// next must take a call that only connected for one that never ran, and one that was written for one that may have.
type leave struct {
	call   *call
	answer chan<- bool
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
	admin      *adminServer // nil where no operator address is given
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
	setMembershipMode(&cfg.Deploy.Settings)
	n := newNode(cfg, log)
	n.shareDescriptors()
	set := &cfg.Deploy.Settings
	var err error
	if n.sender, err = logic.New(*set, cfg.Seed); err != nil {
		return nil, err
	}
	n.caller = newCaller(span(cfg.Deploy.ConnectTimeout), span(set.ConnIdle), set.Slots, n.sockets/4)
	n.caller.fds = n.clients
	n.saved = discovery.OpenStore(cfg.StateDir, cfg.Limits.storeBytes(), log)
	n.disc = n.discoveryClient()
	n.notices = newNotices(cfg.Discovery, log, n.events)
	n.logSettings()
	if err := n.own(); err != nil && !errors.Is(err, errLocked) {
		return nil, err
	}
	return n, nil
}

// setMembershipMode sets what follows for the module from where the list comes from.
func setMembershipMode(set *logic.Settings) {
	set.ListPushed = !set.ListOnRequest
	if set.ListOnRequest && set.Senders >= discovery.SpreadFrom { // with pauses between its calls for the list
		set.MaxListAge = micros(discovery.ListAge) + set.DrainGrace
	}
}

// newNode makes a sender with its channels and tables, and what stands between it and clients and operators.
func newNode(cfg *Config, log *slog.Logger) *Node {
	n := &Node{cfg: cfg, log: log, start: time.Now(),
		dir:        discovery.NewDirectory(cfg.Deploy.Zones, cfg.Deploy.Settings.Kinds),
		events:     make(chan any, eventRoom),
		orders:     make(chan order),
		successors: make(chan successor),
		moves:      make(chan struct{}, 1),
		writes:     make(chan leave),
		ready:      make(chan net.Addr, 1),
		held:       map[string]*held{},
		recent:     map[string]time.Time{}}
	n.sockets = descriptorLimit(cfg.Limits.Sockets)
	if cfg.Limits.Sockets > n.sockets {
		cfg.Limits.Sockets = n.sockets
	}
	if cfg.Operator != "" {
		n.admin = newAdminServer(log, n.sockets, n.orders)
	}
	n.clients = newClients(cfg, log, n.events)
	n.trace, n.guard, n.clock = newTracer(log, n.dir), n.clients.guard, n.clients.clock
	return n
}

// shareDescriptors shares the descriptors out between clients, operators and calls, which may bound the slots.
func (n *Node) shareDescriptors() {
	operators := 0
	if n.admin != nil {
		operators = n.admin.most
	}
	set := &n.cfg.Deploy.Settings
	calls := n.clients.shareDescriptors(n.sockets, operators)
	if set.Slots > calls {
		n.log.Warn("configuration", "err",
			fmt.Sprintf("%d slots do not go with %d descriptors, taken for %d", set.Slots, n.sockets, calls))
		set.Slots = calls
	}
}

// logSettings writes what decides most of what the sender does.
func (n *Node) logSettings() {
	set := &n.cfg.Deploy.Settings
	n.log.Info("settings", "on_request", set.ListOnRequest, "senders", set.Senders, "drain_grace", span(set.DrainGrace).String(),
		"slots", set.Slots, "max_open", set.MaxOpen, "known", len(n.cfg.Known.Instances), "generation", n.cfg.Known.Generation)
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
	return discovery.NewClient(discovery.Config{Addr: n.cfg.Discovery, Senders: set.Senders, Pushed: set.ListPushed, Grace: span(set.DrainGrace),
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
	endAdmin, err := n.openAdmin()
	if err != nil {
		return err
	}
	defer endAdmin()
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
	if !n.cfg.Deploy.Settings.ListOnRequest {
		n.listen(work) // the module is told of changes without asking; on a socket somebody must ask
	}
	go n.notices.run(work)
	go n.clients.serve(ln)
	n.admit(nil)
	n.log.Info("ready", "name", n.cfg.Name, "addr", ln.Addr().String(), "held", len(n.held))
	n.ready <- ln.Addr()
	served := make(chan struct{}) // closed when no client is left
	stopped := make(chan struct{})
	var exitBy time.Time // set before stopped or served is closed
	go func() {
		select {
		case <-ctx.Done():
		case <-work.Done():
			return
		}
		at := time.Now()
		exitBy = at.Add(stopClients)
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
	n.endClients(exitBy)
	n.log.Info("stopped", "owed", len(n.journal.entries), "violations", n.guard.violations())
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
	grace, end := context.WithTimeout(context.Background(), stopAll)
	defer end()
	n.clients.shutdown(grace)
	n.clients.countUnanswered()
	select {
	case <-ctx.Done():
	case <-time.After(lingerAdmin):
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

// openAdmin lets operators call, where an address for them is given, until the returned function has been called.
func (n *Node) openAdmin() (end func(), err error) {
	if n.admin == nil {
		return func() {}, nil
	}
	ln, err := n.admin.listen(n.cfg.Operator)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	closed := make(chan struct{})
	go func() { defer close(closed); n.admin.serve(ctx, ln) }()
	n.log.Info("admin server", "addr", ln.Addr().String())
	return func() { cancel(); <-closed }, nil
}

// admit tells operators that this process can serve, or why it cannot.
func (n *Node) admit(err error) {
	if n.admin != nil {
		n.admin.setReady(err)
	}
}
