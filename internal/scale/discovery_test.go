package scale

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"crossdeal/internal/discovery"
	"crossdeal/internal/scale/standin"
	"crossdeal/internal/wire"
	"crossdeal/logic"
)

const (
	controlMachines  = 5     // for control
	controlBandwidth = 125e6 // bytes a second: what a control machine is taken to send at most (1 Gbit/s)
	inForceLimit     = TargetInForceSeconds * time.Second
	// A change counts as told 6 s after discovery had it and could be reached; what it ends may go on for the grace.
	reachableInForceLimit  = 6*time.Second + drainGrace
	drainGrace             = time.Second // as in listSettings
	maxRetryCallsPerMinute = 30          // calls a minute of one of many senders whose answers can't be taken, at most
	maxDirectoryEntries    = 2_000_000   // of all directories of a fleet; above, its senders share one
	manySenders            = 17          // senders from which on the module takes them for many
)

// settingsJSON are the platform's settings for so many senders, as JSON.
func settingsJSON(senders int) string {
	return fmt.Sprintf(`{"balancers":%d,"me":0,"zone":0,"zones":["a","b","c","d","e","f"],"tick_s":0.005,"membership_mode":"on_request",
"weights":"nominal","over_share_worth":0.2,"machine_types":["std"],
"classes":[{"name":"safe","aim_s":2,"deadline_s":16,"worth":1,"late_worth":0.4,"idempotency":"retryable","group":"all","window_s":5}],
"tenants":[{"name":"acme","quota_rps":100}],
"limits":{"conn_idle_s":10,"connect_timeout_s":1.5,"max_attempts":3,"max_open":800,"max_retry_after_s":2,"multiplex":1,
"may_cancel":true,"probing":true,"retry_after":true,"second_copies":false},
"load_info":{"how":"off","names":[]},
"rules":{"cold_from":0.2,"drain_grace_s":1,"fall_multiple":2,"fall_s":3,"warm_after_s":14},
"specifics":{"batch_by_kind":[1],"call_slots":24,"late":"halves","separate_routes":[false]}}`, senders)
}

// memoryLimitMB is how many MB a sender of such a list is told it may have.
func memoryLimitMB(entries int) int {
	if entries > TargetDestinations {
		return 512
	}
	return 192
}

// listRows is a list with one endpoint for each destination.
func listRows(entries int) []standin.Row {
	return standin.MakeRows(entries, 1, []string{"a", "b", "c", "d", "e", "f"}, []string{"std"}, nil)
}

// listFleet is a fleet of senders that do nothing but keep the list: the real client, directory and module, on a
// network in memory, under a virtual clock. Modules are told of the list's events but not of its entries, which when
// to ask does not depend on.
type listFleet struct {
	t               *testing.T
	deployment      wire.Deployment
	discovery       *standin.Discovery
	network         *standin.Network
	senders         []*listSender
	sharedDirectory *discovery.Directory // nil if each sender has its own
	done            chan struct{}
	running         sync.WaitGroup

	bandwidth      float64 // of a control machine, in bytes a second
	maxAnswerBytes int64   // of an answer that a sender reads
	closers        []func()

	mu      sync.Mutex
	dials   int64
	changes []*listChange // in the order of their versions
}

// listChange is a change and when it was in force at all senders.
type listChange struct {
	generation    int64
	changedAt     time.Time
	pending       map[*listSender]bool // where it is not in force
	lastInForceAt time.Time            // when it came to be at the latest one so far
}

const (
	discoveryAddr      = "discovery:8500"
	movedDiscoveryAddr = "discovery-2:8500"
)

// runListFleet plays a scenario in a bubble of virtual time.
func runListFleet(t *testing.T, senders, entries int, bandwidth float64, play func(f *listFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		deploy, err := wire.ParseDeployment([]byte(settingsJSON(senders)))
		if err == nil {
			err = deploy.InvalidValues
		}
		if err != nil {
			t.Fatal(err)
		}
		f := &listFleet{t: t, deployment: deploy, network: standin.NewNetwork(), done: make(chan struct{}), bandwidth: bandwidth,
			maxAnswerBytes: int64(memoryLimitMB(entries)) << 20 / 8} // as the sender has it
		f.discovery = f.startDiscovery(discoveryAddr, standin.Config{Rows: listRows(entries), Generation: 1000})
		if senders*entries > maxDirectoryEntries {
			f.sharedDirectory = f.newDirectory()
		}
		for i := range senders {
			f.senders = append(f.senders, &listSender{fleet: f, name: fmt.Sprintf("n%d", i), seed: uint64(i) + 1})
		}
		defer f.close()
		play(f)
	})
}

func (f *listFleet) startDiscovery(addr string, cfg standin.Config) *standin.Discovery {
	cfg.Machines, cfg.Bandwidth = controlMachines, f.bandwidth
	d := standin.New(cfg)
	ln, err := f.network.Listen(addr)
	if err != nil {
		f.t.Fatal(err)
	}
	f.running.Go(func() { d.Serve(ln, "") })
	f.closers = append(f.closers, func() { ln.Close(); d.Close() })
	return d
}

