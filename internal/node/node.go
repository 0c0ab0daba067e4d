package node

// The sender: its parts, its start from the journal or by a takeover, and its shutdown.

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"crossdeal/internal/clock"
	"crossdeal/internal/discovery"
	"crossdeal/internal/httpconn"
	"crossdeal/logic"
)

// writeRequest asks the loop for permission to write a call on a new connection. The journal must have the opSend
// record first: the next process that reads it must see a call that only connected as one that never ran, and a call
// that was written as one that may have run.
type writeRequest struct {
	call   *call
	answer chan<- bool
}

// listWatcher watches the endpoint list. It reports updates, failures and the progress of its requests, each with a
// discovery.Event.
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
	extraBytes       *httpconn.ExtraBytesLog
	directory        *discovery.Directory
	listStore        *discovery.Store
	watcher          listWatcher
	notices          *noticeQueue
	clients          *clients
	admin            *adminServer // nil where no operator address is given
	events           chan any
	commands         chan operatorCommand
	successors       chan successor
	noHandoverBefore time.Time         // a state transfer has failed; the next one not before this time
	discoveryMoves   chan struct{}     // holds a token when the address of discovery has changed
	writeRequests    chan writeRequest // calls that have connected and ask to be written
	maxDescriptors   int               // file descriptors that this process and its successor may hold together
	lockFile         *os.File
	restarted        bool // the state folder has been in use before: this is a restart
	stateChecked     bool // restarted is set
	listener         net.Listener
	ready            chan net.Addr // gets the address once clients are served

	// Used by the loop only.
	decidedAt      time.Time // when the decision logic decided on the actions that are being executed
	clockOrigin    time.Time // when the clock of the decision logic was at 0; a handover keeps it
	held           map[string]*heldMessage
	openMessages   int                  // those of held that have not ended
	recentIDs      map[string]time.Time // ids of accepted messages that have ended, each until its deadline
	nextEvents     []logic.Event        // for the next step
	watching       bool
	listGeneration int64 // of the list that the decision logic has
	closing        bool
	newPuts        []putEvent
	pendingRecords []record
	unsaved        unsaved
}

// New makes a sender and replays its journal. If another process owns the state, New leaves the journal alone, and Run
// takes over from that process. If the state folder fails, Run waits until it does not.
func New(cfg *Config, log *slog.Logger) (*Node, error) {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	for _, warning := range cfg.Warnings {
		log.Warn("configuration", "err", warning)
	}
	setMembershipMode(&cfg.Deployment.Settings)
	n := newNode(cfg, log)
	n.shareDescriptors()
	settings := &cfg.Deployment.Settings
	var err error
	if n.sender, err = logic.New(*settings, cfg.Seed); err != nil {
		return nil, err
	}
	n.transport = newTransport(toDuration(cfg.Deployment.ConnectTimeout), toDuration(settings.ConnIdle), settings.Slots, n.maxDescriptors/4, n.extraBytes.Report)
	n.transport.clients = n.clients
	n.listStore = discovery.OpenStore(cfg.StateDir, cfg.Limits.listStoreBytes(), log)
	n.watcher = n.newDiscoveryClient()
	n.notices = newNoticeQueue(cfg.DiscoveryAddr, log, n.events, n.extraBytes.Report)
	n.logSettings()
	if err := n.acquireState(); err != nil && !errors.Is(err, errStateLocked) {
		log.Error("the state folder fails, trying again", "err", err) // Run waits for it
	}
	return n, nil
}

// setMembershipMode sets the list settings of the decision logic that depend on how the list arrives.
func setMembershipMode(settings *logic.Settings) {
	settings.ListPushed = !settings.ListOnRequest
	if settings.ListPushed {
		return
	}
	settings.MaxAnsweredListAge = toMicros(discovery.MaxListAge) + settings.DrainGrace
	if settings.Senders >= discovery.SpreadMinSenders { // list requests are spread out then
		settings.MaxListAge = settings.MaxAnsweredListAge
	}
}

