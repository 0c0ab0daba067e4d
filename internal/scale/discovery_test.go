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
	targetMachines   = 5     // for control
	controlBandwidth = 125e6 // bytes a second: what a control machine is taken to send at most (1 Gbit/s)
	inForce          = TargetInForce * time.Second
	// A change counts as told 6 s after discovery had it and could be reached; what it ends may go on for the grace.
	toldAfter  = 6*time.Second + drainGrace
	drainGrace = time.Second // as in listSettings
	retryCalls = 30          // calls a minute of one of many senders whose answers can't be taken, at most
	ownEntries = 2_000_000   // of all directories of a fleet; above, its senders share one
	manyFrom   = 17          // senders from which on the module takes them for many
)

// listSettings are the platform's settings for so many senders, as JSON.
func listSettings(senders int) string {
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

// memoryOf is how many MB a sender of such a list is told it may have.
func memoryOf(entries int) int {
	if entries > TargetDestinations {
		return 512
	}
	return 192
}

// listRows is a list with one endpoint for each destination.
func listRows(entries int) []standin.Row {
	return standin.Rows(entries, 1, []string{"a", "b", "c", "d", "e", "f"}, []string{"std"}, nil)
}

// listFleet is a fleet of senders that do nothing but keep the list: the real client, directory and module, on a
// network in memory, under a virtual clock. Modules are told of the list's events but not of its entries, which when
// to ask does not depend on.
type listFleet struct {
	t       *testing.T
	deploy  wire.Deployment
	disc    *standin.Discovery
	net     *standin.Network
	senders []*listSender
	shared  *discovery.Directory // nil if each sender has its own
	over    chan struct{}
	running sync.WaitGroup

	bandwidth float64 // of a control machine, in bytes a second
	maxBytes  int64   // of an answer that a sender reads
	closers   []func()

	mu      sync.Mutex
	dials   int64
	changes []*listChange // in the order of their versions
}

// listChange is a change and when it was in force at all senders.
type listChange struct {
	gen  int64
	at   time.Time
	left map[*listSender]bool // where it is not in force
	last time.Time            // when it came to be at the latest one so far
}

const (
	discoveryAddr = "discovery:8500"
	movedAddr     = "discovery-2:8500"
)

// withListFleet plays a scenario in a bubble of virtual time.
func withListFleet(t *testing.T, senders, entries int, bandwidth float64, play func(f *listFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		deploy, err := wire.ParseDeployment([]byte(listSettings(senders)))
		if err == nil {
			err = deploy.InvalidValues
		}
		if err != nil {
			t.Fatal(err)
		}
		f := &listFleet{t: t, deploy: deploy, net: standin.NewNetwork(), over: make(chan struct{}), bandwidth: bandwidth,
			maxBytes: int64(memoryOf(entries)) << 20 / 8} // as the sender has it
		f.disc = f.discoveryAt(discoveryAddr, standin.Config{Rows: listRows(entries), Generation: 1000})
		if senders*entries > ownEntries {
			f.shared = f.newDirectory()
		}
		for i := range senders {
			f.senders = append(f.senders, &listSender{f: f, name: fmt.Sprintf("n%d", i), seed: uint64(i) + 1})
		}
		defer f.close()
		play(f)
	})
}

func (f *listFleet) discoveryAt(addr string, cfg standin.Config) *standin.Discovery {
	cfg.Machines, cfg.Bandwidth = targetMachines, f.bandwidth
	d := standin.New(cfg)
	ln, err := f.net.Listen(addr)
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
	close(f.over)
	f.running.Wait()
}

func (f *listFleet) newDirectory() *discovery.Directory {
	return discovery.NewDirectory(f.deploy.Zones, f.deploy.Settings.Kinds)
}

// change changes an entry and has the fleet watched for it.
func (f *listFleet) change(d *standin.Discovery, i int) *listChange {
	r := d.Row(i)
	host, _, _ := strings.Cut(r.HostPort, ":")
	r.HostPort = fmt.Sprintf("%s:%d", host, 10_000+d.Generation()%50_000)
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &listChange{at: time.Now(), left: map[*listSender]bool{}}
	for _, s := range f.senders {
		c.left[s] = true
	}
	c.gen = d.Set(r)
	c.last = c.at
	f.changes = append(f.changes, c)
	return c
}