func (f *listFleet) close() {
	for _, s := range f.senders {
		s.kill()
	}
	for _, c := range f.closers {
		c()
	}
	close(f.done)
	f.running.Wait()
}

func (f *listFleet) newDirectory() *discovery.Directory {
	return discovery.NewDirectory(f.deployment.Zones, f.deployment.Settings.Kinds)
}

// changeEntry changes an entry and has the fleet watched for it.
func (f *listFleet) changeEntry(d *standin.Discovery, i int) *listChange {
	r := d.Row(i)
	host, _, _ := strings.Cut(r.HostPort, ":")
	r.HostPort = fmt.Sprintf("%s:%d", host, 10_000+d.Generation()%50_000)
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &listChange{changedAt: time.Now(), pending: map[*listSender]bool{}}
	for _, s := range f.senders {
		c.pending[s] = true
	}
	c.generation = d.Set(r)
	c.lastInForceAt = c.changedAt
	f.changes = append(f.changes, c)
	return c
}

// recordInForce notes that a sender has a version in force.
func (f *listFleet) recordInForce(s *listSender, gen int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.generation = gen
	now := time.Now()
	for i := len(f.changes) - 1; i >= 0; i-- {
		c := f.changes[i]
		if c.generation > gen {
			continue
		}
		if !c.pending[s] {
			if len(c.pending) == 0 {
				break
			}
			continue
		}
		delete(c.pending, s)
		c.lastInForceAt = now
	}
}

// waitUntil waits until a condition, which is looked at under the fleet's lock, holds, or until the target's time is over.
func (f *listFleet) waitUntil(holds func() bool) {
	for over := time.Now().Add(inForceLimit); time.Now().Before(over); time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		done := holds()
		f.mu.Unlock()
		if done {
			return
		}
	}
}

// slowestChange is how long a change took until it was in force at the slowest sender, over all changes; it fails the test
// if one is not.
func (f *listFleet) slowestChange(what string) time.Duration {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	most := time.Duration(0)
	for _, c := range f.changes {
		if len(c.pending) > 0 {
			f.t.Errorf("%s: change %d is not in force at %d of %d senders after %v", what, c.generation, len(c.pending),
				len(f.senders), time.Since(c.changedAt))
			continue
		}
		most = max(most, c.lastInForceAt.Sub(c.changedAt))
	}
	return most
}

// checkDirectories checks that each directory holds what discovery has; where they are shared, the one.
func (f *listFleet) checkDirectories(d *standin.Discovery, entries int) {
	f.t.Helper()
	for _, s := range f.senders {
		off := 0
		for i := range entries {
			r := d.Row(i)
			if to, _ := s.directory.Target(s.directory.AssignID(r.ID)); to.Address != r.HostPort || to.Destination != r.Destination {
				off++
			}
		}
		if off > 0 {
			f.t.Errorf("%s: %d of %d entries are not as discovery has them", s.name, off, entries)
		}
		if f.sharedDirectory != nil {
			return
		}
	}
}

// listSender is one sender.
type listSender struct {
	fleet          *listFleet
	name           string
	seed           uint64
	directory      *discovery.Directory
	client         *discovery.Client
	cancel         context.CancelFunc // of the process that runs; nil if none does
	events         chan any
	discoveryMoved chan struct{}
	generation     int64 // of the list that is in force; 0 if there is none
}

// start starts a process. What it begins with is what is left in s.dir, version gen; below 0 it has no list.
func (s *listSender) start(gen int64, restart bool) {
	f := s.fleet
	set := f.deployment.Settings
	if set.Senders >= discovery.SpreadMinSenders {
		set.MaxListAge = logic.Micros(discovery.MaxListAge/time.Microsecond) + set.DrainGrace
	}
	s.seed += 1 << 20 // new with each start
	module, err := logic.New(set, s.seed)
	if err != nil {
		f.t.Fatal(err)
	}
	if f.sharedDirectory != nil {
		s.directory = f.sharedDirectory
	} else if s.directory == nil || gen < 0 {
		s.directory = f.newDirectory()
	}
	ctx, end := context.WithCancel(context.Background())
	s.cancel, s.events, s.discoveryMoved = end, make(chan any, 64), make(chan struct{}, 1)
	s.client = discovery.NewClient(discovery.Config{Addr: discoveryAddr, Senders: set.Senders,
		DrainGrace: time.Duration(set.DrainGrace) * time.Microsecond, Seed: s.seed, MaxAnswerBytes: f.maxAnswerBytes, Directory: s.directory, Log: slog.New(slog.DiscardHandler),
		Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			f.mu.Lock()
			f.dials++
			f.mu.Unlock()
			ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
			defer cancel()
			return f.network.Dial(ctx, s.name, addr)
		}}, s.events)
	s.generation = max(gen, 0)
	s.client.SetInitialState(gen, restart)
	f.running.Go(func() { s.run(ctx, module, gen, restart, s.events) })
}

// kill ends the process; what it has learned stays for the next.
func (s *listSender) kill() {
	if s.cancel != nil {
		s.cancel()
		s.cancel = nil
		synctest.Wait()
	}
}

