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

// writeRequest is asked for before a call is written on a new connection: the journal has to know first, for whoever reads it
// next must take a call that only connected for one that never ran, and one that was written for one that may have.
type writeRequest struct {
	call   *call
	answer chan<- bool
}

// listWatcher watches the list and sends a discovery.Event for what it learns.
type listWatcher interface {
	SetInitialState(generation int64, restart bool)
	Watch(ctx context.Context)
	SetAddress(addr string)
	AddressChanged() bool
	BaseURL() string
}

// Node is one sender.
type Node struct {
	cfg              *Config
	log              *slog.Logger
	journal          *Journal
	sender           *logic.Sender
	transport        *transport
	clock            *clock.Clock
	trace            *tracer
	guard            *guard
	directory        *discovery.Directory
	listStore        *discovery.Store
	watcher          listWatcher
	notices          *noticeQueue
	clients          *clients
	admin            *adminServer // nil where no operator address is given
	events           chan any
	commands         chan operatorCommand
	successors       chan successor
	noHandoverBefore time.Time         // no state transfer before: one has failed
	discoveryMoves   chan struct{}     // holds one token when discovery has moved
	writeRequests    chan writeRequest // calls that have connected and would be written
	maxDescriptors   int               // descriptors that this process and another version of it may hold together
	lockFile         *os.File
	restarted        bool // the folder has been in use before: this is a restart
	listener         net.Listener
	ready            chan net.Addr // gets the address once clients are served

	// What follows belongs to the loop.
	startedAt      time.Time
	held           map[string]*heldMessage
	openMessages   int                  // of held, those not over
	recentIDs      map[string]time.Time // ids that were taken on and are over, until their time is up
	nextEvents     []logic.Event        // for the next step
	watching       bool
	listGeneration int64 // of the list that the module has
	closing        bool
	newPuts        []putEvent
	pendingRecords []record
}

// New makes a sender and replays its journal, unless another process owns it: then Run takes over from that one.
func New(cfg *Config, log *slog.Logger) (*Node, error) {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	for _, doubt := range cfg.Warnings {
		log.Warn("configuration", "err", doubt)
	}
	setMembershipMode(&cfg.Deployment.Settings)
	n := newNode(cfg, log)
	n.shareDescriptors()
	set := &cfg.Deployment.Settings
	var err error
	if n.sender, err = logic.New(*set, cfg.Seed); err != nil {
		return nil, err
	}
	n.transport = newTransport(toDuration(cfg.Deployment.ConnectTimeout), toDuration(set.ConnIdle), set.Slots, n.maxDescriptors/4)
	n.transport.clients = n.clients
	n.listStore = discovery.OpenStore(cfg.StateDir, cfg.Limits.listStoreBytes(), log)
	n.watcher = n.newDiscoveryClient()
	n.notices = newNoticeQueue(cfg.DiscoveryAddr, log, n.events)
	n.logSettings()
	if err := n.acquireState(); err != nil && !errors.Is(err, errStateLocked) {
		return nil, err
	}
	return n, nil
}

// setMembershipMode sets what follows for the module from where the list comes from.
func setMembershipMode(set *logic.Settings) {
	set.ListPushed = !set.ListOnRequest
	if set.ListOnRequest && set.Senders >= discovery.SpreadMinSenders { // with pauses between its calls for the list
		set.MaxListAge = toMicros(discovery.MaxListAge) + set.DrainGrace
	}
}

// newNode makes a sender with its channels and tables, and what stands between it and clients and operators.
func newNode(cfg *Config, log *slog.Logger) *Node {
	n := &Node{cfg: cfg, log: log, startedAt: time.Now(),
		directory:      discovery.NewDirectory(cfg.Deployment.Zones, cfg.Deployment.Settings.Kinds),
		events:         make(chan any, eventBufferSize),
		commands:       make(chan operatorCommand),
		successors:     make(chan successor),
		discoveryMoves: make(chan struct{}, 1),
		writeRequests:  make(chan writeRequest),
		ready:          make(chan net.Addr, 1),
		held:           map[string]*heldMessage{},
		recentIDs:      map[string]time.Time{}}
	n.maxDescriptors = descriptorLimit(cfg.Limits.Sockets)
	if cfg.Limits.Sockets > n.maxDescriptors {
		cfg.Limits.Sockets = n.maxDescriptors
	}
	if cfg.OperatorAddr != "" {
		n.admin = newAdminServer(log, n.maxDescriptors, n.commands)
	}
	n.clients = newClients(cfg, log, n.events)
	n.trace, n.guard, n.clock = newTracer(log, n.directory), n.clients.guard, n.clients.clock
	return n
}

// shareDescriptors shares the descriptors out between clients, operators and calls, which may bound the slots.
func (n *Node) shareDescriptors() {
	operators := 0
	if n.admin != nil {
		operators = n.admin.maxConns
	}
	set := &n.cfg.Deployment.Settings
	calls := n.clients.shareDescriptors(n.maxDescriptors, operators)
	if set.Slots > calls {
		n.log.Warn("configuration", "err",
			fmt.Sprintf("%d slots do not go with %d descriptors, taken for %d", set.Slots, n.maxDescriptors, calls))
		set.Slots = calls
	}
}

// logSettings writes what decides most of what the sender does.
func (n *Node) logSettings() {
	set := &n.cfg.Deployment.Settings
	n.log.Info("settings", "on_request", set.ListOnRequest, "senders", set.Senders, "drain_grace", toDuration(set.DrainGrace).String(),
		"slots", set.Slots, "max_open", set.MaxOpen, "known", len(n.cfg.KnownList.Instances), "generation", n.cfg.KnownList.Generation)
}