// newNode makes a sender with its channels and tables, its client server and its admin server.
func newNode(cfg *Config, log *slog.Logger) *Node {
	n := &Node{cfg: cfg, log: log, clockOrigin: time.Now(),
		extraBytes:     httpconn.NewExtraBytesLog(log),
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

// shareDescriptors divides the descriptors between clients, operators and calls. This may lower the number of slots.
func (n *Node) shareDescriptors() {
	operators := 0
	if n.admin != nil {
		operators = n.admin.maxConns
	}
	settings := &n.cfg.Deployment.Settings
	calls := n.clients.shareDescriptors(n.maxDescriptors, operators)
	if settings.Slots > calls {
		n.log.Warn("configuration", "err",
			fmt.Sprintf("%d slots exceed what %d descriptors allow; using %d", settings.Slots, n.maxDescriptors, calls))
		settings.Slots = calls
	}
}

// logSettings logs the settings that matter most for what the sender does.
func (n *Node) logSettings() {
	settings := &n.cfg.Deployment.Settings
	n.log.Info("settings", "on_request", settings.ListOnRequest, "senders", settings.Senders,
		"drain_grace", toDuration(settings.DrainGrace).String(), "slots", settings.Slots, "max_open", settings.MaxOpen, "known", len(n.cfg.KnownList.Instances), "generation", n.cfg.KnownList.Generation)
}

// acquireState makes this process the owner of the state and replays the journal. It returns errStateLocked if another
// process is the owner; after another error it may be called again.
func (n *Node) acquireState() (err error) {
	if !n.stateChecked {
		_, err := os.Stat(filepath.Join(n.cfg.StateDir, lockFileName))
		n.restarted = err == nil
		n.stateChecked = err == nil || errors.Is(err, fs.ErrNotExist)
	}
	if n.lockFile == nil {
		if n.lockFile, err = lockState(n.cfg.StateDir); err != nil {
			return err
		}
	}
	if n.journal, err = n.openJournal(); err != nil {
		return err
	}
	n.restarted = n.restarted || n.journal.size > 0
	if n.journal.truncatedBytes > 0 {
		n.log.Warn("journal was not whole", "cut", n.journal.truncatedBytes)
	}
	return nil
}

// newDiscoveryClient returns the client that watches the endpoint list for this sender.
func (n *Node) newDiscoveryClient() *discovery.Client {
	settings := &n.cfg.Deployment.Settings
	return discovery.NewClient(discovery.Config{Addr: n.cfg.DiscoveryAddr, Senders: settings.Senders,
		Pushed: settings.ListPushed, DrainGrace: toDuration(settings.DrainGrace), Seed: n.cfg.Seed, MaxAnswerBytes: n.cfg.Limits.maxListBytes(), Directory: n.directory, Store: n.listStore, Log: n.log,
		OnExtraBytes: n.extraBytes.Report}, n.events)
}

// target returns where an endpoint can be reached; without an address if it never had one.
func (n *Node) target(endpoint logic.EndpointID) discovery.Target {
	t, _ := n.directory.Target(endpoint)
	return t
}

func (n *Node) openJournal() (*Journal, error) {
	return OpenJournal(n.cfg.StateDir, n.cfg.Limits.diskBytes())
}

// MoveDiscovery sets another address of discovery, for the list and for notices. It may be called at any time.
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

// Run serves until ctx is cancelled and then shuts down gracefully, or until a successor has taken over.
func (n *Node) Run(ctx context.Context) error {
	// work ends when Run returns. ctx may be done earlier, and then starts the shutdown, during which work continues.
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer n.close()
	endAdmin, err := n.openAdmin(ctx)
	if err != nil {
		if ctx.Err() != nil {
			return nil // stopped while it waited for the address
		}
		return err
	}
	defer endAdmin()
	if err := n.acquireMessages(ctx, work); err != nil {
		if ctx.Err() != nil {
			return nil // stopped while it waited for the state or an address
		}
		return err
	}
	ln := n.listener
	n.listenForSuccessors(work)
	if !n.cfg.Deployment.Settings.ListOnRequest {
		n.watchList(work) // the decision logic does not ask for a pushed list; over HTTP the sender has to request it
	}
	go n.notices.run(work)
	go n.clients.serve(ln)
	n.setReadiness(nil)
	n.log.Info("ready", "name", n.cfg.Name, "addr", ln.Addr().String(), "held", len(n.held))
	n.ready <- ln.Addr()
	served := make(chan struct{}) // closed when no client is connected
	stopped := make(chan struct{})
	var exitBy time.Time // set before stopped or served is closed
	go func() {
		select {
		case <-ctx.Done():
		case <-work.Done():
			return
		}
		stoppedAt := time.Now()
		exitBy = stoppedAt.Add(shutdownClientTimeout)
		n.setReadiness(errStopping)
		n.events <- closingEvent{shutdownSendTimeout}
		time.Sleep(shutdownAcceptTime)
		ln.Close()
		grace, endGrace := context.WithDeadline(work, stoppedAt.Add(shutdownLoopTimeout))
		defer endGrace()
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
	n.answerRefusals()
	n.answerLateMessages(exitBy)
	n.log.Info("stopped", "owed", len(n.journal.entries), "violations", n.guard.violationTotal())
	return err
}

// acquireMessages makes this process the owner of the messages and sets the listener: from the journal alone, or with
// all that another process hands over.
func (n *Node) acquireMessages(ctx, work context.Context) error {
	var t *takeover
	var err error
	if n.journal == nil {
		if t, err = n.takeOver(ctx); err != nil {
			return err
		}
	}
	if t != nil {
		n.listener = t.listener
		t.acknowledge()
		n.adopt(work, t)
		n.step(work)
		n.watchList(work) // the decision logic assumes that the watch has begun
		return nil
	}
	n.resumeFromJournal()
	n.step(work) // the journal's messages come before any client: their ends may be due
	n.listener, err = listenPatiently(ctx, n.log, func() (net.Listener, error) { return listenShared(ctx, n.cfg.ListenAddr) })
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return nil
}

// listenShared listens on an address on which another process of this sender may be listening too.
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

// listenForSuccessors accepts requests of new processes to take over, until work is done. While the handover socket
// cannot be opened it tries again: no handover is possible until then.
func (n *Node) listenForSuccessors(work context.Context) {
	ln, err := listenHandover(n.cfg.StateDir)
	if err == nil {
		go n.acceptSuccessors(work, ln)
		return
	}
	n.log.Error("no handover to a new process is possible, trying again", "err", err)
	time.AfterFunc(handoverListenRetryDelay, func() {
		if work.Err() == nil {
			n.listenForSuccessors(work)
		}
	})
}

// finishAfterHandover ends what stays in this process after a handover: clients with partially read requests, and
// operators that still call the old address.
func (n *Node) finishAfterHandover(ctx context.Context) {
	n.close() // the successor owns the lock
	grace, endGrace := context.WithTimeout(context.Background(), shutdownLoopTimeout)
	defer endGrace()
	n.clients.shutdown(grace)
	n.clients.reportUnanswered()
	select {
	case <-ctx.Done():
	case <-time.After(adminLingerTime):
	}
	n.log.Info("stopped after the handover")
}

// close closes the journal and the lock file. It may be called twice.
func (n *Node) close() {
	if n.journal != nil {
		n.journal.Close()
	}
	if n.lockFile != nil {
		n.lockFile.Close()
	}
}

// openAdmin serves operators, if an address for them is configured, until the returned function has been called.
func (n *Node) openAdmin(ctx context.Context) (end func(), err error) {
	if n.admin == nil {
		return func() {}, nil
	}
	ln, err := listenPatiently(ctx, n.log, func() (net.Listener, error) { return n.admin.listen(n.cfg.OperatorAddr) })
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	closed := make(chan struct{})
	go func() { defer close(closed); n.admin.serve(ctx, ln) }()
	n.log.Info("admin server", "addr", ln.Addr().String())
	return func() { cancel(); <-closed }, nil
}

// setReadiness sets what operators see: that this process can serve, or why it cannot.
func (n *Node) setReadiness(err error) {
	if n.admin != nil {
		n.admin.setReadiness(err)
	}
}