// moveDiscovery tells the process of another address, as a SIGHUP does.
func (s *listSender) moveDiscovery(addr string) {
	s.client.SetAddress(addr)
	select {
	case s.discoveryMoved <- struct{}{}:
	default:
	}
}

// run is the loop of a process, as far as the list is concerned.
func (s *listSender) run(ctx context.Context, module *logic.Sender, gen int64, restart bool, events chan any) {
	client, begin := s.client, time.Now()
	defer func() { // what the client still has to say
		s.fleet.running.Go(func() {
			for {
				select {
				case ev := <-events:
					if x, ok := ev.(discovery.Event); ok && x.Done != nil {
						x.Done()
					}
				case <-s.fleet.done:
					return
				}
			}
		})
	}()
	var next []logic.Event
	if gen >= 0 {
		next = append(next, logic.ListUpdate{Form: logic.ListCached, Stale: restart})
	}
	watching, reached := false, int64(0)
	for {
		now := logic.Micros(time.Since(begin) / time.Microsecond)
		for _, a := range module.Step(now, next) {
			switch a := a.(type) {
			case logic.Listen:
				if !watching {
					watching = true
					s.fleet.running.Go(func() { client.Watch(ctx) })
				}
			case logic.SetTimer:
				time.AfterFunc(time.Duration(a.Wait)*time.Microsecond, func() {
					select {
					case events <- logic.TimerExpired{Token: a.Token}:
					case <-ctx.Done():
					}
				})
			}
		}
		next = nil
		if reached > 0 {
			s.fleet.recordInForce(s, reached)
			reached = 0
		}
		time.Sleep(time.Duration(s.fleet.deployment.Settings.Tick) * time.Microsecond)
		select {
		case <-ctx.Done():
			return
		case <-s.discoveryMoved:
			if !watching {
				next = append(next, logic.DiscoveryMoved{})
			}
		case ev := <-events:
			switch ev := ev.(type) {
			case logic.TimerExpired:
				next = append(next, ev)
			case discovery.Event:
				switch {
				case ev.Err != nil:
					watching = false
					next = append(next, logic.ListUpdate{Form: logic.ListRequestFailed})
					if client.AddressChanged() {
						next = append(next, logic.DiscoveryMoved{})
					}
				case ev.WatchAccepted:
					next = append(next, logic.ListUpdate{Form: logic.ListWatchOpen})
				default:
					s.directory.Apply(&ev.Update, time.Now())
					if ev.Done != nil {
						ev.Done()
					}
					reached = ev.Update.Generation
					next = append(next, logic.ListUpdate{Form: logic.ListDelta})
				}
			}
		}
	}
}

// startWithList starts all with the list that discovery has, spread over the time of a watch, and lets them settle.
func (f *listFleet) startWithList(entries int) {
	gen := f.discovery.Generation()
	fill := func() *discovery.Directory {
		d := f.newDirectory()
		u := d.Diff(discovery.List{Generation: gen, Reset: true, Instances: instancesOf(f.discovery, entries)})
		d.Apply(&u, time.Now())
		return d
	}
	if f.sharedDirectory != nil {
		f.sharedDirectory = fill()
	}
	rng := rand.New(rand.NewPCG(7, 7))
	var wg sync.WaitGroup
	for _, s := range f.senders {
		if f.sharedDirectory == nil {
			s.directory = fill()
		}
		at := time.Duration(rng.Int64N(int64(20 * time.Second)))
		wg.Go(func() {
			time.Sleep(at)
			s.start(gen, false)
		})
	}
	wg.Wait()
	time.Sleep(time.Minute)
	f.discovery.ResetStats()
	f.mu.Lock()
	f.dials = 0
	f.mu.Unlock()
}

func instancesOf(d *standin.Discovery, entries int) []discovery.Instance {
	rows := make([]discovery.Instance, entries)
	for i := range rows {
		r := d.Row(i)
		rows[i] = discovery.Instance{ID: r.ID, HostPort: r.HostPort, Zone: r.Zone, Kind: r.MachineType, Destination: r.Destination,
			Lifecycle: r.Lifecycle, Weight: r.Weight}
	}
	return rows
}

// listResult is what a scenario showed.
type listResult struct {
	senders, entries int
	stats            standin.TrafficStats // from the moment that the scenario is about
	slowestChange    time.Duration
	allListsAfter    time.Duration // until all had a list again
	dials            int64
	cpuTime          time.Duration // of the process: fleet and stand-in together
	wallTime         time.Duration
	listSize         int // of the whole list, in bytes
	sharedDirectory  bool
}

// senderTraffic is the mean rate of a sender in bytes a second.
func (r *listResult) senderTraffic() float64 {
	return float64(r.stats.Total.Bytes()) / r.stats.Elapsed.Seconds() / float64(r.senders)
}

// machineTraffic is what one of the control machines carries, in bytes a second.
func (r *listResult) machineTraffic() float64 {
	return float64(r.stats.Total.Bytes()) / r.stats.Elapsed.Seconds() / controlMachines
}

