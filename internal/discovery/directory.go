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
	unlistedRetention          = 10 * time.Minute // what is not listed keeps its number for so long ...
	maxExtraUnlisted           = 16384            // ... unless that is as many as are listed, and so many more ...
	minUnlistedRetention       = 30 * time.Second // ... then it is for so long: lists that name all anew would fill the memory
	recordsPerPage             = 256              // records that are kept together
	maxLabels                  = 4096             // different zones, or kinds, that are told apart
	maxAnnouncedPerDestination = 1024             // endpoints of one destination that the module is told of: it looks at each for each call
)

// Directory is the replica of the list: it maps names to the module's numbers and numbers to targets. Only the owner of
// the loop changes it; others may read it at any time. An endpoint takes some 150 bytes and its name and address.
type Directory struct {
	mu                   sync.RWMutex
	zones                labelTable
	kinds                labelTable
	idsByName            map[string]logic.EndpointID
	pages                map[logic.EndpointID]*page // by number / pageSize
	lastID               logic.EndpointID
	unlistedSince        map[logic.EndpointID]time.Time // since when what has a number is not listed
	listedCount          int
	unknownCount         int                                     // records whose state is not known
	announcedUpCounts    map[int64]int                           // endpoints of a destination that are up and told
	omittedByDestination map[int64]map[logic.EndpointID]struct{} // endpoints of one that are listed and not told
	omittedCount         int                                     // all of those
}

type page struct {
	records   [recordsPerPage]record
	usedCount int
}

// record is what the list last said of an endpoint.
type record struct {
	name        string
	address     string
	destination int64
	weight      float64
	zoneLabel   uint16
	kindLabel   uint16
	state       recordState
	announced   bool // the module knows it
}

type recordState uint8

const (
	stateEmpty    recordState = iota // no record
	stateUnlisted                    // has a number only
	stateUp
	stateDraining
	stateUnknown // taken over from another process, which listed it or did not
)

func (s recordState) isListed() bool { return s == stateUp || s == stateDraining }

// parseLifecycle reads a lifecycle. One that is not known is no invitation to send.
func parseLifecycle(lifecycle string) recordState {
	switch lifecycle {
	case "up":
		return stateUp
	case "removed":
		return stateUnlisted
	}
	return stateDraining
}

func (s recordState) lifecycle() string {
	switch s {
	case stateUp:
		return "up"
	case stateDraining:
		return "draining"
	}
	return "removed"
}

func (s recordState) readiness() logic.EndpointState {
	switch s {
	case stateUp:
		return logic.Ready
	case stateDraining:
		return logic.Draining
	}
	return logic.Removed
}

// labelTable keeps each of few strings once. Place 0 is the empty string, and whatever comes when there are too many.
type labelTable struct {
	names           []string
	indexByName     map[string]uint16
	settingsIndexes []int // of each in the settings; -1 if they do not have it
	settingsNames   []string
}

func newLabelTable(known []string) labelTable {
	l := labelTable{indexByName: map[string]uint16{}, settingsNames: known}
	l.add("")
	return l
}

func (l *labelTable) add(name string) uint16 {
	i, ok := l.indexByName[name]
	if !ok && len(l.names) < maxLabels {
		i = uint16(len(l.names))
		l.indexByName[name], l.names, l.settingsIndexes = i, append(l.names, name), append(l.settingsIndexes, slices.Index(l.settingsNames, name))
	}
	return i
}

// matches says whether name is kept at i.
func (l *labelTable) matches(i uint16, name string) bool {
	return l.names[i] == name || i == 0 && len(l.names) == maxLabels && l.indexByName[name] == 0
}

// Target is where an endpoint can be reached.
type Target struct {
	Address     string // host:port
	ZoneIndex   int    // place in the settings' zones; -1 if they do not have it
	Destination int64
	KindIndex   int // place in the settings' kinds; -1 if they do not have it

	Lifecycle string  // what the list says: up, draining or removed; empty if that is not known
	Weight    float64 // as in Instance
}

// NewDirectory returns an empty directory; zones and kinds are those of the settings.
func NewDirectory(zones []string, kinds []logic.Kind) *Directory {
	var names []string
	for _, k := range kinds {
		names = append(names, k.Name)
	}
	return &Directory{zones: newLabelTable(zones), kinds: newLabelTable(names), idsByName: map[string]logic.EndpointID{},
		pages: map[logic.EndpointID]*page{}, unlistedSince: map[logic.EndpointID]time.Time{}, announcedUpCounts: map[int64]int{},
		omittedByDestination: map[int64]map[logic.EndpointID]struct{}{}}
}