// acquireState makes this process the owner of the state and replays the journal; errLocked if another one is.
func (n *Node) acquireState() (err error) {
	_, none := os.Stat(filepath.Join(n.cfg.StateDir, lockFileName))
	if n.lockFile, err = lockState(n.cfg.StateDir); err != nil {
		return err
	}
	n.journal, err = n.openJournal()
	n.restarted = none == nil || err == nil && n.journal.size > 0
	if err == nil && n.journal.truncatedBytes > 0 {
		n.log.Warn("journal was not whole", "cut", n.journal.truncatedBytes)
	}
	return err
}

// newDiscoveryClient is the client that watches the list for this sender.
func (n *Node) newDiscoveryClient() *discovery.Client {
	set := &n.cfg.Deployment.Settings
	return discovery.NewClient(discovery.Config{Addr: n.cfg.DiscoveryAddr, Senders: set.Senders, Pushed: set.ListPushed, DrainGrace: toDuration(set.DrainGrace),
		Seed: n.cfg.Seed, MaxAnswerBytes: n.cfg.Limits.maxListBytes(), Directory: n.directory, Store: n.listStore, Log: n.log}, n.events)
}

// target is where an endpoint can be reached; without an address if it never had one.
func (n *Node) target(ep logic.EndpointID) discovery.Target {
	t, _ := n.directory.Target(ep)
	return t
}

func (n *Node) openJournal() (*Journal, error) {
	return OpenJournal(n.cfg.StateDir, n.cfg.Limits.diskBytes())
}

// MoveDiscovery takes another address of discovery, for the list and for notices. It may be called at any time.
func (n *Node) MoveDiscovery(addr string) {
	n.log.Info("discovery has moved", "addr", addr)
	n.watcher.SetAddress(addr)
	n.notices.setAddr(addr)
	select {
	case n.discoveryMoves <- struct{}{}:
	default: // a token is there already
	}
}

func toDuration(t logic.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

func toMicros(d time.Duration) logic.Micros {
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
	if err := n.acquireMessages(ctx, work); err != nil {
		if ctx.Err() != nil {
			return nil // stopped while it waited for its turn
		}
		return err
	}
	ln := n.listener
	if err := n.listenForSuccessors(work); err != nil {
		n.log.Error("no handover to a new process will be possible", "err", err)
	}
	if !n.cfg.Deployment.Settings.ListOnRequest {
		n.watchList(work) // the module is told of changes without asking; on a socket somebody must ask
	}
	go n.notices.run(work)
	go n.clients.serve(ln)
	n.setReadiness(nil)
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
		exitBy = at.Add(shutdownClientTimeout)
		n.setReadiness(errStopping)
		n.events <- closingEvent{shutdownSendTimeout}
		time.Sleep(shutdownAcceptTime)
		ln.Close()
		grace, end := context.WithDeadline(work, at.Add(shutdownLoopTimeout))
		defer end()
		n.clients.shutdown(grace)
		close(served)
		<-grace.Done()
		close(stopped)
	}()
	err = n.loop(work, served, stopped)
	if errors.Is(err, errHandedOver) {
		cancel()
		n.finishAfterHandover(ctx)
		return nil
	}
	n.drainClients(exitBy)
	n.log.Info("stopped", "owed", len(n.journal.entries), "violations", n.guard.violationTotal())
	return err
}

// acquireMessages makes this process the owner of the messages and opens the way to clients: alone, or with all that another
// process hands over.
func (n *Node) acquireMessages(ctx, work context.Context) error {
	var l *takeover
	var err error
	if n.journal == nil {
		if l, err = n.takeOver(ctx); err != nil {
			return err
		}
	}
	if l != nil {
		n.listener = l.listener
		l.acknowledge()
		n.adopt(work, l)
		n.step(work)
		n.watchList(work) // the module takes the watch for begun
		return nil
	}
	n.resumeFromJournal()
	n.step(work) // what the journal holds comes first: its ends are due
	if n.listener, err = listenShared(ctx, n.cfg.ListenAddr); err != nil {
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

// listenForSuccessors lets new processes ask to take over, until work is over.
func (n *Node) listenForSuccessors(work context.Context) error {
	ln, err := listenHandover(n.cfg.StateDir)
	if err != nil {
		return err
	}
	go n.acceptSuccessors(work, ln)
	return nil
}

// finishAfterHandover ends what stays here after a handover: requests that were half read, and operators that call this process
// still.
func (n *Node) finishAfterHandover(ctx context.Context) {
	n.close() // the lock is the successor's now
	grace, end := context.WithTimeout(context.Background(), shutdownLoopTimeout)
	defer end()
	n.clients.shutdown(grace)
	n.clients.reportUnanswered()
	select {
	case <-ctx.Done():
	case <-time.After(adminLingerTime):
	}
	n.log.Info("stopped after the handover")
}

// close gives up what a process owns. It may be called twice.
func (n *Node) close() {
	if n.journal != nil {
		n.journal.Close()
	}
	if n.lockFile != nil {
		n.lockFile.Close()
	}
}

// openAdmin lets operators call, where an address for them is given, until the returned function has been called.
func (n *Node) openAdmin() (end func(), err error) {
	if n.admin == nil {
		return func() {}, nil
	}
	ln, err := n.admin.listen(n.cfg.OperatorAddr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	closed := make(chan struct{})
	go func() { defer close(closed); n.admin.serve(ctx, ln) }()
	n.log.Info("admin server", "addr", ln.Addr().String())
	return func() { cancel(); <-closed }, nil
}

// setReadiness tells operators that this process can serve, or why it cannot.
func (n *Node) setReadiness(err error) {
	if n.admin != nil {
		n.admin.setReadiness(err)
	}
}