// maxSenderTraffic is the rate of the sender that had the most, in bytes a second.
func (r *listResult) maxSenderTraffic() float64 {
	return float64(r.stats.PeakSender.Bytes()) / r.stats.Elapsed.Seconds()
}

// runListScenario plays something and says what came of it.
func runListScenario(t *testing.T, senders, entries int, play func(f *listFleet, r *listResult)) *listResult {
	t.Helper()
	return runListScenarioAtBandwidth(t, senders, entries, controlBandwidth, play)
}

// runListScenarioAtBandwidth is one with another bandwidth of the control machines.
func runListScenarioAtBandwidth(t *testing.T, senders, entries int, bandwidth float64, play func(f *listFleet, r *listResult)) *listResult {
	t.Helper()
	r := &listResult{senders: senders, entries: entries}
	begin := time.Now()
	cpu := CPUTime()
	runListFleet(t, senders, entries, bandwidth, func(f *listFleet) {
		r.sharedDirectory = f.sharedDirectory != nil
		play(f, r)
		r.listSize = f.discovery.ListSize()
		if r.stats.Elapsed == 0 {
			r.stats, r.dials = f.discovery.Stats(), f.dials
		}
	})
	r.cpuTime, r.wallTime = CPUTime()-cpu, time.Since(begin)
	return r
}

// ordinaryDay plays some of it: changes at random times, at the day's rate, and restarts: one with the list that it
// saved, and one on a machine that lost its disk.
func ordinaryDay(t *testing.T, senders, entries int, span time.Duration) *listResult {
	return runListScenario(t, senders, entries, func(f *listFleet, r *listResult) {
		f.startWithList(entries)
		rng := rand.New(rand.NewPCG(11, uint64(senders)))
		over := time.Now().Add(span)
		saved, lost := time.Now().Add(span/3), time.Now().Add(span*5/6)
		again := func(at *time.Time, s *listSender, saves bool) {
			if at.IsZero() || time.Now().Before(*at) {
				return
			}
			*at = time.Time{}
			gen := s.generation
			if !saves {
				gen = -1
			}
			s.kill()
			time.Sleep(600 * time.Millisecond)
			s.start(gen, saves)
		}
		for time.Now().Before(over) {
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(24*time.Hour) / TargetChangesPerDay))
			f.changeEntry(f.discovery, rng.IntN(entries))
			again(&saved, f.senders[0], true)
			again(&lost, f.senders[len(f.senders)-1], false)
		}
		time.Sleep(inForceLimit)
		r.slowestChange = f.slowestChange("ordinary day")
		f.checkDirectories(f.discovery, entries)
	})
}

// startAll starts all processes in the same moment: with the list that they saved, which 20 changes have gone over,
// or with none.
func startAll(t *testing.T, senders, entries int, restart, saved bool) *listResult {
	return runListScenario(t, senders, entries, func(f *listFleet, r *listResult) {
		if restart {
			f.startWithList(entries)
			for _, s := range f.senders {
				s.kill()
			}
			for range 20 {
				f.discovery.Set(f.discovery.Row(int(f.discovery.Generation()) % entries))
			}
		}
		f.discovery.ResetStats()
		f.dials = 0
		begin := time.Now()
		for _, s := range f.senders {
			gen := s.generation
			if !saved {
				gen = -1
			}
			s.start(gen, restart)
		}
		first := f.changeEntry(f.discovery, entries/2)
		time.Sleep(10 * time.Second)
		f.changeEntry(f.discovery, entries/3)
		time.Sleep(50 * time.Second)
		r.slowestChange = f.slowestChange("start of all")
		r.allListsAfter = first.lastInForceAt.Sub(begin)
		f.checkDirectories(f.discovery, entries)
	})
}

// startAllAtTargetBandwidth starts all with no list where the control machines have as little bandwidth for each as they have at the
// target: with 100,000 entries each list is under way for some 13 s when all 540 ask at once.
func startAllAtTargetBandwidth(t *testing.T, senders, entries int) *listResult {
	bandwidth := controlBandwidth * float64(senders) / TargetSenders
	return runListScenarioAtBandwidth(t, senders, entries, bandwidth, func(f *listFleet, r *listResult) {
		begin := time.Now()
		for _, s := range f.senders {
			s.start(-1, false)
		}
		first := f.changeEntry(f.discovery, entries/2)
		time.Sleep(time.Minute)
		r.slowestChange = f.slowestChange("crowded start")
		r.allListsAfter = first.lastInForceAt.Sub(begin)
		f.checkDirectories(f.discovery, entries)
	})
}

// stalledWatches lets the watches of all fall silent at once, so soon after news that all have just been opened.
func stalledWatches(t *testing.T, senders, entries int) *listResult {
	return runListScenario(t, senders, entries, func(f *listFleet, r *listResult) {
		f.startWithList(entries)
		f.changeEntry(f.discovery, 1)
		time.Sleep(500 * time.Millisecond)
		f.discovery.ResetStats()
		f.discovery.StallWatches()
		time.Sleep(500 * time.Millisecond)
		f.changeEntry(f.discovery, 2)
		time.Sleep(time.Minute)
		f.changeEntry(f.discovery, 3)
		time.Sleep(time.Minute)
		r.slowestChange = f.slowestChange("lost watch")
		f.checkDirectories(f.discovery, entries)
	})
}

