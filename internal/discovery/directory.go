package discovery

import (
	"iter"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"crossdeal/logic"
)

const (
	goneKept  = 10 * time.Minute // what is not listed keeps its number for so long ...
	goneMany  = 16384            // ... unless that is as many as are listed, and so many more ...
	goneLeast = 30 * time.Second // ... then it is for so long: lists that name all anew would fill the memory
	pageSize  = 256              // records that are kept together
	labelMost = 4096             // different zones, or kinds, that are told apart
	tellMost  = 1024             // endpoints of one destination that the module is told of: it looks at each for each call
)

// Directory is the replica of the list: it maps names to the module's numbers and numbers to targets. Only the owner of
// the loop changes it; others may read it at any time. An endpoint takes some 150 bytes and its name and address.
type Directory struct {
	mu           sync.RWMutex
	zones        labels
	kinds        labels
	ids          map[string]logic.EndpointID
	pages        map[logic.EndpointID]*page // by number / pageSize
	last         logic.EndpointID
	gone         map[logic.EndpointID]time.Time // since when what has a number is not listed
	listed       int
	doubts       int                                     // records whose state is not known
	told         map[int64]int                           // endpoints of a destination that are up and told
	omitted      map[int64]map[logic.EndpointID]struct{} // endpoints of one that are listed and not told
	omittedCount int                                     // all of those
}

type page struct {
	records [pageSize]record
	used    int
}

// record is what the list last said of an endpoint.
type record struct {
	name   string
	addr   string
	dest   int64
	weight float64
	zone   uint16
	kind   uint16
	state  state
	told   bool // the module knows it
}

type state uint8

const (
	nameless state = iota // no record
	unlisted              // has a number only
	up
	draining
	doubtful // taken over from another process, which listed it or did not
)

func (s state) listed() bool { return s == up || s == draining }

// stateOf reads a lifecycle. One that is not known is no invitation to send.
func stateOf(lifecycle string) state {
	switch lifecycle {
	case "up":
		return up
	case "removed":
		return unlisted
	}
	return draining
}

func (s state) lifecycle() string {
	switch s {
	case up:
		return "up"
	case draining:
		return "draining"
	}
	return "removed"
}

func (s state) readiness() logic.EndpointState {
	switch s {
	case up:
		return logic.Ready
	case draining:
		return logic.Draining
	}
	return logic.Removed
}

// labels keeps each of few strings once. Place 0 is the empty string, and whatever comes when there are too many.
type labels struct {
	names  []string
	index  map[string]uint16
	places []int // of each in the settings; -1 if they do not have it
	known  []string
}

func newLabels(known []string) labels {
	l := labels{index: map[string]uint16{}, known: known}
	l.add("")
	return l
}

func (l *labels) add(name string) uint16 {
	i, ok := l.index[name]
	if !ok && len(l.names) < labelMost {
		i = uint16(len(l.names))
		l.index[name], l.names, l.places = i, append(l.names, name), append(l.places, slices.Index(l.known, name))
	}
	return i
}

// is says whether name is kept at i.
func (l *labels) is(i uint16, name string) bool {
	return l.names[i] == name || i == 0 && len(l.names) == labelMost && l.index[name] == 0
}

// Target is where an endpoint can be reached.
type Target struct {
	Addr string // host:port
	Zone int    // place in the settings' zones; -1 if they do not have it
	Dest int64
	Kind int // place in the settings' kinds; -1 if they do not have it

	Lifecycle string  // what the list says: up, draining or removed; empty if that is not known
	Weight    float64 // as in Instance
}

// NewDirectory returns an empty directory; zones and kinds are those of the settings.
func NewDirectory(zones []string, kinds []logic.Kind) *Directory {
	var names []string
	for _, k := range kinds {
		names = append(names, k.Name)
	}
	return &Directory{zones: newLabels(zones), kinds: newLabels(names), ids: map[string]logic.EndpointID{},
		pages: map[logic.EndpointID]*page{}, gone: map[logic.EndpointID]time.Time{}, told: map[int64]int{},
		omitted: map[int64]map[logic.EndpointID]struct{}{}}
}

// record is the place of a number's record; nil if there is none.
func (d *Directory) record(id logic.EndpointID) *record {
	p := d.pages[id/pageSize]
	if p == nil || p.records[id%pageSize].state == nameless {
		return nil
	}
	return &p.records[id%pageSize]
}