// reached notes that a sender has a version in force.
func (f *listFleet) reached(s *listSender, gen int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.gen = gen
	now := time.Now()
	for i := len(f.changes) - 1; i >= 0; i-- {
		c := f.changes[i]
		if c.gen > gen {
			continue
		}
		if !c.left[s] {
			if len(c.left) == 0 {
				break
			}
			continue
		}
		delete(c.left, s)
		c.last = now
	}
}

// until waits until a condition, which is looked at under the fleet's lock, holds, or until the target's time is over.
func (f *listFleet) until(holds func() bool) {
	for over := time.Now().Add(inForce); time.Now().Before(over); time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		done := holds()
		f.mu.Unlock()
		if done {
			return
		}
	}
}

// slowest is how long a change took until it was in force at the slowest sender, over all changes; it fails the test
// if one is not.
func (f *listFleet) slowest(what string) time.Duration {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	most := time.Duration(0)
	for _, c := range f.changes {
		if len(c.left) > 0 {
			f.t.Errorf("%s: change %d is not in force at %d of %d senders after %v", what, c.gen, len(c.left),
				len(f.senders), time.Since(c.at))
			continue
		}
		most = max(most, c.last.Sub(c.at))
	}
	return most
}

// same checks that each directory holds what discovery has; where they are shared, the one.
func (f *listFleet) same(d *standin.Discovery, entries int) {
	f.t.Helper()
	for _, s := range f.senders {
		off := 0
		for i := range entries {
			r := d.Row(i)
			if to, _ := s.dir.Target(s.dir.AssignID(r.ID)); to.Address != r.HostPort || to.Destination != r.Dest {
				off++
			}
		}
		if off > 0 {
			f.t.Errorf("%s: %d of %d entries are not as discovery has them", s.name, off, entries)
		}
		if f.shared != nil {
			return
		}
	}
}

// listSender is one sender.
type listSender struct {
	f      *listFleet
	name   string
	seed   uint64
	dir    *discovery.Directory
	client *discovery.Client
	end    context.CancelFunc // of the process that runs; nil if none does
	events chan any
	moves  chan struct{}
	gen    int64 // of the list that is in force; 0 if there is none
}

// start starts a process. What it begins with is what is left in s.dir, version gen; below 0 it has no list.
func (s *listSender) start(gen int64, restart bool) {
	f := s.f
	set := f.deploy.Settings
	if set.Senders >= discovery.SpreadMinSenders {
		set.MaxListAge = logic.Micros(discovery.MaxListAge/time.Microsecond) + set.DrainGrace
	}
	s.seed += 1 << 20 // new with each start
	module, err := logic.New(set, s.seed)
	if err != nil {
		f.t.Fatal(err)
	}
	if f.shared != nil {
		s.dir = f.shared
	} else if s.dir == nil || gen < 0 {
		s.dir = f.newDirectory()
	}
	ctx, end := context.WithCancel(context.Background())
	s.end, s.events, s.moves = end, make(chan any, 64), make(chan struct{}, 1)
	s.client = discovery.NewClient(discovery.Config{Addr: discoveryAddr, Senders: set.Senders,
		DrainGrace: time.Duration(set.DrainGrace) * time.Microsecond, Seed: s.seed, MaxAnswerBytes: f.maxBytes, Directory: s.dir, Log: slog.New(slog.DiscardHandler),
		Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			f.mu.Lock()
			f.dials++
			f.mu.Unlock()
			ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
			defer cancel()
			return f.net.Dial(ctx, s.name, addr)
		}}, s.events)
	s.gen = max(gen, 0)
	s.client.SetInitialState(gen, restart)
	f.running.Go(func() { s.run(ctx, module, gen, restart, s.events) })
}

// kill ends the process; what it has learned stays for the next.
func (s *listSender) kill() {
	if s.end != nil {
		s.end()
		s.end = nil
		synctest.Wait()
	}
}

// move tells the process of another address, as a SIGHUP does.
func (s *listSender) move(addr string) {
	s.client.SetAddress(addr)
	select {
	case s.moves <- struct{}{}:
	default:
	}
}