// partitionedFleet cuts all senders off from discovery for a minute. What changed meanwhile counts from the return on.
func partitionedFleet(t *testing.T, senders, entries int) *listResult {
	return runListScenario(t, senders, entries, func(f *listFleet, r *listResult) {
		f.startWithList(entries)
		f.network.Partition(func(string) bool { return true })
		time.Sleep(time.Minute)
		f.network.Partition(nil)
		f.discovery.ResetStats()
		first := f.changeEntry(f.discovery, 1)
		time.Sleep(time.Minute)
		f.changeEntry(f.discovery, 2)
		time.Sleep(time.Minute)
		r.slowestChange = f.slowestChange("region cut")
		r.allListsAfter = first.lastInForceAt.Sub(first.changedAt)
		f.checkDirectories(f.discovery, entries)
	})
}

// movedDiscovery moves discovery to an address with versions of its own: all need the whole list there.
func movedDiscovery(t *testing.T, senders, entries int) *listResult {
	return runListScenario(t, senders, entries, func(f *listFleet, r *listResult) {
		f.startWithList(entries)
		next := f.startDiscovery(movedDiscoveryAddr, standin.Config{Rows: listRows(entries), Generation: 7})
		for _, s := range f.senders {
			s.moveDiscovery(movedDiscoveryAddr)
		}
		first := f.changeEntry(next, 1)
		f.discovery.SetFaultNow(standin.Refuse, 0)
		time.Sleep(time.Minute)
		f.changeEntry(next, 2)
		time.Sleep(time.Minute)
		r.slowestChange = f.slowestChange("moved discovery")
		r.allListsAfter = first.lastInForceAt.Sub(first.changedAt)
		f.checkDirectories(next, entries)
		f.discovery = next
	})
}

// rejectedAnswers has discovery answer with something that can't be taken for a while, once a change makes all ask. Counted is
// what comes after the first minute; in the end a change must come to be in force as soon as the terms say.
func rejectedAnswers(t *testing.T, senders, entries int, trouble standin.FaultKind, span time.Duration) *listResult {
	return runListScenario(t, senders, entries, func(f *listFleet, r *listResult) {
		f.startWithList(entries)
		f.discovery.SetFaultNow(trouble, 0)
		f.discovery.Set(f.discovery.Row(1))
		time.Sleep(time.Minute)
		f.discovery.ResetStats()
		f.dials = 0
		time.Sleep(span)
		r.stats, r.dials = f.discovery.Stats(), f.dials
		f.discovery.SetFaultNow(standin.Healthy, 0)
		f.changeEntry(f.discovery, 2)
		time.Sleep(time.Minute)
		r.slowestChange = f.slowestChange(trouble.String())
		f.checkDirectories(f.discovery, entries)
	})
}

// callsPerMinute is the mean of a sender: calls, or connections where none comes up.
func (r *listResult) callsPerMinute() float64 {
	return float64(max(r.stats.Total.Calls, r.dials)) / r.stats.Elapsed.Minutes() / float64(r.senders)
}

func (r *listResult) String() string {
	shared := ""
	if r.sharedDirectory {
		shared = ", one directory shared"
	}
	return fmt.Sprintf("%d senders, %d entries%s: slowest %v, all whole after %v; %.0f B/s a sender, %.0f at most, %.0f a machine; "+
		"%d calls, %d dials, %d whole lists; first second %d calls %.3g MB, first minute %d calls %.3g MB, worst second %d calls %.3g MB; "+
		"cpu %v, real %v", r.senders, r.entries, shared, r.slowestChange.Round(time.Millisecond), r.allListsAfter.Round(time.Millisecond),
		r.senderTraffic(), r.maxSenderTraffic(), r.machineTraffic(), r.stats.Total.Calls, r.dials, r.stats.Total.WholeLists,
		r.stats.FirstSecond.Calls, float64(r.stats.FirstSecond.Bytes())/1e6, r.stats.FirstMinute.Calls, float64(r.stats.FirstMinute.Bytes())/1e6,
		r.stats.PeakSecond.Calls, float64(r.stats.PeakSecond.Bytes())/1e6, r.cpuTime.Round(time.Millisecond), r.wallTime.Round(time.Millisecond))
}

// checkInForce checks a scenario against the target: whatever happens, a change is in force at all senders within 17 s.
func (r *listResult) checkInForce(t *testing.T, name string, limit time.Duration) {
	t.Helper()
	t.Logf("%s: %v", name, r)
	if r.slowestChange > limit {
		t.Errorf("%s, %d senders: a change was in force at the slowest after %v, at most %v", name, r.senders, r.slowestChange, limit)
	}
}