// Apply takes an update and returns what the module is to be told. An endpoint keeps its number while it is listed and
// for some time after, whatever its address. The cost is that of the update's rows, whatever the size of the list.
func (d *Directory) Apply(u *Update, now time.Time) []logic.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	rows := make([]logic.Entry, 0, len(u.Rows))
	var short []int64 // destinations that may have room for what was omitted
	for i := range u.Rows {
		in := &u.Rows[i]
		id := d.number(in.ID)
		r := d.record(id)
		left := r.dest
		d.uncount(id, r)
		d.set(id, r, stateOf(in.Lifecycle), now)
		if r.state.listed() {
			r.zone, r.kind, r.dest, r.weight = d.zones.add(in.Zone), d.kinds.add(in.Kind), in.Dest, in.Weight
		}
		if reachable(in.HostPort) {
			r.addr = in.HostPort
		}
		row := d.entry(id, r)
		if !d.count(id, r) { // also where it was not told here: a process before may have
			row.State = logic.Removed
		}
		rows = append(rows, row)
		if len(d.omitted[left]) > 0 {
			short = append(short, left)
		}
	}
	for _, dest := range short {
		rows = d.fill(dest, rows)
	}
	u.Omitted = d.omittedCount
	return rows
}

// uncount takes a record out of the count of what is told, before it changes.
func (d *Directory) uncount(id logic.EndpointID, r *record) {
	switch {
	case r.told && r.state == up:
		if d.told[r.dest]--; d.told[r.dest] == 0 {
			delete(d.told, r.dest)
		}
	case !r.told && r.state.listed():
		d.omittedCount--
		if delete(d.omitted[r.dest], id); len(d.omitted[r.dest]) == 0 {
			delete(d.omitted, r.dest)
		}
	}
}

// count says whether the module is to know a record, and counts it. What drains takes no room, but is not told anew
// where there is none.
func (d *Directory) count(id logic.EndpointID, r *record) bool {
	room := d.told[r.dest] < tellMost
	switch {
	case !r.state.listed():
		r.told = false
	case r.state == up && room:
		d.told[r.dest]++
		r.told = true
	case r.state == draining && (r.told || room):
		r.told = true
	default:
		r.told = false
		if d.omitted[r.dest] == nil {
			d.omitted[r.dest] = map[logic.EndpointID]struct{}{}
		}
		d.omitted[r.dest][id] = struct{}{}
		d.omittedCount++
	}
	return r.told
}

// fill tells the module of endpoints that were omitted, as far as there is room.
func (d *Directory) fill(dest int64, rows []logic.Entry) []logic.Entry {
	for id := range d.omitted[dest] {
		r := d.record(id)
		if d.told[dest] >= tellMost {
			break
		}
		if r.state == up {
			d.uncount(id, r)
			d.count(id, r)
			rows = append(rows, d.entry(id, r))
		}
	}
	return rows
}

// set gives a record another state.
func (d *Directory) set(id logic.EndpointID, r *record, s state, now time.Time) {
	if r.state.listed() {
		d.listed--
	}
	if r.state == doubtful {
		d.doubts--
	}
	if r.state = s; s.listed() {
		d.listed++
	}
	if s == doubtful {
		d.doubts++
	}
	if s != unlisted {
		delete(d.gone, id)
	} else if _, ok := d.gone[id]; !ok {
		d.gone[id] = now
	}
}

// entry is what the module is told of a record.
func (d *Directory) entry(id logic.EndpointID, r *record) logic.Entry {
	return logic.Entry{Endpoint: id, Zone: d.zones.places[r.zone], Kind: d.kinds.places[r.kind], Destination: r.dest,
		State: r.state.readiness(), Nominal: r.weight}
}

// instance is a record in the published form.
func (d *Directory) instance(r *record) Instance {
	return Instance{ID: r.name, HostPort: r.addr, Zone: d.zones.names[r.zone], Kind: d.kinds.names[r.kind], Dest: r.dest,
		Lifecycle: r.state.lifecycle(), Weight: r.weight}
}

// reachable says whether an address can be called.
func reachable(hostPort string) bool {
	host, port, err := net.SplitHostPort(hostPort)
	n, bad := strconv.ParseUint(port, 10, 16)
	return err == nil && bad == nil && host != "" && n > 0
}

// Number is the module's number for a name, a new one if the name is new.
func (d *Directory) Number(name string) logic.EndpointID {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.number(name)
}

func (d *Directory) number(name string) logic.EndpointID {
	id, ok := d.ids[name]
	if !ok {
		id = d.last + 1
		d.add(name, id)
	}
	return id
}

// add gives a name a number.
func (d *Directory) add(name string, id logic.EndpointID) *record {
	d.ids[name], d.last = id, max(d.last, id)
	p := d.pages[id/pageSize]
	if p == nil {
		p = &page{}
		d.pages[id/pageSize] = p
	}
	r := &p.records[id%pageSize]
	if r.state == nameless {
		p.used++
	}
	*r = record{name: name, state: unlisted}
	return r
}

// drop takes a name's number back.
func (d *Directory) drop(id logic.EndpointID, r *record) {
	delete(d.ids, r.name)
	delete(d.gone, id)
	*r = record{}
	p := d.pages[id/pageSize]
	if p.used--; p.used == 0 {
		delete(d.pages, id/pageSize)
	}
}