// run is the loop of a process, as far as the list is concerned.
func (s *listSender) run(ctx context.Context, module *logic.Sender, gen int64, restart bool, events chan any) {
	client, begin := s.client, time.Now()
	defer func() { // what the client still has to say
		s.f.running.Go(func() {
			for {
				select {
				case ev := <-events:
					if x, ok := ev.(discovery.Event); ok && x.Done != nil {
						x.Done()
					}
				case <-s.f.over:
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
					s.f.running.Go(func() { client.Watch(ctx) })
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
			s.f.reached(s, reached)
			reached = 0
		}
		time.Sleep(time.Duration(s.f.deploy.Settings.Tick) * time.Microsecond)
		select {
		case <-ctx.Done():
			return
		case <-s.moves:
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
					s.dir.Apply(&ev.Update, time.Now())
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

// warm starts all with the list that discovery has, spread over the time of a watch, and lets them settle.
func (f *listFleet) warm(entries int) {
	gen := f.disc.Generation()
	fill := func() *discovery.Directory {
		d := f.newDirectory()
		u := d.Diff(discovery.List{Generation: gen, Reset: true, Instances: instancesOf(f.disc, entries)})
		d.Apply(&u, time.Now())
		return d
	}
	if f.shared != nil {
		f.shared = fill()
	}
	rng := rand.New(rand.NewPCG(7, 7))
	var wg sync.WaitGroup
	for _, s := range f.senders {
		if f.shared == nil {
			s.dir = fill()
		}
		at := time.Duration(rng.Int64N(int64(20 * time.Second)))
		wg.Go(func() {
			time.Sleep(at)
			s.start(gen, false)
		})
	}
	wg.Wait()
	time.Sleep(time.Minute)
	f.disc.ResetCounts()
	f.mu.Lock()
	f.dials = 0
	f.mu.Unlock()
}

func instancesOf(d *standin.Discovery, entries int) []discovery.Instance {
	rows := make([]discovery.Instance, entries)
	for i := range rows {
		r := d.Row(i)
		rows[i] = discovery.Instance{ID: r.ID, HostPort: r.HostPort, Zone: r.Zone, Kind: r.Kind, Destination: r.Dest,
			Lifecycle: r.Lifecycle, Weight: r.Weight}
	}
	return rows
}

// listResult is what a scenario showed.
type listResult struct {
	senders, entries int
	seen             standin.Seen // from the moment that the scenario is about
	slowest          time.Duration
	whole            time.Duration // until all had a list again
	dials            int64
	cpu              time.Duration // of the process: fleet and stand-in together
	real             time.Duration
	size             int // of the whole list, in bytes
	shared           bool
}

// perSender is the mean rate of a sender in bytes a second.
func (r *listResult) perSender() float64 {
	return float64(r.seen.Fleet.Bytes()) / r.seen.Span.Seconds() / float64(r.senders)
}

// perMachine is what one of the control machines carries, in bytes a second.
func (r *listResult) perMachine() float64 {
	return float64(r.seen.Fleet.Bytes()) / r.seen.Span.Seconds() / targetMachines
}

// most is the rate of the sender that had the most, in bytes a second.
func (r *listResult) most() float64 {
	return float64(r.seen.MostSender.Bytes()) / r.seen.Span.Seconds()
}

// listScenario plays something and says what came of it.
func listScenario(t *testing.T, senders, entries int, play func(f *listFleet, r *listResult)) *listResult {
	t.Helper()
	return narrowScenario(t, senders, entries, controlBandwidth, play)
}

// narrowScenario is one with another bandwidth of the control machines.
func narrowScenario(t *testing.T, senders, entries int, bandwidth float64, play func(f *listFleet, r *listResult)) *listResult {
	t.Helper()
	r := &listResult{senders: senders, entries: entries}
	begin := time.Now()
	cpu := CPUTime()
	withListFleet(t, senders, entries, bandwidth, func(f *listFleet) {
		r.shared = f.shared != nil
		play(f, r)
		r.size = f.disc.Size()
		if r.seen.Span == 0 {
			r.seen, r.dials = f.disc.Seen(), f.dials
		}
	})
	r.cpu, r.real = CPUTime()-cpu, time.Since(begin)
	return r
}

// ordinaryDay plays some of it: changes at random times, at the day's rate, and restarts: one with the list that it
// saved, and one on a machine that lost its disk.
func ordinaryDay(t *testing.T, senders, entries int, span time.Duration) *listResult {
	return listScenario(t, senders, entries, func(f *listFleet, r *listResult) {
		f.warm(entries)
		rng := rand.New(rand.NewPCG(11, uint64(senders)))
		over := time.Now().Add(span)
		saved, lost := time.Now().Add(span/3), time.Now().Add(span*5/6)
		again := func(at *time.Time, s *listSender, saves bool) {
			if at.IsZero() || time.Now().Before(*at) {
				return
			}
			*at = time.Time{}
			gen := s.gen
			if !saves {
				gen = -1
			}
			s.kill()
			time.Sleep(600 * time.Millisecond)
			s.start(gen, saves)
		}
		for time.Now().Before(over) {
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(24*time.Hour) / TargetChanges))
			f.change(f.disc, rng.IntN(entries))
			again(&saved, f.senders[0], true)
			again(&lost, f.senders[len(f.senders)-1], false)
		}
		time.Sleep(inForce)
		r.slowest = f.slowest("ordinary day")
		f.same(f.disc, entries)
	})
}

// startOfAll starts all processes in the same moment: with the list that they saved, which 20 changes have gone over,
// or with none.
func startOfAll(t *testing.T, senders, entries int, restart, saved bool) *listResult {
	return listScenario(t, senders, entries, func(f *listFleet, r *listResult) {
		if restart {
			f.warm(entries)
			for _, s := range f.senders {
				s.kill()
			}
			for range 20 {
				f.disc.Set(f.disc.Row(int(f.disc.Generation()) % entries))
			}
		}
		f.disc.ResetCounts()
		f.dials = 0
		begin := time.Now()
		for _, s := range f.senders {
			gen := s.gen
			if !saved {
				gen = -1
			}
			s.start(gen, restart)
		}
		first := f.change(f.disc, entries/2)
		time.Sleep(10 * time.Second)
		f.change(f.disc, entries/3)
		time.Sleep(50 * time.Second)
		r.slowest = f.slowest("start of all")
		r.whole = first.last.Sub(begin)
		f.same(f.disc, entries)
	})
}

// crowdedStart starts all with no list where the control machines have as little bandwidth for each as they have at the
// target: with 100,000 entries each list is under way for some 13 s when all 540 ask at once.
func crowdedStart(t *testing.T, senders, entries int) *listResult {
	bandwidth := controlBandwidth * float64(senders) / TargetSenders
	return narrowScenario(t, senders, entries, bandwidth, func(f *listFleet, r *listResult) {
		begin := time.Now()
		for _, s := range f.senders {
			s.start(-1, false)
		}
		first := f.change(f.disc, entries/2)
		time.Sleep(time.Minute)
		r.slowest = f.slowest("crowded start")
		r.whole = first.last.Sub(begin)
		f.same(f.disc, entries)
	})
}

// lostWatch lets the watches of all fall silent at once, so soon after news that all have just been opened.
func lostWatch(t *testing.T, senders, entries int) *listResult {
	return listScenario(t, senders, entries, func(f *listFleet, r *listResult) {
		f.warm(entries)
		f.change(f.disc, 1)
		time.Sleep(500 * time.Millisecond)
		f.disc.ResetCounts()
		f.disc.Lose()
		time.Sleep(500 * time.Millisecond)
		f.change(f.disc, 2)
		time.Sleep(time.Minute)
		f.change(f.disc, 3)
		time.Sleep(time.Minute)
		r.slowest = f.slowest("lost watch")
		f.same(f.disc, entries)
	})
}

// regionCut cuts all senders off from discovery for a minute. What changed meanwhile counts from the return on.
func regionCut(t *testing.T, senders, entries int) *listResult {
	return listScenario(t, senders, entries, func(f *listFleet, r *listResult) {
		f.warm(entries)
		f.net.Cut(func(string) bool { return true })
		time.Sleep(time.Minute)
		f.net.Cut(nil)
		f.disc.ResetCounts()
		first := f.change(f.disc, 1)
		time.Sleep(time.Minute)
		f.change(f.disc, 2)
		time.Sleep(time.Minute)
		r.slowest = f.slowest("region cut")
		r.whole = first.last.Sub(first.at)
		f.same(f.disc, entries)
	})
}

// movedDiscovery moves discovery to an address with versions of its own: all need the whole list there.
func movedDiscovery(t *testing.T, senders, entries int) *listResult {
	return listScenario(t, senders, entries, func(f *listFleet, r *listResult) {
		f.warm(entries)
		next := f.discoveryAt(movedAddr, standin.Config{Rows: listRows(entries), Generation: 7})
		for _, s := range f.senders {
			s.move(movedAddr)
		}
		first := f.change(next, 1)
		f.disc.Now(standin.Refuse, 0)
		time.Sleep(time.Minute)
		f.change(next, 2)
		time.Sleep(time.Minute)
		r.slowest = f.slowest("moved discovery")
		r.whole = first.last.Sub(first.at)
		f.same(next, entries)
		f.disc = next
	})
}

// untakable has discovery answer with something that can't be taken for a while, once a change makes all ask. Counted is
// what comes after the first minute; in the end a change must come to be in force as soon as the terms say.
func untakable(t *testing.T, senders, entries int, trouble standin.Trouble, span time.Duration) *listResult {
	return listScenario(t, senders, entries, func(f *listFleet, r *listResult) {
		f.warm(entries)
		f.disc.Now(trouble, 0)
		f.disc.Set(f.disc.Row(1))
		time.Sleep(time.Minute)
		f.disc.ResetCounts()
		f.dials = 0
		time.Sleep(span)
		r.seen, r.dials = f.disc.Seen(), f.dials
		f.disc.Now(standin.Healthy, 0)
		f.change(f.disc, 2)
		time.Sleep(time.Minute)
		r.slowest = f.slowest(trouble.String())
		f.same(f.disc, entries)
	})
}

// callsAMinute is the mean of a sender: calls, or connections where none comes up.
func (r *listResult) callsAMinute() float64 {
	return float64(max(r.seen.Fleet.Calls, r.dials)) / r.seen.Span.Minutes() / float64(r.senders)
}

func (r *listResult) String() string {
	shared := ""
	if r.shared {
		shared = ", one directory shared"
	}
	return fmt.Sprintf("%d senders, %d entries%s: slowest %v, all whole after %v; %.0f B/s a sender, %.0f at most, %.0f a machine; "+
		"%d calls, %d dials, %d whole lists; first second %d calls %.3g MB, first minute %d calls %.3g MB, worst second %d calls %.3g MB; "+
		"cpu %v, real %v", r.senders, r.entries, shared, r.slowest.Round(time.Millisecond), r.whole.Round(time.Millisecond),
		r.perSender(), r.most(), r.perMachine(), r.seen.Fleet.Calls, r.dials, r.seen.Fleet.Whole,
		r.seen.FirstSec.Calls, float64(r.seen.FirstSec.Bytes())/1e6, r.seen.FirstMin.Calls, float64(r.seen.FirstMin.Bytes())/1e6,
		r.seen.Worst.Calls, float64(r.seen.Worst.Bytes())/1e6, r.cpu.Round(time.Millisecond), r.real.Round(time.Millisecond))
}

// within checks a scenario against the target: whatever happens, a change is in force at all senders within 17 s.
func (r *listResult) within(t *testing.T, name string, limit time.Duration) {
	t.Helper()
	t.Logf("%s: %v", name, r)
	if r.slowest > limit {
		t.Errorf("%s, %d senders: a change was in force at the slowest after %v, at most %v", name, r.senders, r.slowest, limit)
	}
}

// light checks that it costs no more bytes than the target has for them.
func (r *listResult) light(t *testing.T, name string) {
	t.Helper()
	if r.perSender() > ControlTraffic || r.most() > ControlTraffic && r.seen.Span > 30*time.Minute {
		t.Errorf("%s, %d senders: %.0f B/s a sender, %.0f at the one with the most, at most %.0f", name, r.senders,
			r.perSender(), r.most(), ControlTraffic)
	}
	if most := float64(r.senders) * ControlTraffic / targetMachines; r.perMachine() > most {
		t.Errorf("%s, %d senders: %.0f B/s at a control machine, at most %.0f", name, r.senders, r.perMachine(), most)
	}
}

// once checks that each sender got the whole list once, and nothing like it again; with none, that none did.
func (r *listResult) once(t *testing.T, name string, each int) {
	t.Helper()
	if most := float64(each*r.senders)*float64(r.size)*1.02 + float64(r.senders)*20_000; float64(r.seen.Fleet.Bytes()) > most ||
		r.seen.Fleet.Whole != int64(each*r.senders) {
		t.Errorf("%s, %d senders: %d whole lists and %.3g MB, at most %d and %.3g MB", name, r.senders, r.seen.Fleet.Whole,
			float64(r.seen.Fleet.Bytes())/1e6, each*r.senders, most/1e6)
	}
}

// troubles are those after which an answer can't be taken, or does not come.
var troubles = []standin.Trouble{standin.Refuse, standin.Reset, standin.Silent, standin.Overload, standin.Nonsense,
	standin.Cut, standin.Older}

// spared checks that discovery is not called on and on while its answers can't be taken, and that the first change that
// can be taken is in force when it counts as told. That a watch has fallen silent may show later.
func (r *listResult) spared(t *testing.T, trouble standin.Trouble) {
	t.Helper()
	limit := toldAfter
	if trouble == standin.Silent {
		limit = inForce
	}
	r.within(t, trouble.String(), limit)
	if n := r.callsAMinute(); r.senders >= manyFrom && n > retryCalls {
		t.Errorf("%v, %d senders: %.1f calls a minute and sender, at most %d", trouble, r.senders, n, retryCalls)
	}
}

// The list at a fleet: what each of its days costs discovery, and how soon a change is in force everywhere.
func TestScaleDiscovery(t *testing.T) {
	const senders, entries = 20, 1000
	t.Run("ordinary day", func(t *testing.T) {
		r := ordinaryDay(t, senders, entries, 10*time.Minute)
		r.within(t, "ordinary day", inForce)
		r.light(t, "ordinary day")
	})
	t.Run("first start", func(t *testing.T) {
		r := startOfAll(t, senders, entries, false, false)
		r.within(t, "first start", inForce)
		r.once(t, "first start", 1)
	})
	t.Run("crowded start", func(t *testing.T) {
		r := crowdedStart(t, targetMachines, 18*entries)
		r.within(t, "crowded start", inForce)
		r.once(t, "crowded start", 1)
	})
	t.Run("restart with the saved list", func(t *testing.T) {
		r := startOfAll(t, senders, entries, true, true)
		r.within(t, "restart with the saved list", toldAfter)
		r.once(t, "restart with the saved list", 0)
	})
	t.Run("restart without it", func(t *testing.T) {
		r := startOfAll(t, senders, entries, true, false)
		r.within(t, "restart without it", toldAfter)
		r.once(t, "restart without it", 1)
	})
	t.Run("lost watch", func(t *testing.T) {
		r := lostWatch(t, senders, entries)
		r.within(t, "lost watch", inForce)
		r.once(t, "lost watch", 0)
	})
	t.Run("region cut", func(t *testing.T) {
		r := regionCut(t, senders, entries)
		r.within(t, "region cut", toldAfter)
		r.once(t, "region cut", 0)
	})
	t.Run("moved", func(t *testing.T) {
		r := movedDiscovery(t, senders, entries)
		r.within(t, "moved", toldAfter)
		r.once(t, "moved", 1)
	})
	for _, trouble := range troubles {
		t.Run(trouble.String(), func(t *testing.T) {
			untakable(t, manyFrom, entries/20, trouble, time.Minute).spared(t, trouble)
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

func bySenders(t *testing.T, name string, entries int, play func(senders int) *listResult) *sweep {
	s := &sweep{t: t, name: name, xUnit: "senders", target: TargetSenders, fixed: map[string]float64{"entries": float64(entries)},
		x: func(r *listResult) float64 { return float64(r.senders) }}
	for _, n := range []int{1, 20, 60, 180, 540} {
		s.add(play(n))
	}
	return s
}

func byEntries(t *testing.T, name string, senders int, play func(entries int) *listResult) *sweep {
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

// report adds a figure of all results.
func (s *sweep) report(what, unit string, limit float64, y func(r *listResult) float64) {
	series := Series{Name: "list, " + s.name + ": " + what, XUnit: s.xUnit, YUnit: unit, Fixed: s.fixed, TargetX: s.target, Limit: limit}
	for _, r := range s.results {
		series.Points = append(series.Points, Point{X: s.x(r), Y: y(r)})
		if r.shared {
			series.Note = fmt.Sprintf("from %d entries in all directories on, the fleet's senders share one", ownEntries)
		}
	}
	report.Add(series)
}

func (s *sweep) inForce(limit time.Duration) {
	s.t.Helper()
	for _, r := range s.results {
		if r.slowest > limit {
			s.t.Errorf("%s, %d senders, %d entries: a change was in force at the slowest after %v, at most %v", s.name, r.senders,
				r.entries, r.slowest, limit)
		}
	}
	s.report("a change in force at the slowest sender", "s", limit.Seconds(), func(r *listResult) float64 { return r.slowest.Seconds() })
}

// burst reports what discovery gets at once.
func (s *sweep) burst() {
	s.report("calls in the first second", "calls", 0, func(r *listResult) float64 { return float64(r.seen.FirstSec.Calls) })
	s.report("calls in the first minute", "calls", 0, func(r *listResult) float64 { return float64(r.seen.FirstMin.Calls) })
	s.report("bytes in the first second", "MB", 0, func(r *listResult) float64 { return float64(r.seen.FirstSec.Bytes()) / 1e6 })
	s.report("bytes in the first minute", "MB", 0, func(r *listResult) float64 { return float64(r.seen.FirstMin.Bytes()) / 1e6 })
	s.report("calls in the worst second", "calls", 0, func(r *listResult) float64 { return float64(r.seen.Worst.Calls) })
	s.report("bytes in the worst second", "MB", 0, func(r *listResult) float64 { return float64(r.seen.Worst.Bytes()) / 1e6 })
}

func (s *sweep) once(each int) {
	s.t.Helper()
	for _, r := range s.results {
		r.once(s.t, s.name, each)
	}
}

// The same at the sizes of the target.
func TestScaleDiscoverySlopes(t *testing.T) {
	needLarge(t)
	const (
		entries = 5000 // where the size of the list does not matter
		few     = 10   // senders where it does, and the figure is one sender's
	)
	t.Run("ordinary day", func(t *testing.T) {
		s := bySenders(t, "ordinary day", entries, func(n int) *listResult { return ordinaryDay(t, n, entries, 20*time.Minute) })
		s.inForce(inForce)
		s.report("traffic of a sender", "B/s", ControlTraffic, (*listResult).perSender)
		s.report("traffic of a control machine", "B/s", TargetSenders*ControlTraffic/targetMachines, (*listResult).perMachine)
		s.report("calls in the worst second", "calls", 0, func(r *listResult) float64 { return float64(r.seen.Worst.Calls) })
		s.report("processor time of a sender, stand-in included", "core", ControlCore, func(r *listResult) float64 {
			return r.cpu.Seconds() / r.seen.Span.Seconds() / float64(r.senders)
		})
		for _, r := range s.results {
			r.light(t, "ordinary day")
		}
	})
	t.Run("ordinary hour", func(t *testing.T) {
		s := byEntries(t, "ordinary hour", few, func(n int) *listResult { return ordinaryDay(t, few, n, time.Hour) })
		s.inForce(inForce)
		s.report("traffic of a sender", "B/s", ControlTraffic, (*listResult).perSender)
		s.report("traffic of the sender whose machine lost its disk", "B/s", ControlTraffic, (*listResult).most)
		for _, r := range s.results {
			r.light(t, "ordinary hour")
		}
	})
	t.Run("first start", func(t *testing.T) {
		s := bySenders(t, "first start of all", entries, func(n int) *listResult { return startOfAll(t, n, entries, false, false) })
		s.inForce(inForce)
		s.burst()
		s.once(1)
	})
	t.Run("crowded start", func(t *testing.T) {
		s := byEntries(t, "first start of all, each sender with its part of five links of 1 Gbit/s", few, func(n int) *listResult { return crowdedStart(t, few, n) })
		s.inForce(inForce)
		s.report("bytes of a sender", "MB", 0, func(r *listResult) float64 { return float64(r.seen.MostSender.Bytes()) / 1e6 })
		s.report("all have the list", "s", 0, func(r *listResult) float64 { return r.whole.Seconds() })
		s.once(1)
	})
	t.Run("restart with the saved list", func(t *testing.T) {
		s := bySenders(t, "restart of all with the saved list", entries, func(n int) *listResult { return startOfAll(t, n, entries, true, true) })
		s.inForce(toldAfter)
		s.burst()
		s.once(0)
		s = byEntries(t, "restart of all with the saved list", few, func(n int) *listResult { return startOfAll(t, few, n, true, true) })
		s.inForce(toldAfter)
		s.report("bytes of a sender in the first minute", "MB", 0, func(r *listResult) float64 { return float64(r.seen.MostSender.Bytes()) / 1e6 })
		s.once(0)
	})
	t.Run("restart without it", func(t *testing.T) {
		s := byEntries(t, "restart of all without a saved list", few, func(n int) *listResult { return startOfAll(t, few, n, true, false) })
		s.inForce(toldAfter)
		s.report("bytes of a sender in the first minute", "MB", 0, func(r *listResult) float64 { return float64(r.seen.MostSender.Bytes()) / 1e6 })
		s.once(1)
	})
	t.Run("lost watch", func(t *testing.T) {
		s := bySenders(t, "lost watch of all", entries, func(n int) *listResult { return lostWatch(t, n, entries) })
		s.inForce(inForce)
		s.burst()
		s.once(0)
	})
	t.Run("region cut", func(t *testing.T) {
		s := bySenders(t, "return after a cut of 60 s of all", entries, func(n int) *listResult { return regionCut(t, n, entries) })
		s.inForce(toldAfter)
		s.burst()
		s.once(0)
	})
	t.Run("moved", func(t *testing.T) {
		s := byEntries(t, "moved discovery", few, func(n int) *listResult { return movedDiscovery(t, few, n) })
		s.inForce(toldAfter)
		s.report("bytes of a sender", "MB", 0, func(r *listResult) float64 { return float64(r.seen.MostSender.Bytes()) / 1e6 })
		s.once(1)
	})
	for _, trouble := range troubles {
		t.Run(trouble.String(), func(t *testing.T) {
			s := &sweep{t: t, name: "answers that can't be taken, " + trouble.String(), xUnit: "senders", target: TargetSenders,
				fixed: map[string]float64{"entries": 100}, x: func(r *listResult) float64 { return float64(r.senders) }}
			for _, n := range []int{1, 8} { // few do otherwise: they are no part of a law for many
				untakable(t, n, 100, trouble, 30*time.Second).spared(t, trouble)
			}
			for _, n := range []int{20, 60, 180, 540} {
				s.add(untakable(t, n, 100, trouble, 30*time.Second))
				s.results[len(s.results)-1].spared(t, trouble)
			}
			s.report("calls a minute of a sender", "calls", retryCalls, (*listResult).callsAMinute)
			limit := toldAfter
			if trouble == standin.Silent {
				limit = inForce
			}
			s.report("a change in force at the slowest sender", "s", limit.Seconds(), func(r *listResult) float64 { return r.slowest.Seconds() })
		})
	}
	for _, trouble := range []standin.Trouble{standin.Cut, standin.Endless} {
		t.Run(trouble.String()+" and large", func(t *testing.T) {
			r := untakable(t, 1, TargetDestinations, trouble, 30*time.Second)
			r.within(t, trouble.String(), toldAfter)
			report.Note(Fact{Name: "list of 100,000 entries, " + trouble.String() + ": traffic of the one sender", Unit: "B/s", Value: r.perSender()})
			report.Note(Fact{Name: "list of 100,000 entries, " + trouble.String() + ": calls a minute of the one sender", Unit: "calls", Value: r.callsAMinute()})
		})
	}
}