// checkTraffic checks that it costs no more bytes than the target has for them.
func (r *listResult) checkTraffic(t *testing.T, name string) {
	t.Helper()
	if r.senderTraffic() > ControlBytesPerSecond || r.maxSenderTraffic() > ControlBytesPerSecond && r.stats.Elapsed > 30*time.Minute {
		t.Errorf("%s, %d senders: %.0f B/s a sender, %.0f at the one with the most, at most %.0f", name, r.senders,
			r.senderTraffic(), r.maxSenderTraffic(), ControlBytesPerSecond)
	}
	if most := float64(r.senders) * ControlBytesPerSecond / controlMachines; r.machineTraffic() > most {
		t.Errorf("%s, %d senders: %.0f B/s at a control machine, at most %.0f", name, r.senders, r.machineTraffic(), most)
	}
}

// checkWholeLists checks that each sender got the whole list once, and nothing like it again; with none, that none did.
func (r *listResult) checkWholeLists(t *testing.T, name string, each int) {
	t.Helper()
	if most := float64(each*r.senders)*float64(r.listSize)*1.02 + float64(r.senders)*20_000; float64(r.stats.Total.Bytes()) > most ||
		r.stats.Total.WholeLists != int64(each*r.senders) {
		t.Errorf("%s, %d senders: %d whole lists and %.3g MB, at most %d and %.3g MB", name, r.senders, r.stats.Total.WholeLists,
			float64(r.stats.Total.Bytes())/1e6, each*r.senders, most/1e6)
	}
}

// listFaults are those after which an answer can't be taken, or does not come.
var listFaults = []standin.FaultKind{standin.Refuse, standin.Reset, standin.Unresponsive, standin.Overload, standin.InvalidList,
	standin.TruncatedList, standin.OlderList}

// checkRetries checks that discovery is not called on and on while its answers can't be taken, and that the first change that
// can be taken is in force when it counts as told. That a watch has fallen silent may show later.
func (r *listResult) checkRetries(t *testing.T, trouble standin.FaultKind) {
	t.Helper()
	limit := reachableInForceLimit
	if trouble == standin.Unresponsive {
		limit = inForceLimit
	}
	r.checkInForce(t, trouble.String(), limit)
	if n := r.callsPerMinute(); r.senders >= manySenders && n > maxRetryCallsPerMinute {
		t.Errorf("%v, %d senders: %.1f calls a minute and sender, at most %d", trouble, r.senders, n, maxRetryCallsPerMinute)
	}
}

// The list at a fleet: what each of its days costs discovery, and how soon a change is in force everywhere.
func TestScaleDiscovery(t *testing.T) {
	const senders, entries = 20, 1000
	t.Run("ordinary day", func(t *testing.T) {
		r := ordinaryDay(t, senders, entries, 10*time.Minute)
		r.checkInForce(t, "ordinary day", inForceLimit)
		r.checkTraffic(t, "ordinary day")
	})
	t.Run("first start", func(t *testing.T) {
		r := startAll(t, senders, entries, false, false)
		r.checkInForce(t, "first start", inForceLimit)
		r.checkWholeLists(t, "first start", 1)
	})
	t.Run("crowded start", func(t *testing.T) {
		r := startAllAtTargetBandwidth(t, controlMachines, 18*entries)
		r.checkInForce(t, "crowded start", inForceLimit)
		r.checkWholeLists(t, "crowded start", 1)
	})
	t.Run("restart with the saved list", func(t *testing.T) {
		r := startAll(t, senders, entries, true, true)
		r.checkInForce(t, "restart with the saved list", reachableInForceLimit)
		r.checkWholeLists(t, "restart with the saved list", 0)
	})
	t.Run("restart without it", func(t *testing.T) {
		r := startAll(t, senders, entries, true, false)
		r.checkInForce(t, "restart without it", reachableInForceLimit)
		r.checkWholeLists(t, "restart without it", 1)
	})
	t.Run("lost watch", func(t *testing.T) {
		r := stalledWatches(t, senders, entries)
		r.checkInForce(t, "lost watch", inForceLimit)
		r.checkWholeLists(t, "lost watch", 0)
	})
	t.Run("region cut", func(t *testing.T) {
		r := partitionedFleet(t, senders, entries)
		r.checkInForce(t, "region cut", reachableInForceLimit)
		r.checkWholeLists(t, "region cut", 0)
	})
	t.Run("moved", func(t *testing.T) {
		r := movedDiscovery(t, senders, entries)
		r.checkInForce(t, "moved", reachableInForceLimit)
		r.checkWholeLists(t, "moved", 1)
	})
	for _, trouble := range listFaults {
		t.Run(trouble.String(), func(t *testing.T) {
			rejectedAnswers(t, manySenders, entries/20, trouble, time.Minute).checkRetries(t, trouble)
		})
	}
}

// sweep plays a scenario for several fleets, or lists, and reports figures of it against their size.
type sweep struct {
	t       *testing.T
	name    string
	x       func(r *listResult) float64
	xUnit   string
	target  float64
	fixed   map[string]float64
	results []*listResult
}