// record is the place of a number's record; nil if there is none.
func (d *Directory) record(id logic.EndpointID) *record {
	p := d.pages[id/recordsPerPage]
	if p == nil || p.records[id%recordsPerPage].state == stateEmpty {
		return nil
	}
	return &p.records[id%recordsPerPage]
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
		id := d.assignID(in.ID)
		r := d.record(id)
		left := r.destination
		d.removeFromCounts(id, r)
		d.setState(id, r, parseLifecycle(in.Lifecycle), now)
		if r.state.isListed() {
			r.zoneLabel, r.kindLabel, r.destination, r.weight = d.zones.add(in.Zone), d.kinds.add(in.Kind), in.Destination, in.Weight
		}
		if isValidHostPort(in.HostPort) {
			r.address = in.HostPort
		}
		row := d.entry(id, r)
		if !d.addToCounts(id, r) { // also where it was not told here: a process before may have
			row.State = logic.Removed
		}
		rows = append(rows, row)
		if len(d.omittedByDestination[left]) > 0 {
			short = append(short, left)
		}
	}
	for _, dest := range short {
		rows = d.announceOmitted(dest, rows)
	}
	u.OmittedEndpoints = d.omittedCount
	return rows
}

// removeFromCounts takes a record out of the count of what is told, before it changes.
func (d *Directory) removeFromCounts(id logic.EndpointID, r *record) {
	switch {
	case r.announced && r.state == stateUp:
		if d.announcedUpCounts[r.destination]--; d.announcedUpCounts[r.destination] == 0 {
			delete(d.announcedUpCounts, r.destination)
		}
	case !r.announced && r.state.isListed():
		d.omittedCount--
		if delete(d.omittedByDestination[r.destination], id); len(d.omittedByDestination[r.destination]) == 0 {
			delete(d.omittedByDestination, r.destination)
		}
	}
}

// addToCounts says whether the module is to know a record, and counts it. What drains takes no room, but is not told anew
// where there is none.
func (d *Directory) addToCounts(id logic.EndpointID, r *record) bool {
	room := d.announcedUpCounts[r.destination] < maxAnnouncedPerDestination
	switch {
	case !r.state.isListed():
		r.announced = false
	case r.state == stateUp && room:
		d.announcedUpCounts[r.destination]++
		r.announced = true
	case r.state == stateDraining && (r.announced || room):
		r.announced = true
	default:
		r.announced = false
		if d.omittedByDestination[r.destination] == nil {
			d.omittedByDestination[r.destination] = map[logic.EndpointID]struct{}{}
		}
		d.omittedByDestination[r.destination][id] = struct{}{}
		d.omittedCount++
	}
	return r.announced
}

// announceOmitted tells the module of endpoints that were omitted, as far as there is room.
func (d *Directory) announceOmitted(dest int64, rows []logic.Entry) []logic.Entry {
	for id := range d.omittedByDestination[dest] {
		r := d.record(id)
		if d.announcedUpCounts[dest] >= maxAnnouncedPerDestination {
			break
		}
		if r.state == stateUp {
			d.removeFromCounts(id, r)
			d.addToCounts(id, r)
			rows = append(rows, d.entry(id, r))
		}
	}
	return rows
}

// setState gives a record another state.
func (d *Directory) setState(id logic.EndpointID, r *record, s recordState, now time.Time) {
	if r.state.isListed() {
		d.listedCount--
	}
	if r.state == stateUnknown {
		d.unknownCount--
	}
	if r.state = s; s.isListed() {
		d.listedCount++
	}
	if s == stateUnknown {
		d.unknownCount++
	}
	if s != stateUnlisted {
		delete(d.unlistedSince, id)
	} else if _, ok := d.unlistedSince[id]; !ok {
		d.unlistedSince[id] = now
	}
}

// entry is what the module is told of a record.
func (d *Directory) entry(id logic.EndpointID, r *record) logic.Entry {
	return logic.Entry{Endpoint: id, Zone: d.zones.settingsIndexes[r.zoneLabel], Kind: d.kinds.settingsIndexes[r.kindLabel], Destination: r.destination,
		State: r.state.readiness(), Nominal: r.weight}
}

// instance is a record in the published form.
func (d *Directory) instance(r *record) Instance {
	return Instance{ID: r.name, HostPort: r.address, Zone: d.zones.names[r.zoneLabel], Kind: d.kinds.names[r.kindLabel], Destination: r.destination,
		Lifecycle: r.state.lifecycle(), Weight: r.weight}
}

// isValidHostPort says whether an address can be called.
func isValidHostPort(hostPort string) bool {
	host, port, err := net.SplitHostPort(hostPort)
	n, bad := strconv.ParseUint(port, 10, 16)
	return err == nil && bad == nil && host != "" && n > 0
}

// AssignID is the module's number for a name, a new one if the name is new.
func (d *Directory) AssignID(name string) logic.EndpointID {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.assignID(name)
}