// Lookup is the number of a name that has one.
func (d *Directory) Lookup(name string) (logic.EndpointID, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	id, ok := d.ids[name]
	return id, ok
}

// Target is where an endpoint can be reached; false if it never had an address.
func (d *Directory) Target(ep logic.EndpointID) (Target, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	r := d.record(ep)
	if r == nil || r.addr == "" {
		return Target{}, false
	}
	t := Target{Addr: r.addr, Zone: d.zones.places[r.zone], Dest: r.dest, Kind: d.kinds.places[r.kind], Weight: r.weight}
	if r.state != doubtful {
		t.Lifecycle = r.state.lifecycle()
	}
	return t, true
}

// Name is the published id of an endpoint; empty if the number is not in use.
func (d *Directory) Name(ep logic.EndpointID) string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if r := d.record(ep); r != nil {
		return r.name
	}
	return ""
}

// Len is the number of endpoints that are listed.
func (d *Directory) Len() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.listed
}

// Known says whether the state of all that has a number is known: after a takeover it is not until the list came.
func (d *Directory) Known() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.doubts == 0
}

// All yields what is listed, in the published form, in the order of the numbers. No update may be applied meanwhile.
func (d *Directory) All() iter.Seq[Instance] {
	return func(yield func(Instance) bool) {
		var rows []Instance
		for n := logic.EndpointID(0); ; n++ {
			rows = rows[:0]
			d.mu.RLock()
			end := n > d.last/pageSize
			if p := d.pages[n]; p != nil {
				for i := range p.records {
					if r := &p.records[i]; r.state.listed() {
						rows = append(rows, d.instance(r))
					}
				}
			}
			d.mu.RUnlock()
			if end {
				return
			}
			for _, in := range rows { // unlocked: whoever takes them may be slow
				if !yield(in) {
					return
				}
			}
		}
	}
}

// Entries is all that the module is told of.
func (d *Directory) Entries() []logic.Entry {
	d.mu.RLock()
	defer d.mu.RUnlock()
	rows := make([]logic.Entry, 0, d.listed)
	for id, r := range d.records() {
		if r.told {
			rows = append(rows, d.entry(id, r))
		}
	}
	return rows
}

// records yields all that has a number, in order.
func (d *Directory) records() iter.Seq2[logic.EndpointID, *record] {
	return func(yield func(logic.EndpointID, *record) bool) {
		for n := logic.EndpointID(0); n <= d.last/pageSize; n++ {
			p := d.pages[n]
			if p == nil {
				continue
			}
			for i := range p.records {
				if r := &p.records[i]; r.state != nameless && !yield(n*pageSize+logic.EndpointID(i), r) {
					return
				}
			}
		}
	}
}

// Names yields every name that has a number, listed or not, to the owner of the loop.
func (d *Directory) Names() iter.Seq2[string, logic.EndpointID] {
	return func(yield func(string, logic.EndpointID) bool) {
		for id, r := range d.records() {
			if !yield(r.name, id) {
				return
			}
		}
	}
}

// Adopt takes a number of another process over, with its target (without an address if it has none), before the first
// update. Where no lifecycle comes with it, whether it is listed is not known until the list tells.
func (d *Directory) Adopt(name string, id logic.EndpointID, t Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if id == 0 || d.record(id) != nil {
		return
	}
	r := d.add(name, id)
	if t.Addr == "" { // it can't be listed
		d.set(id, r, unlisted, time.Now())
		return
	}
	r.addr, r.dest = t.Addr, t.Dest
	r.zone, r.kind = d.zones.at(t.Zone), d.kinds.at(t.Kind)
	if t.Lifecycle == "" {
		r.told = true
		d.set(id, r, doubtful, time.Time{})
		return
	}
	r.weight = t.Weight
	d.set(id, r, stateOf(t.Lifecycle), time.Now())
	d.count(id, r)
}

// at is the label of a place in the settings.
func (l *labels) at(place int) uint16 {
	if place < 0 || place >= len(l.known) {
		return 0
	}
	return l.add(l.known[place])
}

// Settle takes what is still in doubt for not listed: all that the list has was told.
func (d *Directory) Settle(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, r := range d.records() {
		if r.state == doubtful {
			r.told = false
			d.set(id, r, unlisted, now)
		}
	}
}

// Forget drops what has not been listed for long, unless it is still in use.
func (d *Directory) Forget(now time.Time, used func(name string, id logic.EndpointID) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := goneKept
	if len(d.gone) > d.listed+goneMany {
		kept = goneLeast
	}
	for id, since := range d.gone {
		if r := d.record(id); now.Sub(since) > kept && !used(r.name, id) {
			d.drop(id, r)
		}
	}
}