func sweepSenders(t *testing.T, name string, entries int, play func(senders int) *listResult) *sweep {
	s := &sweep{t: t, name: name, xUnit: "senders", target: TargetSenders, fixed: map[string]float64{"entries": float64(entries)},
		x: func(r *listResult) float64 { return float64(r.senders) }}
	for _, n := range []int{1, 20, 60, 180, 540} {
		s.add(play(n))
	}
	return s
}

func sweepEntries(t *testing.T, name string, senders int, play func(entries int) *listResult) *sweep {
	s := &sweep{t: t, name: name, xUnit: "entries", target: TargetDestinations, fixed: map[string]float64{"senders": float64(senders)},
		x: func(r *listResult) float64 { return float64(r.entries) }}
	for _, n := range []int{1000, 5000, 20_000, 100_000} {
		s.add(play(n))
	}
	return s
}

func (s *sweep) add(r *listResult) {
	s.t.Helper()
	s.t.Logf("%s: %v", s.name, r)
	s.results = append(s.results, r)
}

// reportSeries adds a figure of all results.
func (s *sweep) reportSeries(what, unit string, limit float64, y func(r *listResult) float64) {
	series := Series{Name: "list, " + s.name + ": " + what, XUnit: s.xUnit, YUnit: unit, Fixed: s.fixed, TargetX: s.target, Limit: limit}
	for _, r := range s.results {
		series.Points = append(series.Points, Point{X: s.x(r), Y: y(r)})
		if r.sharedDirectory {
			series.Note = fmt.Sprintf("from %d entries in all directories on, the fleet's senders share one", maxDirectoryEntries)
		}
	}
	report.AddSeries(series)
}

func (s *sweep) checkInForce(limit time.Duration) {
	s.t.Helper()
	for _, r := range s.results {
		if r.slowestChange > limit {
			s.t.Errorf("%s, %d senders, %d entries: a change was in force at the slowest after %v, at most %v", s.name, r.senders,
				r.entries, r.slowestChange, limit)
		}
	}
	s.reportSeries("a change in force at the slowest sender", "s", limit.Seconds(), func(r *listResult) float64 { return r.slowestChange.Seconds() })
}

// reportBurst reports what discovery gets at once.
func (s *sweep) reportBurst() {
	s.reportSeries("calls in the first second", "calls", 0, func(r *listResult) float64 { return float64(r.stats.FirstSecond.Calls) })
	s.reportSeries("calls in the first minute", "calls", 0, func(r *listResult) float64 { return float64(r.stats.FirstMinute.Calls) })
	s.reportSeries("bytes in the first second", "MB", 0, func(r *listResult) float64 { return float64(r.stats.FirstSecond.Bytes()) / 1e6 })
	s.reportSeries("bytes in the first minute", "MB", 0, func(r *listResult) float64 { return float64(r.stats.FirstMinute.Bytes()) / 1e6 })
	s.reportSeries("calls in the worst second", "calls", 0, func(r *listResult) float64 { return float64(r.stats.PeakSecond.Calls) })
	s.reportSeries("bytes in the worst second", "MB", 0, func(r *listResult) float64 { return float64(r.stats.PeakSecond.Bytes()) / 1e6 })
}

func (s *sweep) checkWholeLists(each int) {
	s.t.Helper()
	for _, r := range s.results {
		r.checkWholeLists(s.t, s.name, each)
	}
}