func (d *Directory) assignID(name string) logic.EndpointID {
	id, ok := d.idsByName[name]
	if !ok {
		id = d.lastID + 1
		d.addRecord(name, id)
	}
	return id
}

// addRecord gives a name a number.
func (d *Directory) addRecord(name string, id logic.EndpointID) *record {
	d.idsByName[name], d.lastID = id, max(d.lastID, id)
	p := d.pages[id/recordsPerPage]
	if p == nil {
		p = &page{}
		d.pages[id/recordsPerPage] = p
	}
	r := &p.records[id%recordsPerPage]
	if r.state == stateEmpty {
		p.usedCount++
	}
	*r = record{name: name, state: stateUnlisted}
	return r
}

// removeRecord takes a name's number back.
func (d *Directory) removeRecord(id logic.EndpointID, r *record) {
	delete(d.idsByName, r.name)
	delete(d.unlistedSince, id)
	*r = record{}
	p := d.pages[id/recordsPerPage]
	if p.usedCount--; p.usedCount == 0 {
		delete(d.pages, id/recordsPerPage)
	}
}

// LookupID is the number of a name that has one.
func (d *Directory) LookupID(name string) (logic.EndpointID, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	id, ok := d.idsByName[name]
	return id, ok
}

// Target is where an endpoint can be reached; false if it never had an address.
func (d *Directory) Target(ep logic.EndpointID) (Target, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	r := d.record(ep)
	if r == nil || r.address == "" {
		return Target{}, false
	}
	t := Target{Address: r.address, ZoneIndex: d.zones.settingsIndexes[r.zoneLabel], Destination: r.destination, KindIndex: d.kinds.settingsIndexes[r.kindLabel], Weight: r.weight}
	if r.state != stateUnknown {
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
	return d.listedCount
}

// AllStatesKnown says whether the state of all that has a number is known: after a takeover it is not until the list came.
func (d *Directory) AllStatesKnown() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.unknownCount == 0
}

// Listed yields what is listed, in the published form, in the order of the numbers. No update may be applied meanwhile.
func (d *Directory) Listed() iter.Seq[Instance] {
	return func(yield func(Instance) bool) {
		var rows []Instance
		for n := logic.EndpointID(0); ; n++ {
			rows = rows[:0]
			d.mu.RLock()
			end := n > d.lastID/recordsPerPage
			if p := d.pages[n]; p != nil {
				for i := range p.records {
					if r := &p.records[i]; r.state.isListed() {
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
	rows := make([]logic.Entry, 0, d.listedCount)
	for id, r := range d.records() {
		if r.announced {
			rows = append(rows, d.entry(id, r))
		}
	}
	return rows
}

// records yields all that has a number, in order.
func (d *Directory) records() iter.Seq2[logic.EndpointID, *record] {
	return func(yield func(logic.EndpointID, *record) bool) {
		for n := logic.EndpointID(0); n <= d.lastID/recordsPerPage; n++ {
			p := d.pages[n]
			if p == nil {
				continue
			}
			for i := range p.records {
				if r := &p.records[i]; r.state != stateEmpty && !yield(n*recordsPerPage+logic.EndpointID(i), r) {
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
	r := d.addRecord(name, id)
	if t.Address == "" { // it can't be listed
		d.setState(id, r, stateUnlisted, time.Now())
		return
	}
	r.address, r.destination = t.Address, t.Destination
	r.zoneLabel, r.kindLabel = d.zones.addSettingsName(t.ZoneIndex), d.kinds.addSettingsName(t.KindIndex)
	if t.Lifecycle == "" {
		r.announced = true
		d.setState(id, r, stateUnknown, time.Time{})
		return
	}
	r.weight = t.Weight
	d.setState(id, r, parseLifecycle(t.Lifecycle), time.Now())
	d.addToCounts(id, r)
}

// addSettingsName is the label of a place in the settings.
func (l *labelTable) addSettingsName(place int) uint16 {
	if place < 0 || place >= len(l.settingsNames) {
		return 0
	}
	return l.add(l.settingsNames[place])
}

// MarkUnknownUnlisted takes what is still in doubt for not listed: all that the list has was told.
func (d *Directory) MarkUnknownUnlisted(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, r := range d.records() {
		if r.state == stateUnknown {
			r.announced = false
			d.setState(id, r, stateUnlisted, now)
		}
	}
}

// RemoveExpired drops what has not been listed for long, unless it is still in use.
func (d *Directory) RemoveExpired(now time.Time, used func(name string, id logic.EndpointID) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := unlistedRetention
	if len(d.unlistedSince) > d.listedCount+maxExtraUnlisted {
		kept = minUnlistedRetention
	}
	for id, since := range d.unlistedSince {
		if r := d.record(id); now.Sub(since) > kept && !used(r.name, id) {
			d.removeRecord(id, r)
		}
	}
}