// The same at the sizes of the target.
func TestScaleDiscoverySlopes(t *testing.T) {
	skipUnlessLarge(t)
	const (
		entries = 5000 // where the size of the list does not matter
		few     = 10   // senders where it does, and the figure is one sender's
	)
	t.Run("ordinary day", func(t *testing.T) {
		s := sweepSenders(t, "ordinary day", entries, func(n int) *listResult { return ordinaryDay(t, n, entries, 20*time.Minute) })
		s.checkInForce(inForceLimit)
		s.reportSeries("traffic of a sender", "B/s", ControlBytesPerSecond, (*listResult).senderTraffic)
		s.reportSeries("traffic of a control machine", "B/s", TargetSenders*ControlBytesPerSecond/controlMachines, (*listResult).machineTraffic)
		s.reportSeries("calls in the worst second", "calls", 0, func(r *listResult) float64 { return float64(r.stats.PeakSecond.Calls) })
		s.reportSeries("processor time of a sender, stand-in included", "core", ControlCoreShare, func(r *listResult) float64 {
			return r.cpuTime.Seconds() / r.stats.Elapsed.Seconds() / float64(r.senders)
		})
		for _, r := range s.results {
			r.checkTraffic(t, "ordinary day")
		}
	})
	t.Run("ordinary hour", func(t *testing.T) {
		s := sweepEntries(t, "ordinary hour", few, func(n int) *listResult { return ordinaryDay(t, few, n, time.Hour) })
		s.checkInForce(inForceLimit)
		s.reportSeries("traffic of a sender", "B/s", ControlBytesPerSecond, (*listResult).senderTraffic)
		s.reportSeries("traffic of the sender whose machine lost its disk", "B/s", ControlBytesPerSecond, (*listResult).maxSenderTraffic)
		for _, r := range s.results {
			r.checkTraffic(t, "ordinary hour")
		}
	})
	t.Run("first start", func(t *testing.T) {
		s := sweepSenders(t, "first start of all", entries, func(n int) *listResult { return startAll(t, n, entries, false, false) })
		s.checkInForce(inForceLimit)
		s.reportBurst()
		s.checkWholeLists(1)
	})
	t.Run("crowded start", func(t *testing.T) {
		s := sweepEntries(t, "first start of all, each sender with its part of five links of 1 Gbit/s", few, func(n int) *listResult { return startAllAtTargetBandwidth(t, few, n) })
		s.checkInForce(inForceLimit)
		s.reportSeries("bytes of a sender", "MB", 0, func(r *listResult) float64 { return float64(r.stats.PeakSender.Bytes()) / 1e6 })
		s.reportSeries("all have the list", "s", 0, func(r *listResult) float64 { return r.allListsAfter.Seconds() })
		s.checkWholeLists(1)
	})
	t.Run("restart with the saved list", func(t *testing.T) {
		s := sweepSenders(t, "restart of all with the saved list", entries, func(n int) *listResult { return startAll(t, n, entries, true, true) })
		s.checkInForce(reachableInForceLimit)
		s.reportBurst()
		s.checkWholeLists(0)
		s = sweepEntries(t, "restart of all with the saved list", few, func(n int) *listResult { return startAll(t, few, n, true, true) })
		s.checkInForce(reachableInForceLimit)
		s.reportSeries("bytes of a sender in the first minute", "MB", 0, func(r *listResult) float64 { return float64(r.stats.PeakSender.Bytes()) / 1e6 })
		s.checkWholeLists(0)
	})
	t.Run("restart without it", func(t *testing.T) {
		s := sweepEntries(t, "restart of all without a saved list", few, func(n int) *listResult { return startAll(t, few, n, true, false) })
		s.checkInForce(reachableInForceLimit)
		s.reportSeries("bytes of a sender in the first minute", "MB", 0, func(r *listResult) float64 { return float64(r.stats.PeakSender.Bytes()) / 1e6 })
		s.checkWholeLists(1)
	})
	t.Run("lost watch", func(t *testing.T) {
		s := sweepSenders(t, "lost watch of all", entries, func(n int) *listResult { return stalledWatches(t, n, entries) })
		s.checkInForce(inForceLimit)
		s.reportBurst()
		s.checkWholeLists(0)
	})
	t.Run("region cut", func(t *testing.T) {
		s := sweepSenders(t, "return after a cut of 60 s of all", entries, func(n int) *listResult { return partitionedFleet(t, n, entries) })
		s.checkInForce(reachableInForceLimit)
		s.reportBurst()
		s.checkWholeLists(0)
	})
	t.Run("moved", func(t *testing.T) {
		s := sweepEntries(t, "moved discovery", few, func(n int) *listResult { return movedDiscovery(t, few, n) })
		s.checkInForce(reachableInForceLimit)
		s.reportSeries("bytes of a sender", "MB", 0, func(r *listResult) float64 { return float64(r.stats.PeakSender.Bytes()) / 1e6 })
		s.checkWholeLists(1)
	})
	for _, trouble := range listFaults {
		t.Run(trouble.String(), func(t *testing.T) {
			s := &sweep{t: t, name: "answers that can't be taken, " + trouble.String(), xUnit: "senders", target: TargetSenders,
				fixed: map[string]float64{"entries": 100}, x: func(r *listResult) float64 { return float64(r.senders) }}
			for _, n := range []int{1, 8} { // few do otherwise: they are no part of a law for many
				rejectedAnswers(t, n, 100, trouble, 30*time.Second).checkRetries(t, trouble)
			}
			for _, n := range []int{20, 60, 180, 540} {
				s.add(rejectedAnswers(t, n, 100, trouble, 30*time.Second))
				s.results[len(s.results)-1].checkRetries(t, trouble)
			}
			s.reportSeries("calls a minute of a sender", "calls", maxRetryCallsPerMinute, (*listResult).callsPerMinute)
			limit := reachableInForceLimit
			if trouble == standin.Unresponsive {
				limit = inForceLimit
			}
			s.reportSeries("a change in force at the slowest sender", "s", limit.Seconds(), func(r *listResult) float64 { return r.slowestChange.Seconds() })
		})
	}
	for _, trouble := range []standin.FaultKind{standin.TruncatedList, standin.EndlessList} {
		t.Run(trouble.String()+" and large", func(t *testing.T) {
			r := rejectedAnswers(t, 1, TargetDestinations, trouble, 30*time.Second)
			r.checkInForce(t, trouble.String(), reachableInForceLimit)
			report.AddFact(Fact{Name: "list of 100,000 entries, " + trouble.String() + ": traffic of the one sender", Unit: "B/s", Value: r.senderTraffic()})
			report.AddFact(Fact{Name: "list of 100,000 entries, " + trouble.String() + ": calls a minute of the one sender", Unit: "calls", Value: r.callsPerMinute()})
		})
	}
}
